//! Each rule reports a stream of events and actions that breaks it, and nothing on a correct one.

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

/// A stream of events and actions, and the rules that the monitor reported as broken.
struct Stream {
    monitor: Monitor,
    now: Time,
    broken_rules: Vec<Rule>,
}

impl Stream {
    /// Two backends in two deduplication groups are listed.
    fn new(rules: Rules) -> Stream {
        let mut s = Stream { monitor: Monitor::new(rules), now: Time(1_000_000), broken_rules: Vec::new() };
        s.list(0, 0, BackendState::Ready);
        s.list(1, 1, BackendState::Ready);
        s
    }

    fn record(&mut self, verdict: Verdict) {
        self.broken_rules.extend(verdict.err().map(|v| v.rule));
    }

    fn step(&mut self, event: Event, actions: &[Action]) {
        let verdict = self.monitor.step(self.now, Some(&event), actions);
        self.record(verdict);
    }

    fn act(&mut self, actions: &[Action]) {
        let verdict = self.monitor.step(self.now, None, actions);
        self.record(verdict);
    }

    fn list(&mut self, id: u32, group: u64, state: BackendState) {
        let backends = vec![BackendEntry {
            id: BackendId(id),
            deduplication_group: DeduplicationGroupId(group),
            state,
            ..BackendEntry::default()
        }];
        self.step(Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Delta, backends }, &[]);
    }

    fn request(&mut self, idempotency: Idempotency, requires_intent: bool) {
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
                idempotency,
                pools,
                requires_intent,
                recorded: requires_intent,
            }),
            &[],
        );
    }

    /// The attempt of that number is sent to that backend, on a connection of the same number.
    fn sent(&mut self, number: u32, to: u32) {
        self.act(&[open(number, to)]);
        self.step(Event::Connected { connection: connection(number) }, &[send(number, number)]);
    }

    fn answered(
        &mut self, number: u32, verdict: ResponseClass, reusable: bool, has_excess_bytes: bool,
        actions: &[Action],
    ) {
        self.step(Event::RequestWritten { connection: connection(number) }, &[]);
        self.step(
            Event::ResponseReceived { connection: connection(number), verdict, reusable, has_excess_bytes },
            actions,
        );
    }
}

fn connection(number: u32) -> ConnectionId {
    ConnectionId(u64::from(number))
}

fn open(number: u32, to: u32) -> Action {
    Action::Connect { connection: connection(number), backend: BackendId(to) }
}

fn send(on: u32, number: u32) -> Action {
    Action::Send {
        connection: connection(on),
        request: RequestId(0),
        attempt: AttemptNumber(number),
        deadline: Time(0),
        write_deadline: None,
    }
}

fn close(number: u32) -> Action {
    Action::Close { connection: connection(number) }
}

fn answer(answer: FinalOutcome) -> Action {
    Action::Answer { request: RequestId(0), answer, last_attempt: None }
}

const SERVED: FinalOutcome = FinalOutcome::Served(AttemptNumber(0));
const REJECTED: FinalOutcome = FinalOutcome::Rejected(Micros(1));

/// The rules broken by a stream that begins with a request of that idempotency.
fn broken_rules(idempotency: Idempotency, rules: Rules, stream: impl Fn(&mut Stream)) -> Vec<Rule> {
    let mut s = Stream::new(rules);
    s.request(idempotency, false);
    stream(&mut s);
    s.broken_rules
}

#[test]
fn correct_request_breaks_no_rule_and_leaves_no_state() {
    let mut s = Stream::new(RULES);
    s.request(KEYED, true);
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    s.act(&[Action::PersistIntent { request, attempt }]);
    s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[open(0, 0)]);
    s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    s.step(Event::ConnectionClosed { connection: connection(0) }, &[close(0)]); // before its last byte
    s.act(&[Action::PersistIntent { request, attempt: AttemptNumber(1) }]);
    s.step(Event::IntentPersisted { request, attempt: AttemptNumber(1), persisted: true }, &[open(1, 1)]);
    s.step(Event::Connected { connection: connection(1) }, &[send(1, 1)]);
    s.answered(1, ResponseClass::Served, true, false, &[answer(FinalOutcome::Served(AttemptNumber(1)))]);
    s.step(Event::ConnectionUnusable { connection: connection(1) }, &[close(1)]);
    assert_eq!(s.broken_rules, []);
    assert_eq!(s.monitor.quiet(s.now), Ok(()));
    let record = s.monitor.record();
    assert!(record.requests.is_empty() && record.lines.is_empty() && record.deadlines.is_empty());
}

