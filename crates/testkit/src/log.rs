//! The log of the program on standard error, line by line, for tests to wait on.

use crate::WAIT_LIMIT;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

#[derive(Debug, Default)]
struct Lines {
    lines: Vec<String>,
    ended: bool,
}

/// The log lines so far. Lines are added while the program runs.
#[derive(Clone, Debug)]
pub struct Log(Arc<(Mutex<Lines>, Condvar)>);

impl Log {
    /// Reads the stream to its end on a separate thread and copies it to this process's standard error.
    pub fn follow(from: impl Read + Send + 'static) -> Log {
        let log = Log(Arc::default());
        let shared = log.0.clone();
        std::thread::spawn(move || {
            let mut from = BufReader::new(from);
            let mut line = Vec::new();
            while from.read_until(b'\n', &mut line).is_ok_and(|read| read > 0) {
                let text = String::from_utf8_lossy(&line).trim_end().to_string();
                eprintln!("{text}");
                shared.0.lock().unwrap_or_else(PoisonError::into_inner).lines.push(text);
                shared.1.notify_all();
                line.clear();
            }
            shared.0.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
            shared.1.notify_all();
        });
        log
    }

    /// Returns the number of lines, which is the index of the next line.
    pub fn len(&self) -> usize {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner).lines.len()
    }

    /// Returns whether no line was logged yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the lines from index `from` on.
    pub fn since(&self, from: usize) -> Vec<String> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner).lines.iter().skip(from).cloned().collect()
    }

    /// Waits for a line, from index `from` on, that `wanted` accepts, and returns its index and text. Returns `None` if the
    /// program ended first or no such line came within [`WAIT_LIMIT`].
    pub fn wait(&self, from: usize, wanted: impl Fn(&str) -> bool) -> Option<(usize, String)> {
        let (lock, changed) = &*self.0;
        let find = |lines: &Lines| {
            let found = lines.lines.iter().enumerate().skip(from).find(|(_, line)| wanted(line));
            found.map(|(index, line)| (index, line.clone()))
        };
        let lines = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let waited =
            changed.wait_timeout_while(lines, WAIT_LIMIT, |lines| !lines.ended && find(lines).is_none());
        find(&waited.unwrap_or_else(PoisonError::into_inner).0)
    }

    /// Waits for a line that contains this text and returns it.
    ///
    /// # Panics
    /// No such line was logged.
    pub fn expect(&self, from: usize, text: &str) -> String {
        match self.wait(from, |line| line.contains(text)) {
            Some((_, line)) => line,
            None => panic!("no log line contains {text:?}:\n{}", self.since(from).join("\n")),
        }
    }
}
