//! The status of a thread, as reported by the kernel.

use super::{SignalSets, RECORDED_SIGNALS};
use nix::sys::signal::Signal;
use std::io;
use std::path::Path;

/// Flag of a thread that the kernel is ending (`PF_EXITING`).
const EXITING_FLAG: u64 = 4;
/// Index of the flags in `stat`, counted after the name.
const FLAGS_FIELD: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ThreadState {
    Running,
    Stopped,
    /// It executes no further instruction of its own.
    Ending,
    Ended,
}

#[derive(Debug)]
pub(super) struct ThreadStatus {
    pub(super) state: ThreadState,
    /// The state's letter in `/proc`.
    pub(super) letter: char,
    pub(super) signals: SignalSets,
}

impl ThreadStatus {
    /// Reads the status from the `/proc` folder of a thread, or of a process for its main thread.
    pub(super) fn read(folder: &Path) -> io::Result<ThreadStatus> {
        let status = std::fs::read_to_string(folder.join("status"))?;
        ThreadStatus::parse(&status, &std::fs::read_to_string(folder.join("stat"))?)
    }

    /// Parses the contents of `status` and `stat`.
    pub(super) fn parse(status: &str, stat: &str) -> io::Result<ThreadStatus> {
        let field = |name: &str| status.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let signals = |name: &str| {
            let signals = field(name).and_then(|signals| u64::from_str_radix(signals, 16).ok());
            signals.ok_or(io::ErrorKind::InvalidData)
        };
        let (blocked, ignored, caught) = (signals("SigBlk:")?, signals("SigIgn:")?, signals("SigCgt:")?);
        let letter = field("State:").and_then(|state| state.chars().next());
        let letter = letter.ok_or(io::ErrorKind::InvalidData)?;
        let signal_sets = SignalSets { blocked, ignored, caught };
        let mut thread = ThreadStatus { state: ThreadState::Running, letter, signals: signal_sets };
        // The kernel delivers a pending signal before the thread's next instruction.
        let pending = signals("ShdPnd:")?;
        let ends =
            |signal: Signal| pending & bit(signal) != 0 && thread.is_fatal(signal) && !thread.blocks(signal);
        let is_ended = RECORDED_SIGNALS.into_iter().any(ends);
        // When a signal ends a process, the kernel sends SIGKILL to each of its threads.
        let is_killed = signals("SigPnd:")? & bit(Signal::SIGKILL) != 0;
        thread.state = match letter {
            'T' | 't' => ThreadState::Stopped,
            'Z' | 'X' => ThreadState::Ended,
            _ if is_killed || is_ended || is_exiting(stat) => ThreadState::Ending,
            _ => ThreadState::Running,
        };
        Ok(thread)
    }

    pub(super) fn blocks(&self, signal: Signal) -> bool {
        self.signals.blocked & bit(signal) != 0
    }

    /// Returns whether a program started by this thread would receive SIGHUP: ignored and blocked signals stay so across
    /// `exec`.
    pub(super) fn passes_hangup_on(&self) -> bool {
        (self.signals.ignored | self.signals.blocked) & bit(Signal::SIGHUP) == 0
    }

    /// Returns whether the signal would end the process, which neither ignores nor handles it.
    pub(super) fn is_fatal(&self, signal: Signal) -> bool {
        (self.signals.ignored | self.signals.caught) & bit(signal) == 0
    }
}

/// Returns the bit of a signal in a mask.
fn bit(signal: Signal) -> u64 {
    1 << (signal as u32 - 1)
}

fn is_exiting(stat: &str) -> bool {
    let behind_name = stat.rsplit_once(')').map(|(_, fields)| fields).unwrap_or_default();
    let flags = behind_name.split_whitespace().nth(FLAGS_FIELD).and_then(|flags| flags.parse::<u64>().ok());
    flags.is_some_and(|flags| flags & EXITING_FLAG != 0)
}
