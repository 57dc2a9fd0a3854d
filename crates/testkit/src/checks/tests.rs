//! Tests of `checks` that need its private items.

use super::*;
use crate::{BackendInfo, Boot, CpuCapacity, Sent};

const SECOND: Micros = Micros(1_000_000);

fn ledger() -> Ledger {
    let power =
        CpuCapacity { cores: 1, speed: 1.0, initial_capacity_fraction: 0.2, ramp: Micros(10_000_000) };
    let info = |name: &str, bay, at| {
        let boots = vec![Boot { at, died: None }];
        BackendInfo { name: name.into(), deduplication_group: bay, cpu_capacity: power, boots }
    };
    let boxes = vec![info("a", 1, None), info("b", 1, None), info("c", 2, Some(Time(5_000_000)))];
    Ledger { backends: boxes, ..Ledger::new(200) }
}

fn run(ledger: &mut Ledger, at_box: usize, id: &str, key: Option<&str>, at_ms: u64, how: Ended) {
    let at = Time(at_ms * 1_000);
    let record = Record {
        backend: at_box,
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
    let place = ledger.begin(record).expect("room");
    ledger.end(place, at, how);
}

fn whats(broken: Vec<Violation>) -> Vec<String> {
    broken.into_iter().map(|v| v.description).collect()
}

#[test]
fn an_unsafe_one_that_was_turned_away_may_run_elsewhere_and_no_other() {
    for (end, expected) in [
        (Ended::TurnedAway, 0),
        (Ended::Cancelled, 1),
        (Ended::Failed, 1),
        (Ended::Hung, 1),
        (Ended::BoxDied, 1),
    ] {
        let mut ledger = ledger();
        run(&mut ledger, 0, "1", None, 10, end);
        run(&mut ledger, 1, "1", None, 20, Ended::Served);
        run(&mut ledger, 1, "2", None, 20, Ended::Served);
        let broken = unsafe_ran_once(&ledger);
        assert_eq!(broken.len(), expected, "{end:?}");
        assert!(broken.iter().all(|v| v.records == [0, 1]), "{broken:?}");
    }
}

#[test]
fn a_keyed_one_runs_again_only_in_its_bay_and_window() {
    let mut ledger = ledger();
    run(&mut ledger, 0, "1", Some("k"), 0, Ended::Failed);
    run(&mut ledger, 1, "1", Some("k"), 1_000, Ended::Served);
    run(&mut ledger, 2, "2", Some("l"), 0, Ended::TurnedAway);
    run(&mut ledger, 0, "2", Some("l"), 9_000, Ended::Served);
    assert_eq!(keyed_ran_in_one_group(&ledger, |_| SECOND), []);
    run(&mut ledger, 0, "1", Some("k"), 1_001, Ended::Served);
    run(&mut ledger, 2, "2", Some("l"), 9_100, Ended::Served);
    let broken = keyed_ran_in_one_group(&ledger, |_| SECOND);
    assert_eq!(broken.iter().map(|v| &v.records[..]).collect::<Vec<_>>(), [[0, 4], [3, 5]]);
    assert!(broken[1].description.contains("two bays"), "{broken:?}");
}

#[test]
fn what_comes_after_the_grace_breaks_the_rule_even_if_it_is_turned_away() {
    let mut ledger = ledger();
    let drained = [Drained { name: "a".into(), delivered_at: Time(1_000_000) }];
    run(&mut ledger, 0, "1", None, 2_000, Ended::Served);
    run(&mut ledger, 1, "2", None, 2_500, Ended::Served);
    assert_eq!(no_requests_after_drain(&ledger, &drained, SECOND), []);
    run(&mut ledger, 0, "3", None, 2_500, Ended::TurnedAway);
    let broken = no_requests_after_drain(&ledger, &drained, SECOND);
    assert_eq!(whats(broken), ["3 came to a 1.500 s after its drain was told"]);
}

#[test]
fn an_answer_that_no_box_served_is_found() {
    let mut ledger = ledger();
    let result = LoadResult { run: 0xa, ..LoadResult::default() };
    run(&mut ledger, 0, &result.id(1), None, 0, Ended::Served);
    run(&mut ledger, 0, &result.id(2), None, 0, Ended::Failed);
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
    let broken = answers_come_from_backends(&ledger, &LoadResult { sent: sent.to_vec(), ..result });
    assert_eq!(whats(broken), ["0000000a00000002 was answered by no box"]);
}

#[test]
fn a_box_that_started_after_the_telling_may_be_sent_to() {
    let mut ledger = ledger();
    let drained = [Drained { name: "c".into(), delivered_at: Time(1_000_000) }];
    run(&mut ledger, 2, "1", None, 9_000, Ended::Served);
    assert_eq!(no_requests_after_drain(&ledger, &drained, SECOND), []);
}

/// It can do 0.23 s of work in the second that ends 0.9 s after its start: the limit is 3 times as much.
#[test]
fn a_cold_box_is_pushed_over_by_more_than_its_budget() {
    let push = SlowStartLimit { multiple: 3.0, window: SECOND, slack: 0.0 };
    let mut ledger = ledger();
    for n in 0..6 {
        run(&mut ledger, 2, &n.to_string(), None, 5_000 + 150 * n, Ended::TurnedAway);
    }
    assert_eq!(slow_start_limit_kept(&ledger, push), []);
    let mut over = ledger.clone();
    run(&mut over, 2, "6", None, 5_900, Ended::Served);
    run(&mut over, 2, "7", None, 5_900, Ended::Served);
    let broken = slow_start_limit_kept(&over, push);
    assert_eq!(broken.len(), 1);
    assert_eq!(broken[0].records.len(), 7, "{broken:?}");
    assert_eq!(slow_start_limit_kept(&over, SlowStartLimit { slack: 0.5, ..push }), []);
    for n in 0..50 {
        run(&mut ledger, 2, &n.to_string(), None, 17_000, Ended::Served);
        run(&mut ledger, 0, &n.to_string(), None, 5_000, Ended::Served);
    }
    assert_eq!(slow_start_limit_kept(&ledger, push), [], "warm ones take what they can");
}

#[test]
fn what_does_not_fit_is_counted() {
    let mut ledger = Ledger { max_records: 1, ..ledger() };
    run(&mut ledger, 0, "1", None, 0, Ended::Served);
    let record = ledger.records[0].clone();
    assert_eq!((ledger.begin(record), ledger.unrecorded, ledger.records.len()), (None, 1, 1));
}
