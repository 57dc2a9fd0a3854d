//! The steps of a start. Each completed step is logged at info with the time since the program began. The lines show the last
//! step of a process that does not become ready, and how long each step took.

use super::watchdog::Watchdog;
use std::fmt;
use std::future::Future;
use std::time::{Duration, Instant};
use tracing::info;

/// The timer whose firing shows that the event loop runs.
const EVENT_LOOP_CHECK: Duration = Duration::from_millis(1);

/// A completed step of the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// The log and its thread are started.
    LogStarted,
    /// The event loop is built.
    EventLoopBuilt,
    /// The first read of the configuration has ended, whether or not the configuration is complete.
    ConfigurationRead,
    /// Signals are received, including those that were pending.
    SignalsReceived,
    /// The configuration is complete.
    ConfigurationComplete,
    /// All parts are started. Addresses are listened on or waited for; that is logged separately.
    PartsStarted,
    /// All addresses are listened on.
    AddressesListenedOn,
    /// A timer that was set afterwards has fired, which shows that the event loop runs.
    EventLoopRuns,
}

impl StartStep {
    /// Returns the description of what a start waits for after this step.
    pub fn waits_for(self) -> &'static str {
        match self {
            StartStep::LogStarted => "the event loop to be built",
            StartStep::EventLoopBuilt => "the first reading of the configuration to end",
            StartStep::ConfigurationRead => "signals to be received",
            StartStep::SignalsReceived => "a configuration that is complete",
            StartStep::ConfigurationComplete => "the parts to start",
            StartStep::PartsStarted => "the addresses to be listened on",
            StartStep::AddressesListenedOn => "the event loop to run",
            StartStep::EventLoopRuns => "the log's first line to be written",
        }
    }

    /// Returns whether this is the last step.
    pub fn is_last(self) -> bool {
        self == StartStep::EventLoopRuns
    }
}

impl fmt::Display for StartStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartStep::LogStarted => "log started",
            StartStep::EventLoopBuilt => "event loop built",
            StartStep::ConfigurationRead => "first reading of the configuration ended",
            StartStep::SignalsReceived => "signals received",
            StartStep::ConfigurationComplete => "configuration complete",
            StartStep::PartsStarted => "parts started",
            StartStep::AddressesListenedOn => "all addresses listened on",
            StartStep::EventLoopRuns => "event loop runs",
        })
    }
}

/// Reports the completed steps of a start to the log and to the watchdog.
#[derive(Clone, Debug)]
pub struct StartProgress {
    begun: Instant,
    watchdog: Watchdog,
}

impl StartProgress {
    /// Creates the progress of a start that began at `begun` and is watched by `watchdog`.
    pub fn new(begun: Instant, watchdog: Watchdog) -> StartProgress {
        StartProgress { begun, watchdog }
    }

    /// Records a completed step.
    pub fn done(&self, step: StartStep) {
        self.watchdog.note_step(step);
        info!("start: {step} after {:.1} ms", self.begun.elapsed().as_secs_f64() * 1e3);
    }

    /// Records the steps that remain once the parts are started. To be run by the event loop that serves.
    pub async fn note_serving(self, all_listening: impl Future<Output = ()>) {
        all_listening.await;
        self.done(StartStep::AddressesListenedOn);
        tokio::time::sleep(EVENT_LOOP_CHECK).await;
        self.done(StartStep::EventLoopRuns);
    }
}
