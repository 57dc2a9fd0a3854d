//! A state of a model, and the effect of a transition on it.

use crate::model::{Model, TICK};
use crate::shell::{ConnectionActivity, Shell};
use crate::transitions::{AfterResponse, Transition};
use shaletide_balancer::{Arrival, GiveUpReason};
use shaletide_engine::monitor::{Monitor, Rule, Verdict, Violation};
use shaletide_engine::{Action, ConnectionState, Engine, Event, Policy, RequestSpec};
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;
use std::rc::Rc;

/// The policy that replaces the decision module. It requests nothing by itself: the policy actions that are possible at a
/// step are transitions of the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Chooser;

impl Policy for Chooser {
    fn handle(&mut self, _now: Time, _event: pools::Event, _actions: &mut Vec<pools::Action>) {}
}

/// An input of the engine in a transition.
#[derive(Clone, Debug)]
pub enum Input {
    /// An event from the shell.
    Event(Event),
    /// A policy action of the chooser.
    PolicyAction(pools::Action),
}

/// A node of the state graph: the engine, the monitors and their environment.
#[derive(Clone, Debug)]
pub struct Node<P> {
    /// The current time.
    pub now: Time,
    /// The engine that is explored.
    pub engine: Engine<P>,
    /// The monitors that check its invariants.
    pub monitor: Monitor,
    /// The environment of the engine.
    pub shell: Shell,
}

/// The initial time of every model; no result may depend on it.
const START: Time = Time(1_000_000);

impl Node<Chooser> {
    /// Returns the initial state of a model, with the chooser as the policy.
    pub fn start(model: &Model) -> Node<Chooser> {
        Node::with_policy(model, Chooser)
    }
}

impl<P: Policy> Node<P> {
    /// Returns the initial state of a model: the endpoint lists have arrived, and the requests as well if the model has them
    /// at the start.
    pub fn with_policy(model: &Model, policy: P) -> Node<P> {
        let mut engine = Engine::new(policy, model.connection_limits);
        engine.configure(model.connection_limits, model.can_cancel, model.single_domain.then_some(0));
        let (monitor, shell) = (Monitor::new(model.rules()), Shell::new(model));
        let mut node = Node { now: START, engine, monitor, shell };
        for pool in 0..model.pools() {
            let initial_input = node.snapshot_input(PoolId(u32::from(pool)));
            node.feed(initial_input, &mut |_, _| {}).expect("an endpoint list violates no invariant");
        }
        if model.requests_at_start {
            for id in std::mem::take(&mut node.shell.not_arrived) {
                let initial_input = node.request_input(model, id);
                node.feed(initial_input, &mut |_, _| {}).expect("a request violates no invariant");
            }
        }
        node
    }

    /// Takes a transition. `observer` receives each input and the resulting actions of the engine.
    ///
    /// # Errors
    /// The first violation that it causes.
    pub fn apply(
        &mut self, model: &Model, step: Transition, observer: &mut dyn FnMut(&Input, &[Action]),
    ) -> Verdict {
        let mut verdict = Ok(());
        for input in self.inputs(model, step) {
            let next = self.feed(input, observer);
            verdict = verdict.and(next);
        }
        if !model.reuses() {
            verdict = verdict.and(self.close_unneeded_connections());
        }
        // The result of the store for a request that the engine has removed has no effect.
        let known = self.engine.requests();
        self.shell.pending_intents.retain(|p| known.contains_key(&p.request));
        verdict
    }

    /// Checks the invariants on the state that the engine keeps, and on the state that is left when nothing is pending.
    ///
    /// # Errors
    /// The first violation.
    pub fn check(&self) -> Verdict {
        if !self.engine.has_no_pending_events() {
            let description = "events are pending inside the engine".to_string();
            return Err(Violation { rule: Rule::NoLeftovers, at: self.now, description });
        }
        self.monitor.check_leftovers(self.now, &self.engine)?;
        if self.engine.wake_at().is_none() && !self.shell.is_busy() {
            self.monitor.check_quiescent(self.now)?;
        }
        Ok(())
    }