#[test]
fn second_or_unreceived_answer_breaks_one_answer() {
    let twice = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
        s.act(&[answer(FinalOutcome::Failed)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, twice), [Rule::OneAnswer]);
    let none = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[answer(SERVED), close(0)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, none), [Rule::OneAnswer]);
    let after_leaving = |s: &mut Stream| {
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
        s.act(&[answer(FinalOutcome::Failed)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, after_leaving), [Rule::OneAnswer]);
}

#[test]
fn late_or_early_answer_breaks_in_time() {
    let late = |s: &mut Stream| {
        s.sent(0, 0);
        s.now = s.now + Micros(5_000);
        s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, late), [Rule::InTime]);
    let none = |s: &mut Stream| {
        s.now = s.now + Micros(5_001);
        s.step(Event::Wake, &[]);
        s.step(Event::Wake, &[]);
    };
    assert_eq!(broken_rules(KEYED, RULES, none), [Rule::InTime], "said once");
    assert_eq!(broken_rules(KEYED, Rules { answer_slack: Micros(1), ..RULES }, none), []);
    let in_time = |s: &mut Stream| {
        s.now = s.now + Micros(5_000);
        s.step(Event::Wake, &[answer(FinalOutcome::TimedOut)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, in_time), []);
    let early = |s: &mut Stream| s.act(&[answer(FinalOutcome::TimedOut)]);
    assert_eq!(broken_rules(KEYED, RULES, early), [Rule::InTime]);
}

#[test]
fn attempt_in_flight_or_sent_after_the_answer_breaks_nothing_after() {
    let running = |s: &mut Stream| {
        s.sent(0, 0);
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, running), [Rule::NothingAfter]);
    assert_eq!(broken_rules(Idempotency::Safe, Rules { cancel: false, ..RULES }, running), []);
    let sent = |s: &mut Stream| {
        s.act(&[open(0, 0)]);
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
        s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, sent), [Rule::NothingAfter]);
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
        assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, again), expected, "{end:?}");
    }
    let after_its_last_byte = |s: &mut Stream| {
        s.sent(0, 0);
        s.step(Event::RequestWritten { connection: connection(0) }, &[]);
        s.step(Event::ConnectionClosed { connection: connection(0) }, &[close(0)]);
        s.sent(1, 1);
    };
    assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, after_its_last_byte), [Rule::UnsafeOnce]);
    let beside = |s: &mut Stream| {
        s.sent(0, 0);
        s.sent(1, 1);
    };
    assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, beside), [Rule::UnsafeOnce]);
    assert_eq!(broken_rules(Idempotency::Safe, RULES, beside), []);
}

#[test]
fn keyed_retry_outside_its_group_or_window_breaks_keyed_inside() {
    let to = |to: u32, after: u64| {
        broken_rules(KEYED, RULES, |s| {
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
    assert_eq!(broken_rules(KEYED, RULES, elsewhere), [Rule::KeyedInside]);
    let not_executed = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::NotExecuted, false, false, &[close(0)]);
        s.sent(1, 1);
    };
    assert_eq!(broken_rules(KEYED, RULES, not_executed), []);
}

#[test]
fn rejection_after_possible_execution_breaks_harmless_refusal() {
    let ran = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[close(0)]);
        s.act(&[answer(REJECTED)]);
    };
    assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, ran), [Rule::HarmlessRefusal]);
    assert_eq!(broken_rules(KEYED, RULES, ran), [Rule::HarmlessRefusal]);
    assert_eq!(broken_rules(Idempotency::Safe, RULES, ran), []);
    let all = Idempotency::Keyed(DeduplicationScope::All, Micros(2_000));
    assert_eq!(broken_rules(all, RULES, ran), [Rule::HarmlessRefusal]);
    let told_to_be_back = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[close(0)]);
        s.now = s.now + Micros(1_999);
        s.act(&[answer(FinalOutcome::Rejected(Micros(0)))]);
    };
    let one_realm = Rules { one_realm: true, ..RULES };
    assert_eq!(broken_rules(all, one_realm, told_to_be_back), []);
    assert_eq!(
        broken_rules(all, one_realm, ran),
        [Rule::HarmlessRefusal],
        "back in a second, after the window"
    );
    let did_not = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::NotExecuted, false, false, &[close(0)]);
        s.act(&[answer(REJECTED)]);
    };
    assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, did_not), []);
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
        assert_eq!(broken_rules(Idempotency::Safe, RULES, after(0)), [Rule::Drain]);
        assert_eq!(broken_rules(Idempotency::Safe, grace, after(249)), []);
        assert_eq!(broken_rules(Idempotency::Safe, grace, after(250)), [Rule::Drain]);
    }
    let back = |s: &mut Stream| {
        s.list(0, 0, BackendState::Draining);
        s.list(0, 0, BackendState::Ready);
        s.sent(0, 0);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, back), []);
    let of_another = |s: &mut Stream| {
        s.step(Event::BackendMoved { backend: BackendId(0), from: PoolId(0), to: PoolId(1) }, &[]);
        s.step(whole(vec![]), &[]);
        s.sent(0, 0);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, of_another), [], "its old pool cannot give it up");
}

