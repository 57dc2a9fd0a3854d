//! What the explorer found in the engine: each counterexample as the script of its events.

use shaletide_balancer::Arrival;
use shaletide_engine::{Action, ConnectionLimits, Engine, Event, FinalOutcome, Policy, RequestSpec};
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;
use std::rc::Rc;

/// Asks for nothing by itself and keeps what it is told of attempts.
#[derive(Clone, Debug, Default)]
struct Quiet {
    ends: Vec<shaletide_balancer::AttemptEnd>,
}

impl Policy for Quiet {
    fn handle(&mut self, _now: Time, event: pools::Event, _asks: &mut Vec<pools::Action>) {
        if let pools::Event::AttemptEnded(end) = event {
            self.ends.push(end);
        }
    }
}

struct Script {
    engine: Engine<Quiet>,
    now: Time,
}

const KEYED: Idempotency = Idempotency::Keyed(DeduplicationScope::Group, Micros(2_000));

impl Script {
    fn new(cancel: bool) -> Script {
        let keeping = ConnectionLimits {
            max_connections: 8,
            idle_timeout: Micros(100_000),
            reuse_delay: Micros(1_000),
        };
        let mut engine = Engine::new(Quiet::default(), keeping);
        engine.configure(keeping, cancel, None);
        let mut script = Script { engine, now: Time(1_000_000) };
        script.list(0, 0, BackendState::Ready);
        script
    }

    fn told(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.engine.handle(self.now, event, &mut out);
        out
    }

    fn asked(&mut self, ask: pools::Action) -> Vec<Action> {
        let mut out = Vec::new();
        self.engine.apply_policy_action(self.now, ask, &mut out);
        out
    }

    fn list(&mut self, id: u32, cell: u64, state: BackendState) -> Vec<Action> {
        let backends = vec![BackendEntry {
            id: BackendId(id),
            deduplication_group: DeduplicationGroupId(cell),
            state,
            ..BackendEntry::default()
        }];
        self.told(Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Delta, backends })
    }

    fn request(&mut self, effect: Idempotency, permit: bool) {
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
        self.told(Event::Request(RequestSpec {
            arrival,
            idempotency: effect,
            pools,
            requires_intent: permit,
            recorded: false,
        }));
    }

    fn dispatch(&mut self, attempt: u32) -> Vec<Action> {
        let (request, attempt, backend) = (RequestId(0), AttemptNumber(attempt), BackendId(0));
        self.asked(pools::Action::Dispatch { request, attempt, backend, send_by: None })
    }

    fn up(&mut self, connection: u64) -> Vec<Action> {
        self.told(Event::Connected { connection: ConnectionId(connection) })
    }

    fn answered(&mut self, connection: u64, verdict: ResponseClass, keep: bool) -> Vec<Action> {
        self.told(Event::ResponseReceived {
            connection: ConnectionId(connection),
            verdict,
            reusable: keep,
            has_excess_bytes: false,
        })
    }
}

fn answer(answer: FinalOutcome) -> Action {
    Action::Answer { request: RequestId(0), answer, last_attempt: None }
}

