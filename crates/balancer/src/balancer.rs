//! The balancer of one pool: it takes events and gives actions. Its interface is `crates/balancer/src/interface.rs`.
//!
//! In ordinary operation [`weights`] turn the arrival rate and the learned speeds into a part of the
//! traffic for each server type (HALB) and each backend, and an attempt goes to a server type and a backend of it at
//! random by these weights. Everything else is for faults and overload. Each such rule stands in a module of the crate
//! with a type that owns its state (outliers, slow start, admission control, retries and so on); the modules below this
//! one call them:
//!
//! | Module | What it does |
//! |---|---|
//! | `endpoints` | takes in endpoint lists and backends that move between pools |
//! | `requests` | accepts requests and ends them |
//! | `dispatch` | decides for each queued request: send, wait, fail over or give up |
//! | `outcomes` | learns from the end of an attempt |
//! | `timers` | polls discovery, finds lost attempts, expires and hedges requests |
//! | `weights` | recomputes the backends' parts of the traffic |

mod dispatch;
mod endpoints;
mod outcomes;
mod requests;
mod timers;
mod weights;

pub use endpoints::MigratedBackend;

use crate::admission::{sees_too_little_alone, AdmissionControl};
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

/// Window of the arrival rate, s: short compared with a slow start or a failure.
const RATE_WINDOW_S: f64 = 2.0;
/// Longest window of what this proxy has in flight, s. Attempts that hung while a zone was unreachable are forgotten as
/// soon as others come back.
const IN_FLIGHT_WINDOW_S: f64 = 5.0;
/// Shortest time between two log lines.
const LOG_INTERVAL: Micros = Micros(500_000);

/// The decisions of one pool. Give it every event in order; it answers with actions.
#[derive(Clone, Debug)]
pub struct Balancer {
    config: Config,
    rng: Rng,

    backends: BTreeMap<BackendId, BackendStats>,
    /// The backends by stable hash, an order that all proxies share.
    hash_order: Vec<BackendId>,
    server_types: BTreeMap<ServerTypeId, ServerTypeStats>,
    availability: Availability,

    requests: BTreeMap<RequestId, RequestState>,
    queue: RequestQueue,
    /// Attempts at this pool's backends, whoever has their requests now.
    in_flight_attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,

    latencies: LatencyModel,
    /// Requests a second that came to this proxy.
    arrival_rate: DecayingRate,
    /// Attempts that this proxy has in flight, on average.
    in_flight_level: DecayingRate,
    /// Seconds that served attempts took, for each second: by Little's law what this proxy has in flight at backends.
    service_time_rate: DecayingRate,
    load_reports: LoadReports,
    zone_reachability: ZoneReachability,
    /// The part of the ready backends that this proxy can reach: the proxies of an unreachable zone reach the others.
    reachable_fraction: f64,
    /// Attempts in flight that are taken for lost in unreachable zones.
    lost_to_unreachable_zones: u32,
    /// The median of the backends' error rates: what is common to all is no fault of any.
    median_error_rate: f64,

    recompute_at: Time,
    timer: Timer,
    discovery_poll: DiscoveryPoll,
    /// The pool was closed: nothing is queued.
    closed: bool,
    next_log_at: Time,
    give_up_counts: GiveUpCounts,
    /// Actions of the event at hand.
    actions: Vec<Action>,
}

/// What an event calls for in addition to its own effect.
enum FollowUp {
    /// Nothing.
    None,
    /// The timers that are due, and another look at the queue.
    Dispatch,
}

impl Balancer {
    /// A balancer that knows nothing yet but its configuration. All random choices follow from `seed`.
    ///
    /// # Errors
    /// The first field of the configuration that is out of its range.
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

    /// Replaces the configuration. Classes and tenants keep their numbers; new ones may follow them.
    ///
    /// # Errors
    /// The field at fault, where one is out of its range or there are fewer classes; nothing is changed then.
    pub fn reconfigure(&mut self, config: Config) -> Result<(), ConfigError> {
        config.validate()?;
        if config.classes.len() < self.config.classes.len() {
            return Err(ConfigError { field: "classes", expected: "no fewer than before" });
        }
        self.latencies.set_classes(&config.classes);
        if config.proxies != self.config.proxies {
            // The size of the fleet was learned relative to the former number.
            self.load_reports = LoadReports::new(config.proxies);
            self.zone_reachability = ZoneReachability::default();
        }
        self.config = config;
        self.recompute_at = Time(0);
        self.timer.set_due(Time(0));
        Ok(())
    }

    /// Whether the pool can take a request at all.
    pub fn health(&self, now: Time) -> PoolHealth {
        self.availability.health(now)
    }

    /// Requests given up since the last call, by reason.
    pub fn take_give_up_counts(&mut self) -> GiveUpCounts {
        std::mem::take(&mut self.give_up_counts)
    }

    /// Takes one event that happened at `now` and adds the actions that it calls for. `shared` is one value for all
    /// pools of the process.
    pub fn handle(&mut self, now: Time, event: Event, shared: &mut SharedLimits, actions: &mut Vec<Action>) {
        if may_free_capacity(&event) {
            self.queue.unblock();
        }
        self.record_in_flight_level(now);
        // Not for an idle proxy: a thousand of them would use up the processor.
        let has_requests = brings_request(&event) || !self.queue.is_empty();
        if has_requests && now >= self.recompute_at {
            self.recompute_weights(now);
        }
        match self.take_event(now, event, shared) {
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

    fn take_event(&mut self, now: Time, event: Event, shared: &mut SharedLimits) -> FollowUp {
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
        if !self.sees_too_little_alone() {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&backend) {
            self.load_reports.record_report(now, backend, report);
        }
    }

    fn on_pool_closed(&mut self) {
        self.closed = true;
        // Where clients' next requests go is not known here: no rejection relies on their being discarded.
        self.config.only_deduplication_domain = None;
    }

    fn sees_too_little_alone(&self) -> bool {
        sees_too_little_alone(self.config.proxies)
    }

    /// Whether a new request is to be rejected because too much is in flight.
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
        admission.is_overloaded(request.priority_level(), request.admission_roll)
    }

    /// Adds a line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.next_log_at {
            self.next_log_at = now + LOG_INTERVAL;
            self.actions.push(Action::Log(text));
        }
    }
}

/// Whether backends may have capacity after the event that they had not before.
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

fn brings_request(event: &Event) -> bool {
    matches!(event, Event::Request(_) | Event::FailedOver(..))
}
