//! The writer: the only thread that writes, behind a bounded queue, so that no other thread waits for a disk.

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

/// The caller's handle of the writer. After it is dropped, the thread writes what is queued and ends.
pub struct Writer {
    jobs: SyncSender<Job>,
    shared: Arc<Shared>,
    // The mutex only makes the handle `Sync`, so that several threads can send.
    ended: Mutex<Receiver<()>>,
    queue_bytes: usize,
}

impl Writer {
    /// Starts the thread. It opens the store and reports [`WriterEvent::Back`] or [`WriterEvent::Down`].
    ///
    /// # Errors
    /// If the system cannot start a thread.
    pub fn start(
        config: WriterConfig, opener: Opener, sums: Arc<dyn Sums>, notify: Box<dyn FnMut(WriterEvent) + Send>,
    ) -> std::io::Result<Writer> {
        let (jobs, waiting) = sync_channel(config.queue.max(1));
        let (end, ended) = sync_channel(1);
        let shared = Arc::new(Shared::new());
        let worker = Worker::new(config.clone(), waiting, Arc::clone(&shared), opener, sums, notify);
        std::thread::Builder::new().name("store".to_owned()).spawn(move || {
            worker.run();
            // The handle may have been dropped, so that nothing receives this.
            let _ = end.try_send(());
        })?;
        Ok(Writer { jobs, shared, ended: Mutex::new(ended), queue_bytes: config.queue_bytes })
    }

    /// Queues writes to be made durable, in order, in one transaction. Never waits.
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

    /// Queues the deletion of the keys that were served before this time, a step between each two commits. Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn forget_served(&self, ticket: u64, before: Time) -> Result<(), SendError> {
        self.enqueue(Job::Forget { ticket, before }, 0)
    }

    /// Queues the pruning of the rows that are older than this time, a step between each two commits. `note` makes the row
    /// that records each step. Never waits.
    ///
    /// # Errors
    /// See [`SendError`].
    pub fn prune(&self, ticket: u64, before: Time, note: FactEncoder) -> Result<(), SendError> {
        self.enqueue(Job::Prune { ticket, before, note }, 0)
    }

    /// Returns how long the current operation of the store has been running; `None` if there is none. The only sign of a
    /// store that is slow or hangs, as it sends no events.
    pub fn working_for(&self) -> Option<Duration> {
        self.shared.working_for()
    }

    /// Ends the thread once all queued writes are written or have failed.
    ///
    /// # Errors
    /// If that takes longer than `within`; the thread then continues on its own.
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
        // A job larger than the bound is accepted when the queue is empty; otherwise it never could be.
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
