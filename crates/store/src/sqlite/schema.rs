//! The tables and their migrations. Migrations only go forward; each step is a transaction of its own.

use rusqlite::{Connection, TransactionBehavior};

use super::errors::classify;
use crate::StoreError;

/// "SHLT": marks the file as a store of shaletide.
pub(super) const APPLICATION_ID: i32 = 0x5348_4c54;

/// The migration steps. The version of a file is the number of steps that were applied to it.
const MIGRATIONS: &[&str] = &[
    // The PRIMARY KEY of `keys` decides whether a key is free. `meta` is written at each opening.
    "CREATE TABLE rows (
         seq INTEGER PRIMARY KEY, at INTEGER NOT NULL, run INTEGER NOT NULL, kind TEXT NOT NULL, request INTEGER,
         tenant TEXT, class TEXT, key BLOB, backend TEXT, body TEXT NOT NULL, sum BLOB NOT NULL) STRICT;
     CREATE TABLE keys (
         tenant TEXT NOT NULL, class TEXT NOT NULL, key BLOB NOT NULL,
         state INTEGER NOT NULL CHECK (state IN (0, 1, 2)), since INTEGER NOT NULL, seq INTEGER NOT NULL,
         PRIMARY KEY (tenant, class, key)) STRICT, WITHOUT ROWID;
     CREATE TABLE anchor (
         one INTEGER PRIMARY KEY CHECK (one = 1), seq INTEGER NOT NULL, sum BLOB NOT NULL, run INTEGER NOT NULL,
         rows INTEGER NOT NULL) STRICT;
     CREATE TABLE meta (one INTEGER PRIMARY KEY CHECK (one = 1), openings INTEGER NOT NULL) STRICT;
     INSERT INTO meta VALUES (1, 0);",
    // Indexes for reading, expiry and pruning. They are partial, as few keys are open and many are served.
    "CREATE INDEX rows_key ON rows (key) WHERE key IS NOT NULL;
     CREATE INDEX rows_request ON rows (request, run) WHERE request IS NOT NULL;
     CREATE INDEX rows_at ON rows (at);
     CREATE INDEX keys_open ON keys (state) WHERE state < 2;
     CREATE INDEX keys_served ON keys (since) WHERE state = 2;
     CREATE INDEX keys_served_seq ON keys (seq) WHERE state = 2;",
];

/// The newest version that this program supports.
pub(super) const LATEST_VERSION: u32 = MIGRATIONS.len() as u32;

/// Returns the version of the file; 0 for an empty file.
pub(super) fn version(db: &Connection) -> Result<u32, StoreError> {
    let application: i32 = pragma_number(db, "application_id")?;
    let version: u32 = pragma_number(db, "user_version")?;
    if application == APPLICATION_ID {
        return if version <= LATEST_VERSION {
            Ok(version)
        } else {
            Err(StoreError::Newer { found: version, known: LATEST_VERSION })
        };
    }
    let tables: i64 =
        db.query_row("SELECT count(*) FROM sqlite_schema", [], |row| row.get(0)).map_err(classify)?;
    if application == 0 && version == 0 && tables == 0 {
        return Ok(0);
    }
    Err(StoreError::Corrupt("the file is an SQLite database but not a store of shaletide".into()))
}

fn pragma_number<T: rusqlite::types::FromSql>(db: &Connection, pragma: &str) -> Result<T, StoreError> {
    db.pragma_query_value(None, pragma, |row| row.get(0)).map_err(classify)
}

/// Migrates the file from its version to `target`, one step at a time. A process killed between two steps leaves a store of
/// the version reached; the next opening continues from there.
pub(super) fn migrate(db: &mut Connection, target: u32) -> Result<(), StoreError> {
    loop {
        let tx = db.transaction_with_behavior(TransactionBehavior::Immediate).map_err(classify)?;
        let from = version(&tx)?;
        if from >= target {
            return Ok(());
        }
        let Some(step) = MIGRATIONS.get(from as usize) else { return Ok(()) };
        tx.execute_batch(step).map_err(classify)?;
        tx.pragma_update(None, "application_id", APPLICATION_ID).map_err(classify)?;
        tx.pragma_update(None, "user_version", from + 1).map_err(classify)?;
        tx.commit().map_err(classify)?;
    }
}
