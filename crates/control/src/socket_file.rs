//! The file of the control socket: its ownership by one process, and its access mode.

use crate::ControlError;
use rustix::fs::{flock, FlockOperation, Mode};
use rustix::io::Errno;
use rustix::net::{connect, socket_with, AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind};
use std::os::unix::fs::{FileTypeExt, MetadataExt, OpenOptionsExt};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// A socket file that this process owns. Dropping it removes the socket. The lock file stays, as another process that waits
/// for it may have it open.
#[derive(Debug)]
pub(crate) struct SocketFile {
    path: PathBuf,
    inode: Option<(u64, u64)>,
    lock: File,
}

impl SocketFile {
    /// Takes the lock and binds a socket. Replaces a socket left by a process that has ended.
    pub fn take(path: &Path) -> Result<(SocketFile, UnixListener), ControlError> {
        let lock = lock(path)?;
        remove_dead_socket(path)?;
        let listener = bind_private(path).map_err(|error| io_error(path, "bind", error))?;
        listener.set_nonblocking(true).map_err(|error| io_error(path, "listen on", error))?;
        Ok((SocketFile { path: path.into(), inode: inode(path), lock }, listener))
    }

    /// Returns the path of the socket.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Binds a socket that has mode 0600 from its creation on. A later chmod would leave a gap in which other users can connect.
fn bind_private(path: &Path) -> std::io::Result<UnixListener> {
    // The umask belongs to the process: without the lock, a thread could bind with the umask set by another.
    static UMASK: Mutex<()> = Mutex::new(());
    let _guard = UMASK.lock().unwrap_or_else(PoisonError::into_inner);
    let before = rustix::process::umask(Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    rustix::process::umask(before);
    bound
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        // Removes only its own socket: another process may have replaced it.
        if self.inode.is_some() && inode(&self.path) == self.inode {
            let _ = std::fs::remove_file(&self.path);
        }
        // Unlocks explicitly: a process forked from this one may still have the lock file open, so that closing it here does
        // not release the lock.
        let _ = flock(&self.lock, FlockOperation::Unlock);
    }
}

fn inode(path: &Path) -> Option<(u64, u64)> {
    path.symlink_metadata().ok().map(|metadata| (metadata.dev(), metadata.ino()))
}

pub(crate) fn io_error(path: &Path, operation: &'static str, error: Error) -> ControlError {
    ControlError::Io { path: path.into(), operation, error }
}

/// Locks the lock file beside the socket, so that only one of several processes that start at the same time owns the socket.
fn lock(path: &Path) -> Result<File, ControlError> {
    let mut name = path.as_os_str().to_owned();
    name.push(".lock");
    let name = PathBuf::from(name);
    let file = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(&name);
    let file = file.map_err(|error| io_error(&name, "open", error))?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(file),
        Err(Errno::WOULDBLOCK) => Err(ControlError::InUse { path: path.into() }),
        Err(error) => Err(io_error(&name, "lock", error.into())),
    }
}

/// Removes a socket left by a process that has ended.
fn remove_dead_socket(path: &Path) -> Result<(), ControlError> {
    let metadata = match path.symlink_metadata() {
        Ok(metadata) => metadata,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(io_error(path, "inspect", error)),
    };
    if !metadata.file_type().is_socket() {
        return Err(ControlError::NotASocket { path: path.into() });
    }
    match is_listened_on(path) {
        Ok(false) => std::fs::remove_file(path).map_err(|error| io_error(path, "replace", error)),
        Err(error) => Err(io_error(path, "connect to", error.into())),
        // The socket of a program that does not use the lock.
        Ok(true) => Err(ControlError::InUse { path: path.into() }),
    }
}

/// Returns whether a process listens on a socket. The call must not block: a blocking connect to a full queue would wait until
/// that process accepts, possibly for ever.
fn is_listened_on(path: &Path) -> Result<bool, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    match connect(&socket, &SocketAddrUnix::new(path)?) {
        Ok(()) | Err(Errno::AGAIN) => Ok(true), // EAGAIN: the queue is full
        Err(Errno::CONNREFUSED) => Ok(false),
        Err(error) => Err(error),
    }
}
