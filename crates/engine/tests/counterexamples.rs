//! Counterexamples that the model checker found in the engine, each as a sequence of events.

use shaletide_balancer::{Arrival, GiveUpReason};
use shaletide_engine::{Action, ConnectionLimits, Engine, Event, FinalOutcome, Policy, RequestSpec};
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;
use std::rc::Rc;

/// A policy that makes no decisions and records the ends of attempts.
#[derive(Clone, Debug, Default)]
struct RecordingPolicy {
    ends: Vec<shaletide_balancer::AttemptEnd>,
}

impl Policy for RecordingPolicy {
    fn handle(&mut self, _now: Time, event: pools::Event, _actions: &mut Vec<pools::Action>) {
        if let pools::Event::AttemptEnded(end) = event {
            self.ends.push(end);
        }
    }
}

struct Script {
    engine: Engine<RecordingPolicy>,
    now: Time,
}

const KEYED: Idempotency = Idempotency::Keyed(DeduplicationScope::Group, Micros(2_000));

impl Script {
    fn new(cancel: bool) -> Script {
        let limits = ConnectionLimits {
            max_connections: 8,
            idle_timeout: Micros(100_000),
            reuse_delay: Micros(1_000),
        };
        let mut engine = Engine::new(RecordingPolicy::default(), limits);
        engine.configure(limits, cancel, None);
        let mut script = Script { engine, now: Time(1_000_000) };
        script.list(0, 0, BackendState::Ready);
        script
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        actions
    }

    fn apply(&mut self, action: pools::Action) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.apply_policy_action(self.now, action, &mut actions);
        actions
    }

    fn list(&mut self, id: u32, group: u64, state: BackendState) -> Vec<Action> {
        let backends = vec![BackendEntry {
            id: BackendId(id),
            deduplication_group: DeduplicationGroupId(group),
            state,
            ..BackendEntry::default()
        }];
        self.handle(Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Delta, backends })
    }

    fn request(&mut self, idempotency: Idempotency, requires_intent: bool) {
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(0),
            tenant: None,
            time_left: Micros(3_000),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let pools: Rc<[PoolId]> = Rc::new([PoolId(0)]);
        self.handle(Event::Request(RequestSpec {
            arrival,
            idempotency,
            pools,
            requires_intent,
            recorded: false,
        }));
    }

    fn dispatch(&mut self, attempt: u32) -> Vec<Action> {
        let (request, attempt, backend) = (RequestId(0), AttemptNumber(attempt), BackendId(0));
        self.apply(pools::Action::Dispatch { request, attempt, backend, start_by: None })
    }

    fn connect(&mut self, connection: u64) -> Vec<Action> {
        self.handle(Event::Connected { connection: ConnectionId(connection) })
    }

    fn respond(&mut self, connection: u64, verdict: ResponseClass, reusable: bool) -> Vec<Action> {
        self.handle(Event::ResponseReceived {
            connection: ConnectionId(connection),
            class: verdict,
            reusable,
            has_excess_bytes: false,
        })
    }
}

fn answer(answer: FinalOutcome) -> Action {
    Action::Answer { request: RequestId(0), answer, last_attempt: None }
}

fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

fn withdrawn(attempt: u32) -> Action {
    Action::WithdrawIntent { request: RequestId(0), attempt: AttemptNumber(attempt) }
}

/// Guards against starting an attempt under a number that is not the next one: the attempt was kept until the request
/// ended, and its intent was withdrawn under the other number.
#[test]
fn attempt_with_a_number_that_is_not_the_next_is_declined() {
    let mut s = Script::new(true);
    s.request(KEYED, true);
    assert_eq!(s.dispatch(1), []);
    assert_eq!(s.engine.requests()[&RequestId(0)].attempts, []);
    let ends = &s.engine.policy().ends;
    assert_eq!((ends.len(), ends[0].outcome, ends[0].request_answered), (1, Outcome::NotSent, false));
    assert!(matches!(s.dispatch(0)[..], [Action::PersistIntent { attempt: AttemptNumber(0), .. }]));
    assert_eq!(s.handle(Event::ClientDisconnected { request: RequestId(0) }), [withdrawn(0)]);
    assert!(s.engine.requests().is_empty());
}

