use super::*;
use crate::hangups::{
    Obstacle, ProcessObservation, SignalFinding, SignalMoment, SignalRecord, SignalSets, StopPoint,
};
use crate::proxies::ProcessRecord;
use nix::sys::signal::Signal;
use shaletide_testkit::{
    BackendInfo, BackendSpec, Boot, CpuCapacity, End, Ended, Fleet, Ledger, Load, LoadClass, LoadResult,
    Record, Repeat, Sent, SilentCall,
};
use shaletide_types::Idempotency;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::time::Duration;

/// Returns the evidence of a run with one process that was ready.
fn evidence(polls_discovery: bool) -> Evidence {
    let process = ProcessRecord {
        ready_at: Some(Time(10_000)),
        ..ProcessRecord::new(0, Time(0), PathBuf::from("p0-1.log"))
    };
    let quiet = Evidence::of_quiet_run(Ledger::new(0), vec![process], PathBuf::from("program"));
    Evidence { polls_discovery, ..quiet }
}

fn broken_invariants(evidence: &Evidence) -> Vec<Invariant> {
    judge(evidence).into_iter().map(|violation| violation.invariant).collect()
}

/// A change that discovery writes into a cut link is known when the link works again, and at the latest 6 s after
/// discovery was reachable.
#[test]
fn change_written_into_cut_link_is_known_when_it_arrives() {
    let mut evidence = evidence(true);
    let (change, written) = (Time(6_279_000), Time(6_280_000));
    evidence.list_writes = vec![ListWrite { proxy: 0, backend: 9, at: written }];
    let known_at = |evidence: &Evidence| evidence.change_known_at(&evidence.processes[0], 9, change);
    assert_eq!(known_at(&evidence), written, "nothing is cut");
    evidence.discovery_outages[0] = vec![(Time(6_069_000), Time(8_790_000))];
    assert_eq!(known_at(&evidence), Time(8_790_000));
    evidence.list_writes[0].at = Time(30_000_000);
    assert_eq!(known_at(&evidence), Time(14_790_000), "6 s after discovery could be reached");
}

/// What a silent long poll misses counts 2 s after its wait, if that is later than 6 s after the change; not where a move has
/// given the call up, and not for a process that did not make it.
#[test]
fn change_missed_by_silent_long_poll_is_known_after_its_wait() {
    let mut evidence = evidence(true);
    let change = Time(5_000_000);
    let known_at = |evidence: &Evidence| evidence.change_known_at(&evidence.processes[0], 4, change);
    let call =
        |wait_ends_at| SilentCall { watcher: 0, at: Time(4_900_000), wait_ends_at: Time(wait_ends_at) };
    evidence.silent_calls = vec![call(8_000_000)];
    assert_eq!(known_at(&evidence), Time(11_000_000), "6 s after the change is later");
    evidence.silent_calls = vec![call(12_000_000)];
    assert_eq!(known_at(&evidence), Time(14_000_000));
    evidence.discovery_moves[0] = vec![Time(5_300_000)];
    assert_eq!(known_at(&evidence), Time(11_000_000), "the call was given up");
    evidence.discovery_moves[0].clear();
    evidence.silent_calls[0].watcher = 1;
    assert_eq!(known_at(&evidence), Time(11_000_000), "another proxy's call");
}

