//! The store in an SQLite database and its reader.

use std::path::{Path, PathBuf};

use rusqlite::Connection;
use shaletide_record::{ClaimRejection, KeyId, Row, StoredKey, Write};
use shaletide_types::Time;

#[cfg(any(test, feature = "conformance"))]
use super::errors::classify;
use super::errors::refine;
use super::files::{Owner, WatchedFiles};
use super::open::{check_required_pragmas, open, open_read_only, setting, Opened, READER_BUSY_TIMEOUT};
use super::options::SqliteOptions;
use super::{read, write};
use crate::{
    Anchor, CommitError, CommitOutcome, Head, NoteEncoder, Pruned, Query, Store, StoreError, StoreReader,
    Sums,
};

/// A store in an SQLite database. It is the only writer of the database.
pub struct SqliteStore {
    db: Connection,
    path: PathBuf,
    watched: WatchedFiles,
    // Declared last, so that the lock is released after the connection is closed.
    _owner: Owner,
}

impl SqliteStore {
    /// Opens the store. Creates it or migrates it to this program's version if need be, checks the settings that
    /// durability depends on, and makes a test write.
    ///
    /// # Errors
    /// Any [`StoreError`]. Completed migration steps are kept.
    pub fn open(options: &SqliteOptions) -> Result<SqliteStore, StoreError> {
        let Opened { db, path, watched, owner } = open(options)?;
        Ok(SqliteStore { db, path, watched, _owner: owner })
    }

    /// Returns a setting as the database reports it.
    ///
    /// # Errors
    /// If the setting cannot be read.
    pub fn setting(&self, pragma: &str) -> Result<String, StoreError> {
        setting(&self.db, pragma)
    }

    /// Runs statements on the connection, to inject a fault in a test.
    ///
    /// # Errors
    /// If the database rejects a statement.
    #[cfg(any(test, feature = "conformance"))]
    pub fn execute_for_test(&self, sql: &str) -> Result<(), StoreError> {
        self.db.execute_batch(sql).map_err(classify)
    }

    fn refined(&self, error: StoreError) -> StoreError {
        refine(error, &self.path)
    }
}

impl StoreReader for SqliteStore {
    fn head(&self) -> Result<Head, StoreError> {
        read::head(&self.db)
    }
    fn anchor(&self) -> Result<Option<Anchor>, StoreError> {
        read::anchor(&self.db)
    }
    fn keys(&self, after: Option<&KeyId>, limit: usize) -> Result<Vec<StoredKey>, StoreError> {
        read::keys(&self.db, after, limit)
    }
    fn key(&self, key: &KeyId) -> Result<Option<StoredKey>, StoreError> {
        read::key(&self.db, key)
    }
    fn rows(&self, query: &Query) -> Result<Vec<Row>, StoreError> {
        read::rows(&self.db, query)
    }
    fn check(&self) -> Result<(), StoreError> {
        read::check(&self.db)
    }
    fn backup(&self, to: &Path) -> Result<(), StoreError> {
        read::backup(&self.path, to)
    }
}

impl Store for SqliteStore {
    fn commit(
        &mut self, batch: &[Write], sums: &dyn Sums,
    ) -> Result<Vec<Result<u64, ClaimRejection>>, CommitError> {
        let nothing = |error| CommitError { error, outcome: CommitOutcome::Nothing };
        if !batch.iter().all(crate::storable) {
            return Err(nothing(StoreError::Unstorable));
        }
        self.watched.check().map_err(nothing)?;
        check_required_pragmas(&self.db).map_err(nothing)?;
        let result = write::commit(&mut self.db, batch, sums);
        let result = result.map_err(|failed| CommitError { error: self.refined(failed.error), ..failed })?;
        self.watched.check().map_err(|error| CommitError { error, outcome: CommitOutcome::Unknown })?;
        Ok(result)
    }

    fn forget_served(&mut self, before: Time, limit: usize) -> Result<usize, StoreError> {
        self.watched.check()?;
        check_required_pragmas(&self.db)?;
        write::forget_served(&self.db, before, limit).map_err(|error| self.refined(error))
    }

    fn prune(
        &mut self, before: Time, limit: usize, note: NoteEncoder<'_>, sums: &dyn Sums,
    ) -> Result<Pruned, StoreError> {
        self.watched.check()?;
        check_required_pragmas(&self.db)?;
        let pruned = write::prune(&mut self.db, before, limit, note, sums);
        pruned.map_err(|error| self.refined(error))
    }
}

/// Reads a store, whether a proxy is using it or not.
pub struct SqliteReader {
    db: Connection,
    path: PathBuf,
}

impl SqliteReader {
    /// Opens the store for reading only.
    ///
    /// # Errors
    /// Any [`StoreError`]; nothing is created or changed.
    pub fn open(path: impl Into<PathBuf>) -> Result<SqliteReader, StoreError> {
        let path = path.into();
        Ok(SqliteReader { db: open_read_only(&path, READER_BUSY_TIMEOUT)?, path })
    }
}

impl StoreReader for SqliteReader {
    fn head(&self) -> Result<Head, StoreError> {
        read::head(&self.db)
    }
    fn anchor(&self) -> Result<Option<Anchor>, StoreError> {
        read::anchor(&self.db)
    }
    fn keys(&self, after: Option<&KeyId>, limit: usize) -> Result<Vec<StoredKey>, StoreError> {
        read::keys(&self.db, after, limit)
    }
    fn key(&self, key: &KeyId) -> Result<Option<StoredKey>, StoreError> {
        read::key(&self.db, key)
    }
    fn rows(&self, query: &Query) -> Result<Vec<Row>, StoreError> {
        read::rows(&self.db, query)
    }
    fn check(&self) -> Result<(), StoreError> {
        read::check(&self.db)
    }
    fn backup(&self, to: &Path) -> Result<(), StoreError> {
        read::backup(&self.path, to)
    }
}
