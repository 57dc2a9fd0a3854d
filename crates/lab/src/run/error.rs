//! Why a run could not be set up.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a run could not be set up. Nothing is left running.
#[derive(Debug)]
#[non_exhaustive]
pub enum RunError {
    /// The path is no executable file.
    NoProgram(PathBuf),
    /// A directory or file of the run could not be used.
    Folder(PathBuf, io::Error),
    /// A proxy, by its number, could not be given an address.
    Address(usize, io::Error),
    /// Backends, list service or links: no port, thread or descriptor.
    Site(io::Error),
    /// A process could not be started.
    Process(io::Error),
    /// The clients could not be started.
    Clients(io::Error),
    /// More descriptors are needed than this process may have.
    Descriptors {
        /// The number needed.
        needed: u64,
        /// The limit of this process.
        have: u64,
    },
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::NoProgram(path) => write!(
                f,
                "{} is no program that can be run: build it with `cargo build --release -p shaletide`, or say \
                 --program",
                path.display()
            ),
            RunError::Folder(path, _) => write!(f, "{} cannot be used", path.display()),
            RunError::Address(proxy, _) => write!(f, "no address for p{proxy}"),
            RunError::Site(_) => write!(f, "backends, list service or links cannot be started"),
            RunError::Process(_) => write!(f, "a process cannot be started"),
            RunError::Clients(_) => write!(f, "the clients cannot be started"),
            RunError::Descriptors { needed, have } => {
                write!(f, "{needed} descriptors are needed and {have} may be used: raise `ulimit -n`")
            }
        }
    }
}

impl std::error::Error for RunError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RunError::Folder(_, cause)
            | RunError::Address(_, cause)
            | RunError::Site(cause)
            | RunError::Process(cause)
            | RunError::Clients(cause) => Some(cause),
            RunError::NoProgram(_) | RunError::Descriptors { .. } => None,
        }
    }
}
