//! Why a command of `shaletide record` failed, and its exit status.

use super::text;
use shaletide_store::StoreError;

/// The failure of a command.
#[derive(Debug)]
pub struct CommandError {
    /// The exit status.
    pub status: u8,
    /// The message for standard error.
    pub why: String,
}

impl CommandError {
    /// The command or the store is invalid, or cannot be read.
    pub fn invalid(why: impl Into<String>) -> CommandError {
        CommandError { status: 2, why: why.into() }
    }

    /// The answer is negative, or the command was rejected.
    pub fn negative(why: impl Into<String>) -> CommandError {
        CommandError { status: 1, why: why.into() }
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> CommandError {
        CommandError::invalid(text::explain(&error))
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> CommandError {
        CommandError::invalid(format!("cannot write: {error}"))
    }
}
