//! How a store is opened.

use std::path::PathBuf;
use std::time::Duration;

use super::schema::KNOWN;

/// How to open a store.
#[derive(Clone, Debug)]
pub struct SqliteOptions {
    /// The database; its log, its index and its lock lie beside it. On a local disk: the locks and the shared
    /// memory of the log do not work over a network file system.
    pub path: PathBuf,
    /// Whether it is made where there is none. To be false when a store that was open is opened again: a new one
    /// would know nothing. Default: true.
    pub create: bool,
    /// How long to wait for another process's lock. Default: 250 ms.
    pub busy_timeout: Duration,
    /// At most so many pages of 4 KiB; none for what the disk holds. Default: none.
    pub max_pages: Option<u32>,
    /// The version to which the tables are brought; for tests of migrations.
    #[cfg(any(test, feature = "conformance"))]
    pub target_version: Option<u32>,
}

impl SqliteOptions {
    /// The defaults, for this path.
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
        return self.target_version.unwrap_or(KNOWN);
        #[cfg(not(any(test, feature = "conformance")))]
        KNOWN
    }
}
