//! The driver of the machines and their sole owner: events go in, actions are carried out, always after the
//! engine's borrow has ended. It holds sockets, payloads and one timer, and decides nothing.

use crate::connection_table::{ConnectionTable, UpstreamConnection};
use crate::exchange::{ExchangeOutcome, ExchangeSpec, UpstreamRequest};
use crate::io_error::{connect_failure, ConnectFailure, SystemCall, SystemErrors};
use crate::recording::{RequestIdentity, RequestRecorder};
use crate::stream::{PeerWatch, Stream};
use crate::timeout::{self, TimedOut};
use crate::trace::{request_trace_enabled, AttemptEvent, AttemptOutcome, AttemptTrace, RequestEvent};
use crate::{span, Clock};
use shaletide_balancer::*;
use shaletide_engine::monitor::{Monitor, Rules};
use shaletide_engine::{Action, ConnectionLimits, ConnectionState, Engine, Event, FinalOutcome, RequestSpec};
use shaletide_membership::{Directory, Endpoint, PoolSpec, StartTimes};
use shaletide_record::{KeyConflict, KeyDecision, KeyRequest, RequestEnding, Seen};
use shaletide_routing::{Decision, Pools};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tracing::{error, info, warn};

/// Kept of the client's time for the answer's way back, on top of how late timers were seen to fire.
const MIN_DEADLINE_MARGIN: Micros = Micros(3_000);
const MAX_DEADLINE_MARGIN: Micros = Micros(20_000);
/// Part of the backends' idle limit after which a connection is no longer used: well inside it, as their
/// clock may have started earlier than ours.
const USABLE_IDLE_FRACTION: f64 = 0.6;
/// A connection is not used again so soon after an answer. A hedged attempt of that, or noise, may come some
/// milliseconds behind it, and on a connection that carries the next request already nothing would tell it from the
/// answer to that one. It costs as many further connections as there are answers in this time.
const REUSE_DELAY: Micros = Micros(10_000);
/// How often idle connections are looked over.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A timer that fires so late finds the process held up, or busy.
const LATE_TIMER: Micros = Micros(5_000);
/// A connect that lacks something of the system's is tried again after this time.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// An answer may be so late in the eyes of the monitors: as late as a busy machine wakes.
const ANSWER_SLACK: Micros = Micros(100_000);
/// A list on record is cut behind so many bytes: 1,024 backends fit whose names are of 248 bytes.
const MAX_RECORDED_LIST_BYTES: usize = 256 << 10;
/// So many broken rules are kept for a report, and have a line each.
const MAX_RECORDED_VIOLATIONS: usize = 50;
/// So many conflicts between lists are named in a line.
const MAX_LOGGED_CONFLICTS: usize = 5;

/// How connections to backends are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamConfig {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub idle_timeout: Micros,
    /// An answer that is not whole so long after its first byte counts as spoilt; `None`: it may take its time.
    pub answer_stall: Option<Micros>,
    /// The body of an answer is no longer than this, in bytes; else it counts as spoilt.
    pub max_body: usize,
    /// So many connections at most.
    pub max_connections: usize,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalResponse {
    /// The last word on it.
    pub decision: Decision,
    /// The attempt whose answer is passed on, or was the last to come.
    pub attempt: Option<AttemptNumber>,
    /// Why its key is not sent, where that is so.
    pub conflict: Option<KeyConflict>,
}

/// Why a request is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitError {
    /// The record does not let its key go.
    Record(KeyDecision),
    /// Its client has closed its connection.
    ClientClosed,
}

/// A pool as it is to be.
#[derive(Clone, Debug)]
pub struct PoolSetup {
    /// Its name and where its backends come from.
    pub spec: PoolSpec,
    /// Its module's configuration; zone and realms are filled in here.
    pub config: Config,
}

/// What is kept for a front while its request is open.
struct OpenRequest {
    upstream_request: Rc<dyn UpstreamRequest>,
    answer: oneshot::Sender<FinalResponse>,
    /// It is on record, and its attempts want permits.
    recorded: Option<bool>,
    /// The record has ended it.
    conflict: Option<KeyConflict>,
}

