//! All pools of a proxy as one state machine. Each pool has its own balancer. A request that a pool cannot serve fails
//! over to the next pool of its route and keeps its attempts, deadline, retry budget and quotas.
//!
//! The balancers select backends and decide on retries and rejection; this module only decides which balancer is
//! responsible for a request. The engine calls [`Pools::handle`] and carries out the actions.

mod event;
mod failover;
mod pending;
mod pool;

use pending::PendingRequest;
use pool::Pool;
use shaletide_balancer::{
    self as balancer, AttemptEnd, Balancer, Config, ConfigError, GiveUpCounts, PoolHealth, SharedLimits,
};
use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

pub use event::{Action, Event};

/// The number of low bits of a timer token that hold the balancer's token. The bits above hold the pool's number.
const BALANCER_TOKEN_BITS: u32 = 40;
const BALANCER_TOKEN_MASK: u64 = (1 << BALANCER_TOKEN_BITS) - 1;

/// The maximum number of pools over the lifetime of a process: the numbers that fit into a timer token.
pub const MAX_POOLS: u32 = 1 << (64 - BALANCER_TOKEN_BITS);

/// The multiplier that spreads a pool's number over all bits of its random seed.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// An attempt in flight, with the pool of its backend.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    backend: BackendId,
    pool: PoolId,
}

/// All pools, the requests that wait for an answer, and the attempts in flight.
///
/// Bounds: the pools in the configuration, and closed pools until their last attempt has ended; an entry for each request
/// without an answer and for each attempt in flight.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    pools: BTreeMap<PoolId, Pool>,
    shared: SharedLimits,
    requests: BTreeMap<RequestId, PendingRequest>,
    in_flight: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,
    /// Events that the balancers have not handled yet.
    balancer_events: VecDeque<(PoolId, balancer::Event)>,
    /// Empty between calls; kept to reuse its allocation.
    balancer_actions: Vec<balancer::Action>,
}

impl Pools {
    /// Creates a state machine without pools.
    pub fn new() -> Pools {
        Pools::default()
    }

    /// Adds a pool, or replaces the configuration of an existing one. `seed`: for the random numbers of a new pool.
    ///
    /// # Errors
    /// The invalid field; nothing is changed.
    pub fn configure(&mut self, pool: PoolId, config: Config, seed: u64) -> Result<(), ConfigError> {
        if let Some(known) = self.pools.get_mut(&pool) {
            return known.balancer.reconfigure(config);
        }
        // With the same random numbers, all pools would select the backend at the same position.
        let pool_seed = seed ^ u64::from(pool.0).wrapping_mul(SEED_MULTIPLIER);
        self.pools.insert(pool, Pool::new(Balancer::new(config, pool_seed)?));
        Ok(())
    }

    /// The numbers of requests that the balancers of all pools have given up since the last call, by reason.
    pub fn take_give_up_counts(&mut self) -> GiveUpCounts {
        let mut total = GiveUpCounts::default();
        for pool in self.pools.values_mut() {
            total.merge(pool.balancer.take_give_up_counts());
        }
        total
    }

