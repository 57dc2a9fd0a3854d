//! What can be wrong with the socket.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a socket is not served, or a command not answered.
#[derive(Debug)]
#[non_exhaustive]
pub enum ControlError {
    /// Another process serves it. Nothing was changed.
    InUse {
        /// The socket.
        path: PathBuf,
    },
    /// Something else lies in its place. It was left alone.
    NotASocket {
        /// What lies there.
        path: PathBuf,
    },
    /// No process serves it.
    Absent {
        /// Where it would be.
        path: PathBuf,
    },
    /// The system refused.
    Io {
        /// The socket.
        path: PathBuf,
        /// The operation that failed.
        operation: &'static str,
        /// Why not.
        error: io::Error,
    },
    /// The command is longer than a line may be, or says too little. It was not sent.
    Command(String),
    /// No answer in time; the command may be carried out yet.
    TimedOut,
    /// The connection was closed, or the reply is invalid; the command may have been carried out.
    NoReply(String),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::InUse { path } => write!(f, "another process serves {}", path.display()),
            ControlError::NotASocket { path } => write!(f, "{} is no socket", path.display()),
            ControlError::Absent { path } => write!(f, "no proxy listens at {}", path.display()),
            ControlError::Io { path, operation, .. } => write!(f, "cannot {operation} {}", path.display()),
            ControlError::Command(why) => f.write_str(why),
            ControlError::TimedOut => {
                f.write_str("the proxy does not answer; it may carry the command out yet")
            }
            ControlError::NoReply(why) => {
                write!(f, "no reply that makes sense ({why}); the command may have been carried out")
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
