//! One line at info for each step of a start, with the time since the program's first moment: what a process that does not
//! get ready has done last, and how long each step took.

use std::fmt;
use std::time::Instant;
use tracing::info;

/// A step that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// The log's thread and the event loop are there.
    EventLoopBuilt,
    /// The first reading of the configuration has ended, whether or not it is complete.
    ConfigurationRead,
    /// Signals are received; those that have come before are taken.
    SignalsReceived,
    /// All parts are started; addresses are listened on or waited for, which has lines of its own.
    PartsStarted,
}

impl fmt::Display for StartStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartStep::EventLoopBuilt => "event loop built",
            StartStep::ConfigurationRead => "first reading of the configuration ended",
            StartStep::SignalsReceived => "signals received",
            StartStep::PartsStarted => "parts started",
        })
    }
}

/// Logs a step that is done.
pub fn log_step(begun: Instant, step: StartStep) {
    info!("start: {step} after {:.1} ms", begun.elapsed().as_secs_f64() * 1e3);
}
