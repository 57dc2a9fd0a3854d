//! The configuration read again: on threads beside the event loop, and more than once where it makes no sense yet. Says
//! when to take what was read; [`crate::daemon`] takes it.

use crate::setup::Setup;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Reads the configuration anew, seen from the one that runs; the text says why there is none. Called on a thread of
/// its own: a large file takes time, and one on a disk that hangs all the time there is.
pub type Again = Arc<dyn Fn(&Setup) -> Result<Setup, String> + Send + Sync>;

/// A file may be half-written as the hang-up comes, so one that makes no sense is read again after these times, in
/// milliseconds. All together they are well under the 4 s after which what another discovery has counts as told.
const PAUSES: [u64; 5] = [50, 100, 200, 400, 800];
/// Whoever reads from a disk that hangs does not come back. A later hang-up does not wait for him, and no more than so
/// many read at a time.
const MOST: usize = 4;

/// What came of one reading.
pub struct Read {
    /// Counted from the first.
    pub number: u64,
    /// When it was asked for.
    pub asked: Instant,
    /// The configuration, or what the log is to say.
    pub came: Result<Setup, String>,
}

/// Has the configuration read at each hang-up. The last reading that makes sense holds.
pub struct Reader {
    again: Again,
    tell: mpsc::Sender<Read>,
    told: mpsc::Receiver<Read>,
    /// Readings that are under way; numbers of the last that was begun, and of the last that was taken.
    out: usize,
    begun: u64,
    taken: u64,
    /// How often the file was read again since the last hang-up.
    repeats: usize,
    /// When it is to be read again, and since when that is asked for.
    due: Option<(Instant, Instant)>,
    /// The same where nobody was there to read it.
    waits: Option<Instant>,
}

impl Reader {
    pub fn new(again: Again) -> Reader {
        let (tell, told) = mpsc::channel(MOST);
        Reader { again, tell, told, out: 0, begun: 0, taken: 0, repeats: 0, due: None, waits: None }
    }

    /// A hang-up: the file is read, whatever became of it before.
    pub fn hangup(&mut self, running: &Arc<Setup>) {
        self.repeats = 0;
        // What an earlier one asked for, and has not got yet, counts from then.
        let asked = self.due.take().map_or_else(Instant::now, |(_, asked)| asked);
        self.begin(asked, running);
    }

    /// The next reading that is over and no older than what was taken; for ever where there is none. May be dropped
    /// midway.
    pub async fn next(&mut self, running: &Arc<Setup>) -> Read {
        loop {
            let due = self.due;
            tokio::select! {
                Some(read) = self.told.recv() => {
                    self.out -= 1;
                    if let Some(asked) = self.waits.take() {
                        self.begin(asked, running);
                    }
                    if read.number > self.taken {
                        return read;
                    }
                }
                Some(asked) = pause(due) => {
                    self.due = None;
                    self.begin(asked, running);
                }
            }
        }
    }

    /// What was read is in force, or the log is to say why not; it is if it is not read again.
    pub fn over(&mut self, number: u64, asked: Instant, done: Result<(), String>) {
        let Err(why) = done else {
            self.taken = number;
            return;
        };
        if number < self.begun {
            return; // it is read again already
        }
        let Some(pause) = PAUSES.get(self.repeats) else {
            return warn!("SIGHUP: {why}");
        };
        self.repeats += 1;
        info!("SIGHUP, to be read again in {pause} ms: {}", why.lines().nth(1).unwrap_or_default().trim());
        self.due = Some((Instant::now() + Duration::from_millis(*pause), asked));
    }

    fn begin(&mut self, asked: Instant, running: &Arc<Setup>) {
        if self.out == MOST {
            self.waits.get_or_insert(asked);
            return;
        }
        let (again, running, tell) = (self.again.clone(), running.clone(), self.tell.clone());
        let number = self.begun + 1;
        let read = move || {
            let came = catch_unwind(AssertUnwindSafe(|| again(&running)));
            let came = came.unwrap_or_else(|_| Err("the reader has failed".into()));
            let came = came.map_err(|why| format!("nothing changes:\n{why}"));
            let _ = tell.try_send(Read { number, asked, came }); // there is room; the program may have stopped
        };
        match std::thread::Builder::new().name("reload".into()).spawn(read) {
            Ok(_) => (self.out, self.begun) = (self.out + 1, number),
            Err(e) => {
                self.over(self.begun, asked, Err(format!("nothing changes:\nno thread to read on: {e}")))
            }
        }
    }
}

/// Until then; `None` at once where nothing is due.
async fn pause(due: Option<(Instant, Instant)>) -> Option<Instant> {
    let (at, asked) = due?;
    tokio::time::sleep_until(at.into()).await;
    Some(asked)
}

#[cfg(test)]
mod tests;
