//! A state of the model: the engine, the recorder and the store, and how they act on each other.

use super::store::ModelStore;
use super::{RestartBounds, ShellMutant};
use crate::model::{ticks, Model, TICK};
use crate::node::Chooser;
use crate::shell::Shell;
use shaletide_balancer::Arrival;
use shaletide_engine::{Action, Engine, Event, FinalOutcome, RequestSpec};
use shaletide_record as record;
use shaletide_record::{Claim, KeyDecision, KeyId, KeyState, Recorder, Ticket};
use shaletide_types::*;
use std::collections::{BTreeMap, VecDeque};

/// Whether a backend executed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// It may have been executed, or may be executed later.
    Unknown,
    /// It was executed.
    Executed,
    /// It was not executed and never will be.
    NotExecuted,
}

/// An attempt that was written to a connection.
#[derive(Clone, Debug)]
pub(super) struct SentAttempt {
    pub run: u64,
    pub connection: ConnectionId,
    pub execution: Execution,
}

/// A state of the restart model.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub now: Time,
    pub run: u64,
    pub engine: Engine<Chooser>,
    pub recorder: Recorder,
    pub shell: Shell,
    pub events: VecDeque<Event>,
    /// Writes that were passed to the store and are not durable yet.
    pub queue: VecDeque<(Ticket, record::Write)>,
    /// Results of the store that were not delivered to the recorder yet, in groups.
    pub undelivered: VecDeque<Vec<record::Event>>,
    pub down: bool,
    pub store: ModelStore,
    pub sent: Vec<SentAttempt>,
    pub request_count: u64,
    pub remaining: Remaining,
    pub violation: Option<&'static str>,
}

/// The steps that may still occur in the model.
#[derive(Clone, Copy, Debug)]
pub(super) struct Remaining {
    pub asks: u8,
    pub restarts: u8,
    pub failures: u8,
    pub resolves: u8,
    pub ticks: u8,
}

const START: Time = Time(1_000_000);

/// The one key of the model.
pub(super) fn key() -> KeyId {
    KeyId { tenant: String::new(), class: "settle".into(), key: b"k".to_vec() }
}

fn recorder(now: Time) -> Recorder {
    let rule = record::ClassRule { requires_intent: true, without_key: record::WithoutKey::Reject };
    let classes = BTreeMap::from([("settle".to_string(), rule)]);
    let config = record::RecordConfig {
        intent_timeout: TICK,
        retry_after: TICK,
        classes,
        ..record::RecordConfig::default()
    };
    Recorder::new(config, [7; 16], now, now)
}

impl Node {
    pub(super) fn start(bounds: &RestartBounds, model: &Model) -> Node {
        let RestartBounds { asks, restarts, failures, resolves, ticks, .. } = *bounds;
        let mut node = Node {
            now: START,
            run: 1,
            engine: Engine::new(Chooser, model.connection_limits),
            recorder: recorder(START),
            shell: Shell::new(model),
            events: VecDeque::new(),
            queue: VecDeque::new(),
            undelivered: VecDeque::new(),
            down: false,
            store: ModelStore::default(),
            sent: Vec::new(),
            request_count: 0,
            remaining: Remaining { asks, restarts, failures, resolves, ticks },
            violation: None,
        };
        node.send_list(bounds);
        node
    }

    fn send_list(&mut self, bounds: &RestartBounds) {
        let backends = self.shell.entries(PoolId(0), None);
        self.events.push_back(Event::EndpointsUpdated {
            pool: PoolId(0),
            update: EndpointUpdate::Snapshot,
            backends,
        });
        self.drain(bounds);
    }

