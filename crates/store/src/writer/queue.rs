//! What goes through the queue to the writer's thread, and what both sides look at.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use shaletide_record::{Claim, KeyId, Write};
use shaletide_types::Time;

use super::config::FactEncoder;

/// What the thread is to do.
pub(super) enum Job {
    Write { ticket: u64, writes: Vec<Write>, bytes: usize },
    Forget { ticket: u64, before: Time },
    Prune { ticket: u64, before: Time, note: FactEncoder },
}

/// What the caller's side and the thread both look at.
pub(super) struct Shared {
    /// Bytes that wait.
    pub(super) queued_bytes: AtomicUsize,
    /// Since when the store has been at work, in microseconds from `began`, plus one; 0 if it is not.
    working_since: AtomicU64,
    began: Instant,
}

impl Shared {
    pub(super) fn new() -> Shared {
        Shared { queued_bytes: AtomicUsize::new(0), working_since: AtomicU64::new(0), began: Instant::now() }
    }

    /// How long the store has been at work; none if it is not.
    pub(super) fn working_for(&self) -> Option<Duration> {
        match self.working_since.load(Ordering::Relaxed) {
            0 => None,
            since => Some(Duration::from_micros(self.now().saturating_sub(since))),
        }
    }

    /// The store is at work until the guard is dropped.
    pub(super) fn begin_work(self: &Arc<Shared>) -> WorkGuard {
        self.working_since.store(self.now(), Ordering::Relaxed);
        WorkGuard { shared: Arc::clone(self) }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX - 1) + 1
    }
}

/// As long as it lives the store is at work.
pub(super) struct WorkGuard {
    shared: Arc<Shared>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.shared.working_since.store(0, Ordering::Relaxed);
    }
}

/// The bytes that a write takes while it is queued.
pub(super) fn queued_size(write: &Write) -> usize {
    let of = |key: &KeyId| key.tenant.len() + key.class.len() + key.key.len();
    let claimed = match &write.claim {
        Claim::None | Claim::FreeServed { .. } => 0,
        Claim::Take(key) | Claim::Set(key, _) | Claim::Free(key) | Claim::FreeOwn(key) => of(key),
    };
    let row = &write.row;
    let texts = row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len);
    size_of::<Write>() + texts + row.key.as_ref().map_or(0, of) + claimed
}
