//! The machine itself.

mod look;

use crate::conns::{ConnectionLimits, ConnectionPool, ConnectionState};
use crate::event::{Action, Event, Final, Order};
use crate::guard::{may_begin, may_go, write_by};
#[cfg(feature = "mutants")]
use crate::plant::Plant;
use crate::plant::{planted, Planted};
use crate::request::{Group, Phase, Request, Step, Try};
use shaletide_balancer::AttemptEnd;
use shaletide_routing::{pools, Pools, Verdict};
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
    group: Group,
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
    conns: ConnectionPool,
    deadlines: BTreeSet<(Time, RequestId)>,
    timers: BTreeSet<(Time, TimerToken)>,
    sweep_at: Option<Time>,
    tell: VecDeque<pools::Event>,
    asks: Vec<pools::Action>,
    planted: Planted,
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
            conns: ConnectionPool::default(),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            sweep_at: None,
            tell: VecDeque::new(),
            asks: Vec::new(),
            planted: Planted::default(),
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
    pub fn plant(&mut self, plant: Option<Plant>) {
        self.planted = Planted(plant);
    }

    /// The policy, to set it up.
    pub fn policy(&mut self) -> &mut P {
        &mut self.policy
    }

    /// The same, to look at.
    pub fn see_policy(&self) -> &P {
        &self.policy
    }

    /// The requests that there are, those included that are over and whose attempts are not.
    pub fn requests(&self) -> &BTreeMap<RequestId, Request> {
        &self.requests
    }

    /// The connections that there are.
    pub fn connections(&self) -> impl Iterator<Item = (ConnectionId, BackendId, ConnectionState)> + '_ {
        self.conns.all.iter().map(|(id, c)| (*id, c.backend, c.step))
    }

    /// How many there are.
    pub fn connection_count(&self) -> usize {
        self.conns.all.len()
    }

    /// The connection that makes way for another.
    pub fn idle_connection(&self) -> Option<ConnectionId> {
        self.conns.spare()
    }

    /// What a backend may be sent; gone where no list has it.
    pub fn state(&self, backend: BackendId) -> BackendState {
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
            Event::Members { pool, update, backends } => self.members(now, pool, update, backends, out),
            Event::Moved { backend, from, to } => {
                if let Some(place) = self.backends.get_mut(&backend) {
                    place.pool = to;
                }
                self.tell.push_back(pools::Event::Moved { backend, from, to });
            }
            Event::AddressChanged { backend } => {
                self.conns.all.values_mut().filter(|c| c.backend == backend).for_each(|c| c.old = true);
                self.let_go(now, backend, out);
            }
            Event::PoolClosed { pool } => {
                self.members(now, pool, EndpointUpdate::Snapshot, Vec::new(), out);
                self.tell.push_back(pools::Event::Closed { pool });
            }
            Event::Request(order) => self.request(now, order),
            Event::Left { request } => self.left(now, request, out),
            Event::GiveUp { request, advice } => {
                if self.requests.get(&request).is_some_and(|r| r.phase == Phase::Open) {
                    self.tell.push_back(pools::Event::ClientGone { request });
                    self.give_up(now, request, advice, true, out);
                }
            }
            Event::Permit { request, attempt, given } => self.permit(now, request, attempt, given, out),
            Event::Up { conn } => self.up(now, conn, out),
            Event::ConnectFailed { conn, blame } => {
                let outcome = if blame { Outcome::ConnectFailed } else { Outcome::NotSent };
                if let Some(ConnectionState::Opening(Some((request, attempt)))) =
                    self.conns.remove(conn).map(|c| c.step)
                {
                    self.end(now, request, attempt, outcome, false, out);
                }
            }
            Event::Written { conn } => {
                if let Some(t) = self.on(conn).and_then(|(request, no)| self.attempt(request, no)) {
                    if t.step == Step::Writing(conn) {
                        t.step = Step::Written(conn);
                    }
                }
            }
            Event::Reported { conn, report } => {
                let backend = self.conns.all.get(&conn).filter(|c| !c.old).map(|c| c.backend);
                if let Some((backend, place)) = backend.and_then(|b| Some((b, self.backends.get(&b)?))) {
                    self.tell.push_back(pools::Event::Reported { pool: place.pool, backend, report });
                }
            }
            Event::Answered { conn, verdict, keep, behind } => {
                self.answered(
                    now,
                    conn,
                    verdict,
                    keep && (!behind || planted!(self.planted, ReusedWithBytesBehind)),
                    out,
                );
            }
            Event::InvalidResponse { conn } => self.broken(now, conn, Outcome::Error, out),
            Event::Ended { conn } => self.broken(now, conn, Outcome::Reset, out),
            Event::Unfit { conn } => self.unfit(now, conn, out),
            Event::Closed { conn, written } => self.closed(now, conn, written, out),
            Event::Wake => self.wake(now, out),
        }
        self.consult(now, out);
    }

    /// Carries out what a policy asks, outside of [`Policy::handle`]: for policies that are driven from outside.
    pub fn ask(&mut self, now: Time, ask: pools::Action, out: &mut Vec<Action>) {
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
            pools::Action::Refuse { request, retry_after } => {
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
            pools::Action::Follow { pool } => out.push(Action::Follow { pool }),
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
            && !planted!(self.planted, DrainForgottenByWholeList)
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
            let (group, state) = (Group::of(b), b.state);
            // One that another pool has by now is not this one's to take back.
            let theirs = self.backends.get(&b.id).is_some_and(|p| p.pool != pool);
            if state != BackendState::Gone || !theirs {
                self.backends.insert(b.id, Place { pool, group, state });
            }
        }
        let listed: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
        self.tell.push_back(pools::Event::Members { pool, update, backends: list });
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
                self.conns.heard.remove(&id);
            }
            self.let_go(now, id, out);
        }
    }

    /// Nothing new goes to that backend on what is open or opening now.
    fn let_go(&mut self, now: Time, backend: BackendId, out: &mut Vec<Action>) {
        for conn in self.conns.idle_of(backend) {
            self.close(conn, out);
        }
        let opening = self.conns.all.iter().filter(|(_, c)| c.backend == backend);
        let opening: Vec<(ConnectionId, ConnectionState)> = opening.map(|(id, c)| (*id, c.step)).collect();
        for (conn, step) in opening {
            match step {
                ConnectionState::Opening(Some((request, attempt)))
                    if !planted!(self.planted, DrainOfTheNewsBefore) =>
                {
                    self.close(conn, out);
                    self.end(now, request, attempt, Outcome::NotSent, false, out);
                }
                ConnectionState::Opening(None) => self.close(conn, out),
                _ => {}
            }
        }
    }

    // --- requests ---

    fn request(&mut self, now: Time, order: Order) {
        let id = order.arrival.request;
        if self.requests.contains_key(&id) {
            return;
        }
        let deadline = now + order.arrival.time_left;
        let (effect, permit, recorded) = (order.effect, order.permit, order.recorded);
        let (phase, last, tries) = (Phase::Open, None, Vec::new());
        self.requests.insert(id, Request { effect, deadline, permit, recorded, phase, last, tries });
        self.deadlines.insert((deadline, id));
        self.tell.push_back(pools::Event::Request { arrival: order.arrival, pools: order.pools });
    }

    fn left(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.phase != Phase::Over) else { return };
        if planted!(self.planted, AnswerAfterLeaving) {
            return;
        }
        let open = r.phase == Phase::Open;
        self.over(id);
        if open {
            self.tell.push_back(pools::Event::ClientGone { request: id });
        }
        self.stop_all(now, id, Outcome::Cancelled, true, out); // nothing goes on for a client that left
        self.forget(id);
    }

    /// Nothing is owed any more. Attempts that may not be called back still end with the request's time.
    fn over(&mut self, id: RequestId) {
        let cancel = self.cancel;
        if let Some(r) = self.requests.get_mut(&id) {
            r.phase = Phase::Over;
            let deadline = (r.deadline, id);
            if (cancel || !r.out()) && !planted!(self.planted, TimerOutlivesRequest) {
                self.deadlines.remove(&deadline);
            }
        }
    }

    /// Once it is over and its attempts have ended nothing is kept of it.
    fn forget(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get(&id).filter(|r| r.phase == Phase::Over && !r.out()) {
            let deadline = (r.deadline, id);
            if !planted!(self.planted, TimerOutlivesRequest) {
                self.deadlines.remove(&deadline);
            }
            self.requests.remove(&id);
        }
    }

    fn give_up(&mut self, now: Time, id: RequestId, advice: Micros, refuse: bool, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.phase == Phase::Open) else { return };
        r.phase = Phase::GivenUp(advice);
        if r.out() {
            r.last = None; // the last attempt ends without an answer
        }
        if refuse && planted!(self.planted, RefusedAfterRunning) {
            self.answer(id, Final::Refused(advice), out);
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
        if r.tries.iter().any(|t| t.out() && (self.cancel || !t.may_have_run())) {
            return;
        }
        let answer = match r.phase {
            // A client that is told in whole seconds comes back that much later.
            Phase::GivenUp(advice)
                if r.is_harmless(now + whole_seconds(advice), self.only_deduplication_domain) =>
            {
                Final::Refused(advice)
            }
            Phase::GivenUp(_) => Final::Failed,
            Phase::TimedOut => Final::TimedOut,
            Phase::Open | Phase::Over => return,
        };
        self.answer(id, answer, out);
        self.forget(id);
    }

    fn answer(&mut self, request: RequestId, answer: Final, out: &mut Vec<Action>) {
        let last = self.requests.get(&request).and_then(|r| r.last).filter(|_| answer != Final::TimedOut);
        let last = last.filter(|_| !matches!(answer, Final::Served(_)));
        self.over(request);
        out.push(Action::Answer { request, answer, last });
    }

    // --- attempts ---

    fn attempt(&mut self, request: RequestId, no: AttemptNumber) -> Option<&mut Try> {
        self.requests.get_mut(&request)?.tries.get_mut(no.0 as usize)
    }

    /// The attempt that is on a connection or waits for it.
    fn on(&self, conn: ConnectionId) -> Option<(RequestId, AttemptNumber)> {
        match self.conns.all.get(&conn)?.step {
            ConnectionState::Busy(request, attempt) => Some((request, attempt)),
            ConnectionState::Opening(waiting) => waiting,
            ConnectionState::Idle(..) => None,
        }
    }

    fn dispatch(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, backend: BackendId,
        send_by: Option<Time>, out: &mut Vec<Action>,
    ) {
        let place = self.backends.get(&backend);
        let ready = place.is_some_and(|p| p.state == BackendState::Ready);
        let group =
            place.map_or(Group { realm: 0, zone: ZoneId(0), cell: DeduplicationGroupId(0) }, |p| p.group);
        let next = |r: &&mut Request| r.tries.len() < MOST_TRIES && r.tries.len() == attempt.0 as usize;
        let Some(r) = self.requests.get_mut(&request).filter(next) else {
            // Each attempt that is asked for has one end, whatever it was asked for.
            let settled = self.requests.get(&request).is_none_or(|r| r.phase != Phase::Open);
            self.tell_end(request, attempt, Outcome::NotSent, Micros(0), settled);
            return;
        };
        let allowed = ready && may_go(now, r, group, None, self.planted).is_ok();
        let step = if allowed { Step::Permit } else { Step::Ended(Outcome::NotSent) };
        let permitted = r.permit && allowed;
        r.tries.push(Try { backend, group, asked: now, ended: now, send_by, permitted, step });
        let settled = r.phase != Phase::Open;
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
            Some(t) if t.step == Step::Permit && given => self.begin(now, request, no, out),
            Some(t) if t.step == Step::Permit => {
                t.permitted = false; // there is nothing to withdraw
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
        if let Some(conn) = self.conns.fit(now, backend, &self.keeping) {
            return self.send(now, conn, request, no, out);
        }
        // At the bound one that nobody uses makes room; where there is none the backend is not to blame.
        if self.conns.all.len() >= self.keeping.most {
            match self.conns.spare() {
                Some(conn) => self.close(conn, out),
                None => return self.end(now, request, no, Outcome::NotSent, false, out),
            }
        }
        let conn = self.conns.open(backend, request, no);
        if let Some(t) = self.attempt(request, no) {
            t.step = Step::Opening(conn);
        }
        out.push(Action::Open { conn, backend });
    }

    fn may_begin(&self, now: Time, request: RequestId, no: AttemptNumber) -> bool {
        let Some(r) = self.requests.get(&request) else { return false };
        let own = no.0 as usize;
        // One that was listed elsewhere since then drops other repeats than the one that was asked for.
        let as_asked = |t: &Try, p: &Place| p.state == BackendState::Ready && p.group == t.group;
        let ready =
            r.tries.get(own).is_some_and(|t| self.backends.get(&t.backend).is_some_and(|p| as_asked(t, p)));
        may_begin(now, r, own, ready, self.planted).is_ok()
    }

    /// Not a byte has gone out yet: from here on it may.
    fn send(
        &mut self, now: Time, conn: ConnectionId, request: RequestId, no: AttemptNumber,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&request) else { return };
        let (deadline, by) = (r.deadline, write_by(now, r, no.0 as usize, self.planted));
        if let Some(t) = self.attempt(request, no) {
            t.step = Step::Writing(conn);
        }
        self.conns.busy(conn, request, no);
        out.push(Action::Send { conn, request, attempt: no, deadline, by });
    }

    fn up(&mut self, now: Time, conn: ConnectionId, out: &mut Vec<Action>) {
        let Some(c) = self.conns.all.get(&conn) else { return };
        let (ConnectionState::Opening(waiting), backend) = (c.step, c.backend) else { return };
        let waiting = waiting.filter(|(request, no)| self.may_begin(now, *request, *no));
        if let Some((request, no)) = waiting {
            return self.send(now, conn, request, no, out);
        }
        let turned_away = self.on(conn);
        self.rest(now, conn, backend, false, out); // an unused connection stays warm
        if let Some((request, no)) = turned_away {
            self.end(now, request, no, Outcome::NotSent, false, out);
        }
    }

    /// A connection that may be used again, if its backend may be.
    fn rest(&mut self, now: Time, conn: ConnectionId, backend: BackendId, used: bool, out: &mut Vec<Action>) {
        let old = self.conns.all.get(&conn).is_some_and(|c| c.old);
        if old || self.state(backend) != BackendState::Ready {
            return self.close(conn, out);
        }
        self.conns.rest(now, conn, used);
        self.sweep_at.get_or_insert(now + self.keeping.idle);
    }

    fn close(&mut self, conn: ConnectionId, out: &mut Vec<Action>) {
        if self.conns.remove(conn).is_some() {
            out.push(Action::Close { conn });
        }
    }

    fn answered(
        &mut self, now: Time, conn: ConnectionId, verdict: Verdict, clean: bool, out: &mut Vec<Action>,
    ) {
        let Some((request, no)) = self.on(conn) else { return };
        let Some(t) = self.attempt(request, no) else { return };
        let (step, backend) = (t.step, t.backend);
        if self.backends.contains_key(&backend) {
            self.conns.heard.insert(backend, now);
        }
        match step {
            // It was told to close: that has been carried out, or is about to be.
            Step::Stopping(..) => drop(self.conns.remove(conn)),
            // An answer to half of a request is one, but what goes on behind it is none of the next.
            Step::Written(_) if clean => self.rest(now, conn, backend, true, out),
            _ => self.close(conn, out),
        }
        let outcome = match verdict {
            Verdict::Served => Outcome::Ok,
            Verdict::NotExecuted => Outcome::Rejected,
            Verdict::Error => Outcome::Error,
        };
        self.end(now, request, no, outcome, true, out);
    }

    /// What came is no answer, or nothing comes any more.
    fn broken(&mut self, now: Time, conn: ConnectionId, outcome: Outcome, out: &mut Vec<Action>) {
        let on = self.on(conn);
        self.close(conn, out);
        let Some((request, no)) = on else { return };
        let Some(t) = self.attempt(request, no) else { return };
        let written = match t.step {
            Step::Written(_) | Step::Stopping(..) => !planted!(self.planted, NeverRanAfterLastByte),
            _ => false, // the backend begins with the last byte, and never before it
        };
        let outcome = if written { outcome } else { Outcome::ConnectFailed };
        self.end(now, request, no, outcome, false, out);
    }

    /// Not a byte went out on it: another is looked for.
    fn unfit(&mut self, now: Time, conn: ConnectionId, out: &mut Vec<Action>) {
        let on = self.on(conn);
        self.close(conn, out);
        let Some((request, no)) = on else { return };
        let Some(t) = self.attempt(request, no) else { return };
        let step = t.step;
        if !matches!(step, Step::Written(_)) {
            t.step = Step::Permit; // it stands where it stood: its permit can be given back
        }
        match step {
            Step::Writing(_) => self.begin(now, request, no, out),
            Step::Written(_) => self.end(now, request, no, Outcome::Reset, false, out),
            _ => self.end(now, request, no, Outcome::NotSent, false, out),
        }
    }

    fn closed(&mut self, now: Time, conn: ConnectionId, written: bool, out: &mut Vec<Action>) {
        let on = self.on(conn);
        self.conns.remove(conn);
        let Some((request, no)) = on else { return };
        if let Some(Step::Stopping(_, outcome)) = self.attempt(request, no).map(|t| t.step) {
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
        match t.step {
            Step::Permit => self.end(now, id, no, Outcome::NotSent, false, out),
            Step::Opening(conn) => {
                if let Some(c) = self.conns.all.get_mut(&conn) {
                    c.step = ConnectionState::Opening(None);
                }
                self.end(now, id, no, Outcome::NotSent, false, out);
            }
            Step::Writing(conn) | Step::Written(conn) if cancel => {
                t.step = Step::Stopping(conn, outcome);
                let (backend, sent) = (t.backend, t.asked);
                out.push(Action::Close { conn });
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
        if self.conns.heard.get(&backend).is_none_or(|at| *at < sent) {
            for conn in self.conns.idle_of(backend) {
                self.close(conn, out);
            }
        }
    }

    /// An attempt is over. `answered`: by a whole answer.
    fn end(
        &mut self, now: Time, id: RequestId, no: AttemptNumber, outcome: Outcome, answered: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.tries.get_mut(no.0 as usize).filter(|t| t.out()) else { return };
        if matches!(t.step, Step::Permit | Step::Opening(_)) && t.permitted {
            out.push(Action::Withdraw { request: id, attempt: no });
        }
        let latency = now - t.asked;
        (t.step, t.ended) = (Step::Ended(outcome), now);
        if r.recorded {
            out.push(Action::Ended { request: id, attempt: no, outcome });
        }
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {} // says nothing of the one sent before
            _ => r.last = answered.then_some(no),
        }
        let phase = r.phase;
        let late = now >= r.deadline;
        let serves = match phase {
            Phase::Open | Phase::GivenUp(_) => outcome == Outcome::Ok && !late,
            Phase::TimedOut | Phase::Over => {
                outcome == Outcome::Ok && phase == Phase::Over && planted!(self.planted, LateSuccess)
            }
        };
        let settled = serves || phase != Phase::Open;
        self.tell_end(id, no, outcome, latency, settled);
        if serves {
            self.answer(id, Final::Served(no), out);
            if !planted!(self.planted, HedgeLeftRunning) {
                self.stop_all(now, id, Outcome::Cancelled, self.cancel, out);
            }
        } else if outcome == Outcome::Ok && phase == Phase::Open {
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
        if r.phase == Phase::Open {
            r.phase = Phase::TimedOut;
            self.tell.push_back(pools::Event::ClientGone { request: id });
        }
        self.stop_all(now, id, Outcome::TimedOut, true, out);
        if self.requests.get(&id).is_some_and(|r| r.phase != Phase::Over) {
            // The answer does not wait for what the connections have to say: what is not known to be harmless by
            // now is a failure.
            self.answer(id, Final::TimedOut, out);
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
            for conn in self.conns.stale(now, &self.keeping) {
                self.close(conn, out);
            }
            let some = !self.conns.idle.is_empty();
            self.sweep_at = some.then(|| now + self.keeping.idle.times(0.25).max(Micros(1_000)));
        }
    }
}
