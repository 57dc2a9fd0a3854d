//! Details from `/proc` of a process as a signal is sent to it. They help a reader of the report when the finding alone does
//! not show how far the process had got. No check depends on them.

use super::stop_point::StoppedThread;
use std::fmt;
use std::time::Duration;

/// Details of a process as a signal was sent to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessObservation {
    /// Time from the first inspection until the signal was sent.
    pub inspection_time: Duration,
    /// Number of threads that were inspected.
    pub threads: usize,
    /// Signal sets of the main thread, or of the thread that does not block the signal.
    pub signals: Option<SignalSets>,
    /// System call and instruction pointer of a thread that does not block the signal: its line in
    /// `/proc/PID/task/TID/syscall`.
    pub call: Option<String>,
    /// Offset of that instruction in the file that is mapped there.
    pub file_offset: Option<u64>,
    /// Why the process could not be inspected.
    pub obstacle: Option<Obstacle>,
}

impl ProcessObservation {
    /// Adds a stopped thread that does not block the signal.
    pub(super) fn record_stopped(&mut self, thread: &StoppedThread, signals: SignalSets) {
        self.signals = Some(signals);
        self.call = thread.call.clone();
        self.file_offset = thread.file_offset();
    }
}

/// Signal sets of a thread, as bit masks. The runtime of the program ignores SIGPIPE before `main` begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignalSets {
    /// Signals that the thread blocks.
    pub blocked: u64,
    /// Signals that its process ignores.
    pub ignored: u64,
    /// Signals that its process handles.
    pub caught: u64,
}

/// Why a process could not be inspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// A thread still ran when the time-out expired, in the state with this letter.
    NotStill(char),
    /// Its folder in `/proc` could not be read.
    Unreadable(String),
}

impl fmt::Display for ProcessObservation {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "looked for {} us, {} threads", self.inspection_time.as_micros(), self.threads)?;
        if let Some(SignalSets { blocked, ignored, caught }) = self.signals {
            write!(to, ", blocked {blocked:x}, ignored {ignored:x}, caught {caught:x}")?;
        }
        if let Some(call) = &self.call {
            write!(to, ", call [{call}]")?;
        }
        if let Some(offset) = self.file_offset {
            write!(to, ", file offset {offset:#x}")?;
        }
        match &self.obstacle {
            None => Ok(()),
            Some(Obstacle::NotStill(state)) => write!(to, ", a thread still ran in state {state}"),
            Some(Obstacle::Unreadable(error)) => write!(to, ", not readable: {error}"),
        }
    }
}
