//! Writes lines to standard error from the calling thread, while the log is not started.

use crate::signals;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::fmt::Display;
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};

/// The longest line, in bytes: less than PIPE_BUF, which a pipe with any room accepts in one piece.
const MAX_LINE: usize = 512;
/// Polls without waiting.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Writes a line if standard error accepts it at once, and drops it otherwise. A line that is too long is cut off. To be used
/// before signals are received: if another process fills the pipe meanwhile, the write blocks until a stop signal arrives.
pub fn write_if_room(text: impl Display) {
    let stderr = io::stderr();
    if has_room(stderr.as_fd()) {
        let line = line(text);
        let write = || rustix::io::retry_on_intr(|| rustix::io::write(&stderr, &line));
        let _ = signals::stoppable(write); // there is nowhere to report an error
    }
}

/// Returns whether a short write would not block.
fn has_room(output: BorrowedFd<'_>) -> bool {
    let mut polled = [PollFd::from_borrowed_fd(output, PollFlags::OUT)];
    poll(&mut polled, Some(&NO_WAIT)).is_ok() && polled[0].revents().contains(PollFlags::OUT)
}

/// Returns the line with its newline, at most [`MAX_LINE`] bytes.
fn line(text: impl Display) -> Vec<u8> {
    let mut line = Vec::with_capacity(MAX_LINE);
    let _ = write!(line, "shaletide: {text}"); // a write to memory does not fail
    line.truncate(MAX_LINE - 1);
    line.push(b'\n');
    line
}

#[cfg(test)]
mod tests;
