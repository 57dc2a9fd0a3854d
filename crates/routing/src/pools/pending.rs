//! A request that waits for its answer, and which pools of its route it has been given to.

use shaletide_types::PoolId;
use std::rc::Rc;

/// Pools of a route that a request may be given to; further ones are not tried. A bit of
/// [`PendingRequest::tried_pools`] each; as many pools may stand in a file.
const MAX_ROUTE_POOLS: usize = u64::BITS as usize;

#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The pool whose balancer answers it.
    pub pool: PoolId,
    /// The pools of its route, the preferred first.
    route: Rc<[PoolId]>,
    /// Those of them that it has been given to, a bit each.
    tried_pools: u64,
}

impl PendingRequest {
    /// `pool` is set once one has been selected.
    pub fn new(route: Rc<[PoolId]>) -> PendingRequest {
        PendingRequest { pool: PoolId(0), route, tried_pools: 0 }
    }

    /// The pools of the route with their positions in it.
    pub fn route(&self) -> impl Iterator<Item = (usize, PoolId)> + '_ {
        self.route.iter().copied().enumerate().take(MAX_ROUTE_POOLS)
    }

    /// Those of [`Self::route`] that it has not been given to.
    pub fn untried(&self) -> impl Iterator<Item = (usize, PoolId)> + '_ {
        self.route().filter(|(position, _)| self.tried_pools & (1 << position) == 0)
    }

    pub fn mark_tried(&mut self, position: usize) {
        self.tried_pools |= 1 << position;
    }

    /// It may be given to every pool of its route again.
    pub fn clear_tried(&mut self) {
        self.tried_pools = 0;
    }
}
