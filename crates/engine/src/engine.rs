//! The machine itself.

mod look;

use crate::connection_pool::{ConnectionLimits, ConnectionPool, ConnectionState};
use crate::event::{Action, Event, FinalOutcome, RequestSpec};
use crate::guard::{may_begin, may_go, write_by};
#[cfg(feature = "mutants")]
use crate::mutant::Mutant;
use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, AttemptState, Request, RequestState};
use shaletide_balancer::AttemptEnd;
use shaletide_routing::{pools, Pools, ResponseClass};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Attempts that any request may ever have, whatever the policy asks.
const MOST_TRIES: usize = 64;

/// Who says which backend, whether to retry and what is refused.
pub trait Policy {
    /// Hears an event and asks for what it calls for.
    fn handle(&mut self, now: Time, event: pools::Event, asks: &mut Vec<pools::Action>);
}

/// The time rounded up.
fn whole_seconds(span: Micros) -> Micros {
    Micros(span.0.div_ceil(1_000_000) * 1_000_000)
}

impl Policy for Pools {
    fn handle(&mut self, now: Time, event: pools::Event, asks: &mut Vec<pools::Action>) {
        Pools::handle(self, now, event, asks);
    }
}

/// What a list says of a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
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
    keeping: ConnectionLimits,
    /// Attempts that are not needed any more may be called back.
    cancel: bool,
    /// The realm of all backends, if they are of one.
    only_deduplication_domain: Option<u32>,
    backends: BTreeMap<BackendId, Place>,
    requests: BTreeMap<RequestId, Request>,
    connection_pool: ConnectionPool,
    deadlines: BTreeSet<(Time, RequestId)>,
    timers: BTreeSet<(Time, TimerToken)>,
    sweep_at: Option<Time>,
    tell: VecDeque<pools::Event>,
    asks: Vec<pools::Action>,
    mutant: ActiveMutant,
}

