//! A test harness around the recorder: a store that commits late, fails or rejects rows, backends that count executions by
//! key, a stand-in for the engine, and restarts that keep only durable data.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod store;

use shaletide_record::*;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use store::Store;

pub const WAIT: Micros = Micros(50_000);
pub const KEEP: Micros = Micros(3_600_000_000);

/// Class `settle` requires intents and keys, class `odd` only intents, and class `bid` is only recorded.
pub fn config() -> RecordConfig {
    let settle = ClassRule { requires_intent: true, without_key: WithoutKey::Reject };
    let odd = ClassRule { requires_intent: true, without_key: WithoutKey::Record };
    let bid = ClassRule { requires_intent: false, without_key: WithoutKey::Record };
    let classes = [("settle", settle), ("odd", odd), ("bid", bid)];
    let classes = classes.into_iter().map(|(name, rule)| (name.to_string(), rule)).collect();
    RecordConfig { keep: KEEP, intent_timeout: WAIT, classes, ..RecordConfig::default() }
}

pub fn key(name: &str) -> KeyId {
    KeyId { tenant: "t".into(), class: "settle".into(), key: name.into() }
}

/// The state of an attempt in the engine's stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    AwaitingIntent(Time),
    Denied,
    Granted,
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

pub struct Harness {
    pub now: Time,
    pub run: u64,
    pub config: RecordConfig,
    pub recorder: Recorder,
    pub store: Store,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// Attempts that were sent to a backend and may still be executed. Backends survive restarts of the recorder.
    pub at_backends: BTreeSet<(u64, RequestId, AttemptNumber, KeyId)>,
    pub runs: BTreeMap<KeyId, u32>,
    pub replies: Vec<ResolveResult>,
    next: u64,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with(config())
    }

    pub fn with(config: RecordConfig) -> Harness {
        let now = Time(1_000_000);
        let recorder = Recorder::new(config.clone(), [7; 16], now, now);
        Harness {
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

    pub fn submit_as(&mut self, class: &str, key: Option<&[u8]>) -> (RequestId, KeyDecision) {
        self.next += 1;
        let request = RequestId(self.next);
        let deadline = self.now + Micros(10_000_000);
        let mut actions = Vec::new();
        let key_request = KeyRequest { request, tenant: "t", class, key, deadline };
        let key_decision = self.recorder.decide(self.now, key_request, &mut actions);
        self.carry_out(actions);
        if key_decision == (KeyDecision::Proceed { requires_intent: true }) {
            let key = key.map(|k| KeyId { tenant: "t".into(), class: class.into(), key: k.into() });
            let attempts = BTreeMap::new();
            self.requests.insert(request, TrackedRequest { key, attempts, ended: None, over: false });
        }
        (request, key_decision)
    }

    pub fn submit(&mut self, key: &str) -> (RequestId, KeyDecision) {
        self.submit_as("settle", Some(key.as_bytes()))
    }

    /// Submits a request and asserts that it is accepted.
    pub fn submit_accepted(&mut self, key: &str) -> RequestId {
        let (request, key_decision) = self.submit(key);
        assert_eq!(key_decision, KeyDecision::Proceed { requires_intent: true }, "{key}");
        request
    }

    pub fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.recorder.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write { ticket, write } => self.store.queue.push_back((ticket, *write)),
                Action::IntentPersisted { request, attempt, persisted: granted } => {
                    self.on_intent_answer(request, attempt, granted)
                }
                Action::EndRequest { request, decision: key_decision } => {
                    let tracked = self.requests.get_mut(&request).expect("the request is open");
                    assert!(tracked.ended.replace(key_decision).is_none(), "a request is ended once");
                }
                Action::Reply { result: resolved, .. } => self.replies.push(resolved),
            }
        }
    }

    fn on_intent_answer(&mut self, request: RequestId, attempt: AttemptNumber, granted: bool) {
        let tracked = self.requests.get_mut(&request).expect("the request is open");
        let stage = tracked.attempts.get_mut(&attempt).expect("its intent was requested");
        match *stage {
            AttemptStage::AwaitingIntent(_) => {
                *stage = if granted { AttemptStage::Granted } else { AttemptStage::Denied }
            }
            AttemptStage::Ended => assert!(!granted, "a withdrawn intent was granted"),
            stage => panic!("a second answer to an intent: {stage:?}"),
        }
    }

    pub fn request_intent(&mut self, request: RequestId, no: u32) {
        let until = self.now + WAIT;
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.attempts.insert(AttemptNumber(no), AttemptStage::AwaitingIntent(until));
        let seen = BackendSnapshot {
            backend: format!("backend-{no}"),
            pool: "p".into(),
            list: 3,
            ..BackendSnapshot::default()
        };
        self.deliver(Event::IntentRequested { request, attempt: AttemptNumber(no), seen });
    }

    pub fn stage(&self, request: RequestId, no: u32) -> AttemptStage {
        self.requests[&request].attempts[&AttemptNumber(no)]
    }

    /// Sends the first byte of an attempt; the backend executes it now, later or never.
    pub fn send(&mut self, request: RequestId, no: u32) {
        let tracked = self.requests.get_mut(&request).unwrap();
        assert_eq!(
            tracked.attempts.insert(AttemptNumber(no), AttemptStage::Sent),
            Some(AttemptStage::Granted),
            "a byte was sent before the intent was granted"
        );
        let key = tracked.key.clone().unwrap_or_else(|| key("none"));
        self.at_backends.insert((self.run, request, AttemptNumber(no), key));
    }

    /// Decides whether a backend executes an attempt that was sent to it.
    pub fn finish_at_backend(&mut self, which: (u64, RequestId, AttemptNumber, KeyId), ran: bool) {
        self.at_backends.remove(&which);
        if ran {
            *self.runs.entry(which.3).or_default() += 1;
        }
    }

    /// Reports an attempt's end. An outcome that tells whether the attempt was executed also decides that at the backend.
    pub fn end_attempt(&mut self, request: RequestId, no: u32, outcome: Outcome) {
        let at = (
            self.run,
            request,
            AttemptNumber(no),
            self.requests[&request].key.clone().unwrap_or_else(|| key("none")),
        );
        if self.at_backends.contains(&at) && (outcome.not_executed() || outcome == Outcome::Ok) {
            self.finish_at_backend(at, outcome == Outcome::Ok);
        }
        self.requests.get_mut(&request).unwrap().attempts.insert(AttemptNumber(no), AttemptStage::Ended);
        self.deliver(Event::AttemptEnded { request, attempt: AttemptNumber(no), outcome });
    }

    pub fn withdraw(&mut self, request: RequestId, no: u32) {
        self.requests.get_mut(&request).unwrap().attempts.insert(AttemptNumber(no), AttemptStage::Ended);
        self.deliver(Event::IntentWithdrawn { request, attempt: AttemptNumber(no) });
    }

    pub fn end_request(&mut self, request: RequestId, ending: RequestEnding) {
        self.requests.get_mut(&request).unwrap().over = true;
        self.deliver(Event::RequestEnded { request, ending });
    }

    /// Makes the first `max_writes` queued writes durable, and reports that.
    pub fn commit(&mut self, max_writes: usize) {
        let events = self.store.commit(self.run, max_writes);
        events.into_iter().for_each(|event| self.deliver(event));
    }

    pub fn commit_all(&mut self) {
        while !self.store.queue.is_empty() {
            self.commit(usize::MAX);
        }
    }

    /// Fails all queued writes; the first `durable` ones are on record all the same.
    pub fn fail_writes(&mut self, durable: usize) {
        let events = self.store.fail_writes(self.run, durable);
        events.into_iter().for_each(|event| self.deliver(event));
    }

    pub fn advance(&mut self, span: Micros) {
        self.now = self.now + span;
        if self.recorder.wake_at().is_some_and(|at| at <= self.now) {
            self.deliver(Event::Wake);
        }
    }

    /// Simulates a kill and a restart at wall-clock time `wall`: open requests and writes that are not durable are lost.
    pub fn restart_at(&mut self, wall: Time) {
        self.run += 1;
        self.store.queue.clear();
        self.requests.clear();
        self.recorder = Recorder::new(self.config.clone(), [8; 16], self.now, wall);
        let mut actions = Vec::new();
        self.recorder.restore(self.now, self.store.stored_keys(), &mut actions);
        self.carry_out(actions);
    }

    pub fn restart(&mut self) {
        self.restart_at(self.now);
    }

    pub fn resolve(&mut self, of: &KeyId, ran: bool) {
        let (by, note) = ("ann".to_string(), "checked at the backend".to_string());
        self.deliver(Event::Resolve { reply: ReplyId(0), key: of.clone(), ran, by, note });
    }

    /// Submits and serves a request, with all of its facts durable.
    pub fn serve(&mut self, name: &str) -> RequestId {
        let request = self.submit_accepted(name);
        self.request_intent(request, 0);
        self.commit_all();
        self.send(request, 0);
        self.end_attempt(request, 0, Outcome::Ok);
        self.end_request(request, RequestEnding::Served(AttemptNumber(0)));
        self.commit_all();
        request
    }

    /// Returns the kinds of the durable rows.
    pub fn kinds(&self) -> Vec<&str> {
        self.store.rows.iter().map(|r| r.kind.as_str()).collect()
    }
}
