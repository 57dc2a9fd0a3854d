//! Sends SIGHUP and SIGTERM to a process, and records the state of the process as the signal arrived.
//!
//! A process of the program that blocks the signal has executed its first instruction. The signal arrives after that
//! instruction whatever happens in between, so the process is not stopped. Any other process is stopped with SIGSTOP,
//! inspected in `/proc` once all its threads have stopped, signalled, and continued with SIGCONT. It executes no instruction
//! between the inspection and the signal, so the record shows the state in which the signal arrived.

mod first_instruction;
mod memory_map;
mod observation;
mod stop_point;
#[cfg(test)]
mod tests;
mod thread_status;

pub use observation::{Obstacle, ProcessObservation, SignalSets};
pub use stop_point::StopPoint;

use nix::errno::Errno;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use shaletide_testkit::Clock;
use shaletide_types::Time;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use stop_point::StoppedThread;
use thread_status::{ThreadState, ThreadStatus};

/// Signals for which the state of the process is recorded.
pub const RECORDED_SIGNALS: [Signal; 2] = [Signal::SIGHUP, Signal::SIGTERM];
/// Time to wait for all threads of a process to stop. The process is then signalled even if one still runs.
const STOP_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between two inspections of a process that is being stopped.
const INSPECTION_INTERVAL: Duration = Duration::from_micros(50);

/// Checks that SIGHUP reaches the programs that the calling thread starts.
///
/// # Errors
/// SIGHUP is ignored or blocked, or the status of the thread cannot be read.
pub fn ensure_reaching_programs() -> io::Result<()> {
    match ThreadStatus::read(Path::new("/proc/thread-self"))?.passes_hangup_on() {
        true => Ok(()),
        false => Err(io::Error::other(
            "SIGHUP is ignored or blocked here, and would be in the processes under test: start this without nohup",
        )),
    }
}

/// The state of a process as a signal arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignalFinding {
    /// The process blocks the signal. The program does so from its first instruction on, except for SIGTERM in parts of its
    /// start.
    Blocked,
    /// The process does not block the signal, and is stopped at this point.
    NotBlocked(StopPoint),
    /// The process had ended, or the kernel was ending it: it executes no further instruction of its own.
    Ended,
    /// The process did not stop in time, or could not be inspected.
    Unknown,
}

/// A SIGHUP or SIGTERM that was sent to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignalRecord {
    /// The signal that was sent.
    pub signal: Signal,
    /// When it was sent.
    pub sent_at: Time,
    /// The state of the process as the signal arrived.
    pub finding: SignalFinding,
    /// Further details of the process, for the report.
    pub observation: ProcessObservation,
}

/// When the signal that ended a process arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalMoment {
    /// Before the first instruction of the program: the kernel was still in `exec`, or the loader was running.
    BeforeFirstInstruction,
    /// After the first instruction: a fault of the program.
    AfterFirstInstruction,
    /// The records do not show it.
    NotShown,
}

/// Whether a process is already stopped when a signal is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// It runs, and must run afterwards.
    Running,
    /// It is stopped or about to be, and must stay stopped.
    Stopped,
}

/// Sends SIGHUP to a process of this run, and records the state of the process.
pub fn send_hangup(pid: u32, pause: Pause, clock: Clock) -> SignalRecord {
    send_recorded(Signal::SIGHUP, pid, pause, clock)
}

/// Sends SIGHUP or SIGTERM to a process of this run, and records the state of the process.
pub fn send_recorded(signal: Signal, pid: u32, pause: Pause, clock: Clock) -> SignalRecord {
    let begun = Instant::now();
    let mut observation = ProcessObservation::default();
    let main_thread = status_of_main_thread(pid);
    observation.signals = main_thread.as_ref().map(|status| status.signals);
    if main_thread.is_some_and(|status| status.blocks(signal)) {
        return send_after(SignalFinding::Blocked, signal, observation, begun, pid, clock);
    }
    let hold = match pause {
        Pause::Running => Some(Hold::begin(pid)),
        Pause::Stopped => None,
    };
    let finding = find_when_stopped(signal, pid, &mut observation);
    let record = send_after(finding, signal, observation, begun, pid, clock);
    drop(hold); // only after the signal was sent
    record
}

/// Sends a signal to a process that was found in this state. `begun`: the start of the inspection.
fn send_after(
    finding: SignalFinding, signal: Signal, mut observation: ProcessObservation, begun: Instant, pid: u32,
    clock: Clock,
) -> SignalRecord {
    observation.inspection_time = begun.elapsed();
    let finding = match kill(process(pid), signal) {
        Err(Errno::ESRCH) => SignalFinding::Ended,
        _ => finding,
    };
    SignalRecord { signal, sent_at: clock.now(), finding, observation }
}