impl OpenRequest {
    /// The trace of an attempt, where requests are traced.
    fn trace(&self, attempt: AttemptNumber, backend: BackendId) -> Option<AttemptTrace> {
        let request = self.upstream_request.trace()?.clone();
        Some(AttemptTrace { request, attempt, backend })
    }
}

/// What happened since the last line about it.
#[derive(Default)]
struct Counters {
    requests: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    timed_out: u64,
    client_disconnected: u64,
    sent: u64,
    invalid_responses: u64,
    connections_closed: u64,
    connections_unusable: u64,
    connects_failed: u64,
}

/// The rules as seen from outside the engine.
struct InvariantChecker {
    monitor: Monitor,
    violations: Vec<String>,
    violation_count: u64,
}

impl InvariantChecker {
    fn record(&mut self, verdict: shaletide_engine::monitor::Verdict) {
        let Err(violation) = verdict else { return };
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            error!("self-check: {violation}");
            self.violations.push(violation.to_string());
        }
    }
}

struct State {
    engine: Engine<Pools>,
    directory: Directory,
    start_times: StartTimes,
    /// Backends numbered so far; a line names each new one, as the module's lines speak of numbers.
    backends_logged: u32,
    open_requests: HashMap<RequestId, OpenRequest>,
    connections: ConnectionTable,
    pending_events: VecDeque<Event>,
    /// Events are being told; what is added meanwhile is told after them.
    dispatching: bool,
    actions: Vec<Action>,
    subscriptions: HashMap<PoolId, Rc<Notify>>,
    /// The rules' monitors, where they are wanted.
    checker: Option<InvariantChecker>,
    /// The record, where there is one, and the version of each pool's list.
    record: Option<Rc<dyn RequestRecorder>>,
    list_versions: HashMap<PoolId, u64>,
    /// When the timer is set to fire.
    timer_at: Option<Time>,
    last_request_id: u64,
    counters: Counters,
}

/// Owner of the engine and the directory, and of what is out for them.
pub struct Driver {
    state: RefCell<State>,
    /// The time by which all is done.
    pub clock: Clock,
    network: Cell<UpstreamConfig>,
    timer_changed: Notify,
    /// How late timers fire: the largest of late, fading.
    timer_lateness: Cell<u64>,
    /// Errors of system calls.
    pub system_errors: SystemErrors,
}

/// Not a byte of a request has gone out on it. Another is looked for, but not where it has only just come up: a backend
/// that ends each new connection, or is the first to speak, would be connected to for as long as the request has time.
fn unusable_event(connection: ConnectionId, never_used: bool) -> Event {
    if never_used {
        Event::ConnectionClosed { connection }
    } else {
        Event::ConnectionUnusable { connection }
    }
}

fn connection_limits(network: &UpstreamConfig) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: network.max_connections,
        idle_timeout: network.idle_timeout.times(USABLE_IDLE_FRACTION),
        reuse_delay: REUSE_DELAY,
    }
}

impl Driver {
    /// A driver of no pools; [`Driver::setup`] gives it some.
    pub fn new(clock: Clock, network: UpstreamConfig) -> Rc<Driver> {
        let state = State {
            engine: Engine::new(Pools::new(), connection_limits(&network)),
            directory: Directory::default(),
            start_times: StartTimes::default(),
            backends_logged: 0,
            open_requests: HashMap::new(),
            connections: ConnectionTable::default(),
            pending_events: VecDeque::new(),
            dispatching: false,
            actions: Vec::new(),
            subscriptions: HashMap::new(),
            checker: None,
            record: None,
            list_versions: HashMap::new(),
            timer_at: None,
            last_request_id: 0,
            counters: Counters::default(),
        };
        Rc::new(Driver {
            state: RefCell::new(state),
            clock,
            network: Cell::new(network),
            timer_changed: Notify::new(),
            timer_lateness: Cell::new(0),
            system_errors: SystemErrors::default(),
        })
    }

