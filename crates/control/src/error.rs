//! Errors of the control socket.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// An error on either side of the control socket.
#[derive(Debug)]
#[non_exhaustive]
pub enum ControlError {
    /// Another process serves the socket. Nothing was changed.
    InUse {
        /// The path of the socket.
        path: PathBuf,
    },
    /// The path is not a socket. The file was not changed.
    NotASocket {
        /// The path of the file.
        path: PathBuf,
    },
    /// No process serves the socket.
    Absent {
        /// The path of the socket.
        path: PathBuf,
    },
    /// A system call failed.
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The operation that failed.
        operation: &'static str,
        /// The error of the system call.
        error: io::Error,
    },
    /// The command is too long or a field of it is invalid. It was not sent.
    Command(String),
    /// No reply arrived in time. The command may still be carried out.
    TimedOut,
    /// The connection was closed or the reply is invalid. The command may have been carried out.
    NoReply(String),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::InUse { path } => write!(f, "another process serves {}", path.display()),
            ControlError::NotASocket { path } => write!(f, "{} is not a socket", path.display()),
            ControlError::Absent { path } => write!(f, "no proxy listens at {}", path.display()),
            ControlError::Io { path, operation, .. } => write!(f, "cannot {operation} {}", path.display()),
            ControlError::Command(reason) => f.write_str(reason),
            ControlError::TimedOut => {
                f.write_str("the proxy did not reply in time; it may still carry out the command")
            }
            ControlError::NoReply(reason) => {
                write!(f, "no valid reply ({reason}); the command may have been carried out")
            }
        }
    }
}

impl std::error::Error for ControlError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ControlError::Io { error, .. } => Some(error),
            _ => None,
        }
    }
}
