//! A harness for one balancer that carries out its actions and checks the invariants on each of them.
#![allow(dead_code)]

use shaletide_balancer::*;
use std::collections::BTreeMap;

#[derive(Clone)]
pub struct SentAttempt {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub deduplication_group: DeduplicationGroupId,
    pub at: Time,
    pub outcome: Option<Outcome>,
}

impl SentAttempt {
    /// Returns whether no outcome proves that the attempt was not executed.
    pub fn may_have_been_executed(&self) -> bool {
        self.outcome.is_none_or(|o| !o.not_executed())
    }
}

pub struct OpenRequest {
    pub class: usize,
    pub deadline: Time,
    pub attempts: Vec<SentAttempt>,
    pub streaming: bool,
    pub answer: Option<&'static str>,
}

pub struct Harness {
    pub cfg: Config,
    pub balancer: Balancer,
    pub shared: SharedLimits,
    pub now: Time,
    pub list: BTreeMap<BackendId, BackendEntry>,
    pub requests: BTreeMap<RequestId, OpenRequest>,
    pub timers: Vec<(Time, TimerToken)>,
    pub polls: u32,
    pub timers_set: usize,
    pub cancelled: Vec<(RequestId, usize)>,
    pub logs: Vec<String>,
    pub last_actions: Vec<Action>,
    pub is_client_retry: bool,
    last_request_id: u64,
}

pub fn backend(id: u32, zone: u32, server_type: u32) -> BackendEntry {
    BackendEntry {
        id: BackendId(id),
        stable_hash: u64::from(id),
        zone: ZoneId(zone),
        deduplication_group: DeduplicationGroupId(u64::from(zone) * 2 + u64::from(id % 2)),
        server_type: ServerTypeId(server_type),
        state: BackendState::Ready,
        ..BackendEntry::default()
    }
}

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: Micros(400_000),
        latency_objective_per_work_hint: 0.0,
        idempotency,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