fn sends(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

fn withdrawn(attempt: u32) -> Action {
    Action::WithdrawIntent { request: RequestId(0), attempt: AttemptNumber(attempt) }
}

/// It was begun under a number that no attempt has: the one that was made for it hung in the air until the
/// request ended, and its permit was given back under the other number.
#[test]
fn an_attempt_under_a_number_that_is_not_the_next_is_declined() {
    let mut s = Script::new(true);
    s.request(KEYED, true);
    assert_eq!(s.dispatch(1), []);
    assert_eq!(s.engine.requests()[&RequestId(0)].attempts, []);
    let ends = &s.engine.policy().ends;
    assert_eq!((ends.len(), ends[0].outcome, ends[0].request_answered), (1, Outcome::NotSent, false));
    assert!(matches!(s.dispatch(0)[..], [Action::PersistIntent { attempt: AttemptNumber(0), .. }]));
    assert_eq!(s.told(Event::ClientDisconnected { request: RequestId(0) }), [withdrawn(0)]);
    assert!(s.engine.requests().is_empty());
}

/// Not a byte had gone out, so its permit was neither used nor given back.
#[test]
fn the_permit_of_an_attempt_whose_connection_was_unfit_is_given_back() {
    for drained in [false, true] {
        let mut s = Script::new(true);
        s.request(KEYED, true);
        s.dispatch(0);
        s.told(Event::IntentPersisted { request: RequestId(0), attempt: AttemptNumber(0), persisted: true });
        s.up(0);
        let unfit = Event::ConnectionUnusable { connection: ConnectionId(0) };
        if drained {
            s.list(0, 0, BackendState::Draining);
            assert!(s.told(unfit).contains(&withdrawn(0)), "it cannot begin again");
        } else {
            s.told(Event::ClientDisconnected { request: RequestId(0) });
            assert!(s.told(unfit).contains(&withdrawn(0)), "it was called back meanwhile");
            assert!(s.engine.requests().is_empty());
        }
    }
}

/// Both were asked for while the backend stood in the first cell; the second would have run again in the other.
#[test]
fn a_box_that_is_listed_in_another_cell_meanwhile_is_not_sent_a_keyed_repeat() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    assert_eq!(sends(&s.up(0)), 1);
    s.list(0, 100, BackendState::Ready);
    assert_eq!(sends(&s.up(1)), 0);
    assert_eq!(s.engine.policy().ends.last().map(|e| e.outcome), Some(Outcome::NotSent));
}

/// What was idle was closed, and what was busy came to rest later and was used again.
#[test]
fn a_connection_that_was_busy_when_its_box_moved_to_another_address_is_not_kept() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.up(0);
    s.told(Event::RequestWritten { connection: ConnectionId(0) });
    s.told(Event::AddressChanged { backend: BackendId(0) });
    let closed = Action::Close { connection: ConnectionId(0) };
    assert_eq!(s.answered(0, ResponseClass::NotExecuted, true), [closed]);
    assert_eq!(s.engine.connection_count(), 0);
}

/// A repeat counts when its last byte has come: one that begins as the window ends comes too late. Here the window is
/// 2 ms, of which an eighth is kept for the way.
#[test]
fn a_keyed_repeat_does_not_begin_at_the_very_end_of_its_window() {
    for (asked, up, goes) in
        [(1_000, 1_749, true), (1_749, 1_749, true), (1_000, 1_750, false), (1_750, 1_750, false)]
    {
        let mut s = Script::new(true);
        s.request(KEYED, false);
        let begun = s.now;
        s.dispatch(0);
        let first = s.up(0);
        assert!(
            matches!(first[..], [Action::Send { write_deadline: None, .. }]),
            "it is no repeat: {first:?}"
        );
        s.told(Event::RequestWritten { connection: ConnectionId(0) });
        s.told(Event::ConnectionClosed { connection: ConnectionId(0) });
        s.now = begun + Micros(asked);
        s.dispatch(1);
        s.now = begun + Micros(up);
        let out = s.up(1);
        assert_eq!(sends(&out), usize::from(goes), "asked at {asked}, up at {up}");
        let end = begun + Micros(1_750);
        assert!(
            out.iter().all(|a| !matches!(a, Action::Send { write_deadline: by, .. } if *by != Some(end))),
            "{out:?}"
        );
    }
}

/// It begins first and is whole last, after a copy that ran meanwhile: it is a repeat of that one by then.
#[test]
fn what_is_not_whole_when_a_window_that_begins_with_it_ends_never_is() {
    let mut s = Script::new(true);
    let window = Micros(400_000);
    s.request(Idempotency::Keyed(DeduplicationScope::Group, window), false);
    s.dispatch(0);
    s.now = s.now + Micros(2_000); // the connection took so long
    let end = s.now + Micros(380_000);
    assert!(matches!(s.up(0)[..], [Action::Send { write_deadline: by, .. }] if by == Some(end)));
}

/// It was kept until its connection came up, with its permit open.
#[test]
fn what_has_not_begun_ends_with_its_request_also_where_nothing_is_called_back() {
    let mut s = Script::new(false);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    s.up(0);
    assert!(s
        .answered(0, ResponseClass::Served, false)
        .contains(&answer(FinalOutcome::Served(AttemptNumber(0)))));
    assert!(s.engine.requests().is_empty());
}

