//! Selects the pool of a request: on arrival, on failover, when a pool closes, and when one becomes available again.

use super::pending::PendingRequest;
use super::{Action, Pools};
use shaletide_balancer::{self as balancer, Arrival, GiveUpReason, PoolHealth, TransferredRequest};
use shaletide_types::*;
use std::rc::Rc;

/// The `Retry-After` if the route has no open pool; a later configuration may add one.
const NO_POOL_RETRY_AFTER: Micros = Micros(1_000_000);

/// The pool selected for a request.
struct SelectedPool {
    pool: PoolId,
    /// Whether the request may fail over to another pool afterwards.
    may_fail_over: bool,
}

impl Pools {
    pub(super) fn accept_request(
        &mut self, now: Time, mut arrival: Arrival, route: Rc<[PoolId]>, actions: &mut Vec<Action>,
    ) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        let mut pending = PendingRequest::new(route);
        let Some(selected) = self.select_pool(now, &mut pending) else {
            // No attempt was sent, so a retry is harmless.
            let reason = GiveUpReason::NoEligibleBackend;
            actions.push(Action::Reject { request, retry_after: NO_POOL_RETRY_AFTER, reason });
            return;
        };
        arrival.may_fail_over = selected.may_fail_over;
        self.add_pending(request, selected.pool, pending);
        self.balancer_events.push_back((selected.pool, balancer::Event::Request(arrival)));
    }

    /// Selects the first pool of the route that is available and has not been tried. If there is none, selects the first
    /// pool with the best health, tried or not; the request may then not fail over any more.
    fn select_pool(&self, now: Time, pending: &mut PendingRequest) -> Option<SelectedPool> {
        let available =
            pending.untried().find(|(_, pool)| self.health(now, *pool) == Some(PoolHealth::Available));
        if let Some((position, pool)) = available {
            pending.mark_tried(position);
            // Every open pool counts: it may have become available by the time of a failover.
            let may_fail_over = pending.untried().any(|(_, other)| self.health(now, other).is_some());
            return Some(SelectedPool { pool, may_fail_over });
        }
        let mut best: Option<(PoolId, PoolHealth)> = None;
        for (_, pool) in pending.route() {
            let Some(health) = self.health(now, pool) else { continue };
            if best.is_none_or(|(_, best_health)| health > best_health) {
                best = Some((pool, health));
            }
        }
        best.map(|(pool, _)| SelectedPool { pool, may_fail_over: false })
    }

    fn add_pending(&mut self, request: RequestId, pool: PoolId, mut pending: PendingRequest) {
        if let Some(owner) = self.pools.get_mut(&pool) {
            owner.pending_requests += 1;
        }
        pending.pool = pool;
        self.requests.insert(request, pending);
    }

    /// Removes a request that is answered or that leaves its pool.
    pub(super) fn remove_pending(&mut self, request: RequestId) -> Option<PendingRequest> {
        let pending = self.requests.remove(&request)?;
        if let Some(pool) = self.pools.get_mut(&pending.pool) {
            pool.pending_requests -= 1;
        }
        Some(pending)
    }

    /// Gives a request that a balancer cannot serve to the next pool.
    pub(super) fn fail_over(
        &mut self, now: Time, from: PoolId, request: RequestId, transferred: TransferredRequest,
    ) {
        if let Some(pending) = self.remove_pending(request) {
            self.transfer(now, from, request, pending, transferred);
        }
    }

    /// Gives all requests queued in a pool to a pool of their route, as if no pool had been tried.
    pub(super) fn transfer_queued(&mut self, now: Time, from: PoolId) {
        let Some(pool) = self.pools.get_mut(&from) else { return };
        for (request, transferred) in pool.balancer.release_queued() {
            if let Some(mut pending) = self.remove_pending(request) {
                pending.clear_tried();
                self.transfer(now, from, request, pending, transferred);
            }
        }
    }

    /// Gives a request to a pool of its route. If the route has no open pool, the request returns to `from`, because an
    /// attempt in flight may still be served.
    fn transfer(
        &mut self, now: Time, from: PoolId, request: RequestId, mut pending: PendingRequest,
        transferred: TransferredRequest,
    ) {
        let selected =
            self.select_pool(now, &mut pending).unwrap_or(SelectedPool { pool: from, may_fail_over: false });
        self.add_pending(request, selected.pool, pending);
        let transferred = Box::new(transferred.with_failover(selected.may_fail_over));
        self.balancer_events.push_back((selected.pool, balancer::Event::FailedOver(request, transferred)));
    }

    /// Reselects the pool of all requests queued in unavailable pools, after a pool became available.
    pub(super) fn relieve_unavailable_pools(&mut self, now: Time) {
        let mut unavailable: Vec<PoolId> = Vec::new();
        for (id, pool) in &self.pools {
            if pool.pending_requests > 0 && !pool.is_available(now) {
                unavailable.push(*id);
            }
        }
        for from in unavailable {
            self.transfer_queued(now, from);
        }
    }
}
