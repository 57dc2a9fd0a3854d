//! The machine itself.

mod inspect;

use crate::attempt_rules::{may_dispatch, may_start, write_deadline};
use crate::connection_pool::{ConnectionLimits, ConnectionPool, ConnectionState};
use crate::event::{Action, Event, FinalOutcome, RequestSpec};
#[cfg(feature = "mutants")]
use crate::mutant::Mutant;
use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, AttemptState, Request, RequestState};
use shaletide_balancer::AttemptEnd;
use shaletide_routing::{pools, Pools, ResponseClass};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Attempts that any request may ever have, whatever the policy asks.
const MAX_ATTEMPTS: usize = 64;

/// Who says which backend, whether to retry and what is refused.
pub trait Policy {
    /// Hears an event and asks for what it calls for.
    fn handle(&mut self, now: Time, event: pools::Event, policy_actions: &mut Vec<pools::Action>);
}

/// The time rounded up.
fn round_up_to_seconds(span: Micros) -> Micros {
    Micros(span.0.div_ceil(1_000_000) * 1_000_000)
}

impl Policy for Pools {
    fn handle(&mut self, now: Time, event: pools::Event, policy_actions: &mut Vec<pools::Action>) {
        Pools::handle(self, now, event, policy_actions);
    }
}

/// What a list says of a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownBackend {
    pool: PoolId,
    placement: DeduplicationPlacement,
    state: BackendState,
}

/// Every request, attempt and connection.
///
/// Bounds: a request for each that its front has taken and not ended, at most 64 attempts each, the
/// connections of [`ConnectionLimits::most`], a place for each backend that any list has.
#[derive(Clone, Debug)]
pub struct Engine<P> {
    policy: P,
    limits: ConnectionLimits,
    /// Attempts that are not needed any more may be called back.
    cancellation: bool,
    /// The realm of all backends, if they are of one.
    only_deduplication_domain: Option<u32>,
    backends: BTreeMap<BackendId, KnownBackend>,
    requests: BTreeMap<RequestId, Request>,
    connection_pool: ConnectionPool,
    deadlines: BTreeSet<(Time, RequestId)>,
    timers: BTreeSet<(Time, TimerToken)>,
    idle_sweep_at: Option<Time>,
    policy_events: VecDeque<pools::Event>,
    policy_actions: Vec<pools::Action>,
    mutant: ActiveMutant,
}

impl<P: Policy> Engine<P> {
    /// An engine that knows no backend yet.
    pub fn new(policy: P, limits: ConnectionLimits) -> Engine<P> {
        Engine {
            policy,
            limits,
            cancellation: true,
            only_deduplication_domain: None,
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            connection_pool: ConnectionPool::default(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            idle_sweep_at: None,
            policy_events: VecDeque::new(),
            policy_actions: Vec::new(),
            mutant: ActiveMutant::default(),
        }
    }

    /// How connections are kept, whether attempts may be called back, and the one realm to which all
    /// backends belong, from now on.
    pub fn configure(
        &mut self, limits: ConnectionLimits, cancel: bool, only_deduplication_domain: Option<u32>,
    ) {
        (self.limits, self.cancellation, self.only_deduplication_domain) =
            (limits, cancel, only_deduplication_domain);
    }

    /// With a bug.
    #[cfg(feature = "mutants")]
    pub fn mutant(&mut self, mutant: Option<Mutant>) {
        self.mutant = ActiveMutant(mutant);
    }

    /// The policy, to set it up.
    pub fn policy_mut(&mut self) -> &mut P {
        &mut self.policy
    }

    /// The same, to look at.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// The requests that there are, those included that are over and whose attempts are not.
    pub fn requests(&self) -> &BTreeMap<RequestId, Request> {
        &self.requests
    }

    /// The connections that there are.
    pub fn connections(&self) -> impl Iterator<Item = (ConnectionId, BackendId, ConnectionState)> + '_ {
        self.connection_pool.all.iter().map(|(id, c)| (*id, c.backend, c.state))
    }