#[test]
fn reuse_of_an_unclean_connection_breaks_clean_connection() {
    let after = |reusable: bool, has_excess_bytes: bool, written: bool, wait: u64| {
        broken_rules(Idempotency::Safe, RULES, |s| {
            s.sent(0, 0);
            if written {
                s.step(Event::RequestWritten { connection: connection(0) }, &[]);
            }
            let verdict = ResponseClass::Error;
            s.step(
                Event::ResponseReceived { connection: connection(0), verdict, reusable, has_excess_bytes },
                &[],
            );
            s.now = s.now + Micros(wait);
            s.act(&[send(0, 1)]);
        })
    };
    assert_eq!(after(true, false, true, 500), []);
    assert_eq!(after(true, false, true, 499), [Rule::CleanConnection], "it rests");
    assert_eq!(after(true, true, true, 500), [Rule::CleanConnection]);
    assert_eq!(after(false, false, true, 500), [Rule::CleanConnection]);
    assert_eq!(after(true, false, false, 500), [Rule::CleanConnection], "half a request is still on it");
    let never_up = |s: &mut Stream| s.act(&[open(0, 0), send(0, 0)]);
    assert_eq!(broken_rules(Idempotency::Safe, RULES, never_up), [Rule::CleanConnection]);
    let busy = |s: &mut Stream| {
        s.sent(0, 0);
        s.act(&[send(0, 1)]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, busy), [Rule::CleanConnection]);
    let old = |s: &mut Stream| {
        s.act(&[open(0, 0)]);
        s.step(Event::AddressChanged { backend: BackendId(0) }, &[]);
        s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, old), [Rule::CleanConnection]);
}

#[test]
fn attempt_without_intent_or_open_intent_breaks_permit() {
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    let ask = Action::PersistIntent { request, attempt };
    let back = Action::WithdrawIntent { request, attempt };
    let broken_rules = |stream: &dyn Fn(&mut Stream)| {
        let mut s = Stream::new(RULES);
        s.request(Idempotency::Safe, true);
        stream(&mut s);
        s.broken_rules
    };
    assert_eq!(broken_rules(&|s| s.sent(0, 0)), [Rule::Permit]);
    assert_eq!(broken_rules(&|s| s.act(&[ask.clone(), back.clone()])), []);
    assert_eq!(broken_rules(&|s| s.act(&[ask.clone(), back.clone(), back.clone()])), [Rule::Permit]);
    assert_eq!(broken_rules(&|s| s.act(&[ask.clone(), ask.clone()])), [Rule::Permit]);
    let left = Event::ClientDisconnected { request };
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&ask));
            s.step(left.clone(), &[]);
        }),
        [Rule::Permit]
    );
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&ask));
            s.step(left.clone(), std::slice::from_ref(&back));
            s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[]);
            // too late
        }),
        []
    );
    // An unfit connection leaves the permit as good as before.
    assert_eq!(
        broken_rules(&|s| {
            s.act(std::slice::from_ref(&ask));
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
    s.act(&[answer(REJECTED)]);
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
        let all = (0..count).map(|number| {
            cold.act(now, &open(number, 0))
                .and_then(|()| cold.act(now, &send(number, number)))
                .map_err(|v| v.rule)
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
