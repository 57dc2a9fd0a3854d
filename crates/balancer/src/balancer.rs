//! Every decision of the proxy. Its whole interface (events, actions, settings) is
//! `crates/balancer/src/interface.rs`; what it remembers of backends, server types and requests is laid out
//! in `backend_stats.rs`, `server_type.rs` and `request.rs`.
//!
//! Ordinary path: `solve` (shares) turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble, by concern:
//! admission, ejection, retry, slow start. Here are the state, the events and what time alone calls for.

mod admission;
mod ejection;
mod endpoints;
mod retry;
mod selection;
mod slow_start;
mod timers;
mod weights;

use crate::backend_stats::{BackendClassStats, BackendStats};
use crate::give_up::{GiveUpCounts, GiveUpReason};
use crate::halb::halb_shares;
use crate::interface::*;
use crate::latency::{LatencyModel, LATENCY_SAMPLES};
use crate::limits::SharedLimits;
use crate::load_reports::LoadReports;
use crate::request::{Attempt, InFlightAttempt, RequestState};
use crate::rng::Rng;
use crate::server_type::ServerTypeStats;
use crate::statistics::DecayingRate;
use crate::zone_reachability::ZoneReachability;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// The shares are solved this often, s: far faster than the rate's memory.
const RECOMPUTE_INTERVAL_S: f64 = 0.1;
/// ... but not before so many requests have come, and a quota holds as many: fewer are chance alone.
const MIN_RATE_SAMPLES: f64 = 5.0;
/// Where a proxy alone has no room to count, memory of what it holds, s: at most, and in its own requests,
/// where no backend speaks. What hung in a cut is forgotten as soon as others come back.
const IN_FLIGHT_WINDOW_S: f64 = 5.0;
const IN_FLIGHT_WINDOW_REQUESTS: f64 = 150.0;
/// Memory of the arrival rate and of a tenant's quota, s: short beside a ramp or a failure.
const RATE_WINDOW_S: f64 = 2.0;
/// ... and where backends say themselves how long they take: each speaks of many requests.
const REPORTED_LATENCY_SAMPLES: f64 = 30.0;
/// Proxies that share a backend, where there are more: each keeps connections to a slice of the fleet
/// only, as a backend takes few and each costs it. The load of so many still evens out, to a fifth of one's.
const PROXIES_PER_BACKEND: f64 = 20.0;
/// ... and where backends say what they hold: each proxy has one request there, so the number is a bound
/// on what one holds, kept without a word between proxies and below what makes one slow.
const PROXIES_PER_REPORTING_BACKEND: f64 = 6.0;
/// Requests that all proxies together hold on one backend: a shared processor at four fifths of its
/// capacity holds four on average; more only makes every one of them later.
const TARGET_IN_FLIGHT_PER_CORE: f64 = 4.0;
/// ... and this in the mean of all, where they say what they hold: the fullest hold far more than the mean.
const TARGET_MEAN_IN_FLIGHT_PER_CORE: f64 = 2.2;
/// Where they say that they hold little, the own view may be so many times over its limit.
const MAX_OVERLOAD_SLACK: f64 = 4.0;
/// Error share from which a backend is ejected: four errors close together reach it. InvalidResponse answers and
/// broken connections come from all alike, a few in a hundred: two are chance.
const MAX_ERROR_RATE: f64 = 0.3;
/// Weight of the newest outcome in a backend's error share.
const ERROR_RATE_STEP: f64 = 0.1;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
const BASE_EJECTION_S: f64 = 1.0;
/// Good trials before an ejected backend is trusted again.
const PROBES_TO_RECOVER: u32 = 3;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// BackendClassStats of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
const SLOW_START_SAFETY_FACTOR: f64 = 0.8;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
const LOW_PRIORITY: f64 = 0.5;