    /// How many there are.
    pub fn connection_count(&self) -> usize {
        self.connection_pool.all.len()
    }

    /// The connection that makes way for another.
    pub fn idle_connection(&self) -> Option<ConnectionId> {
        self.connection_pool.oldest_idle()
    }

    /// What a backend may be sent; gone where no list has it.
    pub fn backend_state(&self, backend: BackendId) -> BackendState {
        self.backends.get(&backend).map_or(BackendState::Gone, |p| p.state)
    }

    /// The deadlines that are awaited.
    pub fn deadlines(&self) -> &BTreeSet<(Time, RequestId)> {
        &self.deadlines
    }

    /// When [`Event::Wake`] is to be told at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let deadline = self.deadlines.first().map(|d| d.0);
        let timer = self.timers.first().map(|t| t.0);
        [deadline, timer, self.idle_sweep_at].into_iter().flatten().min()
    }

    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                self.update_endpoints(now, pool, update, backends, actions)
            }
            Event::BackendMoved { backend, from, to } => {
                if let Some(place) = self.backends.get_mut(&backend) {
                    place.pool = to;
                }
                self.policy_events.push_back(pools::Event::BackendMoved { backend, from, to });
            }
            Event::AddressChanged { backend } => {
                self.connection_pool
                    .all
                    .values_mut()
                    .filter(|c| c.backend == backend)
                    .for_each(|c| c.address_outdated = true);
                self.drain_backend(now, backend, actions);
            }
            Event::PoolClosed { pool } => {
                self.update_endpoints(now, pool, EndpointUpdate::Snapshot, Vec::new(), actions);
                self.policy_events.push_back(pools::Event::PoolClosed { pool });
            }
            Event::Request(spec) => self.accept_request(now, spec),
            Event::ClientDisconnected { request } => self.on_client_disconnected(now, request, actions),
            Event::GiveUp { request, retry_after } => {
                if self.requests.get(&request).is_some_and(|r| r.state == RequestState::Open) {
                    self.policy_events.push_back(pools::Event::ClientDisconnected { request });
                    self.give_up_request(now, request, retry_after, true, actions);
                }
            }
            Event::IntentPersisted { request, attempt, persisted } => {
                self.on_intent_persisted(now, request, attempt, persisted, actions)
            }
            Event::Connected { connection } => self.on_connected(now, connection, actions),
            Event::ConnectFailed { connection, backend_at_fault: blame } => {
                let outcome = if blame { Outcome::ConnectFailed } else { Outcome::NotSent };
                if let Some(ConnectionState::Connecting(Some((request, attempt)))) =
                    self.connection_pool.remove(connection).map(|c| c.state)
                {
                    self.end_attempt(now, request, attempt, outcome, false, actions);
                }
            }
            Event::RequestWritten { connection } => {
                if let Some(t) = self
                    .attempt_on(connection)
                    .and_then(|(request, number)| self.attempt_mut(request, number))
                {
                    if t.state == AttemptState::Writing(connection) {
                        t.state = AttemptState::Written(connection);
                    }
                }
            }
            Event::LoadReported { connection, report } => {
                let backend = self
                    .connection_pool
                    .all
                    .get(&connection)
                    .filter(|c| !c.address_outdated)
                    .map(|c| c.backend);
                if let Some((backend, place)) = backend.and_then(|b| Some((b, self.backends.get(&b)?))) {
                    self.policy_events.push_back(pools::Event::LoadReported {
                        pool: place.pool,
                        backend,
                        report,
                    });
                }
            }
            Event::ResponseReceived { connection, verdict, reusable: keep, has_excess_bytes: behind } => {
                self.on_response(
                    now,
                    connection,
                    verdict,
                    keep && (!behind || mutant!(self.mutant, ReusedWithExcessBytes)),
                    actions,
                );
            }
            Event::InvalidResponse { connection } => {
                self.on_connection_lost(now, connection, Outcome::Error, actions)
            }
            Event::ConnectionClosed { connection } => {
                self.on_connection_lost(now, connection, Outcome::Reset, actions)
            }
            Event::ConnectionUnusable { connection } => self.on_connection_unusable(now, connection, actions),
            Event::CloseCompleted { connection, written } => {
                self.on_close_completed(now, connection, written, actions)
            }
            Event::Wake => self.run_due_timers(now, actions),
        }
        self.run_policy(now, actions);
    }

    /// Carries out what a policy asks, outside of [`Policy::handle`]: for policies that are driven from outside.
    pub fn apply_policy_action(&mut self, now: Time, action: pools::Action, actions: &mut Vec<Action>) {
        self.run_policy_action(now, action, actions);
        self.run_policy(now, actions);
    }

    /// Tells the policy what there is to tell and does what it asks, until neither has more.
    fn run_policy(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(event) = self.policy_events.pop_front() {
            let mut policy_actions = std::mem::take(&mut self.policy_actions);
            self.policy.handle(now, event, &mut policy_actions);
            policy_actions.drain(..).for_each(|action| self.run_policy_action(now, action, actions));
            self.policy_actions = policy_actions;
        }
    }

    fn run_policy_action(&mut self, now: Time, action: pools::Action, actions: &mut Vec<Action>) {
        match action {
            pools::Action::Dispatch { request, attempt, backend, send_by } => {
                self.dispatch_attempt(now, request, attempt, backend, send_by, actions);
            }
            pools::Action::Reject { request, retry_after } => {
                self.give_up_request(now, request, retry_after, true, actions)
            }
            pools::Action::Fail { request, retry_after } => {
                self.give_up_request(now, request, retry_after, false, actions)
            }
            pools::Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, request, attempt, Outcome::Cancelled, self.cancellation, actions);
            }
            pools::Action::SetTimer { token, after } => {
                self.timers.insert((now + after, token));
            }
            pools::Action::Subscribe { pool } => actions.push(Action::Subscribe { pool }),
            pools::Action::Log { pool, text } => actions.push(Action::Log { pool, text }),
        }
    }

    // --- lists ---

    fn update_endpoints(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, list: Vec<BackendEntry>,
        actions: &mut Vec<Action>,
    ) {
        let mut lost: BTreeSet<BackendId> = BTreeSet::new();
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached)
            && !mutant!(self.mutant, DrainMissedInSnapshot)
        {
            let absent = self.backends.iter().filter(|(_, p)| p.pool == pool).map(|(id, _)| *id);
            lost.extend(absent);
        }
        for b in &list {
            let ready = b.state == BackendState::Ready;
            if ready {
                lost.remove(&b.id)
            } else {
                lost.insert(b.id)
            };
            let (placement, state) = (b.deduplication_placement(), b.state);
            // One that another pool has by now is not this one's to take back.
            let theirs = self.backends.get(&b.id).is_some_and(|p| p.pool != pool);
            if state != BackendState::Gone || !theirs {
                self.backends.insert(b.id, KnownBackend { pool, placement, state });
            }
        }
        let listed: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
        self.policy_events.push_back(pools::Event::EndpointsUpdated { pool, update, backends: list });
        for id in lost {
            let gone = match self.backends.get_mut(&id) {
                Some(place) if place.pool != pool => continue,
                Some(place) if !listed.contains(&id) => {
                    place.state = BackendState::Gone;
                    true
                }
                Some(place) => place.state == BackendState::Gone,
                None => true,
            };
            if gone {
                self.backends.remove(&id);
                self.connection_pool.last_response_at.remove(&id);
            }
            self.drain_backend(now, id, actions);
        }
    }

    /// Nothing new goes to that backend on what is open or opening now.
    fn drain_backend(&mut self, now: Time, backend: BackendId, actions: &mut Vec<Action>) {
        for connection in self.connection_pool.idle_of(backend) {
            self.close_connection(connection, actions);
        }
        let opening = self.connection_pool.all.iter().filter(|(_, c)| c.backend == backend);
        let opening: Vec<(ConnectionId, ConnectionState)> = opening.map(|(id, c)| (*id, c.state)).collect();
        for (connection, step) in opening {
            match step {
                ConnectionState::Connecting(Some((request, attempt)))
                    if !mutant!(self.mutant, StaleDrainState) =>
                {
                    self.close_connection(connection, actions);
                    self.end_attempt(now, request, attempt, Outcome::NotSent, false, actions);
                }
                ConnectionState::Connecting(None) => self.close_connection(connection, actions),
                _ => {}
            }
        }
    }

    // --- requests ---

    fn accept_request(&mut self, now: Time, spec: RequestSpec) {
        let id = spec.arrival.request;
        if self.requests.contains_key(&id) {
            return;
        }
        let deadline = now + spec.arrival.time_left;
        let (effect, permit, recorded) = (spec.idempotency, spec.requires_intent, spec.recorded);
        let (phase, last, attempts) = (RequestState::Open, None, Vec::new());
        self.requests.insert(
            id,
            Request {
                idempotency: effect,
                deadline,
                requires_intent: permit,
                recorded,
                state: phase,
                last_answered: last,
                attempts,
            },
        );
        self.deadlines.insert((deadline, id));
        self.policy_events.push_back(pools::Event::Request { arrival: spec.arrival, pools: spec.pools });
    }

    fn on_client_disconnected(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.state != RequestState::Finished) else {
            return;
        };
        if mutant!(self.mutant, AnswerAfterDisconnect) {
            return;
        }
        let open = r.state == RequestState::Open;
        self.finish_request(id);
        if open {
            self.policy_events.push_back(pools::Event::ClientDisconnected { request: id });
        }
        self.cancel_attempts(now, id, Outcome::Cancelled, true, actions); // nothing goes on for a client that left
        self.remove_if_ended(id);
    }

    /// Nothing is owed any more. Attempts that may not be called back still end with the request's time.
    fn finish_request(&mut self, id: RequestId) {
        let cancel = self.cancellation;
        if let Some(r) = self.requests.get_mut(&id) {
            r.state = RequestState::Finished;
            let deadline = (r.deadline, id);
            if (cancel || !r.out()) && !mutant!(self.mutant, TimerOutlivesRequest) {
                self.deadlines.remove(&deadline);
            }
        }
    }

    /// Once it is over and its attempts have ended nothing is kept of it.
    fn remove_if_ended(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get(&id).filter(|r| r.state == RequestState::Finished && !r.out()) {
            let deadline = (r.deadline, id);
            if !mutant!(self.mutant, TimerOutlivesRequest) {
                self.deadlines.remove(&deadline);
            }
            self.requests.remove(&id);
        }
    }

    fn give_up_request(
        &mut self, now: Time, id: RequestId, retry_after: Micros, refuse: bool, actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.state == RequestState::Open) else { return };
        r.state = RequestState::GivenUp(retry_after);
        if r.out() {
            r.last_answered = None; // the last attempt ends without an answer
        }
        if refuse && mutant!(self.mutant, RejectedAfterExecution) {
            self.answer_request(id, FinalOutcome::Rejected(retry_after), actions);
            self.cancel_attempts(now, id, Outcome::Cancelled, self.cancellation, actions);
            return self.remove_if_ended(id);
        }
        self.cancel_attempts(now, id, Outcome::Cancelled, self.cancellation, actions);
        self.answer_if_settled(now, id, actions);
    }

    /// A request that is given up is answered once it is known of each attempt whether it may have run.
    fn answer_if_settled(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        // Where nothing may be called back, what has begun may run: that is known at once.
        if r.attempts.iter().any(|t| t.out() && (self.cancellation || !t.may_have_run())) {
            return;
        }
        let answer = match r.state {
            // A client that is told in whole seconds comes back that much later.
            RequestState::GivenUp(retry_after)
                if r.is_harmless(now + round_up_to_seconds(retry_after), self.only_deduplication_domain) =>
            {
                FinalOutcome::Rejected(retry_after)
            }
            RequestState::GivenUp(_) => FinalOutcome::Failed,
            RequestState::TimedOut => FinalOutcome::TimedOut,
            RequestState::Open | RequestState::Finished => return,
        };
        self.answer_request(id, answer, actions);
        self.remove_if_ended(id);
    }

    fn answer_request(&mut self, request: RequestId, answer: FinalOutcome, actions: &mut Vec<Action>) {
        let last = self
            .requests
            .get(&request)
            .and_then(|r| r.last_answered)
            .filter(|_| answer != FinalOutcome::TimedOut);
        let last = last.filter(|_| !matches!(answer, FinalOutcome::Served(_)));
        self.finish_request(request);
        actions.push(Action::Answer { request, answer, last_attempt: last });
    }

    // --- attempts ---

    fn attempt_mut(&mut self, request: RequestId, number: AttemptNumber) -> Option<&mut Attempt> {
        self.requests.get_mut(&request)?.attempts.get_mut(number.0 as usize)
    }

    /// The attempt that is on a connection or waits for it.
    fn attempt_on(&self, connection: ConnectionId) -> Option<(RequestId, AttemptNumber)> {
        match self.connection_pool.all.get(&connection)?.state {
            ConnectionState::Busy(request, attempt) => Some((request, attempt)),
            ConnectionState::Connecting(waiting) => waiting,
            ConnectionState::Idle(..) => None,
        }
    }

    fn dispatch_attempt(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, backend: BackendId,
        send_by: Option<Time>, actions: &mut Vec<Action>,
    ) {
        let place = self.backends.get(&backend);
        let ready = place.is_some_and(|p| p.state == BackendState::Ready);
        let placement = place.map_or(DeduplicationPlacement::default(), |p| p.placement);
        let next =
            |r: &&mut Request| r.attempts.len() < MAX_ATTEMPTS && r.attempts.len() == attempt.0 as usize;
        let Some(r) = self.requests.get_mut(&request).filter(next) else {
            // Each attempt that is asked for has one end, whatever it was asked for.
            let settled = self.requests.get(&request).is_none_or(|r| r.state != RequestState::Open);
            self.report_attempt_end(request, attempt, Outcome::NotSent, Micros(0), settled);
            return;
        };
        let allowed = ready && may_dispatch(now, r, placement, None, self.mutant).is_ok();
        let step = if allowed { AttemptState::AwaitingIntent } else { AttemptState::Ended(Outcome::NotSent) };
        let permitted = r.requires_intent && allowed;
        r.attempts.push(Attempt {
            backend,
            placement,
            dispatched_at: now,
            ended_at: now,
            send_by,
            intent_requested: permitted,
            state: step,
        });
        let settled = r.state != RequestState::Open;
        if !allowed {
            self.report_attempt_end(request, attempt, Outcome::NotSent, Micros(0), settled);
        } else if permitted {
            actions.push(Action::PersistIntent { request, attempt });
        } else {
            self.start_attempt(now, request, attempt, actions);
        }
    }

    fn on_intent_persisted(
        &mut self, now: Time, request: RequestId, number: AttemptNumber, persisted: bool,
        actions: &mut Vec<Action>,
    ) {
        match self.attempt_mut(request, number) {
            Some(t) if t.state == AttemptState::AwaitingIntent && persisted => {
                self.start_attempt(now, request, number, actions)
            }
            Some(t) if t.state == AttemptState::AwaitingIntent => {
                t.intent_requested = false; // there is nothing to withdraw
                self.end_attempt(now, request, number, Outcome::NotSent, false, actions);
            }
            _ => {} // it has been withdrawn
        }
    }

    /// Finds a connection for an attempt, and sends it if there is one.
    fn start_attempt(
        &mut self, now: Time, request: RequestId, number: AttemptNumber, actions: &mut Vec<Action>,
    ) {
        if !self.may_start(now, request, number) {
            return self.end_attempt(now, request, number, Outcome::NotSent, false, actions);
        }
        let Some(backend) = self.attempt_mut(request, number).map(|t| t.backend) else { return };
        if let Some(connection) = self.connection_pool.usable(now, backend, &self.limits) {
            return self.send_request(now, connection, request, number, actions);
        }
        // At the bound one that nobody uses makes room; where there is none the backend is not to blame.
        if self.connection_pool.all.len() >= self.limits.max_connections {
            match self.connection_pool.oldest_idle() {
                Some(connection) => self.close_connection(connection, actions),
                None => return self.end_attempt(now, request, number, Outcome::NotSent, false, actions),
            }
        }
        let connection = self.connection_pool.open(backend, request, number);
        if let Some(t) = self.attempt_mut(request, number) {
            t.state = AttemptState::Connecting(connection);
        }
        actions.push(Action::Connect { connection, backend });
    }

    fn may_start(&self, now: Time, request: RequestId, number: AttemptNumber) -> bool {
        let Some(r) = self.requests.get(&request) else { return false };
        let own = number.0 as usize;
        // One that was listed elsewhere since then drops other repeats than the one that was asked for.
        let as_asked =
            |t: &Attempt, p: &KnownBackend| p.state == BackendState::Ready && p.placement == t.placement;
        let ready = r
            .attempts
            .get(own)
            .is_some_and(|t| self.backends.get(&t.backend).is_some_and(|p| as_asked(t, p)));
        may_start(now, r, own, ready, self.mutant).is_ok()
    }

    /// Not a byte has gone out yet: from here on it may.
    fn send_request(
        &mut self, now: Time, connection: ConnectionId, request: RequestId, number: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&request) else { return };
        let (deadline, by) = (r.deadline, write_deadline(now, r, number.0 as usize, self.mutant));
        if let Some(t) = self.attempt_mut(request, number) {
            t.state = AttemptState::Writing(connection);
        }
        self.connection_pool.make_busy(connection, request, number);
        actions.push(Action::Send { connection, request, attempt: number, deadline, write_deadline: by });
    }

    fn on_connected(&mut self, now: Time, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(c) = self.connection_pool.all.get(&connection) else { return };
        let (ConnectionState::Connecting(waiting), backend) = (c.state, c.backend) else { return };
        let waiting = waiting.filter(|(request, number)| self.may_start(now, *request, *number));
        if let Some((request, number)) = waiting {
            return self.send_request(now, connection, request, number, actions);
        }
        let turned_away = self.attempt_on(connection);
        self.keep_connection(now, connection, backend, false, actions); // an unused connection stays warm
        if let Some((request, number)) = turned_away {
            self.end_attempt(now, request, number, Outcome::NotSent, false, actions);
        }
    }

    /// A connection that may be used again, if its backend may be.
    fn keep_connection(
        &mut self, now: Time, connection: ConnectionId, backend: BackendId, used: bool,
        actions: &mut Vec<Action>,
    ) {
        let old = self.connection_pool.all.get(&connection).is_some_and(|c| c.address_outdated);
        if old || self.backend_state(backend) != BackendState::Ready {
            return self.close_connection(connection, actions);
        }
        self.connection_pool.make_idle(now, connection, used);
        self.idle_sweep_at.get_or_insert(now + self.limits.idle_timeout);
    }

    fn close_connection(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        if self.connection_pool.remove(connection).is_some() {
            actions.push(Action::Close { connection });
        }
    }

    fn on_response(
        &mut self, now: Time, connection: ConnectionId, verdict: ResponseClass, clean: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some((request, number)) = self.attempt_on(connection) else { return };
        let Some(t) = self.attempt_mut(request, number) else { return };
        let (step, backend) = (t.state, t.backend);
        if self.backends.contains_key(&backend) {
            self.connection_pool.last_response_at.insert(backend, now);
        }
        match step {
            // It was told to close: that has been carried out, or is about to be.
            AttemptState::Cancelling(..) => drop(self.connection_pool.remove(connection)),
            // An answer to half of a request is one, but what goes on behind it is none of the next.
            AttemptState::Written(_) if clean => {
                self.keep_connection(now, connection, backend, true, actions)
            }
            _ => self.close_connection(connection, actions),
        }
        let outcome = match verdict {
            ResponseClass::Served => Outcome::Ok,
            ResponseClass::NotExecuted => Outcome::Rejected,
            ResponseClass::Error => Outcome::Error,
        };
        self.end_attempt(now, request, number, outcome, true, actions);
    }

    /// What came is no answer, or nothing comes any more.
    fn on_connection_lost(
        &mut self, now: Time, connection: ConnectionId, outcome: Outcome, actions: &mut Vec<Action>,
    ) {
        let on = self.attempt_on(connection);
        self.close_connection(connection, actions);
        let Some((request, number)) = on else { return };
        let Some(t) = self.attempt_mut(request, number) else { return };
        let written = match t.state {
            AttemptState::Written(_) | AttemptState::Cancelling(..) => {
                !mutant!(self.mutant, NotExecutedAfterLastByte)
            }
            _ => false, // the backend begins with the last byte, and never before it
        };
        let outcome = if written { outcome } else { Outcome::ConnectFailed };
        self.end_attempt(now, request, number, outcome, false, actions);
    }

    /// Not a byte went out on it: another is looked for.
    fn on_connection_unusable(&mut self, now: Time, connection: ConnectionId, actions: &mut Vec<Action>) {
        let on = self.attempt_on(connection);
        self.close_connection(connection, actions);
        let Some((request, number)) = on else { return };
        let Some(t) = self.attempt_mut(request, number) else { return };
        let step = t.state;
        if !matches!(step, AttemptState::Written(_)) {
            t.state = AttemptState::AwaitingIntent; // it stands where it stood: its permit can be given back
        }
        match step {
            AttemptState::Writing(_) => self.start_attempt(now, request, number, actions),
            AttemptState::Written(_) => {
                self.end_attempt(now, request, number, Outcome::Reset, false, actions)
            }
            _ => self.end_attempt(now, request, number, Outcome::NotSent, false, actions),
        }
    }

    fn on_close_completed(
        &mut self, now: Time, connection: ConnectionId, written: bool, actions: &mut Vec<Action>,
    ) {
        let on = self.attempt_on(connection);
        self.connection_pool.remove(connection);
        let Some((request, number)) = on else { return };
        if let Some(AttemptState::Cancelling(_, outcome)) = self.attempt_mut(request, number).map(|t| t.state)
        {
            let outcome = if written { outcome } else { Outcome::NotSent };
            self.end_attempt(now, request, number, outcome, false, actions);
        }
    }

    fn cancel_attempts(
        &mut self, now: Time, id: RequestId, outcome: Outcome, cancel: bool, actions: &mut Vec<Action>,
    ) {
        let still_out = self.requests.get(&id).map(Request::still_out).unwrap_or_default();
        still_out
            .into_iter()
            .for_each(|number| self.cancel_attempt(now, id, number, outcome, cancel, actions));
    }

    /// Calls an attempt back, one that has begun only if it may be. One that has not ends here; the connection that
    /// it waits for comes up for others.
    fn cancel_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, outcome: Outcome, cancel: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(t) = self.attempt_mut(id, number) else { return };
        match t.state {
            AttemptState::AwaitingIntent => {
                self.end_attempt(now, id, number, Outcome::NotSent, false, actions)
            }
            AttemptState::Connecting(connection) => {
                if let Some(c) = self.connection_pool.all.get_mut(&connection) {
                    c.state = ConnectionState::Connecting(None);
                }
                self.end_attempt(now, id, number, Outcome::NotSent, false, actions);
            }
            AttemptState::Writing(connection) | AttemptState::Written(connection) if cancel => {
                t.state = AttemptState::Cancelling(connection, outcome);
                let (backend, sent) = (t.backend, t.dispatched_at);
                actions.push(Action::Close { connection });
                self.close_suspect_connections(backend, sent, actions);
            }
            _ => {}
        }
    }

    /// An attempt sent at `sent` was given up unanswered. Where nothing at all was heard of the backend since,
    /// its machine may be cut off and its idle connections dead without a sign: what is written to one of
    /// those may have run for all one can tell, while a new connection that does not come up proves that it
    /// did not.
    fn close_suspect_connections(&mut self, backend: BackendId, sent: Time, actions: &mut Vec<Action>) {
        if self.connection_pool.last_response_at.get(&backend).is_none_or(|at| *at < sent) {
            for connection in self.connection_pool.idle_of(backend) {
                self.close_connection(connection, actions);
            }
        }
    }

    /// An attempt is over. `answered`: by a whole answer.
    fn end_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, outcome: Outcome, answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.attempts.get_mut(number.0 as usize).filter(|t| t.out()) else { return };
        if matches!(t.state, AttemptState::AwaitingIntent | AttemptState::Connecting(_)) && t.intent_requested
        {
            actions.push(Action::WithdrawIntent { request: id, attempt: number });
        }
        let latency = now - t.dispatched_at;
        (t.state, t.ended_at) = (AttemptState::Ended(outcome), now);
        if r.recorded {
            actions.push(Action::AttemptEnded { request: id, attempt: number, outcome });
        }
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {} // says nothing of the one sent before
            _ => r.last_answered = answered.then_some(number),
        }
        let phase = r.state;
        let late = now >= r.deadline;
        let serves = match phase {
            RequestState::Open | RequestState::GivenUp(_) => outcome == Outcome::Ok && !late,
            RequestState::TimedOut | RequestState::Finished => {
                outcome == Outcome::Ok && phase == RequestState::Finished && mutant!(self.mutant, LateSuccess)
            }
        };
        let settled = serves || phase != RequestState::Open;
        self.report_attempt_end(id, number, outcome, latency, settled);
        if serves {
            self.answer_request(id, FinalOutcome::Served(number), actions);
            if !mutant!(self.mutant, HedgeNotCancelled) {
                self.cancel_attempts(now, id, Outcome::Cancelled, self.cancellation, actions);
            }
        } else if outcome == Outcome::Ok && phase == RequestState::Open {
            self.expire_request(now, id, actions); // it came too late to be passed on in time
        }
        self.answer_if_settled(now, id, actions);
        self.remove_if_ended(id);
    }

    fn report_attempt_end(
        &mut self, request: RequestId, attempt: AttemptNumber, outcome: Outcome, latency: Micros,
        settled: bool,
    ) {
        let end = AttemptEnd { request, attempt, outcome, latency, request_answered: settled };
        self.policy_events.push_back(pools::Event::AttemptEnded(end));
    }

    // --- time ---

    /// A request's time is up, and that of its attempts with it.
    fn expire_request(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let deadline = (r.deadline, id);
        self.deadlines.remove(&deadline);
        if r.state == RequestState::Open {
            r.state = RequestState::TimedOut;
            self.policy_events.push_back(pools::Event::ClientDisconnected { request: id });
        }
        self.cancel_attempts(now, id, Outcome::TimedOut, true, actions);
        if self.requests.get(&id).is_some_and(|r| r.state != RequestState::Finished) {
            // The answer does not wait for what the connections have to say: what is not known to be harmless by
            // now is a failure.
            self.answer_request(id, FinalOutcome::TimedOut, actions);
        }
        self.remove_if_ended(id);
    }

    fn run_due_timers(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.deadlines.first().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(at, id));
            self.expire_request(now, id, actions);
        }
        while let Some(&(at, token)) = self.timers.first().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, token));
            self.policy_events.push_back(pools::Event::Timer { token });
        }
        if self.idle_sweep_at.is_some_and(|at| at <= now) {
            for connection in self.connection_pool.idle_too_long(now, &self.limits) {
                self.close_connection(connection, actions);
            }
            let some = !self.connection_pool.idle.is_empty();
            self.idle_sweep_at = some.then(|| now + self.limits.idle_timeout.times(0.25).max(Micros(1_000)));
        }
    }
}
