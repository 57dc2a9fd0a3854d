//! Reports a start that completes no step for some seconds on standard error, with the step that it waits for and the last
//! completed one. The watchdog depends on nothing that a start builds: neither the log and its thread, nor the event loop, nor
//! the configuration.

use super::progress::StartStep;
use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A start that completes no step for this long is reported, and again after each further period of this length.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// The stack size of the thread, in bytes: it only writes the report.
const STACK_SIZE: usize = 64 * 1024;
/// The longest report, in bytes: less than a pipe accepts in one piece (PIPE_BUF), so that other lines do not split it.
const MAX_REPORT: usize = 512;

/// The progress of the start.
#[derive(Clone, Copy, Debug)]
struct Progress {
    begun: Instant,
    last_step: Option<StartStep>,
    /// When the last step was completed; before the first, when the start began.
    changed_at: Instant,
    /// Whether the log's thread has written its first line, or has none to write.
    is_log_written: bool,
    /// Whether reports have ended.
    is_over: bool,
}

impl Progress {
    fn new(begun: Instant) -> Progress {
        Progress { begun, last_step: None, changed_at: begun, is_log_written: false, is_over: false }
    }

    fn end_if_complete(&mut self) {
        let is_last_done = self.last_step.is_some_and(StartStep::is_last);
        self.is_over |= is_last_done && self.is_log_written;
    }

    fn report(self, now: Instant) -> Report {
        Report { progress: self, now }
    }
}

/// The line about an overdue start.
#[derive(Clone, Copy, Debug)]
struct Report {
    progress: Progress,
    now: Instant,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Progress { begun, last_step, changed_at, is_log_written, .. } = self.progress;
        let silent = (self.now - changed_at).as_secs_f64();
        let waits_for = last_step.map_or("the log to be started", StartStep::waits_for);
        write!(f, "shaletide: start: no step done for {silent:.1} s; waits for {waits_for}; last step: ")?;
        match last_step {
            Some(step) => {
                let done_after = (changed_at - begun).as_secs_f64() * 1e3;
                write!(f, "{step} after {done_after:.1} ms")?;
            }
            None => f.write_str("none")?,
        }
        f.write_str(if is_log_written { "" } else { "; the log's thread has written nothing yet" })
    }
}

#[derive(Debug)]
struct Shared {
    progress: Mutex<Progress>,
    /// Signalled when the start is over. A step does not wake the thread: it checks when a report would be due.
    over: Condvar,
}

impl Shared {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress();
        change(&mut progress);
        progress.end_if_complete();
        if progress.is_over {
            self.over.notify_one();
        }
    }

    /// Reports whenever no step was completed for `silence_limit`, until the start is over. Holds no lock during a report.
    fn watch(&self, silence_limit: Duration, mut write_report: impl FnMut(&Report)) {
        let mut progress = self.progress();
        let mut reported_at = progress.begun;
        while !progress.is_over {
            let due_at = progress.changed_at.max(reported_at) + silence_limit;
            let now = Instant::now();
            if now < due_at {
                let waited = self.over.wait_timeout(progress, due_at - now);
                progress = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            let report = progress.report(now);
            drop(progress);
            write_report(&report);
            reported_at = now;
            progress = self.progress();
        }
    }
}

/// The watchdog of a start. Its thread ends with the start.
#[derive(Clone, Debug)]
pub struct Watchdog(Arc<Shared>);

impl Watchdog {
    /// Starts watching a start. If the system cannot start a thread, nothing is reported.
    pub fn begin(begun: Instant) -> Watchdog {
        Watchdog::begin_with(begun, SILENCE_LIMIT, write_to_stderr)
    }

    /// Creates a watchdog that records the steps of a start and reports nothing.
    pub fn without_thread(begun: Instant) -> Watchdog {
        Watchdog(Arc::new(Shared { progress: Mutex::new(Progress::new(begun)), over: Condvar::new() }))
    }

    fn begin_with(
        begun: Instant, silence_limit: Duration, write_report: impl FnMut(&Report) + Send + 'static,
    ) -> Watchdog {
        let watchdog = Watchdog::without_thread(begun);
        let watched = watchdog.0.clone();
        let thread = std::thread::Builder::new().name("start".into()).stack_size(STACK_SIZE);
        let _ = thread.spawn(move || watched.watch(silence_limit, write_report)); // never joined: a write may block
        watchdog
    }

    /// Records a completed step.
    pub fn note_step(&self, step: StartStep) {
        let now = Instant::now();
        self.0.update(|progress| {
            progress.last_step = Some(step);
            progress.changed_at = now;
        });
    }

    /// Records that the log's thread has written its first line, or that there is none to write.
    pub fn note_log_written(&self) {
        self.0.update(|progress| progress.is_log_written = true);
    }

    /// Ends the reports and the thread.
    pub fn end(&self) {
        self.0.update(|progress| progress.is_over = true);
    }
}

/// Writes the report as one line, bypassing the log and the lock of the standard library's handle, which a blocked write of the
/// log's thread holds. Blocks while nobody reads, but only the watchdog's thread. Errors are ignored: there is nowhere to
/// report them.
fn write_to_stderr(report: &Report) {
    let mut line = [0; MAX_REPORT];
    let mut rest = &mut line[..];
    let _ = writeln!(rest, "{report}"); // text that does not fit is cut off
    let unused = rest.len();
    let mut unwritten = &line[..MAX_REPORT - unused];
    let stderr = io::stderr();
    while let Ok(written @ 1..) = rustix::io::retry_on_intr(|| rustix::io::write(&stderr, unwritten)) {
        unwritten = &unwritten[written..];
    }
}

#[cfg(test)]
mod tests;
