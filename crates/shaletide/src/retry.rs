//! Retries steps of the start, and logs the retries.

use crate::log::write_if_room;
use crate::signals;
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The outcome of an attempt at a step.
#[derive(Debug)]
pub enum StepOutcome<T, E> {
    /// The step is done.
    Ready(T),
    /// The step failed on a condition that may pass.
    WaitFor(E),
    /// The step failed on a condition that does not pass by itself.
    Fatal(E),
}

/// How a step is retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// The pause between two attempts.
    pub pause: Duration,
    /// How long the step is retried; `None`: without limit.
    pub patience: Option<Duration>,
}

/// The texts of the log about a step.
#[derive(Clone, Copy, Debug)]
pub struct StepNames {
    /// While the step is retried.
    pub waiting: &'static str,
    /// Once the step is done.
    pub done: &'static str,
}

/// A waiting step is logged at once, and then at most once per this interval.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The log of one waiting step.
#[derive(Debug)]
pub struct WaitLog {
    since: Instant,
    attempts: u64,
    logged_at: Option<Instant>,
}

impl WaitLog {
    /// Starts the log of a step that begins to wait.
    pub fn begin() -> WaitLog {
        WaitLog { since: Instant::now(), attempts: 0, logged_at: None }
    }

    /// Returns how long the step has waited.
    pub fn waited(&self) -> Duration {
        self.since.elapsed()
    }

    /// Counts a failed attempt, and returns whether a line is due.
    pub fn count(&mut self) -> bool {
        self.attempts += 1;
        self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL)
    }

    /// Logs the cause and the number of attempts.
    pub fn warn(&mut self, cause: impl Display) {
        let line = self.line();
        warn!("{cause}; {line}");
    }

    /// Returns the end of a line that the caller writes. The line counts as written.
    pub fn line(&mut self) -> String {
        self.logged_at = Some(Instant::now());
        format!("{} attempts in {:.1} s, retrying", self.attempts, self.waited().as_secs_f64())
    }

    /// Logs that the step is done.
    pub fn done(&self, what: impl Display) {
        let attempts = self.attempts;
        let waited = self.waited().as_secs_f64();
        info!("{what} after {attempts} failed attempts in {waited:.3} s");
    }
}

/// Repeats a call while the system lacks the resources for it, for at most `patience`; `None`: without limit. To be used before
/// signals are received: a stop signal during a pause ends the program at once.
///
/// # Errors
/// Any other error of the call, or the last one after `patience`.
pub fn retry_shortage<T>(patience: Option<Duration>, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    shaletide_net::retry_shortage(patience, stoppable_sleep, |line| warn!("{line}"), call)
}

/// As [`retry_shortage`], while the log is not started: lines go directly to standard error if it accepts them at once.
///
/// # Errors
/// Any other error of the call, or the last one after `patience`.
pub fn retry_shortage_without_log<T>(
    patience: Option<Duration>, call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    shaletide_net::retry_shortage(patience, stoppable_sleep, |line| write_if_room(line), call)
}

fn stoppable_sleep(pause: Duration) {
    signals::stoppable(|| std::thread::sleep(pause));
}

/// Retries a step until it is done.
///
/// # Errors
/// A failure that does not pass by itself, or the last failure once the patience is over.
pub async fn until_ready<T, E: Display>(
    step: StepNames, policy: RetryPolicy, mut attempt: impl AsyncFnMut() -> StepOutcome<T, E>,
) -> Result<T, E> {
    let mut log = WaitLog::begin();
    loop {
        let cause = match attempt().await {
            StepOutcome::Ready(done) => {
                log.done(step.done);
                return Ok(done);
            }
            StepOutcome::Fatal(cause) => return Err(cause),
            StepOutcome::WaitFor(cause) => cause,
        };
        if log.count() {
            log.warn(format_args!("{}: {cause}", step.waiting));
        }
        if policy.patience.is_some_and(|patience| log.waited() >= patience) {
            return Err(cause);
        }
        tokio::time::sleep(policy.pause).await;
    }
}
