//! Reads operators' files, up to a bound on their size.

use shaletide_net::retry_shortage;
use std::fs::Metadata;
use std::io::{Error, Read, Result};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use tracing::warn;

/// A file that is read again must stay unchanged for this long: a file that is written only in part may be valid, too.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// How long a step of the start is retried when the system lacks memory, descriptors or threads. Applies to the first read of
/// any file and, with an operators' file, to every other step; on the platform the other steps are retried without limit.
pub const SHORTAGE_PATIENCE: Duration = Duration::from_secs(8);

/// A file that is read for the first time may be a pipe; the program starts when it has been read to its end. A file that is
/// read again must be a regular file, as opening a pipe without a writer blocks forever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    First,
    Again,
}

/// Returns the file's bytes, at most `max_bytes` + 1 of them.
///
/// # Errors
/// The error of the system call.
pub fn read(path: &Path, max_bytes: usize, reading: ReadMode) -> Result<Vec<u8>> {
    let read = || read_unchanged(path, max_bytes, reading, || sleep(SETTLE_TIME));
    match reading {
        ReadMode::First => retry_shortage(Some(SHORTAGE_PATIENCE), sleep, |line| warn!("{line}"), read),
        ReadMode::Again => read(), // the caller retries
    }
}

fn read_unchanged(path: &Path, max_bytes: usize, reading: ReadMode, wait: impl FnOnce()) -> Result<Vec<u8>> {
    let before = std::fs::metadata(path)?;
    if reading == ReadMode::Again && !before.is_file() {
        return Err(Error::other("not a regular file"));
    }
    let mut bytes = Vec::new();
    std::fs::File::open(path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    if reading == ReadMode::Again {
        wait();
        let state = |of: &Metadata| (of.ino(), of.len(), of.mtime(), of.mtime_nsec());
        if state(&before) != state(&std::fs::metadata(path)?) {
            return Err(Error::other("the file changed while it was being read"));
        }
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests;
