//! Backends that serve by a model of their cores, all on one thread and one more that keeps time, with faults on command and a record of every
//! request. An answer comes some 0.1 ms later than the model says; the model does not drift by it.

mod backend;
mod connection;
mod shell;
mod spec;

pub use spec::{BackendSpec, FleetSpec, Service};

use crate::{BackendInfo, Clock, Entry, Fault, Ledger, WAIT_LIMIT};
use shaletide_types::Time;
use shell::{Command, Order};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{mpsc, Arc, Condvar, Mutex, PoisonError};
use tokio::sync::mpsc::UnboundedSender;

/// What a backend has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendStats {
    /// Connections that came up.
    pub connections: u64,
    /// Connections that are up.
    pub open: u64,
    /// Whole requests, without calls under `/-/`.
    pub requests: u64,
    /// Requests that are over in any way.
    pub ended: u64,
}

#[derive(Default)]
struct Book {
    ledger: Ledger,
    stats: Vec<BackendStats>,
}

/// What the fleet's thread writes and others read.
struct Shared {
    book: Mutex<Book>,
    written: Condvar,
}

impl Shared {
    fn write<T>(&self, change: impl FnOnce(&mut Book) -> T) -> T {
        let result = change(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner));
        self.written.notify_all();
        result
    }
}

/// An address that is the backend's own whether it listens or not: a second socket holds it.
struct Door {
    _hold: socket2::Socket,
    address: SocketAddr,
}

impl Door {
    fn new() -> io::Result<Door> {
        let hold = socket()?;
        hold.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = hold.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Door { _hold: hold, address })
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

/// A backend of a running fleet, told from outside. Once the fleet is dropped nothing happens any more.
#[derive(Clone)]
pub struct BackendHandle {
    /// What it was made as.
    pub spec: BackendSpec,
    /// Where it listens, through all its deaths.
    pub address: SocketAddr,
    place: usize,
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
    /// Changes its behaviour. It holds for what comes after this returns. The moment of the change.
    pub fn set_fault(&self, fault: Fault) -> Time {
        self.order(Order::Set(fault))
    }

    /// Tells it to drain: after its grace it turns new requests away. What it has goes on. The moment.
    pub fn drain(&self) -> Time {
        self.order(Order::Drain)
    }

    /// Ends it: open connections are reset and new ones are refused. The moment.
    pub fn kill(&self) -> Time {
        self.order(Order::Kill)
    }

    /// Starts it anew at the same address, cold and well; kills it first if it lives. The moment.
    pub fn restart(&self) -> Time {
        self.order(Order::Kill);
        self.order(Order::Revive)
    }

    /// Its line for discovery, serving, with the last of its starts.
    pub fn entry(&self) -> Entry {
        let boot = self.shared.write(|book| book.ledger.backends[self.place].boots.last().copied());
        let since = boot.and_then(|boot| boot.at).map_or(0, |at| self.clock.unix_ms(at));
        let spec = &self.spec;
        Entry {
            since_ms: since,
            ..Entry::new(&spec.name, self.address, &spec.zone, &spec.kind, spec.deduplication_group)
        }
    }

    /// What it has counted.
    pub fn stats(&self) -> BackendStats {
        self.order(Order::Sync);
        self.shared.write(|book| book.stats[self.place])
    }

    /// Waits until what it has counted is as wanted, and no longer than [`WAIT_LIMIT`]. Whether it is.
    pub fn wait_for_stats(&self, wanted: impl Fn(&BackendStats) -> bool) -> bool {
        let book = self.shared.book.lock().unwrap_or_else(PoisonError::into_inner);
        let not_yet = |book: &mut Book| !wanted(&book.stats[self.place]);
        let waited = self.shared.written.wait_timeout_while(book, WAIT_LIMIT, not_yet);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Blocks until the fleet's thread has done it: some microseconds.
    fn order(&self, order: Order) -> Time {
        let (done, wait) = mpsc::sync_channel(1);
        let sent = self.commands.send(Command { place: self.place, order, done }).is_ok();
        let at = if sent { wait.recv_timeout(WAIT_LIMIT).ok() } else { None };
        at.unwrap_or_else(|| self.clock.now())
    }
}

/// A fleet at work; ends when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    backends: Vec<BackendHandle>,
    clock: Clock,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Fleet {
    /// Starts these backends, where each request is 1 ms of work.
    ///
    /// # Errors
    /// No port, no thread, or no descriptors.
    pub fn start(boxes: Vec<BackendSpec>) -> io::Result<Fleet> {
        Fleet::with(FleetSpec::new(boxes))
    }

    /// Starts a fleet. All backends listen when this returns.
    ///
    /// # Errors
    /// No port, no thread, or no descriptors.
    pub fn with(spec: FleetSpec) -> io::Result<Fleet> {
        let doors = spec.backends.iter().map(|_| Door::new()).collect::<io::Result<Vec<_>>>()?;
        let info = |b: &BackendSpec| BackendInfo {
            name: b.name.clone(),
            deduplication_group: b.deduplication_group,
            cpu_capacity: b.cpu_capacity,
            boots: Vec::new(),
        };
        let mut ledger = Ledger::new(spec.max_records);
        ledger.backends = spec.backends.iter().map(info).collect();
        let stats = vec![BackendStats::default(); spec.backends.len()];
        let shared = Arc::new(Shared { book: Mutex::new(Book { ledger, stats }), written: Condvar::new() });
        let (commands, orders) = tokio::sync::mpsc::unbounded_channel();
        let clock = spec.clock;
        let handle = |(place, door): (usize, &Door)| BackendHandle {
            spec: spec.backends[place].clone(),
            address: door.address,
            place,
            clock,
            commands: commands.clone(),
            shared: shared.clone(),
        };
        let boxes = doors.iter().enumerate().map(handle).collect();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let (ready, listening) = mpsc::sync_channel(1);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let work = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    _ = stopped => {}
                    () = shell::run(spec, doors, shared, orders, ready) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(work)?;
        let fleet = Fleet { backends: boxes, clock, stop: Some(stop), thread: Some(thread) };
        listening.recv_timeout(WAIT_LIMIT).unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        Ok(fleet)
    }

    /// The backends, in the order in which they were given.
    pub fn backends(&self) -> &[BackendHandle] {
        &self.backends
    }

    /// The run's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A copy of all that is written down so far. Costs as much as there is, and holds the fleet up meanwhile:
    /// take it at the end.
    pub fn ledger(&self) -> Ledger {
        let Some(first) = self.backends.first() else { return Ledger::default() };
        first.order(Order::Sync);
        first.shared.write(|book| book.ledger.clone())
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
