//! Each rule fires on a stream that breaks it and is silent on a good one.

use super::*;
use crate::event::{FinalOutcome, RequestSpec};
use shaletide_balancer::Arrival;
use shaletide_routing::ResponseClass;
use std::rc::Rc;

const KEYED: Idempotency = Idempotency::Keyed(DeduplicationScope::Group, Micros(2_000));
const RULES: Rules = Rules {
    drain_grace: Micros(0),
    answer_slack: Micros(0),
    quiet: Micros(500),
    cancel: true,
    one_realm: false,
};

/// A stream of what a monitor sees, and what it said to each part of it.
struct Stream {
    monitor: Monitor,
    now: Time,
    said: Vec<Rule>,
}

impl Stream {
    /// Two backends in two cells are listed.
    fn new(rules: Rules) -> Stream {
        let mut s = Stream { monitor: Monitor::new(rules), now: Time(1_000_000), said: Vec::new() };
        s.list(0, 0, BackendState::Ready);
        s.list(1, 1, BackendState::Ready);
        s
    }

    fn hear(&mut self, verdict: Verdict) {
        self.said.extend(verdict.err().map(|v| v.rule));
    }

    fn step(&mut self, event: Event, actions: &[Action]) {
        let verdict = self.monitor.step(self.now, Some(&event), actions);
        self.hear(verdict);
    }

    fn asked(&mut self, actions: &[Action]) {
        let verdict = self.monitor.step(self.now, None, actions);
        self.hear(verdict);
    }

    fn list(&mut self, id: u32, cell: u64, state: BackendState) {
        let backends = vec![BackendEntry {
            id: BackendId(id),
            deduplication_group: DeduplicationGroupId(cell),
            state,
            ..BackendEntry::default()
        }];
        self.step(Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Delta, backends }, &[]);
    }

    fn request(&mut self, effect: Idempotency, permit: bool) {
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(0),
            tenant: None,
            time_left: Micros(5_000),
            work_hint: None,
            is_client_retry: false,
            may_fail_over: false,
        };
        let pools: Rc<[PoolId]> = Rc::new([PoolId(0)]);
        self.step(
            Event::Request(RequestSpec {
                arrival,
                idempotency: effect,
                pools,
                requires_intent: permit,
                recorded: permit,
            }),
            &[],
        );
    }

    /// Attempt and connection of that number are sent to that backend.
    fn sent(&mut self, no: u32, to: u32) {
        self.asked(&[open(no, to)]);
        self.step(Event::Connected { connection: connection(no) }, &[send(no, no)]);
    }

    fn answered(&mut self, no: u32, verdict: ResponseClass, keep: bool, behind: bool, actions: &[Action]) {
        self.step(Event::RequestWritten { connection: connection(no) }, &[]);
        self.step(
            Event::ResponseReceived {
                connection: connection(no),
                verdict,
                reusable: keep,
                has_excess_bytes: behind,
            },
            actions,
        );
    }
}

fn connection(no: u32) -> ConnectionId {
    ConnectionId(u64::from(no))
}

fn open(no: u32, to: u32) -> Action {
    Action::Connect { connection: connection(no), backend: BackendId(to) }
}

fn send(on: u32, no: u32) -> Action {
    Action::Send {
        connection: connection(on),
        request: RequestId(0),
        attempt: AttemptNumber(no),
        deadline: Time(0),
        write_deadline: None,
    }
}

fn close(no: u32) -> Action {
    Action::Close { connection: connection(no) }
}

fn answer(answer: FinalOutcome) -> Action {
    Action::Answer { request: RequestId(0), answer, last_attempt: None }
}

const SERVED: FinalOutcome = FinalOutcome::Served(AttemptNumber(0));
const REFUSED: FinalOutcome = FinalOutcome::Rejected(Micros(1));

/// What is said of a stream that begins with a request of that effect.
fn said(effect: Idempotency, rules: Rules, stream: impl Fn(&mut Stream)) -> Vec<Rule> {
    let mut s = Stream::new(rules);
    s.request(effect, false);
    stream(&mut s);
    s.said
}

#[test]
fn correct_request_breaks_no_rule_and_leaves_no_state() {
    let mut s = Stream::new(RULES);
    s.request(KEYED, true);
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    s.asked(&[Action::PersistIntent { request, attempt }]);
    s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[open(0, 0)]);
    s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    s.step(Event::ConnectionClosed { connection: connection(0) }, &[close(0)]); // before its last byte
    s.asked(&[Action::PersistIntent { request, attempt: AttemptNumber(1) }]);
    s.step(Event::IntentPersisted { request, attempt: AttemptNumber(1), persisted: true }, &[open(1, 1)]);
    s.step(Event::Connected { connection: connection(1) }, &[send(1, 1)]);
    s.answered(1, ResponseClass::Served, true, false, &[answer(FinalOutcome::Served(AttemptNumber(1)))]);
    s.step(Event::ConnectionUnusable { connection: connection(1) }, &[close(1)]);
    assert_eq!(s.said, []);
    assert_eq!(s.monitor.quiet(s.now), Ok(()));
    let record = s.monitor.record();
    assert!(record.requests.is_empty() && record.lines.is_empty() && record.deadlines.is_empty());
}

