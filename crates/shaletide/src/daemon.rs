//! The daemon: start-up and shutdown in their order, signals, and a new configuration put in the old one's place.

use crate::commands;
use crate::descriptors::{self, Descriptors};
use crate::reload::{Again, Reader};
use crate::setup::{RecordSetup, Setup};
use shaletide_balancer::{ConfigError, ListUpdate, PoolId};
use shaletide_base::causes;
use shaletide_control::{Control, ControlError};
use shaletide_http::{listen, Rules, Server};
use shaletide_keeper::{Record, Run, StoreError};
use shaletide_net::{retry_shortage, span, Clock, Host};
use shaletide_watch::{Place, Terms};
use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tracing::info;

/// SIGKILL may come so long after the longest deadline, counted from SIGTERM, less what a loaded core takes for the last
/// steps: the store has until then for its last writes, and requests until 0.1 s before.
const ENDED: Duration = Duration::from_millis(600);
/// And so long at the least.
const LAST_WRITES: Duration = Duration::from_millis(100);
const REPORT_EVERY: Duration = Duration::from_secs(5);
/// A start waits so long at most for memory, files or buffers that the system, or this process, lacks.
pub const START_PATIENCE: Duration = Duration::from_secs(8);

/// Why the daemon does not start.
#[derive(Debug)]
#[non_exhaustive]
pub enum StartError {
    Signals(std::io::Error),
    Listen(SocketAddr, std::io::Error),
    Store(std::path::PathBuf, Box<StoreError>),
    Control(ControlError),
    Config(ConfigError),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Signals(e) => write!(f, "no signals: {e}"),
            StartError::Listen(at, e) => write!(f, "cannot listen on {at}: {e}"),
            StartError::Config(e) => write!(f, "configuration: {e}"),
            StartError::Control(e) => write!(f, "control socket: {e}"),
            StartError::Store(path, e) => {
                write!(f, "store of record {}: {}", path.display(), causes(&**e))
            }
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Signals(e) | StartError::Listen(_, e) => Some(e),
            StartError::Config(e) => Some(e),
            StartError::Store(_, e) => Some(e),
            StartError::Control(e) => Some(e),
        }
    }
}

/// The hang-ups, heeded from before the configuration is read: until its handler stands, one ends the program, and one
/// that comes during the reading asks for what the reading may have missed.
///
/// # Errors
/// What the kernel says.
pub fn hangups() -> Result<Signal, StartError> {
    retry_shortage(START_PATIENCE, || signal(SignalKind::hangup())).map_err(StartError::Signals)
}

/// A wait for the first of the signals to stop, heeded from now on: before, one ends the program at once.
///
/// # Errors
/// What the kernel says.
pub fn stops() -> Result<impl Future<Output = ()>, StartError> {
    let on = |kind| retry_shortage(START_PATIENCE, || signal(kind)).map_err(StartError::Signals);
    // A log, or a store of record, that reaches a limit on its file's size is no reason to end: with any handler at all
    // the write fails instead. The handler outlives this.
    drop(on(SignalKind::from_raw(libc::SIGXFSZ))?);
    let (mut terminate, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("stopping");
    })
}

