//! Opens the store and reads its keys on a separate thread, because a disk may fail or hang.

use crate::StoreError;
use shaletide_net::{thread_channel, ThreadReceiver};
use shaletide_record::StoredKey;
use shaletide_store::{Head, SqliteOptions, SqliteStore, StoreReader};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Number of keys read per call to the store.
const PAGE: usize = 10_000;
/// How long to wait for a store that another process owns.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(5);
/// The pause between two attempts to take the lock of an owned store.
const LOCK_PAUSE: Duration = Duration::from_millis(50);
/// Number of consecutive corrupt readings, on a disk that can be read, after which a store is reported as corrupt.
const CORRUPT_TRIES: u32 = 4;
/// The pause before a store that was read as corrupt is read again.
const CORRUPT_PAUSE: Duration = Duration::from_millis(250);

/// An open store with its head and its keys.
pub(crate) struct StoreContents {
    pub store: SqliteStore,
    pub head: Head,
    pub keys: Vec<StoredKey>,
}

impl StoreContents {
    /// Opens a store and reads its head and all of its keys. Blocks. A store that reads as corrupt is read again, because a
    /// disk that fails during a reading makes a sound store look corrupt.
    ///
    /// # Errors
    /// Returns the store's error; [`may_open_later`] tells whether another attempt may succeed.
    pub fn read(path: &Path) -> Result<StoreContents, StoreError> {
        let mut tries = 1;
        loop {
            match StoreContents::read_once(path) {
                Err(StoreError::Corrupt(_)) if tries < CORRUPT_TRIES => {
                    tries += 1;
                    std::thread::sleep(CORRUPT_PAUSE);
                }
                Err(StoreError::Corrupt(cause)) if !is_readable(path) => return Err(StoreError::Io(cause)),
                opening_result => return opening_result,
            }
        }
    }

    fn read_once(path: &Path) -> Result<StoreContents, StoreError> {
        let store = open_when_released(path)?;
        let head = store.head()?;
        let mut keys: Vec<StoredKey> = Vec::new();
        loop {
            let page = store.keys(keys.last().map(|stored| &stored.key), PAGE)?;
            let is_last = page.len() < PAGE;
            keys.extend(page);
            if is_last {
                return Ok(StoreContents { store, head, keys });
            }
        }
    }
}

/// Returns whether every byte of the store's files can be read now.
fn is_readable(path: &Path) -> bool {
    let mut log = path.as_os_str().to_owned();
    log.push("-wal");
    [path.to_path_buf(), PathBuf::from(log)].iter().all(|file| match std::fs::File::open(file) {
        Ok(mut file) => std::io::copy(&mut file, &mut std::io::sink()).is_ok(),
        Err(error) => error.kind() == std::io::ErrorKind::NotFound,
    })
}

/// Opens a store. Waits for a store that another process owns: a command that resolves a key owns the store briefly while no
/// proxy runs.
fn open_when_released(path: &Path) -> Result<SqliteStore, StoreError> {
    let begun = Instant::now();
    loop {
        match SqliteStore::open(&SqliteOptions::new(path)) {
            Err(StoreError::Owned { .. }) if begun.elapsed() < MAX_OWNER_WAIT => {
                std::thread::sleep(LOCK_PAUSE)
            }
            opening_result => return opening_result,
        }
    }
}

/// Returns whether the store may open later without an operator, as a disk may recover by itself. All other errors need an
/// operator: not a store of this program, a newer format, another owner, a setting that is not in force, a missing folder.
pub(crate) fn may_open_later(error: &StoreError) -> bool {
    matches!(error, StoreError::Slow(_) | StoreError::Busy(_) | StoreError::Full(_) | StoreError::Io(_))
}

/// An attempt to open the store that runs on a thread of its own.
pub(crate) struct OpeningAttempt(ThreadReceiver<Result<StoreContents, StoreError>>);

impl OpeningAttempt {
    /// Starts the attempt. Must be called within the event loop's context.
    ///
    /// # Errors
    /// Fails if the system provides no thread, or no descriptors for the channel on which it reports.
    pub fn begin(path: PathBuf) -> Result<OpeningAttempt, StoreError> {
        let (sender, receiver) = thread_channel().map_err(|error| StoreError::Io(error.into()))?;
        let read = move || sender.send(StoreContents::read(&path)); // the receiver may have been dropped
        let thread = std::thread::Builder::new().name("store-open".into()).spawn(read);
        thread.map(|_| OpeningAttempt(receiver)).map_err(|error| StoreError::Io(error.into()))
    }

    /// Waits for the result without a limit. Cancellation-safe: a dropped future has consumed nothing.
    pub async fn opening_result(&mut self) -> Result<StoreContents, StoreError> {
        self.0.recv().await.unwrap_or_else(|| Err(thread_ended()))
    }
}

fn thread_ended() -> StoreError {
    StoreError::Other("the thread that opened the store has ended".into())
}
