//! The one thread that writes, behind a bounded queue: nobody else ever waits for a disk.

mod commit_outcome;
mod recovery;
mod worker;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use shaletide_record::{Claim, ClaimRejection, KeyId, Row, Write};
use shaletide_types::Time;

use crate::{storable, Anchor, CommitOutcome, Head, Pruned, Store, StoreError, Sums};
use worker::Worker;

/// How the writer works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterConfig {
    /// The number of this start of the proxy, which each row is given: higher than [`Head::run`] as it was before.
    pub run: u64,
    /// At most so many tickets wait; one more is refused. Default: 1024.
    pub queue: usize,
    /// At most so many bytes of rows wait, by a count from above. Default: 16 MiB.
    pub queue_bytes: usize,
    /// A commit begins with so many rows at the latest; a ticket is never divided. Default: 256.
    pub batch_rows: usize,
    /// How long a commit waits for others to come along. Default: not at all; what came while the one before it ran
    /// goes together anyway.
    pub linger: Duration,
    /// After a failure the store is opened again after this time, and after twice that each time that it fails.
    /// Default: 50 ms.
    pub backoff: Duration,
    /// The longest time between two such trials. Default: 2 s.
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

/// Makes the row that tells of an anchor, in the writer's thread; the run is set by the writer.
pub type FactEncoder = Box<dyn Fn(&Anchor) -> Row + Send>;

/// What became of a ticket, or of the store. Sent from the writer's thread, which waits meanwhile.
///
/// Each ticket that was taken has one end: one of its events, but after a `Failed` with [`CommitOutcome::Unknown`] another
/// one, `Committed`, `Refused` or `Lost`, as soon as the store is back. There is none if the writer ends before.
/// Forgetting and pruning that fail are not taken up again, and what was done of them stays done.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum WriterEvent {
    /// All of it is durable.
    Committed {
        /// Which.
        ticket: u64,
        /// The rows' numbers.
        seqs: Vec<u64>,
    },
    /// Some of its rows were refused; the others are durable.
    Refused {
        /// Which.
        ticket: u64,
        /// What became of each row.
        rows: Vec<Result<u64, ClaimRejection>>,
    },
    /// It was not acknowledged.
    Failed {
        /// Which.
        ticket: u64,
        /// Why.
        error: Arc<StoreError>,
        /// Whether it may be on record nevertheless.
        outcome: CommitOutcome,
    },
    /// It had failed with an unknown fate; now it is certain that nothing of it is on record or ever will be.
    Lost {
        /// Which.
        ticket: u64,
    },
    /// So many keys were forgotten.
    Forgotten {
        /// Which.
        ticket: u64,
        /// How many keys.
        keys: usize,
    },
    /// Rows were pruned.
    Pruned {
        /// Which.
        ticket: u64,
        /// How many in all, and the anchor.
        pruned: Pruned,
    },
    /// The store does not work; it is opened again and again. Sent for each kind of trouble once.
    Down {
        /// What is wrong.
        error: Arc<StoreError>,
    },
    /// The store works: at first, and after each `Down`.
    Back {
        /// Where it ends.
        head: Head,
    },
}

/// Why a ticket was not taken. Nothing was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Too much waits already.
    QueueFull,
    /// A row that no store can keep: see [`storable`].
    Unstorable,
    /// The writer has ended.
    Ended,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SendError::QueueFull => "too much waits for the store",
            SendError::Unstorable => "a row that no store can keep",
            SendError::Ended => "the store's writer has ended",
        })
    }
}

impl std::error::Error for SendError {}

/// The writer did not end in time: the store holds it. What waits will still be written, should it come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillBusy;

enum Job {
    Write { ticket: u64, writes: Vec<Write>, bytes: usize },
    Forget { ticket: u64, before: Time },
    Prune { ticket: u64, before: Time, note: FactEncoder },
}

/// What the caller's side and the thread both look at.
struct Shared {
    /// Bytes that wait.
    bytes: AtomicUsize,
    /// Since when the store has been at work, in microseconds from `began`, plus one; 0 if it is not.
    working_since: AtomicU64,
    began: Instant,
}

impl Shared {
    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX - 1) + 1
    }
}