impl<P: Policy> Engine<P> {
    /// An engine that knows no backend yet.
    pub fn new(policy: P, keeping: ConnectionLimits) -> Engine<P> {
        Engine {
            policy,
            keeping,
            cancel: true,
            only_deduplication_domain: None,
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            connection_pool: ConnectionPool::default(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            sweep_at: None,
            tell: VecDeque::new(),
            asks: Vec::new(),
            mutant: ActiveMutant::default(),
        }
    }

    /// How connections are kept, whether attempts may be called back, and the one realm to which all
    /// backends belong, from now on.
    pub fn configure(
        &mut self, keeping: ConnectionLimits, cancel: bool, only_deduplication_domain: Option<u32>,
    ) {
        (self.keeping, self.cancel, self.only_deduplication_domain) =
            (keeping, cancel, only_deduplication_domain);
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
        self.connection_pool.all.iter().map(|(id, c)| (*id, c.backend, c.step))
    }

    /// How many there are.
    pub fn connection_count(&self) -> usize {
        self.connection_pool.all.len()
    }

    /// The connection that makes way for another.
    pub fn idle_connection(&self) -> Option<ConnectionId> {
        self.connection_pool.spare()
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
        [deadline, timer, self.sweep_at].into_iter().flatten().min()
    }

    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                self.members(now, pool, update, backends, out)
            }
            Event::BackendMoved { backend, from, to } => {
                if let Some(place) = self.backends.get_mut(&backend) {
                    place.pool = to;
                }
                self.tell.push_back(pools::Event::BackendMoved { backend, from, to });
            }
            Event::AddressChanged { backend } => {
                self.connection_pool
                    .all
                    .values_mut()
                    .filter(|c| c.backend == backend)
                    .for_each(|c| c.old = true);
                self.let_go(now, backend, out);
            }
            Event::PoolClosed { pool } => {
                self.members(now, pool, EndpointUpdate::Snapshot, Vec::new(), out);
                self.tell.push_back(pools::Event::PoolClosed { pool });
            }
            Event::Request(order) => self.request(now, order),
            Event::ClientDisconnected { request } => self.left(now, request, out),
            Event::GiveUp { request, retry_after: advice } => {
                if self.requests.get(&request).is_some_and(|r| r.state == RequestState::Open) {
                    self.tell.push_back(pools::Event::ClientDisconnected { request });
                    self.give_up(now, request, advice, true, out);
                }
            }
            Event::IntentPersisted { request, attempt, persisted: given } => {
                self.permit(now, request, attempt, given, out)
            }
            Event::Connected { connection } => self.up(now, connection, out),
            Event::ConnectFailed { connection, backend_at_fault: blame } => {
                let outcome = if blame { Outcome::ConnectFailed } else { Outcome::NotSent };
                if let Some(ConnectionState::Connecting(Some((request, attempt)))) =
                    self.connection_pool.remove(connection).map(|c| c.step)
                {
                    self.end(now, request, attempt, outcome, false, out);
                }
            }
            Event::RequestWritten { connection } => {
                if let Some(t) = self.on(connection).and_then(|(request, no)| self.attempt(request, no)) {
                    if t.state == AttemptState::Writing(connection) {
                        t.state = AttemptState::Written(connection);
                    }
                }
            }
            Event::LoadReported { connection, report } => {
                let backend = self.connection_pool.all.get(&connection).filter(|c| !c.old).map(|c| c.backend);
                if let Some((backend, place)) = backend.and_then(|b| Some((b, self.backends.get(&b)?))) {
                    self.tell.push_back(pools::Event::LoadReported { pool: place.pool, backend, report });
                }
            }
            Event::ResponseReceived { connection, verdict, reusable: keep, has_excess_bytes: behind } => {
                self.answered(
                    now,
                    connection,
                    verdict,
                    keep && (!behind || mutant!(self.mutant, ReusedWithExcessBytes)),
                    out,
                );
            }
            Event::InvalidResponse { connection } => self.broken(now, connection, Outcome::Error, out),
            Event::ConnectionClosed { connection } => self.broken(now, connection, Outcome::Reset, out),
            Event::ConnectionUnusable { connection } => self.unfit(now, connection, out),
            Event::CloseCompleted { connection, written } => self.closed(now, connection, written, out),
            Event::Wake => self.wake(now, out),
        }
        self.consult(now, out);
    }

    /// Carries out what a policy asks, outside of [`Policy::handle`]: for policies that are driven from outside.
    pub fn apply_policy_action(&mut self, now: Time, ask: pools::Action, out: &mut Vec<Action>) {
        self.asked(now, ask, out);
        self.consult(now, out);
    }

    /// Tells the policy what there is to tell and does what it asks, until neither has more.
    fn consult(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(event) = self.tell.pop_front() {
            let mut asks = std::mem::take(&mut self.asks);
            self.policy.handle(now, event, &mut asks);
            asks.drain(..).for_each(|ask| self.asked(now, ask, out));
            self.asks = asks;
        }
    }

    fn asked(&mut self, now: Time, ask: pools::Action, out: &mut Vec<Action>) {
        match ask {
            pools::Action::Dispatch { request, attempt, backend, send_by } => {
                self.dispatch(now, request, attempt, backend, send_by, out);
            }
            pools::Action::Reject { request, retry_after } => {
                self.give_up(now, request, retry_after, true, out)
            }
            pools::Action::Fail { request, retry_after } => {
                self.give_up(now, request, retry_after, false, out)
            }
            pools::Action::Cancel { request, attempt } => {
                self.stop(now, request, attempt, Outcome::Cancelled, self.cancel, out);
            }
            pools::Action::SetTimer { token, after } => {
                self.timers.insert((now + after, token));
            }
            pools::Action::Subscribe { pool } => out.push(Action::Subscribe { pool }),
            pools::Action::Log { pool, text } => out.push(Action::Log { pool, text }),
        }
    }

    // --- lists ---

    fn members(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, list: Vec<BackendEntry>,
        out: &mut Vec<Action>,
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
                self.backends.insert(b.id, Place { pool, placement, state });
            }
        }
        let listed: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
        self.tell.push_back(pools::Event::EndpointsUpdated { pool, update, backends: list });
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
                self.connection_pool.heard.remove(&id);
            }
            self.let_go(now, id, out);
        }
    }

    /// Nothing new goes to that backend on what is open or opening now.
    fn let_go(&mut self, now: Time, backend: BackendId, out: &mut Vec<Action>) {
        for connection in self.connection_pool.idle_of(backend) {
            self.close(connection, out);
        }
        let opening = self.connection_pool.all.iter().filter(|(_, c)| c.backend == backend);
        let opening: Vec<(ConnectionId, ConnectionState)> = opening.map(|(id, c)| (*id, c.step)).collect();
        for (connection, step) in opening {
            match step {
                ConnectionState::Connecting(Some((request, attempt)))
                    if !mutant!(self.mutant, StaleDrainState) =>
                {
                    self.close(connection, out);
                    self.end(now, request, attempt, Outcome::NotSent, false, out);
                }
                ConnectionState::Connecting(None) => self.close(connection, out),
                _ => {}
            }
        }
    }

    // --- requests ---

    fn request(&mut self, now: Time, order: RequestSpec) {
        let id = order.arrival.request;
        if self.requests.contains_key(&id) {
            return;
        }
        let deadline = now + order.arrival.time_left;
        let (effect, permit, recorded) = (order.idempotency, order.requires_intent, order.recorded);
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
        self.tell.push_back(pools::Event::Request { arrival: order.arrival, pools: order.pools });
    }

    fn left(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.state != RequestState::Finished) else {
            return;
        };
        if mutant!(self.mutant, AnswerAfterDisconnect) {
            return;
        }
        let open = r.state == RequestState::Open;
        self.over(id);
        if open {
            self.tell.push_back(pools::Event::ClientDisconnected { request: id });
        }
        self.stop_all(now, id, Outcome::Cancelled, true, out); // nothing goes on for a client that left
        self.forget(id);
    }

    /// Nothing is owed any more. Attempts that may not be called back still end with the request's time.
    fn over(&mut self, id: RequestId) {
        let cancel = self.cancel;
        if let Some(r) = self.requests.get_mut(&id) {
            r.state = RequestState::Finished;
            let deadline = (r.deadline, id);
            if (cancel || !r.out()) && !mutant!(self.mutant, TimerOutlivesRequest) {
                self.deadlines.remove(&deadline);
            }
        }
    }

    /// Once it is over and its attempts have ended nothing is kept of it.
    fn forget(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get(&id).filter(|r| r.state == RequestState::Finished && !r.out()) {
            let deadline = (r.deadline, id);
            if !mutant!(self.mutant, TimerOutlivesRequest) {
                self.deadlines.remove(&deadline);
            }
            self.requests.remove(&id);
        }
    }

    fn give_up(&mut self, now: Time, id: RequestId, advice: Micros, refuse: bool, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.state == RequestState::Open) else { return };
        r.state = RequestState::GivenUp(advice);
        if r.out() {
            r.last_answered = None; // the last attempt ends without an answer
        }
        if refuse && mutant!(self.mutant, RejectedAfterExecution) {
            self.answer(id, FinalOutcome::Rejected(advice), out);
            self.stop_all(now, id, Outcome::Cancelled, self.cancel, out);
            return self.forget(id);
        }
        self.stop_all(now, id, Outcome::Cancelled, self.cancel, out);
        self.conclude(now, id, out);
    }

    /// A request that is given up is answered once it is known of each attempt whether it may have run.
    fn conclude(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        // Where nothing may be called back, what has begun may run: that is known at once.
        if r.attempts.iter().any(|t| t.out() && (self.cancel || !t.may_have_run())) {
            return;
        }
        let answer = match r.state {
            // A client that is told in whole seconds comes back that much later.
            RequestState::GivenUp(advice)
                if r.is_harmless(now + whole_seconds(advice), self.only_deduplication_domain) =>
            {
                FinalOutcome::Rejected(advice)
            }
            RequestState::GivenUp(_) => FinalOutcome::Failed,
            RequestState::TimedOut => FinalOutcome::TimedOut,
            RequestState::Open | RequestState::Finished => return,
        };
        self.answer(id, answer, out);
        self.forget(id);
    }

    fn answer(&mut self, request: RequestId, answer: FinalOutcome, out: &mut Vec<Action>) {
        let last = self
            .requests
            .get(&request)
            .and_then(|r| r.last_answered)
            .filter(|_| answer != FinalOutcome::TimedOut);
        let last = last.filter(|_| !matches!(answer, FinalOutcome::Served(_)));
        self.over(request);
        out.push(Action::Answer { request, answer, last_attempt: last });
    }

    // --- attempts ---

    fn attempt(&mut self, request: RequestId, no: AttemptNumber) -> Option<&mut Attempt> {
        self.requests.get_mut(&request)?.attempts.get_mut(no.0 as usize)
    }

    /// The attempt that is on a connection or waits for it.
    fn on(&self, connection: ConnectionId) -> Option<(RequestId, AttemptNumber)> {
        match self.connection_pool.all.get(&connection)?.step {
            ConnectionState::Busy(request, attempt) => Some((request, attempt)),
            ConnectionState::Connecting(waiting) => waiting,
            ConnectionState::Idle(..) => None,
        }
    }

    fn dispatch(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, backend: BackendId,
        send_by: Option<Time>, out: &mut Vec<Action>,
    ) {
        let place = self.backends.get(&backend);
        let ready = place.is_some_and(|p| p.state == BackendState::Ready);
        let placement = place.map_or(DeduplicationPlacement::default(), |p| p.placement);
        let next = |r: &&mut Request| r.attempts.len() < MOST_TRIES && r.attempts.len() == attempt.0 as usize;
        let Some(r) = self.requests.get_mut(&request).filter(next) else {
            // Each attempt that is asked for has one end, whatever it was asked for.
            let settled = self.requests.get(&request).is_none_or(|r| r.state != RequestState::Open);
            self.tell_end(request, attempt, Outcome::NotSent, Micros(0), settled);
            return;
        };
        let allowed = ready && may_go(now, r, placement, None, self.mutant).is_ok();
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
            self.tell_end(request, attempt, Outcome::NotSent, Micros(0), settled);
        } else if permitted {
            out.push(Action::PersistIntent { request, attempt });
        } else {
            self.begin(now, request, attempt, out);
        }
    }

    fn permit(
        &mut self, now: Time, request: RequestId, no: AttemptNumber, given: bool, out: &mut Vec<Action>,
    ) {
        match self.attempt(request, no) {
            Some(t) if t.state == AttemptState::AwaitingIntent && given => self.begin(now, request, no, out),
            Some(t) if t.state == AttemptState::AwaitingIntent => {
                t.intent_requested = false; // there is nothing to withdraw
                self.end(now, request, no, Outcome::NotSent, false, out);
            }
            _ => {} // it has been withdrawn
        }
    }

    /// Finds a connection for an attempt, and sends it if there is one.
    fn begin(&mut self, now: Time, request: RequestId, no: AttemptNumber, out: &mut Vec<Action>) {
        if !self.may_begin(now, request, no) {
            return self.end(now, request, no, Outcome::NotSent, false, out);
        }
        let Some(backend) = self.attempt(request, no).map(|t| t.backend) else { return };
        if let Some(connection) = self.connection_pool.fit(now, backend, &self.keeping) {
            return self.send(now, connection, request, no, out);
        }
        // At the bound one that nobody uses makes room; where there is none the backend is not to blame.
        if self.connection_pool.all.len() >= self.keeping.max_connections {
            match self.connection_pool.spare() {
                Some(connection) => self.close(connection, out),
                None => return self.end(now, request, no, Outcome::NotSent, false, out),
            }
        }
        let connection = self.connection_pool.open(backend, request, no);
        if let Some(t) = self.attempt(request, no) {
            t.state = AttemptState::Connecting(connection);
        }
        out.push(Action::Connect { connection, backend });
    }

    fn may_begin(&self, now: Time, request: RequestId, no: AttemptNumber) -> bool {
        let Some(r) = self.requests.get(&request) else { return false };
        let own = no.0 as usize;
        // One that was listed elsewhere since then drops other repeats than the one that was asked for.
        let as_asked = |t: &Attempt, p: &Place| p.state == BackendState::Ready && p.placement == t.placement;
        let ready = r
            .attempts
            .get(own)
            .is_some_and(|t| self.backends.get(&t.backend).is_some_and(|p| as_asked(t, p)));
        may_begin(now, r, own, ready, self.mutant).is_ok()
    }

    /// Not a byte has gone out yet: from here on it may.
    fn send(
        &mut self, now: Time, connection: ConnectionId, request: RequestId, no: AttemptNumber,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&request) else { return };
        let (deadline, by) = (r.deadline, write_by(now, r, no.0 as usize, self.mutant));
        if let Some(t) = self.attempt(request, no) {
            t.state = AttemptState::Writing(connection);
        }
        self.connection_pool.busy(connection, request, no);
        out.push(Action::Send { connection, request, attempt: no, deadline, write_deadline: by });
    }

    fn up(&mut self, now: Time, connection: ConnectionId, out: &mut Vec<Action>) {
        let Some(c) = self.connection_pool.all.get(&connection) else { return };
        let (ConnectionState::Connecting(waiting), backend) = (c.step, c.backend) else { return };
        let waiting = waiting.filter(|(request, no)| self.may_begin(now, *request, *no));
        if let Some((request, no)) = waiting {
            return self.send(now, connection, request, no, out);
        }
        let turned_away = self.on(connection);
        self.rest(now, connection, backend, false, out); // an unused connection stays warm
        if let Some((request, no)) = turned_away {
            self.end(now, request, no, Outcome::NotSent, false, out);
        }
    }

    /// A connection that may be used again, if its backend may be.
    fn rest(
        &mut self, now: Time, connection: ConnectionId, backend: BackendId, used: bool, out: &mut Vec<Action>,
    ) {
        let old = self.connection_pool.all.get(&connection).is_some_and(|c| c.old);
        if old || self.backend_state(backend) != BackendState::Ready {
            return self.close(connection, out);
        }
        self.connection_pool.rest(now, connection, used);
        self.sweep_at.get_or_insert(now + self.keeping.idle_timeout);
    }

    fn close(&mut self, connection: ConnectionId, out: &mut Vec<Action>) {
        if self.connection_pool.remove(connection).is_some() {
            out.push(Action::Close { connection });
        }
    }

    fn answered(
        &mut self, now: Time, connection: ConnectionId, verdict: ResponseClass, clean: bool,
        out: &mut Vec<Action>,
    ) {
        let Some((request, no)) = self.on(connection) else { return };
        let Some(t) = self.attempt(request, no) else { return };
        let (step, backend) = (t.state, t.backend);
        if self.backends.contains_key(&backend) {
            self.connection_pool.heard.insert(backend, now);
        }
        match step {
            // It was told to close: that has been carried out, or is about to be.
            AttemptState::Cancelling(..) => drop(self.connection_pool.remove(connection)),
            // An answer to half of a request is one, but what goes on behind it is none of the next.
            AttemptState::Written(_) if clean => self.rest(now, connection, backend, true, out),
            _ => self.close(connection, out),
        }
        let outcome = match verdict {
            ResponseClass::Served => Outcome::Ok,
            ResponseClass::NotExecuted => Outcome::Rejected,
            ResponseClass::Error => Outcome::Error,
        };
        self.end(now, request, no, outcome, true, out);
    }

    /// What came is no answer, or nothing comes any more.
    fn broken(&mut self, now: Time, connection: ConnectionId, outcome: Outcome, out: &mut Vec<Action>) {
        let on = self.on(connection);
        self.close(connection, out);
        let Some((request, no)) = on else { return };
        let Some(t) = self.attempt(request, no) else { return };
        let written = match t.state {
            AttemptState::Written(_) | AttemptState::Cancelling(..) => {
                !mutant!(self.mutant, NotExecutedAfterLastByte)
            }
            _ => false, // the backend begins with the last byte, and never before it
        };
        let outcome = if written { outcome } else { Outcome::ConnectFailed };
        self.end(now, request, no, outcome, false, out);
    }

    /// Not a byte went out on it: another is looked for.
    fn unfit(&mut self, now: Time, connection: ConnectionId, out: &mut Vec<Action>) {
        let on = self.on(connection);
        self.close(connection, out);
        let Some((request, no)) = on else { return };
        let Some(t) = self.attempt(request, no) else { return };
        let step = t.state;
        if !matches!(step, AttemptState::Written(_)) {
            t.state = AttemptState::AwaitingIntent; // it stands where it stood: its permit can be given back
        }
        match step {
            AttemptState::Writing(_) => self.begin(now, request, no, out),
            AttemptState::Written(_) => self.end(now, request, no, Outcome::Reset, false, out),
            _ => self.end(now, request, no, Outcome::NotSent, false, out),
        }
    }

    fn closed(&mut self, now: Time, connection: ConnectionId, written: bool, out: &mut Vec<Action>) {
        let on = self.on(connection);
        self.connection_pool.remove(connection);
        let Some((request, no)) = on else { return };
        if let Some(AttemptState::Cancelling(_, outcome)) = self.attempt(request, no).map(|t| t.state) {
            let outcome = if written { outcome } else { Outcome::NotSent };
            self.end(now, request, no, outcome, false, out);
        }
    }

    fn stop_all(&mut self, now: Time, id: RequestId, outcome: Outcome, cancel: bool, out: &mut Vec<Action>) {
        let still_out = self.requests.get(&id).map(Request::still_out).unwrap_or_default();
        still_out.into_iter().for_each(|no| self.stop(now, id, no, outcome, cancel, out));
    }

    /// Calls an attempt back, one that has begun only if it may be. One that has not ends here; the connection that
    /// it waits for comes up for others.
    fn stop(
        &mut self, now: Time, id: RequestId, no: AttemptNumber, outcome: Outcome, cancel: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(t) = self.attempt(id, no) else { return };
        match t.state {
            AttemptState::AwaitingIntent => self.end(now, id, no, Outcome::NotSent, false, out),
            AttemptState::Connecting(connection) => {
                if let Some(c) = self.connection_pool.all.get_mut(&connection) {
                    c.step = ConnectionState::Connecting(None);
                }
                self.end(now, id, no, Outcome::NotSent, false, out);
            }
            AttemptState::Writing(connection) | AttemptState::Written(connection) if cancel => {
                t.state = AttemptState::Cancelling(connection, outcome);
                let (backend, sent) = (t.backend, t.dispatched_at);
                out.push(Action::Close { connection });
                self.distrust(backend, sent, out);
            }
            _ => {}
        }
    }

    /// An attempt sent at `sent` was given up unanswered. Where nothing at all was heard of the backend since,
    /// its machine may be cut off and its idle connections dead without a sign: what is written to one of
    /// those may have run for all one can tell, while a new connection that does not come up proves that it
    /// did not.
    fn distrust(&mut self, backend: BackendId, sent: Time, out: &mut Vec<Action>) {
        if self.connection_pool.heard.get(&backend).is_none_or(|at| *at < sent) {
            for connection in self.connection_pool.idle_of(backend) {
                self.close(connection, out);
            }
        }
    }

    /// An attempt is over. `answered`: by a whole answer.
    fn end(
        &mut self, now: Time, id: RequestId, no: AttemptNumber, outcome: Outcome, answered: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.attempts.get_mut(no.0 as usize).filter(|t| t.out()) else { return };
        if matches!(t.state, AttemptState::AwaitingIntent | AttemptState::Connecting(_)) && t.intent_requested
        {
            out.push(Action::WithdrawIntent { request: id, attempt: no });
        }
        let latency = now - t.dispatched_at;
        (t.state, t.ended_at) = (AttemptState::Ended(outcome), now);
        if r.recorded {
            out.push(Action::AttemptEnded { request: id, attempt: no, outcome });
        }
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {} // says nothing of the one sent before
            _ => r.last_answered = answered.then_some(no),
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
        self.tell_end(id, no, outcome, latency, settled);
        if serves {
            self.answer(id, FinalOutcome::Served(no), out);
            if !mutant!(self.mutant, HedgeNotCancelled) {
                self.stop_all(now, id, Outcome::Cancelled, self.cancel, out);
            }
        } else if outcome == Outcome::Ok && phase == RequestState::Open {
            self.time_out(now, id, out); // it came too late to be passed on in time
        }
        self.conclude(now, id, out);
        self.forget(id);
    }

    fn tell_end(
        &mut self, request: RequestId, attempt: AttemptNumber, outcome: Outcome, latency: Micros,
        settled: bool,
    ) {
        let end = AttemptEnd { request, attempt, outcome, latency, request_answered: settled };
        self.tell.push_back(pools::Event::AttemptEnded(end));
    }

    // --- time ---

    /// A request's time is up, and that of its attempts with it.
    fn time_out(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let deadline = (r.deadline, id);
        self.deadlines.remove(&deadline);
        if r.state == RequestState::Open {
            r.state = RequestState::TimedOut;
            self.tell.push_back(pools::Event::ClientDisconnected { request: id });
        }
        self.stop_all(now, id, Outcome::TimedOut, true, out);
        if self.requests.get(&id).is_some_and(|r| r.state != RequestState::Finished) {
            // The answer does not wait for what the connections have to say: what is not known to be harmless by
            // now is a failure.
            self.answer(id, FinalOutcome::TimedOut, out);
        }
        self.forget(id);
    }

    fn wake(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.deadlines.first().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(at, id));
            self.time_out(now, id, out);
        }
        while let Some(&(at, token)) = self.timers.first().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, token));
            self.tell.push_back(pools::Event::Timer { token });
        }
        if self.sweep_at.is_some_and(|at| at <= now) {
            for connection in self.connection_pool.stale(now, &self.keeping) {
                self.close(connection, out);
            }
            let some = !self.connection_pool.idle.is_empty();
            self.sweep_at = some.then(|| now + self.keeping.idle_timeout.times(0.25).max(Micros(1_000)));
        }
    }
}
