//! What can be known from outside the engine: the listed backends, the open requests, the attempt on each connection, and
//! which attempts may have been executed.

use super::Rules;
use crate::event::{Action, Event, RequestSpec};
use shaletide_routing::ResponseClass;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// The deduplication scopes of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Where {
    /// Its deduplication domain.
    pub realm: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its deduplication group.
    pub cell: DeduplicationGroupId,
}

/// What the lists said last of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The pool whose list it is in.
    pub pool: PoolId,
    /// Its deduplication scopes.
    pub place: Where,
    /// Whether it takes new requests.
    pub state: BackendState,
    /// When it was first listed as not ready.
    pub since: Time,
}

/// An attempt that was sent on a connection and, by all events since, may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sent {
    /// When it was sent.
    pub at: Time,
    /// The backend's deduplication scopes then.
    pub place: Where,
    /// The connection that it is on; none once it has ended.
    pub on: Option<ConnectionId>,
}

/// The state of an attempt's intent; one that is used, failed or withdrawn is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Permit {
    /// It was requested.
    Asked,
    /// It is durable.
    Given,
}

/// A request that is open, or ended with an attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watched {
    /// What a second execution would do.
    pub effect: Idempotency,
    /// When it has to be answered.
    pub deadline: Time,
    /// Its attempts need a durable intent.
    pub permit: bool,
    /// Its answer is due.
    pub open: bool,
    /// Attempts that may have been executed; of a safe request only those in flight.
    pub sent: BTreeMap<AttemptNumber, Sent>,
    /// Intents that are neither used, failed nor withdrawn.
    pub permits: BTreeMap<AttemptNumber, Permit>,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LineStep {
    /// It is being opened.
    Opening,
    /// It is idle: since it was opened, or since a response at that time.
    Up(Option<Time>),
    /// Bytes are on it that belong to no response, or a part of a request is.
    Unclean,
    /// An attempt is on it.
    Busy {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Its last byte has been handed to the kernel.
        written: bool,
        /// The engine has asked to close it.
        closing: bool,
    },
}

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Line {
    /// Its backend.
    pub to: BackendId,
    /// Its state.
    pub step: LineStep,
    /// Its backend listens at another address by now.
    pub old: bool,
}

/// All that has been observed and is still needed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Requests that are open or have an attempt in flight.
    pub requests: BTreeMap<RequestId, Watched>,
    /// The connections.
    pub lines: BTreeMap<ConnectionId, Line>,
    /// The listed backends; one that is gone is kept for the drain grace.
    pub boxes: BTreeMap<BackendId, Entry>,
    /// The deadlines of open requests.
    pub(super) deadlines: BTreeSet<(Time, RequestId)>,
    /// The attempt that got a served response by the present event.
    pub(super) served: Option<(RequestId, AttemptNumber)>,
    /// Requests that ended, or that an attempt ended of, in the present step.
    pub(super) ended: Vec<RequestId>,
}