    fn feed(&mut self, input: Input, observer: &mut dyn FnMut(&Input, &[Action])) -> Verdict {
        let mut out = Vec::new();
        let verdict = match &input {
            Input::Event(event) => {
                self.update_shell(event);
                let event_verdict = self.monitor.observe_event(self.now, event);
                self.engine.handle(self.now, event.clone(), &mut out);
                event_verdict
            }
            Input::PolicyAction(policy_action) => {
                self.engine.apply_policy_action(self.now, policy_action.clone(), &mut out);
                Ok(())
            }
        };
        let action_verdict = self.monitor.observe_step(self.now, None, &out);
        out.iter().for_each(|action| self.shell.carry_out(action));
        observer(&input, &out);
        verdict.and(action_verdict)
    }

    /// Closes the connections that no attempt uses, in models that do not reuse connections. Such a connection has no other
    /// future, and the order of its end relative to other events makes no observable difference, so it ends at once. The
    /// engine is not woken for this while a request deadline is due.
    fn close_unneeded_connections(&mut self) -> Verdict {
        let unused =
            self.engine.connections().filter(|c| c.2 == ConnectionState::Connecting(None)).map(|c| c.0);
        let unused: Vec<ConnectionId> = unused.collect();
        for connection in unused {
            self.feed(
                Input::Event(Event::ConnectFailed { connection, backend_at_fault: false }),
                &mut |_, _| {},
            )?;
        }
        while let Some((connection, _)) =
            self.shell.connections.iter().find(|l| l.1 == ConnectionActivity::Idle)
        {
            let unusable = Event::ConnectionUnusable { connection: *connection };
            self.feed(Input::Event(unusable), &mut |_, _| {})?;
        }
        let idle = self.engine.idle_sweep_at().is_some_and(|at| at <= self.now);
        let due = self.engine.deadlines().first().is_some_and(|d| d.0 <= self.now);
        if idle && !due {
            return self.feed(Input::Event(Event::Wake), &mut |_, _| {});
        }
        Ok(())
    }

    /// Updates the environment for an event before the engine handles it.
    fn update_shell(&mut self, event: &Event) {
        match event {
            Event::Connected { connection } => self.shell.set(*connection, ConnectionActivity::Idle),
            Event::RequestWritten { connection } => {
                if let Some((_, ConnectionActivity::Busy { written, .. })) =
                    self.shell.connections.iter_mut().find(|l| l.0 == *connection)
                {
                    *written = true;
                }
            }
            Event::ResponseReceived { connection, .. } => match self.activity(*connection) {
                Some(ConnectionActivity::Busy { closing: true, .. }) => {
                    self.shell.drop_connection(*connection)
                }
                _ => self.shell.set(*connection, ConnectionActivity::Idle),
            },
            Event::ConnectFailed { connection, .. }
            | Event::InvalidResponse { connection }
            | Event::ConnectionClosed { connection }
            | Event::ConnectionUnusable { connection }
            | Event::CloseCompleted { connection, .. } => self.shell.drop_connection(*connection),
            _ => {}
        }
    }

    fn activity(&self, connection: ConnectionId) -> Option<ConnectionActivity> {
        self.shell.connections.iter().find(|l| l.0 == connection).map(|l| l.1)
    }

    fn snapshot_input(&self, pool: PoolId) -> Input {
        let backends = self.shell.entries(pool, None);
        Input::Event(Event::EndpointsUpdated { pool, update: EndpointUpdate::Snapshot, backends })
    }

    fn delta_input(&self, id: u8) -> Input {
        let (pool, row) =
            (self.shell.listed_backends[usize::from(id)].pool, self.shell.entry(usize::from(id)));
        Input::Event(Event::EndpointsUpdated { pool, update: EndpointUpdate::Delta, backends: vec![row] })
    }

