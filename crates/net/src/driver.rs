//! The driver: the sole owner of the engine. Passes events to the engine, executes the actions that the engine returns,
//! and owns the sockets, the payloads of requests and the timer that these need. All decisions are the engine's.
//!
//! | Module | Concern |
//! |---|---|
//! | `setup` | configuration of pools at startup and at a reload |
//! | `endpoints` | endpoint lists, passed on to the engine, the record and the log |
//! | `requests` | open requests, from [`Driver::submit`] to their final response |
//! | `attempts` | connections to backends and the attempts on them |
//! | `timers` | the engine's timer and the sweep of idle connections |
//! | `recording` | events of requests and attempts, passed on to the record |
//! | `invariants` | the self-check of the engine's invariants |
//! | `counters` | the counters of the periodic report |
//!
//! The driver runs on a single thread. An action may cause further events; they are queued in `State::pending_events` and
//! handled after the actions of the current event, so that no borrow of the state lasts across a call of the engine.

mod attempts;
mod counters;
mod endpoints;
mod invariants;
mod recording;
mod requests;
mod setup;
#[cfg(test)]
mod tests;
mod timers;

pub use attempts::UpstreamConfig;
pub use requests::{FinalResponse, SubmitError};
pub use setup::PoolSetup;

use crate::clock::Clock;
use crate::connection_table::ConnectionTable;
use crate::io_error::SystemErrors;
use crate::recording::RequestRecorder;
use attempts::Dispatch;
use counters::Counters;
use endpoints::EndpointLists;
use invariants::InvariantChecker;
use requests::OpenRequest;
use shaletide_engine::{Action, Engine, Event};
use shaletide_membership::Directory;
use shaletide_routing::Pools;
use shaletide_types::{RequestId, Time};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use timers::EngineTimer;
use tracing::info;

/// Runs the engine on this thread's event loop.
///
/// Invariant: events are handled one at a time, each with all its actions, in the order of their arrival.
pub struct Driver {
    state: RefCell<State>,
    /// The source of all times that are passed to the engine.
    pub clock: Clock,
    upstream_config: Cell<UpstreamConfig>,
    timer: EngineTimer,
    /// Counts of failed system calls, by call and error.
    pub system_errors: SystemErrors,
}

/// The state that the driver's modules share. Borrowed for a single step, never across an await or an action.
struct State {
    engine: Engine<Pools>,
    directory: Directory,
    endpoint_lists: EndpointLists,
    /// The number of the request that was submitted last. The first request has number 1.
    last_request_id: u64,
    /// Requests without a final response yet.
    open_requests: HashMap<RequestId, OpenRequest>,
    connections: ConnectionTable,
    /// Events that the engine has not handled yet.
    pending_events: VecDeque<Event>,
    /// Whether [`Driver::handle_event`] is running. It also handles the events that are queued meanwhile.
    dispatching: bool,
    /// An empty buffer, reused to avoid an allocation for each event.
    action_buffer: Vec<Action>,
    /// The self-check, if it is enabled.
    checker: Option<InvariantChecker>,
    /// The record of requests, if one is configured.
    recorder: Option<Rc<dyn RequestRecorder>>,
    counters: Counters,
}

impl State {
    fn new(config: &UpstreamConfig) -> State {
        State {
            engine: Engine::new(Pools::new(), config.connection_limits()),
            directory: Directory::default(),
            endpoint_lists: EndpointLists::default(),
            last_request_id: 0,
            open_requests: HashMap::new(),
            connections: ConnectionTable::default(),
            pending_events: VecDeque::new(),
            dispatching: false,
            action_buffer: Vec::new(),
            checker: None,
            recorder: None,
            counters: Counters::default(),
        }
    }

    /// Lets the engine handle the next pending event. Returns the actions to execute, or `None` if no event is pending.
    fn handle_next_event(&mut self, clock: &Clock) -> Option<Vec<Action>> {
        let Some(mut event) = self.pending_events.pop_front() else {
            self.dispatching = false;
            return None;
        };
        let now = clock.now();
        self.set_time_left(now, &mut event);
        let mut actions = std::mem::take(&mut self.action_buffer);
        match &mut self.checker {
            None => self.engine.handle(now, event, &mut actions),
            Some(checker) => checker.handle(now, event, &mut self.engine, &mut actions),
        }
        Some(actions)
    }

    /// Computes the time left of a new request from the same clock reading that is passed to the engine, so that its
    /// deadline does not move, however late the clock is read.
    fn set_time_left(&self, now: Time, event: &mut Event) {
        let Event::Request(spec) = event else { return };
        if let Some(open) = self.open_requests.get(&spec.arrival.request) {
            spec.arrival.time_left = open.deadline - now;
        }
    }
}

impl Driver {
    /// Returns a driver without pools. [`Driver::setup`] adds them.
    pub fn new(clock: Clock, config: UpstreamConfig) -> Rc<Driver> {
        Rc::new(Driver {
            state: RefCell::new(State::new(&config)),
            clock,
            upstream_config: Cell::new(config),
            timer: EngineTimer::default(),
            system_errors: SystemErrors::default(),
        })
    }

    /// Lets the engine handle an event, and executes the resulting actions and the events that follow from them. A nested
    /// call, made while an action is executed, only queues the event: the outer call handles it.
    fn handle_event(self: &Rc<Self>, event: Event) {
        {
            let mut state = self.state.borrow_mut();
            state.pending_events.push_back(event);
            let is_nested = std::mem::replace(&mut state.dispatching, true);
            if is_nested {
                return;
            }
        }
        loop {
            let next = self.state.borrow_mut().handle_next_event(&self.clock);
            let Some(mut actions) = next else { break };
            for action in actions.drain(..) {
                self.execute_action(action);
            }
            self.state.borrow_mut().action_buffer = actions;
        }
        let wake_at = self.state.borrow().engine.wake_at();
        self.timer.notify_if_earlier(wake_at);
    }

    fn execute_action(self: &Rc<Self>, action: Action) {
        match action {
            Action::Connect { connection, backend, repeat_of } => {
                self.connect(connection, backend, repeat_of)
            }
            Action::Send {
                connection,
                request,
                attempt,
                deadline,
                write_deadline,
                requires_live_path,
                discard_on_close,
            } => {
                self.record_attempt_without_intent(request, attempt);
                self.dispatch(Dispatch {
                    connection,
                    request,
                    attempt,
                    deadline,
                    write_deadline,
                    requires_live_path,
                    discard_on_close,
                });
            }
            Action::Close { connection } => self.close(connection),
            Action::GivenUp { request, reason } => self.trace_given_up(request, reason),
            Action::Answer { request, answer, last_attempt } => self.answer(request, answer, last_attempt),
            Action::PersistIntent { request, attempt } => self.record_intent(request, attempt),
            Action::WithdrawIntent { request, attempt } => {
                self.record_event(shaletide_record::Event::IntentWithdrawn { request, attempt });
            }
            Action::AttemptEnded { request, attempt, outcome } => {
                self.record_event(shaletide_record::Event::AttemptEnded { request, attempt, outcome });
            }
            Action::Subscribe { pool } => self.state.borrow_mut().endpoint_lists.request_poll(pool),
            Action::Log { pool, text } => info!("pool {}: {text}", self.pool_name(pool)),
        }
    }
}
