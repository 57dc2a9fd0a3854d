//! Conversion of the errors of SQLite and of the file system to errors of the store.

use std::io::{ErrorKind, Seek, SeekFrom, Write};
use std::path::Path;

use rusqlite::{Error, ErrorCode};

use super::paths::with_suffix;
use crate::StoreError;

/// The extended code `SQLITE_READONLY_DBMOVED`: the database file was renamed or removed.
const READONLY_DBMOVED: i32 = 1032;

/// Returns the store error for an error of the database.
pub(super) fn classify(error: Error) -> StoreError {
    let Error::SqliteFailure(failure, _) = &error else { return StoreError::Other(error.into()) };
    let extended = failure.extended_code;
    match failure.code {
        ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked | ErrorCode::FileLockingProtocolFailed => {
            StoreError::Busy(error.into())
        }
        ErrorCode::OperationInterrupted => StoreError::Slow(error.into()),
        ErrorCode::ReadOnly if extended == READONLY_DBMOVED => StoreError::Io(error.into()),
        ErrorCode::ReadOnly | ErrorCode::PermissionDenied => StoreError::ReadOnly(error.into()),
        ErrorCode::DiskFull => StoreError::Full(error.into()),
        ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase => StoreError::Corrupt(error.into()),
        ErrorCode::SystemIoFailure | ErrorCode::CannotOpen => StoreError::Io(error.into()),
        _ => StoreError::Other(error.into()),
    }
}

/// Returns the store error for an error of the file system.
pub(super) fn classify_io(error: std::io::Error) -> StoreError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            StoreError::Full(error.into())
        }
        ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => StoreError::ReadOnly(error.into()),
        _ => StoreError::Io(error.into()),
    }
}

/// Finds the reason of an I/O error. SQLite reports an exceeded quota or file size limit as a plain I/O error. So this
/// writes a block to a probe file next to the database, at the offset of the next block of the log. If there is no room,
/// the system returns the reason.
pub(super) fn refine(error: StoreError, db: &Path) -> StoreError {
    let StoreError::Io(_) = error else { return error };
    match write_probe(db) {
        Err(found) => match classify_io(found) {
            full @ (StoreError::Full(_) | StoreError::ReadOnly(_)) => full,
            _ => error,
        },
        Ok(()) => error,
    }
}

fn write_probe(db: &Path) -> std::io::Result<()> {
    const BLOCK: usize = 64 << 10;
    let largest = [db.to_path_buf(), with_suffix(db, "-wal")]
        .iter()
        .filter_map(|path| path.metadata().ok())
        .map(|found| found.len())
        .max();
    let path = with_suffix(db, ".probe");
    let written = std::fs::File::create(&path).and_then(|mut file| {
        file.seek(SeekFrom::Start(largest.unwrap_or(0)))?;
        file.write_all(&[0; BLOCK])?;
        file.sync_all()
    });
    // The probe file is created anew each time, so it is not kept.
    let _ = std::fs::remove_file(&path);
    written
}
