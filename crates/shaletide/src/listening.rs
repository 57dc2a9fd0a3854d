//! The listen addresses: each is listened on at once or as soon as it is free, independently of the others.

use crate::retry::WaitLog;
use crate::setup::Setup;
use crate::start_error::StartError;
use shaletide_http::{listen, BoundSocket, ListenError};
use shaletide_net::socket_table::SocketHolders;
use shaletide_net::{listen_failure, thread_channel, Driver, ListenFailure, SystemCall};
use std::cell::Cell;
use std::future::Future;
use std::hash::{BuildHasher, Hasher};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tracing::{debug, info, warn};

/// The least pause between two attempts, in ms. A random part of up to the same length is added, so that two processes that
/// wait for one address do not retry in step.
const MIN_PAUSE_MS: u64 = 30;
/// An attempt to share a reserved address is made at most this often.
const SHARING_INTERVAL: Duration = Duration::from_millis(100);
/// How long the probe for a listener waits. A listener whose queue is full does not answer, so that the address then counts as
/// listened on.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a log line waits for the lookup of the address's holder. A holder found later is logged in a separate line.
const HOLDER_LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// The kernel's socket table, which may be long, is read during at most one part in this many of the time.
const HOLDER_LOOKUP_DUTY_DIVISOR: u32 = 20;

/// The listen addresses, and the listeners that are ready.
pub struct Listening {
    ready: Option<mpsc::Receiver<TcpListener>>,
    failure: Option<oneshot::Receiver<ListenError>>,
    pending: Rc<PendingAddresses>,
}

/// The listeners as they become ready, or the error of one that never will.
pub struct ListenOutcomes {
    /// The listeners, each as soon as it is ready.
    pub listeners: mpsc::Receiver<TcpListener>,
    /// The error of an address that cannot be listened on; closed once all are listened on.
    pub failure: oneshot::Receiver<ListenError>,
}

impl Listening {
    /// Tries each address once, and starts waiting for those that are not available yet. To be called within a `LocalSet`.
    ///
    /// # Errors
    /// An address that can never be listened on.
    pub fn begin(setup: &Setup, driver: &Rc<Driver>) -> Result<Listening, StartError> {
        let addresses = &setup.operator.listeners;
        let (ready, listeners) = mpsc::channel(addresses.len().max(1));
        let pending = PendingAddresses::new(addresses.len());
        let announcement = Rc::new(Announcement::of(setup, pending.clone()));
        let mut waits = Vec::new();
        for address in addresses {
            match listen(*address) {
                Ok(listener) => announcement.hand_over(listener, &ready),
                Err(error) if error.is_transient() => waits.push(error),
                Err(error) => return Err(StartError::Listen(error)),
            }
        }
        let (failure_tx, failure) = oneshot::channel();
        if !waits.is_empty() {
            let waits = waits.into_iter().map(|first| {
                let driver = driver.clone();
                let announcement = announcement.clone();
                let ready = ready.clone();
                let wait = Wait {
                    address: first.address,
                    patience: setup.listen_patience,
                    driver,
                    announcement,
                    ready,
                    holder_lookup: HolderLookup::new(Box::new(|address| Box::pin(holders_of(address)))),
                };
                wait.until_listening(first)
            });
            let mut tasks = tokio::task::JoinSet::new();
            for wait in waits {
                tasks.spawn_local(wait);
            }
            tokio::task::spawn_local(report_first_failure(tasks, failure_tx));
        }
        Ok(Listening { ready: Some(listeners), failure: Some(failure), pending })
    }

    /// Waits until all addresses are listened on; to be awaited by one task.
    pub fn all_listening(&self) -> impl Future<Output = ()> + 'static {
        let pending = self.pending.clone();
        async move { pending.until_none().await }
    }

    /// Returns the outcomes of the addresses. To be called once.
    ///
    /// # Panics
    /// If it is called a second time.
    pub fn outcomes(&mut self) -> ListenOutcomes {
        let taken = self.ready.take().zip(self.failure.take());
        let (listeners, failure) = taken.expect("outcomes are taken once");
        ListenOutcomes { listeners, failure }
    }
}

async fn report_first_failure(
    mut tasks: tokio::task::JoinSet<Result<(), ListenError>>, failure_tx: oneshot::Sender<ListenError>,
) {
    while let Some(done) = tasks.join_next().await {
        if let Ok(Err(error)) = done {
            let _ = failure_tx.send(error); // the program may be ending
            return;
        }
    }
}

/// Counts the addresses that are not listened on yet.
struct PendingAddresses {
    count: Cell<usize>,
    /// Signalled when the count reaches 0.
    none_left: Notify,
}

impl PendingAddresses {
    fn new(count: usize) -> Rc<PendingAddresses> {
        Rc::new(PendingAddresses { count: Cell::new(count), none_left: Notify::new() })
    }

