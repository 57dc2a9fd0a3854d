//! The queue of requests that wait for capacity at a backend.

use crate::request::PriorityLevel;
use shaletide_types::*;

/// The new requests that are not tried again until capacity may have become free: trying a long queue in vain costs too
/// much processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Blocked {
    #[default]
    None,
    LowPriority,
    /// All requests but retries.
    AllNew,
}

/// Requests that wait until a backend has capacity, in the order in which they were queued.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueue {
    requests: Vec<RequestId>,
    blocked: Blocked,
}

impl RequestQueue {
    pub fn push(&mut self, id: RequestId) {
        self.requests.push(id);
    }

    /// Adds a request unless it is queued already.
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

    /// Empties the queue and returns its requests.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests)
    }

    /// Records that a new request of this priority found no capacity. Others of this or a lower priority are not tried
    /// until [`RequestQueue::unblock`], although one with other eligible backends might find capacity.
    pub fn block(&mut self, priority: PriorityLevel) {
        let blocked = match priority {
            PriorityLevel::Low => Blocked::LowPriority,
            PriorityLevel::Normal => Blocked::AllNew,
        };
        self.blocked = self.blocked.max(blocked);
    }

    /// Allows all requests again, as capacity may have become free.
    pub fn unblock(&mut self) {
        self.blocked = Blocked::None;
    }

    /// Returns whether new requests of this priority are assumed to find no capacity.
    pub fn is_blocked(&self, priority: PriorityLevel) -> bool {
        match self.blocked {
            Blocked::None => false,
            Blocked::LowPriority => priority == PriorityLevel::Low,
            Blocked::AllNew => true,
        }
    }

    /// Returns whether new requests of any priority are assumed to find no capacity.
    pub fn is_blocked_for_all(&self) -> bool {
        self.blocked == Blocked::AllNew
    }
}
