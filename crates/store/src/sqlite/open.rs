//! Opens a database, and checks that the settings that durability depends on are in force.

use std::path::{Path, PathBuf};
use std::time::Duration;

use rusqlite::{Connection, OpenFlags};

use super::errors::{classify, refine};
use super::files::{locate, FileIdentity, Owner, WatchedFiles};
use super::options::SqliteOptions;
use super::paths::with_suffix;
use super::schema::{migrate, version};
use crate::StoreError;

/// How long a reader waits for a lock. A reader is only blocked while the log is recovered.
pub(super) const READER_BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// The required settings with their values. A store on which one of them has another value is rejected.
const REQUIRED_PRAGMAS: [(&str, &str); 2] = [("journal_mode", "wal"), ("synchronous", "2")];

/// The size in bytes to which the log is truncated after a checkpoint. Without it, the log would keep the size that it
/// reached during one long read.
const LOG_SIZE_LIMIT: i64 = 16 << 20;

/// An open database with the identity of its files.
pub(super) struct Opened {
    pub(super) db: Connection,
    /// The path with symbolic links resolved.
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
    // Checked before any change, as the file may belong to another program or to a newer version.
    if version(&db)? == 0 && !options.create {
        return Err(StoreError::Gone { path: path.to_path_buf() });
    }
    db.pragma_update_and_check(None, "journal_mode", "wal", |_| Ok(())).map_err(classify)?;
    db.pragma_update(None, "synchronous", "full").map_err(classify)?;
    db.pragma_update(None, "trusted_schema", "off").map_err(classify)?;
    db.pragma_update(None, "cell_size_check", "on").map_err(classify)?;
    db.pragma_update_and_check(None, "journal_size_limit", LOG_SIZE_LIMIT, |_| Ok(())).map_err(classify)?;
    if let Some(pages) = options.max_pages {
        db.pragma_update_and_check(None, "max_page_count", pages, |_| Ok(())).map_err(classify)?;
    }
    check_required_pragmas(&db)?;
    migrate(&mut db, options.target())?;
    count_opening(&db)?;
    if !copy_log(&db)? && !options.create {
        return Err(StoreError::Busy(
            "a reader holds an older snapshot, so the log cannot be copied into the database".into(),
        ));
    }
    Ok(db)
}

/// Reads the required settings back: SQLite may be built, or a database opened, in a way that ignores them.
pub(super) fn check_required_pragmas(db: &Connection) -> Result<(), StoreError> {
    for (pragma, expected) in REQUIRED_PRAGMAS {
        let found = setting(db, pragma)?;
        if found != expected {
            return Err(StoreError::NotInForce { pragma, expected: expected.to_owned(), found });
        }
    }
    Ok(())
}

/// Returns a setting as the database reports it.
pub(super) fn setting(db: &Connection, pragma: &str) -> Result<String, StoreError> {
    let value: rusqlite::types::Value =
        db.pragma_query_value(None, pragma, |row| row.get(0)).map_err(classify)?;
    Ok(match value {
        rusqlite::types::Value::Integer(number) => number.to_string(),
        rusqlite::types::Value::Text(text) => text,
        other => format!("{other:?}"),
    })
}

/// Counts the opening in the table `meta`. The write shows that the store can be written to. It also overwrites frames that
/// a failed commit may have left at the end of the log, so that rows that were not acknowledged cannot reappear.
fn count_opening(db: &Connection) -> Result<(), StoreError> {
    db.execute("UPDATE meta SET openings = openings + 1", []).map_err(classify)?;
    Ok(())
}

/// Copies the whole log into the database and syncs it. Returns false if a reader prevents this.
///
/// After a failed sync, the system may return pages from memory that never reached the disk, and the next sync may succeed
/// without writing them. So a store that failed counts as open again only after its pages were written once more.
fn copy_log(db: &Connection) -> Result<bool, StoreError> {
    let sql = "PRAGMA wal_checkpoint(FULL)";
    let done = db.query_row(sql, [], |row| Ok((row.get(0)?, row.get(1)?, row.get(2)?)));
    let (busy, logged, copied): (i64, i64, i64) = done.map_err(classify)?;
    Ok(busy == 0 && logged == copied)
}

/// Opens a database for reading only, concurrently with a writer.
pub(super) fn open_read_only(path: &Path, busy_timeout: Duration) -> Result<Connection, StoreError> {
    let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let path = locate(path, false)?;
    let db = Connection::open_with_flags(&path, flags).map_err(classify)?;
    db.busy_timeout(busy_timeout).map_err(classify)?;
    match version(&db)? {
        0 => Err(StoreError::Corrupt(format!("{} is empty", with_suffix(&path, "").display()).into())),
        _ => Ok(db),
    }
}
