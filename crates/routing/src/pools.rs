//! All pools of a proxy as one machine: each has a decision module of its own, and a request that one of them
//! cannot take is handed to the next that its route names. Attempts, deadline, retry budget and quotas go along.
//!
//! Which backend, whether to retry and what is refused is the module's to say; here is only decided which module
//! is asked. The shell calls [`Pools::handle`] and carries out what comes back.

use shaletide_balancer as module;
use shaletide_balancer::{
    Arrival, AttemptEnd, Balancer, Config, ConfigError, GiveUpCounts, PoolHealth, SharedLimits,
    TransferredRequest,
};
use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Timer tokens of the modules lie below this; the pool's number stands above it.
const TOKENS: u32 = 40;
/// When to come back where no pool of the route is left: a further configuration may name one.
const NO_POOL: Micros = Micros(1_000_000);
/// Pools that there may ever be in the life of a program.
pub const MOST_POOLS: u32 = 1 << (64 - TOKENS);

/// Pools of a route that a request may be handed on to: the bits of [`Owed::asked`]. A file has as many pools at most.
const MAX_ROUTE_POOLS: usize = u64::BITS as usize;

/// What the shell tells.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of a pool's list.
    EndpointsUpdated {
        /// Whose.
        pool: PoolId,
        /// What sort of news.
        update: EndpointUpdate,
        /// The entries.
        backends: Vec<BackendEntry>,
    },
    /// A backend belongs to another pool from now on; the news of that pool's list follows.
    BackendMoved {
        /// Which.
        backend: BackendId,
        /// The pool that it leaves.
        from: PoolId,
        /// The one that it joins.
        to: PoolId,
    },
    /// A request and the pools that its route names, the first of them preferred. It is owed one final answer.
    Request {
        /// The request.
        arrival: Arrival,
        /// Where to; pools that there are not (any more) are passed over.
        pools: Rc<[PoolId]>,
    },
    /// The answer has begun to stream.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// What a backend says of its own load.
    LoadReported {
        /// The pool that it belongs to.
        pool: PoolId,
        /// Which.
        backend: BackendId,
        /// What it says.
        report: LoadReport,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A pool is no more: what it holds is handed on or given up at once, and what is out at its backends ends
    /// as ever.
    PoolClosed {
        /// Which.
        pool: PoolId,
    },
    /// A timer fell due.
    Timer {
        /// Which.
        token: TimerToken,
    },
}

/// What the shell is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Its number within the request.
        attempt: AttemptNumber,
        /// Where to.
        backend: BackendId,
        /// The first byte may go out only before then.
        send_by: Option<Time>,
    },
    /// Final answer: refused, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client had better come again, from now.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
        /// When the client had better come again, should it turn out that nothing has run.
        retry_after: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Ask a pool's discovery for changes from now on.
    Subscribe {
        /// Whose.
        pool: PoolId,
    },
    /// A line for the operators.
    Log {
        /// The pool that it is about.
        pool: PoolId,
        /// The line.
        text: String,
    },
}

/// A request that is owed an answer.
#[derive(Clone, Debug)]
struct Owed {
    /// Whose module answers it.
    pool: PoolId,
    /// The pools of its route.
    route: Rc<[PoolId]>,
    /// Those of them that have been asked, a bit each.
    asked: u64,
}

/// An attempt that has not ended, and the pool of its backend.
#[derive(Clone, Copy, Debug)]
struct Flight {
    backend: BackendId,
    pool: PoolId,
}

#[derive(Clone, Debug)]
struct Pool {
    module: Balancer,
    /// It is no more, but for what it still holds.
    closing: bool,
    /// Requests that its module owes an answer, and attempts at its backends.
    owes: u32,
    holds: u32,
    /// A backend has moved in while nothing could be sent to any other, and its list has not been told since.
    gained: bool,
}

