use super::*;
use crate::demo::environment::{DRAIN_GRACE, KEY_WINDOW, RAMP};
use crate::demo::run::{MeasuredPart, SelfCheck};
use crate::demo::status;
use shaletide_balancer::Micros;
use shaletide_testkit::checks::Drained;
use shaletide_testkit::{BackendInfo, Boot, CpuCapacity, Ended, Ledger, Record, Repeat, Sent};

const SECOND: Micros = Micros(1_000_000);

/// Returns a run without violations: two backends in two groups, of which at 10 s the first drains and the second starts, and a
/// request of each class.
fn valid_run() -> DemoRun {
    let info = |name: &str, bay, at| {
        let power = CpuCapacity { cores: 1, speed: 1.0, initial_capacity_fraction: 0.3, ramp: RAMP };
        BackendInfo {
            name: name.into(),
            deduplication_group: bay,
            cpu_capacity: power,
            boots: vec![Boot { at, died: None }],
        }
    };
    let boxes = vec![info("fast-1", 1, None), info("slow-1", 2, Some(Time(10_000_000)))];
    let classes = ["read", "settle", "pay"].map(String::from).to_vec();
    let mut run = DemoRun {
        ledger: Ledger { backends: boxes, ..Ledger::new(1000) },
        result: LoadResult { classes, ..LoadResult::default() },
        drained: vec![Drained { name: "fast-1".into(), delivered_at: Time(10_000_000) }],
        server_types: vec!["fast".into(), "slow".into()],
        begun: Time(1_000_000),
        measured: Some(MeasuredPart { from: Time(2_000_000), to: Time(4_000_000) }),
        missing: Vec::new(),
        interrupted: false,
        self_check: Some(SelfCheck { violations: 0, first: Vec::new() }),
    };
    for (number, class) in [0, 1, 2].into_iter().enumerate() {
        add_request(&mut run, class, number as u32, End::Status(200));
        add_record(&mut run, 0, class, number as u32, Time(3_000_000));
    }
    run
}

fn add_request(run: &mut DemoRun, class: usize, number: u32, end: End) {
    let (arrived, latency) = (Time(3_000_000), Micros(9_000));
    let in_time = matches!(end, End::Status(_));
    run.result.sent.push(Sent {
        class,
        number,
        arrived,
        latency,
        end,
        in_time,
        retry: false,
        resent: false,
        client: None,
    });
}

fn add_record(run: &mut DemoRun, at_box: usize, class: usize, number: u32, at: Time) {
    let id = run.result.id(number);
    let record = Record {
        backend: at_box,
        boot: 0,
        key: (class == 1).then(|| format!("k-{id}").into()),
        id: id.into(),
        class: run.result.classes[class].as_str().into(),
        repeat: [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe][class],
        first_byte_at: at,
        last_byte_at: at,
        ended: None,
        draining: None,
        work_ms: 16.0,
        time_left: None,
    };
    let place = run.ledger.begin(record).expect("room");
    run.ledger.end(place, at + Micros(8_000), Ended::Served);
}

#[test]
fn run_without_violations_holds_and_exits_0() {
    let report = report(&valid_run());
    assert!(report.holds, "{}", report.text);
    assert_eq!((status(&report, false), status(&report, true)), (0, 130));
    assert_eq!(report.text.matches(" held\n").count(), 8, "{}", report.text);
    assert!(report.text.contains("fast      1         3  100.0 %"), "{}", report.text);
}

/// For each rule, the records of a proxy that breaks it are reported as a violation.
#[test]
fn each_broken_rule_is_named_and_exits_1() {
    let late = Time(10_000_000) + DRAIN_GRACE + Micros(1);
    type Break = Box<dyn Fn(&mut DemoRun)>;
    let breaks: [(&str, Break); 10] = [
        (
            "The monitors inside saw no rule broken",
            Box::new(|p| p.self_check = Some(SelfCheck { violations: 1, first: vec!["so".into()] })),
        ),
        ("An unsafe request runs once", Box::new(|p| add_record(p, 1, 2, 2, Time(3_100_000)))),
        ("A keyed one runs again in its bay only", Box::new(|p| add_record(p, 1, 1, 1, Time(3_100_000)))),
        (
            "A keyed one runs again in its bay only",
            Box::new(|p| add_record(p, 0, 1, 1, Time(3_000_001) + KEY_WINDOW)),
        ),
        ("Nothing new to a box 2 s after it drains", Box::new(move |p| add_record(p, 0, 0, 0, late))),
        (
            "A cold box is not pushed over",
            Box::new(|p| (0..200).for_each(|_| add_record(p, 1, 0, 0, Time(10_000_000) + SECOND))),
        ),
        ("Each request gets one answer within its time", Box::new(|p| add_request(p, 2, 9, End::GaveUp))),
        ("Each request gets one answer within its time", Box::new(|p| p.result.excess_bytes = 1)),
        ("Each 200 is a box's answer to that request", Box::new(|p| add_request(p, 0, 9, End::Status(200)))),
        ("All was written down", Box::new(|p| p.ledger.unrecorded = 1)),
    ];
    for (rule, break_rule) in breaks {
        let mut run = valid_run();
        break_rule(&mut run);
        let report = report(&run);
        let row = report.text.lines().find(|line| line.contains(rule)).expect("the rule's row");
        assert!(row.contains("BROKEN"), "{}", report.text);
        assert!(report.text.contains(&format!("Broken: {rule}")), "{}", report.text);
        assert_eq!(report.text.matches("BROKEN").count(), 1, "{rule}: {}", report.text);
        assert_eq!((status(&report, false), status(&report, true)), (1, 1));
    }
}

#[test]
fn missing_faults_and_missing_shares_are_reported() {
    let run = DemoRun { missing: vec!["the drain".into()], measured: None, interrupted: true, ..valid_run() };
    let report = report(&run);
    assert!(!report.holds && report.text.contains("Fault not injected: the drain"), "{}", report.text);
    assert!(report.text.contains("not measured, the demo was stopped before"), "{}", report.text);
}

#[test]
fn report_lines_fit_100_columns() {
    let mut run = valid_run();
    (0..99_999).for_each(|n| add_request(&mut run, 0, n + 9, End::Status(503)));
    add_record(&mut run, 1, 2, 2, Time(3_100_000));
    let report = report(&run);
    assert!(report.text.lines().all(|line| line.chars().count() <= 100), "{}", report.text);
}