    fn request_input(&self, model: &Model, id: RequestId) -> Input {
        let kind = &model.requests[id.0 as usize];
        let arrival = Arrival {
            request: id,
            class: ClassId(kind.class),
            tenant: None,
            time_left: crate::model::ticks(kind.time_left),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let route: Rc<[PoolId]> = (0..u32::from(model.pools())).map(PoolId).collect();
        let order = RequestSpec {
            arrival,
            idempotency: kind.idempotency,
            pools: route,
            requires_intent: kind.requires_intent,
            recorded: kind.requires_intent,
        };
        Input::Event(Event::Request(order))
    }

    /// Returns the inputs that a transition has for the engine, and applies its other effects to the environment.
    fn inputs(&mut self, model: &Model, step: Transition) -> Vec<Input> {
        let request = |id: u8| RequestId(u64::from(id));
        match step {
            Transition::Arrive(id) => {
                self.shell.not_arrived.retain(|r| *r != request(id));
                vec![self.request_input(model, request(id))]
            }
            Transition::Leave(id) => {
                self.shell.remaining_events.disconnects -= 1;
                vec![Input::Event(Event::ClientDisconnected { request: request(id) })]
            }
            Transition::Stop => {
                self.shell.remaining_events.stops -= 1;
                self.shell.not_arrived.clear();
                Vec::new()
            }
            Transition::Wake => vec![Input::Event(Event::Wake)],
            Transition::Tick => {
                self.now = self.now + TICK;
                Vec::new()
            }
            Transition::Dispatch(..)
            | Transition::DispatchWithinTick(..)
            | Transition::DispatchOutOfOrder(..)
            | Transition::Refuse(_)
            | Transition::Fail(_)
            | Transition::Cancel(..) => vec![Input::PolicyAction(self.policy_action(step))],
            Transition::Permit(place, given) => {
                let p = self.shell.pending_intents.remove(usize::from(place));
                let (request, attempt) = (p.request, p.attempt);
                vec![Input::Event(Event::IntentPersisted { request, attempt, persisted: given })]
            }
            Transition::Up(_)
            | Transition::ConnectFailed(..)
            | Transition::Written(_)
            | Transition::Answered(..)
            | Transition::InvalidResponse(_)
            | Transition::Ended(_)
            | Transition::Unfit(_)
            | Transition::Closed(..) => vec![Input::Event(self.connection_event(step))],
            _ => self.list_inputs(step),
        }
    }

    fn policy_action(&self, step: Transition) -> pools::Action {
        let request = |id: u8| RequestId(u64::from(id));
        let next = |id: u8| self.engine.requests().get(&request(id)).map_or(0, |r| r.attempts.len() as u32);
        let dispatch = |id: u8, to: u8, attempt: u32, start_by: Option<Time>| {
            let backend = BackendId(u32::from(to));
            pools::Action::Dispatch {
                request: request(id),
                attempt: AttemptNumber(attempt),
                backend,
                start_by,
            }
        };
        // Retry advice is rounded up to whole seconds, longer than any window of the models.
        let retry_after = Micros(0);
        let reason = GiveUpReason::OutOfTime; // has no effect
        match step {
            Transition::Dispatch(id, to) => dispatch(id, to, next(id), None),
            Transition::DispatchWithinTick(id, to) => dispatch(id, to, next(id), Some(self.now + TICK)),
            Transition::DispatchOutOfOrder(id, to) => dispatch(id, to, next(id) + 1, None),
            Transition::Refuse(id) => pools::Action::Reject { request: request(id), retry_after, reason },
            Transition::Fail(id) => pools::Action::Fail { request: request(id), retry_after, reason },
            Transition::Cancel(id, no) => {
                pools::Action::Cancel { request: request(id), attempt: AttemptNumber(u32::from(no)) }
            }
            other => unreachable!("{other:?} is no policy action"),
        }
    }

    fn connection_event(&self, step: Transition) -> Event {
        let connection = |place: u8| self.shell.connections[usize::from(place)].0;
        match step {
            Transition::Up(place) => Event::Connected { connection: connection(place) },
            Transition::ConnectFailed(place, at_fault) => {
                Event::ConnectFailed { connection: connection(place), backend_at_fault: at_fault }
            }
            Transition::Written(place) => Event::RequestWritten { connection: connection(place) },
            Transition::Answered(place, verdict, after) => {
                let verdict = [ResponseClass::Served, ResponseClass::NotExecuted, ResponseClass::Error]
                    [usize::from(verdict)];
                let (keep, behind) = (after != AfterResponse::Close, after == AfterResponse::ExcessBytes);
                Event::ResponseReceived {
                    connection: connection(place),
                    class: verdict,
                    reusable: keep,
                    has_excess_bytes: behind,
                }
            }
            Transition::InvalidResponse(place) => Event::InvalidResponse { connection: connection(place) },
            Transition::Ended(place) => Event::ConnectionClosed { connection: connection(place) },
            Transition::Unfit(place) => Event::ConnectionUnusable { connection: connection(place) },
            Transition::Closed(place, written) => {
                let connection = connection(place);
                let gone =
                    matches!(self.activity(connection), Some(ConnectionActivity::Busy { written: true, .. }));
                Event::CloseCompleted { connection, written: written || gone }
            }
            other => unreachable!("{other:?} is no connection event"),
        }
    }

    /// Returns the inputs of a change of the endpoint lists, as discovery would deliver it.
    fn list_inputs(&mut self, step: Transition) -> Vec<Input> {
        let pool = |pool: u8| PoolId(u32::from(pool));
        let left = &mut self.shell.remaining_events;
        let listed_backends = &mut self.shell.listed_backends;
        match step {
            Transition::Drain(id) => {
                left.drains -= 1;
                listed_backends[usize::from(id)].state = BackendState::Draining;
                vec![self.delta_input(id)]
            }
            Transition::Gone(id) => {
                left.removals -= 1;
                listed_backends[usize::from(id)].state = BackendState::Gone;
                vec![self.delta_input(id)]
            }
            Transition::Return(id) => {
                left.returns -= 1;
                listed_backends[usize::from(id)].state = BackendState::Ready;
                listed_backends[usize::from(id)].started_at = Some(self.now);
                vec![self.delta_input(id)]
            }
            Transition::SnapshotWithout(id) => {
                left.snapshots -= 1;
                self.shell.subscription_lost = false;
                listed_backends[usize::from(id)].state = BackendState::Gone;
                let of = listed_backends[usize::from(id)].pool;
                vec![self.snapshot_input(of)]
            }
            Transition::FullSnapshot(of) => {
                left.snapshots -= 1;
                self.shell.subscription_lost = false;
                vec![self.snapshot_input(pool(of))]
            }
            Transition::LoseSubscription(of) => {
                left.subscription_losses -= 1;
                self.shell.subscription_lost = true;
                let (pool, update) = (pool(of), EndpointUpdate::SubscriptionLost);
                vec![Input::Event(Event::EndpointsUpdated { pool, update, backends: Vec::new() })]
            }
            Transition::ChangeAddress(id) => {
                left.address_changes -= 1;
                let backend = BackendId(u32::from(id));
                vec![self.delta_input(id), Input::Event(Event::AddressChanged { backend })]
            }
            Transition::ChangeGroup(id) => {
                left.group_changes -= 1;
                listed_backends[usize::from(id)].group.0 += 100;
                vec![self.delta_input(id)]
            }
            Transition::ChangePool(id, to) => {
                left.pool_moves -= 1;
                let from = listed_backends[usize::from(id)].pool;
                let (backend, to) = (BackendId(u32::from(id)), pool(to));
                let row = BackendEntry { state: BackendState::Gone, ..self.shell.entry(usize::from(id)) };
                self.shell.listed_backends[usize::from(id)].pool = to;
                let (update, backends) = (EndpointUpdate::Delta, vec![row]);
                let gone = Event::EndpointsUpdated { pool: from, update, backends };
                let moved = Event::BackendMoved { backend, from, to };
                vec![Input::Event(moved), Input::Event(gone), self.delta_input(id)]
            }
            Transition::ClosePool(of) => {
                left.pool_closes -= 1;
                let of = pool(of);
                let here = listed_backends.iter_mut().filter(|b| b.pool == of);
                here.for_each(|b| b.state = BackendState::Gone);
                vec![Input::Event(Event::PoolClosed { pool: of })]
            }
            other => unreachable!("{other:?} is no change of the endpoint lists"),
        }
    }
}
