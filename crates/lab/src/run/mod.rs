//! Runs an experiment: everything is started, the timeline is carried out, samples are taken, everything ends.

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
    /// The lab's own program, which guards processes.
    pub lab: PathBuf,
    /// The program that is looked at.
    pub program: PathBuf,
    /// In place of the experiment's seed.
    pub seed: Option<u64>,
    /// Where samples and the processes' directories go; none: to a folder that is removed.
    pub out: Option<PathBuf>,
    /// The command that repeats the run.
    pub command: String,
    /// Nothing is said of how it goes on.
    pub quiet: bool,
    /// Set from outside: the run ends early, and is void.
    pub stop: Arc<AtomicBool>,
}

/// Runs an experiment to its end, whatever that is. All processes have ended by then. The samples; a run that says
/// nothing has a [`Sample::Void`] among them.
///
/// # Errors
/// What stands around the processes could not be set up.
pub fn run(experiment: &Experiment, options: &Options) -> Result<Vec<Sample>, RunError> {
    driver::run(experiment, options)
}