impl Record {
    pub(super) fn observe_event(&mut self, now: Time, event: &Event, rules: &Rules) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                self.update_endpoints(now, *pool, *update, backends, rules)
            }
            Event::BackendMoved { backend, to, .. } => self.on_backend_moved(*backend, *to),
            Event::AddressChanged { backend } => self.on_address_changed(*backend),
            Event::PoolClosed { pool } => {
                self.update_endpoints(now, *pool, EndpointUpdate::Snapshot, &[], rules)
            }
            Event::Request(spec) => self.on_request(now, spec),
            Event::ClientDisconnected { request } => self.on_request_ended(*request),
            Event::IntentPersisted { request, attempt, persisted } => {
                self.on_intent_persisted(*request, *attempt, *persisted)
            }
            Event::Connected { connection } => self.on_connected(*connection),
            Event::ConnectFailed { connection, .. } => drop(self.lines.remove(connection)),
            Event::RequestWritten { connection } => self.on_request_written(*connection),
            Event::ResponseReceived { connection, verdict, reusable, has_excess_bytes } => {
                self.on_response(now, *connection, *verdict, *reusable && !*has_excess_bytes)
            }
            Event::InvalidResponse { connection } | Event::ConnectionClosed { connection } => {
                self.on_connection_closed(*connection, false)
            }
            Event::ConnectionUnusable { connection } => self.on_connection_unusable(*connection),
            Event::CloseCompleted { connection, written } => self.on_connection_closed(*connection, *written),
            Event::GiveUp { .. } | Event::LoadReported { .. } | Event::Wake => {}
        }
    }

    pub(super) fn observe_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Connect { connection, backend } => {
                let line = Line { to: *backend, step: LineStep::Opening, old: false };
                self.lines.insert(*connection, line);
            }
            Action::Send { connection, request, attempt, .. } => {
                self.on_sent(now, *connection, *request, *attempt)
            }
            Action::Close { connection } => match self.lines.get_mut(connection).map(|l| &mut l.step) {
                Some(LineStep::Busy { closing, .. }) => *closing = true,
                _ => drop(self.lines.remove(connection)),
            },
            Action::Answer { request, .. } => self.on_request_ended(*request),
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

    /// Ends the step: requests that have ended with all their attempts are removed.
    pub(super) fn finish_step(&mut self) {
        self.served = None;
        for id in std::mem::take(&mut self.ended) {
            self.remove_if_ended(id);
        }
    }

    /// The connections that a request's attempts are on.
    pub(super) fn connections_of(r: &Watched) -> impl Iterator<Item = ConnectionId> + '_ {
        r.sent.values().filter_map(|s| s.on)
    }

    /// Whether an attempt is on that connection and the engine has not asked to close it.
    pub(super) fn is_running_on(&self, connection: ConnectionId) -> bool {
        let step = self.lines.get(&connection).map(|line| line.step);
        matches!(step, Some(LineStep::Busy { closing: false, .. }))
    }

    /// The last update counts; a pool cannot take away a backend that another pool has listed since.
    fn update_endpoints(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, list: &[BackendEntry], rules: &Rules,
    ) {
        let mark_gone = |entry: &mut Entry| {
            if entry.state == BackendState::Ready {
                entry.since = now;
            }
            entry.state = BackendState::Gone;
        };
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let named = |id: &BackendId| list.iter().any(|b| b.id == *id);
            for (id, entry) in &mut self.boxes {
                if entry.pool == pool && !named(id) {
                    mark_gone(entry);
                }
            }
        }
        for b in list {
            let known = self.boxes.get_mut(&b.id);
            if b.state == BackendState::Gone {
                if let Some(entry) = known.filter(|e| e.pool == pool) {
                    mark_gone(entry);
                }
                continue;
            }
            let since = known.filter(|e| e.state != BackendState::Ready).map_or(now, |e| e.since);
            let place = Where { realm: b.deduplication_domain, zone: b.zone, cell: b.deduplication_group };
            self.boxes.insert(b.id, Entry { pool, place, state: b.state, since });
        }
        self.boxes.retain(|_, e| e.state != BackendState::Gone || now < e.since + rules.drain_grace);
    }

    fn on_backend_moved(&mut self, backend: BackendId, to: PoolId) {
        if let Some(entry) = self.boxes.get_mut(&backend) {
            entry.pool = to;
        }
    }

    fn on_address_changed(&mut self, backend: BackendId) {
        for line in self.lines.values_mut() {
            if line.to == backend {
                line.old = true;
            }
        }
    }

    fn on_request(&mut self, now: Time, spec: &RequestSpec) {
        let id = spec.arrival.request;
        let deadline = now + spec.arrival.time_left;
        if self.requests.contains_key(&id) {
            return;
        }
        let request = Watched {
            effect: spec.idempotency,
            deadline,
            permit: spec.requires_intent,
            open: true,
            sent: BTreeMap::new(),
            permits: BTreeMap::new(),
        };
        self.requests.insert(id, request);
        self.deadlines.insert((deadline, id));
    }

    fn on_request_ended(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.open = false;
        self.deadlines.remove(&(r.deadline, id));
        self.ended.push(id);
    }

    fn remove_if_ended(&mut self, id: RequestId) {
        let over =
            |r: &Watched| !r.open && r.permits.is_empty() && Record::connections_of(r).next().is_none();
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
        }
    }

    fn on_intent_persisted(&mut self, id: RequestId, attempt: AttemptNumber, persisted: bool) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        match r.permits.get_mut(&attempt) {
            Some(permit) if persisted => *permit = Permit::Given,
            Some(_) => drop(r.permits.remove(&attempt)),
            None => {} // it was withdrawn before the store's result came
        }
    }

    fn on_connected(&mut self, connection: ConnectionId) {
        if let Some(line) = self.lines.get_mut(&connection) {
            line.step = LineStep::Up(None);
        }
    }

    fn on_request_written(&mut self, connection: ConnectionId) {
        let line = self.lines.get_mut(&connection);
        if let Some(Line { step: LineStep::Busy { written, .. }, .. }) = line {
            *written = true;
        }
    }

    fn on_sent(&mut self, now: Time, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        let Some(line) = self.lines.get_mut(&connection) else { return };
        line.step = LineStep::Busy { request, attempt, written: false, closing: false };
        let Some(r) = self.requests.get_mut(&request) else { return };
        r.permits.remove(&attempt);
        let nowhere = Where { realm: 0, zone: ZoneId(0), cell: DeduplicationGroupId(0) };
        let place = self.boxes.get(&line.to).map_or(nowhere, |e| e.place);
        r.sent.insert(attempt, Sent { at: now, place, on: Some(connection) });
    }

    /// Nothing is kept of an attempt that was not executed, and of one of a safe request.
    fn on_attempt_ended(&mut self, request: RequestId, attempt: AttemptNumber, may_have_executed: bool) {
        let Some(r) = self.requests.get_mut(&request) else { return };
        if let Some(sent) = r.sent.get_mut(&attempt) {
            sent.on = None;
        }
        if !may_have_executed || r.effect == Idempotency::Safe {
            r.sent.remove(&attempt);
        }
        self.ended.push(request);
    }

    fn on_response(&mut self, now: Time, connection: ConnectionId, verdict: ResponseClass, clean: bool) {
        let Some(line) = self.lines.get_mut(&connection) else { return };
        let LineStep::Busy { request, attempt, written, closing } = line.step else { return };
        // After a response to a part of a request the rest of it would go out ahead of the next request.
        line.step = if clean && written { LineStep::Up(Some(now)) } else { LineStep::Unclean };
        if closing {
            self.lines.remove(&connection);
        }
        if verdict == ResponseClass::Served {
            self.served = Some((request, attempt));
        }
        self.on_attempt_ended(request, attempt, verdict != ResponseClass::NotExecuted);
    }

    /// It ended, or is closed as asked. A request that was not completely written by then was not executed.
    fn on_connection_closed(&mut self, connection: ConnectionId, completely_written: bool) {
        let Some(line) = self.lines.remove(&connection) else { return };
        if let LineStep::Busy { request, attempt, written, .. } = line.step {
            self.on_attempt_ended(request, attempt, written || completely_written);
        }
    }

    /// No byte of a request was written on it: its intent is still unused.
    fn on_connection_unusable(&mut self, connection: ConnectionId) {
        let Some(line) = self.lines.remove(&connection) else { return };
        let LineStep::Busy { request, attempt, .. } = line.step else { return };
        self.on_attempt_ended(request, attempt, false);
        if let Some(r) = self.requests.get_mut(&request).filter(|r| r.permit) {
            r.permits.insert(attempt, Permit::Given);
        }
    }
}
