//! The log, written to standard error by a thread of its own: a pipe that is read slowly, or not at all, holds up neither
//! the start nor a request. A list of 1,024 backends alone is more than a pipe takes.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

/// Bytes that may wait to be written: a line for each of 1,024 backends whose names are as long as a list may have them,
/// and as much again. Lines beyond that are lost, and counted.
const MAX_WAITING: usize = 2 << 20;
/// The thread's stack, in bytes: it calls nothing but the kernel.
const STACK: usize = 64 << 10;
/// As the program ends, what waits may take so long to be written.
const LAST_LINES: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    waiting: Vec<u8>,
    /// The thread has taken something and not written all of it yet.
    writing: bool,
    /// Lines that found no room since the last that did.
    lost: u64,
    closed: bool,
}

/// Lines on their way to the thread.
#[derive(Default)]
struct Queue {
    state: Mutex<State>,
    changed: Condvar,
}

impl Queue {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a line, or counts it as lost.
    fn push(&self, line: &[u8]) {
        let mut state = self.state();
        if state.waiting.len() + line.len() > MAX_WAITING {
            state.lost += 1;
            return;
        }
        match std::mem::take(&mut state.lost) {
            0 => {}
            lost => state.waiting.extend(format!("{lost} lines of the log are lost\n").into_bytes()),
        }
        state.waiting.extend_from_slice(line);
        drop(state);
        self.changed.notify_all();
    }

    /// Writes what comes until the queue is closed and empty. What cannot be written is lost: saying so could not be
    /// written either.
    fn write_to(&self, mut out: impl Write) {
        let mut state = self.state();
        loop {
            let idle = |state: &mut State| state.waiting.is_empty() && !state.closed;
            state = self.changed.wait_while(state, idle).unwrap_or_else(PoisonError::into_inner);
            if state.waiting.is_empty() {
                return;
            }
            let lines = std::mem::take(&mut state.waiting);
            state.writing = true;
            drop(state);
            let _ = out.write_all(&lines);
            state = self.state();
            state.writing = false;
            self.changed.notify_all();
        }
    }

    /// Nothing more comes. Waits for what is there, for a limited time.
    fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        self.changed.notify_all();
        let unwritten = |state: &mut State| state.writing || !state.waiting.is_empty();
        drop(self.changed.wait_timeout_while(state, LAST_LINES, unwritten));
    }
}

impl Write for &Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log at work. Dropped, it writes the last lines.
pub struct Log(Arc<Queue>);

impl Drop for Log {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Logs to standard error from now on, at the level that NODE_LOG names or else at this one.
pub fn start(usual: tracing::Level) -> Log {
    let level = std::env::var("NODE_LOG").ok().and_then(|level| level.parse().ok()).unwrap_or(usual);
    let queue = Arc::new(Queue::default());
    let lines = queue.clone();
    let thread = std::thread::Builder::new().name("log".into()).stack_size(STACK);
    let writer = match thread.spawn(move || lines.write_to(io::stderr())) {
        Ok(_) => BoxMakeWriter::new(queue.clone()),
        Err(_) => BoxMakeWriter::new(io::stderr),
    };
    let lines = tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_max_level(level);
    lines.log_internal_errors(false).init();
    Log(queue)
}

#[cfg(test)]
mod tests;
