//! The jobs in the queue to the writer's thread, and the state that both sides share.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use shaletide_record::{Claim, KeyId, Write};
use shaletide_types::Time;

use super::config::FactEncoder;

/// A job for the writer's thread.
pub(super) enum Job {
    Write { ticket: u64, writes: Vec<Write>, bytes: usize },
    Forget { ticket: u64, before: Time },
    Prune { ticket: u64, before: Time, note: FactEncoder },
}

/// The state that the caller's handle and the writer's thread share.
pub(super) struct Shared {
    /// The size of the queued writes in bytes.
    pub(super) queued_bytes: AtomicUsize,
    /// When the current operation of the store began, in microseconds since `created_at`, plus one; 0 if there is none.
    working_since: AtomicU64,
    created_at: Instant,
}

impl Shared {
    pub(super) fn new() -> Shared {
        Shared {
            queued_bytes: AtomicUsize::new(0),
            working_since: AtomicU64::new(0),
            created_at: Instant::now(),
        }
    }

    /// Returns how long the current operation of the store has been running; `None` if there is none.
    pub(super) fn working_for(&self) -> Option<Duration> {
        match self.working_since.load(Ordering::Relaxed) {
            0 => None,
            since => Some(Duration::from_micros(self.now().saturating_sub(since))),
        }
    }

    /// Marks the beginning of an operation of the store, which ends when the guard is dropped.
    pub(super) fn begin_work(self: &Arc<Shared>) -> WorkGuard {
        self.working_since.store(self.now(), Ordering::Relaxed);
        WorkGuard { shared: Arc::clone(self) }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.created_at.elapsed().as_micros()).unwrap_or(u64::MAX - 1) + 1
    }
}

/// Marks an operation of the store as running until it is dropped.
pub(super) struct WorkGuard {
    shared: Arc<Shared>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.shared.working_since.store(0, Ordering::Relaxed);
    }
}

/// Returns the estimated size of a queued write in bytes.
pub(super) fn queued_size(write: &Write) -> usize {
    let key_size = |key: &KeyId| key.tenant.len() + key.class.len() + key.key.len();
    let claimed = match &write.claim {
        Claim::None | Claim::FreeServed { .. } => 0,
        Claim::Take(key) | Claim::Set(key, _) | Claim::Free(key) | Claim::FreeOwn(key) => key_size(key),
    };
    let row = &write.row;
    let texts = row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len);
    size_of::<Write>() + texts + row.key.as_ref().map_or(0, key_size) + claimed
}
