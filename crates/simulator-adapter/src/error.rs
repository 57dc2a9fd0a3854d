//! Errors of input lines.

use serde_json::Value;
use std::fmt;

/// An invalid input line, which ends the process.
#[derive(Debug)]
pub enum WireError {
    NotJson(serde_json::Error),
    NotAnArray,
    NoName,
    UnknownMessage(String),
    /// A message with the wrong number of values.
    Arity {
        message: String,
        expected: usize,
        got: usize,
    },
    /// A message outside of a batch.
    OutsideBatch {
        message: String,
    },
    /// A value that has the wrong type, is out of its range or is unknown.
    Value {
        message: String,
        index: usize,
        expected: String,
        got: Value,
    },
    /// A malformed entry of a list.
    Entry {
        entry: Value,
        expected: String,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::NotJson(error) => write!(f, "expected a JSON array: {error}"),
            WireError::NotAnArray => f.write_str("expected a JSON array"),
            WireError::NoName => f.write_str("expected a message name first"),
            WireError::UnknownMessage(name) => write!(f, "unknown message {name}"),
            WireError::Arity { message, expected, got } => {
                write!(f, "{message}: expected {expected} values, got {got}")
            }
            WireError::OutsideBatch { message } => write!(f, "{message}: expected TICK first"),
            WireError::Value { message, index, expected, got } => {
                write!(f, "{message}: value {index}: expected {expected}, got {got}")
            }
            WireError::Entry { entry, expected } => write!(f, "list entry {entry}: expected {expected}"),
        }
    }
}

impl std::error::Error for WireError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WireError::NotJson(error) => Some(error),
            _ => None,
        }
    }
}
