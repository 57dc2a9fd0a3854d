//! Reads the configuration again, on separate threads. [`crate::daemon`] applies the result. A configuration that was not
//! applied, for whatever reason, is read again up to five times before the failure is logged as a warning.

use crate::setup::Setup;
use shaletide_net::{thread_channel, ThreadReceiver, ThreadSender};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Reads the configuration again, given the running one; the error says why it could not be read. Called on a separate thread:
/// a large file takes time, and a read from a hanging disk may never return.
pub type ReadConfiguration = Arc<dyn Fn(&Setup) -> Result<Setup, String> + Send + Sync>;

/// The pauses before an invalid file is read again, in ms: the file may be half written when SIGHUP arrives. Their sum is well
/// under the 4 s after which the proxy counts as knowing the list of a new discovery.
const RETRY_PAUSES_MS: [u64; 5] = [50, 100, 200, 400, 800];
/// The most reads in progress at a time. A read from a hanging disk does not return, and a later SIGHUP does not wait for
/// it.
const MAX_CONCURRENT_READS: usize = 4;

/// The result of one read.
pub struct ReadResult {
    /// The number of the read, counted from 1.
    pub number: u64,
    /// When the read was requested.
    pub requested_at: Instant,
    /// The configuration, or the error text for the log.
    pub result: Result<Setup, String>,
}

/// A repeated read, after one whose result was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Retry {
    at: Instant,
    /// When the configuration was first requested.
    requested_at: Instant,
}

/// Reads the configuration at each SIGHUP. The last valid result is applied.
pub struct Reader {
    read: ReadConfiguration,
    /// Created at the first SIGHUP.
    results: Option<(ThreadSender<ReadResult>, ThreadReceiver<ReadResult>)>,
    reads_in_progress: usize,
    last_begun: u64,
    last_applied: u64,
    /// The number of repeated reads since the last SIGHUP.
    retries: usize,
    next_retry: Option<Retry>,
    /// When the read was requested that waits for one of [`MAX_CONCURRENT_READS`] to end.
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

    /// Handles SIGHUP: reads the file, whatever the results of earlier reads.
    pub fn hangup(&mut self, running: &Arc<Setup>) {
        self.retries = 0;
        // A reload that an earlier SIGHUP requested and that was not applied yet counts from that SIGHUP.
        let requested_at = self.next_retry.take().map_or_else(Instant::now, |retry| retry.requested_at);
        self.begin(requested_at, running);
    }

    /// Returns the next result that is newer than the last one applied; pending if there is none. Cancel-safe: dropped before
    /// it is ready, it loses no result.
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

    /// Records whether a result was applied, or why not. If not, schedules another read, or logs the failure.
    pub fn finish(&mut self, number: u64, requested_at: Instant, applied: Result<(), String>) {
        let Err(cause) = applied else {
            self.last_applied = number;
            return;
        };
        if number < self.last_begun {
            return; // a newer read is already in progress
        }
        let Some(pause_ms) = RETRY_PAUSES_MS.get(self.retries) else {
            warn!("SIGHUP: {cause}");
            return;
        };
        self.retries += 1;
        // The first line is always `nothing changes...`, except after a rejection by the balancer, which validation rules out.
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
                let cause =
                    format!("nothing changes:\ncannot start a thread to read the configuration: {error}");
                self.finish(self.last_begun, requested_at, Err(cause));
            }
        }
    }

    /// Reads on a new thread.
    fn spawn_reading(&mut self, number: u64, requested_at: Instant, running: Arc<Setup>) -> io::Result<()> {
        if self.results.is_none() {
            self.results = Some(thread_channel()?);
        }
        let Some((sender, _)) = &self.results else { return Ok(()) };
        let results = sender.clone();
        let read = self.read.clone();
        let work = move || {
            let result = catch_unwind(AssertUnwindSafe(|| read(&running)));
            let result = result.unwrap_or_else(|_| Err("the configuration reader failed".into()));
            let result = result.map_err(|cause| format!("nothing changes:\n{cause}"));
            results.send(ReadResult { number, requested_at, result });
        };
        std::thread::Builder::new().name("reload".into()).spawn(work)?;
        Ok(())
    }
}

/// Returns the next result; pending if no read has been requested yet.
async fn next_result(
    results: &mut Option<(ThreadSender<ReadResult>, ThreadReceiver<ReadResult>)>,
) -> Option<ReadResult> {
    match results {
        Some((_, receiver)) => receiver.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits until the retry is due and returns when it was requested; returns `None` at once if there is none.
async fn due(retry: Option<Retry>) -> Option<Instant> {
    let retry = retry?;
    tokio::time::sleep_until(retry.at.into()).await;
    Some(retry.requested_at)
}

#[cfg(test)]
mod tests;
