//! The daemon: starts and stops its parts in order, and applies new configurations.

use crate::control_socket;
use crate::descriptors::{self, Descriptors};
use crate::listening::{ListenOutcomes, Listening};
use crate::reload::{ReadConfiguration, Reader};
use crate::setup::{RecordSetup, Setup};
use crate::signals::SignalEvents;
use crate::start_error::StartError;
use crate::subscriptions::Subscriptions;
use shaletide_balancer::EndpointUpdate;
use shaletide_http::{Rules, Server};
use shaletide_net::{to_duration, Clock, Driver};
use shaletide_record_service::{Record, Run};
use std::cell::Cell;
use std::future::Future;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;
use tracing::info;

/// How long after SIGTERM plus the longest deadline the store may still write. The server returns by 0.5 s (`STOP_MARGIN`), and
/// the platform sends SIGKILL after 0.7 s at the earliest; 0.1 s is kept for a loaded machine.
const STORE_STOP_GRACE: Duration = Duration::from_millis(600);
/// The least time that the store has for its last writes.
const MIN_STORE_STOP: Duration = Duration::from_millis(100);
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The result of a run.
#[derive(Debug)]
pub struct RunReport {
    /// The number of violations that the monitors found; 0 without the self-check.
    pub violations: u64,
    /// The descriptions of the first violations.
    pub first_violations: Vec<String>,
    /// The error that ended the run, if there was one.
    pub failure: Option<StartError>,
}

/// The running parts.
pub struct Daemon {
    setup: Arc<Setup>,
    seed: u64,
    descriptors: Descriptors,
    record: Option<Rc<Record>>,
    driver: Rc<Driver>,
    server: Rc<Server>,
    listening: Listening,
    subscriptions: Subscriptions,
}

impl Daemon {
    /// Starts all parts and listens, or starts waiting for addresses that cannot be listened on yet. Nothing is served before
    /// [`Daemon::run`]. Waits only for the store of record and the control socket, before it listens on any address; if it is
    /// dropped meanwhile, nothing is served. `self_check` enables the monitors. The discovery's list counts as known since
    /// `begun`, the program's start. To be called within a `LocalSet`.
    ///
    /// # Errors
    /// An address that can never be listened on, a store that cannot be opened, a control socket that can never be bound,
    /// or a configuration that the balancer rejects.
    pub async fn start(setup: Setup, self_check: bool, begun: Instant) -> Result<Daemon, StartError> {
        let operator = &setup.operator;
        let seed =
            operator.proxy.seed.unwrap_or_else(|| std::hash::RandomState::new().build_hasher().finish());
        let descriptors = Descriptors::new(descriptors::limit(operator.limits.descriptors), &setup);
        let upstream = setup.upstream_config(descriptors.upstreams);
        let driver = Driver::new(Clock::new(), upstream);
        if self_check {
            driver.enable_self_check(operator.limits.drain_grace);
        }
        // Requests that were in flight when the last process ended must be known before anything is sent.
        let record = match &setup.record {
            Some(record) => Some(open_record(record, &driver, &operator.proxy.name).await?),
            None => None,
        };
        let first = Some((&setup.zones[..], &setup.server_types[..]));
        let pools = setup.pools();
        let ids =
            driver.setup(first, &operator.proxy.zone, seed, upstream, pools).map_err(StartError::Config)?;
        // The list from before the restart must be applied before anything is served.
        if let (Some(pool), false) = (ids.first(), setup.cached_list.endpoints.is_empty()) {
            shaletide_discovery::apply_list(&driver, *pool, EndpointUpdate::Cached, &setup.cached_list);
        }
        if let Some(socket) = &operator.control {
            control_socket::begin(socket.clone(), record.clone()).await?;
        }
        let listening = Listening::begin(&setup, &driver)?;
        let rules = Rules::new(setup.rules(&ids));
        let server = Server::new(driver.clone(), rules, descriptors.clients, seed);
        tokio::task::spawn_local(driver.clone().run_timers());
        tokio::task::spawn_local(driver.clone().sweep_idle_connections());
        let mut subscriptions = Subscriptions::new(driver.clone());
        subscriptions.update(&setup, &ids, begun);
        let setup = Arc::new(setup);
        Ok(Daemon { setup, seed, descriptors, record, driver, server, listening, subscriptions })
    }

