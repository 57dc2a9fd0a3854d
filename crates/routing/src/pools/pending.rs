//! A request that waits for its answer, and the pools of its route that have been tried.

use shaletide_types::PoolId;
use std::rc::Rc;

/// The maximum number of pools of a route that a request may be given to; further ones are not tried. Each is a bit of
/// [`PendingRequest::tried_pools`]. The configuration file allows as many pools.
const MAX_ROUTE_POOLS: usize = u64::BITS as usize;

#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The pool whose balancer answers the request.
    pub pool: PoolId,
    /// The pools of the request's route, in order of preference.
    route: Rc<[PoolId]>,
    /// The pools of the route that the request has been given to, one bit for each position.
    tried_pools: u64,
}

impl PendingRequest {
    /// Creates a pending request; `pool` is set once a pool has been selected.
    pub fn new(route: Rc<[PoolId]>) -> PendingRequest {
        PendingRequest { pool: PoolId(0), route, tried_pools: 0 }
    }

    /// The pools of the route with their positions.
    pub fn route(&self) -> impl Iterator<Item = (usize, PoolId)> + '_ {
        self.route.iter().copied().enumerate().take(MAX_ROUTE_POOLS)
    }

    /// The pools of [`Self::route`] that the request has not been given to.
    pub fn untried(&self) -> impl Iterator<Item = (usize, PoolId)> + '_ {
        self.route().filter(|(position, _)| self.tried_pools & (1 << position) == 0)
    }

    pub fn mark_tried(&mut self, position: usize) {
        self.tried_pools |= 1 << position;
    }

    /// Allows the request to be given to every pool of its route again.
    pub fn clear_tried(&mut self) {
        self.tried_pools = 0;
    }
}
