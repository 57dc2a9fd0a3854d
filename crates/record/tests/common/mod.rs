//! A world around the recorder: a store that commits late, fails or refuses, backends that count runs by key, a stand-in
//! for the engine, restarts that keep what is durable and nothing else.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod store;

use shaletide_record::*;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use store::Store;

pub const WAIT: Micros = Micros(50_000);
pub const KEEP: Micros = Micros(3_600_000_000);

/// Settles need a permit and a key; odd ones a permit; bids are only recorded.
pub fn config() -> RecordConfig {
    let settle = ClassRule { requires_intent: true, without_key: WithoutKey::Refuse };
    let odd = ClassRule { requires_intent: true, without_key: WithoutKey::Record };
    let bid = ClassRule { requires_intent: false, without_key: WithoutKey::Record };
    let classes = [("settle", settle), ("odd", odd), ("bid", bid)];
    let classes = classes.into_iter().map(|(name, rule)| (name.to_string(), rule)).collect();
    RecordConfig { keep: KEEP, intent_timeout: WAIT, classes, ..RecordConfig::default() }
}

pub fn key(name: &str) -> KeyId {
    KeyId { tenant: "t".into(), class: "settle".into(), key: name.into() }
}

/// How far the engine's stand-in is with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    Asked(Time),
    Denied,
    Permitted,
    Sent,
    Ended,
}

#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub key: Option<KeyId>,
    pub attempts: BTreeMap<AttemptNumber, AttemptStage>,
    pub ended: Option<KeyDecision>,
    pub over: bool,
}

pub struct World {
    pub now: Time,
    pub run: u64,
    pub config: RecordConfig,
    pub recorder: Recorder,
    pub store: Store,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// What has gone to a backend and may run yet; backends live through our restarts.
    pub at_backends: BTreeSet<(u64, RequestId, AttemptNumber, KeyId)>,
    pub runs: BTreeMap<KeyId, u32>,
    pub replies: Vec<ResolveResult>,
    next: u64,
}

impl World {
    pub fn new() -> World {
        World::with(config())
    }

    pub fn with(config: RecordConfig) -> World {
        let now = Time(1_000_000);
        let recorder = Recorder::new(config.clone(), [7; 16], now, now);
        World {
            now,
            run: 1,
            config,
            recorder,
            store: Store::default(),
            requests: BTreeMap::new(),
            at_backends: BTreeSet::new(),
            runs: BTreeMap::new(),
            replies: Vec::new(),
            next: 0,
        }
    }

    pub fn ask_as(&mut self, class: &str, key: Option<&[u8]>) -> (RequestId, KeyDecision) {
        self.next += 1;
        let request = RequestId(self.next);
        let deadline = self.now + Micros(10_000_000);
        let mut actions = Vec::new();
        let asked = KeyRequest { request, tenant: "t", class, key, deadline };
        let verdict = self.recorder.decide(self.now, asked, &mut actions);
        self.carry_out(actions);
        if verdict == (KeyDecision::Proceed { requires_intent: true }) {
            let key = key.map(|k| KeyId { tenant: "t".into(), class: class.into(), key: k.into() });
            let attempts = BTreeMap::new();
            self.requests.insert(request, TrackedRequest { key, attempts, ended: None, over: false });
        }
        (request, verdict)
    }

    pub fn ask(&mut self, key: &str) -> (RequestId, KeyDecision) {
        self.ask_as("settle", Some(key.as_bytes()))
    }

    /// One that is to go.
    pub fn go(&mut self, key: &str) -> RequestId {
        let (request, verdict) = self.ask(key);
        assert_eq!(verdict, KeyDecision::Proceed { requires_intent: true }, "{key}");
        request
    }

