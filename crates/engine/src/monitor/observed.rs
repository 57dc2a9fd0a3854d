//! The state that follows from the engine's events and actions: the listed backends, the open requests, the attempt on each
//! connection, and which attempts may have been executed.

use super::Rules;
use crate::event::{Action, Event, RequestSpec};
use shaletide_routing::ResponseClass;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// The deduplication scopes of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObservedPlacement {
    /// The deduplication domain.
    pub domain: u32,
    /// The zone.
    pub zone: ZoneId,
    /// The deduplication group.
    pub group: DeduplicationGroupId,
}

/// A backend by the latest updates of the endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObservedBackend {
    /// The pool whose endpoint list has the backend.
    pub pool: PoolId,
    /// The backend's deduplication scopes.
    pub placement: ObservedPlacement,
    /// The backend's state: ready, draining or gone.
    pub state: BackendState,
    /// When the backend stopped being ready.
    pub not_ready_since: Time,
}

/// An attempt that was sent on a connection and may have been executed, judging by all events since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObservedAttempt {
    /// When the attempt was sent.
    pub sent_at: Time,
    /// The backend's deduplication scopes when the attempt was sent.
    pub placement: ObservedPlacement,
    /// The connection that the attempt is on; `None` once it has ended.
    pub connection: Option<ConnectionId>,
}

/// The state of an attempt's intent. An intent that was used, has failed or was withdrawn is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IntentState {
    /// The intent was requested.
    Requested,
    /// The intent is durable.
    Durable,
}

/// A request that is open or has an attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ObservedRequest {
    /// The effect of a second execution.
    pub idempotency: Idempotency,
    /// The time by which the request has to be answered.
    pub deadline: Time,
    /// Whether an attempt may be sent only once its intent is durable.
    pub requires_intent: bool,
    /// Whether the request is open: its answer is due.
    pub open: bool,
    /// The attempts that may have been executed; for a safe request only those in flight.
    pub attempts: BTreeMap<AttemptNumber, ObservedAttempt>,
    /// The intents that were neither used nor withdrawn and have not failed.
    pub intents: BTreeMap<AttemptNumber, IntentState>,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservedConnectionState {
    /// The connection is being opened.
    Connecting,
    /// The connection is idle since the response at that time; `None`: it has not been used since it was opened.
    Idle(Option<Time>),
    /// The connection carries excess bytes or an incomplete request, or must not be reused after its last response.
    Dirty,
    /// An attempt is on the connection.
    Busy {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether the last byte of the request has been handed to the kernel.
        written: bool,
        /// Whether the engine has asked to close the connection.
        close_requested: bool,
    },
}

/// A connection as observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObservedConnection {
    /// The backend that the connection leads to.
    pub backend: BackendId,
    /// The connection's state.
    pub state: ObservedConnectionState,
    /// Whether the connection leads to a previous address of its backend.
    pub address_outdated: bool,
}

/// The observed state, as far as it is still needed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ObservedState {
    /// The requests that are open or have an attempt in flight.
    pub requests: BTreeMap<RequestId, ObservedRequest>,
    /// The connections.
    pub connections: BTreeMap<ConnectionId, ObservedConnection>,
    /// The listed backends, and those that are gone for the drain grace.
    pub backends: BTreeMap<BackendId, ObservedBackend>,
    /// The total time for which the driver's thread has waited for a processor.
    pub(super) processor_wait: TotalHistory,
    /// The deadlines of open requests.
    pub(super) deadlines: BTreeSet<(Time, RequestId)>,
    /// The attempt that received a served response in the current step.
    pub(super) served: Option<(RequestId, AttemptNumber)>,
    /// The ends of the deduplication windows of [`ObservedRequest::attempts`], until a wake-up that follows.
    pub(super) window_ends: BTreeSet<(Time, RequestId, AttemptNumber)>,
    /// Whether the event of the current step is [`Event::Wake`].
    pub(super) woken: bool,
    /// The connection that was established in the current step.
    pub(super) just_established: Option<ConnectionId>,
    /// The requests that ended, or of which an attempt ended, in the current step.
    pub(super) ended: Vec<RequestId>,
}

