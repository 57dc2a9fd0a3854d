//! The options for opening a store.

use std::path::PathBuf;
use std::time::Duration;

use super::schema::LATEST_VERSION;

/// Options for opening a store.
#[derive(Clone, Debug)]
pub struct SqliteOptions {
    /// The path of the database. Its log, its index and its lock file are in the same directory. It must be on a local
    /// disk: the locks and the shared memory of the log do not work on a network file system.
    pub path: PathBuf,
    /// Whether the store is created if it does not exist. Must be false when a store is opened again after a failure: a
    /// new store would be empty. Default: true.
    pub create: bool,
    /// How long to wait for a lock of another process. Default: 250 ms.
    pub busy_timeout: Duration,
    /// The maximum size in pages of 4 KiB; `None` for no limit but that of the disk. Default: `None`.
    pub max_pages: Option<u32>,
    /// The version to which the tables are migrated; for tests of migrations.
    #[cfg(any(test, feature = "conformance"))]
    pub target_version: Option<u32>,
}

impl SqliteOptions {
    /// Returns the default options for this path.
    pub fn new(path: impl Into<PathBuf>) -> SqliteOptions {
        SqliteOptions {
            path: path.into(),
            create: true,
            busy_timeout: Duration::from_millis(250),
            max_pages: None,
            #[cfg(any(test, feature = "conformance"))]
            target_version: None,
        }
    }

    pub(super) fn target(&self) -> u32 {
        #[cfg(any(test, feature = "conformance"))]
        return self.target_version.unwrap_or(LATEST_VERSION);
        #[cfg(not(any(test, feature = "conformance")))]
        LATEST_VERSION
    }
}
