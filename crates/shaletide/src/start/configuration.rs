//! The result of reading the configuration at the start.

use crate::node::NodeError;
use crate::retry::StepOutcome;
use crate::setup::Setup;
use std::fmt;

/// Why the configuration could not be read.
#[derive(Debug)]
pub enum SetupError {
    /// The platform's file may not be completely written yet.
    Unfinished(String),
    /// The file is invalid, or is an operators' file that cannot be read; the operator waits for the result.
    Invalid(String),
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (SetupError::Unfinished(text) | SetupError::Invalid(text)) = self;
        f.write_str(text.trim_end())
    }
}

impl From<NodeError> for SetupError {
    fn from(error: NodeError) -> SetupError {
        if error.is_transient() {
            SetupError::Unfinished(error.to_string())
        } else {
            SetupError::Invalid(error.to_string())
        }
    }
}

impl From<Result<Setup, SetupError>> for StepOutcome<Setup, SetupError> {
    fn from(read: Result<Setup, SetupError>) -> StepOutcome<Setup, SetupError> {
        match read {
            Ok(setup) => StepOutcome::Ready(setup),
            Err(error @ SetupError::Unfinished(_)) => StepOutcome::WaitFor(error),
            Err(error @ SetupError::Invalid(_)) => StepOutcome::Fatal(error),
        }
    }
}
