//! What can be wrong with a store, by what an operator has to do about it.

use std::fmt;
use std::path::PathBuf;

use crate::Head;

/// Why a store failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum StoreError {
    /// It took too long.
    Slow(Cause),
    /// Another process has the lock that it needs.
    Busy(Cause),
    /// Another proxy owns the store.
    Owned {
        /// The file that the owner holds locked.
        lock: PathBuf,
    },
    /// A file of the store was removed, or another lies in its place.
    Gone {
        /// The file.
        path: PathBuf,
    },
    /// No room: on the disk, within the quota, or within the store's own limit.
    Full(Cause),
    /// It cannot be written to.
    ReadOnly(Cause),
    /// What is there is not what a store wrote.
    Corrupt(Cause),
    /// What was acknowledged once is not there any more: a file cut short, or another store's.
    Cut {
        /// The head that was acknowledged.
        expected: Head,
        /// The head that was found.
        found: Head,
    },
    /// A newer program wrote it.
    Newer {
        /// Its version.
        found: u32,
        /// The newest version that this program knows.
        known: u32,
    },
    /// A setting that durability depends on is not in force.
    NotInForce {
        /// Its name.
        pragma: &'static str,
        /// What was asked for.
        expected: String,
        /// What it is.
        found: String,
    },
    /// The disk or the network failed.
    Io(Cause),
    /// A row that no store can keep: see [`storable`](crate::storable). The caller's fault.
    Unstorable,
    /// Anything else.
    Other(Cause),
}

/// What a commit that failed left behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Nothing, for certain: the transaction was never asked to commit.
    Nothing,
    /// All of the batch or nothing; which, shows when the store is opened again.
    Unknown,
}

/// A commit that failed.
#[derive(Debug)]
pub struct CommitError {
    /// Why.
    pub error: StoreError,
    /// What it left behind.
    pub outcome: CommitOutcome,
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.outcome {
            CommitOutcome::Nothing => write!(f, "nothing was written"),
            CommitOutcome::Unknown => write!(f, "it is not known whether it was written"),
        }
    }
}

impl std::error::Error for CommitError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

/// What lies under an error.
pub type Cause = Box<dyn std::error::Error + Send + Sync>;

impl StoreError {
    /// One word for a log and a counter.
    pub fn code(&self) -> &'static str {
        match self {
            StoreError::Slow(_) => "slow",
            StoreError::Busy(_) => "busy",
            StoreError::Owned { .. } => "owned",
            StoreError::Gone { .. } => "gone",
            StoreError::Full(_) => "full",
            StoreError::ReadOnly(_) => "read-only",
            StoreError::Corrupt(_) => "corrupt",
            StoreError::Cut { .. } => "cut",
            StoreError::Newer { .. } => "newer",
            StoreError::NotInForce { .. } => "not-in-force",
            StoreError::Io(_) => "io",
            StoreError::Unstorable => "unstorable",
            StoreError::Other(_) => "other",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Slow(_) => write!(f, "the store is too slow"),
            StoreError::Busy(_) => write!(f, "the store is locked by another"),
            StoreError::Owned { lock } => {
                write!(f, "another proxy owns the store: it holds {}", lock.display())
            }
            StoreError::Gone { path } => write!(f, "{} was removed or replaced", path.display()),
            StoreError::Full(_) => write!(f, "the store is full"),
            StoreError::ReadOnly(_) => write!(f, "the store is read-only"),
            StoreError::Corrupt(_) => write!(f, "the store is corrupt"),
            StoreError::Cut { expected, found } => {
                write!(f, "row {} was on record; what is there now ends at row {}", expected.seq, found.seq)?;
                if found.seq >= expected.seq {
                    write!(f, " and tells another story")?;
                }
                Ok(())
            }
            StoreError::Newer { found, known } => {
                write!(f, "the store has version {found}; this program knows versions up to {known}")
            }
            StoreError::NotInForce { pragma, expected, found } => {
                write!(f, "the store has {pragma} = {found}; needed is {expected}")
            }
            StoreError::Io(_) => write!(f, "the store's disk failed"),
            StoreError::Unstorable => write!(f, "a row that no store can keep"),
            StoreError::Other(_) => write!(f, "the store failed"),
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StoreError::Slow(cause)
            | StoreError::Busy(cause)
            | StoreError::Full(cause)
            | StoreError::ReadOnly(cause)
            | StoreError::Corrupt(cause)
            | StoreError::Io(cause)
            | StoreError::Other(cause) => Some(cause.as_ref()),
            _ => None,
        }
    }
}
