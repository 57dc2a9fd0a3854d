//! What can be known from outside: what is listed, what is open, what is on each connection and what may have run.

use super::Rules;
use crate::event::{Action, Event, RequestSpec};
use shaletide_routing::ResponseClass;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// Where a backend stands among those that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Where {
    /// Its realm.
    pub realm: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: DeduplicationGroupId,
}

/// The last word on a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The pool that said it.
    pub pool: PoolId,
    /// Where it stands.
    pub place: Where,
    /// What it may be sent.
    pub state: BackendState,
    /// When it was first said to be no longer ready.
    pub since: Time,
}

/// An attempt whose request went out on a connection and may have run for all that was told since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sent {
    /// When.
    pub at: Time,
    /// Where the backend stood then.
    pub place: Where,
    /// The connection that it is on; none once it has ended.
    pub on: Option<ConnectionId>,
}

/// How far the permit of an attempt has got; one that is used, refused or given back is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Permit {
    /// It was asked for.
    Asked,
    /// It was given.
    Given,
}

/// A request that is open, or over with something still on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watched {
    /// What a second run would do.
    pub effect: Idempotency,
    /// When its time is up.
    pub deadline: Time,
    /// It wants permits.
    pub permit: bool,
    /// It is owed an answer.
    pub open: bool,
    /// Attempts that may have run; of a request that may run at will only those on a connection.
    pub sent: BTreeMap<AttemptNumber, Sent>,
    /// Permits that are neither used, refused nor given back.
    pub permits: BTreeMap<AttemptNumber, Permit>,
}

/// How far a connection has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LineStep {
    /// It comes up.
    Opening,
    /// Nothing is on it: never yet, or since then.
    Up(Option<Time>),
    /// Something is on it that is no answer, or more than one.
    Unclean,
    /// A request is on it.
    Busy {
        /// Whose.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// Its last byte has gone.
        written: bool,
        /// It is to be closed.
        closing: bool,
    },
}

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Line {
    /// Its backend.
    pub to: BackendId,
    /// How far it has got.
    pub step: LineStep,
    /// Its backend listens elsewhere by now.
    pub old: bool,
}

/// All that is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// What is open or on its way.
    pub requests: BTreeMap<RequestId, Watched>,
    /// The connections that there are.
    pub lines: BTreeMap<ConnectionId, Line>,
    /// What the lists say; a backend that is gone is kept for the grace.
    pub boxes: BTreeMap<BackendId, Entry>,
    /// The deadlines of what is open.
    pub(super) deadlines: BTreeSet<(Time, RequestId)>,
    /// The attempt that the present event brought a served answer to.
    pub(super) served: Option<(RequestId, AttemptNumber)>,
    /// The requests that ended in the present step.
    pub(super) ended: Vec<RequestId>,
}

