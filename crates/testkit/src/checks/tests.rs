//! Tests of `checks` that need its private items.

use super::*;
use crate::Ended;
use crate::{BackendInfo, Boot, CpuCapacity, Sent};

const SECOND: Micros = Micros(1_000_000);

fn ledger() -> Ledger {
    let cpu_capacity =
        CpuCapacity { cores: 1, speed: 1.0, initial_capacity_fraction: 0.2, ramp: Micros(10_000_000) };
    let info = |name: &str, deduplication_group, at| {
        let boots = vec![Boot { at, died: None }];
        BackendInfo { name: name.into(), deduplication_group, cpu_capacity, boots }
    };
    let backends = vec![info("a", 1, None), info("b", 1, None), info("c", 2, Some(Time(5_000_000)))];
    Ledger { backends, ..Ledger::new(200) }
}

fn add_record(ledger: &mut Ledger, backend: usize, id: &str, key: Option<&str>, at_ms: u64, end: Ended) {
    let at = Time(at_ms * 1_000);
    let record = Record {
        backend,
        boot: 0,
        id: id.into(),
        key: key.map(Into::into),
        class: "c".into(),
        repeat: if key.is_some() { Repeat::Keyed } else { Repeat::Unsafe },
        first_byte_at: at,
        last_byte_at: at,
        ended: None,
        draining: None,
        work_ms: 100.0,
        time_left: None,
    };
    let index = ledger.begin(record).expect("room");
    ledger.end(index, at, end);
}

fn descriptions(violations: Vec<Violation>) -> Vec<String> {
    violations.into_iter().map(|v| v.description).collect()
}

#[test]
fn unsafe_request_may_run_again_only_after_a_rejection() {
    for (end, expected) in [
        (Ended::TurnedAway, 0),
        (Ended::Cancelled, 1),
        (Ended::Failed, 1),
        (Ended::Hung, 1),
        (Ended::BoxDied, 1),
    ] {
        let mut ledger = ledger();
        add_record(&mut ledger, 0, "1", None, 10, end);
        add_record(&mut ledger, 1, "1", None, 20, Ended::Served);
        add_record(&mut ledger, 1, "2", None, 20, Ended::Served);
        let violations = unsafe_ran_once(&ledger);
        assert_eq!(violations.len(), expected, "{end:?}");
        assert!(violations.iter().all(|v| v.records == [0, 1]), "{violations:?}");
    }
}

#[test]
fn keyed_request_may_run_again_only_in_its_group_and_window() {
    let mut ledger = ledger();
    add_record(&mut ledger, 0, "1", Some("k"), 0, Ended::Failed);
    add_record(&mut ledger, 1, "1", Some("k"), 1_000, Ended::Served);
    add_record(&mut ledger, 2, "2", Some("l"), 0, Ended::TurnedAway);
    add_record(&mut ledger, 0, "2", Some("l"), 9_000, Ended::Served);
    assert_eq!(keyed_ran_in_one_group(&ledger, |_| SECOND), []);
    add_record(&mut ledger, 0, "1", Some("k"), 1_001, Ended::Served);
    add_record(&mut ledger, 2, "2", Some("l"), 9_100, Ended::Served);
    let violations = keyed_ran_in_one_group(&ledger, |_| SECOND);
    assert_eq!(violations.iter().map(|v| &v.records[..]).collect::<Vec<_>>(), [[0, 4], [3, 5]]);
    assert!(violations[1].description.contains("two deduplication groups"), "{violations:?}");
}

#[test]
fn request_after_the_drain_grace_is_a_violation_even_if_it_is_rejected() {
    let mut ledger = ledger();
    let drained = [Drained { name: "a".into(), delivered_at: Time(1_000_000) }];
    add_record(&mut ledger, 0, "1", None, 2_000, Ended::Served);
    add_record(&mut ledger, 1, "2", None, 2_500, Ended::Served);
    assert_eq!(no_requests_after_drain(&ledger, &drained, SECOND), []);
    add_record(&mut ledger, 0, "3", None, 2_500, Ended::TurnedAway);
    let violations = no_requests_after_drain(&ledger, &drained, SECOND);
    assert_eq!(descriptions(violations), ["3 reached a 1.500 s after its drain was delivered"]);
}

#[test]
fn answer_that_no_backend_served_is_a_violation() {
    let mut ledger = ledger();
    let result = LoadResult { run: 0xa, ..LoadResult::default() };
    add_record(&mut ledger, 0, &result.id(1), None, 0, Ended::Served);
    add_record(&mut ledger, 0, &result.id(2), None, 0, Ended::Failed);
    let sent = |number, end| {
        let (arrived, latency) = (Time(0), Micros(9));
        Sent {
            class: 0,
            number,
            arrived,
            latency,
            end,
            in_time: true,
            retry: false,
            resent: false,
            client: None,
        }
    };
    let sent = [(1, 200), (2, 500), (2, 200)].map(|(n, status)| sent(n, End::Status(status)));
    let violations = answers_come_from_backends(&ledger, &LoadResult { sent: sent.to_vec(), ..result });
    assert_eq!(descriptions(violations), ["0000000a00000002 was answered by no backend"]);
}

#[test]
fn backend_that_started_after_its_drain_may_receive_requests() {
    let mut ledger = ledger();
    let drained = [Drained { name: "c".into(), delivered_at: Time(1_000_000) }];
    add_record(&mut ledger, 2, "1", None, 9_000, Ended::Served);
    assert_eq!(no_requests_after_drain(&ledger, &drained, SECOND), []);
}

/// The backend can do 0.23 s of work in the second that ends 0.9 s after its start; the limit is 3 times as much.
#[test]
fn work_over_the_slow_start_limit_of_a_cold_backend_is_a_violation() {
    let limit = SlowStartLimit { multiple: 3.0, window: SECOND, slack: 0.0 };
    let mut ledger = ledger();
    for n in 0..6 {
        add_record(&mut ledger, 2, &n.to_string(), None, 5_000 + 150 * n, Ended::TurnedAway);
    }
    assert_eq!(slow_start_limit_kept(&ledger, limit), []);
    let mut overloaded = ledger.clone();
    add_record(&mut overloaded, 2, "6", None, 5_900, Ended::Served);
    add_record(&mut overloaded, 2, "7", None, 5_900, Ended::Served);
    let violations = slow_start_limit_kept(&overloaded, limit);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].records.len(), 7, "{violations:?}");
    assert_eq!(slow_start_limit_kept(&overloaded, SlowStartLimit { slack: 0.5, ..limit }), []);
    for n in 0..50 {
        add_record(&mut ledger, 2, &n.to_string(), None, 17_000, Ended::Served);
        add_record(&mut ledger, 0, &n.to_string(), None, 5_000, Ended::Served);
    }
    assert_eq!(slow_start_limit_kept(&ledger, limit), [], "there is no limit for warm backends");
}

#[test]
fn record_beyond_the_capacity_is_counted() {
    let mut ledger = Ledger { max_records: 1, ..ledger() };
    add_record(&mut ledger, 0, "1", None, 0, Ended::Served);
    let record = ledger.records[0].clone();
    assert_eq!((ledger.begin(record), ledger.unrecorded, ledger.records.len()), (None, 1, 1));
}
