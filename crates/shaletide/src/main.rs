//! The daemon's command line.
#![forbid(unsafe_code)]

mod cli;
mod commands;
mod daemon;
mod demo;
mod descriptors;
mod explain;
mod explore;
mod files;
mod log;
mod node;
mod record;
mod reload;
mod setup;

use clap::Parser;
use cli::{Cli, Command};
use daemon::{hangups, stops, Daemon, START_PATIENCE};
use files::Reading;
use reload::Again;
use setup::Setup;
use sha2::{Digest, Sha256};
use shaletide_config::operator;
use shaletide_net::retry_shortage;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, OnceLock};
use std::time::Instant;
use tokio::signal::unix::Signal;

/// The exit status where a configuration or the command line makes no sense.
const SENSELESS: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Some(Command::Serve { config }) => {
            let again: Again = Arc::new({
                let config = config.clone();
                move |_| setup_of(&config, Reading::Again)
            });
            started(|| setup_of(&config, Reading::First), again, cli.self_check)
        }
        Some(Command::Check { file }) => match read(&file, Reading::First) {
            Ok(operator) => {
                println!("{}: {}", file.display(), cli::summary(&operator));
                ExitCode::SUCCESS
            }
            Err(report) => senseless(&report),
        },
        Some(Command::Explain(asked)) => {
            match read(&asked.file, Reading::First).and_then(|o| explain::explain(&o, &asked)) {
                Ok(text) => {
                    print!("{text}");
                    ExitCode::SUCCESS
                }
                Err(why) => senseless(&why),
            }
        }
        Some(Command::Record(asked)) => record::run(&asked, |path| read(path, Reading::First)),
        Some(Command::Demo(asked)) => demo::run(&asked, cli.self_check),
        Some(Command::Explore(asked)) => explore::explore(&asked).unwrap_or_else(|why| senseless(&why)),
        None => platform(cli.with, cli.self_check),
    }
}

/// As the platform runs it.
fn platform(with: Option<PathBuf>, self_check: bool) -> ExitCode {
    let Some(path) = std::env::var_os("NODE_CONFIG").map(PathBuf::from) else {
        return senseless(cli::WHAT_NEXT);
    };
    // From NODE_CONFIG alone each time: nothing of an earlier file's outlasts it.
    let bare = Arc::new(OnceLock::new());
    let (known, from, adds) = (bare.clone(), path.clone(), with.clone());
    let again: Again = Arc::new(move |running| {
        node::again(known.get().unwrap_or(running), &from, adds.as_deref()).map_err(|e| e.to_string())
    });
    let first = || {
        let read = node::read(&path).map_err(|e| e.to_string())?;
        node::with(bare.get_or_init(|| read), with.as_deref()).map_err(|e| e.to_string())
    };
    started(first, again, self_check)
}

fn read(path: &Path, reading: Reading) -> Result<operator::Operator, String> {
    let bytes = files::read(path, operator::MAX_FILE, reading)
        .map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    operator::read_bytes(&path.display().to_string(), &bytes).map_err(|report| report.to_string())
}

fn setup_of(path: &Path, reading: Reading) -> Result<Setup, String> {
    let bytes = files::read(path, operator::MAX_FILE, reading)
        .map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let operator = operator::read_bytes(&path.display().to_string(), &bytes).map_err(|r| r.to_string())?;
    Ok(Setup::of_file(operator, format!("{:x}", Sha256::digest(&bytes))))
}

fn senseless(why: &str) -> ExitCode {
    eprintln!("shaletide: {}", why.trim_end());
    ExitCode::from(SENSELESS)
}

/// Serves until it is told to stop.
fn started(setup: impl FnOnce() -> Result<Setup, String>, again: Again, self_check: bool) -> ExitCode {
    let begun = Instant::now();
    let failed = |why: String| {
        eprintln!("shaletide: {why}");
        ExitCode::FAILURE
    };
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match retry_shortage(START_PATIENCE, build) {
        Ok(runtime) => runtime,
        Err(e) => return failed(format!("no event loop: {e}")),
    };
    let entered = runtime.enter();
    let hangup = match hangups() {
        Ok(hangup) => hangup,
        Err(e) => return failed(e.to_string()),
    };
    drop(entered);
    let setup = match setup() {
        Ok(setup) => setup,
        Err(why) => return senseless(&why),
    };
    let _log = log::start(tracing::Level::INFO);
    let local = tokio::task::LocalSet::new();
    let served = local.block_on(&runtime, serve(setup, again, hangup, self_check, begun));
    drop(local);
    runtime.shutdown_background(); // nobody waits for one who reads from a disk that hangs
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => failed(why),
    }
}

async fn serve(
    setup: Setup, again: Again, hangup: Signal, self_check: bool, begun: Instant,
) -> Result<(), String> {
    let stop = stops().map_err(|e| e.to_string())?;
    let daemon = Daemon::start(setup, self_check, begun).map_err(|e| e.to_string())?;
    daemon.announce();
    let (broken, _) = daemon.run(again, Some(hangup), stop).await;
    tracing::info!("stopped");
    match broken {
        0 => Ok(()),
        count => Err(format!("self-check: rules were broken {count} times, see the log")),
    }
}