/// Guards against excusing requests to a backend whose drain the agent had before discovery moved, and against excusing a
/// process that started after the move: the 4 s after a move concern only what the new discovery has.
#[test]
fn move_postpones_only_changes_that_discovery_received_after_it() {
    let mut evidence = evidence(false);
    evidence.discovery_moves[0] = vec![Time(5_300_000)];
    let known_at = |evidence: &Evidence, change| evidence.change_known_at(&evidence.processes[0], 4, change);
    assert_eq!(known_at(&evidence, Time(5_000_000)), Time(5_000_000), "the drain came before the move");
    assert_eq!(known_at(&evidence, Time(5_300_000)), Time(9_300_000));
    assert_eq!(known_at(&evidence, Time(6_000_000)), Time(9_300_000));
    assert_eq!(known_at(&evidence, Time(9_400_000)), Time(9_400_000));
    // Of a discovery that is down the proxy learns nothing before its return, which here is after the move.
    evidence.discovery_outages[0] = vec![(Time(4_900_000), Time(9_500_000))];
    assert_eq!(known_at(&evidence, Time(5_000_000)), Time(9_500_000));
    evidence.discovery_outages[0] = vec![(Time(4_900_000), Time(5_500_000))];
    assert_eq!(known_at(&evidence, Time(5_000_000)), Time(9_300_000));
    evidence.discovery_outages[0].clear();
    evidence.processes[0].started_at = Time(5_400_000);
    assert_eq!(known_at(&evidence, Time(6_000_000)), Time(6_000_000), "started after the move");
}

/// Returns a record of a request at the first backend.
fn record(id: &str, end: Ended) -> Record {
    Record {
        backend: 0,
        boot: 0,
        id: id.into(),
        key: None,
        class: "pay".into(),
        repeat: Repeat::Unsafe,
        first_byte_at: Time(1_000_000),
        last_byte_at: Time(1_000_000),
        ended: Some((Time(1_020_000), end)),
        draining: None,
        work_ms: 20.0,
        time_left: None,
    }
}

/// Guards against a soak in which nobody sees that whole answers without a length are thrown away.
#[test]
fn half_of_whole_answers_without_a_length_must_be_forwarded() {
    let forwarded_of = |forwarded: u32, whole: u32, end: Ended| {
        let mut evidence = evidence(false);
        let sent = |number: u32| Sent {
            class: 0,
            number,
            arrived: Time(990_000),
            latency: Micros(40_000),
            end: End::Status(if number < forwarded { 200 } else { 502 }),
            in_time: true,
            retry: false,
            resent: false,
            client: None,
        };
        let load = LoadResult { sent: (0..whole).map(sent).collect(), ..LoadResult::default() };
        evidence.ledger.backends = vec![BackendInfo {
            name: "b0".into(),
            deduplication_group: 1,
            cpu_capacity: CpuCapacity::warm(2, 1.0),
            boots: vec![Boot { at: None, died: None }],
        }];
        evidence.ledger.records = (0..whole).map(|number| record(&load.id(number), end)).collect();
        evidence.clients = vec![ClientRecords { process: 0, load, disconnects: (1, Vec::new()) }];
        evidence
    };
    let is_reported =
        |evidence: &Evidence| broken_invariants(evidence).contains(&Invariant::LengthlessForwarded);
    assert!(!is_reported(&forwarded_of(5, 10, Ended::ServedUntilClose)));
    assert!(is_reported(&forwarded_of(4, 10, Ended::ServedUntilClose)));
    assert!(!is_reported(&forwarded_of(0, 10, Ended::Reset)), "no answer came whole");
    let mut killed = forwarded_of(0, 10, Ended::ServedUntilClose);
    killed.processes[0].killed_at = Some(Time(1_000_000));
    assert!(!is_reported(&killed));
}

#[test]
fn process_must_be_ready_soon_after_its_address_is_free() {
    let mut evidence = evidence(false);
    evidence.processes[0].unblocked_at = Some(Time(5_000_000));
    evidence.processes[0].ready_at = Some(Time(5_900_000));
    assert_eq!(broken_invariants(&evidence), []);
    evidence.processes[0].ready_at = Some(Time(6_200_000));
    assert_eq!(broken_invariants(&evidence), [Invariant::Ready]);
    evidence.starts_are_slow = true;
    assert_eq!(broken_invariants(&evidence), []);
    (evidence.processes[0].ready_at, evidence.processes[0].peak_memory_kib) = (None, MEMORY_LIMIT_KIB + 1);
    assert_eq!(broken_invariants(&evidence), [Invariant::Ready, Invariant::Memory]);
}

