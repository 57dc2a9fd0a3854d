//! The files of a store: the owner's lock, and the check that the open files still have their names.

use std::fs::{File, Metadata, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;

use super::errors::classify_io;
use super::paths::with_suffix;
use crate::StoreError;

/// The permissions of a store's files: only the proxy's user may read them.
const FILE_MODE: u32 = 0o600;

/// The identity of a file, independent of its name.
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

/// Returns the path of the database with symbolic links resolved, so that every path to it leads to the same lock file.
/// With `create`, creates the file if it does not exist.
pub(super) fn locate(path: &Path, create: bool) -> Result<PathBuf, StoreError> {
    if create {
        // If the database is missing but its log or its lock file has content, it was lost. A new store would not have its
        // keys, and their requests would be sent again.
        let left = [with_suffix(path, "-wal"), with_suffix(path, ".lock")];
        if !path.exists() && left.iter().any(|at| at.metadata().is_ok_and(|found| found.len() > 0)) {
            return Err(StoreError::Gone { path: path.to_path_buf() });
        }
        match OpenOptions::new().write(true).create_new(true).mode(FILE_MODE).open(path) {
            // The file's name must be durable before its contents are.
            Ok(_) => sync_parent(path)?,
            // An earlier opening may have created the file and failed before its name was durable.
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {
                if path.metadata().is_ok_and(|found| found.len() == 0) {
                    sync_parent(path)?;
                }
            }
            // The directory does not exist.
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

/// Syncs the parent directory of a file, which makes the file's name durable.
pub(super) fn sync_parent(path: &Path) -> Result<(), StoreError> {
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(parent).and_then(|directory| directory.sync_all()).map_err(classify_io)
}

/// The lock of a store's owner, held until this value is dropped or the process ends.
///
/// The lock has a file of its own for two reasons: SQLite's exclusive mode would lock out readers too, and closing any
/// descriptor of the database itself would release SQLite's locks on it.
pub(super) struct Owner {
    locked: File,
}

impl Owner {
    pub(super) fn take(db: &Path) -> Result<Owner, StoreError> {
        let path = with_suffix(db, ".lock");
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .mode(FILE_MODE)
            .open(&path)
            .map_err(classify_io)?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => {}
            Err(Errno::WOULDBLOCK) => return Err(StoreError::Owned { lock: path }),
            Err(error) => return Err(classify_io(error.into())),
        }
        // A lock on a file that was removed in the meantime does not prove ownership.
        let locked = Inode::of(&file.metadata().map_err(classify_io)?);
        if inode_at(&path) != Some(locked) {
            return Err(StoreError::Owned { lock: path });
        }
        // The process id is information for operators; only the lock decides.
        let _ = file.set_len(0).and_then(|()| writeln!(file, "{}", std::process::id()));
        Ok(Owner { locked: file })
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        // Closing the file is not enough: a process just forked from this one may still have the descriptor open, which would
        // keep the lock.
        let _ = flock(&self.locked, FlockOperation::Unlock);
    }
}

fn inode_at(path: &Path) -> Option<Inode> {
    path.symlink_metadata().ok().map(|found| Inode::of(&found))
}

/// The files of the store as they were when it was opened.
///
/// SQLite keeps writing to a file that was removed, and these writes are lost when the process ends. So the names are
/// checked before and after each commit, which costs a few microseconds.
pub(super) struct WatchedFiles {
    files: Vec<(PathBuf, Inode)>,
}

impl WatchedFiles {
    /// Records the files that now have the names that the open store uses.
    pub(super) fn note(db: &Path) -> Result<WatchedFiles, StoreError> {
        let files = ["", "-wal", "-shm", ".lock"].map(|suffix| with_suffix(db, suffix));
        let identified = files.into_iter().map(|path| match inode_at(&path) {
            Some(inode) => Ok((path, inode)),
            None => Err(StoreError::Gone { path }),
        });
        Ok(WatchedFiles { files: identified.collect::<Result<_, _>>()? })
    }

    /// Checks that all files still have their names.
    pub(super) fn check(&self) -> Result<(), StoreError> {
        match self.files.iter().find(|(path, inode)| inode_at(path) != Some(*inode)) {
            None => Ok(()),
            Some((path, _)) => Err(StoreError::Gone { path: path.clone() }),
        }
    }
}

/// The identity of the database file, compared before and after it is opened.
#[derive(PartialEq, Eq)]
pub(super) struct FileIdentity(Option<Inode>);

impl FileIdentity {
    /// Returns the identity of the file that now has this name.
    ///
    /// # Errors
    /// If the file has several hard links: SQLite would keep a log for each name.
    pub(super) fn of(db: &Path) -> Result<FileIdentity, StoreError> {
        let found = db.symlink_metadata().ok();
        if found.as_ref().is_some_and(|found| found.nlink() > 1) {
            return Err(StoreError::Other("the database file has more than one hard link".into()));
        }
        Ok(FileIdentity(found.as_ref().map(Inode::of)))
    }
}
