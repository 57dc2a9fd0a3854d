//! The start of the daemon, one function for each step. A step that fails on an external condition that may pass (an address
//! in use, a half-written file, a shortage, a socket that an earlier process still holds) is retried; it neither ends the
//! process nor blocks any other part.

pub mod configuration;
pub mod configuration_reader;
mod progress;
mod watchdog;

use crate::build_check::warn_about_missing_build_flag;
use crate::daemon::Daemon;
use crate::log::{report_failure, QueueGuard};
use crate::reload::ReadConfiguration;
use crate::retry::{
    retry_shortage, retry_shortage_without_log, until_ready, RetryPolicy, StepNames, StepOutcome,
};
use crate::setup::Setup;
use crate::signals::{self, SignalEvents, SignalReceiver, DAEMON_SIGNALS};
use crate::start_error::StartError;
use configuration::SetupError;
use configuration_reader::{ConfigurationReader, ReadFirst};
use progress::{StartProgress, StartStep};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::task::LocalSet;
use watchdog::Watchdog;

/// The exit status for an invalid configuration or command line.
pub const INVALID_STATUS: u8 = 2;

const CONFIGURATION_STEP: StepNames =
    StepNames { waiting: "no configuration yet", done: "configuration read" };
/// How an incomplete configuration is read again.
const CONFIGURATION_RETRY: RetryPolicy = RetryPolicy { pause: Duration::from_millis(100), patience: None };

/// Reports an invalid configuration or command line, and returns its exit status.
pub fn reject(why: &str) -> ExitCode {
    report_failure(why.trim_end());
    ExitCode::from(INVALID_STATUS)
}

/// Why the program ends with a status other than 0.
#[derive(Debug)]
enum Failure {
    /// The configuration is invalid: status 2.
    Invalid(String),
    /// The program cannot serve, or broke a rule: status 1.
    Failed(String),
}

impl Failure {
    fn failed(error: impl std::fmt::Display) -> Failure {
        Failure::Failed(error.to_string())
    }

    fn report(&self) -> ExitCode {
        match self {
            Failure::Invalid(why) => reject(why),
            Failure::Failed(why) => {
                report_failure(why);
                ExitCode::FAILURE
            }
        }
    }
}

/// The options of a start.
pub struct Start {
    /// How long a step that lacks memory or descriptors is retried; `None`: without limit.
    pub shortage_patience: Option<Duration>,
    /// Reads the configuration again at SIGHUP.
    pub read_again: ReadConfiguration,
    /// Whether a separate thread reports a start that completes no step for some seconds.
    pub reports_silence: bool,
    /// Whether the monitors check the invariants.
    pub self_check: bool,
}

impl Start {
    /// Starts the daemon with the configuration that `read` returns, and serves until a stop signal.
    pub fn run(self, read: ReadFirst) -> ExitCode {
        let begun = Instant::now();
        let watchdog = match self.reports_silence {
            true => Watchdog::begin(begun),
            false => Watchdog::without_thread(begun),
        };
        let status = self.run_watched(read, begun, &watchdog);
        watchdog.end();
        status
    }

    fn run_watched(self, read: ReadFirst, begun: Instant, watchdog: &Watchdog) -> ExitCode {
        let _log = match start_log(self.shortage_patience, watchdog) {
            Ok(log) => log,
            Err(failure) => return failure.report(),
        };
        warn_about_missing_build_flag();
        let progress = StartProgress::new(begun, watchdog.clone());
        progress.done(StartStep::LogStarted);
        let runtime = match build_event_loop(self.shortage_patience) {
            Ok(runtime) => runtime,
            Err(failure) => return failure.report(),
        };
        progress.done(StartStep::EventLoopBuilt);
        let local = LocalSet::new();
        let served = self.serve(&runtime, &local, read, begun, &progress);
        drop(local);
        runtime.shutdown_background(); // a thread may be blocked in a read from a hanging disk
        match served {
            Ok(()) => ExitCode::SUCCESS,
            Err(failure) => failure.report(),
        }
    }