#[test]
fn second_or_unreceived_answer_breaks_one_answer() {
    let twice = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
        s.asked(&[answer(FinalOutcome::Failed)]);
    };
    assert_eq!(said(KEYED, RULES, twice), [Rule::OneAnswer]);
    let none = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[answer(SERVED), close(0)]);
    };
    assert_eq!(said(KEYED, RULES, none), [Rule::OneAnswer]);
    let after_leaving = |s: &mut Stream| {
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
        s.asked(&[answer(FinalOutcome::Failed)]);
    };
    assert_eq!(said(KEYED, RULES, after_leaving), [Rule::OneAnswer]);
}

#[test]
fn late_or_early_answer_breaks_in_time() {
    let late = |s: &mut Stream| {
        s.sent(0, 0);
        s.now = s.now + Micros(5_000);
        s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
    };
    assert_eq!(said(KEYED, RULES, late), [Rule::InTime]);
    let none = |s: &mut Stream| {
        s.now = s.now + Micros(5_001);
        s.step(Event::Wake, &[]);
        s.step(Event::Wake, &[]);
    };
    assert_eq!(said(KEYED, RULES, none), [Rule::InTime], "said once");
    assert_eq!(said(KEYED, Rules { answer_slack: Micros(1), ..RULES }, none), []);
    let in_time = |s: &mut Stream| {
        s.now = s.now + Micros(5_000);
        s.step(Event::Wake, &[answer(FinalOutcome::TimedOut)]);
    };
    assert_eq!(said(KEYED, RULES, in_time), []);
    let early = |s: &mut Stream| s.asked(&[answer(FinalOutcome::TimedOut)]);
    assert_eq!(said(KEYED, RULES, early), [Rule::InTime]);
}

#[test]
fn attempt_in_flight_or_sent_after_the_answer_breaks_nothing_after() {
    let running = |s: &mut Stream| {
        s.sent(0, 0);
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
    };
    assert_eq!(said(Idempotency::Safe, RULES, running), [Rule::NothingAfter]);
    assert_eq!(said(Idempotency::Safe, Rules { cancel: false, ..RULES }, running), []);
    let sent = |s: &mut Stream| {
        s.asked(&[open(0, 0)]);
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
        s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    };
    assert_eq!(said(Idempotency::Safe, RULES, sent), [Rule::NothingAfter]);
}

#[test]
fn non_idempotent_retry_after_possible_execution_breaks_unsafe_once() {
    for (end, ran) in [
        (Event::ConnectionUnusable { connection: connection(0) }, false),
        (Event::ConnectionClosed { connection: connection(0) }, false),
        (Event::InvalidResponse { connection: connection(0) }, false),
        (
            Event::ResponseReceived {
                connection: connection(0),
                verdict: ResponseClass::NotExecuted,
                reusable: false,
                has_excess_bytes: false,
            },
            false,
        ),
        (
            Event::ResponseReceived {
                connection: connection(0),
                verdict: ResponseClass::Error,
                reusable: false,
                has_excess_bytes: false,
            },
            true,
        ),
        (Event::CloseCompleted { connection: connection(0), written: false }, false),
        (Event::CloseCompleted { connection: connection(0), written: true }, true),
    ] {
        let again = |s: &mut Stream| {
            s.sent(0, 0);
            s.step(end.clone(), &[close(0)]);
            s.sent(1, 1);
        };
        let expected = if ran { vec![Rule::UnsafeOnce] } else { vec![] };
        assert_eq!(said(Idempotency::NonIdempotent, RULES, again), expected, "{end:?}");
    }
    let after_its_last_byte = |s: &mut Stream| {
        s.sent(0, 0);
        s.step(Event::RequestWritten { connection: connection(0) }, &[]);
        s.step(Event::ConnectionClosed { connection: connection(0) }, &[close(0)]);
        s.sent(1, 1);
    };
    assert_eq!(said(Idempotency::NonIdempotent, RULES, after_its_last_byte), [Rule::UnsafeOnce]);
    let beside = |s: &mut Stream| {
        s.sent(0, 0);
        s.sent(1, 1);
    };
    assert_eq!(said(Idempotency::NonIdempotent, RULES, beside), [Rule::UnsafeOnce]);
    assert_eq!(said(Idempotency::Safe, RULES, beside), []);
}

