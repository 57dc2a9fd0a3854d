//! Exactly one final answer in time, rejections only if harmless, and nothing after the answer.

use super::*;

#[test]
fn correct_request_breaks_no_rule_and_leaves_no_state() {
    let mut s = Stream::new(RULES);
    s.request(KEYED, true);
    let (request, attempt) = (RequestId(0), AttemptNumber(0));
    s.act(&[Action::PersistIntent { request, attempt }]);
    s.step(Event::IntentPersisted { request, attempt, persisted: true }, &[open(0, 0)]);
    s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    s.step(Event::ConnectionClosed { connection: connection(0) }, &[close(0)]); // before the request's last byte
    s.act(&[Action::PersistIntent { request, attempt: AttemptNumber(1) }]);
    s.step(Event::IntentPersisted { request, attempt: AttemptNumber(1), persisted: true }, &[open(1, 1)]);
    s.step(Event::Connected { connection: connection(1) }, &[send(1, 1)]);
    s.answered(1, ResponseClass::Served, true, false, &[answer(FinalOutcome::Served(AttemptNumber(1)))]);
    s.step(Event::ConnectionUnusable { connection: connection(1) }, &[close(1)]);
    assert_eq!(s.broken_rules, []);
    assert_eq!(s.monitor.check_quiescent(s.now), Ok(()));
    let remaining = s.monitor.observed();
    assert!(
        remaining.requests.is_empty() && remaining.connections.is_empty() && remaining.deadlines.is_empty()
    );
}

#[test]
fn second_or_unreceived_answer_breaks_one_answer() {
    let twice = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
        s.act(&[answer(FinalOutcome::Failed)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, twice), [Rule::OneAnswer]);
    let missing = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[answer(SERVED), close(0)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, missing), [Rule::OneAnswer]);
    let after_disconnect = |s: &mut Stream| {
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
        s.act(&[answer(FinalOutcome::Failed)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, after_disconnect), [Rule::OneAnswer]);
}

#[test]
fn late_or_early_answer_breaks_before_deadline() {
    let late = |s: &mut Stream| {
        s.sent(0, 0);
        s.now = s.now + Micros(5_000);
        s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, late), [Rule::BeforeDeadline]);
    let missing = |s: &mut Stream| {
        s.now = s.now + Micros(5_001);
        s.step(Event::Wake, &[]);
        s.step(Event::Wake, &[]);
    };
    assert_eq!(broken_rules(KEYED, RULES, missing), [Rule::BeforeDeadline], "reported once");
    assert_eq!(broken_rules(KEYED, Rules { answer_slack: Micros(1), ..RULES }, missing), []);
    let in_time = |s: &mut Stream| {
        s.now = s.now + Micros(5_000);
        s.step(Event::Wake, &[answer(FinalOutcome::TimedOut)]);
    };
    assert_eq!(broken_rules(KEYED, RULES, in_time), []);
    let early = |s: &mut Stream| s.act(&[answer(FinalOutcome::TimedOut)]);
    assert_eq!(broken_rules(KEYED, RULES, early), [Rule::BeforeDeadline]);
}

/// Guards against false reports by `--self-check`, which counted answers as late although the program had waited for a
/// processor.
#[test]
fn processor_wait_since_the_deadline_does_not_make_an_answer_late() {
    let deadline = Time(1_000_000) + Micros(5_000);
    // Processor wait before the deadline, processor wait after it, lateness of the answer, whether it counts as late.
    let cases = [
        (0, 300_000, 300_000, false),
        (0, 300_000, 300_001, true),
        (300_000, 0, 1, true),
        (300_000, 40_000, 40_000, false),
        (300_000, 40_000, 40_001, true),
    ];
    for (before, after, lateness, is_late) in cases {
        let expected = if is_late { vec![Rule::BeforeDeadline] } else { vec![] };
        let timed_out_late = |s: &mut Stream| {
            s.monitor.observe_processor_wait(Time(1_000_000), Micros(0));
            s.monitor.observe_processor_wait(deadline, Micros(before));
            s.now = deadline + Micros(lateness);
            s.monitor.observe_processor_wait(s.now, Micros(before + after));
            s.step(Event::Wake, &[answer(FinalOutcome::TimedOut)]);
        };
        assert_eq!(broken_rules(KEYED, RULES, timed_out_late), expected, "{before} {after} {lateness}");
        let served_late = |s: &mut Stream| {
            s.sent(0, 0);
            s.monitor.observe_processor_wait(deadline, Micros(before));
            s.now = deadline + Micros(lateness);
            s.monitor.observe_processor_wait(s.now, Micros(before + after));
            s.answered(0, ResponseClass::Served, false, false, &[answer(SERVED), close(0)]);
        };
        // A served answer is late regardless of the wait. A late one is reported twice: by the event and by the answer.
        let times = 1 + usize::from(is_late);
        assert_eq!(broken_rules(KEYED, RULES, served_late), vec![Rule::BeforeDeadline; times], "served");
    }
}

#[test]
fn attempt_in_flight_or_sent_after_the_answer_breaks_nothing_after() {
    let in_flight = |s: &mut Stream| {
        s.sent(0, 0);
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, in_flight), [Rule::NothingAfter]);
    assert_eq!(broken_rules(Idempotency::Safe, Rules { cancellation: false, ..RULES }, in_flight), []);
    let sent = |s: &mut Stream| {
        s.act(&[open(0, 0)]);
        s.step(Event::ClientDisconnected { request: RequestId(0) }, &[]);
        s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, sent), [Rule::NothingAfter]);
}

#[test]
fn rejection_after_possible_execution_breaks_harmless_rejection() {
    let executed = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[close(0)]);
        s.act(&[answer(REJECTED)]);
    };
    assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, executed), [Rule::HarmlessRejection]);
    assert_eq!(broken_rules(KEYED, RULES, executed), [Rule::HarmlessRejection]);
    assert_eq!(broken_rules(Idempotency::Safe, RULES, executed), []);
    let all = Idempotency::Keyed(DeduplicationScope::All, Micros(2_000));
    assert_eq!(broken_rules(all, RULES, executed), [Rule::HarmlessRejection]);
    let retried_in_window = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::Error, false, false, &[close(0)]);
        s.now = s.now + Micros(1_999);
        s.act(&[answer(FinalOutcome::Rejected(Micros(0)))]);
    };
    let one_domain = Rules { has_only_one_deduplication_domain: true, ..RULES };
    assert_eq!(broken_rules(all, one_domain, retried_in_window), []);
    assert_eq!(
        broken_rules(all, one_domain, executed),
        [Rule::HarmlessRejection],
        "the client retries in a second, after the window"
    );
    let not_executed = |s: &mut Stream| {
        s.sent(0, 0);
        s.answered(0, ResponseClass::NotExecuted, false, false, &[close(0)]);
        s.act(&[answer(REJECTED)]);
    };
    assert_eq!(broken_rules(Idempotency::NonIdempotent, RULES, not_executed), []);
}

#[test]
fn open_request_when_nothing_is_due_breaks_all_answered() {
    let mut s = Stream::new(RULES);
    s.request(Idempotency::Safe, false);
    assert_eq!(s.monitor.check_quiescent(s.now).map_err(|v| v.rule), Err(Rule::AllAnswered));
    s.act(&[answer(REJECTED)]);
    assert_eq!(s.monitor.check_quiescent(s.now), Ok(()));
}