    /// Waits until all addresses are listened on. To be awaited by one task.
    pub fn all_listening(&self) -> impl Future<Output = ()> + 'static {
        self.listening.all_listening()
    }

    /// Serves until `stop` is ready, or until an address could not be listened on within its patience. Then answers the accepted
    /// requests and returns. Reads the configuration again at each SIGHUP.
    pub async fn run(
        mut self, read: ReadConfiguration, signals: &SignalEvents, stop: impl Future<Output = ()>,
    ) -> RunReport {
        let ListenOutcomes { listeners, failure } = self.listening.outcomes();
        let reporter = self.spawn_reporter();
        let stop_duration = Cell::new(self.stop_duration());
        let store_end = Cell::new(None);
        let listen_error = Cell::new(None);
        let stop = async {
            tokio::select! {
                () = stop => {}
                Ok(error) = failure => listen_error.set(Some(error)),
            }
            // Fixed from now on: a SIGHUP during the stop is applied, but does not change the end.
            store_end.set(Some(Instant::now() + stop_duration.get() + STORE_STOP_GRACE));
        };
        let served = self.server.clone().run(listeners, stop);
        tokio::pin!(served);
        let mut reader = Reader::new(read);
        loop {
            tokio::select! {
                () = &mut served => break,
                () = signals.hangup() => reader.hangup(&self.setup),
                reading = reader.next(&self.setup) => {
                    let requested_at = reading.requested_at;
                    let applied = reading.result.and_then(|next| self.reload(next, requested_at));
                    stop_duration.set(self.stop_duration());
                    reader.finish(reading.number, requested_at, applied);
                }
            }
        }
        reporter.abort();
        self.stop_record(store_end.get()).await;
        let (violations, first_violations) = self.driver.violations();
        let failure = listen_error.take().map(StartError::Listen);
        RunReport { violations, first_violations, failure }
    }

    /// Logs the counters at intervals.
    fn spawn_reporter(&self) -> AbortHandle {
        let driver = self.driver.clone();
        let server = self.server.clone();
        let record = self.record.clone();
        let report = async move {
            tokio::time::sleep(REPORT_INTERVAL).await;
            server.log_if_unprobed();
            loop {
                driver.report(&server.take_report());
                if let Some(service) = record.as_ref().and_then(|record| record.service()) {
                    service.log_status();
                }
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        };
        tokio::task::spawn_local(report).abort_handle()
    }

    /// Lets the store write its pending rows until `end`, and for at least [`MIN_STORE_STOP`].
    async fn stop_record(&self, end: Option<Instant>) {
        let Some(service) = self.record.as_ref().and_then(|record| record.service()) else { return };
        let least_end = Instant::now() + MIN_STORE_STOP;
        let end = end.map_or(least_end, |end| end.max(least_end)); // an earlier configuration may have had longer deadlines
        service.flush_until(end).await; // the service logs what it could not write by then
        service.stop(end);
    }

    /// Returns how long requests may take to end after SIGTERM.
    fn stop_duration(&self) -> Duration {
        let deadlines = self.setup.operator.classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or_default();
        to_duration(longest.min(self.setup.max_stop_duration.unwrap_or(longest)))
    }

    /// Applies the configuration that was requested at `requested_at`, as a whole.
    ///
    /// # Errors
    /// Why nothing was changed.
    fn reload(&mut self, next: Setup, requested_at: Instant) -> Result<(), String> {
        let next = self.setup.prepare_reload(next).map_err(|changes| {
            format!("nothing changes, as this needs a restart:\n  {}", changes.join("\n  "))
        })?;
        let zone = &next.operator.proxy.zone;
        let descriptors = self.descriptors.reconfigured(&next);
        let upstream = next.upstream_config(descriptors.upstreams);
        let ids = self.driver.setup(None, zone, self.seed, upstream, next.pools());
        let ids = ids.map_err(|error| error.to_string())?; // does not fail: the reader has validated it
        self.server.replace_rules(Rules::new(next.rules(&ids)));
        if let (Some(record), Some(next)) = (&self.record, &next.record) {
            record.configure(next.config.clone(), next.digest.clone());
        }
        self.subscriptions.update(&next, &ids, requested_at);
        info!("SIGHUP: taken, pools {}, {} routes", next.pool_names(), next.operator.routes.len());
        self.setup = Arc::new(next);
        self.descriptors = descriptors;
        Ok(())
    }
}

/// Opens the store of record for the driver.
async fn open_record(
    record: &RecordSetup, driver: &Rc<Driver>, proxy: &str,
) -> Result<Rc<Record>, StartError> {
    let run =
        Run { proxy: proxy.into(), version: env!("CARGO_PKG_VERSION").into(), digest: record.digest.clone() };
    let opened = Record::open(&record.path, record.config.clone(), driver, run).await;
    opened.map_err(|error| StartError::Store(record.path.clone(), Box::new(error)))
}
