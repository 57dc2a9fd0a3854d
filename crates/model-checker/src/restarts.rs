//! Engine, recorder and a modelled store together, with clients that ask for one key over and over: a permit that is
//! late, refused or never comes, a store that fails, and a kill at every state.
//!
//! Which commits outlive a kill is up to the order of moves: writes become durable one by one, and are told later still.
//! What lies on a connection when the program dies may run. States are told apart by all in them that anything can depend
//! on (`canonical`); what bounds them is the number of asks, attempts, ticks, failures and restarts.

use crate::node::Chooser;
use crate::shell::{Doing, Shell};
use crate::world::{ticks, World, TICK};
use crate::worlds::base;
use shaletide_balancer::Arrival;
use shaletide_engine::{Action, AttemptState, Engine, Event, FinalOutcome, RequestSpec, RequestState};
use shaletide_record as record;
use shaletide_record::{Claim, KeyDecision, KeyId, KeyState, Recorder, Ticket};
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fmt::Write as _;
use std::hash::Hasher;
use std::time::{Duration, Instant};

/// The bounds of such a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restarts {
    /// Backends.
    pub boxes: u8,
    /// How often the key is asked for, in all runs together.
    pub asks: u8,
    /// Attempts of one request.
    pub attempts: u8,
    /// Kills.
    pub restarts: u8,
    /// Times that the store fails.
    pub failures: u8,
    /// Times that an operator resolves the key.
    pub resolves: u8,
    /// Ticks that pass; a request has two, its permit one.
    pub ticks: u8,
    /// A bug of the shell around it, for tests.
    pub mutant: Option<Careless>,
}

impl Default for Restarts {
    fn default() -> Restarts {
        Restarts {
            boxes: 1,
            asks: 2,
            attempts: 2,
            restarts: 1,
            failures: 1,
            resolves: 1,
            ticks: 2,
            mutant: None,
        }
    }
}

/// Bugs that a shell may have. None of them can be switched on in the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Careless {
    /// The first byte goes out while the intent is on its way to the disk.
    IntentAfterSend,
    /// A commit is acknowledged before it is durable, as with `synchronous=OFF`.
    EarlyCommit,
    /// At the start the recorder is not told of what was in flight. The store still is: that must be enough.
    ForgetsInFlight,
    /// At the start what was in flight is freed, in the store too.
    FreesInFlight,
}

/// A step of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happens {
    /// A client asks for the key.
    Ask,
    /// The client of that request leaves.
    Leave(RequestId),
    /// The chooser asks for an attempt at a backend.
    Dispatch(RequestId, u8),
    /// The chooser gives up.
    Fail(RequestId),
    /// The chooser calls an attempt back.
    Cancel(RequestId, AttemptNumber),
    /// What waits for the disk becomes durable, up to the next row that says something of the key.
    Commit,
    /// The recorder hears of the oldest commits that it has not heard of.
    Tell,
    /// The store fails; so many rows that were to be written are on record all the same.
    StoreFails(u8),
    /// It takes writes again.
    StoreBack,
    /// The connection at this place comes up.
    Up(u8),
    /// It does not.
    ConnectFailed(u8),
    /// The last byte has gone.
    Written(u8),
    /// An answer: 0 served, 1 was not executed, 2 error.
    Answered(u8, u8),
    /// The connection ended.
    Ended(u8),
    /// It could not be written to.
    Unfit(u8),
    /// It is closed as asked; whether the last byte had gone.
    Closed(u8, bool),
    /// An operator says whether the key ran.
    Resolve(bool),
    /// A tick passes.
    Tick,
    /// Engine and recorder are woken.
    Wake,
    /// SIGKILL, and a new start.
    Kill,
}

/// What a backend did with what it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It may have run, or may yet.
    Maybe,
    /// It ran.
    Ran,
    /// It was not executed and never will.
    Never,
}

