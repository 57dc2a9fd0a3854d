//! Reads the configuration again: on threads beside the event loop, and more than once where a reading cannot be
//! applied. Says when to apply what was read; [`crate::daemon`] applies it. A reading that was not applied, for whatever
//! reason, is read again up to five times before that is logged as a warning.

use crate::setup::Setup;
use shaletide_net::{thread_channel, ThreadReceiver, ThreadSender};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Reads the configuration anew, given the running one; the text says why there is none. Called on a thread of its own:
/// a large file takes time, and one on a disk that hangs may never be read.
pub type ReadConfiguration = Arc<dyn Fn(&Setup) -> Result<Setup, String> + Send + Sync>;

/// A file may be half written as SIGHUP comes, so that an invalid one is read again after these pauses, in ms. Together
/// they are well under the 4 s after which what another discovery has counts as known.
const RETRY_PAUSES_MS: [u64; 5] = [50, 100, 200, 400, 800];
/// A thread that reads from a disk that hangs does not return. A later SIGHUP does not wait for it, and at most so many
/// read at a time.
const MAX_CONCURRENT_READS: usize = 4;

/// What came of one reading.
pub struct ReadResult {
    /// Counted from 1.
    pub number: u64,
    /// When it was requested.
    pub requested_at: Instant,
    /// The configuration, or the text for the log.
    pub result: Result<Setup, String>,
}

/// A further reading, after one that was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Retry {
    at: Instant,
    /// When the configuration was first requested.
    requested_at: Instant,
}

/// Has the configuration read at each SIGHUP. The last valid reading is applied.
pub struct Reader {
    read: ReadConfiguration,
    /// Made at the first SIGHUP.
    results: Option<(ThreadSender<ReadResult>, ThreadReceiver<ReadResult>)>,
    reads_in_progress: usize,
    last_begun: u64,
    last_applied: u64,
    /// Readings since the last SIGHUP, beside the first.
    retries: usize,
    next_retry: Option<Retry>,
    /// When a reading was requested that waits for one of [`MAX_CONCURRENT_READS`] to end.
    postponed: Option<Instant>,
}

impl Reader {
    pub fn new(read: ReadConfiguration) -> Reader {
        Reader {
            read,
            results: None,
            reads_in_progress: 0,
            last_begun: 0,
            last_applied: 0,
            retries: 0,
            next_retry: None,
            postponed: None,
        }
    }

    /// SIGHUP: the file is read, whatever came of earlier readings.
    pub fn hangup(&mut self, running: &Arc<Setup>) {
        self.retries = 0;
        // What an earlier SIGHUP requested, and has not got yet, counts from then.
        let requested_at = self.next_retry.take().map_or_else(Instant::now, |retry| retry.requested_at);
        self.begin(requested_at, running);
    }

    /// The next reading that has ended and is not older than the last one applied; pending where there is none. May be
    /// dropped before it is ready: nothing is lost.
    pub async fn next(&mut self, running: &Arc<Setup>) -> ReadResult {
        loop {
            let next_retry = self.next_retry;
            tokio::select! {
                Some(reading) = next_result(&mut self.results) => {
                    self.reads_in_progress -= 1;
                    if let Some(requested_at) = self.postponed.take() {
                        self.begin(requested_at, running);
                    }
                    if reading.number > self.last_applied {
                        return reading;
                    }
                }
                Some(requested_at) = due(next_retry) => {
                    self.next_retry = None;
                    self.begin(requested_at, running);
                }
            }
        }
    }

    /// Takes note of what came of a reading: applied, or why not. One that was not applied is read again, or logged.
    pub fn finish(&mut self, number: u64, requested_at: Instant, applied: Result<(), String>) {
        let Err(cause) = applied else {
            self.last_applied = number;
            return;
        };
        if number < self.last_begun {
            return; // it is being read again already
        }
        let Some(pause_ms) = RETRY_PAUSES_MS.get(self.retries) else {
            warn!("SIGHUP: {cause}");
            return;
        };
        self.retries += 1;
        // The first line is always `nothing changes...`, but for a rejection by the balancer, which reading has ruled out.
        let first_detail = cause.lines().nth(1).unwrap_or_default().trim();
        info!("SIGHUP, to be read again in {pause_ms} ms: {first_detail}");
        let at = Instant::now() + Duration::from_millis(*pause_ms);
        self.next_retry = Some(Retry { at, requested_at });
    }

    fn begin(&mut self, requested_at: Instant, running: &Arc<Setup>) {
        if self.reads_in_progress == MAX_CONCURRENT_READS {
            self.postponed.get_or_insert(requested_at);
            return;
        }
        let number = self.last_begun + 1;
        match self.spawn_reading(number, requested_at, running.clone()) {
            Ok(()) => {
                self.reads_in_progress += 1;
                self.last_begun = number;
            }
            Err(error) => {
                let cause = format!("nothing changes:\nno thread to read on: {error}");
                self.finish(self.last_begun, requested_at, Err(cause));
            }
        }
    }

    /// Reads on a thread of its own.
    fn spawn_reading(&mut self, number: u64, requested_at: Instant, running: Arc<Setup>) -> io::Result<()> {
        if self.results.is_none() {
            self.results = Some(thread_channel()?);
        }
        let Some((sender, _)) = &self.results else { return Ok(()) };
        let results = sender.clone();
        let read = self.read.clone();
        let work = move || {
            let result = catch_unwind(AssertUnwindSafe(|| read(&running)));
            let result = result.unwrap_or_else(|_| Err("the reader has failed".into()));
            let result = result.map_err(|cause| format!("nothing changes:\n{cause}"));
            results.send(ReadResult { number, requested_at, result });
        };
        std::thread::Builder::new().name("reload".into()).spawn(work)?;
        Ok(())
    }
}

/// The next result; pending where nothing was read yet.
async fn next_result(
    results: &mut Option<(ThreadSender<ReadResult>, ThreadReceiver<ReadResult>)>,
) -> Option<ReadResult> {
    match results {
        Some((_, receiver)) => receiver.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits until the retry is due and returns when it was requested; `None` at once where there is none.
async fn due(retry: Option<Retry>) -> Option<Instant> {
    let retry = retry?;
    tokio::time::sleep_until(retry.at.into()).await;
    Some(retry.requested_at)
}

#[cfg(test)]
mod tests;
