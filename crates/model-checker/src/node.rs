//! A state of a world, and what a move makes of it.

use crate::moves::{After, Move};
use crate::shell::{ConnectionActivity, Shell};
use crate::world::{World, TICK};
use shaletide_balancer::{Arrival, GiveUpReason};
use shaletide_engine::monitor::{Monitor, Rule, Verdict, Violation};
use shaletide_engine::{Action, ConnectionState, Engine, Event, Policy, RequestSpec};
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;
use std::rc::Rc;

/// In place of the decision module: it asks for nothing by itself. What it could ask for at any step are moves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Chooser;

impl Policy for Chooser {
    fn handle(&mut self, _now: Time, _event: pools::Event, _asks: &mut Vec<pools::Action>) {}
}

/// What the engine is told or asked in a move.
#[derive(Clone, Debug)]
pub enum Input {
    /// By the shell.
    Event(Event),
    /// By the chooser.
    Ask(pools::Action),
}

/// The engine, the monitors and the world around them.
#[derive(Clone, Debug)]
pub struct Node<P> {
    /// The time.
    pub now: Time,
    /// What is explored.
    pub engine: Engine<P>,
    /// What watches it.
    pub monitor: Monitor,
    /// The world around it.
    pub shell: Shell,
}

/// When a world begins; nothing may depend on it.
const START: Time = Time(1_000_000);

impl Node<Chooser> {
    /// As a world begins, under the chooser.
    pub fn start(world: &World) -> Node<Chooser> {
        Node::with(world, Chooser)
    }
}

impl<P: Policy> Node<P> {
    /// As a world begins: the lists are told, and nothing else.
    pub fn with(world: &World, policy: P) -> Node<P> {
        let mut engine = Engine::new(policy, world.keeping);
        engine.configure(world.keeping, world.cancel, world.one_realm.then_some(0));
        let (monitor, shell) = (Monitor::new(world.rules()), Shell::new(world));
        let mut node = Node { now: START, engine, monitor, shell };
        for pool in 0..world.pools() {
            let told = node.whole(PoolId(u32::from(pool)));
            node.put(told, &mut |_, _| {}).expect("a list breaks no rule");
        }
        if world.at_once {
            for id in std::mem::take(&mut node.shell.to_come) {
                let told = node.order(world, id);
                node.put(told, &mut |_, _| {}).expect("a request breaks no rule");
            }
        }
        node
    }

    /// Makes a move. `tell` hears each input and what the engine did.
    ///
    /// # Errors
    /// The rule that is broken by it.
    pub fn go(&mut self, world: &World, step: Move, tell: &mut dyn FnMut(&Input, &[Action])) -> Verdict {
        let mut verdict = Ok(());
        for input in self.inputs(world, step) {
            let next = self.put(input, tell);
            verdict = verdict.and(next);
        }
        if !world.reuses() {
            verdict = verdict.and(self.sweep());
        }
        // A word from the store on what the engine has forgotten changes nothing.
        let known = self.engine.requests();
        self.shell.permits.retain(|p| known.contains_key(&p.request));
        verdict
    }

    /// The rules on what is kept, and on what is left when all is quiet.
    ///
    /// # Errors
    /// The one that is broken.
    pub fn check(&self) -> Verdict {
        if !self.engine.has_no_pending_events() {
            let description = "something waits inside the engine".to_string();
            return Err(Violation { rule: Rule::NoLeftovers, at: self.now, description });
        }
        self.monitor.check_leftovers(self.now, &self.engine)?;
        if self.engine.wake_at().is_none() && !self.shell.is_busy() {
            self.monitor.check_quiescent(self.now)?;
        }
        Ok(())
    }

    fn put(&mut self, input: Input, tell: &mut dyn FnMut(&Input, &[Action])) -> Verdict {
        let mut out = Vec::new();
        let verdict = match &input {
            Input::Event(event) => {
                self.before(event);
                let seen = self.monitor.observe_event(self.now, event);
                self.engine.handle(self.now, event.clone(), &mut out);
                seen
            }
            Input::Ask(ask) => {
                self.engine.apply_policy_action(self.now, ask.clone(), &mut out);
                Ok(())
            }
        };
        let acted = self.monitor.observe_step(self.now, None, &out);
        out.iter().for_each(|action| self.shell.carry_out(action));
        tell(&input, &out);
        verdict.and(acted)
    }