    pub fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.recorder.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write { ticket, write } => self.store.queue.push_back((ticket, *write)),
                Action::IntentPersisted { request, attempt, persisted: given } => {
                    self.permit(request, attempt, given)
                }
                Action::EndRequest { request, decision: verdict } => {
                    let order = self.requests.get_mut(&request).expect("it is under way");
                    assert!(order.ended.replace(verdict).is_none(), "ended once");
                }
                Action::Reply { result: resolved, .. } => self.replies.push(resolved),
            }
        }
    }

    fn permit(&mut self, request: RequestId, attempt: AttemptNumber, given: bool) {
        let order = self.requests.get_mut(&request).expect("it is under way");
        let step = order.attempts.get_mut(&attempt).expect("it was asked for");
        match *step {
            AttemptStage::Asked(_) => {
                *step = if given { AttemptStage::Permitted } else { AttemptStage::Denied }
            }
            AttemptStage::Ended => assert!(!given, "a permit for what was withdrawn"),
            step => panic!("a second permit: {step:?}"),
        }
    }

    pub fn want(&mut self, request: RequestId, no: u32) {
        let until = self.now + WAIT;
        let order = self.requests.get_mut(&request).unwrap();
        order.attempts.insert(AttemptNumber(no), AttemptStage::Asked(until));
        let seen = BackendSnapshot {
            backend: format!("box-{no}"),
            pool: "p".into(),
            list: 3,
            ..BackendSnapshot::default()
        };
        self.tell(Event::IntentRequested { request, attempt: AttemptNumber(no), seen });
    }

    pub fn step(&self, request: RequestId, no: u32) -> AttemptStage {
        self.requests[&request].attempts[&AttemptNumber(no)]
    }

    /// The first byte goes out; the backend runs it now, later or never.
    pub fn send(&mut self, request: RequestId, no: u32) {
        let order = self.requests.get_mut(&request).unwrap();
        assert_eq!(
            order.attempts.insert(AttemptNumber(no), AttemptStage::Sent),
            Some(AttemptStage::Permitted),
            "no byte before its permit"
        );
        let key = order.key.clone().unwrap_or_else(|| key("none"));
        self.at_backends.insert((self.run, request, AttemptNumber(no), key));
    }

    /// What lies at a backend runs, or never will.
    pub fn box_runs(&mut self, which: (u64, RequestId, AttemptNumber, KeyId), ran: bool) {
        self.at_backends.remove(&which);
        if ran {
            *self.runs.entry(which.3).or_default() += 1;
        }
    }

    /// An attempt's end is told; what it did at its backend is decided by then, if the outcome says so.
    pub fn end(&mut self, request: RequestId, no: u32, outcome: Outcome) {
        let at = (
            self.run,
            request,
            AttemptNumber(no),
            self.requests[&request].key.clone().unwrap_or_else(|| key("none")),
        );
        if self.at_backends.contains(&at) && (outcome.not_executed() || outcome == Outcome::Ok) {
            self.box_runs(at, outcome == Outcome::Ok);
        }
        self.requests.get_mut(&request).unwrap().attempts.insert(AttemptNumber(no), AttemptStage::Ended);
        self.tell(Event::AttemptEnded { request, attempt: AttemptNumber(no), outcome });
    }

    pub fn withdraw(&mut self, request: RequestId, no: u32) {
        self.requests.get_mut(&request).unwrap().attempts.insert(AttemptNumber(no), AttemptStage::Ended);
        self.tell(Event::IntentWithdrawn { request, attempt: AttemptNumber(no) });
    }

    pub fn over(&mut self, request: RequestId, ending: RequestEnding) {
        self.requests.get_mut(&request).unwrap().over = true;
        self.tell(Event::RequestEnded { request, ending });
    }

    /// Makes the first `most` writes that wait durable, and tells so.
    pub fn commit(&mut self, most: usize) {
        let told = self.store.commit(self.run, most);
        told.into_iter().for_each(|event| self.tell(event));
    }

    pub fn commit_all(&mut self) {
        while !self.store.queue.is_empty() {
            self.commit(usize::MAX);
        }
    }

    /// All that waits fails; the first `durable` are on record all the same.
    pub fn fail(&mut self, durable: usize) {
        let told = self.store.fail(self.run, durable);
        told.into_iter().for_each(|event| self.tell(event));
    }

    pub fn pass(&mut self, span: Micros) {
        self.now = self.now + span;
        if self.recorder.wake_at().is_some_and(|at| at <= self.now) {
            self.tell(Event::Wake);
        }
    }

    /// Killed: what was not durable is lost, and so is all that was under way. The wall clock is shifted by then.
    pub fn restart_at(&mut self, wall: Time) {
        self.run += 1;
        self.store.queue.clear();
        self.requests.clear();
        self.recorder = Recorder::new(self.config.clone(), [8; 16], self.now, wall);
        let mut actions = Vec::new();
        self.recorder.restore(self.now, self.store.remembered(), &mut actions);
        self.carry_out(actions);
    }

    pub fn restart(&mut self) {
        self.restart_at(self.now);
    }

    pub fn resolve(&mut self, of: &KeyId, ran: bool) {
        let (by, note) = ("ann".to_string(), "asked the box".to_string());
        self.tell(Event::Resolve { reply: ReplyId(0), key: of.clone(), ran, by, note });
    }

    /// From its first byte to its end with everything durable.
    pub fn serve(&mut self, name: &str) -> RequestId {
        let request = self.go(name);
        self.want(request, 0);
        self.commit_all();
        self.send(request, 0);
        self.end(request, 0, Outcome::Ok);
        self.over(request, RequestEnding::Served(AttemptNumber(0)));
        self.commit_all();
        request
    }

    /// The kinds of rows that are durable.
    pub fn kinds(&self) -> Vec<&str> {
        self.store.rows.iter().map(|r| r.kind.as_str()).collect()
    }
}