#[test]
fn process_exit_is_crash_unless_stop_was_early_or_orderly() {
    let status = |raw| std::process::ExitStatus::from_raw(raw);
    let mut evidence = evidence(false);
    evidence.processes[0].exit = Some((Time(20_000), status(1 << 8)));
    assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash]);
    (evidence.processes[0].stop_requested_at, evidence.processes[0].ready_at) = (Some(Time(5_000)), None);
    evidence.processes[0].exit = Some((Time(20_000), status(libc::SIGTERM)));
    evidence.processes[0].signals = vec![termination_found(not_begun())];
    assert_eq!(broken_invariants(&evidence), []);
    evidence.processes[0].signals = vec![termination_found(SignalFinding::Blocked)];
    evidence.processes[0].stop_requested_at = Some(Time(900_000));
    assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash]);
    evidence.processes[0].exit = Some((Time(920_000), status(0)));
    assert_eq!(broken_invariants(&evidence), []);
}

/// Guards against excusing an end by SIGTERM soon after the start although the records do not show that the signal arrived
/// before the first instruction, where no program can prevent it.
#[test]
fn end_by_termination_is_crash_unless_it_came_before_first_instruction() {
    let mut evidence = evidence(false);
    (evidence.processes[0].stop_requested_at, evidence.processes[0].ready_at) = (Some(Time(1_000)), None);
    evidence.processes[0].exit = Some((Time(2_000), std::process::ExitStatus::from_raw(libc::SIGTERM)));
    let ended = || termination_found(SignalFinding::Ended);
    let early = || termination_found(not_begun());
    for signals in
        [vec![early()], vec![early(), ended()], vec![early(), found(SignalFinding::Ended), ended()]]
    {
        evidence.processes[0].signals = signals;
        assert_eq!(broken_invariants(&evidence), []);
        let [end] = &evidence.ends_by_signal()[..] else { panic!("one end by a signal") };
        assert_eq!((end.signal, end.moment), (Signal::SIGTERM, SignalMoment::BeforeFirstInstruction));
    }
    let begun = || {
        let SignalFinding::NotBlocked(point) = not_begun() else { unreachable!() };
        termination_found(SignalFinding::NotBlocked(StopPoint { has_begun: Some(true), ..point }))
    };
    let is_found_by = termination_found;
    for signals in [
        vec![],
        vec![begun()],
        vec![is_found_by(SignalFinding::Blocked)],
        vec![is_found_by(SignalFinding::Unknown)],
        vec![ended()],
        vec![found(SignalFinding::Blocked), begun()],
        vec![found(not_begun()), ended()],
        vec![found(SignalFinding::Unknown), early()],
        vec![early(), found(SignalFinding::Blocked)],
        vec![early(), early()],
    ] {
        evidence.processes[0].signals = signals.clone();
        assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash], "{signals:?}");
    }
    evidence.processes[0].signals = vec![early()];
    evidence.program = PathBuf::from("other");
    assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash], "another program");
    evidence.program = PathBuf::from("program");
    evidence.processes[0].ready_at = Some(Time(500));
    assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash], "the process was ready");
    evidence.processes[0].ready_at = None;
    assert_eq!(broken_invariants(&evidence), []);
    evidence.processes[0].stop_requested_at = Some(Time(50_000));
    assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash], "long after the start");
}

/// Guards against attributing every status 1 to a failed self-check, whatever the process logged.
#[test]
fn status_one_of_stopped_process_is_crash_unless_its_last_line_names_the_self_check() {
    let mut evidence = evidence(false);
    evidence.processes[0].stop_requested_at = Some(Time(20_000));
    evidence.processes[0].exit = Some((Time(30_000), std::process::ExitStatus::from_raw(1 << 8)));
    evidence.processes[0].last_line =
        Some("shaletide: self-check: rules were broken 2 times, see the log".into());
    assert_eq!(broken_invariants(&evidence), []);
    for last_line in [
        None,
        Some(""),
        Some("shaletide: no log: Resource temporarily unavailable (os error 11)"),
        Some("2026-12-03T10:00:00.000000Z  INFO shaletide: stopped"),
        Some("2026-12-03T10:00:00.000000Z ERROR shaletide_net: self-check: rules were broken 2 times, see the log"),
    ] {
        evidence.processes[0].last_line = last_line.map(str::to_string);
        assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash], "{last_line:?}");
    }
}