/// The decisions of one pool. Give it every event in order; it answers with actions.
#[derive(Clone, Debug)]
pub struct Balancer {
    config: Config,
    rng: Rng,
    backends: BTreeMap<BackendId, BackendStats>,
    /// The peers by mark, an order that all proxies share.
    hash_order: Vec<BackendId>,
    server_types: BTreeMap<ServerTypeId, ServerTypeStats>,
    latencies: LatencyModel,
    requests: BTreeMap<RequestId, RequestState>,
    queued: Vec<RequestId>,
    /// First tries worth less than this have found no room since the last event that could make some.
    blocked_below: f64,
    in_flight_attempts: BTreeMap<(RequestId, AttemptNumber), InFlightAttempt>,
    arrival_rate: DecayingRate,
    /// Seconds that this proxy's attempts were out, for each second: its own part of all that is held.
    in_flight_level: DecayingRate,
    /// Seconds that its served requests took, for each second: by Little's law its part of what backends hold.
    service_time_rate: DecayingRate,
    load_reports: LoadReports,
    zone_reachability: ZoneReachability,
    /// The part of the backends in use that it can reach: where a zone is cut off its proxies are too.
    reachable_fraction: f64,
    /// Attempts that are taken for lost where nothing comes back from.
    lost_to_unreachable_zones: u32,
    /// The error share of the middle one of the backends: what is common to all is no fault of any.
    median_error_rate: f64,
    recompute_at: Time,
    /// When time alone may next call for something, and the timer set for that.
    next_timer_at: Time,
    /// Backends in use; with none, when the first of the ejected is due for a trial, if any is ejected.
    eligible: u32,
    next_probe_at: Option<Time>,
    timer: (u64, Time),
    discovery_poll: (Option<Time>, f64),
    /// Nothing is held any more.
    draining: bool,
    next_log_at: Time,
    give_up_counts: GiveUpCounts,
    actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration.
    pub fn new(cfg: Config, seed: u64) -> Result<Balancer, ConfigError> {
        cfg.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            backends: BTreeMap::new(),
            hash_order: Vec::new(),
            server_types: BTreeMap::new(),
            latencies: LatencyModel::new(&cfg.classes),
            requests: BTreeMap::new(),
            queued: Vec::new(),
            blocked_below: 0.0,
            in_flight_attempts: BTreeMap::new(),
            arrival_rate: DecayingRate::new(RATE_WINDOW_S),
            in_flight_level: DecayingRate::new(IN_FLIGHT_WINDOW_S),
            service_time_rate: DecayingRate::new(IN_FLIGHT_WINDOW_S),
            load_reports: LoadReports::new(cfg.proxies),
            zone_reachability: ZoneReachability::default(),
            reachable_fraction: 1.0,
            lost_to_unreachable_zones: 0,
            median_error_rate: 0.0,
            recompute_at: Time(0),
            next_timer_at: Time(0),
            eligible: 0,
            next_probe_at: None,
            timer: (0, Time(u64::MAX)),
            discovery_poll: ((cfg.discovery != DiscoveryMode::Push).then_some(Time(0)), 0.0),
            draining: false,
            next_log_at: Time(0),
            give_up_counts: GiveUpCounts::default(),
            actions: Vec::new(),
            config: cfg,
        })
    }

    /// Requests given up since the last call, by reason.
    pub fn take_give_up_counts(&mut self) -> GiveUpCounts {
        std::mem::take(&mut self.give_up_counts)
    }

    /// Takes one event that happened at `now` and adds the actions it calls for. `shared` is one allowance
    /// of all pools.
    pub fn handle(&mut self, now: Time, event: Event, shared: &mut SharedLimits, actions: &mut Vec<Action>) {
        if !matches!(
            event,
            Event::Request(_) | Event::FailedOver(..) | Event::Timer { .. } | Event::LoadReported(..)
        ) {
            self.blocked_below = 0.0; // those make no room, and trying a long line in vain costs too much CPU
        }
        let out =
            self.in_flight_attempts.len().saturating_sub(self.lost_to_unreachable_zones as usize) as f64;
        self.in_flight_level.record_level(now, out);
        if now >= self.recompute_at
            && (matches!(event, Event::Request(_) | Event::FailedOver(..)) || !self.queued.is_empty())
        {
            self.recompute_weights(now); // never for an idle proxy: a thousand of them would cost all the CPU there is
        }
        match event {
            Event::EndpointsUpdated { update, backends } => self.update_endpoints(now, update, backends),
            Event::Request(arrival) => self.accept(now, arrival, shared),
            Event::FailedOver(id, handover) => self.accept_failed_over(now, id, *handover),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.attempts.get(attempt.0 as usize).is_some_and(|s| s.in_flight);
                }
            }
            Event::LoadReported(backend, report) => {
                let many = self.is_large_fleet();
                if let Some(p) = self.backends.get_mut(&backend).filter(|_| many) {
                    self.load_reports.record_report(now, p, &report);
                }
                return;
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end),
            Event::ClientDisconnected { request } => self.remove_request(request),
            // Where its clients' next requests go is not known here.
            Event::Drain => (self.draining, self.config.only_deduplication_domain) = (true, None),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = Time(u64::MAX),
        }
        if now >= self.next_timer_at {
            self.run_timers(now, shared);
        }
        self.dispatch_queued(now, shared);
        if !self.queued.is_empty() {
            self.next_timer_at = self.next_timer_at.min(now + self.config.min_timer_interval);
        }
        if self.next_timer_at < self.timer.1 {
            self.timer = (self.timer.0 + 1, self.next_timer_at);
            let after = (self.next_timer_at - now).max(self.config.min_timer_interval);
            self.actions.push(Action::SetTimer { token: TimerToken(self.timer.0), after });
        }
        actions.append(&mut self.actions);
    }

    /// So many proxies that one has no room to count at a backend: what the others hold there is to be heard.
    fn is_large_fleet(&self) -> bool {
        f64::from(self.config.proxies) > TARGET_IN_FLIGHT_PER_CORE
    }

    /// Puts another configuration in place. Classes and tenants keep their numbers; new ones may follow them.
    ///
    /// # Errors
    /// The field at fault, where the configuration is unsound or has fewer classes; nothing is changed then.
    pub fn reconfigure(&mut self, cfg: Config) -> Result<(), ConfigError> {
        cfg.validate()?;
        if cfg.classes.len() < self.config.classes.len() {
            return Err(ConfigError { field: "classes", expected: "no fewer than before" });
        }
        self.latencies.set_classes(&cfg.classes);
        if cfg.proxies != self.config.proxies {
            // The part was learned against the other count.
            (self.load_reports, self.zone_reachability) =
                (LoadReports::new(cfg.proxies), ZoneReachability::default());
        }
        self.config = cfg;
        (self.recompute_at, self.next_timer_at) = (Time(0), Time(0));
        Ok(())
    }

    /// Gives up all requests that are held to the modules of other pools, one of which can take them now.
    pub fn release_queued(&mut self) -> Vec<(RequestId, TransferredRequest)> {
        let held = std::mem::take(&mut self.queued).into_iter();
        held.filter_map(|id| Some((id, TransferredRequest { state: self.requests.remove(&id)? }))).collect()
    }

    /// A request that another module gave up, as it stands.
    fn accept_failed_over(&mut self, now: Time, id: RequestId, handover: TransferredRequest) {
        if !self.requests.contains_key(&id) && handover.state.class < self.config.classes.len() {
            self.arrival_rate.record(now, 1.0);
            self.requests.insert(id, handover.state);
            self.queued.push(id);
            self.next_timer_at = now;
        }
    }

    fn accept(&mut self, now: Time, new: Arrival, shared: &mut SharedLimits) {
        let Some(c) = self.config.classes.get(new.class.0) else { return };
        if self.requests.contains_key(&new.request) {
            return;
        }
        self.arrival_rate.record(now, 1.0);
        shared.retry_budget.deposit(now, self.latencies.attempts_are_lost(), self.config.proxies);
        shared.set_tenant_count(self.config.tenants.len());
        let tenant = new.tenant.and_then(|id| Some((id, self.config.tenants.get(id.0)?)));
        let over_quota = tenant.is_some_and(|(id, tenant)| {
            let rate_per_s = tenant.quota_per_s / self.load_reports.fleet_size();
            !shared.take_from_quota(now, id, rate_per_s)
        });
        let aim = c
            .latency_objective
            .0
            .saturating_add(new.work_hint.unwrap_or_default().times(c.latency_objective_per_work_hint).0);
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.is_client_retry { c.late_weight_fraction } else { 1.0 };
        let value = again * if over_quota { self.config.over_quota_weight_fraction } else { 1.0 };
        let (class, came, streaming, sent) = (new.class.0, now, false, Vec::new());
        let elsewhere = new.may_fail_over;
        // Selection only where it may matter: without reports the dice fall as they always did.
        let luck = if self.load_reports.mean_in_flight_per_core.is_some()
            || self.is_large_fleet() && self.config.weights_report_load
        {
            self.rng.next_unit()
        } else {
            0.0
        };
        let request = RequestState {
            class,
            arrived_at: came,
            objective_at: aim,
            deadline,
            priority: value,
            admission_roll: luck,
            streaming,
            may_fail_over: elsewhere,
            attempts: sent,
        };
        self.requests.insert(new.request, request);
        self.queued.push(new.request);
    }

    fn on_attempt_ended(&mut self, now: Time, end: AttemptEnd) {
        let id = end.request;
        // The backend may be another pool's by now, or the request.
        if let Some(InFlightAttempt { backend, class, sent_at: sent }) =
            self.in_flight_attempts.remove(&(id, end.attempt))
        {
            self.record_outcome(now, backend, class, sent, &end);
            self.recount_after_probe(backend);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(s) = r.attempts.get_mut(end.attempt.0 as usize) {
            (s.in_flight, s.not_executed) = (false, end.outcome.not_executed());
            s.not_sent = end.outcome == Outcome::NotSent;
        }
        if end.request_answered || end.outcome == Outcome::Ok {
            self.remove_request(id);
        } else if !r.has_attempt_in_flight() && !self.queued.contains(&id) {
            self.queued.push(id); // `pump` sends it again or gives it up
        }
    }

    /// A line for the operators, two a second at most.
    fn log(&mut self, now: Time, text: String) {
        if now >= self.next_log_at {
            self.next_log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }
}