#[test]
fn keyed_retry_outside_its_group_or_window_breaks_keyed_inside() {
    let to = |to: u32, after: u64| {
        said(KEYED, RULES, |s| {
            s.sent(0, 0);
            s.now = s.now + Micros(after);
            s.sent(1, to);
        })
    };
    assert_eq!(to(0, 0), []);
    assert_eq!(to(0, 1_999), []);
    assert_eq!(to(0, 2_000), [Rule::KeyedInside]);
    assert_eq!(to(1, 0), [Rule::KeyedInside]);
    let elsewhere = |s: &mut Stream| {
        s.sent(0, 0);
        s.list(0, 7, BackendState::Ready);
        s.sent(1, 0);
    };
    assert_eq!(said(KEYED, RULES, elsewhere), [Rule::KeyedInside]);
    let not_executed = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::NotExecuted, false, false, &[close(0)]);
        s.sent(1, 1);
    };
    assert_eq!(said(KEYED, RULES, not_executed), []);
}

#[test]
fn rejection_after_possible_execution_breaks_harmless_refusal() {
    let ran = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[close(0)]);
        s.asked(&[answer(REFUSED)]);
    };
    assert_eq!(said(Idempotency::NonIdempotent, RULES, ran), [Rule::HarmlessRefusal]);
    assert_eq!(said(KEYED, RULES, ran), [Rule::HarmlessRefusal]);
    assert_eq!(said(Idempotency::Safe, RULES, ran), []);
    let all = Idempotency::Keyed(DeduplicationScope::All, Micros(2_000));
    assert_eq!(said(all, RULES, ran), [Rule::HarmlessRefusal]);
    let told_to_be_back = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[close(0)]);
        s.now = s.now + Micros(1_999);
        s.asked(&[answer(FinalOutcome::Rejected(Micros(0)))]);
    };
    let one_realm = Rules { one_realm: true, ..RULES };
    assert_eq!(said(all, one_realm, told_to_be_back), []);
    assert_eq!(said(all, one_realm, ran), [Rule::HarmlessRefusal], "back in a second, after the window");
    let did_not = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::NotExecuted, false, false, &[close(0)]);
        s.asked(&[answer(REFUSED)]);
    };
    assert_eq!(said(Idempotency::NonIdempotent, RULES, did_not), []);
}

#[test]
fn attempt_to_draining_backend_after_the_grace_breaks_drain() {
    let whole = |backends: Vec<BackendEntry>| Event::EndpointsUpdated {
        pool: PoolId(0),
        update: EndpointUpdate::Snapshot,
        backends,
    };
    let drains: [&dyn Fn(&mut Stream); 4] = [
        &|s| s.list(0, 0, BackendState::Draining),
        &|s| s.list(0, 0, BackendState::Gone),
        &|s| s.step(whole(vec![]), &[]),
        &|s| s.step(Event::PoolClosed { pool: PoolId(0) }, &[]),
    ];
    for drain in drains {
        let after = |wait: u64| {
            move |s: &mut Stream| {
                drain(s);
                s.now = s.now + Micros(wait);
                s.sent(0, 0);
            }
        };
        let grace = Rules { drain_grace: Micros(250), ..RULES };
        assert_eq!(said(Idempotency::Safe, RULES, after(0)), [Rule::Drain]);
        assert_eq!(said(Idempotency::Safe, grace, after(249)), []);
        assert_eq!(said(Idempotency::Safe, grace, after(250)), [Rule::Drain]);
    }
    let back = |s: &mut Stream| {
        s.list(0, 0, BackendState::Draining);
        s.list(0, 0, BackendState::Ready);
        s.sent(0, 0);
    };
    assert_eq!(said(Idempotency::Safe, RULES, back), []);
    let of_another = |s: &mut Stream| {
        s.step(Event::BackendMoved { backend: BackendId(0), from: PoolId(0), to: PoolId(1) }, &[]);
        s.step(whole(vec![]), &[]);
        s.sent(0, 0);
    };
    assert_eq!(said(Idempotency::Safe, RULES, of_another), [], "its old pool cannot give it up");
}

