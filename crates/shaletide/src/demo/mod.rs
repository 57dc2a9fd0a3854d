//! `shaletide demo`: backends, discovery, clients and the proxy in one process on loopback, some trouble, and a report.
//!
//! The proxy is the daemon that `serve` runs, by an operators' file made here. It has the main thread; the
//! stand-ins have theirs, and one more tells them what to do when.

mod report;
mod rules;
mod script;
mod stage;

use crate::cli::Demo;
use crate::daemon::Daemon;
use crate::reload::ReadConfiguration;
use crate::setup::Setup;
use report::{report, Report};
use script::{play, Played};
use shaletide_config::operator;
use stage::Stage;
use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// The exit status of what SIGINT ended, as shells have it.
const INTERRUPTED: u8 = 130;

/// Runs it and says what came of it.
pub fn run(asked: &Demo, self_check: bool) -> ExitCode {
    let _log = crate::log::start(tracing::Level::WARN);
    let played = match staged(asked, self_check) {
        Ok(played) => played,
        Err(why) => {
            crate::log::say_failure(format_args!("the demo could not run: {why}"));
            return ExitCode::FAILURE;
        }
    };
    let report = report(&played);
    say(&report.text);
    ExitCode::from(status(&report, played.interrupted))
}

/// The exit status.
fn status(report: &Report, interrupted: bool) -> u8 {
    match (report.holds, interrupted) {
        (false, _) => 1,
        (true, true) => INTERRUPTED,
        (true, false) => 0,
    }
}

/// A line of the demo's. Whoever reads may have left: that changes nothing.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Sets all up, runs the proxy on this thread until the script is over, and returns what was written down.
fn staged(asked: &Demo, self_check: bool) -> Result<Played, String> {
    let stage = Stage::set().map_err(|e| format!("no stand-ins: {e}"))?;
    if asked.show_config {
        say(&stage.config);
    }
    let operator = operator::read("demo.toml", &stage.config).map_err(|report| report.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no event loop: {e}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(
        &runtime,
        proxied(
            Setup::from_file(operator, String::new()),
            stage,
            Duration::from_secs(asked.seconds),
            self_check,
        ),
    )
}

/// The proxy at work for as long as the script lasts.
async fn proxied(setup: Setup, stage: Stage, seconds: Duration, self_check: bool) -> Result<Played, String> {
    let daemon = Daemon::start(setup, self_check, Instant::now()).map_err(|e| e.to_string())?;
    let (stop, stopped) = watch::channel(false);
    tokio::task::spawn_local(interrupts(stop));
    let (over, ended) = oneshot::channel();
    let work = move || {
        let played = play(&stage, seconds, stopped);
        let _ = over.send(()); // the daemon listens for as long as it runs
        (stage, played)
    };
    let script = std::thread::Builder::new().name("script".into()).spawn(work);
    let script = script.map_err(|e| format!("no thread: {e}"))?;
    let read_again: ReadConfiguration = Arc::new(|_| Err("the demo has no file to read again".into()));
    let stop = async {
        let _ = ended.await; // a script that broke off has ended too
    };
    let report = daemon.run(read_again, None, stop).await;
    if let Some(failure) = report.failure {
        return Err(failure.to_string());
    }
    // The stand-ins stay until the proxy has ended: it would complain of a discovery that left.
    let (_stage, played) = script.join().map_err(|_| "the script broke off".to_string())?;
    let mut played = played.map_err(|e| format!("no load: {e}"))?;
    played.watched = self_check.then_some((report.violations, report.first_violations));
    Ok(played)
}

/// The first SIGINT ends the load; the second, the program.
async fn interrupts(stop: watch::Sender<bool>) {
    if tokio::signal::ctrl_c().await.is_ok() {
        let _ = stop.send(true); // the script may be over
        if tokio::signal::ctrl_c().await.is_ok() {
            std::process::exit(i32::from(INTERRUPTED));
        }
    }
    std::future::pending::<()>().await; // a sender that is gone would pass for a stop
}