/// Guards against an intent that is left open: when the connection was found unusable, no byte had been written, and the
/// intent was neither used nor withdrawn.
#[test]
fn intent_is_withdrawn_when_connection_is_unusable() {
    for drained in [false, true] {
        let mut s = Script::new(true);
        s.request(KEYED, true);
        s.dispatch(0);
        s.handle(Event::IntentPersisted {
            request: RequestId(0),
            attempt: AttemptNumber(0),
            persisted: true,
        });
        s.connect(0);
        let unusable = Event::ConnectionUnusable { connection: ConnectionId(0) };
        if drained {
            s.list(0, 0, BackendState::Draining);
            assert!(s.handle(unusable).contains(&withdrawn(0)), "the attempt cannot start again");
        } else {
            s.handle(Event::ClientDisconnected { request: RequestId(0) });
            assert!(s.handle(unusable).contains(&withdrawn(0)), "the attempt was cancelled meanwhile");
            assert!(s.engine.requests().is_empty());
        }
    }
}

/// Guards against a second execution in another deduplication group: both attempts were dispatched while the backend was
/// listed in the first group, and the second was sent after the backend had moved to the other.
#[test]
fn keyed_retry_is_declined_when_backend_is_listed_in_another_group() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    assert_eq!(sends(&s.connect(0)), 1);
    s.list(0, 100, BackendState::Ready);
    assert_eq!(sends(&s.connect(1)), 0);
    assert_eq!(s.engine.policy().ends.last().map(|e| e.outcome), Some(Outcome::NotSent));
}

/// Guards against reuse of a connection to a previous address: idle connections were closed when the address changed, but
/// a busy one became idle later and was used again.
#[test]
fn busy_connection_is_closed_after_response_when_backend_address_changed() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.connect(0);
    s.handle(Event::RequestWritten { connection: ConnectionId(0) });
    s.handle(Event::AddressChanged { backend: BackendId(0) });
    let closed = Action::Close { connection: ConnectionId(0) };
    assert_eq!(s.respond(0, ResponseClass::NotExecuted, true), [closed]);
    assert_eq!(s.engine.connection_count(), 0);
}

/// Guards against a retry that is executed after its deduplication window: a backend receives the last byte later than the
/// first. The window is 2 ms here, and an eighth of it is reserved for the transfer.
#[test]
fn keyed_retry_does_not_begin_at_the_end_of_its_deduplication_window() {
    for (dispatched, connected, is_sent) in
        [(1_000, 1_749, true), (1_749, 1_749, true), (1_000, 1_750, false), (1_750, 1_750, false)]
    {
        let mut s = Script::new(true);
        s.request(KEYED, false);
        let start = s.now;
        s.dispatch(0);
        let first = s.connect(0);
        assert!(
            matches!(first[..], [Action::Send { write_deadline: None, .. }]),
            "a first attempt has no write deadline: {first:?}"
        );
        s.handle(Event::RequestWritten { connection: ConnectionId(0) });
        s.handle(Event::ConnectionClosed { connection: ConnectionId(0) });
        s.now = start + Micros(dispatched);
        s.dispatch(1);
        s.now = start + Micros(connected);
        let actions = s.connect(1);
        assert_eq!(
            sends(&actions),
            usize::from(is_sent),
            "dispatched at {dispatched}, connected at {connected}"
        );
        let end = start + Micros(1_750);
        assert!(
            actions.iter().all(|a| !matches!(a, Action::Send { write_deadline: by, .. } if *by != Some(end))),
            "{actions:?}"
        );
    }
}