#[test]
fn reuse_of_an_unclean_connection_breaks_clean_connection() {
    let after = |keep: bool, behind: bool, written: bool, wait: u64| {
        said(Idempotency::Safe, RULES, |s| {
            s.sent(0, 0);
            if written {
                s.step(Event::RequestWritten { connection: connection(0) }, &[]);
            }
            let verdict = ResponseClass::Error;
            s.step(
                Event::ResponseReceived {
                    connection: connection(0),
                    verdict,
                    reusable: keep,
                    has_excess_bytes: behind,
                },
                &[],
            );
            s.now = s.now + Micros(wait);
            s.asked(&[send(0, 1)]);
        })
    };
    assert_eq!(after(true, false, true, 500), []);
    assert_eq!(after(true, false, true, 499), [Rule::CleanConnection], "it rests");
    assert_eq!(after(true, true, true, 500), [Rule::CleanConnection]);
    assert_eq!(after(false, false, true, 500), [Rule::CleanConnection]);
    assert_eq!(after(true, false, false, 500), [Rule::CleanConnection], "half a request is still on it");
    let never_up = |s: &mut Stream| s.asked(&[open(0, 0), send(0, 0)]);
    assert_eq!(said(Idempotency::Safe, RULES, never_up), [Rule::CleanConnection]);
    let busy = |s: &mut Stream| {
        s.sent(0, 0);
        s.asked(&[send(0, 1)]);
    };
    assert_eq!(said(Idempotency::Safe, RULES, busy), [Rule::CleanConnection]);
    let old = |s: &mut Stream| {
        s.asked(&[open(0, 0)]);
        s.step(Event::AddressChanged { backend: BackendId(0) }, &[]);
        s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    };
    assert_eq!(said(Idempotency::Safe, RULES, old), [Rule::CleanConnection]);
}

#[test]
fn attempt_without_intent_or_open_intent_breaks_permit() {
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    let ask = Action::PersistIntent { request, attempt };
    let back = Action::WithdrawIntent { request, attempt };
    let said = |stream: &dyn Fn(&mut Stream)| {
        let mut s = Stream::new(RULES);
        s.request(Idempotency::Safe, true);
        stream(&mut s);
        s.said
    };
    assert_eq!(said(&|s| s.sent(0, 0)), [Rule::Permit]);
    assert_eq!(said(&|s| s.asked(&[ask.clone(), back.clone()])), []);
    assert_eq!(said(&|s| s.asked(&[ask.clone(), back.clone(), back.clone()])), [Rule::Permit]);
    assert_eq!(said(&|s| s.asked(&[ask.clone(), ask.clone()])), [Rule::Permit]);
    let left = Event::ClientDisconnected { request };
    assert_eq!(
        said(&|s| {
            s.asked(std::slice::from_ref(&ask));
            s.step(left.clone(), &[]);
        }),
        [Rule::Permit]
    );
    assert_eq!(
        said(&|s| {
            s.asked(std::slice::from_ref(&ask));
            s.step(left.clone(), std::slice::from_ref(&back));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[]);
            // too late
        }),
        []
    );
    // An unfit connection leaves the permit as good as before.
    assert_eq!(
        said(&|s| {
            s.asked(std::slice::from_ref(&ask));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[open(0, 0)]);
            s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
            s.step(Event::ConnectionUnusable { connection: connection(0) }, &[close(0), open(1, 0)]);
            s.step(Event::Connected { connection: connection(1) }, &[send(1, 0)]);
        }),
        []
    );
}

#[test]
fn open_request_when_quiet_breaks_all_answered() {
    let mut s = Stream::new(RULES);
    s.request(Idempotency::Safe, false);
    assert_eq!(s.monitor.quiet(s.now).map_err(|v| v.rule), Err(Rule::AllAnswered));
    s.asked(&[answer(REFUSED)]);
    assert_eq!(s.monitor.quiet(s.now), Ok(()));
}

#[test]
fn work_over_the_slow_start_budget_breaks_cold_budget() {
    let rules = ColdRules {
        initial_capacity_fraction: 0.2,
        ramp: Micros(10_000_000),
        multiple: 3.0,
        window: Micros(1_000_000),
        proxies: 1,
        speed: 1.0,
        work: Micros(100_000),
    };
    let sent = |age: u64, count: u32| {
        let mut cold = Cold::new(rules);
        let now = Time(100_000_000);
        let booted = Some(now - Micros(age));
        let (id, state) = (BackendId(0), BackendState::Ready);
        let row = BackendEntry { id, started_at: booted, cores: 1, state, ..BackendEntry::default() };
        let (pool, update) = (PoolId(0), EndpointUpdate::Snapshot);
        cold.see(now, &Event::EndpointsUpdated { pool, update, backends: vec![row] });
        let all = (0..count).map(|no| {
            cold.act(now, &open(no, 0)).and_then(|()| cold.act(now, &send(no, no))).map_err(|v| v.rule)
        });
        all.filter(Result::is_err).count()
    };
    // It can do 0.2 s of work in the window and takes three times that: six requests.
    assert_eq!((sent(0, 6), sent(0, 7)), (0, 1));
    assert_eq!(sent(20_000_000, 50), 0, "warm ones take what they can");
    let mut small = Cold::new(ColdRules { multiple: 0.1, ..rules });
    let row =
        BackendEntry { started_at: Some(Time(0)), state: BackendState::Ready, ..BackendEntry::default() };
    small.see(
        Time(0),
        &Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Snapshot, backends: vec![row] },
    );
    assert!(small.act(Time(0), &open(0, 0)).is_ok());
    assert!(small.act(Time(0), &send(0, 0)).is_ok(), "one always may go");
}