/// Returns the record of a SIGHUP with this finding.
fn found(finding: SignalFinding) -> SignalRecord {
    SignalRecord {
        signal: Signal::SIGHUP,
        sent_at: Time(1_000),
        finding,
        observation: ProcessObservation::default(),
    }
}

/// Returns the record of a SIGTERM with this finding.
fn termination_found(finding: SignalFinding) -> SignalRecord {
    SignalRecord { signal: Signal::SIGTERM, ..found(finding) }
}

/// Returns the finding for a process of `program` that has not executed its first instruction.
fn not_begun() -> SignalFinding {
    SignalFinding::NotBlocked(StopPoint {
        file: Some(PathBuf::from("ld-linux.so.2")),
        executable: Some(PathBuf::from("program")),
        has_begun: Some(false),
        is_fatal: true,
    })
}

/// Guards against ignoring an end by SIGHUP: it is a crash whatever the trace shows. The trace is reported in addition.
#[test]
fn end_by_hangup_is_crash_whatever_the_trace_shows() {
    let status = |raw| std::process::ExitStatus::from_raw(raw);
    let mut evidence = evidence(false);
    (evidence.processes[0].stop_requested_at, evidence.processes[0].ready_at) = (Some(Time(1_000)), None);
    evidence.processes[0].exit = Some((Time(2_000), status(libc::SIGHUP)));
    let cases = [
        (vec![found(not_begun())], SignalMoment::BeforeFirstInstruction),
        (vec![found(SignalFinding::Blocked)], SignalMoment::AfterFirstInstruction),
        (vec![found(SignalFinding::Unknown)], SignalMoment::NotShown),
        (Vec::new(), SignalMoment::NotShown),
    ];
    for (hangups, moment) in cases {
        evidence.processes[0].signals = hangups.clone();
        assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash]);
        let [end] = &evidence.ends_by_signal()[..] else { panic!("one end by SIGHUP") };
        assert_eq!(end.violation, judge(&evidence)[0].text);
        assert_eq!(end.moment, moment);
        assert_eq!(end.signals, hangups);
    }
    evidence.processes[0].exit = Some((Time(2_000), status(1 << 8)));
    evidence.processes[0].stop_requested_at = None;
    assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash], "the process ended by itself");
    assert_eq!(evidence.ends_by_signal(), []);
}

/// Guards against a report of an end by SIGHUP without the finding of each SIGHUP: a fault of the program could not be
/// distinguished from an incomplete trace.
#[test]
fn printed_end_by_hangup_says_its_moment_and_what_each_hangup_found() {
    let signals = SignalSets { blocked: 0, ignored: 0x1000, caught: 0x440 };
    let in_library = ProcessObservation {
        inspection_time: Duration::from_micros(120),
        threads: 1,
        signals: Some(signals),
        call: Some("-1 0x7ffd0 0x7f010".to_string()),
        file_offset: Some(0xa10),
        obstacle: None,
    };
    let in_libc = StopPoint {
        file: Some(PathBuf::from("libc.so.6")),
        executable: Some(PathBuf::from("program")),
        has_begun: None,
        is_fatal: true,
    };
    let not_still =
        ProcessObservation { obstacle: Some(Obstacle::NotStill('D')), ..ProcessObservation::default() };
    let record = |millis: u64, finding, observation| SignalRecord {
        signal: Signal::SIGHUP,
        sent_at: Time(millis * 1_000),
        finding,
        observation,
    };
    let end = EndBySignal {
        signal: Signal::SIGHUP,
        violation: "p4-2 ended its stop with signal: 1 (SIGHUP)".to_string(),
        proxy: 4,
        started_at: Time(1_000_000),
        moment: SignalMoment::NotShown,
        signals: vec![
            record(1_002, SignalFinding::NotBlocked(in_libc), in_library),
            record(1_017, SignalFinding::Unknown, not_still),
            record(1_032, SignalFinding::Ended, ProcessObservation::default()),
        ],
    };
    let expected = "\
p4-2 ended its stop with signal: 1 (SIGHUP): not shown when the signal came; started at 1.000000 s
    SIGHUP 2.000 ms after the start found it not blocked, in libc.so.6, not known whether before its first \
instruction; looked for 120 us, 1 threads, blocked 0, \
ignored 1000, caught 440, call [-1 0x7ffd0 0x7f010], file offset 0xa10
    SIGHUP 17.000 ms after the start found what is unknown; looked for 0 us, 0 threads, a thread still ran in state D
    SIGHUP 32.000 ms after the start found an ended process; looked for 0 us, 0 threads";
    assert_eq!(end.to_string(), expected);
}

