//! The tables, and the way from one version of them to the next: forward only, each step in a transaction of its own.

use rusqlite::{Connection, TransactionBehavior};

use super::errors::classify;
use crate::StoreError;

/// "SHLT": says that the file is a store of shaletide.
pub(super) const APPLICATION_ID: i32 = 0x5348_4c54;

/// The steps; the version of a file is how many of them it has behind it.
const MIGRATIONS: &[&str] = &[
    // `keys` decides by its PRIMARY KEY whether a key is free. `meta` is written at each opening.
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
    // For reading, expiry and pruning. Open keys are few, served ones many: hence the conditions.
    "CREATE INDEX rows_key ON rows (key) WHERE key IS NOT NULL;
     CREATE INDEX rows_request ON rows (request, run) WHERE request IS NOT NULL;
     CREATE INDEX rows_at ON rows (at);
     CREATE INDEX keys_open ON keys (state) WHERE state < 2;
     CREATE INDEX keys_served ON keys (since) WHERE state = 2;
     CREATE INDEX keys_served_seq ON keys (seq) WHERE state = 2;",
];

/// The newest version that this program knows.
pub(super) const KNOWN: u32 = MIGRATIONS.len() as u32;

/// The version of the file; 0 for an empty one.
pub(super) fn version(db: &Connection) -> Result<u32, StoreError> {
    let application: i32 = number(db, "application_id")?;
    let version: u32 = number(db, "user_version")?;
    if application == APPLICATION_ID {
        return if version <= KNOWN {
            Ok(version)
        } else {
            Err(StoreError::Newer { found: version, known: KNOWN })
        };
    }
    let tables: i64 =
        db.query_row("SELECT count(*) FROM sqlite_schema", [], |row| row.get(0)).map_err(classify)?;
    if application == 0 && version == 0 && tables == 0 {
        return Ok(0);
    }
    Err(StoreError::Corrupt("a database, but not a store of shaletide".into()))
}

fn number<T: rusqlite::types::FromSql>(db: &Connection, pragma: &str) -> Result<T, StoreError> {
    db.pragma_query_value(None, pragma, |row| row.get(0)).map_err(classify)
}

/// Brings the file from the version it has to `target`, a step at a time. A kill between two leaves a store of the
/// version before; the next opening goes on from there.
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