    fn serve(
        self, runtime: &Runtime, local: &LocalSet, read: ReadFirst, begun: Instant, progress: &StartProgress,
    ) -> Result<(), Failure> {
        // The first read may block on a pipe. A SIGHUP that arrives before its end causes another read, as the first one may
        // have missed the change.
        let first = signals::stoppable(&*read);
        progress.done(StartStep::ConfigurationRead);
        let signals = self.receive_signals(runtime, local).map_err(Failure::failed)?;
        progress.done(StartStep::SignalsReceived);
        let setup = match StepOutcome::from(first) {
            StepOutcome::Ready(setup) => setup,
            StepOutcome::Fatal(error) => return Err(Failure::Invalid(error.to_string())),
            StepOutcome::WaitFor(_) => match local.block_on(runtime, wait_for_setup(read, &signals)) {
                Some(setup) => setup.map_err(|error| Failure::Invalid(error.to_string()))?,
                None => return Ok(()),
            },
        };
        progress.done(StartStep::ConfigurationComplete);
        local.block_on(runtime, self.serve_setup(setup, signals, begun, progress))
    }

    /// Starts receiving signals.
    fn receive_signals(&self, runtime: &Runtime, local: &LocalSet) -> Result<Rc<SignalEvents>, StartError> {
        let _entered = runtime.enter();
        let receiver = retry_shortage(self.shortage_patience, || SignalReceiver::new(&DAEMON_SIGNALS));
        let events = Rc::new(SignalEvents::default());
        local.spawn_local(events.clone().receive(receiver.map_err(StartError::Signals)?));
        Ok(events)
    }

    async fn serve_setup(
        self, setup: Setup, signals: Rc<SignalEvents>, begun: Instant, progress: &StartProgress,
    ) -> Result<(), Failure> {
        let started = tokio::select! {
            biased; // a start that waits for nothing completes first, and then stops as a serving daemon does
            started = Daemon::start(setup, self.self_check, begun) => started,
            () = signals.stop() => return Ok(()),
        };
        let daemon = started.map_err(Failure::failed)?;
        progress.done(StartStep::PartsStarted);
        tokio::task::spawn_local(progress.clone().note_serving(daemon.all_listening()));
        let report = daemon.run(self.read_again, &signals, signals.stop()).await;
        if let Some(failure) = report.failure {
            return Err(Failure::failed(failure));
        }
        tracing::info!(target: "shaletide", "stopped");
        match report.violations {
            0 => Ok(()),
            count => {
                Err(Failure::Failed(format!("self-check: rules were broken {count} times, see the log")))
            }
        }
    }
}

fn build_event_loop(patience: Option<Duration>) -> Result<Runtime, Failure> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    retry_shortage(patience, build).map_err(|e| Failure::Failed(format!("cannot build the event loop: {e}")))
}

/// Starts the log as soon as the system can start a thread. If it cannot, the watchdog ends its thread to free one.
fn start_log(patience: Option<Duration>, watchdog: &Watchdog) -> Result<QueueGuard, Failure> {
    let attempt = || {
        let written = watchdog.clone();
        let log = crate::log::start(tracing::Level::INFO, move || written.note_log_written());
        if log.is_err() {
            watchdog.end();
        }
        log
    };
    let log = retry_shortage_without_log(patience, attempt);
    let log = log.map_err(|e| Failure::Failed(format!("cannot start the log: {e}")))?;
    if !tracing::enabled!(tracing::Level::INFO) {
        watchdog.note_log_written(); // a start without errors writes no line at this level
    }
    Ok(log)
}

/// Reads the configuration until it is complete or invalid; returns `None` if a stop signal arrives first.
async fn wait_for_setup(read: ReadFirst, signals: &SignalEvents) -> Option<Result<Setup, SetupError>> {
    let mut reader = ConfigurationReader::new(read);
    let attempt = async || StepOutcome::from(reader.read().await);
    let setup = until_ready(CONFIGURATION_STEP, CONFIGURATION_RETRY, attempt);
    tokio::select! {
        setup = setup => Some(setup),
        () = signals.stop() => None,
    }
}