/// The machine.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    pools: BTreeMap<PoolId, Pool>,
    shared: SharedLimits,
    requests: BTreeMap<RequestId, Owed>,
    flights: BTreeMap<(RequestId, AttemptNumber), Flight>,
    /// Events for the modules that others have brought about.
    work: VecDeque<(PoolId, module::Event)>,
    said: Vec<module::Action>,
}

impl Pools {
    /// No pool yet.
    pub fn new() -> Pools {
        Pools::default()
    }

    /// A further pool, or another configuration for one that there is.
    ///
    /// # Errors
    /// The field at fault; nothing is changed then.
    pub fn configure(&mut self, pool: PoolId, config: Config, seed: u64) -> Result<(), ConfigError> {
        match self.pools.get_mut(&pool) {
            Some(known) => known.module.reconfigure(config),
            None => {
                // Each draws for itself: pools that drew alike would move together.
                let module =
                    Balancer::new(config, seed ^ u64::from(pool.0).wrapping_mul(0x9e37_79b9_7f4a_7c15))?;
                self.pools.insert(pool, Pool { module, closing: false, owes: 0, holds: 0, gained: false });
                Ok(())
            }
        }
    }

    /// Requests given up by the modules of all pools since the last call, by reason.
    pub fn take_give_up_counts(&mut self) -> GiveUpCounts {
        let mut all = GiveUpCounts::default();
        self.pools.values_mut().for_each(|pool| all.merge(pool.module.take_give_up_counts()));
        all
    }

    /// The pools that there are.
    pub fn open(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.pools.iter().filter(|(_, p)| !p.closing).map(|(id, _)| *id)
    }

    /// How many there are, those included that are no more but hold something still.
    pub fn retained_count(&self) -> usize {
        self.pools.len()
    }

