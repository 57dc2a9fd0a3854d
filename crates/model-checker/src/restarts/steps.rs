//! The steps that are possible in a state, and their effects.

use super::state::{key, Execution, Node};
use super::{RestartBounds, Step};
use crate::model::{ticks, Model, TICK};
use crate::shell::ConnectionActivity;
use shaletide_balancer::GiveUpReason;
use shaletide_engine::{AttemptState, Event, RequestState};
use shaletide_record as record;
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;

impl Node {
    /// Takes a step, and lets engine and recorder handle all events that result from it.
    pub(super) fn apply(&mut self, bounds: &RestartBounds, model: &Model, step: Step) {
        match step {
            Step::Ask => self.ask(bounds),
            Step::Leave(request) => self.disconnect_client(bounds, request),
            Step::Dispatch(request, backend) => self.dispatch(bounds, request, backend),
            Step::Fail(request) => {
                let (retry_after, reason) = (Micros(0), GiveUpReason::OutOfTime);
                self.run_policy_action(bounds, pools::Action::Fail { request, retry_after, reason });
            }
            Step::Cancel(request, attempt) => {
                self.run_policy_action(bounds, pools::Action::Cancel { request, attempt });
            }
            Step::Commit => self.commit(bounds),
            Step::Tell => self.deliver_results(bounds),
            Step::StoreFails(on_record) => self.store_fails(on_record),
            Step::StoreBack => {
                self.down = false;
                self.undelivered.push_back(vec![record::Event::StoreUp]);
            }
            Step::Up(place) => self.connection_up(place),
            Step::ConnectFailed(place) => self.connect_failed(place),
            Step::Written(place) => self.request_written(place),
            Step::Answered(place, class) => self.response_received(place, class),
            Step::Ended(place) => self.connection_ended(place),
            Step::Unfit(place) => self.connection_unusable(place),
            Step::Closed(place, written) => self.close_completed(place, written),
            Step::Resolve(ran) => self.resolve(bounds, ran),
            Step::Tick => {
                self.remaining.ticks -= 1;
                self.now = self.now + TICK;
            }
            Step::Wake => {
                self.record(bounds, record::Event::Wake);
                self.events.push_back(Event::Wake);
            }
            Step::Kill => self.kill(bounds, model),
        }
        self.drain(bounds);
        self.close_idle_connections(bounds);
    }

    fn disconnect_client(&mut self, bounds: &RestartBounds, request: RequestId) {
        self.events.push_back(Event::ClientDisconnected { request });
        self.drain(bounds);
        let ending = record::RequestEnding::ClientDisconnected;
        self.record(bounds, record::Event::RequestEnded { request, ending });
    }

    fn dispatch(&mut self, bounds: &RestartBounds, request: RequestId, backend: u8) {
        let next = self.engine.requests().get(&request).map_or(0, |r| r.attempts.len() as u32);
        let attempt = AttemptNumber(next);
        let backend = BackendId(u32::from(backend));
        self.run_policy_action(bounds, pools::Action::Dispatch { request, attempt, backend, start_by: None });
    }

    fn run_policy_action(&mut self, bounds: &RestartBounds, action: pools::Action) {
        let mut out = Vec::new();
        self.engine.apply_policy_action(self.now, action, &mut out);
        self.run_engine_actions(bounds, out);
    }

    fn deliver_results(&mut self, bounds: &RestartBounds) {
        for event in self.undelivered.pop_front().unwrap_or_default() {
            self.record(bounds, event);
            self.drain(bounds);
        }
    }

    fn connection_at(&self, place: u8) -> ConnectionId {
        self.shell.connections[usize::from(place)].0
    }

    fn connection_up(&mut self, place: u8) {
        let connection = self.connection_at(place);
        self.shell.set(connection, ConnectionActivity::Idle);
        self.events.push_back(Event::Connected { connection });
    }

    fn connect_failed(&mut self, place: u8) {
        let connection = self.connection_at(place);
        self.shell.drop_connection(connection);
        self.events.push_back(Event::ConnectFailed { connection, backend_at_fault: true });
    }

    fn request_written(&mut self, place: u8) {
        let connection = self.connection_at(place);
        let activity = self.shell.connections.get_mut(usize::from(place));
        if let Some((_, ConnectionActivity::Busy { written, .. })) = activity {
            *written = true;
        }
        self.events.push_back(Event::RequestWritten { connection });
    }

    fn response_received(&mut self, place: u8, class: u8) {
        let (class, execution) = match class {
            0 => (ResponseClass::Served, Execution::Executed),
            1 => (ResponseClass::NotExecuted, Execution::NotExecuted),
            _ => (ResponseClass::Error, Execution::Unknown),
        };
        let connection = self.connection_at(place);
        self.execution(connection, execution);
        self.shell.drop_connection(connection);
        self.events.push_back(Event::ResponseReceived {
            connection,
            class,
            reusable: false,
            has_excess_bytes: false,
        });
    }

