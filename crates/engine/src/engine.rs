//! The state of the state machine, and the dispatch of events to their handlers.
//!
//! The handlers are in modules by concern: `endpoints`, `requests`, `attempts`, `connections`. `inspect` has the
//! accessors for the model checker and the monitors.

mod attempts;
mod connections;
mod endpoints;
mod inspect;
mod requests;

use crate::connection_pool::{ConnectionLimits, ConnectionPool, ConnectionState};
use crate::event::{Action, Event};
use crate::known_backends::KnownBackends;
#[cfg(feature = "mutants")]
use crate::mutant::Mutant;
use crate::mutant::{mutant, ActiveMutant};
use crate::policy::Policy;
use crate::request::Request;
use crate::request_table::RequestTable;
use shaletide_routing::pools;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The state machine of all requests, attempts and connections.
///
/// Bounds: the requests that the front has open, and ended requests until their attempts have ended; at most 64
/// attempts for each request; at most [`ConnectionLimits::max_connections`] connections; an entry for each backend in
/// any endpoint list.
#[derive(Clone, Debug)]
pub struct Engine<P> {
    policy: P,
    /// Whether attempts whose result is no longer needed may be cancelled.
    cancellation: bool,
    /// The deduplication domain of all backends, if they share one.
    only_deduplication_domain: Option<u32>,
    backends: KnownBackends,
    requests: RequestTable,
    connections: ConnectionPool,
    policy_timers: BTreeSet<(Time, TimerToken)>,
    /// Events that the policy has not handled yet.
    policy_events: VecDeque<pools::Event>,
    /// Empty between calls; kept to reuse its allocation.
    policy_actions: Vec<pools::Action>,
    mutant: ActiveMutant,
}

impl<P: Policy> Engine<P> {
    /// Creates an engine without backends.
    pub fn new(policy: P, limits: ConnectionLimits) -> Engine<P> {
        Engine {
            policy,
            cancellation: true,
            only_deduplication_domain: None,
            backends: KnownBackends::default(),
            requests: RequestTable::default(),
            connections: ConnectionPool::new(limits),
            policy_timers: BTreeSet::new(),
            policy_events: VecDeque::new(),
            policy_actions: Vec::new(),
            mutant: ActiveMutant::default(),
        }
    }

    /// Sets the connection limits, whether attempts may be cancelled, and the deduplication domain of all backends if
    /// they share one.
    pub fn configure(
        &mut self, limits: ConnectionLimits, cancellation: bool, only_deduplication_domain: Option<u32>,
    ) {
        self.connections.set_limits(limits);
        self.cancellation = cancellation;
        self.only_deduplication_domain = only_deduplication_domain;
    }

