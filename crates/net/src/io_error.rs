//! Classification of errors of system calls on connections and listeners. Callers match on these classes and never on error
//! numbers. Other errors are classified elsewhere: those of files by `node::NodeError::is_transient`, those of the store by
//! `opening::may_open_later`, those of the control socket by `control_socket`. In discovery, every error fails the call.
//!
//! - A read, write, peek or shutdown on a connection: EAGAIN waits for readiness, EINTR is retried at once, and any other
//!   error ends the connection (ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EPIPE and the like).
//! - An accept: [`accept_failure`].
//! - A connect: [`connect_failure`].
//! - A bind or listen: [`listen_failure`].
//! - A call at startup: [`retry_shortage`].

use crate::clock::to_duration;
use rustix::io::Errno;
use shaletide_balancer::{Micros, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// The minimum interval between two log lines on the same call and error number.
const LOG_INTERVAL: Micros = Micros(1_000_000);
/// The delay before a call at startup that failed for lack of system resources is retried.
const START_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The number of pairs of call and error number that have a count of their own. Further ones share a count for each call.
const MAX_ERROR_COUNTS: usize = 64;

/// Whether a call was interrupted by a signal before it did anything.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Makes a call, and repeats it as long as it is interrupted by a signal before it did anything.
///
/// # Errors
/// Returns any other error of the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if is_interrupted(&error) => {}
            done => return done,
        }
    }
}

/// The class of an error of an accept, by the reaction that it requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection at the head of the queue has failed, or a signal interrupted the call: the next connection is accepted
    /// at once. Linux also returns pending network errors of the connection from accept(2).
    Connection,
    /// The system is temporarily out of memory or files. Closing connections of this process frees neither.
    SystemShortage,
    /// This process has reached its limit of open descriptors: one has to be closed.
    OutOfDescriptors,
}

/// Classifies the error of an accept.
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::SystemShortage,
        // ECONNABORTED, EINTR, ENETDOWN, EPROTO, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH
        // and EPERM (from a firewall), and any error that a later kernel may add.
        _ => AcceptFailure::Connection,
    }
}

/// The class of an error of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The call was interrupted, or the system is temporarily out of memory, files, ports or epoll watches (ENOSPC). The
    /// connect is retried on a new socket; the error is no sign of a failure of the backend.
    SystemShortage,
    /// This process has reached its limit of open descriptors. This is no sign of a failure of the backend either.
    OutOfDescriptors,
    /// The backend, or the network path to it, has failed.
    Peer,
}

/// Classifies the error of a connect, or of the creation of its socket.
pub fn connect_failure(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE) => ConnectFailure::OutOfDescriptors,
        Some(
            Errno::INTR
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::ADDRNOTAVAIL
            | Errno::AGAIN
            | Errno::NOSPC,
        ) => ConnectFailure::SystemShortage,
        _ => ConnectFailure::Peer,
    }
}

/// The class of a failure to listen on an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenFailure {
    /// Another socket has the address. Both bind and listen return this error: two sockets may be bound to the address, and
    /// the first to listen gets it.
    AddressInUse,
    /// This machine does not have the address, at least not now.
    AddressMissing,
    /// The system, or this process, is temporarily out of memory, files or buffers.
    SystemShortage,
    /// A permanent error: EACCES, EAFNOSUPPORT, EINVAL and the like.
    Permanent,
}

impl ListenFailure {
    /// Whether the same call may succeed later.
    pub fn may_pass(self) -> bool {
        self != ListenFailure::Permanent
    }
}

/// Classifies the error of a socket, bind or listen call.
pub fn listen_failure(error: &io::Error) -> ListenFailure {
    match Errno::from_io_error(error) {
        Some(Errno::ADDRINUSE) => ListenFailure::AddressInUse,
        Some(Errno::ADDRNOTAVAIL) => ListenFailure::AddressMissing,
        _ if is_shortage(error) => ListenFailure::SystemShortage,
        _ => ListenFailure::Permanent,
    }
}

/// Whether an error is a temporary shortage, so that the same call may succeed when it is repeated: the system, or this
/// process, is out of memory, files, buffers or threads, the user has reached the limit of epoll watches (ENOSPC of
/// epoll_ctl), or a signal interrupted the call (EINTR).
pub fn is_shortage(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(
        errno,
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::NOSPC
        )
    )
}