impl ObservedState {
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
            Event::ConnectFailed { connection, .. } => drop(self.connections.remove(connection)),
            Event::RequestWritten { connection } => self.on_request_written(*connection),
            Event::ResponseReceived { connection, class, reusable, has_excess_bytes } => {
                self.on_response(now, *connection, *class, *reusable && !*has_excess_bytes)
            }
            Event::InvalidResponse { connection } | Event::ConnectionClosed { connection } => {
                self.on_connection_closed(*connection, false)
            }
            Event::ConnectionUnusable { connection } => self.on_connection_unusable(*connection),
            Event::CloseCompleted { connection, written } => self.on_connection_closed(*connection, *written),
            Event::Wake => self.woken = true,
            Event::GiveUp { .. } | Event::LoadReported { .. } => {}
        }
    }

    pub(super) fn observe_action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Connect { connection, backend, .. } => {
                let known = ObservedConnection {
                    backend: *backend,
                    state: ObservedConnectionState::Connecting,
                    address_outdated: false,
                };
                self.connections.insert(*connection, known);
            }
            Action::Send { connection, request, attempt, .. } => {
                self.on_sent(now, *connection, *request, *attempt)
            }
            Action::Close { connection } => {
                match self.connections.get_mut(connection).map(|known| &mut known.state) {
                    Some(ObservedConnectionState::Busy { close_requested, .. }) => *close_requested = true,
                    _ => drop(self.connections.remove(connection)),
                }
            }
            Action::Answer { request, .. } => self.on_request_ended(*request),
            Action::PersistIntent { request, attempt } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.intents.insert(*attempt, IntentState::Requested);
                }
            }
            Action::WithdrawIntent { request, attempt } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.intents.remove(attempt);
                }
            }
            Action::GivenUp { .. }
            | Action::AttemptEnded { .. }
            | Action::Subscribe { .. }
            | Action::Log { .. } => {}
        }
    }

    /// Ends the step and removes the requests that have ended with all their attempts.
    pub(super) fn finish_step(&mut self) {
        self.served = None;
        self.just_established = None;
        self.woken = false;
        for id in std::mem::take(&mut self.ended) {
            self.remove_if_ended(id);
        }
    }

    /// The connections that a request's attempts are on.
    pub(super) fn connections_of(r: &ObservedRequest) -> impl Iterator<Item = ConnectionId> + '_ {
        r.attempts.values().filter_map(|s| s.connection)
    }

    /// Whether an attempt is on the connection and the engine has not asked to close it.
    pub(super) fn is_running_on(&self, connection: ConnectionId) -> bool {
        let state = self.connections.get(&connection).map(|known| known.state);
        matches!(state, Some(ObservedConnectionState::Busy { close_requested: false, .. }))
    }

    /// Applies an update. A pool's update does not remove a backend that another pool has listed since.
    fn update_endpoints(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, list: &[BackendEntry], rules: &Rules,
    ) {
        let mark_gone = |entry: &mut ObservedBackend| {
            if entry.state == BackendState::Ready {
                entry.not_ready_since = now;
            }
            entry.state = BackendState::Gone;
        };
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let is_listed = |id: &BackendId| list.iter().any(|b| b.id == *id);
            for (id, entry) in &mut self.backends {
                if entry.pool == pool && !is_listed(id) {
                    mark_gone(entry);
                }
            }
        }
        for b in list {
            let known = self.backends.get_mut(&b.id);
            if b.state == BackendState::Gone {
                if let Some(entry) = known.filter(|e| e.pool == pool) {
                    mark_gone(entry);
                }
                continue;
            }
            let since = known.filter(|e| e.state != BackendState::Ready).map_or(now, |e| e.not_ready_since);
            let place = ObservedPlacement {
                domain: b.deduplication_domain,
                zone: b.zone,
                group: b.deduplication_group,
            };
            self.backends.insert(
                b.id,
                ObservedBackend { pool, placement: place, state: b.state, not_ready_since: since },
            );
        }
        self.backends
            .retain(|_, e| e.state != BackendState::Gone || now < e.not_ready_since + rules.drain_grace);
    }

    fn on_backend_moved(&mut self, backend: BackendId, to: PoolId) {
        if let Some(entry) = self.backends.get_mut(&backend) {
            entry.pool = to;
        }
    }

    fn on_address_changed(&mut self, backend: BackendId) {
        for known in self.connections.values_mut() {
            if known.backend == backend {
                known.address_outdated = true;
            }
        }
    }

    fn on_request(&mut self, now: Time, spec: &RequestSpec) {
        let id = spec.arrival.request;
        let deadline = now + spec.arrival.time_left;
        if self.requests.contains_key(&id) {
            return;
        }
        let request = ObservedRequest {
            idempotency: spec.idempotency,
            deadline,
            requires_intent: spec.requires_intent,
            open: true,
            attempts: BTreeMap::new(),
            intents: BTreeMap::new(),
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
        let has_ended = |r: &ObservedRequest| {
            !r.open && r.intents.is_empty() && ObservedState::connections_of(r).next().is_none()
        };
        if !self.requests.get(&id).is_some_and(has_ended) {
            return;
        }
        let Some(removed) = self.requests.remove(&id) else { return };
        for (attempt, sent) in &removed.attempts {
            self.forget_window(removed.idempotency, id, *attempt, sent.sent_at);
        }
    }

    fn on_intent_persisted(&mut self, id: RequestId, attempt: AttemptNumber, persisted: bool) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        match r.intents.get_mut(&attempt) {
            Some(intent) if persisted => *intent = IntentState::Durable,
            Some(_) => drop(r.intents.remove(&attempt)),
            None => {} // withdrawn before the store's result
        }
    }

    fn on_connected(&mut self, connection: ConnectionId) {
        if let Some(known) = self.connections.get_mut(&connection) {
            known.state = ObservedConnectionState::Idle(None);
            self.just_established = Some(connection);
        }
    }

    fn on_request_written(&mut self, connection: ConnectionId) {
        let known = self.connections.get_mut(&connection);
        if let Some(ObservedConnection { state: ObservedConnectionState::Busy { written, .. }, .. }) = known {
            *written = true;
        }
    }

    fn on_sent(&mut self, now: Time, connection: ConnectionId, request: RequestId, attempt: AttemptNumber) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        known.state =
            ObservedConnectionState::Busy { request, attempt, written: false, close_requested: false };
        let Some(r) = self.requests.get_mut(&request) else { return };
        r.intents.remove(&attempt);
        let unknown_placement =
            ObservedPlacement { domain: 0, zone: ZoneId(0), group: DeduplicationGroupId(0) };
        let place = self.backends.get(&known.backend).map_or(unknown_placement, |e| e.placement);
        r.attempts.insert(
            attempt,
            ObservedAttempt { sent_at: now, placement: place, connection: Some(connection) },
        );
        if let Idempotency::Keyed(_, window) = r.idempotency {
            self.window_ends.insert((now + window, request, attempt));
        }
    }

    fn forget_window(
        &mut self, idempotency: Idempotency, request: RequestId, attempt: AttemptNumber, sent_at: Time,
    ) {
        if let Idempotency::Keyed(_, window) = idempotency {
            self.window_ends.remove(&(sent_at + window, request, attempt));
        }
    }

    /// Ends an attempt. It is removed if it was not executed or its request is safe.
    fn on_attempt_ended(&mut self, request: RequestId, attempt: AttemptNumber, may_have_executed: bool) {
        let Some(r) = self.requests.get_mut(&request) else { return };
        if let Some(sent) = r.attempts.get_mut(&attempt) {
            sent.connection = None;
        }
        if !may_have_executed || r.idempotency == Idempotency::Safe {
            let idempotency = r.idempotency;
            if let Some(sent) = r.attempts.remove(&attempt) {
                self.forget_window(idempotency, request, attempt, sent.sent_at);
            }
        }
        self.ended.push(request);
    }

    fn on_response(&mut self, now: Time, connection: ConnectionId, class: ResponseClass, clean: bool) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        let ObservedConnectionState::Busy { request, attempt, written, close_requested } = known.state else {
            return;
        };
        // If the request was not completely written, its rest would be sent ahead of the next request.
        known.state = if clean && written {
            ObservedConnectionState::Idle(Some(now))
        } else {
            ObservedConnectionState::Dirty
        };
        if close_requested {
            self.connections.remove(&connection);
        }
        if class == ResponseClass::Served {
            self.served = Some((request, attempt));
        }
        self.on_attempt_ended(request, attempt, class != ResponseClass::NotExecuted);
    }

    /// Handles a connection that ended or was closed. A request that was not completely written was not executed.
    fn on_connection_closed(&mut self, connection: ConnectionId, completely_written: bool) {
        let Some(known) = self.connections.remove(&connection) else { return };
        if let ObservedConnectionState::Busy { request, attempt, written, .. } = known.state {
            self.on_attempt_ended(request, attempt, written || completely_written);
        }
    }

    /// Handles a connection on which no byte was written: the intent of its attempt stays unused.
    fn on_connection_unusable(&mut self, connection: ConnectionId) {
        let Some(known) = self.connections.remove(&connection) else { return };
        let ObservedConnectionState::Busy { request, attempt, .. } = known.state else { return };
        self.on_attempt_ended(request, attempt, false);
        if let Some(r) = self.requests.get_mut(&request).filter(|r| r.requires_intent) {
            r.intents.insert(attempt, IntentState::Durable);
        }
    }
}
