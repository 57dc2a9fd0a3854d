//! The one thread that writes, behind a bounded queue: no other thread ever waits for a disk.

mod commit_outcome;
mod config;
mod event;
mod maintenance;
mod queue;
mod recovery;
mod worker;

use std::sync::atomic::Ordering;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use shaletide_record::Write;
use shaletide_types::Time;

use crate::{storable, Sums};
pub use config::{FactEncoder, Opener, Opening, WriterConfig};
pub use event::{SendError, StillBusy, WriterEvent};
use queue::{queued_size, Job, Shared};
use worker::Worker;

/// The caller's side of the writer. Dropped, the thread writes what waits and ends by itself.
pub struct Writer {
    jobs: SyncSender<Job>,
    shared: Arc<Shared>,
    // In a lock only so that several threads may send.
    ended: Mutex<Receiver<()>>,
    queue_bytes: usize,
}

impl Writer {
    /// Starts the thread, which opens the store and reports [`WriterEvent::Back`] or [`WriterEvent::Down`].
    ///
    /// # Errors
    /// If the system gives no thread.
    pub fn start(
        config: WriterConfig, opener: Opener, sums: Arc<dyn Sums>, notify: Box<dyn FnMut(WriterEvent) + Send>,
    ) -> std::io::Result<Writer> {
        let (jobs, waiting) = sync_channel(config.queue.max(1));
        let (end, ended) = sync_channel(1);
        let shared = Arc::new(Shared::new());
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
        let bytes = writes.iter().map(queued_size).sum();
        self.enqueue(Job::Write { ticket, writes, bytes }, bytes)
    }

    /// Has the keys forgotten that were served before that time, some between each two commits. Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn forget_served(&self, ticket: u64, before: Time) -> Result<(), SendError> {
        self.enqueue(Job::Forget { ticket, before }, 0)
    }

    /// Has rows pruned that are older, some between each two commits; `note` makes the row that records each step.
    /// Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn prune(&self, ticket: u64, before: Time, note: FactEncoder) -> Result<(), SendError> {
        self.enqueue(Job::Prune { ticket, before, note }, 0)
    }

    /// How long the store has been at work on one thing; none if it is not. A store that is slow, or that hangs,
    /// reports nothing.
    pub fn working_for(&self) -> Option<Duration> {
        self.shared.working_for()
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
        let queued = self.shared.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        // One that is larger than the bound alone may go when nothing waits, else it never could.
        let sent = if queued > 0 && queued.saturating_add(bytes) > self.queue_bytes {
            Err(SendError::QueueFull)
        } else {
            self.jobs.try_send(job).map_err(|error| match error {
                TrySendError::Full(_) => SendError::QueueFull,
                TrySendError::Disconnected(_) => SendError::Ended,
            })
        };
        if sent.is_err() {
            self.shared.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        sent
    }
}
