//! What an error of a system call means: the one place that says which errors end what. Callers match on the classes
//! here and never on error numbers of their own.
//!
//! - A read, write, peek or shutdown on a connection: EAGAIN waits for readiness, EINTR is tried again at once, and any
//!   other error ends the connection (ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EPIPE and the like).
//! - An accept: [`accept_failure`].
//! - A connect: [`connect_failure`].
//! - A call at the start: [`retry_shortage`].

use rustix::io::Errno;
use shaletide_balancer::{Micros, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// An error is logged at most this often, for each call and error number.
const LOG_INTERVAL: Micros = Micros(1_000_000);
/// A call at the start that lacks something of the system's is tried again after this time.
const START_PAUSE: Duration = Duration::from_millis(20);
/// So many pairs of call and error number are told apart; further ones are counted together.
const MAX_KINDS: usize = 64;

/// The call was interrupted by a signal before it did anything.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// The same call, repeated as long as it is interrupted by signals before it did anything.
///
/// # Errors
/// Any other error of the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if is_interrupted(&error) => {}
            done => return done,
        }
    }
}

/// What a failed accept calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection at the head of the queue has failed, or a signal came: the next one is accepted at once. Linux
    /// passes pending errors of the network on here (accept(2)).
    Connection,
    /// The system lacks memory or files for now: closing connections of this process frees neither.
    SystemShortage,
    /// This process holds as many descriptors as it may: one has to be closed.
    OutOfDescriptors,
}

/// Classifies the error of an accept.
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::SystemShortage,
        // ECONNABORTED, EINTR, ENETDOWN, EPROTO, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH
        // and EPERM (a firewall's word), and what a later kernel may add.
        _ => AcceptFailure::Connection,
    }
}

/// What a failed connect says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// It was interrupted, or the system lacks memory, files or ports for now: it is tried again on a new socket, and
    /// says nothing of the backend.
    SystemShortage,
    /// This process holds as many descriptors as it may, which says nothing of the backend either.
    OutOfDescriptors,
    /// The backend, or the way to it, does not work.
    Peer,
}

/// Classifies the error of a connect, or of making its socket.
pub fn connect_failure(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => ConnectFailure::OutOfDescriptors,
        Some(
            Errno::INTR | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL | Errno::AGAIN,
        ) => ConnectFailure::SystemShortage,
        _ => ConnectFailure::Peer,
    }
}

/// The system, or this process, lacks memory, files or buffers for now.
fn is_shortage(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::INTR | Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Repeats a call at the start, with pauses, for as long as it fails for want of memory, files or buffers, though no
/// longer than `patience`. Blocks: nothing is served yet.
///
/// # Errors
/// Any other error of the call, or the last one where the time is over.
pub fn retry_shortage<T>(patience: Duration, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        match call() {
            Err(error) if is_shortage(&error) && begun.elapsed() < patience => {
                std::thread::sleep(START_PAUSE);
            }
            done => return done,
        }
    }
}

/// A system call whose failures are logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SystemCall {
    /// A connection of a client's was to be accepted.
    Accept,
    /// An accepted connection was to be set up for the event loop.
    Register,
    /// A backend was to be connected to.
    Connect,
}

#[derive(Clone, Copy, Debug, Default)]
struct ErrorCount {
    all: u64,
    since_logged: u64,
    logged_at: Option<Time>,
}

/// Errors of system calls, counted by call and number and logged at most once a second each.
#[derive(Debug, Default)]
pub struct SystemErrors(RefCell<BTreeMap<(SystemCall, i32), ErrorCount>>);

impl SystemErrors {
    /// Counts an error, and logs it with the number of those since the last line.
    pub fn note(&self, now: Time, call: SystemCall, error: &io::Error) {
        let mut counts = self.0.borrow_mut();
        let number = error.raw_os_error().unwrap_or_default();
        let key = (call, number);
        let key = if counts.len() < MAX_KINDS || counts.contains_key(&key) { key } else { (call, 0) };
        let count = counts.entry(key).or_default();
        count.all += 1;
        count.since_logged += 1;
        if count.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL) {
            warn!("{call:?}: {error}, {} times, {} in all", count.since_logged, count.all);
            (count.since_logged, count.logged_at) = (0, Some(now));
        }
    }

    /// How often a call failed.
    pub fn count(&self, call: SystemCall) -> u64 {
        self.0.borrow().iter().filter(|((of, _), _)| *of == call).map(|(_, count)| count.all).sum()
    }
}

#[cfg(test)]
mod tests;
