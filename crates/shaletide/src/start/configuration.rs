//! What a reading of the configuration at the start comes to.

use crate::node::NodeError;
use crate::retry::Attempt;
use crate::setup::Setup;
use std::fmt;

/// Why there is no configuration.
#[derive(Debug)]
pub enum SetupError {
    /// The platform's file may be about to be written.
    Unfinished(String),
    /// It makes no sense, or is a file of a person's, who waits for the answer.
    Senseless(String),
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (SetupError::Unfinished(text) | SetupError::Senseless(text)) = self;
        f.write_str(text.trim_end())
    }
}

impl From<NodeError> for SetupError {
    fn from(error: NodeError) -> SetupError {
        if error.may_pass() {
            SetupError::Unfinished(error.to_string())
        } else {
            SetupError::Senseless(error.to_string())
        }
    }
}

impl From<Result<Setup, SetupError>> for Attempt<Setup, SetupError> {
    fn from(read: Result<Setup, SetupError>) -> Attempt<Setup, SetupError> {
        match read {
            Ok(setup) => Attempt::Ready(setup),
            Err(error @ SetupError::Unfinished(_)) => Attempt::WaitFor(error),
            Err(error @ SetupError::Senseless(_)) => Attempt::Fatal(error),
        }
    }
}
