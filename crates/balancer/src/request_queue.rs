//! The queue of requests that wait for capacity.

use crate::request::PriorityLevel;
use shaletide_types::*;

/// New requests that found no capacity, and for which none is sought until something has changed: trying a long queue
/// in vain costs too much processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Blocked {
    #[default]
    None,
    LowPriority,
    /// All but retries.
    AllNew,
}

/// Requests that no attempt is sent for until a backend has capacity, in the order in which they were queued.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueue {
    requests: Vec<RequestId>,
    blocked: Blocked,
}

impl RequestQueue {
    pub fn push(&mut self, id: RequestId) {
        self.requests.push(id);
    }

    /// Adds a request that may be queued already.
    pub fn push_if_absent(&mut self, id: RequestId) {
        if !self.requests.contains(&id) {
            self.requests.push(id);
        }
    }

    pub fn remove(&mut self, id: RequestId) {
        self.requests.retain(|queued| *queued != id);
    }

    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Empties the queue.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests)
    }

    /// A new request of this priority found no capacity: none is sought for others of it, or of a lower one, until
    /// [`RequestQueue::unblock`], though one that may go elsewhere might find some.
    pub fn block(&mut self, priority: PriorityLevel) {
        let blocked = match priority {
            PriorityLevel::Low => Blocked::LowPriority,
            PriorityLevel::Normal => Blocked::AllNew,
        };
        self.blocked = self.blocked.max(blocked);
    }

    /// Capacity may have become free.
    pub fn unblock(&mut self) {
        self.blocked = Blocked::None;
    }

    /// Whether new requests of this priority would find no capacity.
    pub fn is_blocked(&self, priority: PriorityLevel) -> bool {
        match self.blocked {
            Blocked::None => false,
            Blocked::LowPriority => priority == PriorityLevel::Low,
            Blocked::AllNew => true,
        }
    }

    /// Whether no new request at all would find capacity.
    pub fn is_blocked_for_all(&self) -> bool {
        self.blocked == Blocked::AllNew
    }
}
