//! The daemon: its parts set up and shut down in their order, and a new configuration put in the old one's place.

use crate::control_socket;
use crate::descriptors::{self, Descriptors};
use crate::listening::{ListenOutcomes, Listening};
use crate::reload::{Again, Reader};
use crate::setup::{RecordSetup, Setup};
use crate::start_error::StartError;
use shaletide_balancer::{EndpointUpdate, PoolId};
use shaletide_discovery::{DiscoveryEndpoint, WatchConfig};
use shaletide_http::{Rules, Server};
use shaletide_net::{span, Clock, Driver};
use shaletide_record_service::{Record, Run};
use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tracing::info;

/// SIGKILL may come so long after the longest deadline, counted from SIGTERM, less what a loaded core takes for the last
/// steps: the store has until then for its last writes, and requests until 0.1 s before.
const ENDED: Duration = Duration::from_millis(600);
/// And so long at the least.
const LAST_WRITES: Duration = Duration::from_millis(100);
const REPORT_EVERY: Duration = Duration::from_secs(5);

/// Follows one pool's list for as long as it is kept.
struct Follower {
    moved: watch::Sender<DiscoveryEndpoint>,
    terms: WatchConfig,
    task: AbortHandle,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What came of a run.
#[derive(Debug)]
pub struct RunReport {
    /// How often rules were broken, where there was a self-check.
    pub broken: u64,
    /// The first cases.
    pub cases: Vec<String>,
    /// Why it ended by itself, where it did.
    pub failure: Option<StartError>,
}

/// The parts at work.
pub struct Daemon {
    setup: Arc<Setup>,
    seed: u64,
    descriptors: Descriptors,
    record: Option<Rc<Record>>,
    driver: Rc<Driver>,
    server: Rc<Server>,
    listening: Listening,
    followers: HashMap<PoolId, Follower>,
}

impl Daemon {
    /// Sets all up and listens, or begins to wait for addresses that are not to be had for now; nothing is served before
    /// [`Daemon::run`]. Within a `LocalSet`. `self_check`: with the rules' monitors at work. What an agent has counts
    /// since `begun`, the program's first moment.
    ///
    /// # Errors
    /// An address that can never be listened on, or a configuration that the decision module refuses.
    pub fn start(setup: Setup, self_check: bool, begun: Instant) -> Result<Daemon, StartError> {
        let operator = &setup.operator;
        let seed =
            operator.proxy.seed.unwrap_or_else(|| std::hash::RandomState::new().build_hasher().finish());
        let descriptors = Descriptors::new(descriptors::limit(operator.limits.descriptors), &setup);
        let network = setup.network(descriptors.upstreams);
        let driver = Driver::new(Clock::new(), network);
        if self_check {
            driver.self_check(operator.limits.drain_grace);
        }
        // What was in flight when the program ended is known before anything is asked.
        let record = match &setup.record {
            Some(record) => Some(open_record(record, &driver, &operator.proxy.name)?),
            None => None,
        };
        let first = Some((&setup.zones[..], &setup.kinds[..]));
        let pools = setup.pools();
        let ids =
            driver.setup(first, &operator.proxy.zone, seed, network, pools).map_err(StartError::Config)?;
        // The list from before the restart is in place before anything is served.
        if let (Some(pool), false) = (ids.first(), setup.known.endpoints.is_empty()) {
            shaletide_discovery::tell(&driver, *pool, EndpointUpdate::Cached, &setup.known);
        }
        let listening = Listening::begin(&setup, &driver)?;
        if let Some(socket) = &operator.control {
            control_socket::begin(socket.clone(), record.clone())?;
        }
        let rules = Rules::new(setup.rules(&ids));
        let server = Server::new(driver.clone(), rules, descriptors.clients, seed);
        tokio::task::spawn_local(driver.clone().run_timers());
        tokio::task::spawn_local(driver.clone().sweep_idle_connections());
        let followers = HashMap::new();
        let setup = Arc::new(setup);
        let mut daemon = Daemon { setup, seed, descriptors, record, driver, server, listening, followers };
        daemon.follow(&ids, begun);
        Ok(daemon)
    }

    /// Serves until told to stop, or until an address could not be had in the time that is allowed; then answers what
    /// it has taken and returns. At each hang-up the configuration is read `again`.
    pub async fn run(
        mut self, again: Again, mut hangup: Option<Signal>, stop: impl Future<Output = ()>,
    ) -> RunReport {
        let ListenOutcomes { listeners, failure } = self.listening.outcomes();
        let (driver, server, record) = (self.driver.clone(), self.server.clone(), self.record.clone());
        let reporter = tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(REPORT_EVERY).await;
                driver.report(&server.report());
                record.iter().filter_map(|record| record.service()).for_each(|keeper| keeper.report());
            }
        });
        let stopping = Cell::new(None);
        let failed = Cell::new(None);
        let stop = async {
            tokio::select! {
                () = stop => {}
                Ok(error) = failure => failed.set(Some(error)),
            }
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
        if let Some(keeper) = self.record.as_ref().and_then(|record| record.service()) {
            let now = Instant::now();
            let end = stopping.get().unwrap_or(now) + self.longest_stop() + ENDED;
            let end = end.max(now + LAST_WRITES); // where earlier rules gave requests more time
            keeper.settled_by(end).await; // what it says is said by the other
            keeper.stop(end);
        }
        let (broken, cases) = self.driver.violations();
        RunReport { broken, cases, failure: failed.take().map(StartError::Listen) }
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
        let ids = self.driver.setup(None, zone, self.seed, network, next.pools());
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
        let wanted: HashMap<PoolId, (SocketAddr, WatchConfig)> = self
            .setup
            .discoveries()
            .into_iter()
            .filter_map(|(at, address, mode)| {
                let pool = *ids.get(at)?;
                Some((pool, (address, WatchConfig { mode, position, grace, strict: strict(pool) })))
            })
            .collect();
        self.followers.retain(|pool, f| wanted.get(pool).is_some_and(|(_, terms)| *terms == f.terms));
        for (pool, (address, terms)) in wanted {
            match self.followers.get(&pool) {
                Some(follower) => {
                    let to = DiscoveryEndpoint { address, since };
                    let moved = |old: &mut DiscoveryEndpoint| {
                        let moves = old.address != address;
                        *old = if moves { to } else { *old };
                        moves
                    };
                    if follower.moved.send_if_modified(moved) {
                        info!("pool {}: discovery is now at {address}", pool.0);
                    }
                }
                None => {
                    let (moved, moves) = watch::channel(DiscoveryEndpoint { address, since });
                    // An index means something only to the discovery that the list at the start came from.
                    let first = ids.first() == Some(&pool) && !self.setup.known.endpoints.is_empty();
                    let known = first.then_some(self.setup.known.index);
                    let watch = shaletide_discovery::watch(self.driver.clone(), pool, moves, known, terms);
                    let task = tokio::task::spawn_local(watch).abort_handle();
                    self.followers.insert(pool, Follower { moved, terms, task });
                }
            }
        }
    }
}

/// The record for that driver.
fn open_record(record: &RecordSetup, driver: &Rc<Driver>, proxy: &str) -> Result<Rc<Record>, StartError> {
    let run =
        Run { proxy: proxy.into(), version: env!("CARGO_PKG_VERSION").into(), digest: record.digest.clone() };
    let opened = Record::open(&record.path, record.config.clone(), driver, run);
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
