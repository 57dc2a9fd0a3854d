//! Names of the files beside a database.

use std::path::{Path, PathBuf};

/// A file next to the database, named after it.
pub(super) fn beside(db: &Path, suffix: &str) -> PathBuf {
    let mut name = db.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}
