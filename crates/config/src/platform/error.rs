//! The error for invalid settings of the platform.

use serde_json::Value;
use std::fmt;

/// The first invalid key of the settings, with its path on the platform.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The key is absent.
    Missing {
        /// Path of the key.
        path: String,
        /// Description of the expected value.
        expected: String,
    },
    /// The value of the key has the wrong type or is out of range.
    Unexpected {
        /// Path of the key.
        path: String,
        /// Description of the expected value.
        expected: String,
        /// The value found.
        found: Value,
    },
    /// An earlier class has the same name.
    DuplicateName {
        /// Path of the later class's name.
        path: String,
    },
    /// The latency objective of a class is above its deadline.
    ObjectiveAboveDeadline {
        /// Path of the objective.
        path: String,
        /// Name of the deadline's key in the same class.
        deadline_key: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Missing { path, expected } => write!(f, "{path}: missing, expected {expected}"),
            SettingsError::Unexpected { path, expected, found } => {
                write!(f, "{path}: expected {expected}, got {found}")
            }
            SettingsError::DuplicateName { path } => write!(f, "{path}: an earlier class has the same name"),
            SettingsError::ObjectiveAboveDeadline { path, deadline_key } => {
                write!(f, "{path}: expected no more than {deadline_key}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
