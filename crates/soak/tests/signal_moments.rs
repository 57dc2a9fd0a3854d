//! Signals at exact moments of a start: the process is held still there, the signal is sent by the system call itself, and
//! the process goes on. The order of events is forced, so that each row comes out the same each time.
//!
//! No program can hold a signal off before its first instruction: those rows say that SIGHUP ends it, unless whoever starts
//! it has the signal blocked or ignored. From the system call on with which the program blocks SIGHUP, before the loader
//! begins, every row says that it serves by what the file held as the signal was sent.
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

/// A signal to stop that comes during the start ends the program within this time.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// The time for a moment that does not come.
const SHORT_TRACE: Duration = Duration::from_millis(500);
/// How often the long form plays each row.
const REPETITIONS: usize = 20;
/// Processes that are played at a time where each stop is played.
const LANES: usize = 6;
/// A start has no fewer stops at system calls than this.
const LEAST_STOPS: usize = 150;
/// Series of signals, each sent while the process is held at one moment.
const SERIES: [&[Signal]; 5] =
    [&[SIGTERM], &[SIGINT], &[SIGHUP, SIGTERM], &[SIGTERM, SIGHUP], &[SIGHUP, SIGHUP, SIGTERM]];

/// Plays a row and prints it.
fn play(
    testbed: &Testbed, inherited: Inherited, moment: Moment, signals: &[Signal], expected: Expected,
) -> (Outcome, Duration) {
    let played = testbed.trial(inherited, moment, signals, expected);
    let (outcome, time) = played.unwrap_or_else(|error| panic!("{inherited:?}, {moment:?}: {error}"));
    println!("{inherited:?} | {moment:?} | {signals:?} | {outcome:?} | {} ms", time.as_millis());
    (outcome, time)
}

/// What SIGHUP at that moment has to lead to.
fn expected(inherited: Inherited, moment: Moment) -> Outcome {
    let comes_early = moment.is_before_mask() && inherited != Inherited::Blocked;
    match comes_early {
        false => Outcome::Served { taken: true },
        true if inherited.ignores() => Outcome::Served { taken: false },
        true => Outcome::EndedBy(SIGHUP),
    }
}

/// Sends these signals at each moment to a program that inherits this.
fn check_hangup(testbed: &Testbed, inherited: Inherited, signals: &[Signal]) {
    for moment in Moment::ALL {
        let expected = expected(inherited, moment);
        let awaited = match expected {
            Outcome::Served { taken: true } => Expected::Taken,
            Outcome::Served { taken: false } => Expected::Served,
            _ => Expected::End,
        };
        let outcome = play(testbed, inherited, moment, signals, awaited).0;
        assert_eq!(outcome, expected, "{inherited:?}, {moment:?}, {signals:?}");
    }
}

/// The signals that may end a program to which these were sent at that moment; none where it ends by itself, with status 0.
fn ending_signals(moment: Moment, signals: &[Signal]) -> &[Signal] {
    match moment.is_before_mask() {
        true => signals,
        false => &[],
    }
}

fn check_stop(testbed: &Testbed, signals: &[Signal]) {
    for moment in Moment::ALL {
        let (outcome, time) = play(testbed, Inherited::Nothing, moment, signals, Expected::End);
        let ending = ending_signals(moment, signals);
        let is_expected = match outcome {
            Outcome::EndedBy(signal) => ending.contains(&signal),
            outcome => ending.is_empty() && outcome == Outcome::Exited(0),
        };
        assert!(is_expected, "{moment:?}, {signals:?}: {outcome:?}, not by one of {ending:?}");
        assert!(time < STOP_LIMIT, "{moment:?}, {signals:?}: it ended after {time:?}");
    }
}

/// Guards against an instruction of the program's own, before or after the mask, at which SIGHUP ends it.
#[test]
fn hangup_from_the_mask_on_ends_no_program() {
    check_hangup(&Testbed::new(), Inherited::Nothing, &[SIGHUP]);
}

/// Guards against a second SIGHUP that ends the program where the first does not.
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

/// Guards against a program that unblocks or drops what its starter has blocked for it.
#[test]
fn hangup_at_any_moment_is_taken_by_program_started_with_it_blocked() {
    check_hangup(&Testbed::new(), Inherited::Blocked, &[SIGHUP]);
}

/// Guards against a program that SIGHUP ends though its starter ignores the signal, or that serves by an earlier file.
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

/// Guards against a signal to stop that is held back during the start, until the program is killed.
#[test]
fn stop_signal_at_any_moment_ends_program_at_once() {
    SERIES[..2].iter().for_each(|signals| check_stop(&Testbed::new(), signals));
}

/// Guards against a signal to stop that a SIGHUP before or behind it hides.
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

/// Guards against a signal to stop that is held back during a start by `NODE_CONFIG`.
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
        let (outcome, _) = play(&testbed, Inherited::Nothing, moment, &[SIGHUP, SIGTERM], Expected::End);
        let expected = if moment.is_before_mask() { Outcome::EndedBy(SIGHUP) } else { Outcome::Exited(0) };
        assert_eq!(outcome, expected, "{moment:?}");
    }
}

/// Guards against a trace that waits without end for a moment which does not come, as that of a stale build did.
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

/// Guards against a library's constructor, which runs between the mask and `main`, that takes the mask away for good.
#[test]
fn hangup_of_serving_program_is_taken_though_a_library_has_unblocked_it() {
    let library = Compiled::of("unblocking_library.c", &["-shared", "-fPIC"]);
    let testbed = Testbed::with_library(library.path());
    for moment in Moment::ALL.into_iter().filter(|moment| *moment >= Moment::LogThread) {
        let (outcome, _) = play(&testbed, Inherited::Nothing, moment, &[SIGHUP], Expected::Taken);
        assert_eq!(outcome, Outcome::Served { taken: true }, "{moment:?}");
    }
}

/// The long form: each row again and again, of each way to start the program.
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

/// The long form of the signals to stop.
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
    let play_stops = || {
        let testbed = Testbed::new();
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            let played = testbed.trial_at_stop(number).unwrap_or_else(|error| panic!("{number}: {error}"));
            let Some((outcome, required)) = played else { return };
            println!("stop {number} | {outcome:?}");
            assert_eq!(outcome, required, "stop {number}");
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..LANES {
            scope.spawn(play_stops);
        }
    });
    let stops = next.load(Ordering::SeqCst) - 1 - LANES;
    assert!(stops >= LEAST_STOPS, "{stops} stops");
}
