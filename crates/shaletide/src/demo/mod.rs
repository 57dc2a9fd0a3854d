//! `shaletide demo`: runs backends, discovery, clients and the proxy in one process on loopback, with some faults, and prints a
//! report.
//!
//! The proxy is the daemon that `serve` runs, with a generated operators' file. It runs on the main thread; the stand-ins have
//! their own threads, and another one runs the scenario.

mod environment;
mod output;
mod report;
mod rules;
mod run;
mod scenario;
mod shares;

use crate::cli::Demo;
use crate::daemon::Daemon;
use crate::reload::ReadConfiguration;
use crate::setup::Setup;
use crate::signals::{self, SignalEvents, SignalReceiver};
use environment::Environment;
use nix::sys::signal::Signal::SIGINT;
use output::print_line;
use report::{report, Report};
use run::{DemoRun, SelfCheck};
use scenario::run_scenario;
use shaletide_config::operator;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// The exit status after SIGINT, as in shells.
const INTERRUPTED: u8 = 130;

/// Runs the demo and prints its report.
pub fn run(args: &Demo, self_check: bool) -> ExitCode {
    signals::block(&[SIGINT]); // the stand-ins' threads inherit the mask
    let _log = match crate::log::start(tracing::Level::WARN, || {}) {
        Ok(log) => log,
        Err(error) => {
            crate::log::report_failure(format_args!("the demo could not run: cannot start the log: {error}"));
            return ExitCode::FAILURE;
        }
    };
    let demo_run = match run_in_environment(args, self_check) {
        Ok(demo_run) => demo_run,
        Err(why) => {
            crate::log::report_failure(format_args!("the demo could not run: {why}"));
            return ExitCode::FAILURE;
        }
    };
    let report = report(&demo_run);
    print_line(&report.text);
    ExitCode::from(status(&report, demo_run.interrupted))
}

/// Returns the exit status.
fn status(report: &Report, interrupted: bool) -> u8 {
    match (report.holds, interrupted) {
        (false, _) => 1,
        (true, true) => INTERRUPTED,
        (true, false) => 0,
    }
}

/// Starts the stand-ins, runs the proxy on this thread until the scenario has ended, and returns the recorded results.
fn run_in_environment(args: &Demo, self_check: bool) -> Result<DemoRun, String> {
    let environment = Environment::launch().map_err(|e| format!("cannot start the stand-ins: {e}"))?;
    if args.show_config {
        print_line(&environment.config);
    }
    let operator = operator::read("demo.toml", &environment.config).map_err(|report| report.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot build the event loop: {e}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(
        &runtime,
        run_proxy(
            Setup::from_file(operator, String::new()),
            environment,
            Duration::from_secs(args.seconds),
            self_check,
        ),
    )
}

/// Runs the proxy until the scenario has ended.
async fn run_proxy(
    setup: Setup, environment: Environment, seconds: Duration, self_check: bool,
) -> Result<DemoRun, String> {
    let daemon = Daemon::start(setup, self_check, Instant::now()).await.map_err(|e| e.to_string())?;
    let signals = Rc::new(SignalEvents::default());
    let receiver = SignalReceiver::new(&[SIGINT]).map_err(|e| format!("cannot receive signals: {e}"))?;
    tokio::task::spawn_local(signals.clone().receive(receiver));
    let (stop, stopped) = watch::channel(false);
    tokio::task::spawn_local(handle_interrupts(signals.clone(), stop));
    let (ended_tx, ended) = oneshot::channel();
    let work = move || {
        let demo_run = run_scenario(&environment, seconds, stopped);
        let _ = ended_tx.send(()); // the daemon holds the receiver while it runs
        (environment, demo_run)
    };
    let scenario = std::thread::Builder::new().name("script".into()).spawn(work);
    let scenario = scenario.map_err(|e| format!("cannot start the scenario's thread: {e}"))?;
    let read_again: ReadConfiguration =
        Arc::new(|_| Err("the demo has no configuration file to reload".into()));
    let stop = async {
        let _ = ended.await; // also returns if the scenario panics
    };
    let report = daemon.run(read_again, &signals, stop).await;
    if let Some(failure) = report.failure {
        return Err(failure.to_string());
    }
    // The stand-ins run until the proxy has ended: otherwise it would log errors about a lost discovery.
    let (_environment, demo_run) = scenario.join().map_err(|_| "the scenario's thread failed".to_string())?;
    let mut demo_run = demo_run.map_err(|e| format!("the load could not run: {e}"))?;
    demo_run.self_check =
        self_check.then_some(SelfCheck { violations: report.violations, first: report.first_violations });
    Ok(demo_run)
}

/// The first SIGINT ends the load, the second one the program.
async fn handle_interrupts(signals: Rc<SignalEvents>, stop: watch::Sender<bool>) {
    signals.stop().await;
    let _ = stop.send(true); // the scenario may have ended
    signals.stop().await;
    std::process::exit(i32::from(INTERRUPTED));
}
