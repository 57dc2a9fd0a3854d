//! What the program says on standard error, line by line, for tests to wait on.

use crate::WAIT_LIMIT;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

#[derive(Debug, Default)]
struct Lines {
    said: Vec<String>,
    over: bool,
}

/// All that was said so far; more comes as long as the program runs.
#[derive(Clone, Debug)]
pub struct Log(Arc<(Mutex<Lines>, Condvar)>);

impl Log {
    /// Reads that to its end on a thread of its own, and passes it on to this process's own.
    pub fn follow(from: impl Read + Send + 'static) -> Log {
        let log = Log(Arc::default());
        let shared = log.0.clone();
        std::thread::spawn(move || {
            let mut from = BufReader::new(from);
            let mut line = Vec::new();
            while from.read_until(b'\n', &mut line).is_ok_and(|read| read > 0) {
                let text = String::from_utf8_lossy(&line).trim_end().to_string();
                eprintln!("{text}");
                shared.0.lock().unwrap_or_else(PoisonError::into_inner).said.push(text);
                shared.1.notify_all();
                line.clear();
            }
            shared.0.lock().unwrap_or_else(PoisonError::into_inner).over = true;
            shared.1.notify_all();
        });
        log
    }

    /// How many lines there are: from there on the next begin.
    pub fn len(&self) -> usize {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner).said.len()
    }

    /// Whether nothing was said yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The lines from that one on.
    pub fn since(&self, from: usize) -> Vec<String> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner).said.iter().skip(from).cloned().collect()
    }

    /// Waits for a line, from that one on, that is as wanted: its number and text. `None` where the program ended
    /// before, or said no such thing within [`WAIT_LIMIT`].
    pub fn wait(&self, from: usize, wanted: impl Fn(&str) -> bool) -> Option<(usize, String)> {
        let (lock, more) = &*self.0;
        let find = |lines: &Lines| {
            let found = lines.said.iter().enumerate().skip(from).find(|(_, line)| wanted(line));
            found.map(|(at, line)| (at, line.clone()))
        };
        let lines = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = more.wait_timeout_while(lines, WAIT_LIMIT, |lines| !lines.over && find(lines).is_none());
        find(&waited.unwrap_or_else(PoisonError::into_inner).0)
    }

    /// Waits for a line that holds this text.
    ///
    /// # Panics
    /// Where none comes.
    pub fn expect(&self, from: usize, text: &str) -> String {
        match self.wait(from, |line| line.contains(text)) {
            Some((_, line)) => line,
            None => panic!("nothing was said of {text:?}:\n{}", self.since(from).join("\n")),
        }
    }
}