/// Guards against a repeat on an idle connection: its bytes may wait in a partition and arrive after the window.
#[test]
fn keyed_request_is_repeated_on_a_new_connection_only() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    s.connect(0);
    s.connect(1);
    for connection in [0, 1] {
        s.handle(Event::RequestWritten { connection: ConnectionId(connection) });
    }
    s.respond(1, ResponseClass::NotExecuted, true);
    s.now = s.now + Micros(1_000); // connection 1 may be used again
    let (connection, backend) = (ConnectionId(2), BackendId(0));
    assert_eq!(
        s.dispatch(2),
        [Action::Connect { connection, backend, repeat_of: Some(RequestId(0)) }],
        "attempt 0 may have been executed"
    );
    assert!(
        matches!(s.connect(2)[..], [Action::Send { connection: at, requires_live_path: true, .. }] if at == connection)
    );
    for connection in [0, 2] {
        s.respond(connection, ResponseClass::NotExecuted, false);
    }
    let first_again = s.dispatch(3);
    assert!(
        matches!(
            first_again[..],
            [Action::Send { connection: ConnectionId(1), requires_live_path: false, .. }]
        ),
        "no attempt was executed, so this is no repeat: {first_again:?}"
    );
}

/// Guards against an attempt that waits in the network until the backends no longer discard it: the first one is aborted as
/// the window of the second ends, and the second as that of the first ends. A single attempt is not.
#[test]
fn attempts_are_aborted_at_the_end_of_each_others_windows() {
    for cancellation in [true, false] {
        let mut s = Script::new(cancellation);
        s.request(KEYED, false);
        let start = s.now;
        s.dispatch(0);
        s.connect(0);
        assert_eq!(s.engine.wake_at(), Some(start + Micros(3_000)), "the deadline");
        s.now = start + Micros(1_000);
        s.dispatch(1);
        s.connect(1);
        let close = |connection: u64| Action::Close { connection: ConnectionId(connection) };
        for (at, closed) in [(1_750, 1), (2_750, 0)] {
            assert_eq!(s.engine.wake_at(), Some(start + Micros(at)));
            s.now = start + Micros(at);
            assert_eq!(s.handle(Event::Wake), [close(closed)]);
            let connection = ConnectionId(closed);
            s.handle(Event::CloseCompleted { connection, written: true });
        }
        assert_eq!(s.engine.wake_at(), Some(start + Micros(3_000)), "the deadline");
        let outcomes: Vec<Outcome> = s.engine.policy().ends.iter().map(|end| end.outcome).collect();
        assert_eq!(outcomes, [Outcome::TimedOut; 2]);
    }
}

/// Guards against giving up an attempt because of one that was not executed.
#[test]
fn attempt_that_was_not_executed_aborts_no_other() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    let deadline = s.now + Micros(3_000);
    s.dispatch(0);
    s.connect(0);
    s.dispatch(1);
    assert_eq!(s.engine.wake_at(), Some(deadline), "attempt 1 is not on a connection");
    s.connect(1);
    assert!(s.engine.wake_at() < Some(deadline));
    s.respond(1, ResponseClass::NotExecuted, false);
    assert_eq!(s.engine.wake_at(), Some(deadline));
}

/// Guards against a second execution by the first attempt: it can be completely written after a hedged attempt that was
/// executed meanwhile, and then it is the repeat.
#[test]
fn first_keyed_attempt_has_write_deadline_from_its_window() {
    let mut s = Script::new(true);
    let window = Micros(400_000);
    s.request(Idempotency::Keyed(DeduplicationScope::Group, window), false);
    s.dispatch(0);
    s.now = s.now + Micros(2_000); // the time to open the connection
    let end = s.now + Micros(380_000);
    assert!(matches!(s.connect(0)[..], [Action::Send { write_deadline: by, .. }] if by == Some(end)));
}

/// Guards against an attempt that outlives its request: it was kept until its connection was open, and its intent was not
/// withdrawn.
#[test]
fn attempt_not_started_ends_with_its_request_without_cancellation() {
    let mut s = Script::new(false);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    s.connect(0);
    assert!(s
        .respond(0, ResponseClass::Served, false)
        .contains(&answer(FinalOutcome::Served(AttemptNumber(0)))));
    assert!(s.engine.requests().is_empty());
}