impl Record {
    pub(super) fn see(&mut self, now: Time, event: &Event, rules: &Rules) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                self.members(now, *pool, *update, backends, rules)
            }
            Event::BackendMoved { backend, to, .. } => {
                if let Some(entry) = self.boxes.get_mut(backend) {
                    entry.pool = *to;
                }
            }
            Event::AddressChanged { backend } => {
                self.lines.values_mut().filter(|l| l.to == *backend).for_each(|l| l.old = true);
            }
            Event::PoolClosed { pool } => self.members(now, *pool, EndpointUpdate::Snapshot, &[], rules),
            Event::Request(order) => self.request(now, order),
            Event::ClientDisconnected { request } => self.end(*request),
            Event::IntentPersisted { request, attempt, persisted: given } => {
                self.permit(*request, *attempt, *given)
            }
            Event::Connected { connection } => {
                if let Some(line) = self.lines.get_mut(connection) {
                    line.step = LineStep::Up(None);
                }
            }
            Event::ConnectFailed { connection, .. } => drop(self.lines.remove(connection)),
            Event::RequestWritten { connection } => {
                if let Some(Line { step: LineStep::Busy { written, .. }, .. }) =
                    self.lines.get_mut(connection)
                {
                    *written = true;
                }
            }
            Event::ResponseReceived { connection, verdict, reusable: keep, has_excess_bytes: behind } => {
                self.answered(now, *connection, *verdict, *keep && !*behind)
            }
            Event::InvalidResponse { connection } | Event::ConnectionClosed { connection } => {
                self.cut(*connection, false)
            }
            Event::ConnectionUnusable { connection } => self.unfit(*connection),
            Event::CloseCompleted { connection, written } => self.cut(*connection, *written),
            Event::GiveUp { .. } | Event::LoadReported { .. } | Event::Wake => {}
        }
    }

    pub(super) fn act(&mut self, now: Time, action: &Action) {
        match action {
            Action::Connect { connection, backend } => {
                let line = Line { to: *backend, step: LineStep::Opening, old: false };
                self.lines.insert(*connection, line);
            }
            Action::Send { connection, request, attempt, .. } => {
                self.send(now, *connection, *request, *attempt)
            }
            Action::Close { connection } => match self.lines.get_mut(connection).map(|l| &mut l.step) {
                Some(LineStep::Busy { closing, .. }) => *closing = true,
                _ => drop(self.lines.remove(connection)),
            },
            Action::Answer { request, .. } => self.end(*request),
            Action::PersistIntent { request, attempt } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.permits.insert(*attempt, Permit::Asked);
                }
            }
            Action::WithdrawIntent { request, attempt } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.permits.remove(attempt);
                }
            }
            Action::AttemptEnded { .. } | Action::Subscribe { .. } | Action::Log { .. } => {}
        }
    }

    /// What the present step brought is no news any more, and what is over for good is forgotten.
    pub(super) fn step_over(&mut self) {
        self.served = None;
        for id in std::mem::take(&mut self.ended) {
            self.forget(id);
        }
    }

    /// The attempts of a request that are on a connection.
    pub(super) fn under_way(r: &Watched) -> impl Iterator<Item = ConnectionId> + '_ {
        r.sent.values().filter_map(|s| s.on)
    }

    /// A request is on that connection, and it is not to be closed.
    pub(super) fn runs_on(&self, connection: ConnectionId) -> bool {
        let step = self.lines.get(&connection).map(|line| line.step);
        matches!(step, Some(LineStep::Busy { closing: false, .. }))
    }

    // --- lists ---

    /// The last word counts; a backend that another pool has spoken for since cannot be given up by the first.
    fn members(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, list: &[BackendEntry], rules: &Rules,
    ) {
        let gone = |entry: &mut Entry| {
            if entry.state == BackendState::Ready {
                entry.since = now;
            }
            entry.state = BackendState::Gone;
        };
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let named = |id: &BackendId| list.iter().any(|b| b.id == *id);
            let absent = self.boxes.iter_mut().filter(|(id, e)| e.pool == pool && !named(id));
            absent.for_each(|(_, entry)| gone(entry));
        }
        for b in list {
            let known = self.boxes.get_mut(&b.id);
            if b.state == BackendState::Gone {
                known.filter(|e| e.pool == pool).into_iter().for_each(gone);
                continue;
            }
            let since = known.filter(|e| e.state != BackendState::Ready).map_or(now, |e| e.since);
            let place = Where { realm: b.deduplication_domain, zone: b.zone, cell: b.deduplication_group };
            self.boxes.insert(b.id, Entry { pool, place, state: b.state, since });
        }
        self.boxes.retain(|_, e| e.state != BackendState::Gone || now < e.since + rules.drain_grace);
    }

    // --- requests ---

    fn request(&mut self, now: Time, order: &RequestSpec) {
        let (id, deadline) = (order.arrival.request, now + order.arrival.time_left);
        if self.requests.contains_key(&id) {
            return;
        }
        let (effect, permit) = (order.idempotency, order.requires_intent);
        let (sent, permits) = (BTreeMap::new(), BTreeMap::new());
        self.requests.insert(id, Watched { effect, deadline, permit, open: true, sent, permits });
        self.deadlines.insert((deadline, id));
    }

    fn end(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.open = false;
        self.deadlines.remove(&(r.deadline, id));
        self.ended.push(id);
    }

    fn forget(&mut self, id: RequestId) {
        let over = |r: &Watched| !r.open && r.permits.is_empty() && Record::under_way(r).next().is_none();
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
        }
    }

    fn permit(&mut self, id: RequestId, attempt: AttemptNumber, given: bool) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        match r.permits.get_mut(&attempt) {
            Some(permit) if given => *permit = Permit::Given,
            Some(_) => drop(r.permits.remove(&attempt)),
            None => {} // it was given back before the store's word came
        }
    }

    // --- connections ---

    fn send(&mut self, now: Time, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        let Some(line) = self.lines.get_mut(&connection) else { return };
        line.step = LineStep::Busy { request, attempt, written: false, closing: false };
        let Some(r) = self.requests.get_mut(&request) else { return };
        r.permits.remove(&attempt);
        let nowhere = Where { realm: 0, zone: ZoneId(0), cell: DeduplicationGroupId(0) };
        let place = self.boxes.get(&line.to).map_or(nowhere, |e| e.place);
        r.sent.insert(attempt, Sent { at: now, place, on: Some(connection) });
    }

    /// The attempt on it has ended; of one that did not run, and of one that may run at will, nothing is kept.
    fn ended(&mut self, request: RequestId, attempt: AttemptNumber, ran: bool) {
        let Some(r) = self.requests.get_mut(&request) else { return };
        if let Some(sent) = r.sent.get_mut(&attempt) {
            sent.on = None;
        }
        if !ran || r.effect == Idempotency::Safe {
            r.sent.remove(&attempt);
        }
        self.ended.push(request);
    }

    fn answered(&mut self, now: Time, connection: ConnectionId, verdict: ResponseClass, clean: bool) {
        let Some(line) = self.lines.get_mut(&connection) else { return };
        let LineStep::Busy { request, attempt, written, closing } = line.step else { return };
        // An answer to half of a request leaves the other half to go out before the next one.
        line.step = if clean && written { LineStep::Up(Some(now)) } else { LineStep::Unclean };
        if closing {
            self.lines.remove(&connection);
        }
        if verdict == ResponseClass::Served {
            self.served = Some((request, attempt));
        }
        self.ended(request, attempt, verdict != ResponseClass::NotExecuted);
    }

    /// It ended, or is closed as asked. What had not gone out whole by then cannot have run.
    fn cut(&mut self, connection: ConnectionId, whole: bool) {
        let Some(line) = self.lines.remove(&connection) else { return };
        if let LineStep::Busy { request, attempt, written, .. } = line.step {
            self.ended(request, attempt, written || whole);
        }
    }

    /// Not a byte of a request went out on it: the permit is as good as before.
    fn unfit(&mut self, connection: ConnectionId) {
        let Some(line) = self.lines.remove(&connection) else { return };
        let LineStep::Busy { request, attempt, .. } = line.step else { return };
        self.ended(request, attempt, false);
        if let Some(r) = self.requests.get_mut(&request).filter(|r| r.permit) {
            r.permits.insert(attempt, Permit::Given);
        }
    }
}
