//! A pool: its balancer, and the counts that have to reach zero before a closed pool can be removed.

use shaletide_balancer::{Balancer, PoolHealth};
use shaletide_types::Time;

#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub balancer: Balancer,
    /// Whether the pool was removed from the configuration and takes no new requests.
    pub closed: bool,
    /// The number of requests that the pool's balancer has to answer.
    pub pending_requests: u32,
    /// The number of attempts in flight at the pool's backends.
    pub in_flight_attempts: u32,
    /// Whether a backend migrated into the pool while it was unavailable, and its endpoint list has not been updated since.
    pub gained_backend: bool,
}

impl Pool {
    pub fn new(balancer: Balancer) -> Pool {
        Pool { balancer, closed: false, pending_requests: 0, in_flight_attempts: 0, gained_backend: false }
    }

    pub fn is_available(&self, now: Time) -> bool {
        self.balancer.health(now) == PoolHealth::Available
    }

    /// Whether the pool is closed and has neither pending requests nor attempts in flight.
    pub fn is_removable(&self) -> bool {
        self.closed && self.pending_requests == 0 && self.in_flight_attempts == 0
    }
}