    /// Where nothing is used again, a connection that no attempt waits for can do no more than come to nothing, and
    /// does so at once: no order of that against anything else differs in what can be seen. Deadlines that are due
    /// are not touched.
    fn sweep(&mut self) -> Verdict {
        let unwanted =
            self.engine.connections().filter(|c| c.2 == ConnectionState::Connecting(None)).map(|c| c.0);
        let unwanted: Vec<ConnectionId> = unwanted.collect();
        for connection in unwanted {
            self.put(
                Input::Event(Event::ConnectFailed { connection, backend_at_fault: false }),
                &mut |_, _| {},
            )?;
        }
        while let Some((connection, _)) = self.shell.lines.iter().find(|l| l.1 == ConnectionActivity::Idle) {
            let unfit = Event::ConnectionUnusable { connection: *connection };
            self.put(Input::Event(unfit), &mut |_, _| {})?;
        }
        let idle = self.engine.idle_sweep_at().is_some_and(|at| at <= self.now);
        let due = self.engine.deadlines().first().is_some_and(|d| d.0 <= self.now);
        if idle && !due {
            return self.put(Input::Event(Event::Wake), &mut |_, _| {});
        }
        Ok(())
    }

    /// What the world knows of an event before the engine does.
    fn before(&mut self, event: &Event) {
        match event {
            Event::Connected { connection } => self.shell.set(*connection, ConnectionActivity::Idle),
            Event::RequestWritten { connection } => {
                if let Some((_, ConnectionActivity::Busy { written, .. })) =
                    self.shell.lines.iter_mut().find(|l| l.0 == *connection)
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
        self.shell.lines.iter().find(|l| l.0 == connection).map(|l| l.1)
    }

    fn whole(&self, pool: PoolId) -> Input {
        let backends = self.shell.rows(pool, None);
        Input::Event(Event::EndpointsUpdated { pool, update: EndpointUpdate::Snapshot, backends })
    }

    fn row(&self, id: u8) -> Input {
        let (pool, row) = (self.shell.boxes[usize::from(id)].pool, self.shell.row(usize::from(id)));
        Input::Event(Event::EndpointsUpdated { pool, update: EndpointUpdate::Delta, backends: vec![row] })
    }

    fn order(&self, world: &World, id: RequestId) -> Input {
        let kind = &world.requests[id.0 as usize];
        let arrival = Arrival {
            request: id,
            class: ClassId(kind.class),
            tenant: None,
            time_left: crate::world::ticks(kind.time_left),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let route: Rc<[PoolId]> = (0..u32::from(world.pools())).map(PoolId).collect();
        let order = RequestSpec {
            arrival,
            idempotency: kind.effect,
            pools: route,
            requires_intent: kind.permit,
            recorded: kind.permit,
        };
        Input::Event(Event::Request(order))
    }

    /// What a move tells the engine; what it changes in the world besides is done here.
    fn inputs(&mut self, world: &World, step: Move) -> Vec<Input> {
        let request = |id: u8| RequestId(u64::from(id));
        match step {
            Move::Arrive(id) => {
                self.shell.to_come.retain(|r| *r != request(id));
                vec![self.order(world, request(id))]
            }
            Move::Leave(id) => {
                self.shell.left.leaves -= 1;
                vec![Input::Event(Event::ClientDisconnected { request: request(id) })]
            }
            Move::Stop => {
                self.shell.left.stops -= 1;
                self.shell.to_come.clear();
                Vec::new()
            }
            Move::Wake => vec![Input::Event(Event::Wake)],
            Move::Tick => {
                self.now = self.now + TICK;
                Vec::new()
            }
            Move::Dispatch(..)
            | Move::DispatchNow(..)
            | Move::Misnumber(..)
            | Move::Refuse(_)
            | Move::Fail(_)
            | Move::Cancel(..) => vec![Input::Ask(self.ask(step))],
            Move::Permit(place, given) => {
                let p = self.shell.permits.remove(usize::from(place));
                let (request, attempt) = (p.request, p.attempt);
                vec![Input::Event(Event::IntentPersisted { request, attempt, persisted: given })]
            }
            Move::Up(_)
            | Move::ConnectFailed(..)
            | Move::Written(_)
            | Move::Answered(..)
            | Move::InvalidResponse(_)
            | Move::Ended(_)
            | Move::Unfit(_)
            | Move::Closed(..) => vec![Input::Event(self.on_line(step))],
            _ => self.news(step),
        }
    }

    fn ask(&self, step: Move) -> pools::Action {
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
        // Advice is rounded up to whole seconds, beyond any window here.
        let retry_after = Micros(0);
        let reason = GiveUpReason::OutOfTime; // it decides nothing
        match step {
            Move::Dispatch(id, to) => dispatch(id, to, next(id), None),
            Move::DispatchNow(id, to) => dispatch(id, to, next(id), Some(self.now + TICK)),
            Move::Misnumber(id, to) => dispatch(id, to, next(id) + 1, None),
            Move::Refuse(id) => pools::Action::Reject { request: request(id), retry_after, reason },
            Move::Fail(id) => pools::Action::Fail { request: request(id), retry_after, reason },
            Move::Cancel(id, no) => {
                pools::Action::Cancel { request: request(id), attempt: AttemptNumber(u32::from(no)) }
            }
            other => unreachable!("{other:?} is none of the chooser's"),
        }
    }

    fn on_line(&self, step: Move) -> Event {
        let connection = |place: u8| self.shell.lines[usize::from(place)].0;
        match step {
            Move::Up(place) => Event::Connected { connection: connection(place) },
            Move::ConnectFailed(place, blame) => {
                Event::ConnectFailed { connection: connection(place), backend_at_fault: blame }
            }
            Move::Written(place) => Event::RequestWritten { connection: connection(place) },
            Move::Answered(place, verdict, after) => {
                let verdict = [ResponseClass::Served, ResponseClass::NotExecuted, ResponseClass::Error]
                    [usize::from(verdict)];
                let (keep, behind) = (after != After::Close, after == After::Behind);
                Event::ResponseReceived {
                    connection: connection(place),
                    class: verdict,
                    reusable: keep,
                    has_excess_bytes: behind,
                }
            }
            Move::InvalidResponse(place) => Event::InvalidResponse { connection: connection(place) },
            Move::Ended(place) => Event::ConnectionClosed { connection: connection(place) },
            Move::Unfit(place) => Event::ConnectionUnusable { connection: connection(place) },
            Move::Closed(place, written) => {
                let connection = connection(place);
                let gone =
                    matches!(self.activity(connection), Some(ConnectionActivity::Busy { written: true, .. }));
                Event::CloseCompleted { connection, written: written || gone }
            }
            other => unreachable!("{other:?} is on no connection"),
        }
    }

    /// News of the lists, as a directory would tell it.
    fn news(&mut self, step: Move) -> Vec<Input> {
        let pool = |pool: u8| PoolId(u32::from(pool));
        let left = &mut self.shell.left;
        let boxes = &mut self.shell.boxes;
        match step {
            Move::Drain(id) => {
                left.drains -= 1;
                boxes[usize::from(id)].state = BackendState::Draining;
                vec![self.row(id)]
            }
            Move::Gone(id) => {
                left.gone -= 1;
                boxes[usize::from(id)].state = BackendState::Gone;
                vec![self.row(id)]
            }
            Move::Return(id) => {
                left.returns -= 1;
                boxes[usize::from(id)].state = BackendState::Ready;
                boxes[usize::from(id)].booted = Some(self.now);
                vec![self.row(id)]
            }
            Move::WholeBut(id) => {
                left.wholes -= 1;
                self.shell.lost = false;
                boxes[usize::from(id)].state = BackendState::Gone;
                let of = boxes[usize::from(id)].pool;
                vec![self.whole(of)]
            }
            Move::Whole(of) => {
                left.wholes -= 1;
                self.shell.lost = false;
                vec![self.whole(pool(of))]
            }
            Move::Lose(of) => {
                left.losses -= 1;
                self.shell.lost = true;
                let (pool, update) = (pool(of), EndpointUpdate::SubscriptionLost);
                vec![Input::Event(Event::EndpointsUpdated { pool, update, backends: Vec::new() })]
            }
            Move::Readdress(id) => {
                left.readdressed -= 1;
                let backend = BackendId(u32::from(id));
                vec![self.row(id), Input::Event(Event::AddressChanged { backend })]
            }
            Move::Regroup(id) => {
                left.regrouped -= 1;
                boxes[usize::from(id)].cell.0 += 100;
                vec![self.row(id)]
            }
            Move::Shift(id, to) => {
                left.moves -= 1;
                let from = boxes[usize::from(id)].pool;
                let (backend, to) = (BackendId(u32::from(id)), pool(to));
                let row = BackendEntry { state: BackendState::Gone, ..self.shell.row(usize::from(id)) };
                self.shell.boxes[usize::from(id)].pool = to;
                let (update, backends) = (EndpointUpdate::Delta, vec![row]);
                let gone = Event::EndpointsUpdated { pool: from, update, backends };
                let moved = Event::BackendMoved { backend, from, to };
                vec![Input::Event(moved), Input::Event(gone), self.row(id)]
            }
            Move::ClosePool(of) => {
                left.closes -= 1;
                let of = pool(of);
                let here = boxes.iter_mut().filter(|b| b.pool == of);
                here.for_each(|b| b.state = BackendState::Gone);
                vec![Input::Event(Event::PoolClosed { pool: of })]
            }
            other => unreachable!("{other:?} is no news"),
        }
    }
}