    /// Sets the pools up, at the start (with names of zones and kinds that are numbered first) or anew: those that
    /// there are keep what they learned, backends that go from one to another keep theirs, a pool that is named no
    /// more lets go of what it holds. Returns the pools' numbers in the order given.
    ///
    /// # Errors
    /// The field of a configuration that is unsound; the caller checks these before, so that nothing is half done.
    pub fn setup(
        self: &Rc<Self>, first: Option<(&[String], &[String])>, zone: &str, seed: u64,
        network: UpstreamConfig, setups: Vec<PoolSetup>,
    ) -> Result<Vec<PoolId>, ConfigError> {
        let now = self.clock.now();
        self.network.set(network);
        let specs = setups.iter().map(|s| s.spec.clone()).collect();
        let (changes, ids, closed) = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let changes = match first {
                Some((zones, kinds)) => {
                    let (directory, changes) = Directory::new(zones, kinds, specs);
                    s.directory = directory;
                    changes
                }
                None => s.directory.reload(now, specs),
            };
            let zone = s.directory.zone(zone);
            let named = |setup: &PoolSetup| s.directory.pool_named(&setup.spec.name).unwrap_or_default();
            let ids: Vec<PoolId> = setups.iter().map(named).collect();
            let realms: HashSet<Option<u32>> =
                ids.iter().map(|id| s.directory.deduplication_domain(*id)).collect();
            let only_deduplication_domain =
                realms.iter().next().copied().flatten().filter(|_| realms.len() == 1);
            let cancel = setups.iter().all(|s| s.config.may_cancel_attempts);
            s.start_times.set_slow_start_window(
                setups.iter().map(|s| s.config.slow_start_window).max().unwrap_or_default(),
            );
            for (id, setup) in ids.iter().zip(setups) {
                s.engine.policy_mut().configure(
                    *id,
                    Config { zone, only_deduplication_domain, ..setup.config },
                    seed,
                )?;
            }
            s.engine.configure(connection_limits(&network), cancel, only_deduplication_domain);
            if let Some(checker) = &mut s.checker {
                let rules = Rules {
                    cancel,
                    one_realm: only_deduplication_domain.is_some(),
                    ..*checker.monitor.rules()
                };
                checker.monitor.configure(rules);
            }
            let closed: Vec<PoolId> = s.engine.policy().open().filter(|id| !ids.contains(id)).collect();
            (changes, ids, closed)
        };
        self.apply_endpoint_changes(changes);
        for pool in closed {
            self.state.borrow_mut().subscriptions.remove(&pool);
            self.handle_event(Event::PoolClosed { pool });
        }
        Ok(ids)
    }

    /// Holds all that happens from now on against the rules, by observers that share no code with the engine. A rule
    /// that breaks has a line in the log; [`Driver::violations`] tells of all.
    pub fn self_check(&self, drain_grace: Micros) {
        let mut s = self.state.borrow_mut();
        let rules = Rules {
            drain_grace,
            answer_slack: ANSWER_SLACK,
            quiet: REUSE_DELAY,
            cancel: true,
            one_realm: false,
        };
        s.checker = Some(InvariantChecker {
            monitor: Monitor::new(rules),
            violations: Vec::new(),
            violation_count: 0,
        });
    }

    /// A rule that the caller watches over was broken: it counts and has a line, like those of the self-check.
    pub fn report_violation(&self, text: &str) {
        error!("self-check: {text}");
        if let Some(checker) = &mut self.state.borrow_mut().checker {
            checker.violation_count += 1;
            if checker.violations.len() < MAX_RECORDED_VIOLATIONS {
                checker.violations.push(text.into());
            }
        }
    }

    /// How many rules were broken since the self-check began, and the first of them.
    pub fn violations(&self) -> (u64, Vec<String>) {
        let s = self.state.borrow();
        s.checker
            .as_ref()
            .map_or((0, Vec::new()), |checker| (checker.violation_count, checker.violations.clone()))
    }

    /// What is held back of a client's time.
    pub fn deadline_margin(&self) -> Micros {
        Micros((MIN_DEADLINE_MARGIN.0 + self.timer_lateness.get()).min(MAX_DEADLINE_MARGIN.0))
    }

    /// Takes a request; `spec.arrival.request`, `spec.requires_intent` and `spec.recorded` are given here.
    ///
    /// # Errors
    /// Why it is not taken. Nothing is owed then.
    pub fn submit(
        self: &Rc<Self>, mut spec: RequestSpec, identity: RequestIdentity<'_>,
        upstream_request: Rc<dyn UpstreamRequest>,
    ) -> Result<(RequestId, oneshot::Receiver<FinalResponse>), SubmitError> {
        // Each attempt asks again: a request that need not be taken costs no decision and no connection.
        if upstream_request.client().is_some_and(PeerWatch::closed) {
            self.state.borrow_mut().counters.client_disconnected += 1;
            upstream_request.trace().inspect(|trace| trace.event(RequestEvent::ClientClosed));
            return Err(SubmitError::ClientClosed);
        }
        let now = self.clock.now();
        let (id, record) = {
            let mut s = self.state.borrow_mut();
            s.last_request_id += 1;
            s.counters.requests += 1;
            (RequestId(s.last_request_id), s.record.clone())
        };
        let RequestIdentity { tenant, class, key } = identity;
        let key_request =
            KeyRequest { request: id, tenant, class, key, deadline: now + spec.arrival.time_left };
        let recorded =
            match record.filter(|record| record.records(class)).map(|record| record.ask(now, &key_request)) {
                None => None,
                Some(KeyDecision::Proceed { requires_intent: permit }) => Some(permit),
                Some(verdict) => return Err(SubmitError::Record(verdict)),
            };
        upstream_request.trace().inspect(|trace| trace.taken(id));
        let (answer, wait) = oneshot::channel();
        let open = OpenRequest { upstream_request, answer, recorded, conflict: None };
        self.state.borrow_mut().open_requests.insert(id, open);
        spec.arrival.request = id;
        (spec.requires_intent, spec.recorded) = (recorded == Some(true), recorded.is_some());
        self.handle_event(Event::Request(spec));
        Ok((id, wait))
    }

    /// From now on this is told of what happens.
    pub fn set_recorder(&self, record: Rc<dyn RequestRecorder>) {
        self.state.borrow_mut().record = Some(record);
    }

    /// The record's word on an attempt.
    pub fn on_intent_persisted(self: &Rc<Self>, request: RequestId, attempt: AttemptNumber, given: bool) {
        self.handle_event(Event::IntentPersisted { request, attempt, persisted: given });
    }

    /// The record has seen that a request must not be sent: it ends now.
    pub fn end_by_record(self: &Rc<Self>, request: RequestId, verdict: KeyDecision) {
        let advice = match verdict {
            KeyDecision::Reject(advice) => advice,
            KeyDecision::Conflict(conflict) => {
                if let Some(open) = self.state.borrow_mut().open_requests.get_mut(&request) {
                    open.conflict = Some(conflict);
                }
                Micros(0)
            }
            _ => Micros(0),
        };
        self.handle_event(Event::GiveUp { request, retry_after: advice });
    }

    /// All that is open is given up: nothing of it goes out any more, and it is answered by what is known of it.
    pub fn give_up_all(self: &Rc<Self>, advice: Micros) {
        let open: Vec<RequestId> = self.state.borrow().open_requests.keys().copied().collect();
        open.into_iter()
            .for_each(|request| self.handle_event(Event::GiveUp { request, retry_after: advice }));
    }

    /// The version of a pool's list, of which news follows.
    pub fn set_list_version(&self, pool: PoolId, version: u64) {
        self.state.borrow_mut().list_versions.insert(pool, version);
    }

    /// Tells the record, where there is one.
    fn record_event(&self, event: shaletide_record::Event) {
        let record = self.state.borrow().record.clone();
        if let Some(record) = record {
            record.tell(self.clock.now(), event);
        }
    }

    /// Whether a request is on record, and if so whether its attempts want permits.
    fn requires_intent(&self, request: RequestId) -> Option<bool> {
        self.state.borrow().open_requests.get(&request).and_then(|open| open.recorded)
    }

    /// What is known of a backend at this moment.
    fn backend_seen(&self, request: RequestId, attempt: AttemptNumber) -> Seen {
        let s = self.state.borrow();
        let attempts = s.engine.requests().get(&request).map(|r| &r.attempts);
        let Some(backend) =
            attempts.and_then(|attempts| attempts.get(attempt.0 as usize)).map(|attempt| attempt.backend)
        else {
            return Seen::default();
        };
        let pool = s.directory.pool(backend);
        let state = s.engine.backend_state(backend);
        let busy = |step: &ConnectionState| matches!(step, ConnectionState::Busy(..));
        let out = s.engine.connections().filter(|(_, to, step)| *to == backend && busy(step)).count();
        Seen {
            backend: s.directory.name(backend).unwrap_or_default().into(),
            pool: pool.and_then(|pool| s.directory.pool_name(pool)).unwrap_or_default().into(),
            list: pool.and_then(|pool| s.list_versions.get(&pool)).copied().unwrap_or_default(),
            state: format!("{state:?}").to_lowercase(),
            ready: state == BackendState::Ready,
            out: out as u32,
        }
    }

    /// Its answer is still awaited.
    fn is_open(&self, request: RequestId) -> bool {
        self.state.borrow().open_requests.contains_key(&request)
    }

    /// The client left before its answer.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let recorded = {
            let mut s = self.state.borrow_mut();
            let Some(open) = s.open_requests.remove(&id) else { return };
            s.counters.client_disconnected += 1;
            open.upstream_request.trace().inspect(|trace| trace.event(RequestEvent::ClientClosed));
            open.recorded.is_some()
        };
        self.handle_event(Event::ClientDisconnected { request: id });
        if recorded {
            self.record_event(shaletide_record::Event::RequestEnded {
                request: id,
                ending: RequestEnding::ClientDisconnected,
            });
        }
    }

    /// News of a pool's list.
    pub fn update_endpoints(
        self: &Rc<Self>, pool: PoolId, update: EndpointUpdate, mut entries: Vec<Endpoint>,
    ) {
        let changes = {
            let mut s = self.state.borrow_mut();
            s.start_times.to_local_clock(self.clock.now(), pool, update, &mut entries);
            s.directory.apply_update(pool, update, entries)
        };
        self.apply_endpoint_changes(changes);
    }

    /// Until a pool's module asks its discovery for changes.
    pub async fn subscribe_requested(&self, pool: PoolId) {
        let follow = self.state.borrow_mut().subscriptions.entry(pool).or_default().clone();
        follow.notified().await;
    }

    /// Tells an event, and carries out all that follows from it.
    fn handle_event(self: &Rc<Self>, event: Event) {
        {
            let mut s = self.state.borrow_mut();
            s.pending_events.push_back(event);
            if std::mem::replace(&mut s.dispatching, true) {
                return; // by whoever is telling already
            }
        }
        loop {
            let mut actions = {
                let mut s = self.state.borrow_mut();
                let s = &mut *s;
                let Some(event) = s.pending_events.pop_front() else {
                    s.dispatching = false;
                    let wake = s.engine.wake_at();
                    if wake.is_some_and(|at| s.timer_at.is_none_or(|timer_at| at < timer_at)) {
                        self.timer_changed.notify_one();
                    }
                    return;
                };
                let (now, mut actions) = (self.clock.now(), std::mem::take(&mut s.actions));
                match &mut s.checker {
                    None => s.engine.handle(now, event, &mut actions),
                    Some(checker) => {
                        let seen = checker.monitor.see(now, &event);
                        checker.record(seen);
                        s.engine.handle(now, event, &mut actions);
                        for action in &actions {
                            let acted = checker.monitor.act(now, action);
                            checker.record(acted);
                        }
                        let done = checker.monitor.done(now);
                        checker.record(done);
                    }
                }
                actions
            };
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.state.borrow_mut().actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Connect { connection, backend } => self.connect(connection, backend),
            Action::Send { connection, request, attempt, deadline, write_deadline: by } => {
                if self.requires_intent(request) == Some(false) {
                    let seen = self.backend_seen(request, attempt);
                    self.record_event(shaletide_record::Event::AttemptStarted { request, attempt, seen });
                }
                self.dispatch(connection, request, attempt, deadline, by);
            }
            Action::Close { connection } => {
                let mut s = self.state.borrow_mut();
                let upstream = s.connections.by_id.remove(&connection);
                if let Some(upstream) = upstream.filter(|upstream| upstream.busy) {
                    // Dropped, it writes nothing more: how far it has got is certain now.
                    let written = upstream.stream.as_ref().is_some_and(Stream::request_written);
                    upstream.stream.as_ref().inspect(|stream| stream.end_trace(|| AttemptOutcome::Cancelled));
                    s.pending_events.push_back(Event::CloseCompleted { connection, written });
                }
            }
            Action::Answer { request, answer, last_attempt: last } => self.answer(request, answer, last),
            Action::PersistIntent { request, attempt } => {
                let seen = self.backend_seen(request, attempt);
                self.record_event(shaletide_record::Event::IntentRequested { request, attempt, seen });
            }
            Action::WithdrawIntent { request, attempt } => {
                self.record_event(shaletide_record::Event::IntentWithdrawn { request, attempt });
            }
            Action::AttemptEnded { request, attempt, outcome } => {
                self.record_event(shaletide_record::Event::AttemptEnded { request, attempt, outcome });
            }
            Action::Subscribe { pool } => {
                self.state.borrow_mut().subscriptions.entry(pool).or_default().notify_one();
            }
            Action::Log { pool, text } => info!("pool {}: {text}", pool.0),
        }
    }

    fn connect(self: &Rc<Self>, connection: ConnectionId, backend: BackendId) {
        let mut s = self.state.borrow_mut();
        let Some(to) = s.directory.address(backend) else {
            s.pending_events.push_back(Event::ConnectFailed { connection, backend_at_fault: false });
            return;
        };
        s.connections.opened += 1;
        s.trace_connecting(connection, AttemptEvent::Connecting);
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            let within = span(driver.network.get().connect_timeout);
            let event = match driver.connect_within(to, within).await {
                Ok(tcp) => {
                    driver.state.borrow_mut().on_connected(connection, Stream::new(tcp));
                    Event::Connected { connection }
                }
                Err(failure) => {
                    let mut s = driver.state.borrow_mut();
                    s.trace_connecting(connection, AttemptEvent::ConnectFailed);
                    s.connections.by_id.remove(&connection);
                    s.counters.connects_failed += 1;
                    Event::ConnectFailed { connection, backend_at_fault: failure == ConnectFailure::Peer }
                }
            };
            driver.handle_event(event);
            if let Some(upstream) = driver.state.borrow_mut().connections.by_id.get_mut(&connection) {
                upstream.never_used = false;
            }
        });
        let task = Some(task.abort_handle());
        s.connections.by_id.insert(
            connection,
            UpstreamConnection { backend, to, stream: None, task, busy: false, never_used: false },
        );
    }

    /// Connects within that time. A shortage of the system's is waited for, as the backend may be sound.
    async fn connect_within(&self, to: SocketAddr, within: Duration) -> Result<TcpStream, ConnectFailure> {
        let mut last = ConnectFailure::Peer;
        let attempts = async {
            loop {
                let error = match TcpStream::connect(to).await {
                    Ok(tcp) => return Ok(tcp),
                    Err(error) => error,
                };
                last = connect_failure(&error);
                if last != ConnectFailure::Peer {
                    self.system_errors.note(self.clock.now(), SystemCall::Connect, &error);
                }
                if last != ConnectFailure::SystemShortage {
                    return Err(last);
                }
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
            }
        };
        match timeout::timeout(within, attempts).await {
            Ok(done) => done,
            Err(TimedOut) => Err(last),
        }
    }

    fn dispatch(
        self: &Rc<Self>, connection: ConnectionId, request: RequestId, attempt: AttemptNumber,
        deadline: Time, by: Option<Time>,
    ) {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let upstream = s.connections.by_id.get_mut(&connection);
        let never_used = upstream.as_ref().is_some_and(|upstream| upstream.never_used);
        // The kernel itself is asked before the first byte goes out: till then the loop may do other things.
        let usable = upstream.filter(|upstream| {
            upstream.stream.as_ref().is_some_and(|stream| !stream.has_pending_input_as_polled())
        });
        let (Some(upstream), Some(open)) = (usable, s.open_requests.get(&request)) else {
            s.counters.connections_unusable += 1;
            s.trace_unusable(connection, request, attempt);
            s.pending_events.push_back(unusable_event(connection, never_used));
            return;
        };
        let Some(stream) = upstream.stream.clone() else { return };
        s.counters.sent += 1;
        let network = self.network.get();
        let (stall, max_body) = (network.answer_stall.map(span), network.max_body);
        let exchange = ExchangeSpec {
            attempt,
            stream: stream.clone(),
            to: upstream.to,
            deadline: self.clock.instant(deadline).into_std(),
            stall,
            max_body,
        };
        stream.prepare_request(); // until the request says what it writes, nothing is written
        stream.set_write_deadline(by.map(|by| self.clock.instant(by).into_std()));
        stream.set_client(open.upstream_request.client().cloned());
        stream.begin_trace(open.trace(attempt, upstream.backend));
        let (driver, run) = (self.clone(), open.upstream_request.clone().run(exchange));
        let task = tokio::task::spawn_local(async move {
            let outcome = run.await;
            driver.exchange_ended(connection, request, outcome, &stream, never_used);
        });
        (upstream.task, upstream.busy) = (Some(task.abort_handle()), true);
    }

    fn exchange_ended(
        self: &Rc<Self>, connection: ConnectionId, request: RequestId, outcome: ExchangeOutcome,
        stream: &Stream, never_used: bool,
    ) {
        stream.end_trace(|| AttemptOutcome::of(&outcome, !stream.is_unwritten()));
        let ended = matches!(outcome, ExchangeOutcome::InvalidResponse | ExchangeOutcome::ConnectionClosed);
        if ended && stream.is_unwritten() && stream.client_closed() && self.is_open(request) {
            return self.client_gone(request); // the connection is closed with it, and its backend not blamed
        }
        let written = stream.request_written();
        let event = {
            let mut s = self.state.borrow_mut();
            let Some(upstream) = s.connections.by_id.get_mut(&connection) else { return };
            (upstream.busy, upstream.task) = (false, None);
            match outcome {
                ExchangeOutcome::Response { class: verdict, reusable: keep, excess, report } => {
                    s.pending_events.extend(report.map(|report| Event::LoadReported { connection, report }));
                    Event::ResponseReceived { connection, verdict, reusable: keep, has_excess_bytes: excess }
                }
                // What ended or came before the first byte went out is about an earlier request, if any.
                ExchangeOutcome::InvalidResponse | ExchangeOutcome::ConnectionClosed
                    if stream.is_unwritten() =>
                {
                    s.counters.connections_unusable += 1;
                    unusable_event(connection, never_used && !stream.write_deadline_passed())
                }
                ExchangeOutcome::InvalidResponse => {
                    s.counters.invalid_responses += 1;
                    Event::InvalidResponse { connection }
                }
                ExchangeOutcome::ConnectionClosed => {
                    s.counters.connections_closed += 1;
                    Event::ConnectionClosed { connection }
                }
            }
        };
        if written {
            self.handle_event(Event::RequestWritten { connection });
        }
        self.handle_event(event);
    }

    fn answer(&self, request: RequestId, answer: FinalOutcome, last: Option<AttemptNumber>) {
        let mut s = self.state.borrow_mut();
        let Some(open) = s.open_requests.remove(&request) else { return };
        let ending = match answer {
            FinalOutcome::Served(attempt) => RequestEnding::Served(attempt),
            FinalOutcome::Rejected(_) => RequestEnding::Rejected,
            FinalOutcome::Failed => RequestEnding::Failed,
            FinalOutcome::TimedOut => RequestEnding::TimedOut,
        };
        let (decision, attempt) = match answer {
            FinalOutcome::Served(attempt) => {
                s.counters.served += 1;
                (Decision::Served, Some(attempt))
            }
            FinalOutcome::Rejected(after) => {
                s.counters.rejected += 1;
                (Decision::Rejected(after), last)
            }
            FinalOutcome::Failed => {
                s.counters.failed += 1;
                (Decision::Failed, last)
            }
            FinalOutcome::TimedOut => {
                s.counters.timed_out += 1;
                (Decision::TimedOut, None)
            }
        };
        drop(s);
        // A client may have left in this very moment.
        let _ = open.answer.send(FinalResponse { decision, attempt, conflict: open.conflict });
        if open.recorded.is_some() {
            self.record_event(shaletide_record::Event::RequestEnded { request, ending });
        }
    }

    /// Tells the engine the time whenever it wants to know, for as long as the program runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let at = {
                let mut s = self.state.borrow_mut();
                s.timer_at = s.engine.wake_at();
                s.timer_at
            };
            match at {
                None => self.timer_changed.notified().await,
                Some(at) => {
                    let due = tokio::time::sleep_until(self.clock.instant(at));
                    tokio::select! {
                        _ = due => {
                            // What has come meanwhile is heard first: an answer is no silence.
                            if self.clock.now() - at > LATE_TIMER {
                                timeout::poll_sockets().await;
                            }
                            let late = (self.clock.now() - at).0;
                            self.timer_lateness.set(late.max(self.timer_lateness.get() * 15 / 16));
                            self.handle_event(Event::Wake);
                        }
                        _ = self.timer_changed.notified() => {}
                    }
                    // A round of decisions over large pools may last longer than its tick.
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Looks idle connections over, for as long as the program runs: those that the other side has closed go.
    pub async fn sweep_idle_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let unusable = self.state.borrow().connections.with_pending_input();
            unusable
                .into_iter()
                .for_each(|connection| self.handle_event(Event::ConnectionUnusable { connection }));
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            if let Some(checker) = &mut s.checker {
                let kept = checker.monitor.kept(self.clock.now(), &s.engine);
                checker.record(kept);
            }
        }
    }

    /// How many connections there are to backends.
    pub fn upstream_connection_count(&self) -> usize {
        self.state.borrow().engine.connection_count()
    }

    /// Closes a connection that nobody uses to make room for a client; false where there is none.
    pub fn close_idle_connection(self: &Rc<Self>) -> bool {
        let idle = self.state.borrow().engine.idle_connection();
        idle.into_iter().for_each(|connection| self.handle_event(Event::ConnectionUnusable { connection }));
        idle.is_some()
    }

    /// One line on what went on since the last, and one on addresses that several lists bring.
    pub fn report(&self, clients: &str) {
        let mut s = self.state.borrow_mut();
        let c = std::mem::take(&mut s.counters);
        let opened = std::mem::take(&mut s.connections.opened);
        let given_up = s.engine.policy_mut().take_give_up_counts();
        info!(
            "requests {} served {} refused {} failed {} overdue {} gone {}; sent {} spoilt {} ended {} unfit {} \
             unconnected {}; given up: {}; open requests {} {} upstreams {} connects {} lag {} us; failed system calls: {}",
            c.requests,
            c.served,
            c.rejected,
            c.failed,
            c.timed_out,
            c.client_disconnected,
            c.sent,
            c.invalid_responses,
            c.connections_closed,
            c.connections_unusable,
            c.connects_failed,
            given_up,
            s.open_requests.len(),
            clients,
            s.engine.connection_count(),
            opened,
            self.timer_lateness.get(),
            self.system_errors,
        );
        let conflicts = s.directory.conflicts();
        drop(s);
        if let Some(first) = conflicts.first() {
            let first = self.describe_conflict(first);
            warn!("{} addresses are brought by several lists, among them: {first}", conflicts.len());
        }
    }
}

impl State {
    /// An event of the attempt for which a connection is being established.
    fn trace_connecting(&self, connection: ConnectionId, event: AttemptEvent) {
        if !request_trace_enabled() {
            return;
        }
        let opening = self.engine.connections().find(|(id, ..)| *id == connection);
        if let Some((_, backend, ConnectionState::Connecting(Some((request, attempt))))) = opening {
            let open = self.open_requests.get(&request);
            open.and_then(|open| open.trace(attempt, backend)).inspect(|trace| trace.event(event));
        }
    }

    /// An attempt was given a connection that cannot be used.
    fn trace_unusable(&self, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        let backend = self.connections.by_id.get(&connection).map(|upstream| upstream.backend);
        let trace = self
            .open_requests
            .get(&request)
            .zip(backend)
            .and_then(|(open, backend)| open.trace(attempt, backend));
        trace.inspect(|trace| trace.event(AttemptEvent::ConnectionUnusable));
    }

    fn on_connected(&mut self, connection: ConnectionId, stream: Stream) {
        if let Some(upstream) = self.connections.by_id.get_mut(&connection) {
            (upstream.stream, upstream.task, upstream.never_used) = (Some(stream), None, true);
        }
    }
}

mod lists;
#[cfg(test)]
mod tests;
