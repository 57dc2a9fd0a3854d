//! The program: parses the command line and runs the command.
#![deny(unsafe_code)]

mod build_check;
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
mod signals;
mod start;
mod start_error;
mod subscriptions;

use clap::Parser;
use cli::{Cli, Command};
use files::ReadMode;
use reload::ReadConfiguration;
use setup::Setup;
use sha2::{Digest, Sha256};
use shaletide_config::operator::{self, OperatorConfig};
use start::configuration::SetupError;
use start::configuration_reader::ReadFirst;
use start::{reject, Start};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, OnceLock};

/// If this environment variable is set, a start by `NODE_CONFIG` that completes no step for some seconds is reported.
const REPORT_SILENT_START: &str = "NODE_REPORT_SILENT_START";

fn main() -> ExitCode {
    signals::block_all();
    let cli = Cli::try_parse().unwrap_or_else(|error| {
        signals::restore_inherited();
        error.exit() // writes the help, the version or the error, which may block
    });
    if !matches!(cli.command, None | Some(Command::Serve { .. })) {
        signals::restore_inherited();
    }
    match cli.command {
        Some(Command::Serve { config }) => {
            let read_again: ReadConfiguration = Arc::new({
                let config = config.clone();
                move |_| setup_of(&config, ReadMode::Again)
            });
            let read: ReadFirst =
                Arc::new(move || setup_of(&config, ReadMode::First).map_err(SetupError::Invalid));
            let shortage_patience = Some(files::SHORTAGE_PATIENCE);
            Start { shortage_patience, read_again, reports_silence: true, self_check: cli.self_check }
                .run(read)
        }
        Some(Command::Check { file }) => match read(&file, ReadMode::First) {
            Ok(operator) => {
                println!("{}: {}", file.display(), cli::summary(&operator));
                ExitCode::SUCCESS
            }
            Err(report) => reject(&report),
        },
        Some(Command::Explain(args)) => {
            match read(&args.file, ReadMode::First).and_then(|o| explain::explain(&o, &args)) {
                Ok(text) => {
                    print!("{text}");
                    ExitCode::SUCCESS
                }
                Err(why) => reject(&why),
            }
        }
        Some(Command::Record(args)) => record::run(&args, |path| read(path, ReadMode::First)),
        Some(Command::Demo(args)) => demo::run(&args, cli.self_check),
        Some(Command::Explore(args)) => explore::explore(&args).unwrap_or_else(|why| reject(&why)),
        None => platform(cli.with, cli.self_check),
    }
}

/// Starts the daemon with the configuration that `NODE_CONFIG` names, as the platform runs it.
fn platform(with: Option<PathBuf>, self_check: bool) -> ExitCode {
    let Some(path) = std::env::var_os("NODE_CONFIG").map(PathBuf::from) else {
        return reject(cli::USAGE_HINT);
    };
    // Each read starts from NODE_CONFIG alone, so that nothing of an earlier extension remains.
    let bare = Arc::new(OnceLock::new());
    let first_read = bare.clone();
    let node_config = path.clone();
    let extension = with.clone();
    let read_again: ReadConfiguration = Arc::new(move |running| {
        node::read_again(first_read.get().unwrap_or(running), &node_config, extension.as_deref())
            .map_err(|e| e.to_string())
    });
    let first: ReadFirst = Arc::new(move || {
        let read = node::read(&path)?;
        Ok(node::extended(bare.get_or_init(|| read), with.as_deref())?)
    });
    // Off by default: the report needs an additional thread, which a start on the platform does without.
    let reports_silence = std::env::var_os(REPORT_SILENT_START).is_some();
    Start { shortage_patience: None, read_again, reports_silence, self_check }.run(first)
}

/// Reads and validates an operators' file.
fn read(path: &Path, reading: ReadMode) -> Result<OperatorConfig, String> {
    let bytes = read_file(path, reading)?;
    operator::read_bytes(&path.display().to_string(), &bytes).map_err(|report| report.to_string())
}

fn read_file(path: &Path, reading: ReadMode) -> Result<Vec<u8>, String> {
    let bytes = files::read(path, operator::MAX_FILE_BYTES, reading);
    bytes.map_err(|error| format!("cannot read {}: {error}", path.display()))
}

fn setup_of(path: &Path, reading: ReadMode) -> Result<Setup, String> {
    let bytes = read_file(path, reading)?;
    let operator = operator::read_bytes(&path.display().to_string(), &bytes).map_err(|r| r.to_string())?;
    Ok(Setup::from_file(operator, format!("{:x}", Sha256::digest(&bytes))))
}
