//! Checks the records of each SIGHUP that the soak sends, and the conclusions from the records of an ended process.

#[path = "signal_moments/compiled.rs"]
mod compiled;
mod guards;

use compiled::Compiled;
use guards::{Folder, Process};
use nix::sys::signal::{SigSet, Signal};
use serde_json::json;
use shaletide_soak::address::Reservation;
use shaletide_soak::artifacts::Artifacts;
use shaletide_soak::control::FaultControl;
use shaletide_soak::hangups::*;
use shaletide_soak::proxies::{ProcessContext, ProxySlot};
use shaletide_soak::settings::RunSettings;
use shaletide_testkit::Clock;
use shaletide_types::Time;
use std::os::unix::fs::symlink;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Files of records.
const PROGRAM: &str = "program";
const LOADER: &str = "/lib/ld-linux.so.2";
const LIBRARY: &str = "/lib/libc.so.6";
/// Script that executes the program once it reads a line from a pipe. It is a separate file because a file that was just
/// written cannot be executed while another thread forks.
const LATE_START: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/hangup_trace/late_start.sh");

fn end(process: &mut Process) -> ExitStatus {
    until("it has ended", || process.0.try_wait().unwrap())
}

/// Waits until a process is a zombie.
fn wait_until_zombie(process: &Process) {
    until("it is a zombie", || (state(process.id()) == 'Z').then_some(()));
}

