//! Timeouts that count only after the sockets were polled.
//!
//! The event loop waits for sockets and timers in one system call. Where that call is interrupted (EINTR: a signal, or
//! SIGCONT after the process was stopped) it reports no socket, and timers that are due run first; and where the process is
//! held up after the call, what has come since is not known yet. A connection closed by such a timer may be closed over a
//! response or a request that is unread in the kernel. So a timeout that fires lets the event loop poll the sockets again
//! before it counts.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Turns of the event loop in which the sockets are polled: more than one, as each poll may be interrupted again.
const TURNS: usize = 4;

/// The time is over, and the sockets had nothing that would have ended the wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

impl From<TimedOut> for std::io::Error {
    fn from(_: TimedOut) -> std::io::Error {
        std::io::ErrorKind::TimedOut.into()
    }
}

/// Lets the event loop poll the sockets and run the tasks that this wakes.
pub async fn poll_sockets() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// Waits until that time, and until the sockets were polled after it.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at).await;
    poll_sockets().await;
}

/// The future's output, if it ends within that span, or by what the sockets have when the span is over.
///
/// # Errors
/// It does not end by then; it has been dropped.
pub async fn timeout<T>(within: Duration, future: impl Future<Output = T>) -> Result<T, TimedOut> {
    // A span that the clock cannot represent is without limit.
    match Instant::now().checked_add(within) {
        Some(at) => timeout_at(at, future).await,
        None => Ok(future.await),
    }
}

/// The same as [`timeout()`] for an instant.
///
/// # Errors
/// It does not end by then; it has been dropped.
pub async fn timeout_at<T>(at: Instant, future: impl Future<Output = T>) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(TimedOut),
    }
}