    pub(super) fn kill(&mut self, bounds: &RestartBounds, model: &Model) {
        self.remaining.restarts -= 1;
        self.run += 1;
        self.engine = Engine::new(Chooser, model.connection_limits);
        self.recorder = recorder(self.now);
        self.shell = Shell::new(model);
        self.events.clear();
        self.queue.clear();
        self.undelivered.clear();
        self.down = false;
        self.request_count = 0;
        if bounds.mutant == Some(ShellMutant::FreesInFlight) {
            self.store.key = self.store.key.filter(|(state, ..)| *state != KeyState::InFlight);
        }
        let held = self.store.key.map(|(state, _, _, seq)| record::StoredKey {
            key: key(),
            state,
            since: self.now,
            seq,
        });
        let forgets = bounds.mutant == Some(ShellMutant::ForgetsInFlight);
        let held = held.filter(|held| !(forgets && held.state == KeyState::InFlight));
        let mut out = Vec::new();
        self.recorder.restore(self.now, held.into_iter().collect(), &mut out);
        self.carry_out(bounds, out);
        self.send_list(bounds);
    }

    /// Passes an event to the recorder and carries out its actions.
    pub(super) fn record(&mut self, bounds: &RestartBounds, event: record::Event) {
        let mut out = Vec::new();
        self.recorder.handle(self.now, event, &mut out);
        self.carry_out(bounds, out);
    }

    fn carry_out(&mut self, bounds: &RestartBounds, actions: Vec<record::Action>) {
        for action in actions {
            match action {
                record::Action::Write { ticket, write: _ } if self.down => {
                    let why = record::StoreFailure::Failed;
                    self.undelivered.push_back(vec![record::Event::WriteFailed { ticket, why }]);
                }
                record::Action::Write { ticket, write } => {
                    if bounds.mutant == Some(ShellMutant::EarlyCommit) {
                        self.undelivered
                            .push_back(vec![record::Event::Committed { ticket, seq: self.store.seq + 1 }]);
                    }
                    self.queue.push_back((ticket, *write));
                }
                record::Action::IntentPersisted { .. }
                    if bounds.mutant == Some(ShellMutant::IntentAfterSend) => {}
                record::Action::IntentPersisted { request, attempt, persisted: given } => {
                    self.events.push_back(Event::IntentPersisted { request, attempt, persisted: given });
                }
                record::Action::EndRequest { request, decision: verdict } => {
                    let advice = match verdict {
                        KeyDecision::Reject(advice) => advice,
                        _ => Micros(0),
                    };
                    self.events.push_back(Event::GiveUp { request, retry_after: advice });
                }
                record::Action::Reply { .. } => {}
            }
        }
    }

    /// Passes the queued events to the engine in order and carries out its actions.
    pub(super) fn drain(&mut self, bounds: &RestartBounds) {
        while let Some(event) = self.events.pop_front() {
            let mut out = Vec::new();
            self.engine.handle(self.now, event, &mut out);
            self.run_engine_actions(bounds, out);
        }
    }