fn until<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = get() {
            return value;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A field of a process's status.
fn status(pid: u32, field: &str) -> String {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    status.lines().find_map(|line| line.strip_prefix(field)).unwrap().trim().to_string()
}

/// The letter of a process's state.
fn state(pid: u32) -> char {
    status(pid, "State:").chars().next().unwrap()
}

fn ignores_hangup(pid: u32) -> bool {
    u64::from_str_radix(&status(pid, "SigIgn:"), 16).unwrap() & 1 != 0
}

fn spawn(program: &str, argument: &str) -> Process {
    Process(Command::new(program).arg(argument).spawn().unwrap())
}

/// Sends SIGHUP, and returns the finding.
fn hang_up(pid: u32) -> SignalFinding {
    send_hangup(pid, Pause::Running, Clock::start()).finding
}

fn record(finding: SignalFinding) -> SignalRecord {
    SignalRecord {
        signal: Signal::SIGHUP,
        sent_at: Time(0),
        finding,
        observation: ProcessObservation::default(),
    }
}

/// A process of [`PROGRAM`] that SIGHUP ends, in code of this file.
fn stop_point(file: &str, has_begun: Option<bool>) -> StopPoint {
    let (file, executable) = (Some(PathBuf::from(file)), Some(PathBuf::from(PROGRAM)));
    StopPoint { file, executable, has_begun, is_fatal: true }
}

/// Guards against a record of `Blocked` for a process that the signal ends, and against a record without the stop point.
#[test]
fn hangup_to_process_that_does_not_block_it_is_recorded_and_ends_it() {
    let mut process = spawn("sleep", "60");
    let finding = hang_up(process.id());
    let SignalFinding::NotBlocked(point) = finding else { panic!("{finding:?}") };
    assert!(point.file.is_some() && point.executable.is_some() && point.is_fatal, "{point:?}");
    assert_eq!(end(&mut process).signal(), Some(libc::SIGHUP));
}

/// Guards against attributing an end to the loader although the process had several threads: the loader starts none. Here a
/// library has started one.
#[test]
fn hangup_to_process_with_several_threads_is_not_before_first_instruction() {
    let library = Compiled::of("threading_library.c", &["-shared", "-fPIC", "-pthread"]);
    let mut command = Command::new("sleep");
    let mut process = Process(command.arg("60").env("LD_PRELOAD", library.path()).spawn().unwrap());
    let tasks = format!("/proc/{}/task", process.id());
    until("it has two threads", || (std::fs::read_dir(&tasks).unwrap().count() == 2).then_some(()));
    let finding = hang_up(process.id());
    let SignalFinding::NotBlocked(point) = &finding else { panic!("{finding:?}") };
    let program = point.executable.clone().unwrap();
    assert_eq!(moment_of_end(&[record(finding)], &program), SignalMoment::AfterFirstInstruction);
    assert_eq!(end(&mut process).signal(), Some(libc::SIGHUP));
}

/// Guards against an inspection that leaves a process stopped or ends it.
#[test]
fn hangup_to_process_that_blocks_it_is_recorded_and_leaves_it_running() {
    let hangup = SigSet::from(Signal::SIGHUP);
    hangup.thread_block().unwrap();
    let mut process = spawn("sleep", "60");
    hangup.thread_unblock().unwrap();
    for _ in 0..20 {
        assert_eq!(hang_up(process.id()), SignalFinding::Blocked);
    }
    until("it goes on", || (state(process.id()) == 'S').then_some(()));
    assert_eq!(process.0.try_wait().unwrap(), None);
}

/// Guards against treating an ended process as one that does not block the signal.
#[test]
fn hangup_to_ended_process_is_recorded_as_such() {
    let mut process = spawn("sleep", "0");
    wait_until_zombie(&process);
    assert_eq!(hang_up(process.id()), SignalFinding::Ended);
    assert!(end(&mut process).success());
    assert_eq!(hang_up(process.id()), SignalFinding::Ended);
}

fn check_moments(cases: &[(&[SignalFinding], SignalMoment)]) {
    for (findings, moment) in cases {
        let records: Vec<SignalRecord> = findings.iter().cloned().map(record).collect();
        assert_eq!(moment_of_end(&records, Path::new(PROGRAM)), *moment, "{findings:?}");
    }
}

/// Guards against attributing an end to the loader although the process had executed an instruction of the program, or
/// although the records do not show that it had not.
#[test]
fn end_came_before_first_instruction_only_if_first_hangup_found_program_not_begun() {
    use SignalFinding::{Blocked, Ended, NotBlocked, Unknown};
    use SignalMoment::{AfterFirstInstruction, BeforeFirstInstruction, NotShown};
    let early = || NotBlocked(stop_point(LOADER, Some(false)));
    let late = || NotBlocked(stop_point(LIBRARY, Some(true)));
    check_moments(&[
        (&[], NotShown),
        (&[early()], BeforeFirstInstruction),
        (&[early(), Ended, Ended], BeforeFirstInstruction),
        (&[late()], AfterFirstInstruction),
        (&[Blocked], AfterFirstInstruction),
        (&[Blocked, Ended], AfterFirstInstruction),
        (&[Blocked, early()], AfterFirstInstruction),
        (&[early(), Blocked], AfterFirstInstruction),
        (&[early(), late()], AfterFirstInstruction),
        (&[early(), early()], NotShown),
        (&[early(), Unknown], NotShown),
        (&[Unknown, Ended], NotShown),
        (&[Unknown, early()], NotShown),
        (&[Ended], NotShown),
    ]);
}

/// Guards against deriving the moment from the file of the instruction. The loader calls library functions before the
/// program's first instruction; the program calls them afterwards, and the loader's functions too with lazy binding.
#[test]
fn end_came_before_first_instruction_only_if_process_had_not_come_to_it() {
    use SignalMoment::{AfterFirstInstruction, BeforeFirstInstruction, NotShown};
    for file in [LOADER, LIBRARY] {
        for (has_begun, moment) in
            [(Some(false), BeforeFirstInstruction), (Some(true), AfterFirstInstruction), (None, NotShown)]
        {
            check_moments(&[(&[SignalFinding::NotBlocked(stop_point(file, has_begun))], moment)]);
        }
    }
    for (has_begun, moment) in [
        (Some(false), BeforeFirstInstruction),
        (Some(true), AfterFirstInstruction),
        (None, AfterFirstInstruction),
    ] {
        check_moments(&[(&[SignalFinding::NotBlocked(stop_point(PROGRAM, has_begun))], moment)]);
    }
}

/// Guards against attributing an end to the loader although the stop point is not known, the process executed another
/// program, or the signal did not end it.
#[test]
fn end_did_not_come_before_first_instruction_if_any_evidence_is_missing() {
    let early = || stop_point(LOADER, Some(false));
    let other = || Some(PathBuf::from("/bin/sh"));
    for point in [
        StopPoint { file: None, ..early() },
        StopPoint { executable: None, ..early() },
        StopPoint { executable: other(), ..early() },
        StopPoint { executable: other(), has_begun: Some(true), ..early() },
        StopPoint { is_fatal: false, ..early() },
    ] {
        check_moments(&[(&[SignalFinding::NotBlocked(point)], SignalMoment::NotShown)]);
    }
}

/// A proxy whose process executes the program only on request.
struct LateProxy {
    slot: ProxySlot,
    process: Process,
    clock: Clock,
    program: PathBuf,
    /// The pipe on which the script waits.
    go: PathBuf,
}

impl LateProxy {
    fn signal(&self, signal: Signal) {
        self.slot.signal(signal, self.clock);
    }

    fn execute_program(&self) {
        std::fs::write(&self.go, "go\n").unwrap();
        let executable = format!("/proc/{}/exe", self.process.id());
        until("it executes the program", || {
            let executed = std::fs::read_link(&executable).unwrap();
            (executed == self.program).then_some(())
        });
        until("it blocks SIGHUP", || blocks_hangup(self.process.id()).unwrap().then_some(()));
    }

    /// Takes the findings of each SIGHUP and SIGTERM.
    fn all_findings(&self) -> Vec<(Signal, SignalFinding)> {
        let records = self.slot.take_signals(self.process.id());
        records.into_iter().map(|record| (record.signal, record.finding)).collect()
    }

    /// Takes the findings of each SIGHUP.
    fn findings(&self) -> Vec<SignalFinding> {
        let is_hangup = |(signal, _): &(Signal, SignalFinding)| *signal == Signal::SIGHUP;
        self.all_findings().into_iter().filter(is_hangup).map(|(_, finding)| finding).collect()
    }
}

fn with_late_proxy(name: &str, test: impl FnOnce(&LateProxy)) {
    let folder = Folder::new(&format!("hangups-{name}"));
    let found = Artifacts::find().expect("the program and the shim");
    let script = folder.file("late");
    symlink(LATE_START, &script).unwrap();
    symlink(&found.program, folder.file("late.program")).unwrap();
    let go = folder.file("late.go");
    assert!(Command::new("mkfifo").arg(&go).status().unwrap().success());
    let (program, artifacts) = (found.program.clone(), Artifacts { program: script, ..found });
    let control = FaultControl::create(&folder.file("faults")).unwrap();
    let clock = Clock::start();
    let context = ProcessContext {
        artifacts: &artifacts,
        control: &control,
        folder: folder.path(),
        clock,
        proxies: 1,
        polls_discovery: false,
        seed: 1,
        settings: RunSettings::USUAL,
    };
    let nowhere = "127.0.0.1:9".parse().unwrap();
    let slot = ProxySlot::new(0, folder.path(), [nowhere; 2], json!([]), Reservation::Reusable).unwrap();
    let (child, _) = slot.start(&context, true).unwrap();
    test(&LateProxy { slot, process: Process(child), clock, program, go });
}

/// Guards against reading the mask only once, at the start of the process, and using it for all its signals.
#[test]
fn each_hangup_of_a_process_is_recorded_by_what_it_found() {
    with_late_proxy("each", |proxy| {
        proxy.execute_program();
        proxy.signal(Signal::SIGHUP);
        proxy.signal(Signal::SIGTERM);
        wait_until_zombie(&proxy.process);
        proxy.signal(Signal::SIGHUP);
        assert_eq!(proxy.findings(), [SignalFinding::Blocked, SignalFinding::Ended]);
    });
}

/// Guards against a SIGHUP that continues a process which the plan has stopped, or that leaves another one stopped.
#[test]
fn hangup_leaves_process_as_stopped_as_it_was() {
    with_late_proxy("stopped", |proxy| {
        let id = proxy.process.id();
        until("it ignores SIGHUP", || ignores_hangup(id).then_some(()));
        proxy.signal(Signal::SIGHUP);
        until("it goes on", || (state(id) != 'T').then_some(()));
        proxy.signal(Signal::SIGSTOP);
        until("it is stopped", || (state(id) == 'T').then_some(()));
        proxy.signal(Signal::SIGHUP);
        assert_eq!(state(id), 'T');
        proxy.signal(Signal::SIGCONT);
        proxy.execute_program();
        proxy.signal(Signal::SIGHUP);
        let findings = proxy.findings();
        let [SignalFinding::NotBlocked(_), SignalFinding::NotBlocked(_), SignalFinding::Blocked] =
            &findings[..]
        else {
            panic!("{findings:?}")
        };
    });
}
