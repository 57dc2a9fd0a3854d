//! Opening a database, and making sure that what durability rests on is in force.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rusqlite::{Connection, OpenFlags};

use super::errors::{classify, refine};
use super::files::{locate, FileIdentity, Owner, WatchedFiles};
use super::options::SqliteOptions;
use super::paths::beside;
use super::schema::{migrate, version};
use crate::StoreError;

/// How long a reader waits for a lock; none is in its way but while the log is recovered.
pub(super) const READER_TIMEOUT: Duration = Duration::from_secs(5);

/// What a setting must be, or the store is refused.
const IN_FORCE: [(&str, &str); 2] = [("journal_mode", "wal"), ("synchronous", "2")];

/// After a checkpoint the log is cut to this, so that one long reading does not leave a large file for good.
const LOG_BYTES: i64 = 16 << 20;

/// An open database and what was noted of its files.
pub(super) struct Opened {
    pub(super) db: Connection,
    /// Without links.
    pub(super) path: PathBuf,
    pub(super) watched: WatchedFiles,
    pub(super) owner: Owner,
}

pub(super) fn open(options: &SqliteOptions) -> Result<Opened, StoreError> {
    let path = locate(&options.path, options.create)?;
    let owner = Owner::take(&path)?;
    let before = FileIdentity::of(&path)?;
    let db = connect(&path, options).map_err(|error| refine(error, &path))?;
    let watched = WatchedFiles::note(&path)?;
    if before != FileIdentity::of(&path)? {
        return Err(StoreError::Gone { path });
    }
    Ok(Opened { db, path, watched, owner })
}

fn connect(path: &Path, options: &SqliteOptions) -> Result<Connection, StoreError> {
    let flags = OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let mut db = Connection::open_with_flags(path, flags).map_err(classify)?;
    db.busy_timeout(options.busy_timeout).map_err(classify)?;
    // Before anything is changed: the file may be another program's, or a newer version's.
    if version(&db)? == 0 && !options.create {
        return Err(StoreError::Gone { path: path.to_path_buf() });
    }
    db.pragma_update_and_check(None, "journal_mode", "wal", |_| Ok(())).map_err(classify)?;
    db.pragma_update(None, "synchronous", "full").map_err(classify)?;
    db.pragma_update(None, "trusted_schema", "off").map_err(classify)?;
    db.pragma_update(None, "cell_size_check", "on").map_err(classify)?;
    db.pragma_update_and_check(None, "journal_size_limit", LOG_BYTES, |_| Ok(())).map_err(classify)?;
    if let Some(pages) = options.max_pages {
        db.pragma_update_and_check(None, "max_page_count", pages, |_| Ok(())).map_err(classify)?;
    }
    check_in_force(&db)?;
    migrate(&mut db, options.target())?;
    note_opening(&db)?;
    if !copy_log(&db)? && !options.create {
        return Err(StoreError::Busy("somebody reads an older state: the log cannot be copied".into()));
    }
    Ok(db)
}

/// Reads the settings back: a database can be built, or be opened, so that it ignores its settings.
pub(super) fn check_in_force(db: &Connection) -> Result<(), StoreError> {
    for (pragma, expected) in IN_FORCE {
        let found = setting(db, pragma)?;
        if found != expected {
            return Err(StoreError::NotInForce { pragma, expected: expected.to_owned(), found });
        }
    }
    Ok(())
}

/// A setting as the database reports it.
pub(super) fn setting(db: &Connection, pragma: &str) -> Result<String, StoreError> {
    let value: rusqlite::types::Value =
        db.pragma_query_value(None, pragma, |row| row.get(0)).map_err(classify)?;
    Ok(match value {
        rusqlite::types::Value::Integer(number) => number.to_string(),
        rusqlite::types::Value::Text(text) => text,
        other => format!("{other:?}"),
    })
}

/// Writes something. So a store that opens can be written to, and what an earlier commit that failed may have left
/// at the end of the log, which was acknowledged to no caller, is overwritten and can never come back.
fn note_opening(db: &Connection) -> Result<(), StoreError> {
    db.execute("UPDATE meta SET openings = openings + 1", []).map_err(classify)?;
    Ok(())
}

/// Has all of the log copied into the database and that synced; false if a reader is in the way.
///
/// After a sync that failed, the system may give back from memory what never reached the disk, and the next sync then
/// finds nothing to do. So a store that failed is not taken as back before its pages were written once more.
fn copy_log(db: &Connection) -> Result<bool, StoreError> {
    let sql = "PRAGMA wal_checkpoint(FULL)";
    let done = db.query_row(sql, [], |row| Ok((row.get(0)?, row.get(1)?, row.get(2)?)));
    let (busy, logged, copied): (i64, i64, i64) = done.map_err(classify)?;
    Ok(busy == 0 && logged == copied)
}

/// Opens for reading only, beside whoever writes.
pub(super) fn open_reading(path: &Path, busy_timeout: Duration) -> Result<Connection, StoreError> {
    let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let path = locate(path, false)?;
    let db = Connection::open_with_flags(&path, flags).map_err(classify)?;
    db.busy_timeout(busy_timeout).map_err(classify)?;
    match version(&db)? {
        0 => Err(StoreError::Corrupt(format!("{} is empty", beside(&path, "").display()).into())),
        _ => Ok(db),
    }
}