    /// Switches a fault on, or off with `None`.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: Option<Mutant>) {
        self.mutant = ActiveMutant(mutant);
    }

    /// The policy, for configuring it.
    pub fn policy_mut(&mut self) -> &mut P {
        &mut self.policy
    }

    /// The policy, for reading it.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// The open requests, and ended requests whose attempts have not all ended.
    pub fn requests(&self) -> &BTreeMap<RequestId, Request> {
        self.requests.all()
    }

    /// The connections with their backends and states.
    pub fn connections(&self) -> impl Iterator<Item = (ConnectionId, BackendId, ConnectionState)> + '_ {
        self.connections.all().iter().map(|(id, connection)| (*id, connection.backend, connection.state))
    }

    /// The number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.all().len()
    }

    /// The connection that the engine would close first when it opens another at the limit.
    pub fn connection_to_evict(&self) -> Option<ConnectionId> {
        self.connections.oldest_idle()
    }

    /// The state of a backend; `Gone` if no endpoint list has it.
    pub fn backend_state(&self, backend: BackendId) -> BackendState {
        self.backends.state(backend)
    }

    /// The pending deadlines.
    pub fn deadlines(&self) -> &BTreeSet<(Time, RequestId)> {
        self.requests.deadlines()
    }

    /// The time at which [`Event::Wake`] is due, if any.
    pub fn wake_at(&self) -> Option<Time> {
        let deadline = self.requests.deadlines().first().map(|(at, _)| *at);
        let timer = self.policy_timers.first().map(|(at, _)| *at);
        let sweep = self.connections.idle_sweep_at();
        let delivery = self.requests.first_delivery_deadline();
        [deadline, timer, sweep, delivery].into_iter().flatten().min()
    }

    /// Handles one event that happened at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { pool, update, backends } => {
                self.update_endpoints(now, pool, update, backends, actions)
            }
            Event::BackendMoved { backend, from, to } => self.on_backend_moved(backend, from, to),
            Event::AddressChanged { backend } => self.on_address_changed(now, backend, actions),
            Event::PoolClosed { pool } => self.on_pool_closed(now, pool, actions),
            Event::Request(spec) => self.accept_request(now, spec),
            Event::ClientDisconnected { request } => self.on_client_disconnected(now, request, actions),
            Event::GiveUp { request, retry_after } => self.on_give_up(now, request, retry_after, actions),
            Event::IntentPersisted { request, attempt, persisted } => {
                self.on_intent_persisted(now, request, attempt, persisted, actions)
            }
            Event::Connected { connection } => self.on_connected(now, connection, actions),
            Event::ConnectFailed { connection, backend_at_fault } => {
                self.on_connect_failed(now, connection, backend_at_fault, actions)
            }
            Event::RequestWritten { connection } => self.on_request_written(connection),
            Event::LoadReported { connection, report } => self.on_load_reported(connection, report),
            Event::ResponseReceived { connection, class, reusable, has_excess_bytes } => {
                let is_clean = !has_excess_bytes || mutant!(self.mutant, ReusedWithExcessBytes);
                self.on_response(now, connection, class, reusable && is_clean, actions)
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

    /// Carries out one policy action that does not come from [`Policy::handle`], for a policy that is driven from outside.
    pub fn apply_policy_action(&mut self, now: Time, action: pools::Action, actions: &mut Vec<Action>) {
        self.run_policy_action(now, action, actions);
        self.run_policy(now, actions);
    }

    /// Passes pending events to the policy and carries out its actions, until none are left.
    fn run_policy(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(event) = self.policy_events.pop_front() {
            let mut policy_actions = std::mem::take(&mut self.policy_actions);
            self.policy.handle(now, event, &mut policy_actions);
            for action in policy_actions.drain(..) {
                self.run_policy_action(now, action, actions);
            }
            self.policy_actions = policy_actions;
        }
    }

    fn run_policy_action(&mut self, now: Time, action: pools::Action, actions: &mut Vec<Action>) {
        match action {
            pools::Action::Dispatch { request, attempt, backend, start_by } => {
                self.dispatch_attempt(now, request, attempt, backend, start_by, actions);
            }
            pools::Action::Reject { request, retry_after, reason } => {
                actions.push(Action::GivenUp { request, reason });
                self.give_up_request(now, request, retry_after, true, actions)
            }
            pools::Action::Fail { request, retry_after, reason } => {
                actions.push(Action::GivenUp { request, reason });
                self.give_up_request(now, request, retry_after, false, actions)
            }
            pools::Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, request, attempt, Outcome::Cancelled, self.cancellation, actions);
            }
            pools::Action::SetTimer { token, after } => {
                self.policy_timers.insert((now + after, token));
            }
            pools::Action::Subscribe { pool } => actions.push(Action::Subscribe { pool }),
            pools::Action::Log { pool, text } => actions.push(Action::Log { pool, text }),
        }
    }

    /// Deadlines are handled before the policy's timers, so that the policy makes no decision on an expired request or
    /// attempt.
    fn run_due_timers(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(id) = self.requests.take_expired(now) {
            self.expire_request(now, id, actions);
        }
        while let Some((id, attempts)) = self.requests.overdue(now) {
            self.abort_attempts(now, id, &attempts, actions);
        }
        while let Some(&(at, token)) = self.policy_timers.first() {
            if at > now {
                break;
            }
            self.policy_timers.remove(&(at, token));
            self.policy_events.push_back(pools::Event::Timer { token });
        }
        for connection in self.connections.sweep_idle(now) {
            actions.push(Action::Close { connection });
        }
    }
}