fn process(pid: u32) -> Pid {
    Pid::from_raw(pid as i32) // PIDs fit in an i32
}

/// Returns when the signal that ended a process of this program arrived, from the records of all signals that the process
/// received, in order. The first signal that the process does not block ends it; later ones find it ended.
///
/// Before the program's first instruction none of its code is executed. A loader executes some thousand instructions of
/// libraries (resolvers of the C library's functions, and its early initialization). The file of the current instruction is
/// therefore not sufficient: what counts is whether the process has accessed any code of its program.
pub fn moment_of_end(signals: &[SignalRecord], program: &Path) -> SignalMoment {
    let is_after = |record: &SignalRecord| match &record.finding {
        SignalFinding::Blocked => true,
        SignalFinding::NotBlocked(point) => point.is_after_first_instruction(program),
        SignalFinding::Ended | SignalFinding::Unknown => false,
    };
    if signals.iter().any(is_after) {
        return SignalMoment::AfterFirstInstruction;
    }
    let [first, later @ ..] = signals else { return SignalMoment::NotShown };
    let is_before = matches!(
        &first.finding,
        SignalFinding::NotBlocked(point) if point.is_before_first_instruction(program)
    );
    if is_before && later.iter().all(|record| record.finding == SignalFinding::Ended) {
        SignalMoment::BeforeFirstInstruction
    } else {
        SignalMoment::NotShown
    }
}

/// A process that was sent SIGSTOP. Continues the process when dropped.
struct Hold(u32);

impl Hold {
    fn begin(pid: u32) -> Hold {
        let _ = kill(process(pid), Signal::SIGSTOP); // it may have ended
        Hold(pid)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let _ = kill(process(self.0), Signal::SIGCONT); // it may have ended
    }
}

/// Waits until all threads of a process have stopped, and determines whether they block the signal.
fn find_when_stopped(signal: Signal, pid: u32, observation: &mut ProcessObservation) -> SignalFinding {
    let until = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < until {
        match inspect(signal, pid, observation) {
            Ok(Some(finding)) => {
                observation.obstacle = None;
                return finding;
            }
            Ok(None) => std::thread::sleep(INSPECTION_INTERVAL),
            Err(error) if is_gone(&error) => return SignalFinding::Ended,
            Err(error) => {
                observation.obstacle = Some(Obstacle::Unreadable(error.to_string()));
                return SignalFinding::Unknown;
            }
        }
    }
    SignalFinding::Unknown
}

/// Returns the state in which a signal would arrive; `None` while a thread still runs.
fn inspect(
    signal: Signal, pid: u32, observation: &mut ProcessObservation,
) -> io::Result<Option<SignalFinding>> {
    let (mut stopped_threads, mut unblocked) = (0, None);
    observation.threads = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let thread = thread?.path();
        let status = ThreadStatus::read(&thread)?;
        observation.threads += 1;
        match status.state {
            ThreadState::Running => {
                observation.obstacle = Some(Obstacle::NotStill(status.letter));
                return Ok(None);
            }
            ThreadState::Ending | ThreadState::Ended if thread.ends_with(pid.to_string()) => {
                return Ok(Some(SignalFinding::Ended));
            }
            ThreadState::Ending | ThreadState::Ended => {}
            ThreadState::Stopped => {
                stopped_threads += 1;
                if !status.blocks(signal) {
                    unblocked = Some((thread, status));
                }
            }
        }
    }
    let Some((thread, status)) = unblocked else { return Ok(Some(SignalFinding::Blocked)) };
    let thread = StoppedThread::read(thread);
    observation.record_stopped(&thread, status.signals);
    let point = StopPoint::read(&thread, stopped_threads == 1, status.is_fatal(signal));
    if point.is_none() {
        observation.obstacle = Some(Obstacle::NotStill(status.letter)); // still on its processor
    }
    Ok(point.map(SignalFinding::NotBlocked))
}

fn is_gone(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound || error.raw_os_error() == Some(libc::ESRCH)
}

/// Returns whether the main thread of a process blocks SIGHUP; `None` if the process has ended.
pub fn blocks_hangup(pid: u32) -> Option<bool> {
    status_of_main_thread(pid).map(|status| status.blocks(Signal::SIGHUP))
}

/// Returns the status of the main thread of a process; `None` if the process has ended.
fn status_of_main_thread(pid: u32) -> Option<ThreadStatus> {
    let status = ThreadStatus::read(Path::new(&format!("/proc/{pid}"))).ok()?;
    (status.state != ThreadState::Ended).then_some(status)
}