    pub(super) fn run_engine_actions(&mut self, bounds: &RestartBounds, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::Send { connection, .. } => self.send(*connection),
                Action::PersistIntent { request, attempt } => {
                    let (request, attempt, seen) = (*request, *attempt, record::BackendSnapshot::default());
                    if bounds.mutant == Some(ShellMutant::IntentAfterSend) {
                        self.events.push_back(Event::IntentPersisted { request, attempt, persisted: true });
                    }
                    self.record(bounds, record::Event::IntentRequested { request, attempt, seen });
                }
                Action::WithdrawIntent { request, attempt } => {
                    let (request, attempt) = (*request, *attempt);
                    self.record(bounds, record::Event::IntentWithdrawn { request, attempt });
                }
                Action::AttemptEnded { request, attempt, outcome } => {
                    let (request, attempt, outcome) = (*request, *attempt, *outcome);
                    self.record(bounds, record::Event::AttemptEnded { request, attempt, outcome });
                }
                Action::Answer { request, answer, .. } => {
                    let ending = match answer {
                        FinalOutcome::Served(no) => record::RequestEnding::Served(*no),
                        FinalOutcome::Rejected(_) => record::RequestEnding::Rejected,
                        FinalOutcome::Failed => record::RequestEnding::Failed,
                        FinalOutcome::TimedOut => record::RequestEnding::TimedOut,
                    };
                    self.record(bounds, record::Event::RequestEnded { request: *request, ending });
                }
                _ => {}
            }
            if !matches!(action, Action::PersistIntent { .. } | Action::WithdrawIntent { .. }) {
                self.shell.carry_out(&action);
            }
        }
    }

    /// Sends an attempt. Violates the invariant if another attempt of the key may have been executed.
    fn send(&mut self, connection: ConnectionId) {
        if self.sent.iter().any(|s| s.execution != Execution::NotExecuted) {
            self.violation = Some("a key that may have run is sent again");
        }
        self.sent.push(SentAttempt { run: self.run, connection, execution: Execution::Unknown });
    }

    pub(super) fn execution(&mut self, connection: ConnectionId, execution: Execution) {
        let run = self.run;
        if let Some(sent) = self.sent.iter_mut().find(|s| (s.run, s.connection) == (run, connection)) {
            sent.execution = execution;
        }
    }

    pub(super) fn ask(&mut self, bounds: &RestartBounds) {
        self.remaining.asks -= 1;
        self.request_count += 1;
        let (request, id) = (RequestId(self.request_count), key());
        let deadline = self.now + ticks(2);
        let key_request =
            record::KeyRequest { request, tenant: "", class: "settle", key: Some(&id.key), deadline };
        let mut out = Vec::new();
        let verdict = self.recorder.decide(self.now, key_request, &mut out);
        self.carry_out(bounds, out);
        if verdict != (KeyDecision::Proceed { requires_intent: true }) {
            return;
        }
        let arrival = Arrival {
            request,
            class: ClassId(2),
            tenant: None,
            time_left: ticks(2),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let (pools, effect) = ([PoolId(0)].into(), Idempotency::NonIdempotent);
        self.events.push_back(Event::Request(RequestSpec {
            arrival,
            idempotency: effect,
            pools,
            requires_intent: true,
            recorded: true,
        }));
    }

    pub(super) fn commit(&mut self, bounds: &RestartBounds) {
        let mut results = Vec::new();
        while let Some((ticket, write)) = self.queue.pop_front() {
            results.push(match self.store.commit(self.run, &write) {
                Ok(seq) => record::Event::Committed { ticket, seq },
                Err(why) => record::Event::ClaimRejected { ticket, why },
            });
            if write.claim != Claim::None {
                break;
            }
        }
        if bounds.mutant != Some(ShellMutant::EarlyCommit) {
            self.undelivered.push_back(results);
        }
    }

    pub(super) fn store_fails(&mut self, on_record: u8) {
        self.remaining.failures -= 1;
        self.down = true;
        let mut results = Vec::new();
        for (at, (ticket, write)) in std::mem::take(&mut self.queue).into_iter().enumerate() {
            if at < usize::from(on_record) {
                let _ = self.store.commit(self.run, &write); // a rejection is not reported either
            }
            results.push(record::Event::WriteFailed { ticket, why: record::StoreFailure::Failed });
        }
        let (why, again) = (record::StoreFailure::Failed, TICK);
        results.push(record::Event::StoreDown { why, retry_after_hint: again });
        self.undelivered.push_back(results);
    }

    /// Returns the violation of an invariant in a state without pending work, if there is one: a key that was not executed
    /// must be free, unless the process was killed in between.
    pub(super) fn violation_at_rest(&self, bounds: &RestartBounds) -> Option<&'static str> {
        let idle = self.engine.requests().is_empty() && self.queue.is_empty() && self.undelivered.is_empty();
        if !idle || self.down || bounds.mutant.is_some() {
            return None;
        }
        let killed = self.run > 1;
        let ran = self.sent.iter().any(|s| s.execution != Execution::NotExecuted);
        match self.store.key {
            Some((KeyState::InFlight, ..)) => Some("a key is left in flight"),
            Some(_) if !ran && !killed && self.remaining.resolves == bounds.resolves => {
                Some("a key that was not executed is not free again")
            }
            None if self.recorder.unsettled() > 0 => Some("a key is free in the store and taken in memory"),
            _ => None,
        }
    }
}