/// Makes a call at startup, and repeats it every 20 ms while [`is_shortage`] applies to its error, until it has failed for
/// `time_limit`, or without limit if that is `None`. Blocks the thread, as nothing is served yet. Calls `sleep` between two
/// attempts, and `report` with a line on the shortage after the first failure and then once a second.
///
/// # Errors
/// Returns any other error of the call, or its last error once `time_limit` has passed.
pub fn retry_shortage<T>(
    time_limit: Option<Duration>, sleep: impl Fn(Duration), report: impl Fn(fmt::Arguments<'_>),
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started_at = Instant::now();
    let mut logged_at: Option<Instant> = None;
    loop {
        let error = match call() {
            Err(error) if is_shortage(&error) => error,
            done => return done,
        };
        if time_limit.is_some_and(|time_limit| started_at.elapsed() >= time_limit) {
            return Err(error);
        }
        if logged_at.is_none_or(|at| at.elapsed() >= to_duration(LOG_INTERVAL)) {
            report(format_args!(
                "a system call at the start failed for {:.1} s so far, and is repeated: {error}",
                started_at.elapsed().as_secs_f64()
            ));
            logged_at = Some(Instant::now());
        }
        sleep(START_RETRY_DELAY);
    }
}

/// A system call whose failures are logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SystemCall {
    /// Accepting a client's connection.
    Accept,
    /// Registering an accepted connection with the event loop.
    Register,
    /// Connecting to a backend.
    Connect,
    /// Listening on an address.
    Listen,
}

#[derive(Clone, Copy, Debug, Default)]
struct ErrorCount {
    total: u64,
    since_logged: u64,
    logged_at: Option<Time>,
}

/// Errors of system calls, counted by call and error number. Each pair of these is logged at most once a second.
#[derive(Debug, Default)]
pub struct SystemErrors(RefCell<BTreeMap<(SystemCall, i32), ErrorCount>>);

impl SystemErrors {
    /// Counts an error, and logs it at most once a second, with the number of its occurrences since it was last logged.
    pub fn log_and_count(&self, now: Time, call: SystemCall, error: &io::Error) {
        let mut counts = self.0.borrow_mut();
        let count = entry(&mut counts, call, error);
        count.total += 1;
        count.since_logged += 1;
        if count.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL) {
            warn!(
                "{call:?} failed {} times since the last line, {} times since the start: {error}",
                count.since_logged, count.total
            );
            count.since_logged = 0;
            count.logged_at = Some(now);
        }
    }

    /// Counts an error that the caller logs itself.
    pub fn count_only(&self, call: SystemCall, error: &io::Error) {
        entry(&mut self.0.borrow_mut(), call, error).total += 1;
    }

    /// Returns how often a call failed.
    pub fn count(&self, call: SystemCall) -> u64 {
        self.0.borrow().iter().filter(|((of, _), _)| *of == call).map(|(_, count)| count.total).sum()
    }
}

/// Returns the count of an error. Beyond [`MAX_ERROR_COUNTS`] counts, errors of the same call share a count.
fn entry<'a>(
    counts: &'a mut BTreeMap<(SystemCall, i32), ErrorCount>, call: SystemCall, error: &io::Error,
) -> &'a mut ErrorCount {
    let key = (call, error.raw_os_error().unwrap_or_default());
    let has_own_count = counts.len() < MAX_ERROR_COUNTS || counts.contains_key(&key);
    counts.entry(if has_own_count { key } else { (call, 0) }).or_default()
}

/// Shows the counts since startup, by call. Calls that never failed are left out.
impl std::fmt::Display for SystemErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut by_call: BTreeMap<SystemCall, u64> = BTreeMap::new();
        for ((call, _), count) in self.0.borrow().iter() {
            *by_call.entry(*call).or_default() += count.total;
        }
        if by_call.is_empty() {
            return f.write_str("none");
        }
        for (at, (call, count)) in by_call.iter().enumerate() {
            let separator = if at > 0 { " " } else { "" };
            write!(f, "{separator}{call:?} {count}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
