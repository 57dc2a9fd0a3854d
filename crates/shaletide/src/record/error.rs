//! Why a command of `shaletide record` failed, and its exit status.

use super::text;
use shaletide_store::StoreError;

/// Why a command did not do as asked.
#[derive(Debug)]
pub struct CommandError {
    /// The exit status.
    pub status: u8,
    /// For standard error.
    pub why: String,
}

impl CommandError {
    /// The command or the store is invalid, or cannot be read.
    pub fn invalid(why: impl Into<String>) -> CommandError {
        CommandError { status: 2, why: why.into() }
    }

    /// The answer is no.
    pub fn negative(why: impl Into<String>) -> CommandError {
        CommandError { status: 1, why: why.into() }
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> CommandError {
        CommandError::invalid(text::trouble(&error))
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> CommandError {
        CommandError::invalid(format!("cannot write: {error}"))
    }
}