/// Follows one pool's list for as long as it is kept.
struct Follower {
    moved: watch::Sender<Place>,
    terms: Terms,
    task: AbortHandle,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The parts at work.
pub struct Daemon {
    setup: Arc<Setup>,
    seed: u64,
    descriptors: Descriptors,
    record: Option<Rc<Record>>,
    host: Rc<Host>,
    server: Rc<Server>,
    listeners: Vec<tokio::net::TcpListener>,
    followers: HashMap<PoolId, Follower>,
}

impl Daemon {
    /// Sets all up and listens; nothing is served before [`Daemon::run`]. Within a `LocalSet`. `self_check`: with the
    /// rules' monitors at work. What an agent has counts since `begun`, the program's first moment.
    ///
    /// # Errors
    /// An address that cannot be listened on, or a configuration that the decision module refuses.
    pub fn start(setup: Setup, self_check: bool, begun: Instant) -> Result<Daemon, StartError> {
        let operator = &setup.operator;
        let seed =
            operator.proxy.seed.unwrap_or_else(|| std::hash::RandomState::new().build_hasher().finish());
        let descriptors = Descriptors::new(descriptors::limit(operator.limits.descriptors), &setup);
        let network = setup.network(descriptors.upstreams);
        let host = Host::new(Clock::new(), network);
        if self_check {
            host.self_check(operator.limits.drain_grace);
        }
        // What was in flight when the program ended is known before anything is asked.
        let record = match &setup.record {
            Some(record) => Some(open_record(record, &host, &operator.proxy.name)?),
            None => None,
        };
        let first = Some((&setup.zones[..], &setup.kinds[..]));
        let pools = setup.pools();
        let ids =
            host.setup(first, &operator.proxy.zone, seed, network, pools).map_err(StartError::Config)?;
        // The list from before the restart is in place before anything is served.
        if let (Some(pool), false) = (ids.first(), setup.known.endpoints.is_empty()) {
            shaletide_watch::tell(&host, *pool, ListUpdate::Cached, &setup.known);
        }
        let mut listeners = Vec::new();
        for at in &operator.listeners {
            let listener = retry_shortage(START_PATIENCE, || listen(*at));
            listeners.push(listener.map_err(|e| StartError::Listen(*at, e))?);
        }
        if let Some(socket) = &operator.control {
            let control = Control::bind(socket).map_err(StartError::Control)?;
            let record = record.clone();
            let handler = move |command| commands::handle(record.clone(), command);
            tokio::task::spawn_local(control.serve(handler));
        }
        let rules = Rules::new(setup.rules(&ids));
        let server = Server::new(host.clone(), rules, descriptors.clients, seed);
        tokio::task::spawn_local(host.clone().timers());
        tokio::task::spawn_local(host.clone().sweep());
        let followers = HashMap::new();
        let setup = Arc::new(setup);
        let mut daemon = Daemon { setup, seed, descriptors, record, host, server, listeners, followers };
        daemon.follow(&ids, begun);
        Ok(daemon)
    }

    /// Where it listens.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().filter_map(|l| l.local_addr().ok()).collect()
    }

    /// Says where it listens and what it knows.
    pub fn announce(&self) {
        let name = &self.setup.operator.proxy.name;
        for at in self.addresses() {
            let known = self.setup.known.endpoints.len();
            info!("{name} listens on {at}, {known} backends known, pools {}", self.setup.pool_names());
        }
    }

