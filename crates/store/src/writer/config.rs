//! The configuration of the writer, and the function that opens its store.

use std::time::Duration;

use shaletide_record::Row;

use crate::{Anchor, Store, StoreError};

/// The configuration of the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterConfig {
    /// The run number of this start of the proxy, which is set in each row. It must be higher than
    /// [`Head::run`](crate::Head::run) before the start.
    pub run: u64,
    /// The maximum number of queued tickets; further ones are rejected. Default: 1024.
    pub queue: usize,
    /// The maximum size of the queued rows in bytes, by an upper estimate. Default: 16 MiB.
    pub queue_bytes: usize,
    /// The number of rows at which a commit begins without waiting for more. A ticket is never divided. Default: 256.
    pub batch_rows: usize,
    /// How long a commit waits for more tickets. Default: zero, as tickets that were queued during the previous commit are
    /// committed together anyway.
    pub linger: Duration,
    /// The time between a failure and the next opening of the store. It doubles after each opening that fails.
    /// Default: 50 ms.
    pub backoff: Duration,
    /// The maximum time between two openings. Default: 2 s.
    pub max_backoff: Duration,
    /// The maximum number of keys deleted, or rows pruned, between two commits. Default: 500.
    pub maintenance_step: usize,
}

impl WriterConfig {
    /// Returns the default configuration for this run.
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

/// Whether the writer opens the store for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The store may be created if it does not exist.
    First,
    /// The store was open before. It must not be created, as a new store would be empty.
    Again,
}

/// Opens the store, in the writer's thread. The first call may return a store that was opened before, to read the keys at
/// the start.
pub type Opener = Box<dyn FnMut(Opening) -> Result<Box<dyn Store>, StoreError> + Send>;

/// Encodes an anchor as a row, in the writer's thread. The writer sets the run of that row.
pub type FactEncoder = Box<dyn Fn(&Anchor) -> Row + Send>;
