//! A simulation of [`Pools`] on a virtual clock. It carries out the actions and checks the invariants at each action.
#![allow(dead_code)]

use shaletide_balancer::{Arrival, AttemptEnd, Class, Config, PoolHealth};
use shaletide_routing::pools::{Action, Event};
use shaletide_routing::Pools;
use shaletide_types::*;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub struct Attempt {
    pub to: BackendEntry,
    pub at: Time,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|o| !o.not_executed())
    }
}

#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub class: usize,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub answer: Option<&'static str>,
    pub disconnected: bool,
}

pub struct Simulation {
    pub cfg: Config,
    pub pools: Pools,
    pub now: Time,
    /// The endpoint list of each pool.
    pub lists: BTreeMap<PoolId, BTreeMap<BackendId, BackendEntry>>,
    pub requests: BTreeMap<RequestId, ClientRequest>,
    pub timers: Vec<(Time, TimerToken)>,
    pub cancelled: Vec<(RequestId, usize)>,
    next: u64,
}

/// One second, in microseconds.
pub const SECOND: u64 = 1_000_000;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;
pub const WINDOW: Micros = Micros(800_000);

pub fn config() -> Config {
    let class = |idempotency| Class {
        latency_objective: Micros(400_000),
        latency_objective_per_work_hint: 0.0,
        idempotency,
        priority_weight: 1.0,
        late_weight_fraction: 0.2,
    };
    Config {
        proxies: 1,
        classes: vec![
            class(Idempotency::Safe),
            class(Idempotency::Keyed(DeduplicationScope::Group, WINDOW)),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![shaletide_balancer::Tenant { quota_per_s: 20.0 }],
        only_deduplication_domain: None,
        has_failover_pool: true,
        max_attempts: 4,
        min_timer_interval: Micros(5_000),
        ..Config::example()
    }
}

pub fn backend(id: u32, group: u64, domain: u32) -> BackendEntry {
    BackendEntry {
        id: BackendId(id),
        stable_hash: u64::from(id),
        deduplication_group: DeduplicationGroupId(group),
        deduplication_domain: domain,
        state: BackendState::Ready,
        ..BackendEntry::default()
    }
}

impl Simulation {
    /// Creates pools with numbers from 0, each with its endpoint list.
    pub fn new(cfg: Config, pools: &[Vec<BackendEntry>]) -> Simulation {
        let mut simulation = Simulation {
            cfg,
            pools: Pools::new(),
            now: Time(1_000_000_000),
            lists: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            cancelled: Vec::new(),
            next: 0,
        };
        for (at, list) in pools.iter().enumerate() {
            simulation.add_pool(at as u32);
            simulation.send_snapshot(at as u32, list.clone());
        }
        simulation
    }

    pub fn add_pool(&mut self, pool: u32) {
        self.pools.configure(PoolId(pool), self.cfg.clone(), 7).expect("valid");
        self.lists.entry(PoolId(pool)).or_default();
    }

    pub fn send_snapshot(&mut self, pool: u32, list: Vec<BackendEntry>) {
        let known = self.lists.entry(PoolId(pool)).or_default();
        *known = list.iter().map(|b| (b.id, b.clone())).collect();
        self.handle(Event::EndpointsUpdated {
            pool: PoolId(pool),
            update: EndpointUpdate::Snapshot,
            backends: list,
        });
    }

    /// Changes the state of one entry of a pool's endpoint list.
    pub fn set_state(&mut self, pool: u32, id: u32, state: BackendState) {
        let list = self.lists.get_mut(&PoolId(pool)).expect("a pool");
        let entry = list.get_mut(&BackendId(id)).expect("an entry");
        entry.state = state;
        let backends = vec![entry.clone()];
        self.handle(Event::EndpointsUpdated { pool: PoolId(pool), update: EndpointUpdate::Delta, backends });
    }

    pub fn migrate(&mut self, id: u32, from: u32, to: u32) {
        let entry =
            self.lists.get_mut(&PoolId(from)).expect("a pool").remove(&BackendId(id)).expect("an entry");
        self.lists.get_mut(&PoolId(to)).expect("a pool").insert(entry.id, entry);
        let (from, to) = (PoolId(from), PoolId(to));
        self.handle(Event::BackendMoved { backend: BackendId(id), from, to });
        for pool in [from, to] {
            let list: Vec<BackendEntry> = self.lists[&pool].values().cloned().collect();
            self.handle(Event::EndpointsUpdated { pool, update: EndpointUpdate::Snapshot, backends: list });
        }
    }

    pub fn close_pool(&mut self, pool: u32) {
        self.lists.remove(&PoolId(pool));
        self.handle(Event::PoolClosed { pool: PoolId(pool) });
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.pools.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn entry_of(&self, id: BackendId) -> Option<&BackendEntry> {
        self.lists.values().find_map(|list| list.get(&id))
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, attempt, backend, start_by } => {
                let to = self.entry_of(backend).expect("dispatched to a listed backend").clone();
                assert_eq!(to.state, BackendState::Ready, "dispatched to a draining or gone backend");
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(r.answer.is_none() && !r.disconnected, "dispatched after the request ended");
                assert_eq!(attempt.0 as usize, r.attempts.len(), "attempts are numbered over all pools");
                assert!(
                    r.attempts.len() < self.cfg.max_attempts as usize,
                    "attempts are counted over all pools"
                );
                for t in r.attempts.iter().filter(|t| t.may_have_executed()) {
                    match self.cfg.classes[r.class].idempotency {
                        Idempotency::Safe => {}
                        Idempotency::NonIdempotent => panic!("a non-idempotent request was dispatched twice"),
                        Idempotency::Keyed(_, window) => {
                            assert!(self.now <= t.at + window, "a key was repeated after its window");
                            assert!(
                                start_by.is_some_and(|by| by <= t.at + window),
                                "no start bound for a retry of a key"
                            );
                            let is_same_group = (t.to.deduplication_domain, t.to.deduplication_group)
                                == (to.deduplication_domain, to.deduplication_group);
                            assert!(is_same_group, "a key was repeated outside its group");
                        }
                    }
                }
                r.attempts.push(Attempt { to, at: self.now, outcome: None });
            }
            Action::Reject { request, retry_after, .. } => {
                assert!(retry_after > Micros(0), "rejected without Retry-After");
                let r = self.requests.get_mut(&request).expect("a known request");
                let may_have_executed = r.attempts.iter().any(Attempt::may_have_executed);
                assert!(
                    r.class == SAFE || !may_have_executed,
                    "rejected a request that may have been executed"
                );
                assert!(r.answer.replace("rejected").is_none() && !r.disconnected, "answered twice");
            }
            Action::Fail { request, .. } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(r.answer.replace("failed").is_none() && !r.disconnected, "answered twice");
            }
            Action::Cancel { request, attempt } => self.cancelled.push((request, attempt.0 as usize)),
            Action::SetTimer { token, after } => self.timers.push((self.now + after, token)),
            Action::Subscribe { .. } | Action::Log { .. } => {}
        }
    }

    pub fn send_request(&mut self, class: usize, left: u64, route: &[u32]) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let open = ClientRequest {
            class,
            deadline: self.now + Micros(left),
            attempts: Vec::new(),
            answer: None,
            disconnected: false,
        };
        self.requests.insert(request, open);
        let arrival = Arrival {
            request,
            class: ClassId(class),
            tenant: None,
            time_left: Micros(left),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let pools: Rc<[PoolId]> = route.iter().map(|p| PoolId(*p)).collect();
        self.handle(Event::Request { arrival, pools });
        request
    }

    pub fn disconnect(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.answer.is_none() && !r.disconnected) else {
            return;
        };
        r.disconnected = true;
        self.handle(Event::ClientDisconnected { request: id });
    }

    pub fn end_attempt(&mut self, id: RequestId, number: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.attempts.get_mut(number).filter(|t| t.outcome.is_none()) else { return };
        t.outcome = Some(outcome);
        let latency = now - t.at;
        if outcome == Outcome::Ok && r.answer.is_none() && !r.disconnected {
            r.answer = Some("served");
        }
        let request_answered = r.answer.is_some() || r.disconnected;
        let attempt = AttemptNumber(number as u32);
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            request_answered,
        }));
    }

    pub fn advance(&mut self, span: u64) {
        let until = self.now + Micros(span);
        while self.now < until {
            self.now = (self.now + self.cfg.min_timer_interval).min(until);
            let (due, rest) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= self.now);
            self.timers = rest;
            let due: Vec<(Time, TimerToken)> = due;
            for (_, token) in due {
                self.handle(Event::Timer { token });
            }
            for (id, number) in std::mem::take(&mut self.cancelled) {
                self.end_attempt(id, number, Outcome::Cancelled);
            }
            for (id, number) in self.attempts_in_flight() {
                if self.requests[&id].deadline <= self.now {
                    self.end_attempt(id, number, Outcome::TimedOut);
                }
            }
            for (id, r) in &self.requests {
                let open = r.answer.is_none() && !r.disconnected;
                assert!(!open || self.now < r.deadline + Micros(16_000), "no answer in time for {id:?}");
            }
        }
    }

    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(id, r)| {
            r.attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.outcome.is_none())
                .map(|(number, _)| (*id, number))
        });
        each.collect()
    }

    pub fn backends_tried(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id].attempts.iter().map(|t| t.to.id.0).collect()
    }

    pub fn answer_of(&self, id: RequestId) -> Option<&'static str> {
        self.requests[&id].answer
    }

    /// Sends `count` safe requests at the same time and returns how many are dispatched at once.
    pub fn burst(&mut self, count: usize, route: &[u32]) -> usize {
        let ids: Vec<RequestId> = (0..count).map(|_| self.send_request(SAFE, 1_000_000, route)).collect();
        ids.into_iter().map(|id| self.backends_tried(id).len()).sum()
    }

    /// Serves `count` safe requests one after the other, which fills the retry budget.
    pub fn warm_up(&mut self, count: usize, route: &[u32]) {
        for _ in 0..count {
            let id = self.send_request(SAFE, 3_000_000, route);
            self.advance(20_000);
            for (id, number) in self.attempts_in_flight() {
                self.end_attempt(id, number, Outcome::Ok);
            }
            assert_eq!(self.answer_of(id), Some("served"));
        }
    }

    /// Fails connections to a pool's backends until all are ejected.
    pub fn eject_all(&mut self, pool: u32) {
        for _ in 0..100 {
            if self.pools.health(self.now, PoolId(pool)) != Some(PoolHealth::Available) {
                return;
            }
            let id = self.send_request(SAFE, 3_000_000, &[pool]);
            for number in 0..self.requests[&id].attempts.len() {
                self.end_attempt(id, number, Outcome::ConnectFailed);
            }
            self.disconnect(id);
            self.advance(120_000); // the balancer recomputes its weights every 0.1 s
        }
        panic!("pool {pool} is still available after 100 rounds of failed connections");
    }
}

/// Creates two pools, each with its own deduplication domain and a backend in each of groups 1 and 2.
pub fn two_pools() -> Simulation {
    let pool = |from: u32, domain| vec![backend(from, 1, domain), backend(from + 1, 2, domain)];
    Simulation::new(config(), &[pool(0, 0), pool(10, 1)])
}

pub fn first_backend(simulation: &Simulation, id: RequestId) -> u32 {
    simulation.backends_tried(id)[0]
}