    /// Requests that are owed an answer.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                let was = self.health(now, pool).filter(|_| !self.gained(pool));
                self.work.push_back((pool, module::Event::EndpointsUpdated { update, backends }));
                self.run(now, actions);
                if was != Some(PoolHealth::Available) && self.health(now, pool) == Some(PoolHealth::Available)
                {
                    self.relieve(now);
                }
            }
            Event::BackendMoved { backend, from, to } => self.carry_over(now, backend, from, to),
            Event::Request { arrival, pools } => self.request(now, arrival, pools, actions),
            Event::StreamStarted { request, attempt } => {
                if let Some(owed) = self.requests.get(&request) {
                    self.work.push_back((owed.pool, module::Event::StreamStarted { request, attempt }));
                }
            }
            Event::LoadReported { pool, backend, report } => {
                self.work.push_back((pool, module::Event::LoadReported(backend, report)));
            }
            Event::AttemptEnded(end) => self.ended(end),
            Event::ClientDisconnected { request } => {
                if let Some(owed) = self.requests.get(&request) {
                    self.work.push_back((owed.pool, module::Event::ClientDisconnected { request }));
                    self.settle(request);
                }
            }
            Event::PoolClosed { pool } => {
                if let Some(p) = self.pools.get_mut(&pool) {
                    p.closing = true;
                    let held = p.module.release_queued();
                    let (update, backends) = (EndpointUpdate::Snapshot, Vec::new());
                    self.work.push_back((pool, module::Event::EndpointsUpdated { update, backends }));
                    self.work.push_back((pool, module::Event::Drain));
                    held.into_iter().for_each(|(id, handover)| self.place_anew(now, pool, id, handover));
                }
            }
            Event::Timer { token } => {
                let pool = PoolId((token.0 >> TOKENS) as u32);
                let token = TimerToken(token.0 & ((1 << TOKENS) - 1));
                self.work.push_back((pool, module::Event::Timer { token }));
            }
        }
        self.run(now, actions);
    }

    /// Whether a pool can take anything; `None` where there is no such pool.
    pub fn health(&self, now: Time, pool: PoolId) -> Option<PoolHealth> {
        self.pools.get(&pool).filter(|p| !p.closing).map(|p| p.module.health(now))
    }

    fn request(&mut self, now: Time, mut arrival: Arrival, route: Rc<[PoolId]>, actions: &mut Vec<Action>) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        let mut owed = Owed { pool: PoolId(0), route, asked: 0 };
        let Some((pool, more)) = self.next(now, &mut owed) else {
            // No pool of its route is left: it was never sent anywhere, and the next may be for another route.
            actions.push(Action::Reject { request, retry_after: NO_POOL });
            return;
        };
        owed.pool = pool;
        arrival.may_fail_over = more;
        self.own(request, owed);
        self.work.push_back((pool, module::Event::Request(arrival)));
    }

    /// The pool to ask next, and whether another can be asked after it: the first of the route that can take
    /// something and has not been asked. Where none can, the first that at least has backends, for good.
    fn next(&self, now: Time, owed: &mut Owed) -> Option<(PoolId, bool)> {
        let places = || owed.route.iter().enumerate().take(MAX_ROUTE_POOLS);
        let open = |pool: &PoolId| self.health(now, *pool);
        let fresh = places().filter(|(at, _)| owed.asked & (1 << at) == 0);
        let able =
            fresh.filter(|(_, pool)| open(pool) == Some(PoolHealth::Available)).map(|(at, pool)| (at, *pool));
        let mut able = able.collect::<Vec<_>>().into_iter();
        if let Some((at, pool)) = able.next() {
            owed.asked |= 1 << at;
            // Any other may be able by the time that this one is not.
            let more = places().any(|(at, pool)| owed.asked & (1 << at) == 0 && open(pool).is_some());
            return Some((pool, more));
        }
        let best = places().filter_map(|(_, pool)| Some((*pool, open(pool)?)));
        let best = best.reduce(|best, other| if other.1 > best.1 { other } else { best });
        best.map(|(pool, _)| (pool, false))
    }

    fn own(&mut self, request: RequestId, owed: Owed) {
        if let Some(pool) = self.pools.get_mut(&owed.pool) {
            pool.owes += 1;
        }
        self.requests.insert(request, owed);
    }

    /// The request is owed nothing any more.
    fn settle(&mut self, request: RequestId) -> Option<Owed> {
        let owed = self.requests.remove(&request)?;
        if let Some(pool) = self.pools.get_mut(&owed.pool) {
            pool.owes -= 1;
        }
        Some(owed)
    }

    /// A module gave a request up to the next.
    fn pass_on(&mut self, now: Time, from: PoolId, request: RequestId, handover: TransferredRequest) {
        if let Some(owed) = self.settle(request) {
            self.place(now, from, request, owed, handover);
        }
    }

    /// As if no pool had been asked yet.
    fn place_anew(&mut self, now: Time, from: PoolId, request: RequestId, handover: TransferredRequest) {
        if let Some(owed) = self.settle(request) {
            self.place(now, from, request, Owed { asked: 0, ..owed }, handover);
        }
    }

    /// Where no pool of its route is left it goes back to the one that had it: what is out may still be answered.
    fn place(
        &mut self, now: Time, from: PoolId, request: RequestId, mut owed: Owed, handover: TransferredRequest,
    ) {
        let (pool, more) = self.next(now, &mut owed).unwrap_or((from, false));
        owed.pool = pool;
        self.own(request, owed);
        let handover = Box::new(handover.with_failover(more));
        self.work.push_back((pool, module::Event::FailedOver(request, handover)));
    }

    /// A pool can take something again: what waits in pools that cannot is placed anew.
    fn relieve(&mut self, now: Time) {
        let stuck = |p: &Pool| p.owes > 0 && p.module.health(now) != PoolHealth::Available;
        let stuck: Vec<PoolId> = self.pools.iter().filter(|(_, p)| stuck(p)).map(|(id, _)| *id).collect();
        for from in stuck {
            let Some(pool) = self.pools.get_mut(&from) else { continue };
            let held = pool.module.release_queued();
            held.into_iter().for_each(|(id, handover)| self.place_anew(now, from, id, handover));
        }
    }

    /// Whether a backend that moved in has made it able; what waits elsewhere goes there when its list is told.
    fn gained(&mut self, pool: PoolId) -> bool {
        self.pools.get_mut(&pool).is_some_and(|p| std::mem::take(&mut p.gained))
    }

    fn carry_over(&mut self, now: Time, backend: BackendId, from: PoolId, to: PoolId) {
        if from == to || !self.pools.contains_key(&to) {
            return;
        }
        let Some(moved) = self.pools.get_mut(&from).and_then(|p| p.module.migrate_out(backend)) else {
            return;
        };
        let mut count = 0;
        for flight in self.flights.values_mut().filter(|f| f.backend == backend && f.pool == from) {
            flight.pool = to;
            count += 1;
        }
        self.pools.entry(from).and_modify(|p| p.holds -= count);
        self.pools.entry(to).and_modify(|p| {
            p.holds += count;
            p.gained |= p.module.health(now) != PoolHealth::Available;
            p.module.migrate_in(moved);
        });
    }

    /// The module of the backend's pool learns from it, and that of the request's, if another, goes on from it.
    fn ended(&mut self, end: AttemptEnd) {
        let Some(flight) = self.flights.remove(&(end.request, end.attempt)) else { return };
        if let Some(pool) = self.pools.get_mut(&flight.pool) {
            pool.holds -= 1;
        }
        let owner = self.requests.get(&end.request).map(|owed| owed.pool);
        if end.request_answered || end.outcome == Outcome::Ok {
            self.settle(end.request);
        }
        if let Some(owner) = owner.filter(|owner| *owner != flight.pool) {
            self.work.push_back((owner, module::Event::AttemptEnded(end.clone())));
        }
        self.work.push_back((flight.pool, module::Event::AttemptEnded(end)));
    }

    /// Lets the modules work until nothing is left to tell them. Each request is told to a pool of its route
    /// once, and to one of them a last time, so this ends.
    fn run(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((id, event)) = self.work.pop_front() {
            let Some(pool) = self.pools.get_mut(&id) else { continue };
            let mut said = std::mem::take(&mut self.said);
            pool.module.handle(now, event, &mut self.shared, &mut said);
            said.drain(..).for_each(|action| self.translate(now, id, action, actions));
            self.said = said;
            if self.pools.get(&id).is_some_and(|p| p.closing && p.owes == 0 && p.holds == 0) {
                self.pools.remove(&id);
            }
        }
    }

    fn translate(&mut self, now: Time, pool: PoolId, action: module::Action, actions: &mut Vec<Action>) {
        actions.push(match action {
            module::Action::Dispatch { request, attempt, backend, send_by } => {
                self.flights.insert((request, attempt), Flight { backend, pool });
                self.pools.entry(pool).and_modify(|p| p.holds += 1);
                Action::Dispatch { request, attempt, backend, send_by }
            }
            module::Action::FailOver { request, handover } => {
                return self.pass_on(now, pool, request, *handover)
            }
            module::Action::Reject { request, retry_after } => {
                self.settle(request);
                Action::Reject { request, retry_after }
            }
            module::Action::Fail { request, retry_after } => {
                self.settle(request);
                Action::Fail { request, retry_after }
            }
            module::Action::Cancel { request, attempt } => Action::Cancel { request, attempt },
            module::Action::SetTimer { token, after } => {
                let token = TimerToken(u64::from(pool.0) << TOKENS | token.0 & ((1 << TOKENS) - 1));
                Action::SetTimer { token, after }
            }
            module::Action::Subscribe => Action::Subscribe { pool },
            module::Action::Log(text) => Action::Log { pool, text },
        });
    }
}