    /// Records that one more address is listened on.
    fn note_listening(&self) {
        self.count.set(self.count.get().saturating_sub(1));
        if self.count.get() == 0 {
            self.none_left.notify_one();
        }
    }

    async fn until_none(&self) {
        while self.count.get() > 0 {
            self.none_left.notified().await;
        }
    }
}

/// The contents of the log line about each listener.
struct Announcement {
    pending: Rc<PendingAddresses>,
    name: String,
    cached_backends: usize,
    pools: String,
}

impl Announcement {
    fn of(setup: &Setup, pending: Rc<PendingAddresses>) -> Announcement {
        Announcement {
            pending,
            name: setup.operator.proxy.name.clone(),
            cached_backends: setup.cached_list.endpoints.len(),
            pools: setup.pool_names(),
        }
    }

    /// Passes the listener to the server, and logs it. Does nothing if the program is ending.
    fn hand_over(&self, listener: TcpListener, ready: &mpsc::Sender<TcpListener>) {
        let address = listener.local_addr();
        if ready.try_send(listener).is_ok() {
            self.pending.note_listening();
            if let Ok(address) = address {
                let Announcement { name, cached_backends, pools, .. } = self;
                info!("{name} listens on {address}, {cached_backends} backends known, pools {pools}");
            }
        }
    }
}

/// Looks up the holders of an address; `None` if they cannot be determined.
type LookUpHolder = Box<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = Option<SocketHolders>>>>>;

/// Runs the lookups of an address's holders, one at a time.
struct HolderLookup {
    look_up: LookUpHolder,
    is_under_way: Cell<bool>,
    /// The earliest start of the next lookup.
    not_before: Cell<Option<Instant>>,
    /// Whether the address is listened on: a lookup that ends after that would find this program.
    is_over: Cell<bool>,
}

/// A log line about an address that is in use, without its holder.
struct InUseLine {
    address: SocketAddr,
    cause: String,
    attempts: String,
}

impl HolderLookup {
    fn new(look_up: LookUpHolder) -> Rc<HolderLookup> {
        let is_under_way = Cell::new(false);
        Rc::new(HolderLookup {
            look_up,
            is_under_way,
            not_before: Cell::new(None),
            is_over: Cell::new(false),
        })
    }

    /// Returns whether a lookup may start.
    fn is_due(&self, now: Instant) -> bool {
        !self.is_under_way.get() && self.not_before.get().is_none_or(|at| now >= at)
    }

    /// Starts a lookup, and logs the line with the holder. After [`HOLDER_LOOKUP_TIMEOUT`] it is logged without the holder, and
    /// once more when the holder is found.
    fn begin(self: &Rc<Self>, line: InUseLine) {
        self.is_under_way.set(true);
        let lookup = self.clone();
        tokio::task::spawn_local(async move {
            let begun = Instant::now();
            lookup.write(&line, begun).await;
            lookup.not_before.set(Some(begun + begun.elapsed() * HOLDER_LOOKUP_DUTY_DIVISOR));
            lookup.is_under_way.set(false);
        });
    }

    async fn write(&self, line: &InUseLine, begun: Instant) {
        let InUseLine { cause, attempts, .. } = line;
        let mut held = (self.look_up)(line.address);
        if let Ok(holders) = tokio::time::timeout(HOLDER_LOOKUP_TIMEOUT, &mut held).await {
            return warn!("{cause}: {}; {attempts}", described(holders.as_ref()));
        }
        warn!("{cause}: its holder was not found in {HOLDER_LOOKUP_TIMEOUT:?}; {attempts}");
        let holders = held.await;
        if self.is_over.get() {
            return;
        }
        let seconds = begun.elapsed().as_secs_f64();
        warn!("{cause}: {}; {attempts}; looked up in {seconds:.1} s", described(holders.as_ref()));
    }
}

fn described(holders: Option<&SocketHolders>) -> String {
    holders.map_or_else(|| "its holder cannot be determined".into(), SocketHolders::to_string)
}

/// An address that is waited for.
struct Wait {
    address: SocketAddr,
    patience: Option<Duration>,
    driver: Rc<Driver>,
    announcement: Rc<Announcement>,
    ready: mpsc::Sender<TcpListener>,
    holder_lookup: Rc<HolderLookup>,
}