#[derive(Clone, Debug)]
struct Sent {
    run: u64,
    connection: ConnectionId,
    fate: Fate,
}

/// How the one key stands in the store, and whose row last said so.
#[derive(Clone, Debug, Default)]
struct Book {
    key: Option<(KeyState, u64, Option<u64>, u64)>,
    seq: u64,
}

impl Book {
    /// As the conformance suite wants it of any store.
    fn commit(&mut self, run: u64, write: &record::Write) -> Result<u64, record::ClaimRejection> {
        let (seq, request) = (self.seq + 1, write.row.request);
        match &write.claim {
            Claim::None | Claim::FreeServed { .. } => {}
            Claim::Take(_) => match self.key {
                Some((state, ..)) => return Err(record::ClaimRejection::Taken(state)),
                None => self.key = Some((KeyState::InFlight, run, request, seq)),
            },
            Claim::Set(_, state) => self.key = Some((*state, run, request, seq)),
            Claim::Free(_) => self.key = None,
            Claim::FreeOwn(_) => {
                if self.key.is_some_and(|(_, r, q, _)| (r, q) == (run, request)) {
                    self.key = None;
                }
            }
        }
        self.seq = seq;
        Ok(seq)
    }
}

/// A state.
#[derive(Clone, Debug)]
struct Node {
    now: Time,
    run: u64,
    engine: Engine<Chooser>,
    recorder: Recorder,
    shell: Shell,
    events: VecDeque<Event>,
    /// Writes that the store was given and that are not durable.
    queue: VecDeque<(Ticket, record::Write)>,
    /// What the recorder has not heard, in groups.
    told: VecDeque<Vec<record::Event>>,
    down: bool,
    book: Book,
    sent: Vec<Sent>,
    asked: u64,
    left: Left,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
struct Left {
    asks: u8,
    restarts: u8,
    failures: u8,
    resolves: u8,
    ticks: u8,
}

const START: Time = Time(1_000_000);

fn key() -> KeyId {
    KeyId { tenant: String::new(), class: "settle".into(), key: b"k".to_vec() }
}

fn recorder(now: Time) -> Recorder {
    let rule = record::ClassRule { requires_intent: true, without_key: record::WithoutKey::Refuse };
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
    fn start(bounds: &Restarts, world: &World) -> Node {
        let Restarts { asks, restarts, failures, resolves, ticks, .. } = *bounds;
        let mut node = Node {
            now: START,
            run: 1,
            engine: Engine::new(Chooser, world.keeping),
            recorder: recorder(START),
            shell: Shell::new(world),
            events: VecDeque::new(),
            queue: VecDeque::new(),
            told: VecDeque::new(),
            down: false,
            book: Book::default(),
            sent: Vec::new(),
            asked: 0,
            left: Left { asks, restarts, failures, resolves, ticks },
            broken: None,
        };
        node.listed(bounds);
        node
    }

    fn listed(&mut self, bounds: &Restarts) {
        let backends = self.shell.rows(PoolId(0), None);
        self.events.push_back(Event::EndpointsUpdated {
            pool: PoolId(0),
            update: EndpointUpdate::Snapshot,
            backends,
        });
        self.drain(bounds);
    }

    fn kill(&mut self, bounds: &Restarts, world: &World) {
        self.left.restarts -= 1;
        self.run += 1;
        self.engine = Engine::new(Chooser, world.keeping);
        self.recorder = recorder(self.now);
        self.shell = Shell::new(world);
        self.events.clear();
        self.queue.clear();
        self.told.clear();
        self.down = false;
        self.asked = 0;
        if bounds.mutant == Some(Careless::FreesInFlight) {
            self.book.key = self.book.key.filter(|(state, ..)| *state != KeyState::InFlight);
        }
        let held = self.book.key.map(|(state, _, _, seq)| record::StoredKey {
            key: key(),
            state,
            since: self.now,
            seq,
        });
        let forgets = bounds.mutant == Some(Careless::ForgetsInFlight);
        let held = held.filter(|held| !(forgets && held.state == KeyState::InFlight));
        let mut out = Vec::new();
        self.recorder.restore(self.now, held.into_iter().collect(), &mut out);
        self.carry_out(bounds, out);
        self.listed(bounds);
    }

    /// Tells the recorder, and does what it asks.
    fn record(&mut self, bounds: &Restarts, event: record::Event) {
        let mut out = Vec::new();
        self.recorder.handle(self.now, event, &mut out);
        self.carry_out(bounds, out);
    }

    fn carry_out(&mut self, bounds: &Restarts, actions: Vec<record::Action>) {
        for action in actions {
            match action {
                record::Action::Write { ticket, write: _ } if self.down => {
                    let why = record::StoreFailure::Failed;
                    self.told.push_back(vec![record::Event::WriteFailed { ticket, why }]);
                }
                record::Action::Write { ticket, write } => {
                    if bounds.mutant == Some(Careless::EarlyCommit) {
                        self.told
                            .push_back(vec![record::Event::Committed { ticket, seq: self.book.seq + 1 }]);
                    }
                    self.queue.push_back((ticket, *write));
                }
                record::Action::IntentPersisted { .. }
                    if bounds.mutant == Some(Careless::IntentAfterSend) => {}
                record::Action::IntentPersisted { request, attempt, persisted: given } => {
                    self.events.push_back(Event::IntentPersisted { request, attempt, persisted: given });
                }
                record::Action::EndRequest { request, verdict } => {
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

    /// The engine's events in turn, and what it asks for.
    fn drain(&mut self, bounds: &Restarts) {
        while let Some(event) = self.events.pop_front() {
            let mut out = Vec::new();
            self.engine.handle(self.now, event, &mut out);
            self.acted(bounds, out);
        }
    }

    fn acted(&mut self, bounds: &Restarts, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::Send { connection, .. } => self.send(*connection),
                Action::PersistIntent { request, attempt } => {
                    let (request, attempt, seen) = (*request, *attempt, record::Seen::default());
                    if bounds.mutant == Some(Careless::IntentAfterSend) {
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

    /// The rule: nothing is sent while something else of the key may have run.
    fn send(&mut self, connection: ConnectionId) {
        if self.sent.iter().any(|s| s.fate != Fate::Never) {
            self.broken = Some("a key that may have run is sent again");
        }
        self.sent.push(Sent { run: self.run, connection, fate: Fate::Maybe });
    }

    fn fate(&mut self, connection: ConnectionId, fate: Fate) {
        let run = self.run;
        if let Some(sent) = self.sent.iter_mut().find(|s| (s.run, s.connection) == (run, connection)) {
            sent.fate = fate;
        }
    }

    fn ask(&mut self, bounds: &Restarts) {
        self.left.asks -= 1;
        self.asked += 1;
        let (request, id) = (RequestId(self.asked), key());
        let deadline = self.now + ticks(2);
        let asked = record::KeyRequest { request, tenant: "", class: "settle", key: Some(&id.key), deadline };
        let mut out = Vec::new();
        let verdict = self.recorder.ask(self.now, asked, &mut out);
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

    fn commit(&mut self, bounds: &Restarts) {
        let mut heard = Vec::new();
        while let Some((ticket, write)) = self.queue.pop_front() {
            heard.push(match self.book.commit(self.run, &write) {
                Ok(seq) => record::Event::Committed { ticket, seq },
                Err(why) => record::Event::ClaimRejected { ticket, why },
            });
            if write.claim != Claim::None {
                break;
            }
        }
        if bounds.mutant != Some(Careless::EarlyCommit) {
            self.told.push_back(heard);
        }
    }

    fn store_fails(&mut self, on_record: u8) {
        self.left.failures -= 1;
        self.down = true;
        let mut heard = Vec::new();
        for (at, (ticket, write)) in std::mem::take(&mut self.queue).into_iter().enumerate() {
            if at < usize::from(on_record) {
                let _ = self.book.commit(self.run, &write); // refused or not: nobody is told
            }
            heard.push(record::Event::WriteFailed { ticket, why: record::StoreFailure::Failed });
        }
        let (why, again) = (record::StoreFailure::Failed, TICK);
        heard.push(record::Event::StoreDown { why, again });
        self.told.push_back(heard);
    }

    fn go(&mut self, bounds: &Restarts, world: &World, step: Happens) {
        let connection = |node: &Node, place: u8| node.shell.lines[usize::from(place)].0;
        let mut ask = None;
        match step {
            Happens::Ask => self.ask(bounds),
            Happens::Leave(request) => {
                self.events.push_back(Event::ClientDisconnected { request });
                self.drain(bounds);
                let ending = record::RequestEnding::ClientDisconnected;
                self.record(bounds, record::Event::RequestEnded { request, ending });
            }
            Happens::Dispatch(request, to) => {
                let next = self.engine.requests().get(&request).map_or(0, |r| r.attempts.len() as u32);
                let (attempt, backend) = (AttemptNumber(next), BackendId(u32::from(to)));
                ask = Some(pools::Action::Dispatch { request, attempt, backend, send_by: None });
            }
            Happens::Fail(request) => {
                ask = Some(pools::Action::Fail { request, retry_after: Micros(0) });
            }
            Happens::Cancel(request, attempt) => {
                ask = Some(pools::Action::Cancel { request, attempt });
            }
            Happens::Commit => self.commit(bounds),
            Happens::Tell => {
                for event in self.told.pop_front().unwrap_or_default() {
                    self.record(bounds, event);
                    self.drain(bounds);
                }
            }
            Happens::StoreFails(on_record) => self.store_fails(on_record),
            Happens::StoreBack => {
                self.down = false;
                self.told.push_back(vec![record::Event::StoreUp]);
            }
            Happens::Up(place) => {
                let connection = connection(self, place);
                self.shell.set(connection, Doing::Idle);
                self.events.push_back(Event::Connected { connection });
            }
            Happens::ConnectFailed(place) => {
                let connection = connection(self, place);
                self.shell.drop_line(connection);
                self.events.push_back(Event::ConnectFailed { connection, backend_at_fault: true });
            }
            Happens::Written(place) => {
                let connection = connection(self, place);
                if let Some((_, Doing::Busy { written, .. })) = self.shell.lines.get_mut(usize::from(place)) {
                    *written = true;
                }
                self.events.push_back(Event::RequestWritten { connection });
            }
            Happens::Answered(place, verdict) => {
                let connection = connection(self, place);
                self.fate(connection, [Fate::Ran, Fate::Never, Fate::Maybe][usize::from(verdict)]);
                self.shell.drop_line(connection);
                let verdict = [ResponseClass::Served, ResponseClass::NotExecuted, ResponseClass::Error]
                    [usize::from(verdict)];
                self.events.push_back(Event::ResponseReceived {
                    connection,
                    verdict,
                    reusable: false,
                    has_excess_bytes: false,
                });
            }
            Happens::Ended(place) => {
                let (connection, doing) = self.shell.lines[usize::from(place)];
                if matches!(doing, Doing::Busy { written: false, .. }) {
                    self.fate(connection, Fate::Never);
                }
                self.shell.drop_line(connection);
                self.events.push_back(Event::ConnectionClosed { connection });
            }
            Happens::Unfit(place) => {
                let connection = connection(self, place);
                self.fate(connection, Fate::Never);
                self.shell.drop_line(connection);
                self.events.push_back(Event::ConnectionUnusable { connection });
            }
            Happens::Closed(place, written) => {
                let (connection, doing) = self.shell.lines[usize::from(place)];
                let written = written || matches!(doing, Doing::Busy { written: true, .. });
                if !written {
                    self.fate(connection, Fate::Never);
                }
                self.shell.drop_line(connection);
                self.events.push_back(Event::CloseCompleted { connection, written });
            }
            Happens::Resolve(ran) => {
                self.left.resolves -= 1;
                let fate = if ran { Fate::Ran } else { Fate::Never };
                self.sent.iter_mut().filter(|s| s.fate == Fate::Maybe).for_each(|s| s.fate = fate);
                let (reply, by, note) = (record::ReplyId(1), String::new(), String::new());
                self.record(bounds, record::Event::Resolve { reply, key: key(), ran, by, note });
            }
            Happens::Tick => {
                self.left.ticks -= 1;
                self.now = self.now + TICK;
            }
            Happens::Wake => {
                self.record(bounds, record::Event::Wake);
                self.events.push_back(Event::Wake);
            }
            Happens::Kill => self.kill(bounds, world),
        }
        if let Some(ask) = ask {
            let mut out = Vec::new();
            self.engine.apply_policy_action(self.now, ask, &mut out);
            self.acted(bounds, out);
        }
        self.drain(bounds);
        // Connections are used once.
        while let Some((connection, _)) = self.shell.lines.iter().find(|l| l.1 == Doing::Idle).copied() {
            self.shell.drop_line(connection);
            self.events.push_back(Event::ConnectionUnusable { connection });
            self.drain(bounds);
        }
    }

    fn steps(&self, bounds: &Restarts, out: &mut Vec<Happens>) {
        out.clear();
        if self.left.asks > 0 {
            out.push(Happens::Ask);
        }
        for (id, r) in self.engine.requests() {
            if r.state != RequestState::Open {
                continue;
            }
            out.extend([Happens::Leave(*id), Happens::Fail(*id)]);
            if r.attempts.len() < usize::from(bounds.attempts) && !r.out() {
                out.extend((0..bounds.boxes).map(|to| Happens::Dispatch(*id, to)));
            }
            let out_still = r.attempts.iter().enumerate();
            let out_still =
                out_still.filter(|(_, t)| t.out() && !matches!(t.state, AttemptState::Cancelling(..)));
            out.extend(out_still.map(|(no, _)| Happens::Cancel(*id, AttemptNumber(no as u32))));
        }
        if !self.queue.is_empty() && !self.down {
            out.push(Happens::Commit);
        }
        if !self.told.is_empty() {
            out.push(Happens::Tell);
        }
        if self.down {
            out.push(Happens::StoreBack);
        } else if self.left.failures > 0 && !self.queue.is_empty() {
            out.extend((0..=self.queue.len() as u8).map(Happens::StoreFails));
        }
        self.lines(out);
        // An operator asks the backends first, and only of a key of which nothing is under way here.
        let busy = !self.shell.lines.is_empty() || !self.engine.requests().is_empty();
        let ran = self.sent.iter().any(|s| s.fate == Fate::Ran);
        if self.left.resolves > 0 && !busy && !self.down && self.recorder.unsettled() > 0 {
            if !ran {
                out.push(Happens::Resolve(false));
            }
            if self.sent.iter().any(|s| s.fate != Fate::Never) {
                out.push(Happens::Resolve(true));
            }
        }
        let due = [self.engine.wake_at(), self.recorder.wake_at()].into_iter().flatten().min();
        if let Some(due) = due {
            if due <= self.now {
                out.push(Happens::Wake);
            } else if self.left.ticks > 0 && due <= self.now + ticks(2) {
                out.push(Happens::Tick);
            }
        }
        if self.left.restarts > 0 {
            out.push(Happens::Kill);
        }
    }

    fn lines(&self, out: &mut Vec<Happens>) {
        for (place, (_, doing)) in self.shell.lines.iter().enumerate() {
            let place = place as u8;
            match doing {
                Doing::Opening => out.extend([Happens::Up(place), Happens::ConnectFailed(place)]),
                Doing::Idle => {}
                // The shell closes at once what it is asked to, and says how far it had got.
                Doing::Busy { written, closing: true, .. } => {
                    out.push(Happens::Closed(place, true));
                    if !written {
                        out.push(Happens::Closed(place, false));
                    }
                }
                Doing::Busy { written, .. } => {
                    out.push(Happens::Ended(place));
                    match written {
                        true => out.extend((0..3).map(|verdict| Happens::Answered(place, verdict))),
                        false => out.extend([Happens::Written(place), Happens::Unfit(place)]),
                    }
                }
            }
        }
    }

    /// What must hold when nothing is under way: a key that was not executed is free, unless a kill came between.
    fn at_rest(&self, bounds: &Restarts) -> Option<&'static str> {
        let idle = self.engine.requests().is_empty() && self.queue.is_empty() && self.told.is_empty();
        if !idle || self.down || bounds.mutant.is_some() {
            return None;
        }
        let killed = self.run > 1;
        let ran = self.sent.iter().any(|s| s.fate != Fate::Never);
        match self.book.key {
            Some((KeyState::InFlight, ..)) => Some("a key is left in flight"),
            Some(_) if !ran && !killed && self.left.resolves == bounds.resolves => {
                Some("a key that never ran is kept from being asked again")
            }
            None if self.recorder.unsettled() > 0 => Some("a key is free on record and taken in memory"),
            _ => None,
        }
    }

    /// 128 bits of all in it that anything can ever depend on.
    fn print(&self, text: &mut String, plain: &mut String) -> u128 {
        text.clear();
        let (maybe, ran) = (self.dead(Fate::Maybe), self.dead(Fate::Ran));
        let live: Vec<&Sent> = self.sent.iter().filter(|s| self.is_live(s)).collect();
        let (lines, states) = (&self.shell.lines, self.engine.requests());
        let conns: Vec<_> = self.engine.connections().collect();
        let key = self.book.key.map(|(state, run, request, _)| (state, run, request));
        write!(
            text,
            "{maybe} {ran} {live:?} {lines:?} {states:?} {conns:?} {key:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {:?} {}",
            self.engine.wake_at(),
            self.now,
            self.recorder,
            self.queue,
            self.told,
            self.down,
            self.left,
            self.run,
            self.asked,
        )
        .expect("a string takes all");
        canonical(text, self.now, plain);
        let half = |seed: u8| {
            let mut hasher = DefaultHasher::new();
            hasher.write_u8(seed);
            hasher.write(plain.as_bytes());
            hasher.finish()
        };
        u128::from(half(0)) << 64 | u128::from(half(1))
    }

    /// Sent in this run, on a connection that is still there.
    fn is_live(&self, sent: &Sent) -> bool {
        sent.run == self.run && self.shell.lines.iter().any(|l| l.0 == sent.connection)
    }

    fn dead(&self, fate: Fate) -> bool {
        self.sent.iter().any(|s| s.fate == fate && !self.is_live(s))
    }
}

/// The words of a state without what nothing depends on: names of writes and connections by the order in which they
/// are met, times as they lie from now and one beyond a day, no numbers of rows, no texts of facts, no times at which
/// an attempt was asked for or ended, which count for keyed classes only.
fn canonical(text: &str, now: Time, plain: &mut String) {
    const LEFT_OUT: [&str; 3] = ["seq: ", "through: ", "body: "];
    plain.clear();
    let (mut tickets, mut conns): (Vec<&str>, Vec<&str>) = Default::default();
    let mut rest = text;
    while let Some(at) = rest.find([':', '(']) {
        let end = at + if rest.as_bytes()[at] == b':' { 2 } else { 1 };
        let word_end = rest.len().min(end);
        let head = &rest[..word_end];
        plain.push_str(head);
        rest = &rest[word_end..];
        let number = || rest.split(|c: char| !c.is_ascii_digit()).next().unwrap_or_default();
        if let Some(field) = LEFT_OUT.iter().find(|f| head.ends_with(**f)) {
            rest = match *field {
                "body: " => rest.find("\", sum: ").map_or(rest, |end| &rest[end..]),
                _ => &rest[number().len()..],
            };
        } else if head.ends_with("sum: ") {
            rest = rest.find(']').map_or(rest, |end| &rest[end..]);
        } else if head.ends_with("Time(") {
            let value = number();
            let field =
                plain.strip_suffix(": Time(").and_then(|before| before.rsplit([' ', '{', '(']).next());
            let skip = field.is_some_and(|field| ["at", "dispatched_at", "ended_at"].contains(&field));
            let far = value.parse::<u64>().unwrap_or_default() as i64 - now.0 as i64;
            if !skip {
                let near = far.clamp(-10 * TICK.0 as i64, 10 * TICK.0 as i64);
                let _ = write!(plain, "{near}");
            }
            rest = &rest[value.len()..];
        } else if head.ends_with("Ticket(") || head.ends_with("ConnectionId(") {
            let value = number();
            let names = if head.ends_with("Ticket(") { &mut tickets } else { &mut conns };
            let place = names.iter().position(|n| *n == value).unwrap_or_else(|| {
                names.push(value);
                names.len() - 1
            });
            let _ = write!(plain, "{place}");
            rest = &rest[value.len()..];
        }
    }
    plain.push_str(rest);
}

/// What was found.
#[derive(Debug)]
pub struct FoundRestarts {
    /// Different states.
    pub states: usize,
    /// Steps made.
    pub transitions: u64,
    /// Steps to the farthest state.
    pub depth: usize,
    /// The time it took.
    pub took: Duration,
    /// Nothing was left to look at.
    pub exhausted: bool,
    /// The shortest way to a broken rule, and the rule.
    pub counterexample: Option<(Vec<Happens>, &'static str)>,
}

/// Explores such a world, breadth first, for so long at most.
pub fn restarts(bounds: &Restarts, time: Duration) -> FoundRestarts {
    let begin = Instant::now();
    let world = World { asks: false, ..base(usize::from(bounds.boxes), 0, 0, 1) };
    let first = Node::start(bounds, &world);
    let (mut text, mut plain) = (String::new(), String::new());
    let mut visited = HashSet::from([first.print(&mut text, &mut plain)]);
    let mut from: Vec<(u32, Happens)> = vec![(0, Happens::Kill)];
    let mut layer = vec![(0u32, first)];
    let (mut transitions, mut depth, mut steps) = (0, 0, Vec::new());
    let done = |states: usize, transitions, depth, exhausted, counterexample| FoundRestarts {
        states,
        transitions,
        depth,
        took: begin.elapsed(),
        exhausted,
        counterexample,
    };
    loop {
        let mut next_layer = Vec::new();
        for (at, node) in layer {
            node.steps(bounds, &mut steps);
            if begin.elapsed() >= time {
                return done(from.len(), transitions, depth, false, None);
            }
            for step in &steps {
                transitions += 1;
                let mut next = node.clone();
                next.go(bounds, &world, *step);
                if let Some(rule) = next.broken.or_else(|| next.at_rest(bounds)) {
                    let way = way(&from, at, *step);
                    return done(from.len(), transitions, depth, false, Some((way, rule)));
                }
                if visited.insert(next.print(&mut text, &mut plain)) {
                    from.push((at, *step));
                    next_layer.push((from.len() as u32 - 1, next));
                }
            }
        }
        if next_layer.is_empty() {
            return done(from.len(), transitions, depth, true, None);
        }
        layer = next_layer;
        depth += 1;
    }
}

fn way(from: &[(u32, Happens)], mut at: u32, last: Happens) -> Vec<Happens> {
    let mut way = vec![last];
    while at != 0 {
        let (parent, step) = from[at as usize];
        way.push(step);
        at = parent;
    }
    way.reverse();
    way
}
