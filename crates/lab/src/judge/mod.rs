//! Holds a run's samples against the rules, and measures how the service went.

pub mod expect;

use crate::samples::Sample;
use expect::{Expectation, Judged};
use serde::Serialize;

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Why it shows nothing, if it does not.
    pub void: Vec<String>,
    /// Each expectation.
    pub expectations: Vec<Judged>,
}

/// Judges a run: the rules, the accounts against each other, and what was expected of it.
pub fn judge(samples: &[Sample], _expectations: &[Expectation]) -> Verdict {
    let void = samples.iter().filter_map(|s| match s {
        Sample::Void { reason } => Some(reason.clone()),
        _ => None,
    });
    Verdict { void: void.collect(), expectations: Vec::new() }
}
