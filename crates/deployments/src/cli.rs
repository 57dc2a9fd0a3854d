//! The command line: read as text, then validated as a whole, so that all errors are reported together.

use clap::Parser;
use std::fmt;
use std::path::PathBuf;

/// Maximum number of deployments per call.
pub const MAX_COUNT: u32 = 1_000;

/// The files that the bench reads beside a site file.
pub const COMPANION_FILES: [&str; 3] = ["wire.json", "real.json", "unlock.txt"];

/// Writes random deployments as site files for the bench. The same seed gives the same files.
#[derive(Clone, Debug, Parser)]
#[command(name = "shaletide-deployments", version)]
pub struct Arguments {
    /// Seed of all draws, 0 to 2^64 - 1.
    #[arg(long, default_value = "1", allow_hyphen_values = true)]
    pub seed: String,
    /// Number of deployments, 1 to 1000. A larger number starts with the deployments of a smaller one.
    #[arg(long, default_value = "12", allow_hyphen_values = true)]
    pub count: String,
    /// Folder that the files are written to; created if it does not exist.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Folder whose wire.json, real.json and unlock.txt are copied beside the site files.
    #[arg(long, value_name = "DIR", default_value = "deploy/sites/moss-gauges")]
    pub companions: PathBuf,
}

/// Validated arguments.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Seed of all draws.
    pub seed: u64,
    /// Number of deployments, from 1 to [`MAX_COUNT`].
    pub count: u32,
    /// Folder for the files; a folder or absent at the time of validation.
    pub out: PathBuf,
    /// Folder that held all [`COMPANION_FILES`] at the time of validation.
    pub companions: PathBuf,
}

/// An error in one argument.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum ArgumentError {
    /// `--seed` is not an integer of 64 bits.
    Seed(String),
    /// `--count` is not an integer from 1 to [`MAX_COUNT`].
    Count(String),
    /// `--out` names something that is not a folder.
    OutNotFolder(PathBuf),
    /// A file of [`COMPANION_FILES`] is missing in the folder of `--companions`.
    CompanionMissing(PathBuf),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Seed(found) => {
                write!(out, "--seed: expected a whole number from 0 to 2^64 - 1, found {found:?}")
            }
            Self::Count(found) => {
                write!(out, "--count: expected a whole number from 1 to {MAX_COUNT}, found {found:?}")
            }
            Self::OutNotFolder(path) => {
                write!(out, "--out: expected a folder or an unused name, found the file {}", path.display())
            }
            Self::CompanionMissing(path) => write!(out, "--companions: missing file {}", path.display()),
        }
    }
}

impl std::error::Error for ArgumentError {}

impl TryFrom<Arguments> for Request {
    type Error = Vec<ArgumentError>;

    /// # Errors
    /// All errors in the arguments. Nothing has been written.
    fn try_from(arguments: Arguments) -> Result<Request, Vec<ArgumentError>> {
        let mut errors = Vec::new();
        let seed = arguments.seed.parse::<u64>().ok();
        if seed.is_none() {
            errors.push(ArgumentError::Seed(arguments.seed));
        }
        let count = arguments.count.parse::<u32>().ok().filter(|count| (1..=MAX_COUNT).contains(count));
        if count.is_none() {
            errors.push(ArgumentError::Count(arguments.count));
        }
        if arguments.out.exists() && !arguments.out.is_dir() {
            errors.push(ArgumentError::OutNotFolder(arguments.out.clone()));
        }
        for name in COMPANION_FILES {
            let path = arguments.companions.join(name);
            if !path.is_file() {
                errors.push(ArgumentError::CompanionMissing(path));
            }
        }
        match (seed, count) {
            (Some(seed), Some(count)) if errors.is_empty() => {
                Ok(Request { seed, count, out: arguments.out, companions: arguments.companions })
            }
            _ => Err(errors),
        }
    }
}
