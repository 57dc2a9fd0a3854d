//! The errors of SQLite and of the file system as those of the store.

use std::io::{ErrorKind, Seek, SeekFrom, Write};
use std::path::Path;

use rusqlite::{Error, ErrorCode};

use super::paths::beside;
use crate::StoreError;

/// `SQLITE_READONLY_DBMOVED`.
const MOVED: i32 = 1032;

/// The kind of an error of the database.
pub(super) fn classify(error: Error) -> StoreError {
    let Error::SqliteFailure(failure, _) = &error else { return StoreError::Other(error.into()) };
    let extended = failure.extended_code;
    match failure.code {
        ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked | ErrorCode::FileLockingProtocolFailed => {
            StoreError::Busy(error.into())
        }
        ErrorCode::OperationInterrupted => StoreError::Slow(error.into()),
        ErrorCode::ReadOnly if extended == MOVED => StoreError::Io(error.into()),
        ErrorCode::ReadOnly | ErrorCode::PermissionDenied => StoreError::ReadOnly(error.into()),
        ErrorCode::DiskFull => StoreError::Full(error.into()),
        ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase => StoreError::Corrupt(error.into()),
        ErrorCode::SystemIoFailure | ErrorCode::CannotOpen => StoreError::Io(error.into()),
        _ => StoreError::Other(error.into()),
    }
}

/// The kind of an error of the file system.
pub(super) fn classify_io(error: std::io::Error) -> StoreError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            StoreError::Full(error.into())
        }
        ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => StoreError::ReadOnly(error.into()),
        _ => StoreError::Io(error.into()),
    }
}

/// SQLite calls a quota or a limit on a file's size an I/O error, and keeps to itself which one. So a block is
/// written where the next one of the log would go, in a file beside it: if there is no room, the system says why.
pub(super) fn refine(error: StoreError, db: &Path) -> StoreError {
    let StoreError::Io(_) = error else { return error };
    match probe(db) {
        Err(found) => match classify_io(found) {
            full @ (StoreError::Full(_) | StoreError::ReadOnly(_)) => full,
            _ => error,
        },
        Ok(()) => error,
    }
}

fn probe(db: &Path) -> std::io::Result<()> {
    const BLOCK: usize = 64 << 10;
    let largest = [db.to_path_buf(), beside(db, "-wal")]
        .iter()
        .filter_map(|path| path.metadata().ok())
        .map(|found| found.len())
        .max();
    let path = beside(db, ".probe");
    let written = std::fs::File::create(&path).and_then(|mut file| {
        file.seek(SeekFrom::Start(largest.unwrap_or(0)))?;
        file.write_all(&[0; BLOCK])?;
        file.sync_all()
    });
    // Left behind, it would only be in the way: it is created anew each time.
    let _ = std::fs::remove_file(&path);
    written
}
