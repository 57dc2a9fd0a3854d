//! What is wrong with a line.

use serde_json::Value;
use std::fmt;

/// A line that the adapter cannot take: the process ends with it.
#[derive(Debug)]
pub enum WireError {
    NotJson(serde_json::Error),
    NotAnArray,
    NoName,
    UnknownMessage(String),
    /// A message with another number of values than it has.
    Arity {
        message: String,
        expected: usize,
        got: usize,
    },
    /// A message outside of a batch.
    OutsideBatch {
        message: String,
    },
    /// A value of the wrong type, out of its range or unknown.
    Value {
        message: String,
        index: usize,
        expected: String,
        got: Value,
    },
    /// An entry of a list that is malformed.
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
