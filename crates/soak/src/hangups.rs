//! Sends SIGHUP and SIGTERM to a process, and records what the signal found.
//!
//! A process of the program that blocks the signal has run its first instruction, so that the signal comes after that,
//! whatever happens between the look and the signal: it is not held up. Any other one is stopped (SIGSTOP), looked at in
//! `/proc` once all its threads stand still, gets the signal by the system call itself and goes on (SIGCONT). It runs no
//! instruction between the look and the signal, so that the record says what the signal itself found.

mod first_instruction;
mod memory_map;
mod sight;
mod stop_point;
#[cfg(test)]
mod tests;
mod thread_status;

pub use sight::{Obstacle, ProcessSight, SignalSets};
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

/// The signals whose findings are recorded.
pub const RECORDED_SIGNALS: [Signal; 2] = [Signal::SIGHUP, Signal::SIGTERM];
/// A process that has not come to a standstill after this time is signalled all the same.
const STOP_PATIENCE: Duration = Duration::from_millis(250);
/// The pause between two looks at a process that is to stop.
const LOOK_INTERVAL: Duration = Duration::from_micros(50);

/// Makes sure that SIGHUP reaches the programs which the calling thread starts.
///
/// # Errors
/// It does not, or that cannot be read.
pub fn ensure_reaching_programs() -> io::Result<()> {
    match ThreadStatus::read(Path::new("/proc/thread-self"))?.passes_hangup_on() {
        true => Ok(()),
        false => Err(io::Error::other(
            "SIGHUP is ignored or blocked here, and would be in the processes under test: start this without nohup",
        )),
    }
}

/// What a signal found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignalFinding {
    /// The process blocks the signal, as the program does from its first instruction on, but for SIGTERM in parts of its start.
    Blocked,
    /// The process does not block it, and stands here.
    NotBlocked(StopPoint),
    /// The process had ended, or the kernel was ending it: it executed no more instruction of its own.
    Ended,
    /// It did not stand still in time, or could not be looked at.
    Unknown,
}

/// A SIGHUP or SIGTERM that was sent to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignalRecord {
    /// Which.
    pub signal: Signal,
    /// When.
    pub sent_at: Time,
    /// What it found.
    pub finding: SignalFinding,
    /// What was seen of the process.
    pub sight: ProcessSight,
}

/// When the signal came that has ended a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalMoment {
    /// Before its first instruction: the kernel was still executing it, or where the kernel starts the loader, that was at work.
    BeforeFirstInstruction,
    /// After it: a fault of the program.
    AfterFirstInstruction,
    /// The records do not show it.
    NotShown,
}

/// Whether a process is stopped already as a signal is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// It runs, and has to run afterwards.
    Running,
    /// It is stopped, or is about to be, and has to stay so.
    Stopped,
}

/// Sends SIGHUP to a process of this run, and returns what the signal found.
pub fn send_hangup(pid: u32, pause: Pause, clock: Clock) -> SignalRecord {
    send_recorded(Signal::SIGHUP, pid, pause, clock)
}

/// Sends SIGHUP or SIGTERM to a process of this run, and returns what the signal found.
pub fn send_recorded(signal: Signal, pid: u32, pause: Pause, clock: Clock) -> SignalRecord {
    let begun = Instant::now();
    let mut sight = ProcessSight::default();
    let main_thread = status_of_main_thread(pid);
    sight.signals = main_thread.as_ref().map(|status| status.signals);
    if main_thread.is_some_and(|status| status.blocks(signal)) {
        return send_after(SignalFinding::Blocked, signal, sight, begun, pid, clock);
    }
    let hold = match pause {
        Pause::Running => Some(Hold::begin(pid)),
        Pause::Stopped => None,
    };
    let finding = find_when_still(signal, pid, &mut sight);
    let record = send_after(finding, signal, sight, begun, pid, clock);
    drop(hold); // behind the signal
    record
}

/// Sends a signal to a process of which this was found since `begun`.
fn send_after(
    finding: SignalFinding, signal: Signal, mut sight: ProcessSight, begun: Instant, pid: u32, clock: Clock,
) -> SignalRecord {
    sight.took = begun.elapsed();
    let finding = match kill(process(pid), signal) {
        Err(Errno::ESRCH) => SignalFinding::Ended,
        _ => finding,
    };
    SignalRecord { signal, sent_at: clock.now(), finding, sight }
}

fn process(pid: u32) -> Pid {
    Pid::from_raw(pid as i32) // the kernel's numbers are small
}

/// When the signal came that has ended a process of this program, by the records of all that it got, in their order. The
/// first one that finds a process which does not block it ends that process: what comes behind it finds it ended.
///
/// Before the program's first instruction the kernel executes none of its code. A loader that the kernel starts executes some
/// thousand instructions of libraries (resolvers of the C library's functions, and its early initialization). So it is not
/// the file of the instruction that tells, but whether the process has come to any code of its program.
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

/// A process that was sent SIGSTOP; it goes on when this is dropped.
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

/// Waits until all threads of a process stand still, and looks at what they block.
fn find_when_still(signal: Signal, pid: u32, sight: &mut ProcessSight) -> SignalFinding {
    let until = Instant::now() + STOP_PATIENCE;
    while Instant::now() < until {
        match look(signal, pid, sight) {
            Ok(Some(finding)) => {
                sight.obstacle = None;
                return finding;
            }
            Ok(None) => std::thread::sleep(LOOK_INTERVAL),
            Err(error) if is_gone(&error) => return SignalFinding::Ended,
            Err(error) => {
                sight.obstacle = Some(Obstacle::Unreadable(error.to_string()));
                return SignalFinding::Unknown;
            }
        }
    }
    SignalFinding::Unknown
}

/// What a signal would find; `None` while a thread still runs.
fn look(signal: Signal, pid: u32, sight: &mut ProcessSight) -> io::Result<Option<SignalFinding>> {
    let (mut stopped_threads, mut unblocked) = (0, None);
    sight.threads = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let thread = thread?.path();
        let status = ThreadStatus::read(&thread)?;
        sight.threads += 1;
        match status.state {
            ThreadState::Running => {
                sight.obstacle = Some(Obstacle::NotStill(status.letter));
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
    sight.see_stopped(&thread, status.signals);
    let point = StopPoint::read(&thread, stopped_threads == 1, status.is_fatal(signal));
    if point.is_none() {
        sight.obstacle = Some(Obstacle::NotStill(status.letter)); // not off its processor yet
    }
    Ok(point.map(SignalFinding::NotBlocked))
}

fn is_gone(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound || error.raw_os_error() == Some(libc::ESRCH)
}

/// Whether the main thread of a process blocks SIGHUP; `None` where the process has ended.
pub fn blocks_hangup(pid: u32) -> Option<bool> {
    status_of_main_thread(pid).map(|status| status.blocks(Signal::SIGHUP))
}

/// The status of the main thread of a process; `None` where the process has ended.
fn status_of_main_thread(pid: u32) -> Option<ThreadStatus> {
    let status = ThreadStatus::read(Path::new(&format!("/proc/{pid}"))).ok()?;
    (status.state != ThreadState::Ended).then_some(status)
}
