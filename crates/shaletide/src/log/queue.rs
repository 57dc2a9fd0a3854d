//! A bounded queue of lines with a writer thread: the threads that log never wait for the device.

use crossbeam_channel::{bounded, Receiver, Sender};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a guard that is dropped waits for room in a full queue.
const ROOM_LIMIT: Duration = Duration::from_millis(100);
/// How long a guard that is dropped waits for all lines to be written.
const WRITE_LIMIT: Duration = Duration::from_secs(1);

/// A message to the writer thread.
enum Message {
    /// A line to write, and how many were dropped before it. One message for both, so that the count takes no line's place.
    Line { lost_before: u64, line: Vec<u8> },
    /// The end of the log.
    End,
}

/// The number of dropped lines that has not been reported yet.
#[derive(Clone, Debug, Default)]
struct LostLines(Arc<AtomicU64>);

impl LostLines {
    fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::SeqCst);
    }

    /// Returns the number and resets it.
    fn take(&self) -> u64 {
        self.0.swap(0, Ordering::SeqCst)
    }

    /// As [`LostLines::take`], but only if the queue is empty, so that all lines from before the loss have been written.
    /// Otherwise returns 0: a line in the queue, or the next one, carries the number.
    fn take_if_all_written(&self, queue: &Receiver<Message>) -> u64 {
        let count = self.0.load(Ordering::SeqCst);
        let is_taken =
            queue.is_empty() && self.0.compare_exchange(count, 0, Ordering::SeqCst, Ordering::SeqCst).is_ok();
        if is_taken {
            count
        } else {
            0
        }
    }
}

/// Sends lines to the writer thread; lines for which the queue has no room are dropped and counted.
#[derive(Clone)]
pub struct QueueWriter {
    queue: Sender<Message>,
    lost: LostLines,
}

impl QueueWriter {
    /// Sends a line. If lines were lost, their number precedes the next line, at the place where they are missing.
    fn send(&self, line: &[u8]) {
        let lost_before = self.lost.take();
        if self.queue.try_send(Message::Line { lost_before, line: line.to_vec() }).is_err() {
            self.lost.add(lost_before + 1);
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.send(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(()) // the thread flushes once the queue is empty
    }
}

/// Ends the writer thread as it is dropped: once all lines are written, or 1.1 s later.
#[must_use = "the last lines are written as the guard is dropped"]
pub struct QueueGuard {
    queue: Sender<Message>,
    /// Disconnected when the thread ends.
    end: Receiver<()>,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if self.queue.send_timeout(Message::End, ROOM_LIMIT).is_ok() {
            let _ = self.end.recv_timeout(WRITE_LIMIT); // returns at the thread's end or at the limit
        }
    }
}

/// Starts a thread that writes lines to the output that `open` returns. The queue holds `limit` lines.
///
/// # Errors
/// The system cannot start a thread.
pub fn start<W: Write>(
    thread_name: &str, limit: usize, open: impl FnOnce() -> W + Send + 'static,
) -> io::Result<(QueueWriter, QueueGuard)> {
    let (queue, lines) = bounded(limit);
    let (running, end) = bounded(0);
    let lost = LostLines::default();
    let writer = QueueWriter { queue: queue.clone(), lost: lost.clone() };
    let run = move || {
        write_lines(&lines, &lost, &mut open());
        drop(running);
    };
    std::thread::Builder::new().name(thread_name.into()).spawn(run)?;
    Ok((writer, QueueGuard { queue, end }))
}

/// Writes the lines of the queue until its end, and flushes whenever the queue is empty. The number of dropped lines is
/// written by then, or before the next line. A line that cannot be written is lost: there is nowhere to report it.
fn write_lines(queue: &Receiver<Message>, lost: &LostLines, output: &mut impl Write) {
    while let Ok(first) = queue.recv() {
        for message in std::iter::once(first).chain(queue.try_iter()) {
            match message {
                Message::Line { lost_before, line } => {
                    write_loss(lost_before, output);
                    let _ = output.write_all(&line);
                }
                Message::End => {
                    write_loss(lost.take(), output);
                    let _ = output.flush();
                    return;
                }
            }
        }
        write_loss(lost.take_if_all_written(queue), output);
        let _ = output.flush();
    }
}

fn write_loss(count: u64, output: &mut impl Write) {
    if count == 0 {
        return;
    }
    let line = format!("shaletide: log: {count} lines dropped here, the queue was full\n");
    let _ = output.write_all(line.as_bytes());
}

#[cfg(test)]
mod tests;
