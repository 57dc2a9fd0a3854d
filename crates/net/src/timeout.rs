//! Times that are over, acted on only after the sockets were looked at.
//!
//! The event loop waits for sockets and timers in one call. Where that call is interrupted (EINTR: a signal, or SIGCONT
//! after the process stood still) it tells of no socket, and timers that are due run first; and where the process is held
//! up after the call, what has come since is not known yet. Whoever then gives up on a connection closes it over an answer
//! or a request that lies in the kernel. So a time that is over lets the event loop ask the kernel again before it counts.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Turns of the event loop in which the kernel is asked: more than one, as each may be interrupted again.
const TURNS: usize = 4;

/// The time was over, and the sockets had nothing that would have ended the wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

impl From<TimedOut> for std::io::Error {
    fn from(_: TimedOut) -> std::io::Error {
        std::io::ErrorKind::TimedOut.into()
    }
}

/// Lets the event loop ask the kernel what the sockets have, and those run that it wakes.
pub async fn poll_sockets() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// Until that time, and until the sockets were looked at behind it.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at).await;
    poll_sockets().await;
}

/// The future's output, if it ends within that time or by what the sockets have as it is over.
///
/// # Errors
/// It does not.
pub async fn timeout<T>(within: Duration, future: impl Future<Output = T>) -> Result<T, TimedOut> {
    // A span beyond what the clock can add is for ever.
    match Instant::now().checked_add(within) {
        Some(at) => timeout_at(at, future).await,
        None => Ok(future.await),
    }
}

/// The same for a moment.
///
/// # Errors
/// It does not end by then.
pub async fn timeout_at<T>(at: Instant, future: impl Future<Output = T>) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(TimedOut),
    }
}