impl Wait {
    /// Retries until the address is listened on, the program ends, or the patience is over.
    ///
    /// # Errors
    /// The last failure once the patience is over, or one that does not pass by itself.
    async fn until_listening(self, first: ListenError) -> Result<(), ListenError> {
        let mut log = WaitLog::begin();
        let mut error = first;
        let mut sharing = SharingAttempts::new(self.address);
        loop {
            self.note_failure(&error, &mut log);
            if listen_failure(&error.source) == ListenFailure::AddressInUse {
                sharing.begin_if_due();
            }
            if self.patience.is_some_and(|patience| log.waited() >= patience) {
                return Err(error);
            }
            tokio::select! {
                () = tokio::time::sleep(pause()) => {}
                Some(listener) = sharing.outcome() => return self.listens(listener, &log),
            }
            if self.ready.is_closed() {
                return Ok(());
            }
            // There is no await between this and the hand-over, so that no listener is dropped with connections in its queue.
            match listen(self.address) {
                Ok(listener) => return self.listens(listener, &log),
                Err(failed) if failed.is_transient() => error = failed,
                Err(failed) => return Err(failed),
            }
        }
    }

    fn listens(&self, listener: TcpListener, log: &WaitLog) -> Result<(), ListenError> {
        self.holder_lookup.is_over.set(true);
        self.announcement.hand_over(listener, &self.ready);
        log.done(format_args!("listening on {}", self.address));
        Ok(())
    }

    /// Counts a failure, and logs it if a line is due: with the holder if a lookup may start now.
    fn note_failure(&self, error: &ListenError, log: &mut WaitLog) {
        self.driver.system_errors.count_only(SystemCall::Listen, &error.source);
        debug!(address = %self.address, call = ?error.call, error = %error.source, "not listening yet");
        if !log.count() {
            return;
        }
        let is_in_use = listen_failure(&error.source) == ListenFailure::AddressInUse;
        if !is_in_use || !self.holder_lookup.is_due(Instant::now()) {
            return log.warn(error);
        }
        let line = InUseLine { address: self.address, cause: error.to_string(), attempts: log.line() };
        self.holder_lookup.begin(line);
    }
}

/// Attempts to listen beside a socket that only reserves the address, without blocking other attempts.
struct SharingAttempts {
    address: SocketAddr,
    begun_at: Option<Instant>,
    attempt: Option<Pin<Box<dyn Future<Output = Option<TcpListener>>>>>,
}

impl SharingAttempts {
    fn new(address: SocketAddr) -> SharingAttempts {
        SharingAttempts { address, begun_at: None, attempt: None }
    }

    /// Starts an attempt, unless one is under way or the last one began less than [`SHARING_INTERVAL`] ago.
    fn begin_if_due(&mut self) {
        let is_due = self.begun_at.is_none_or(|at| at.elapsed() >= SHARING_INTERVAL);
        if self.attempt.is_none() && is_due {
            self.begun_at = Some(Instant::now());
            self.attempt = Some(Box::pin(listen_where_reserved(self.address)));
        }
    }

    /// Returns the outcome of the attempt that is under way; pending if there is none. Cancel-safe: if dropped midway, the
    /// attempt continues at the next call.
    async fn outcome(&mut self) -> Option<TcpListener> {
        let Some(attempt) = &mut self.attempt else { return std::future::pending().await };
        let listener = attempt.await;
        self.attempt = None;
        listener
    }
}

/// Returns the pause before the next attempt.
fn pause() -> Duration {
    let drawn = std::hash::RandomState::new().build_hasher().finish();
    Duration::from_millis(MIN_PAUSE_MS + drawn % MIN_PAUSE_MS)
}

/// Listens on an address that others have only reserved, that is, bound with `SO_REUSEPORT` without listening. Never shares an
/// address with another listener, which would get a part of the connections: after binding, a probe connection must be refused.
/// Only one process of this program at a time does so; it holds the UDP port of the same number as a lock. The kernel's socket
/// table would show the same, but takes seconds to read if there are tens of thousands of connections.
async fn listen_where_reserved(address: SocketAddr) -> Option<TcpListener> {
    let _lock = std::net::UdpSocket::bind(address).ok()?;
    let bound = BoundSocket::bind_reserved(address).ok()?;
    if !is_refused(address).await {
        return None;
    }
    bound.listen().ok()
}

/// Returns whether a connection to the address is refused, which shows that nobody listens there.
async fn is_refused(address: SocketAddr) -> bool {
    let probe = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(probe, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Returns the holders of an address, with the processes that have the sockets open; `None` if they cannot be determined. Reads
/// on a separate thread.
async fn holders_of(address: SocketAddr) -> Option<SocketHolders> {
    let (result_tx, mut result_rx) = thread_channel().ok()?;
    let read = move || {
        let mut holders = SocketHolders::at_address(address).ok();
        if let Some(holders) = &mut holders {
            holders.find_processes();
        }
        result_tx.send(holders);
    };
    std::thread::Builder::new().name("sockets".into()).spawn(read).ok()?;
    result_rx.recv().await.flatten()
}

#[cfg(test)]
mod tests;
