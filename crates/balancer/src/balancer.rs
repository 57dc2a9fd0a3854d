//! The balancer of one pool: turns events into actions. Its interface is `crates/balancer/src/interface.rs`.
//!
//! In normal operation, [`weights`] computes a share of the traffic for each server type (HALB) and each backend from
//! the arrival rate and the learned speeds. Each attempt goes to a server type and one of its backends, drawn at random
//! by these weights. Everything else handles faults and overload. Each such rule has a module of the crate with a type
//! that owns its state (outliers, slow start, admission control, retries and so on). The submodules of this one call
//! them:
//!
//! | Module | What it does |
//! |---|---|
//! | `endpoints` | applies updates of the endpoint list, and moves backends between pools |
//! | `requests` | accepts requests and ends them |
//! | `dispatch` | decides whether each queued request is sent, waits, fails over or is given up |
//! | `outcomes` | updates the statistics when an attempt ends |
//! | `timers` | polls discovery, finds lost attempts, expires and hedges requests |
//! | `weights` | recomputes the backends' shares of the traffic |

mod dispatch;
mod endpoints;
mod outcomes;
mod requests;
mod timers;
mod weights;

pub use endpoints::MigratedBackend;

use crate::admission::{is_large_fleet, AdmissionControl};
use crate::availability::Availability;
use crate::backend_stats::BackendStats;
use crate::discovery::DiscoveryPoll;
use crate::give_up::GiveUpCounts;
use crate::interface::*;
use crate::latency::LatencyModel;
use crate::limits::SharedLimits;
use crate::load_reports::LoadReports;
use crate::request::{InFlightAttempt, RequestState};
use crate::request_queue::RequestQueue;
use crate::rng::Rng;
use crate::server_type::ServerTypeStats;
use crate::statistics::DecayingRate;
use crate::timer::Timer;
use crate::zone_reachability::ZoneReachability;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Window over which the arrival rate is averaged, s: short compared with a slow start or a failure.
const RATE_WINDOW_S: f64 = 2.0;
/// Longest window over which this proxy's requests in flight are averaged, s. It is short so that attempts that hung
/// while a zone was unreachable stop counting soon after responses arrive again.
const IN_FLIGHT_WINDOW_S: f64 = 5.0;
/// Minimum time between two log lines.
const LOG_INTERVAL: Micros = Micros(500_000);

/// The balancer of one pool: a state machine that takes every event in order and returns actions.
#[derive(Clone, Debug)]
pub struct Balancer {
    config: Config,
    rng: Rng,

    backends: BTreeMap<BackendId, BackendStats>,
    /// The backends ordered by stable hash, which is the same order at every proxy.
    hash_order: Vec<BackendId>,
    server_types: BTreeMap<ServerTypeId, ServerTypeStats>,
    availability: Availability,

    requests: BTreeMap<RequestId, RequestState>,
    queue: RequestQueue,
    /// Attempts in flight at this pool's backends, also those of requests that failed over to another pool.
    in_flight_attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,

    latencies: LatencyModel,
    /// Requests a second that arrive at this proxy.
    arrival_rate: DecayingRate,
    /// Average number of this proxy's attempts in flight at this pool's backends.
    in_flight_level: DecayingRate,
    /// Sum of the latencies of served attempts, in seconds for each second. By Little's law this is the average number
    /// of this proxy's requests in flight at backends.
    service_time_rate: DecayingRate,
    load_reports: LoadReports,
    zone_reachability: ZoneReachability,
    /// Fraction of the ready backends that this proxy can reach. Proxies in an unreachable zone serve the rest.
    reachable_fraction: f64,
    /// Attempts in flight that are presumed lost in unreachable zones.
    lost_to_unreachable_zones: u32,
    /// Median of the backends' error rates: errors common to all backends are not held against any one of them.
    median_error_rate: f64,

    recompute_at: Time,
    timer: Timer,
    discovery_poll: DiscoveryPoll,
    /// The pool is closed: no request is queued.
    closed: bool,
    next_log_at: Time,
    give_up_counts: GiveUpCounts,
    /// Actions that the current event has produced so far.
    actions: Vec<Action>,
}

/// What has to follow after an event has been applied.
enum FollowUp {
    /// Nothing.
    None,
    /// Run the timers that are due, then dispatch queued requests.
    Dispatch,
}

