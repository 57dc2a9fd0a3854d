//! Checks signals at exact moments of a start: the process is stopped there, the signal is sent by the system call itself, and
//! the process continues. The order of events is forced, so that each row has the same result each time.
//!
//! No program can prevent the effect of a signal before its first instruction: in those rows SIGHUP ends it, unless its
//! starter has the signal blocked or ignored. From the system call with which the program blocks SIGHUP, before the loader
//! begins, every row requires that it serves by the content of the file at the time of the signal.
#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

mod guards;

#[path = "signal_moments/compiled.rs"]
mod compiled;
#[path = "signal_moments/elf.rs"]
mod elf;
#[path = "signal_moments/hangup_records.rs"]
mod hangup_records;
#[path = "signal_moments/moment.rs"]
mod moment;
#[path = "signal_moments/tracer.rs"]
mod tracer;
#[path = "signal_moments/trial.rs"]
mod trial;

use compiled::Compiled;
use moment::{Moment, Paths};
use nix::sys::signal::Signal::{self, SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tracer::{TraceError, Tracee};
use trial::{Expected, Inherited, Outcome, Testbed};

/// Maximum time for a stop signal during the start to end the program.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// Time limit for a moment that the process does not reach.
const SHORT_TRACE: Duration = Duration::from_millis(500);
/// Number of repetitions of each row in the long form.
const REPETITIONS: usize = 20;
/// Number of concurrent processes in the test of every system call.
const CONCURRENT_PROCESSES: usize = 6;
/// Minimum number of stops at system calls of a start.
const MIN_STOPS: usize = 150;
/// Series of signals, each sent while the process is stopped at one moment.
const SERIES: [&[Signal]; 5] =
    [&[SIGTERM], &[SIGINT], &[SIGHUP, SIGTERM], &[SIGTERM, SIGHUP], &[SIGHUP, SIGHUP, SIGTERM]];

/// Runs a row and prints it.
fn run_row(
    testbed: &Testbed, inherited: Inherited, moment: Moment, signals: &[Signal], expected: Expected,
) -> (Outcome, Duration) {
    let result = testbed.trial(inherited, moment, signals, expected);
    let (outcome, time) = result.unwrap_or_else(|error| panic!("{inherited:?}, {moment:?}: {error}"));
    println!("{inherited:?} | {moment:?} | {signals:?} | {outcome:?} | {} ms", time.as_millis());
    (outcome, time)
}

/// Returns the required outcome of SIGHUP at this moment.
fn expected(inherited: Inherited, moment: Moment) -> Outcome {
    let comes_early = moment.is_before_mask() && inherited != Inherited::Blocked;
    match comes_early {
        false => Outcome::Served { taken: true },
        true if inherited.ignores() => Outcome::Served { taken: false },
        true => Outcome::EndedBy(SIGHUP),
    }
}

/// Checks these signals at each moment for a program that inherits this state.
fn check_hangup(testbed: &Testbed, inherited: Inherited, signals: &[Signal]) {
    for moment in Moment::ALL {
        let expected = expected(inherited, moment);
        let awaited = match expected {
            Outcome::Served { taken: true } => Expected::Taken,
            Outcome::Served { taken: false } => Expected::Served,
            _ => Expected::End,
        };
        let outcome = run_row(testbed, inherited, moment, signals, awaited).0;
        assert_eq!(outcome, expected, "{inherited:?}, {moment:?}, {signals:?}");
    }
}

/// Returns which of the signals sent at this moment may end the program; none if it must exit by itself with status 0.
fn ending_signals(moment: Moment, signals: &[Signal]) -> &[Signal] {
    match moment.is_before_mask() {
        true => signals,
        false => &[],
    }
}

fn check_stop(testbed: &Testbed, signals: &[Signal]) {
    for moment in Moment::ALL {
        let (outcome, time) = run_row(testbed, Inherited::Nothing, moment, signals, Expected::End);
        let ending = ending_signals(moment, signals);
        let is_expected = match outcome {
            Outcome::EndedBy(signal) => ending.contains(&signal),
            outcome => ending.is_empty() && outcome == Outcome::Exited(0),
        };
        assert!(is_expected, "{moment:?}, {signals:?}: {outcome:?}, not by one of {ending:?}");
        assert!(time < STOP_LIMIT, "{moment:?}, {signals:?}: it ended after {time:?}");
    }
}

/// Guards against an instruction of the program, from the mask on, at which SIGHUP ends it.
#[test]
fn hangup_from_the_mask_on_ends_no_program() {
    check_hangup(&Testbed::new(), Inherited::Nothing, &[SIGHUP]);
}

/// Guards against a second SIGHUP that ends the program although the first does not.
#[test]
fn two_hangups_from_the_mask_on_end_no_program() {
    check_hangup(&Testbed::new(), Inherited::Nothing, &[SIGHUP, SIGHUP]);
}

/// Guards against a shim that lengthens or shifts the time before the mask past a moment, so that the soak sees other ends
/// than an operator would.
#[test]
fn hangup_from_the_mask_on_ends_no_program_with_the_shim() {
    check_hangup(&Testbed::new(), Inherited::Shim, &[SIGHUP]);
}

/// Guards against a boundary that depends on when the loader binds functions.
#[test]
fn hangup_from_the_mask_on_ends_no_program_that_is_bound_at_its_start() {
    check_hangup(&Testbed::new(), Inherited::BoundAtStart, &[SIGHUP]);
}

/// Guards against a program that unblocks or loses a signal that its starter has blocked.
#[test]
fn hangup_at_any_moment_is_taken_by_program_started_with_it_blocked() {
    check_hangup(&Testbed::new(), Inherited::Blocked, &[SIGHUP]);
}

/// Guards against a program that SIGHUP ends although its starter ignores the signal, or that serves by an earlier file.
#[test]
fn hangup_at_any_moment_ends_no_program_started_by_nohup() {
    check_hangup(&Testbed::new(), Inherited::IgnoredByNohup, &[SIGHUP]);
}

/// The same for a shell's `trap`.
#[test]
fn hangup_at_any_moment_ends_no_program_started_by_a_shell_that_ignores_it() {
    check_hangup(&Testbed::new(), Inherited::IgnoredByShell, &[SIGHUP]);
}

/// Guards against a SIGHUP that ends a program which the platform starts, between the exec of its shell's last command and the
/// first instruction.
#[test]
fn hangup_at_any_moment_ends_no_program_started_as_the_deploy_file_says() {
    check_hangup(&Testbed::new(), Inherited::DeployFile, &[SIGHUP]);
}

/// Guards against a stop signal that has no effect during the start, so that the program is killed.
#[test]
fn stop_signal_at_any_moment_ends_program_at_once() {
    SERIES[..2].iter().for_each(|signals| check_stop(&Testbed::new(), signals));
}

/// Guards against a stop signal that is lost because of a SIGHUP before or after it.
#[test]
fn stop_signal_beside_hangups_at_any_moment_ends_program_at_once() {
    SERIES[2..].iter().for_each(|signals| check_stop(&Testbed::new(), signals));
}

/// Guards against a start by `NODE_CONFIG`, as the platform's is, that SIGHUP ends at another moment than one by an operators'
/// file, or that serves by what the file held before.
#[test]
fn hangup_from_the_mask_on_ends_no_program_started_by_node_config() {
    check_hangup(&Testbed::by_node_config(), Inherited::Nothing, &[SIGHUP]);
}

/// The same as the platform starts it.
#[test]
fn hangup_at_any_moment_ends_no_program_started_by_node_config_as_the_deploy_file_says() {
    check_hangup(&Testbed::by_node_config(), Inherited::DeployFile, &[SIGHUP]);
}

/// Guards against a stop signal that has no effect during a start by `NODE_CONFIG`.
#[test]
fn stop_signal_at_any_moment_ends_program_started_by_node_config_at_once() {
    check_stop(&Testbed::by_node_config(), &[SIGTERM]);
}

/// The control: a program without libraries that does nothing but block the signal by its first instruction has the same
/// boundary. Guards against a boundary that the program under test has made worse.
#[test]
fn control_program_has_the_same_boundary() {
    let control = Compiled::of("first_instruction_program.c", &["-static", "-nostdlib"]);
    let testbed = Testbed::of_program(control.path());
    for moment in Moment::ALL.into_iter().filter(|moment| *moment <= Moment::Masked) {
        let (outcome, _) = run_row(&testbed, Inherited::Nothing, moment, &[SIGHUP, SIGTERM], Expected::End);
        let expected = if moment.is_before_mask() { Outcome::EndedBy(SIGHUP) } else { Outcome::Exited(0) };
        assert_eq!(outcome, expected, "{moment:?}");
    }
}

/// Guards against a trace that waits forever for a moment which is not reached, as happened with a stale build.
#[test]
fn trace_of_moment_that_does_not_come_ends_in_time() {
    let control = Compiled::of("control_program.c", &[]);
    let reach = |tracee: &mut Tracee, paths: &Paths, earlier_execs| {
        tracee.set_limit(SHORT_TRACE);
        Moment::LogThread.reach(tracee, paths, earlier_execs)
    };
    let reached = Testbed::of_program(control.path()).inspect(Inherited::Nothing, reach);
    assert!(matches!(reached, Err(TraceError::NotInTime)), "{reached:?}");
}

/// Guards against a library's constructor, which runs between the mask and `main`, that unblocks the signal permanently.
#[test]
fn hangup_of_serving_program_is_taken_though_a_library_has_unblocked_it() {
    let library = Compiled::of("unblocking_library.c", &["-shared", "-fPIC"]);
    let testbed = Testbed::with_library(library.path());
    for moment in Moment::ALL.into_iter().filter(|moment| *moment >= Moment::LogThread) {
        let (outcome, _) = run_row(&testbed, Inherited::Nothing, moment, &[SIGHUP], Expected::Taken);
        assert_eq!(outcome, Outcome::Served { taken: true }, "{moment:?}");
    }
}

/// The long form: repeats each row for each way to start the program.
#[test]
#[ignore = "takes some minutes"]
fn every_row_of_hangup_comes_out_the_same_each_time() {
    let inherited = [
        Inherited::Nothing,
        Inherited::Shim,
        Inherited::BoundAtStart,
        Inherited::Blocked,
        Inherited::IgnoredByNohup,
        Inherited::IgnoredByShell,
    ];
    std::thread::scope(|scope| {
        for inherited in inherited {
            scope.spawn(move || {
                (0..REPETITIONS).for_each(|_| check_hangup(&Testbed::new(), inherited, &[SIGHUP]))
            });
        }
    });
}

/// The long form of the stop signals.
#[test]
#[ignore = "takes some minutes"]
fn every_row_of_stop_signals_comes_out_the_same_each_time() {
    std::thread::scope(|scope| {
        for signals in SERIES {
            scope.spawn(move || (0..REPETITIONS).for_each(|_| check_stop(&Testbed::new(), signals)));
        }
    });
}

/// Guards against a moment between two of the table's: SIGHUP before and after each system call of the start.
#[test]
#[ignore = "takes some minutes"]
fn hangup_at_every_system_call_from_the_mask_on_ends_no_program() {
    let next = AtomicUsize::new(1);
    let run_stops = || {
        let testbed = Testbed::new();
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            let result = testbed.trial_at_stop(number).unwrap_or_else(|error| panic!("{number}: {error}"));
            let Some((outcome, required)) = result else { return };
            println!("stop {number} | {outcome:?}");
            assert_eq!(outcome, required, "stop {number}");
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_PROCESSES {
            scope.spawn(run_stops);
        }
    });
    let stops = next.load(Ordering::SeqCst) - 1 - CONCURRENT_PROCESSES;
    assert!(stops >= MIN_STOPS, "{stops} stops");
}
