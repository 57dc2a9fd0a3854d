//! The names of the files that belong to a database.

use std::path::{Path, PathBuf};

/// Returns the path of the database with `suffix` appended to the file name.
pub(super) fn with_suffix(db: &Path, suffix: &str) -> PathBuf {
    let mut name = db.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}