impl Balancer {
    /// Creates a balancer without backends. `seed` determines all of its random choices.
    ///
    /// # Errors
    /// Returns the first field of the configuration that is out of its range.
    pub fn new(config: Config, seed: u64) -> Result<Balancer, ConfigError> {
        config.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            backends: BTreeMap::new(),
            hash_order: Vec::new(),
            server_types: BTreeMap::new(),
            availability: Availability::default(),
            requests: BTreeMap::new(),
            queue: RequestQueue::default(),
            in_flight_attempts: BTreeMap::new(),
            latencies: LatencyModel::new(&config.classes),
            arrival_rate: DecayingRate::new(RATE_WINDOW_S),
            in_flight_level: DecayingRate::new(IN_FLIGHT_WINDOW_S),
            service_time_rate: DecayingRate::new(IN_FLIGHT_WINDOW_S),
            load_reports: LoadReports::new(config.proxies),
            zone_reachability: ZoneReachability::default(),
            reachable_fraction: 1.0,
            lost_to_unreachable_zones: 0,
            median_error_rate: 0.0,
            recompute_at: Time(0),
            timer: Timer::new(),
            discovery_poll: DiscoveryPoll::new(config.discovery),
            closed: false,
            next_log_at: Time(0),
            give_up_counts: GiveUpCounts::default(),
            actions: Vec::new(),
            config,
        })
    }

    /// Replaces the configuration. Existing classes and tenants keep their indices; new ones may be appended.
    ///
    /// # Errors
    /// Returns the invalid field, where one is out of its range or there are fewer classes than before. Nothing is
    /// changed then.
    pub fn reconfigure(&mut self, config: Config) -> Result<(), ConfigError> {
        config.validate()?;
        if config.classes.len() < self.config.classes.len() {
            return Err(ConfigError { field: "classes", expected: "no fewer than before" });
        }
        self.latencies.set_classes(&config.classes);
        if config.proxies != self.config.proxies {
            // The fleet size was learned relative to the previous number of proxies.
            self.load_reports = LoadReports::new(config.proxies);
            self.zone_reachability = ZoneReachability::default();
        }
        self.config = config;
        self.recompute_at = Time(0);
        self.timer.set_due(Time(0));
        Ok(())
    }

    /// Returns whether the pool can take requests.
    pub fn health(&self, now: Time) -> PoolHealth {
        self.availability.health(now)
    }

    /// Returns how many requests were given up since the last call, by reason.
    pub fn take_give_up_counts(&mut self) -> GiveUpCounts {
        std::mem::take(&mut self.give_up_counts)
    }

    /// Handles one event that happened at `now` and appends the resulting actions to `actions`. All balancers of the
    /// process share one `shared`.
    pub fn handle(&mut self, now: Time, event: Event, shared: &mut SharedLimits, actions: &mut Vec<Action>) {
        if may_free_capacity(&event) {
            self.queue.unblock();
        }
        self.record_in_flight_level(now);
        // An idle proxy does not recompute weights: a thousand idle proxies would saturate the processor.
        let has_requests = carries_request(&event) || !self.queue.is_empty();
        if has_requests && now >= self.recompute_at {
            self.recompute_weights(now);
        }
        match self.apply_event(now, event, shared) {
            FollowUp::None => return,
            FollowUp::Dispatch => {}
        }
        if self.timer.is_due(now) {
            self.run_timers(now, shared);
        }
        self.dispatch_queued(now, shared);
        if !self.queue.is_empty() {
            self.timer.due_by(now + self.config.min_timer_interval);
        }
        self.actions.extend(self.timer.set_if_needed(now, self.config.min_timer_interval));
        actions.append(&mut self.actions);
    }

    fn apply_event(&mut self, now: Time, event: Event, shared: &mut SharedLimits) -> FollowUp {
        match event {
            Event::EndpointsUpdated { update, backends } => self.update_endpoints(now, update, backends),
            Event::Request(arrival) => self.accept(now, arrival, shared),
            Event::FailedOver(id, request) => self.accept_failed_over(now, id, *request),
            Event::StreamStarted { request, attempt } => self.on_stream_started(request, attempt),
            Event::LoadReported(backend, report) => {
                self.record_load_report(now, backend, &report);
                return FollowUp::None;
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end),
            Event::ClientDisconnected { request } => self.remove_request(request),
            Event::PoolClosed => self.on_pool_closed(),
            Event::Timer { token } => {
                if !self.timer.fire(token) {
                    return FollowUp::None;
                }
            }
        }
        FollowUp::Dispatch
    }

    fn record_in_flight_level(&mut self, now: Time) {
        let in_flight = self.in_flight_attempts.len();
        let level = in_flight.saturating_sub(self.lost_to_unreachable_zones as usize);
        self.in_flight_level.record_level(now, level as f64);
    }

    fn record_load_report(&mut self, now: Time, backend: BackendId, report: &LoadReport) {
        if !self.is_large_fleet() {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&backend) {
            self.load_reports.record_report(now, backend, report);
        }
    }

    fn on_pool_closed(&mut self) {
        self.closed = true;
        // The destination of a client's retry is unknown once the pool is closed, so that no rejection may rely on a
        // backend discarding the repeat.
        self.config.only_deduplication_domain = None;
    }

    fn is_large_fleet(&self) -> bool {
        is_large_fleet(self.config.proxies)
    }

    /// Returns whether admission control rejects a new request.
    fn is_overloaded(&self, request: &RequestState) -> bool {
        let own_in_flight = self.in_flight_level.per_second().unwrap_or(0.0);
        let in_flight_per_core_by_latency = if self.config.weights_report_load {
            None
        } else {
            self.latencies.estimated_in_flight_per_core()
        };
        let admission = AdmissionControl {
            proxies: self.config.proxies,
            load_reports: &self.load_reports,
            estimated_in_flight: own_in_flight * self.load_reports.fleet_size() * self.reachable_fraction,
            effective_cores: self.server_types.values().map(|server_type| server_type.effective_cores).sum(),
            in_flight_per_core_by_latency,
        };
        admission.is_overloaded(request.priority_level(), request.admission_random)
    }

    /// Writes a log line, at most one every [`LOG_INTERVAL`].
    fn log(&mut self, now: Time, text: String) {
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            self.actions.push(Action::Log(text));
        }
    }
}

/// Returns whether the event may free capacity at a backend.
fn may_free_capacity(event: &Event) -> bool {
    match event {
        Event::Request(_) | Event::FailedOver(..) | Event::Timer { .. } | Event::LoadReported(..) => false,
        Event::EndpointsUpdated { .. }
        | Event::StreamStarted { .. }
        | Event::AttemptEnded(_)
        | Event::ClientDisconnected { .. }
        | Event::PoolClosed => true,
    }
}

/// Returns whether the event adds a request to the queue.
fn carries_request(event: &Event) -> bool {
    matches!(event, Event::Request(_) | Event::FailedOver(..))
}