/// The first of two that had not begun ended, and the answer did not wait for the second.
#[test]
fn what_has_not_begun_does_not_make_a_failure_of_a_refusal_where_nothing_is_called_back() {
    let mut s = Script::new(false);
    s.request(KEYED, false);
    s.dispatch(0);
    s.dispatch(1);
    let (request, retry_after) = (RequestId(0), Micros(7));
    let out = s.asked(pools::Action::Reject { request, retry_after });
    assert_eq!(out, [answer(FinalOutcome::Rejected(retry_after))]);
    assert!(s.engine.requests().is_empty());
}

/// Each backend that went while a request was on it left a line behind for ever.
#[test]
fn nothing_is_kept_of_a_box_whose_last_answer_comes_after_it_is_gone() {
    let mut s = Script::new(true);
    s.request(KEYED, false);
    s.dispatch(0);
    s.up(0);
    s.told(Event::RequestWritten { connection: ConnectionId(0) });
    s.list(0, 0, BackendState::Gone);
    s.answered(0, ResponseClass::Served, true);
    assert_eq!((s.engine.heard().count(), s.engine.count_listed()), (0, 0));
}

/// The explorer leaves this out: the store's word comes when nothing is known of the request any more.
#[test]
fn a_late_permit_finds_nothing_and_changes_nothing() {
    let mut s = Script::new(true);
    s.request(KEYED, true);
    s.dispatch(0);
    assert_eq!(s.told(Event::ClientDisconnected { request: RequestId(0) }), [withdrawn(0)]);
    for given in [true, false] {
        assert_eq!(
            s.told(Event::IntentPersisted {
                request: RequestId(0),
                attempt: AttemptNumber(0),
                persisted: given
            }),
            []
        );
        assert!(s.engine.requests().is_empty() && s.engine.deadlines().is_empty());
    }
}

/// Its request was over before it was up. Eight of them held all the room that there is, and what came then was not sent
/// though nobody wanted any of them.
#[test]
fn connections_that_come_up_for_nobody_make_way_at_the_bound_the_oldest_first() {
    let mut s = Script::new(true);
    for connection in 0..8 {
        s.request(KEYED, false);
        assert_eq!(
            s.dispatch(0),
            [Action::Connect { connection: ConnectionId(connection), backend: BackendId(0) }]
        );
        s.told(Event::ClientDisconnected { request: RequestId(0) });
    }
    s.request(KEYED, false);
    let (closed, opened) = (Action::Close { connection: ConnectionId(0) }, ConnectionId(8));
    assert_eq!(s.dispatch(0), [closed, Action::Connect { connection: opened, backend: BackendId(0) }]);
    assert_eq!(s.engine.connection_count(), 8);
    assert_eq!(
        s.told(Event::ConnectFailed { connection: ConnectionId(0), backend_at_fault: true }),
        [],
        "it is gone"
    );
    s.up(1);
    s.told(Event::ClientDisconnected { request: RequestId(0) });
    s.request(KEYED, false);
    assert_eq!(sends(&s.dispatch(0)), 1, "on the one that came up for nobody");
}

/// One that is idle goes before one that still comes up: that may be had by whoever asks next.
#[test]
fn what_is_idle_makes_way_before_what_comes_up_for_nobody() {
    let mut s = Script::new(true);
    s.list(1, 0, BackendState::Ready);
    for _ in 0..8 {
        s.request(KEYED, false);
        s.dispatch(0);
        s.told(Event::ClientDisconnected { request: RequestId(0) });
    }
    s.up(5);
    s.request(KEYED, false);
    let (request, attempt, backend) = (RequestId(0), AttemptNumber(0), BackendId(1));
    let out = s.asked(pools::Action::Dispatch { request, attempt, backend, send_by: None });
    assert_eq!(
        out,
        [
            Action::Close { connection: ConnectionId(5) },
            Action::Connect { connection: ConnectionId(8), backend }
        ]
    );
}