impl Harness {
    pub fn new(cfg: Config, seed: u64) -> Harness {
        let balancer = Balancer::new(cfg.clone(), seed).expect("a valid configuration");
        Harness {
            cfg,
            balancer,
            shared: SharedLimits::new(),
            now: Time(1_000_000_000),
            list: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            polls: 0,
            timers_set: 0,
            cancelled: Vec::new(),
            logs: Vec::new(),
            last_actions: Vec::new(),
            is_client_retry: false,
            last_request_id: 0,
        }
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut self.shared, &mut actions);
        self.last_actions = actions.clone();
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::FailOver { .. } => panic!("failed over without another pool"),
            Action::Dispatch { request, attempt, backend, .. } => self.on_dispatch(request, attempt, backend),
            Action::Reject { request, retry_after, .. } => self.on_reject(request, retry_after),
            Action::Fail { request, .. } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(r.answer.replace("failed").is_none(), "answered twice");
            }
            Action::Cancel { request, attempt } => {
                assert!(self.cfg.may_cancel_attempts, "cancelled an attempt although that is not allowed");
                let r = &self.requests[&request];
                assert!((attempt.0 as usize) < r.attempts.len(), "cancelled an attempt that was never sent");
                self.cancelled.push((request, attempt.0 as usize));
            }
            Action::SetTimer { token, after } => {
                self.timers_set += 1;
                self.timers.push((self.now + after, token));
            }
            Action::Subscribe => {
                assert_ne!(self.cfg.discovery, DiscoveryMode::Push);
                self.polls += 1;
            }
            Action::Log(text) => self.logs.push(text),
        }
    }

    /// Checks the invariants on whether and where an attempt may be sent.
    fn on_dispatch(&mut self, request: RequestId, attempt: AttemptNumber, backend: BackendId) {
        let r = self.requests.get_mut(&request).expect("dispatch of a known request");
        assert_eq!(attempt.0 as usize, r.attempts.len(), "attempts are not numbered in order");
        assert!(r.answer.is_none(), "sent after the final answer");
        let b = self.list.get(&backend).expect("a listed backend");
        assert_eq!(b.state, BackendState::Ready, "sent to a backend that is draining or gone");
        assert!(r.attempts.len() < self.cfg.max_attempts as usize, "too many attempts");
        assert!(self.cfg.hedging || r.attempts.iter().all(|t| t.outcome.is_some()), "hedged without hedging");
        for t in r.attempts.iter().filter(|t| t.may_have_been_executed()) {
            match self.cfg.classes[r.class].idempotency {
                Idempotency::Safe => {}
                Idempotency::NonIdempotent => panic!("a non-idempotent request was sent twice"),
                Idempotency::Keyed(scope, window) => {
                    assert!(self.now <= t.at + window, "a key was repeated after its deduplication window");
                    let is_in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => t.zone == b.zone,
                        DeduplicationScope::Group => t.deduplication_group == b.deduplication_group,
                    };
                    assert!(is_in_scope, "a key was repeated outside its deduplication scope");
                }
            }
        }
        r.attempts.push(SentAttempt {
            backend,
            zone: b.zone,
            deduplication_group: b.deduplication_group,
            at: self.now,
            outcome: None,
        });
    }

    /// Checks that a retry by the client would be harmless.
    fn on_reject(&mut self, request: RequestId, retry_after: Micros) {
        assert!(retry_after > Micros(0), "rejected without Retry-After");
        let r = self.requests.get_mut(&request).expect("a known request");
        let may_have_been_executed_before = r.attempts.iter().any(SentAttempt::may_have_been_executed);
        let is_safe = matches!(
            self.cfg.classes[r.class].idempotency,
            Idempotency::Safe | Idempotency::Keyed(DeduplicationScope::All, _)
        );
        assert!(is_safe || !may_have_been_executed_before, "rejected a request that may have been executed");
        assert!(r.answer.replace("rejected").is_none(), "answered twice");
    }

    pub fn update_endpoints(&mut self, update: EndpointUpdate, backends: Vec<BackendEntry>) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            self.list.values_mut().for_each(|b| b.state = BackendState::Gone);
        }
        for b in &backends {
            self.list.insert(b.id, b.clone());
        }
        self.event(Event::EndpointsUpdated { update, backends });
    }

    pub fn send_request(&mut self, class: usize, remaining: u64) -> RequestId {
        self.send_request_of(class, remaining, None)
    }

    pub fn send_request_of(&mut self, class: usize, remaining: u64, tenant: Option<TenantId>) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let deadline = self.now + Micros(remaining);
        let open = OpenRequest { class, deadline, attempts: Vec::new(), streaming: false, answer: None };
        self.requests.insert(id, open);
        self.event(Event::Request(Arrival {
            request: id,
            class: ClassId(class),
            tenant,
            time_left: Micros(remaining),
            work_hint: None,
            is_client_retry: self.is_client_retry,
            may_fail_over: false,
        }));
        id
    }

    /// Sends `count` requests at once.
    pub fn send_requests(&mut self, count: usize, class: usize, remaining: u64) -> Vec<RequestId> {
        (0..count).map(|_| self.send_request(class, remaining)).collect()
    }

    /// Sends one event of each kind with ids that occur in no action.
    pub fn send_events_with_unknown_ids(
        &mut self, request: RequestId, attempt: AttemptNumber, token: TimerToken,
    ) {
        let (outcome, latency) = (Outcome::Error, Micros(5));
        self.event(Event::Timer { token });
        self.event(Event::ClientDisconnected { request });
        self.event(Event::StreamStarted { request, attempt });
        self.event(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            request_answered: false,
        }));
    }

    /// Ends an attempt, if it is in flight.
    pub fn end(&mut self, id: RequestId, number: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.attempts.get_mut(number).filter(|t| t.outcome.is_none()) else { return };
        t.outcome = Some(outcome);
        let latency = now - t.at;
        if outcome == Outcome::Ok && r.answer.is_none() {
            r.answer = Some("served");
        }
        let request_answered = r.answer.is_some();
        let attempt = AttemptNumber(number as u32);
        self.event(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            request_answered,
        }));
    }

    pub fn start_stream(&mut self, id: RequestId, number: usize) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.answer.is_none() && !r.streaming) else {
            return;
        };
        if r.attempts.get(number).is_some_and(|t| t.outcome.is_none()) {
            r.streaming = true;
            self.event(Event::StreamStarted { request: id, attempt: AttemptNumber(number as u32) });
        }
    }

    /// Advances the time: fires timers, times attempts out when due, and checks every deadline.
    pub fn advance(&mut self, span: u64) {
        let until = self.now + Micros(span);
        while self.now < until {
            self.now = (self.now + self.cfg.min_timer_interval).min(until);
            let (due, rest) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= self.now);
            self.timers = rest;
            let due: Vec<(Time, TimerToken)> = due;
            for (_, token) in due {
                self.event(Event::Timer { token });
            }
            for (id, number) in std::mem::take(&mut self.cancelled) {
                self.end(id, number, Outcome::Cancelled);
            }
            for (id, number) in self.in_flight() {
                let r = &self.requests[&id];
                if r.deadline <= self.now && !r.streaming {
                    self.end(id, number, Outcome::TimedOut);
                }
            }
            for (id, r) in &self.requests {
                let open = r.answer.is_none() && !r.streaming;
                assert!(!open || self.now < r.deadline + Micros(16_000), "no answer in time for {id:?}");
            }
        }
    }

    pub fn backends_tried(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id].attempts.iter().map(|t| t.backend.0).collect()
    }

    /// Advances the time by `span`, then serves every attempt in flight.
    pub fn serve_all_in_flight(&mut self, span: u64) {
        self.advance(span);
        for (id, number) in self.in_flight() {
            self.end(id, number, Outcome::Ok);
        }
    }

    pub fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let in_flight_attempts = self.requests.iter().flat_map(|(id, r)| {
            r.attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.outcome.is_none())
                .map(|(number, _)| (*id, number))
        });
        in_flight_attempts.collect()
    }
}

pub fn fleet(count: u32) -> Vec<BackendEntry> {
    (0..count).map(|i| backend(i, 0, 0)).collect()
}

pub fn config(classes: Vec<Class>) -> Config {
    Config { classes, ..Config::example() }
}

pub fn harness(cfg: Config, list: Vec<BackendEntry>) -> Harness {
    let mut harness = Harness::new(cfg, 11);
    harness.update_endpoints(EndpointUpdate::Snapshot, list);
    harness
}

/// Sends requests one by one and serves each after a time that may depend on its backend. Returns the backends.
pub fn serve(harness: &mut Harness, count: usize, class: usize, time: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let id = harness.send_request(class, 900_000);
        chosen.extend(harness.backends_tried(id));
        harness.advance(harness.backends_tried(id).first().map_or(5_000, |b| time(*b)));
        harness.end(id, 0, Outcome::Ok);
    }
    chosen
}