    fn connection_ended(&mut self, place: u8) {
        let (connection, activity) = self.shell.connections[usize::from(place)];
        if matches!(activity, ConnectionActivity::Busy { written: false, .. }) {
            self.execution(connection, Execution::NotExecuted);
        }
        self.shell.drop_connection(connection);
        self.events.push_back(Event::ConnectionClosed { connection });
    }

    fn connection_unusable(&mut self, place: u8) {
        let connection = self.connection_at(place);
        self.execution(connection, Execution::NotExecuted);
        self.shell.drop_connection(connection);
        self.events.push_back(Event::ConnectionUnusable { connection });
    }

    fn close_completed(&mut self, place: u8, written: bool) {
        let (connection, activity) = self.shell.connections[usize::from(place)];
        let written = written || matches!(activity, ConnectionActivity::Busy { written: true, .. });
        if !written {
            self.execution(connection, Execution::NotExecuted);
        }
        self.shell.drop_connection(connection);
        self.events.push_back(Event::CloseCompleted { connection, written });
    }

    fn resolve(&mut self, bounds: &RestartBounds, ran: bool) {
        self.remaining.resolves -= 1;
        let execution = if ran { Execution::Executed } else { Execution::NotExecuted };
        for sent in self.sent.iter_mut().filter(|sent| sent.execution == Execution::Unknown) {
            sent.execution = execution;
        }
        let reply = record::ReplyId(1);
        let (by, note) = (String::new(), String::new());
        self.record(bounds, record::Event::Resolve { reply, key: key(), ran, by, note });
    }

    /// Closes idle connections: the model uses each connection once.
    fn close_idle_connections(&mut self, bounds: &RestartBounds) {
        let idle =
            |node: &Node| node.shell.connections.iter().find(|l| l.1 == ConnectionActivity::Idle).copied();
        while let Some((connection, _)) = idle(self) {
            self.shell.drop_connection(connection);
            self.events.push_back(Event::ConnectionUnusable { connection });
            self.drain(bounds);
        }
    }

    /// Replaces the contents of `out` by the steps that are possible, in a fixed order.
    pub(super) fn steps(&self, bounds: &RestartBounds, out: &mut Vec<Step>) {
        out.clear();
        if self.remaining.asks > 0 {
            out.push(Step::Ask);
        }
        for (id, r) in self.engine.requests() {
            if r.state != RequestState::Open {
                continue;
            }
            out.extend([Step::Leave(*id), Step::Fail(*id)]);
            if r.attempts.len() < usize::from(bounds.attempts) && !r.has_attempt_in_flight() {
                out.extend((0..bounds.backends).map(|to| Step::Dispatch(*id, to)));
            }
            let cancellable = r.attempts.iter().enumerate();
            let cancellable = cancellable
                .filter(|(_, t)| t.is_in_flight() && !matches!(t.state, AttemptState::Cancelling(..)));
            out.extend(cancellable.map(|(no, _)| Step::Cancel(*id, AttemptNumber(no as u32))));
        }
        if !self.queue.is_empty() && !self.down {
            out.push(Step::Commit);
        }
        if !self.undelivered.is_empty() {
            out.push(Step::Tell);
        }
        if self.down {
            out.push(Step::StoreBack);
        } else if self.remaining.failures > 0 && !self.queue.is_empty() {
            out.extend((0..=self.queue.len() as u8).map(Step::StoreFails));
        }
        self.connection_steps(out);
        // An operator checks with the backends before resolving a key, and only resolves one without a request in flight.
        let busy = !self.shell.connections.is_empty() || !self.engine.requests().is_empty();
        let ran = self.sent.iter().any(|s| s.execution == Execution::Executed);
        if self.remaining.resolves > 0 && !busy && !self.down && self.recorder.unsettled() > 0 {
            if !ran {
                out.push(Step::Resolve(false));
            }
            if self.sent.iter().any(|s| s.execution != Execution::NotExecuted) {
                out.push(Step::Resolve(true));
            }
        }
        let due = [self.engine.wake_at(), self.recorder.wake_at()].into_iter().flatten().min();
        if let Some(due) = due {
            if due <= self.now {
                out.push(Step::Wake);
            } else if self.remaining.ticks > 0 && due <= self.now + ticks(2) {
                out.push(Step::Tick);
            }
        }
        if self.remaining.restarts > 0 {
            out.push(Step::Kill);
        }
    }

    fn connection_steps(&self, out: &mut Vec<Step>) {
        for (place, (_, activity)) in self.shell.connections.iter().enumerate() {
            let place = place as u8;
            match activity {
                ConnectionActivity::Opening => out.extend([Step::Up(place), Step::ConnectFailed(place)]),
                ConnectionActivity::Idle => {}
                // The shell closes a connection at once when asked to, and reports whether the last byte was written.
                ConnectionActivity::Busy { written, closing: true, .. } => {
                    out.push(Step::Closed(place, true));
                    if !written {
                        out.push(Step::Closed(place, false));
                    }
                }
                ConnectionActivity::Busy { written, .. } => {
                    out.push(Step::Ended(place));
                    match written {
                        true => out.extend((0..3).map(|class| Step::Answered(place, class))),
                        false => out.extend([Step::Written(place), Step::Unfit(place)]),
                    }
                }
            }
        }
    }
}
