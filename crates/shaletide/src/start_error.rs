//! Errors that prevent the daemon from starting.

use shaletide_balancer::ConfigError;
use shaletide_control::ControlError;
use shaletide_http::ListenError;
use shaletide_record_service::StoreError;
use shaletide_types::error_chain;
use std::fmt;
use std::path::PathBuf;

/// A step of the start that failed, with its cause.
#[derive(Debug)]
#[non_exhaustive]
pub enum StartError {
    Signals(std::io::Error),
    Listen(ListenError),
    /// The store's file, and the error on opening it.
    Store(PathBuf, Box<StoreError>),
    Control(ControlError),
    Config(ConfigError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Signals(error) => write!(f, "cannot receive signals: {error}"),
            StartError::Listen(error) => write!(f, "{error}"),
            StartError::Config(error) => write!(f, "configuration: {error}"),
            StartError::Control(error) => write!(f, "control socket: {error}"),
            StartError::Store(path, error) => {
                write!(f, "store of record {}: {}", path.display(), error_chain(&**error))
            }
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Signals(error) => Some(error),
            StartError::Listen(error) => error.source(),
            StartError::Config(error) => Some(error),
            StartError::Store(_, error) => Some(error),
            StartError::Control(error) => Some(error),
        }
    }
}
