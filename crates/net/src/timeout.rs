//! Timeouts that expire only after the sockets have been polled.
//!
//! The event loop waits for sockets and timers in one system call. If that call is interrupted (EINTR: a signal, or SIGCONT
//! after the process was stopped), it reports no socket, and timers that are due run first. If the process is suspended
//! after the call, input that has arrived since is not known yet. In both cases, a timer that closes a connection could
//! close it while a response or a request is unread in the kernel. So when a timeout fires, it lets the event loop poll the
//! sockets again before it expires.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// The number of turns of the event loop for which a timeout waits. Each turn polls the sockets; more than one is needed,
/// as each poll may be interrupted again.
const TURNS: usize = 4;

/// The error of a timeout that has expired without input on the sockets that would have ended the wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

impl From<TimedOut> for std::io::Error {
    fn from(_: TimedOut) -> std::io::Error {
        std::io::ErrorKind::TimedOut.into()
    }
}

/// Lets the event loop poll the sockets and run the tasks that are woken by that.
pub async fn poll_sockets() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// Waits until the given time, and until the sockets have been polled after it.
pub async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at).await;
    poll_sockets().await;
}

/// Runs a future with a time limit. Returns its output if it completes within that time, or on input that is pending when
/// the time is over.
///
/// # Errors
/// Returns [`TimedOut`] if the future has not completed by then. The future is dropped.
pub async fn timeout<T>(within: Duration, future: impl Future<Output = T>) -> Result<T, TimedOut> {
    // A duration that the clock cannot represent means no limit.
    match Instant::now().checked_add(within) {
        Some(at) => timeout_at(at, future).await,
        None => Ok(future.await),
    }
}

/// Runs a future with a deadline. The same as [`timeout()`] for an instant.
///
/// # Errors
/// Returns [`TimedOut`] if the future has not completed by then. The future is dropped.
pub async fn timeout_at<T>(at: Instant, future: impl Future<Output = T>) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(at) => Err(TimedOut),
    }
}
