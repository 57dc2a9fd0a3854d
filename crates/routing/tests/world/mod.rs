//! A made-up world around the machine of all pools: it carries out what is asked and checks every rule as it goes.

use shaletide_balancer::{Arrival, AttemptEnd, Class, Config, PoolHealth};
use shaletide_routing::pools::{Action, Event};
use shaletide_routing::Pools;
use shaletide_types::*;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Debug)]
pub struct Try {
    pub to: BackendEntry,
    pub at: Time,
    pub outcome: Option<Outcome>,
}

impl Try {
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.not_executed())
    }
}

#[derive(Clone, Debug)]
pub struct Open {
    pub class: usize,
    pub deadline: Time,
    pub tries: Vec<Try>,
    pub answer: Option<&'static str>,
    pub left: bool,
}

pub struct World {
    pub cfg: Config,
    pub pools: Pools,
    pub now: Time,
    /// What each pool's list says.
    pub lists: BTreeMap<PoolId, BTreeMap<BackendId, BackendEntry>>,
    pub requests: BTreeMap<RequestId, Open>,
    pub timers: Vec<(Time, TimerToken)>,
    pub cancelled: Vec<(RequestId, usize)>,
    next: u64,
}

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const WINDOW: Micros = Micros(800_000);

pub fn config() -> Config {
    let class = |effect| Class {
        latency_objective: Micros(400_000),
        latency_objective_per_work_hint: 0.0,
        idempotency: effect,
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

pub fn backend(id: u32, cell: u64, realm: u32) -> BackendEntry {
    let (state, cell) = (BackendState::Ready, DeduplicationGroupId(cell));
    BackendEntry {
        id: BackendId(id),
        stable_hash: u64::from(id),
        deduplication_group: cell,
        deduplication_domain: realm,
        state,
        ..BackendEntry::default()
    }
}

impl World {
    /// Pools numbered from 0, each with its list.
    pub fn new(cfg: Config, pools: &[Vec<BackendEntry>]) -> World {
        let mut world = World {
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
            world.open(at as u32);
            world.full(at as u32, list.clone());
        }
        world
    }

    pub fn open(&mut self, pool: u32) {
        self.pools.configure(PoolId(pool), self.cfg.clone(), 7).expect("sound");
        self.lists.entry(PoolId(pool)).or_default();
    }

    pub fn full(&mut self, pool: u32, list: Vec<BackendEntry>) {
        let known = self.lists.entry(PoolId(pool)).or_default();
        *known = list.iter().map(|b| (b.id, b.clone())).collect();
        self.event(Event::EndpointsUpdated {
            pool: PoolId(pool),
            update: EndpointUpdate::Snapshot,
            backends: list,
        });
    }

    /// A change of one entry's state.
    pub fn set(&mut self, pool: u32, id: u32, state: BackendState) {
        let list = self.lists.get_mut(&PoolId(pool)).expect("a pool");
        let entry = list.get_mut(&BackendId(id)).expect("an entry");
        entry.state = state;
        let backends = vec![entry.clone()];
        self.event(Event::EndpointsUpdated { pool: PoolId(pool), update: EndpointUpdate::Delta, backends });
    }

    pub fn shift(&mut self, id: u32, from: u32, to: u32) {
        let entry =
            self.lists.get_mut(&PoolId(from)).expect("a pool").remove(&BackendId(id)).expect("an entry");
        self.lists.get_mut(&PoolId(to)).expect("a pool").insert(entry.id, entry);
        let (from, to) = (PoolId(from), PoolId(to));
        self.event(Event::BackendMoved { backend: BackendId(id), from, to });
        for pool in [from, to] {
            let list: Vec<BackendEntry> = self.lists[&pool].values().cloned().collect();
            self.event(Event::EndpointsUpdated { pool, update: EndpointUpdate::Snapshot, backends: list });
        }
    }

    pub fn close(&mut self, pool: u32) {
        self.lists.remove(&PoolId(pool));
        self.event(Event::PoolClosed { pool: PoolId(pool) });
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.pools.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.apply(action));
    }

    fn listed(&self, id: BackendId) -> Option<&BackendEntry> {
        self.lists.values().find_map(|list| list.get(&id))
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, attempt, backend, send_by } => {
                let to = self.listed(backend).expect("sent to a listed backend").clone();
                assert_eq!(to.state, BackendState::Ready, "sent to one that drains or is gone");
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(r.answer.is_none() && !r.left, "sent after its end");
                assert_eq!(attempt.0 as usize, r.tries.len(), "attempts are numbered over all pools");
                assert!(
                    r.tries.len() < self.cfg.max_attempts as usize,
                    "attempts are counted over all pools"
                );
                for t in r.tries.iter().filter(|t| t.may_have_run()) {
                    match self.cfg.classes[r.class].idempotency {
                        Idempotency::Safe => {}
                        Idempotency::NonIdempotent => panic!("an unsafe request was sent twice"),
                        Idempotency::Keyed(_, window) => {
                            assert!(self.now <= t.at + window, "a key was repeated after its window");
                            assert!(
                                send_by.is_some_and(|by| by <= t.at + window),
                                "no bound on the first byte"
                            );
                            let same = (t.to.deduplication_domain, t.to.deduplication_group)
                                == (to.deduplication_domain, to.deduplication_group);
                            assert!(same, "a key was repeated outside its group");
                        }
                    }
                }
                r.tries.push(Try { to, at: self.now, outcome: None });
            }
            Action::Reject { request, retry_after } => {
                assert!(retry_after > Micros(0), "refused without advice");
                let r = self.requests.get_mut(&request).expect("a known request");
                let ran = r.tries.iter().any(Try::may_have_run);
                assert!(r.class == SAFE || !ran, "refused what may have run");
                assert!(r.answer.replace("refused").is_none() && !r.left, "answered twice");
            }
            Action::Fail { request, .. } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(r.answer.replace("failed").is_none() && !r.left, "answered twice");
            }
            Action::Cancel { request, attempt } => self.cancelled.push((request, attempt.0 as usize)),
            Action::SetTimer { token, after } => self.timers.push((self.now + after, token)),
            Action::Subscribe { .. } | Action::Log { .. } => {}
        }
    }

    pub fn arrive(&mut self, class: usize, left: u64, route: &[u32]) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let open =
            Open { class, deadline: self.now + Micros(left), tries: Vec::new(), answer: None, left: false };
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
        self.event(Event::Request { arrival, pools });
        request
    }

    pub fn leave(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.answer.is_none() && !r.left) else { return };
        r.left = true;
        self.event(Event::ClientDisconnected { request: id });
    }

    pub fn end(&mut self, id: RequestId, no: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.tries.get_mut(no).filter(|t| t.outcome.is_none()) else { return };
        t.outcome = Some(outcome);
        let latency = now - t.at;
        if outcome == Outcome::Ok && r.answer.is_none() && !r.left {
            r.answer = Some("served");
        }
        let (settled, attempt) = (r.answer.is_some() || r.left, AttemptNumber(no as u32));
        self.event(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            request_answered: settled,
        }));
    }

    pub fn advance(&mut self, span: u64) {
        let until = self.now + Micros(span);
        while self.now < until {
            self.now = (self.now + self.cfg.min_timer_interval).min(until);
            let (due, rest) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= self.now);
            self.timers = rest;
            let due: Vec<(Time, TimerToken)> = due;
            due.into_iter().for_each(|(_, token)| self.event(Event::Timer { token }));
            for (id, no) in std::mem::take(&mut self.cancelled) {
                self.end(id, no, Outcome::Cancelled);
            }
            for (id, no) in self.out() {
                if self.requests[&id].deadline <= self.now {
                    self.end(id, no, Outcome::TimedOut);
                }
            }
            for (id, r) in &self.requests {
                let open = r.answer.is_none() && !r.left;
                assert!(!open || self.now < r.deadline + Micros(16_000), "no answer in time for {id:?}");
            }
        }
    }

    pub fn out(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(id, r)| {
            r.tries.iter().enumerate().filter(|(_, t)| t.outcome.is_none()).map(|(no, _)| (*id, no))
        });
        each.collect()
    }

    pub fn sent_to(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id].tries.iter().map(|t| t.to.id.0).collect()
    }

    pub fn answer(&self, id: RequestId) -> Option<&'static str> {
        self.requests[&id].answer
    }

    /// How many of so many safe requests at once are sent on at once.
    pub fn burst(&mut self, count: usize, route: &[u32]) -> usize {
        let ids: Vec<RequestId> = (0..count).map(|_| self.arrive(SAFE, 1_000_000, route)).collect();
        ids.into_iter().map(|id| self.sent_to(id).len()).sum()
    }

    /// Serves so many safe requests, one after the other: the module saves up its further attempts from them.
    pub fn warm_up(&mut self, count: usize, route: &[u32]) {
        for _ in 0..count {
            let id = self.arrive(SAFE, 3_000_000, route);
            self.advance(20_000);
            self.out().into_iter().for_each(|(id, no)| self.end(id, no, Outcome::Ok));
            assert_eq!(self.answer(id), Some("served"));
        }
    }

    /// Nobody listens at any backend of a pool, until none is in use.
    pub fn eject_all(&mut self, pool: u32) {
        for _ in 0..100 {
            if self.pools.health(self.now, PoolId(pool)) != Some(PoolHealth::Available) {
                return;
            }
            let id = self.arrive(SAFE, 3_000_000, &[pool]);
            for no in 0..self.requests[&id].tries.len() {
                self.end(id, no, Outcome::ConnectFailed);
            }
            self.leave(id);
            self.advance(120_000); // the module reckons anew every 0.1 s
        }
        panic!("still in use");
    }
}
