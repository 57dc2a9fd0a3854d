//! The log, written to standard error by its own thread, so that a pipe that is read slowly or not at all delays neither
//! the start nor a request. The lines about a list of 1,024 backends alone exceed the capacity of a pipe.

mod direct;
mod queue;

pub use direct::write_if_room;
pub use queue::QueueGuard;

use crate::signals;
use std::io::{self, LineWriter, Stderr, Write};
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// The most lines that wait to be written: four for each of 1,024 backends. Further lines are dropped and counted until there
/// is room; one line then reports their number.
const MAX_WAITING_LINES: usize = 4 * 1_024;

/// How long a program that fails waits for its error message to be written.
const FAILURE_WRITE_LIMIT: Duration = Duration::from_secs(1);

/// Writes the error message of a program that fails to standard error. Waits at most [`FAILURE_WRITE_LIMIT`], as nobody may
/// read it, or the pipe or disk behind it may be full; the exit status reports the failure in any case.
pub fn report_failure(why: impl std::fmt::Display) {
    let line: Arc<str> = format!("shaletide: {why}\n").into();
    let (written, is_written) = mpsc::channel::<()>();
    let write = {
        let line = line.clone();
        move || {
            let _ = io::stderr().write_all(line.as_bytes());
            drop(written);
        }
    };
    match std::thread::Builder::new().name("failure".into()).spawn(write) {
        Ok(_) => {
            let _ = is_written.recv_timeout(FAILURE_WRITE_LIMIT); // returns once the sender is dropped
        }
        Err(_) => {
            // No thread is available: the write may block, until a stop signal arrives.
            let _ = signals::stoppable(|| io::stderr().write_all(line.as_bytes()));
        }
    }
}

/// Standard error with a callback, which is called once, after the first write has succeeded or failed.
struct NotifyWriter<F: FnOnce()> {
    stderr: Stderr,
    on_first_write: Option<F>,
}

impl<F: FnOnce()> Write for NotifyWriter<F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.stderr.write(bytes);
        if let Some(on_first_write) = self.on_first_write.take() {
            on_first_write();
        }
        written
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stderr.flush()
    }
}

/// Starts logging to standard error, at the level that NODE_LOG names or else at `default_level`. The guard writes the last
/// lines as it is dropped, which takes at most 1.1 s if nobody reads them. The log's thread calls `on_first_write` after it
/// has written its first line.
///
/// # Errors
/// The system cannot start a thread. The call may be repeated.
pub fn start(
    default_level: tracing::Level, on_first_write: impl FnOnce() + Send + 'static,
) -> io::Result<QueueGuard> {
    let level = std::env::var("NODE_LOG").ok().and_then(|level| level.parse().ok()).unwrap_or(default_level);
    let open =
        move || LineWriter::new(NotifyWriter { stderr: io::stderr(), on_first_write: Some(on_first_write) });
    let (writer, guard) = queue::start("log", MAX_WAITING_LINES, open)?;
    let lines = tracing_subscriber::fmt().with_writer(move || writer.clone());
    lines.with_ansi(false).with_max_level(level).log_internal_errors(false).init();
    Ok(guard)
}
