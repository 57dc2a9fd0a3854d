//! The errors of a store, divided by what an operator has to do about them.

use std::fmt;
use std::path::PathBuf;

use crate::Head;

/// Why a store failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum StoreError {
    /// An operation took too long.
    Slow(Cause),
    /// Another process holds a lock that the operation needs.
    Busy(Cause),
    /// Another proxy owns the store.
    Owned {
        /// The lock file that the owner holds.
        lock: PathBuf,
    },
    /// A file of the store was removed or replaced.
    Gone {
        /// The path of the missing or replaced file.
        path: PathBuf,
    },
    /// No space is left on the disk, in the quota, or within the store's own limit.
    Full(Cause),
    /// The store cannot be written to.
    ReadOnly(Cause),
    /// The file's contents are not those that a store wrote.
    Corrupt(Cause),
    /// Rows that were acknowledged are missing: the file was truncated, or belongs to another store.
    Cut {
        /// The head that was acknowledged.
        expected: Head,
        /// The head that was found.
        found: Head,
    },
    /// A newer version of the program wrote the store.
    Newer {
        /// The version of the store.
        found: u32,
        /// The newest version that this program supports.
        known: u32,
    },
    /// A setting that durability depends on is not in force.
    NotInForce {
        /// The name of the setting.
        pragma: &'static str,
        /// The required value.
        expected: String,
        /// The actual value.
        found: String,
    },
    /// An I/O operation failed on the disk or the network.
    Io(Cause),
    /// A row that no store can hold: see [`storable`](crate::storable). A bug of the caller.
    Unstorable,
    /// Anything else.
    Other(Cause),
}

/// Whether a failed commit wrote its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Nothing was written: the transaction was not asked to commit.
    Nothing,
    /// Either the whole batch or nothing was written; the next opening of the store shows which.
    Unknown,
}

/// The error of a failed commit.
#[derive(Debug)]
pub struct CommitError {
    /// The reason of the failure.
    pub error: StoreError,
    /// Whether the batch was written.
    pub outcome: CommitOutcome,
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.outcome {
            CommitOutcome::Nothing => write!(f, "nothing was written"),
            CommitOutcome::Unknown => write!(f, "it is unknown whether the batch was written"),
        }
    }
}

impl std::error::Error for CommitError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

/// The underlying cause of an error.
pub type Cause = Box<dyn std::error::Error + Send + Sync>;

impl StoreError {
    /// Returns a short code of the error for logs and counters.
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
            StoreError::Slow(_) => write!(f, "the store took too long"),
            StoreError::Busy(_) => write!(f, "the store is locked by another process"),
            StoreError::Owned { lock } => {
                write!(f, "another proxy owns the store: it holds {}", lock.display())
            }
            StoreError::Gone { path } => write!(f, "{} was removed or replaced", path.display()),
            StoreError::Full(_) => write!(f, "the store is full"),
            StoreError::ReadOnly(_) => write!(f, "the store is read-only"),
            StoreError::Corrupt(_) => write!(f, "the store is corrupt"),
            StoreError::Cut { expected, found } => {
                write!(
                    f,
                    "row {} was acknowledged, but the store now ends at row {}",
                    expected.seq, found.seq
                )?;
                if found.seq >= expected.seq {
                    write!(f, " with different rows")?;
                }
                Ok(())
            }
            StoreError::Newer { found, known } => {
                write!(
                    f,
                    "the store has schema version {found}; this program supports versions up to {known}"
                )
            }
            StoreError::NotInForce { pragma, expected, found } => {
                write!(f, "the store has {pragma} = {found}, but {expected} is required")
            }
            StoreError::Io(_) => write!(f, "an I/O operation on the store failed"),
            StoreError::Unstorable => write!(f, "the row exceeds the store's limits on size or time"),
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
