//! The files of a store: one owner, and the same files under their names as those that are open.

use std::fs::{File, Metadata, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

use super::errors::classify_io;
use super::paths::beside;
use crate::StoreError;

/// Only the proxy's user reads a store.
const MODE: u32 = 0o600;

/// A file, whatever its name.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Inode {
    device: u64,
    number: u64,
}

impl Inode {
    fn of(found: &Metadata) -> Inode {
        Inode { device: found.dev(), number: found.ino() }
    }
}

/// The database's path without links, so that there is one lock file whatever way leads to it; with `create`, the
/// file is made where there is none.
pub(super) fn locate(path: &Path, create: bool) -> Result<PathBuf, StoreError> {
    if create {
        // What was there once is not begun anew without a word: what it knew would be sent again.
        let left = [beside(path, "-wal"), beside(path, ".lock")];
        if !path.exists() && left.iter().any(|at| at.metadata().is_ok_and(|found| found.len() > 0)) {
            return Err(StoreError::Gone { path: path.to_path_buf() });
        }
        match OpenOptions::new().write(true).create_new(true).mode(MODE).open(path) {
            // The name must be durable before anything in the file is.
            Ok(_) => sync_parent(path)?,
            // An earlier opening may have made the file and have failed before its name was durable.
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {
                if path.metadata().is_ok_and(|found| found.len() == 0) {
                    sync_parent(path)?;
                }
            }
            // The folder is not there.
            Err(error) if error.kind() == ErrorKind::NotFound => {
                return Err(StoreError::Gone { path: path.to_path_buf() });
            }
            Err(error) => return Err(classify_io(error)),
        }
    }
    path.canonicalize().map_err(|error| match error.kind() {
        ErrorKind::NotFound => StoreError::Gone { path: path.to_path_buf() },
        _ => classify_io(error),
    })
}

/// Makes the names in a file's directory durable.
pub(super) fn sync_parent(path: &Path) -> Result<(), StoreError> {
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(parent).and_then(|directory| directory.sync_all()).map_err(classify_io)
}

/// Holds the lock of a store's owner, as long as it lives and no longer than its process.
///
/// A file of its own, as SQLite's exclusive mode would shut out readers too, and as closing any descriptor of the
/// database itself would drop SQLite's locks on it.
pub(super) struct Owner {
    locked: File,
}

impl Owner {
    pub(super) fn take(db: &Path) -> Result<Owner, StoreError> {
        let path = beside(db, ".lock");
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .mode(MODE)
            .open(&path)
            .map_err(classify_io)?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => {}
            Err(Errno::WOULDBLOCK) => return Err(StoreError::Owned { lock: path }),
            Err(error) => return Err(classify_io(error.into())),
        }
        // A lock on a file that was removed meanwhile is no ownership.
        let locked = Inode::of(&file.metadata().map_err(classify_io)?);
        if named(&path) != Some(locked) {
            return Err(StoreError::Owned { lock: path });
        }
        // For whoever looks who it is; the lock is what counts.
        let _ = file.set_len(0).and_then(|()| writeln!(file, "{}", std::process::id()));
        Ok(Owner { locked: file })
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        // Not left to closing it: a process that was just forked from this one may have it open still.
        let _ = flock(&self.locked, FlockOperation::Unlock);
    }
}

fn named(path: &Path) -> Option<Inode> {
    path.symlink_metadata().ok().map(|found| Inode::of(&found))
}

/// The files that were there when the store was opened.
///
/// SQLite goes on writing into a file that has lost its name, and all of that is lost with the process. So the names
/// are looked at before and after each commit; that costs a few microseconds.
pub(super) struct WatchedFiles {
    files: Vec<(PathBuf, Inode)>,
}

impl WatchedFiles {
    /// What is there now, under all the names that the open store uses.
    pub(super) fn note(db: &Path) -> Result<WatchedFiles, StoreError> {
        let files = ["", "-wal", "-shm", ".lock"].map(|suffix| beside(db, suffix));
        let noted = files.into_iter().map(|path| match named(&path) {
            Some(inode) => Ok((path, inode)),
            None => Err(StoreError::Gone { path }),
        });
        Ok(WatchedFiles { files: noted.collect::<Result<_, _>>()? })
    }

    /// Whether they are all there still.
    pub(super) fn check(&self) -> Result<(), StoreError> {
        match self.files.iter().find(|(path, inode)| named(path) != Some(*inode)) {
            None => Ok(()),
            Some((path, _)) => Err(StoreError::Gone { path: path.clone() }),
        }
    }
}

/// Which file the database is, to compare before and after it is opened.
#[derive(PartialEq, Eq)]
pub(super) struct FileIdentity(Option<Inode>);

impl FileIdentity {
    /// Of the file that has this name now.
    ///
    /// # Errors
    /// If it has several names: SQLite would keep a log for each.
    pub(super) fn of(db: &Path) -> Result<FileIdentity, StoreError> {
        let found = db.symlink_metadata().ok();
        if found.as_ref().is_some_and(|found| found.nlink() > 1) {
            return Err(StoreError::Other("the database has more than one name (hard links)".into()));
        }
        Ok(FileIdentity(found.as_ref().map(Inode::of)))
    }
}
