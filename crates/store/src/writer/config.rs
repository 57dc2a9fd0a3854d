//! How the writer works, and how it opens its store.

use std::time::Duration;

use shaletide_record::Row;

use crate::{Anchor, Store, StoreError};

/// How the writer works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterConfig {
    /// The number of this start of the proxy, which each row is given: higher than [`Head::run`](crate::Head::run) as it was before.
    pub run: u64,
    /// At most so many tickets are queued; one more is rejected. Default: 1024.
    pub queue: usize,
    /// At most so many bytes of rows are queued, by an upper estimate. Default: 16 MiB.
    pub queue_bytes: usize,
    /// A commit begins with so many rows at the latest; a ticket is never divided. Default: 256.
    pub batch_rows: usize,
    /// How long a commit waits for more tickets. Default: not at all; what was queued while the one before it ran is
    /// committed together anyway.
    pub linger: Duration,
    /// After a failure the store is opened again after this time, and after twice that each time that it fails.
    /// Default: 50 ms.
    pub backoff: Duration,
    /// The longest time between two openings. Default: 2 s.
    pub max_backoff: Duration,
    /// So many keys are forgotten, or rows pruned, between two commits. Default: 500.
    pub maintenance_step: usize,
}

impl WriterConfig {
    /// The defaults, for this run.
    pub fn new(run: u64) -> WriterConfig {
        WriterConfig {
            run,
            queue: 1024,
            queue_bytes: 16 << 20,
            batch_rows: 256,
            linger: Duration::ZERO,
            backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            maintenance_step: 500,
        }
    }
}

/// Whether the store is opened for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It may be made where there is none.
    First,
    /// It was open before: it may not be made, as a new one would know nothing.
    Again,
}

/// Opens the store, in the writer's thread. A store that was opened before, to read the keys at the start, may be
/// handed over at the first call.
pub type Opener = Box<dyn FnMut(Opening) -> Result<Box<dyn Store>, StoreError> + Send>;

/// Makes the row that records an anchor, in the writer's thread; the run is set by the writer.
pub type FactEncoder = Box<dyn Fn(&Anchor) -> Row + Send>;
