//! What is wrong with the platform's settings.

use serde_json::Value;
use std::fmt;

/// The first key of the settings that cannot be used, by its path on the platform.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// It is absent.
    Missing {
        /// The key.
        path: String,
        /// What it should hold.
        expected: String,
    },
    /// Its value has the wrong type or is out of range.
    Unexpected {
        /// The key.
        path: String,
        /// What it should hold.
        expected: String,
        /// What it holds.
        found: Value,
    },
    /// An earlier class has the same name.
    DuplicateName {
        /// The key of the later class.
        path: String,
    },
    /// A latency objective above the deadline.
    ObjectiveAboveDeadline {
        /// The key of the objective.
        path: String,
        /// The key of the deadline, beside it.
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
            SettingsError::DuplicateName { path } => write!(f, "{path}: the name stands twice"),
            SettingsError::ObjectiveAboveDeadline { path, deadline_key } => {
                write!(f, "{path}: expected no more than {deadline_key}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