    /// The pools that are not closed.
    pub fn open_pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.pools.iter().filter(|(_, pool)| !pool.closed).map(|(id, _)| *id)
    }

    /// The number of pools, including closed ones that still have pending requests or attempts in flight.
    pub fn retained_count(&self) -> usize {
        self.pools.len()
    }

    /// The number of requests without an answer.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a pool can take requests; `None` if there is no such pool or it is closed.
    pub fn health(&self, now: Time, pool: PoolId) -> Option<PoolHealth> {
        let open = self.pools.get(&pool).filter(|known| !known.closed)?;
        Some(open.balancer.health(now))
    }

    /// Handles one event that happened at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                self.update_endpoints(now, pool, update, backends, actions)
            }
            Event::BackendMoved { backend, from, to } => self.migrate_backend(now, backend, from, to),
            Event::Request { arrival, pools } => self.accept_request(now, arrival, pools, actions),
            Event::StreamStarted { request, attempt } => {
                self.notify_owner(request, balancer::Event::StreamStarted { request, attempt })
            }
            Event::LoadReported { pool, backend, report } => {
                self.balancer_events.push_back((pool, balancer::Event::LoadReported(backend, report)))
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(end),
            Event::ClientDisconnected { request } => {
                self.notify_owner(request, balancer::Event::ClientDisconnected { request });
                self.remove_pending(request);
            }
            Event::PoolClosed { pool } => self.close_pool(now, pool),
            Event::Timer { token } => self.on_timer(token),
        }
        self.run_balancers(now, actions);
    }

    fn update_endpoints(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, backends: Vec<BackendEntry>,
        actions: &mut Vec<Action>,
    ) {
        let health_before = self.health(now, pool);
        let gained_backend = health_before.is_some() && self.take_gained_backend(pool);
        let was_available = health_before == Some(PoolHealth::Available) && !gained_backend;
        self.balancer_events.push_back((pool, balancer::Event::EndpointsUpdated { update, backends }));
        self.run_balancers(now, actions);
        if !was_available && self.health(now, pool) == Some(PoolHealth::Available) {
            self.relieve_unavailable_pools(now);
        }
    }

    /// Whether the pool became available through a backend that migrated into it; resets the flag. Requests queued in
    /// other pools are transferred to the pool when its endpoint list is updated, not before.
    fn take_gained_backend(&mut self, pool: PoolId) -> bool {
        self.pools.get_mut(&pool).is_some_and(|known| std::mem::take(&mut known.gained_backend))
    }

    /// Transfers a backend's state and its attempts in flight from the old pool's balancer to the new pool's.
    fn migrate_backend(&mut self, now: Time, backend: BackendId, from: PoolId, to: PoolId) {
        if from == to || !self.pools.contains_key(&to) {
            return;
        }
        let Some(old_pool) = self.pools.get_mut(&from) else { return };
        let Some(migrated) = old_pool.balancer.migrate_out(backend) else { return };
        let mut moved_attempts = 0;
        for attempt in self.in_flight.values_mut() {
            if attempt.backend == backend && attempt.pool == from {
                attempt.pool = to;
                moved_attempts += 1;
            }
        }
        old_pool.in_flight_attempts -= moved_attempts;
        let Some(new_pool) = self.pools.get_mut(&to) else { return };
        new_pool.in_flight_attempts += moved_attempts;
        new_pool.gained_backend |= !new_pool.is_available(now);
        new_pool.balancer.migrate_in(migrated);
    }

    /// Closes a pool. Queued requests are transferred to other pools or given up; attempts in flight continue to their end.
    fn close_pool(&mut self, now: Time, pool: PoolId) {
        let Some(closing) = self.pools.get_mut(&pool) else { return };
        closing.closed = true;
        let empty_list =
            balancer::Event::EndpointsUpdated { update: EndpointUpdate::Snapshot, backends: Vec::new() };
        self.balancer_events.push_back((pool, empty_list));
        self.balancer_events.push_back((pool, balancer::Event::PoolClosed));
        self.transfer_queued(now, pool);
    }

    fn on_timer(&mut self, token: TimerToken) {
        let pool = PoolId((token.0 >> BALANCER_TOKEN_BITS) as u32);
        let token = TimerToken(token.0 & BALANCER_TOKEN_MASK);
        self.balancer_events.push_back((pool, balancer::Event::Timer { token }));
    }

    /// Passes an event to the balancer that has to answer the request.
    fn notify_owner(&mut self, request: RequestId, event: balancer::Event) {
        if let Some(pending) = self.requests.get(&request) {
            self.balancer_events.push_back((pending.pool, event));
        }
    }

    /// Reports the end of an attempt to the balancer of the request's pool, which decides how to continue, and to that of
    /// the backend's pool, which updates its state of the backend.
    fn on_attempt_ended(&mut self, end: AttemptEnd) {
        let Some(attempt) = self.in_flight.remove(&(end.request, end.attempt)) else { return };
        if let Some(pool) = self.pools.get_mut(&attempt.pool) {
            pool.in_flight_attempts -= 1;
        }
        let owner = self.requests.get(&end.request).map(|pending| pending.pool);
        if end.request_answered || end.outcome == Outcome::Ok {
            self.remove_pending(end.request);
        }
        if let Some(owner) = owner.filter(|owner| *owner != attempt.pool) {
            self.balancer_events.push_back((owner, balancer::Event::AttemptEnded(end.clone())));
        }
        self.balancer_events.push_back((attempt.pool, balancer::Event::AttemptEnded(end)));
    }

    /// Passes pending events to the balancers until none are left. This terminates, because a request is given to each
    /// pool of its route at most once, and then to one of them for a last time.
    fn run_balancers(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((id, event)) = self.balancer_events.pop_front() {
            let Some(pool) = self.pools.get_mut(&id) else { continue };
            let mut balancer_actions = std::mem::take(&mut self.balancer_actions);
            pool.balancer.handle(now, event, &mut self.shared, &mut balancer_actions);
            for action in balancer_actions.drain(..) {
                self.run_balancer_action(now, id, action, actions);
            }
            self.balancer_actions = balancer_actions;
            if self.pools.get(&id).is_some_and(Pool::is_removable) {
                self.pools.remove(&id);
            }
        }
    }

    fn run_balancer_action(
        &mut self, now: Time, pool: PoolId, action: balancer::Action, actions: &mut Vec<Action>,
    ) {
        match action {
            balancer::Action::Dispatch { request, attempt, backend, start_by } => {
                self.in_flight.insert((request, attempt), InFlightAttempt { backend, pool });
                if let Some(known) = self.pools.get_mut(&pool) {
                    known.in_flight_attempts += 1;
                }
                actions.push(Action::Dispatch { request, attempt, backend, start_by });
            }
            balancer::Action::FailOver { request, transferred } => {
                self.fail_over(now, pool, request, *transferred)
            }
            balancer::Action::Reject { request, retry_after, reason } => {
                self.remove_pending(request);
                actions.push(Action::Reject { request, retry_after, reason });
            }
            balancer::Action::Fail { request, retry_after, reason } => {
                self.remove_pending(request);
                actions.push(Action::Fail { request, retry_after, reason });
            }
            balancer::Action::Cancel { request, attempt } => {
                actions.push(Action::Cancel { request, attempt });
            }
            balancer::Action::SetTimer { token, after } => {
                let pool_bits = u64::from(pool.0) << BALANCER_TOKEN_BITS;
                let token = TimerToken(pool_bits | token.0 & BALANCER_TOKEN_MASK);
                actions.push(Action::SetTimer { token, after });
            }
            balancer::Action::Subscribe => actions.push(Action::Subscribe { pool }),
            balancer::Action::Log(text) => actions.push(Action::Log { pool, text }),
        }
    }
}
