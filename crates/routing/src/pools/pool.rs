//! One pool: its balancer, and what still has to end before a closed one can be removed.

use shaletide_balancer::{Balancer, PoolHealth};
use shaletide_types::Time;

#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub balancer: Balancer,
    /// It is in no configuration any more and takes nothing new.
    pub closed: bool,
    /// Requests that its balancer has to answer.
    pub pending_requests: u32,
    /// Attempts in flight at its backends.
    pub in_flight_attempts: u32,
    /// A backend has moved in while no other was available, and the pool's list has not been updated since.
    pub gained_backend: bool,
}

impl Pool {
    pub fn new(balancer: Balancer) -> Pool {
        Pool { balancer, closed: false, pending_requests: 0, in_flight_attempts: 0, gained_backend: false }
    }

    pub fn is_available(&self, now: Time) -> bool {
        self.balancer.health(now) == PoolHealth::Available
    }

    /// Closed, and nothing of it is left to end.
    pub fn is_removable(&self) -> bool {
        self.closed && self.pending_requests == 0 && self.in_flight_attempts == 0
    }
}