/// Guards against attributing an end by SIGHUP to the loader although the process was ready before.
#[test]
fn end_by_hangup_of_process_that_was_ready_did_not_come_before_first_instruction() {
    let mut evidence = evidence(false);
    evidence.processes[0].stop_requested_at = Some(Time(20_000));
    evidence.processes[0].exit = Some((Time(21_000), std::process::ExitStatus::from_raw(libc::SIGHUP)));
    for (hangups, moment) in [
        (vec![found(not_begun())], SignalMoment::NotShown),
        (vec![found(SignalFinding::Blocked)], SignalMoment::AfterFirstInstruction),
    ] {
        evidence.processes[0].signals = hangups;
        assert_eq!(broken_invariants(&evidence), [Invariant::NoCrash]);
        let [end] = &evidence.ends_by_signal()[..] else { panic!("one end by SIGHUP") };
        assert_eq!(end.moment, moment);
    }
}

/// Guards against reporting a request as unanswered although a conflicting listener had accepted its connection, and against
/// omitting a request for any other reason (seed 88107).
#[test]
fn unanswered_request_is_omitted_only_if_a_conflicting_listener_had_its_connection() {
    let client: SocketAddr = "127.0.0.1:50001".parse().unwrap();
    let mut evidence = evidence(false);
    evidence.processes[0].ready_at = Some(Time(100_000));
    let sent = Sent {
        class: 0,
        number: 0,
        arrived: Time(1_000_000),
        latency: Micros(280_000),
        end: End::Broken,
        in_time: false,
        retry: false,
        resent: false,
        client: Some(client),
    };
    let load = LoadResult { sent: vec![sent], ..LoadResult::default() };
    evidence.clients = vec![ClientRecords { process: 0, load, disconnects: (1, Vec::new()) }];
    assert_eq!(broken_invariants(&evidence), [Invariant::Answered]);
    evidence.clients_of_conflicting_listeners =
        BTreeSet::from([(1, client), (0, "127.0.0.1:50002".parse().unwrap())]);
    assert_eq!(broken_invariants(&evidence), [Invariant::Answered], "of another proxy, or another client");
    evidence.clients_of_conflicting_listeners.insert((0, client));
    assert_eq!(broken_invariants(&evidence), []);
    evidence.clients[0].load.sent[0].client = None;
    assert_eq!(broken_invariants(&evidence), [Invariant::Answered]);
}

/// Guards against reporting a request as unanswered although its client had no time left to send it.
#[test]
fn request_that_its_client_did_not_send_is_not_unanswered() {
    let fleet =
        Fleet::start(vec![BackendSpec::new("b0", CpuCapacity::warm(1, 1.0))]).expect("a fleet on loopback");
    let class = LoadClass::new("read", Idempotency::Safe, Duration::from_millis(1));
    let load = Load::new(100.0, vec![class], Duration::from_millis(300));
    let load = load.run_blocking(fleet.backends()[0].address).expect("a runtime");
    assert!(!load.sent.is_empty() && fleet.ledger().records.is_empty(), "no request came to the backend");
    let mut evidence = evidence(false);
    evidence.clients = vec![ClientRecords { process: 0, load, disconnects: (1, Vec::new()) }];
    assert_eq!(broken_invariants(&evidence), []);
}
