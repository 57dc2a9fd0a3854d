//! Backends that serve requests by a model of their cores, with faults on command and a record of every request. All of
//! them run on one thread, with a second one as timer. An answer is sent about 0.1 ms later than in the model; the delay does
//! not add up.

mod backend;
mod connection;
mod server;
mod spec;

pub use spec::{BackendSpec, FleetSpec, Service};

use crate::{BackendInfo, Clock, Entry, Fault, Ledger, WAIT_LIMIT};
use server::{Action, Command};
use shaletide_types::Time;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{mpsc, Arc, Condvar, Mutex, PoisonError};
use tokio::sync::mpsc::UnboundedSender;

/// Counters of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendStats {
    /// Connections accepted so far.
    pub connections: u64,
    /// Open connections.
    pub open: u64,
    /// Complete requests, without calls under `/-/`.
    pub requests: u64,
    /// Requests that have ended in any way.
    pub ended: u64,
}

#[derive(Default)]
struct Records {
    ledger: Ledger,
    stats: Vec<BackendStats>,
}

/// State that the fleet's thread writes and other threads read.
struct Shared {
    records: Mutex<Records>,
    changed: Condvar,
}

impl Shared {
    fn update<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        let result = change(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_all();
        result
    }
}

/// An address that stays reserved for a backend while it does not listen: a second socket is bound to it.
struct ReservedAddress {
    _reservation: socket2::Socket,
    address: SocketAddr,
}

impl ReservedAddress {
    fn new() -> io::Result<ReservedAddress> {
        let reservation = socket()?;
        reservation.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress { _reservation: reservation, address })
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = socket()?;
        socket.bind(&self.address.into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }
}

fn socket() -> io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    Ok(socket)
}

/// A handle of a backend in a running fleet. Its commands have no effect once the fleet is dropped.
#[derive(Clone)]
pub struct BackendHandle {
    /// The specification of the backend.
    pub spec: BackendSpec,
    /// The address of its listener, which survives restarts.
    pub address: SocketAddr,
    index: usize,
    clock: Clock,
    commands: UnboundedSender<Command>,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for BackendHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} at {}", self.spec.name, self.address)
    }
}

impl BackendHandle {
    /// Sets a fault, which applies to all that the backend receives after this returns. Returns the time of the change.
    pub fn set_fault(&self, fault: Fault) -> Time {
        self.execute(Action::Set(fault))
    }

    /// Makes the backend drain: it rejects new requests after its grace and finishes the others. Returns the time.
    pub fn drain(&self) -> Time {
        self.execute(Action::Drain)
    }

    /// Kills the backend: open connections are reset and new ones are refused. Returns the time.
    pub fn kill(&self) -> Time {
        self.execute(Action::Kill)
    }

    /// Restarts the backend at the same address, cold and without faults, and kills it first if it is alive. Returns the
    /// time of the start.
    pub fn restart(&self) -> Time {
        self.execute(Action::Kill);
        self.execute(Action::Restart)
    }

    /// Returns its serving entry for discovery, with the time of its last start.
    pub fn entry(&self) -> Entry {
        let boot = self.shared.update(|records| records.ledger.backends[self.index].boots.last().copied());
        let since = boot.and_then(|boot| boot.at).map_or(0, |at| self.clock.unix_ms(at));
        let spec = &self.spec;
        Entry {
            since_ms: since,
            ..Entry::new(&spec.name, self.address, &spec.zone, &spec.kind, spec.deduplication_group)
        }
    }

    /// Returns its counters.
    pub fn stats(&self) -> BackendStats {
        self.execute(Action::Sync);
        self.shared.update(|records| records.stats[self.index])
    }

    /// Waits until `wanted` accepts its counters, for [`WAIT_LIMIT`] at most. Returns whether it did.
    pub fn wait_for_stats(&self, wanted: impl Fn(&BackendStats) -> bool) -> bool {
        let records = self.shared.records.lock().unwrap_or_else(PoisonError::into_inner);
        let pending = |records: &mut Records| !wanted(&records.stats[self.index]);
        let waited = self.shared.changed.wait_timeout_while(records, WAIT_LIMIT, pending);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Executes an action on the fleet's thread and blocks until it is done, which takes some microseconds.
    fn execute(&self, action: Action) -> Time {
        let (done, wait) = mpsc::sync_channel(1);
        let sent = self.commands.send(Command { index: self.index, action, done }).is_ok();
        let done_at = if sent { wait.recv_timeout(WAIT_LIMIT).ok() } else { None };
        done_at.unwrap_or_else(|| self.clock.now())
    }
}

/// A running fleet. It ends when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    backends: Vec<BackendHandle>,
    clock: Clock,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Fleet {
    /// Starts these backends, with 1 ms of work per request.
    ///
    /// # Errors
    /// No port, thread or file descriptor was available.
    pub fn start(backends: Vec<BackendSpec>) -> io::Result<Fleet> {
        Fleet::with(FleetSpec::new(backends))
    }

    /// Starts a fleet. All backends listen when this returns.
    ///
    /// # Errors
    /// No port, thread or file descriptor was available.
    pub fn with(spec: FleetSpec) -> io::Result<Fleet> {
        let addresses =
            spec.backends.iter().map(|_| ReservedAddress::new()).collect::<io::Result<Vec<_>>>()?;
        let info = |b: &BackendSpec| BackendInfo {
            name: b.name.clone(),
            deduplication_group: b.deduplication_group,
            cpu_capacity: b.cpu_capacity,
            boots: Vec::new(),
        };
        let mut ledger = Ledger::new(spec.max_records);
        ledger.backends = spec.backends.iter().map(info).collect();
        let stats = vec![BackendStats::default(); spec.backends.len()];
        let shared =
            Arc::new(Shared { records: Mutex::new(Records { ledger, stats }), changed: Condvar::new() });
        let (commands, command_receiver) = tokio::sync::mpsc::unbounded_channel();
        let clock = spec.clock;
        let handle = |(index, reserved): (usize, &ReservedAddress)| BackendHandle {
            spec: spec.backends[index].clone(),
            address: reserved.address,
            index,
            clock,
            commands: commands.clone(),
            shared: shared.clone(),
        };
        let backends = addresses.iter().enumerate().map(handle).collect();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let (ready, listening) = mpsc::sync_channel(1);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serve = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    _ = stopped => {}
                    () = server::run(spec, addresses, shared, command_receiver, ready) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(serve)?;
        let fleet = Fleet { backends, clock, stop: Some(stop), thread: Some(thread) };
        listening.recv_timeout(WAIT_LIMIT).unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        Ok(fleet)
    }

    /// Returns the backends, in the order of their specifications.
    pub fn backends(&self) -> &[BackendHandle] {
        &self.backends
    }

    /// Returns the clock of the run.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns a copy of the ledger. The cost grows with the number of records, and the fleet is blocked meanwhile: call it
    /// at the end of a run.
    pub fn ledger(&self) -> Ledger {
        let Some(first) = self.backends.first() else { return Ledger::default() };
        first.execute(Action::Sync);
        first.shared.update(|records| records.ledger.clone())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
