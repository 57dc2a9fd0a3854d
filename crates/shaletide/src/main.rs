//! The daemon's command line.
#![forbid(unsafe_code)]

mod cli;
mod commands;
mod control_socket;
mod daemon;
mod demo;
mod descriptors;
mod explain;
mod explore;
mod files;
mod listening;
mod log;
mod node;
mod record;
mod reload;
mod retry;
mod setup;
mod start;
mod start_error;

use clap::Parser;
use cli::{Cli, Command};
use files::Reading;
use reload::Again;
use setup::Setup;
use sha2::{Digest, Sha256};
use shaletide_config::operator;
use start::configuration::SetupError;
use start::{senseless, Start};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// With an operators' file a shortage of the system's is waited for so long; on the platform for as long as it takes.
const SHORTAGE_PATIENCE: Duration = Duration::from_secs(8);

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Some(Command::Serve { config }) => {
            let again: Again = Arc::new({
                let config = config.clone();
                move |_| setup_of(&config, Reading::Again)
            });
            let read = || setup_of(&config, Reading::First).map_err(SetupError::Senseless);
            let shortage_patience = Some(SHORTAGE_PATIENCE);
            Start { shortage_patience, again, self_check: cli.self_check }.run(read)
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
        let read = node::read(&path)?;
        Ok(node::with(bare.get_or_init(|| read), with.as_deref())?)
    };
    Start { shortage_patience: None, again, self_check }.run(first)
}

fn read(path: &Path, reading: Reading) -> Result<operator::OperatorConfig, String> {
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