    /// Serves until told to stop, then answers what it has taken and returns. At each hang-up the configuration is
    /// read `again`. Returns how often rules were broken, and the first cases, where there was a self-check.
    pub async fn run(
        mut self, again: Again, mut hangup: Option<Signal>, stop: impl Future<Output = ()>,
    ) -> (u64, Vec<String>) {
        let listeners = std::mem::take(&mut self.listeners);
        let (host, server, record) = (self.host.clone(), self.server.clone(), self.record.clone());
        let reporter = tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(REPORT_EVERY).await;
                host.report(&server.report());
                record.iter().filter_map(|record| record.keeper()).for_each(|keeper| keeper.report());
            }
        });
        let stopping = Cell::new(None);
        let stop = async {
            stop.await;
            stopping.set(Some(Instant::now()));
        };
        let served = self.server.clone().run(listeners, stop);
        tokio::pin!(served);
        let mut reader = Reader::new(again);
        loop {
            tokio::select! {
                () = &mut served => break,
                () = told(&mut hangup) => reader.hangup(&self.setup),
                read = reader.next(&self.setup) => {
                    let done = read.came.and_then(|next| self.reload(next, read.asked));
                    reader.over(read.number, read.asked, done);
                }
            }
        }
        reporter.abort();
        if let Some(keeper) = self.record.as_ref().and_then(|record| record.keeper()) {
            let now = Instant::now();
            let end = stopping.get().unwrap_or(now) + self.longest_stop() + ENDED;
            let end = end.max(now + LAST_WRITES); // where earlier rules gave requests more time
            keeper.settled_by(end).await; // what it says is said by the other
            keeper.stop(end);
        }
        self.host.broken()
    }

    /// Whoever ends the program waits for so long at the least, and a moment.
    fn longest_stop(&self) -> Duration {
        let longest =
            self.setup.operator.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        span(longest.min(self.setup.longest_stop.unwrap_or(longest)))
    }

    /// Takes the configuration, asked for at that time, whole or leaves all as it is and says why.
    fn reload(&mut self, next: Setup, asked: Instant) -> Result<(), String> {
        let next = self.setup.follow(next).map_err(|changes| {
            format!("nothing changes, as this needs a restart:\n  {}", changes.join("\n  "))
        })?;
        let zone = &next.operator.proxy.zone;
        let descriptors = self.descriptors.reconfigured(&next);
        let network = next.network(descriptors.upstreams);
        let ids = self.host.setup(None, zone, self.seed, network, next.pools());
        let ids = ids.map_err(|e| format!("{e}"))?; // the reader has checked all of it before
        self.server.reload(Rules::new(next.rules(&ids)));
        if let (Some(record), Some(next)) = (&self.record, &next.record) {
            record.configure(next.config.clone(), next.digest.clone());
        }
        (self.setup, self.descriptors) = (Arc::new(next), descriptors);
        self.follow(&ids, asked);
        let routes = self.setup.operator.routes.len();
        info!("SIGHUP: taken, pools {}, {routes} routes", self.setup.pool_names());
        Ok(())
    }

    /// Follows the lists of those pools that are told by a discovery, and of no other. What is new of them is so since
    /// that time.
    fn follow(&mut self, ids: &[PoolId], since: Instant) {
        let grace = Duration::from_micros(self.setup.operator.limits.drain_grace.0);
        let position = self.setup.operator.proxy.position;
        let strict = |pool| self.setup.strict && ids.first() == Some(&pool);
        let wanted: HashMap<PoolId, (SocketAddr, Terms)> = self
            .setup
            .discoveries()
            .into_iter()
            .filter_map(|(at, address, mode)| {
                let pool = *ids.get(at)?;
                Some((pool, (address, Terms { mode, position, grace, strict: strict(pool) })))
            })
            .collect();
        self.followers.retain(|pool, f| wanted.get(pool).is_some_and(|(_, terms)| *terms == f.terms));
        for (pool, (address, terms)) in wanted {
            match self.followers.get(&pool) {
                Some(follower) => {
                    let to = Place { address, since };
                    let moved = |old: &mut Place| {
                        let moves = old.address != address;
                        *old = if moves { to } else { *old };
                        moves
                    };
                    if follower.moved.send_if_modified(moved) {
                        info!("pool {}: discovery is now at {address}", pool.0);
                    }
                }
                None => {
                    let (moved, moves) = watch::channel(Place { address, since });
                    // An index means something only to the discovery that the list at the start came from.
                    let first = ids.first() == Some(&pool) && !self.setup.known.endpoints.is_empty();
                    let known = first.then_some(self.setup.known.index);
                    let watch = shaletide_watch::watch(self.host.clone(), pool, moves, known, terms);
                    let task = tokio::task::spawn_local(watch).abort_handle();
                    self.followers.insert(pool, Follower { moved, terms, task });
                }
            }
        }
    }
}

/// The record for that host.
fn open_record(record: &RecordSetup, host: &Rc<Host>, proxy: &str) -> Result<Rc<Record>, StartError> {
    let run =
        Run { proxy: proxy.into(), version: env!("CARGO_PKG_VERSION").into(), digest: record.digest.clone() };
    let opened = Record::open(&record.path, record.config.clone(), host, run);
    opened.map_err(|e| StartError::Store(record.path.clone(), Box::new(e)))
}

/// Until the signal comes; for ever where none is heeded.
async fn told(signal: &mut Option<Signal>) {
    if let Some(signal) = signal {
        if signal.recv().await.is_some() {
            return;
        }
    }
    std::future::pending().await
}
