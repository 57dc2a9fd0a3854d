//! Runs an experiment: starts all parts, carries out the timeline, takes samples, ends all parts.

mod collect;
mod cpu;
mod driver;
mod error;
mod setup;

pub use error::RunError;

use crate::experiment::Experiment;
use crate::samples::Sample;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The lab's own executable, which runs the guards.
    pub lab: PathBuf,
    /// The executable under test.
    pub program: PathBuf,
    /// Overrides the experiment's seed.
    pub seed: Option<u64>,
    /// Directory for samples and the processes' directories; none: a temporary one.
    pub out: Option<PathBuf>,
    /// The command that repeats the run.
    pub command: String,
    /// Prints no progress.
    pub quiet: bool,
    /// Set from outside to end the run early; it is then void.
    pub stop: Arc<AtomicBool>,
}

/// Runs an experiment to its end and returns its samples. All processes have ended by then. A run that shows
/// nothing has a [`Sample::Void`] among them.
///
/// # Errors
/// The environment of the processes could not be set up.
pub fn run(experiment: &Experiment, options: &Options) -> Result<Vec<Sample>, RunError> {
    driver::run(experiment, options)
}