/// Guards against an answer that does not wait for all attempts: the first of two attempts that had not started ended, and
/// the request was answered before the second ended.
#[test]
fn request_with_no_attempt_started_is_rejected_without_cancellation() {
    let mut s = Script::new(false);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    let (request, retry_after, reason) = (RequestId(0), Micros(7), GiveUpReason::Overloaded);
    let actions = s.apply(pools::Action::Reject { request, retry_after, reason });
    let given_up = Action::GivenUp { request, reason };
    assert_eq!(actions, [given_up, answer(FinalOutcome::Rejected(retry_after))]);
    assert!(s.engine.requests().is_empty());
}

/// Guards against a leak: every backend that was removed while it had an attempt in flight left an entry behind.
#[test]
fn response_of_a_gone_backend_leaves_no_entry_for_it() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.connect(0);
    s.handle(Event::RequestWritten { connection: ConnectionId(0) });
    s.list(0, 0, BackendState::Gone);
    s.respond(0, ResponseClass::Served, true);
    assert_eq!((s.engine.last_responses().count(), s.engine.listed_backend_count()), (0, 0));
}

/// The model checker does not cover this case: the store's result comes after the request was removed.
#[test]
fn late_intent_result_of_an_ended_request_is_ignored() {
    let mut s = Script::new(true);
    s.request(KEYED, true);
    s.dispatch(0);
    assert_eq!(s.handle(Event::ClientDisconnected { request: RequestId(0) }), [withdrawn(0)]);
    for persisted in [true, false] {
        assert_eq!(
            s.handle(Event::IntentPersisted { request: RequestId(0), attempt: AttemptNumber(0), persisted }),
            []
        );
        assert!(s.engine.requests().is_empty() && s.engine.deadlines().is_empty());
    }
}

/// Guards against connections that block others: eight requests ended before their connections were open. These took the
/// whole connection limit, and a further request was not sent although none of them was needed.
#[test]
fn oldest_unclaimed_connecting_connection_is_closed_at_the_limit() {
    let mut s = Script::new(true);
    for connection in 0..8 {
        s.request(KEYED, false);
        assert_eq!(
            s.dispatch(0),
            [Action::Connect {
                connection: ConnectionId(connection),
                backend: BackendId(0),
                repeat_of: None
            }]
        );
        s.handle(Event::ClientDisconnected { request: RequestId(0) });
    }
    s.request(KEYED, false);
    let (closed, opened) = (Action::Close { connection: ConnectionId(0) }, ConnectionId(8));
    assert_eq!(
        s.dispatch(0),
        [closed, Action::Connect { connection: opened, backend: BackendId(0), repeat_of: None }]
    );
    assert_eq!(s.engine.connection_count(), 8);
    assert_eq!(
        s.handle(Event::ConnectFailed { connection: ConnectionId(0), backend_at_fault: true }),
        [],
        "the connection was removed"
    );
    s.connect(1);
    s.handle(Event::ClientDisconnected { request: RequestId(0) });
    s.request(KEYED, false);
    assert_eq!(sends(&s.dispatch(0)), 1, "on the unclaimed connection that was opened");
}

/// At the connection limit an idle connection is closed first: one that is still being opened may serve the next attempt to
/// its backend.
#[test]
fn idle_connection_is_closed_before_unclaimed_connecting_one() {
    let mut s = Script::new(true);
    s.list(1, 0, BackendState::Ready);
    for _ in 0..8 {
        s.request(KEYED, false);
        s.dispatch(0);
        s.handle(Event::ClientDisconnected { request: RequestId(0) });
    }
    s.connect(5);
    s.request(KEYED, false);
    let (request, attempt, backend) = (RequestId(0), AttemptNumber(0), BackendId(1));
    let actions = s.apply(pools::Action::Dispatch { request, attempt, backend, start_by: None });
    assert_eq!(
        actions,
        [
            Action::Close { connection: ConnectionId(5) },
            Action::Connect { connection: ConnectionId(8), backend, repeat_of: None }
        ]
    );
}