/// The caller's side of the writer. Dropped, the thread writes what waits and ends by itself.
pub struct Writer {
    jobs: SyncSender<Job>,
    shared: Arc<Shared>,
    // In a lock only so that several threads may send.
    ended: Mutex<Receiver<()>>,
    queue_bytes: usize,
}

impl Writer {
    /// Starts the thread, which opens the store and says [`Event::Back`] or [`Event::Down`].
    ///
    /// # Errors
    /// If the system gives no thread.
    pub fn start(
        config: WriterConfig, opener: Opener, sums: Arc<dyn Sums>, notify: Box<dyn FnMut(WriterEvent) + Send>,
    ) -> std::io::Result<Writer> {
        let (jobs, waiting) = sync_channel(config.queue.max(1));
        let (end, ended) = sync_channel(1);
        let shared = Arc::new(Shared {
            bytes: AtomicUsize::new(0),
            working_since: AtomicU64::new(0),
            began: Instant::now(),
        });
        let worker = Worker::new(config.clone(), waiting, Arc::clone(&shared), opener, sums, notify);
        std::thread::Builder::new().name("store".to_owned()).spawn(move || {
            worker.run();
            // Nobody may be waiting for it.
            let _ = end.try_send(());
        })?;
        Ok(Writer { jobs, shared, ended: Mutex::new(ended), queue_bytes: config.queue_bytes })
    }

    /// Has these made durable, in order, in one transaction. Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn send(&self, ticket: u64, writes: Vec<Write>) -> Result<(), SendError> {
        if !writes.iter().all(storable) {
            return Err(SendError::Unstorable);
        }
        let bytes = writes.iter().map(size).sum();
        self.enqueue(Job::Write { ticket, writes, bytes }, bytes)
    }

    /// Has the keys forgotten that were served before that time, some between each two commits. Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn forget_served(&self, ticket: u64, before: Time) -> Result<(), SendError> {
        self.enqueue(Job::Forget { ticket, before }, 0)
    }

    /// Has rows pruned that are older, some between each two commits; `note` makes the row that tells of each step.
    /// Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn prune(&self, ticket: u64, before: Time, note: FactEncoder) -> Result<(), SendError> {
        self.enqueue(Job::Prune { ticket, before, note }, 0)
    }

    /// How long the store has been at work on one thing; none if it is not. A store that is slow, or that hangs,
    /// tells nobody so.
    pub fn working_for(&self) -> Option<Duration> {
        match self.shared.working_since.load(Ordering::Relaxed) {
            0 => None,
            since => Some(Duration::from_micros(self.shared.now().saturating_sub(since))),
        }
    }

    /// Ends the thread once all that waits is written or has failed.
    ///
    /// # Errors
    /// If that takes longer than given; the thread goes on by itself.
    pub fn stop(self, within: Duration) -> Result<(), StillBusy> {
        drop(self.jobs);
        let ended = self.ended.into_inner().unwrap_or_else(PoisonError::into_inner);
        match ended.recv_timeout(within) {
            Ok(()) | Err(RecvTimeoutError::Disconnected) => Ok(()),
            Err(RecvTimeoutError::Timeout) => Err(StillBusy),
        }
    }

    fn enqueue(&self, job: Job, bytes: usize) -> Result<(), SendError> {
        let waiting = self.shared.bytes.fetch_add(bytes, Ordering::Relaxed);
        // One that is larger than the bound alone may go when nothing waits, else it never could.
        let sent = if waiting > 0 && waiting.saturating_add(bytes) > self.queue_bytes {
            Err(SendError::QueueFull)
        } else {
            self.jobs.try_send(job).map_err(|error| match error {
                TrySendError::Full(_) => SendError::QueueFull,
                TrySendError::Disconnected(_) => SendError::Ended,
            })
        };
        if sent.is_err() {
            self.shared.bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        sent
    }
}

/// The bytes that a write holds while it waits.
fn size(write: &Write) -> usize {
    let of = |key: &KeyId| key.tenant.len() + key.class.len() + key.key.len();
    let claimed = match &write.claim {
        Claim::None | Claim::FreeServed { .. } => 0,
        Claim::Take(key) | Claim::Set(key, _) | Claim::Free(key) | Claim::FreeOwn(key) => of(key),
    };
    let row = &write.row;
    let texts = row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len);
    size_of::<Write>() + texts + row.key.as_ref().map_or(0, of) + claimed
}
