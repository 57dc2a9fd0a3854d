//! What follows from the load that backends report: the size of the fleet of proxies, which backends get less than an
//! even part, and which part of the requests is admitted. Where so many proxies share the backends that each alone sees
//! next to nothing of them, this is how one learns of the load that the others bring.
//!
//! A backend may report anything, late or never. Its report is held to what can be, counts as one among all in the
//! fleet's mean, and is not used when it is old.

use crate::backend_stats::BackendStats;
use crate::reported_load::LoadSample;
use crate::request::PriorityLevel;
use crate::statistics::MovingAverage;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Load that backends should have on average where they report it, requests in flight on a core: the fullest have far
/// more than the average.
pub(crate) const TARGET_MEAN_IN_FLIGHT_PER_CORE: f64 = 2.2;
/// A longer reported latency is not used, ms.
const MAX_REPORTED_LATENCY_MS: f64 = 60_000.0;
/// A report counts in the fleet's mean as this many times the target at most, so that one wrong or overloaded backend
/// moves it little.
const MAX_SAMPLE_OVER_TARGET: f64 = 2.0;
/// The list is used where it has reports of this many backends and of half of those in use, ...
const MIN_LIST_SAMPLES: f64 = 12.0;
/// ... and the responses where this many backends have sent reports.
const MIN_RESPONSE_SAMPLES: f64 = 3.0;
/// Up to this factor the list and the responses differ by chance; beyond it the list is out of date.
const MAX_LIST_DEVIATION: f64 = 1.6;
/// For this long after the last report, s, backends count as ones that report.
const REPORTING_TIMEOUT_S: f64 = 30.0;
/// Exponent a second by which the admitted fraction follows the ratio of wanted and actual utilization: reports are a
/// second or two old.
const ADMISSION_GAIN_PER_S: f64 = 4.0;
/// Rate at which the admitted fraction grows where reports have ended, a second.
const ADMISSION_RECOVERY_PER_S: f64 = 0.5;
/// Lower bound of `admitted`: 53 % of requests of normal priority, none of low. Backends that report to be full may be
/// wrong.
const MIN_ADMITTED_FRACTION: f64 = 0.4;
/// The first part of the rejections falls on requests of low priority alone.
const LOW_PRIORITY_RANGE: f64 = 0.25;
/// Rate at which the part of a backend falls that has twice the mean load, a second.
const REBALANCING_RATE_PER_S: f64 = 0.5;
/// Bounds of a backend's rebalancing factor.
const MIN_REBALANCING_FACTOR: f64 = 0.1;
const MAX_REBALANCING_FACTOR: f64 = 1.2;
/// The least that a report takes a backend's part to at once.
const MIN_LOAD_FACTOR: f64 = 0.2;
/// Window over which the size of the fleet is learned, s: a while without responses here says nothing of it.
const FLEET_SIZE_WINDOW_S: f64 = 15.0;
/// ... and at first, s, as the configured size is a guess.
const INITIAL_FLEET_SIZE_WINDOW_S: f64 = 2.0;
/// The fleet is at least the configured size over this, and at most ...
const MAX_FLEET_SHRINK_FACTOR: f64 = 4.0;
/// ... the configured size times this.
const MAX_FLEET_GROWTH_FACTOR: f64 = 2.0;
/// Aggregates are at most this far apart in their effect, s.
const MAX_INTERVAL_S: f64 = 1.0;
/// Utilization is not taken to be below that of this load, requests in flight on a core.
const MIN_IN_FLIGHT_PER_CORE: f64 = 0.1;

/// What is known of the fleet by its load reports.
#[derive(Clone, Debug)]
pub(crate) struct LoadReports {
    /// The largest weight of any backend of a type, by core: that of one with nothing in flight.
    weight_per_core: BTreeMap<ServerTypeId, f64>,
    /// Requests in flight on a core of a backend in use, on average; `None` where too few report.
    mean_in_flight_per_core: Option<f64>,
    /// The part of all requests that there is capacity for, at least [`MIN_ADMITTED_FRACTION`].
    admitted: f64,
    /// As many proxies like this one would bring all the traffic.
    fleet_size: f64,
    fleet_size_learned_s: f64,
    aggregated_at: Option<Time>,
    last_usable_at: Option<Time>,
    /// Time between the last two usable aggregates, s.
    interval_s: f64,
}

/// Reports of the backends in use, added up.
#[derive(Default)]
struct Aggregate {
    backends_in_use: f64,
    /// Requests a core by the latest reports, by source.
    list: MovingAverage,
    responses: MovingAverage,
    /// Requests in flight at all backends of the list's reports.
    list_in_flight: f64,
    /// Requests a core of backends with reports from both sources, added up by source.
    list_where_both: f64,
    responses_where_both: f64,
}

impl Aggregate {
    fn of<'a>(now: Time, backends: impl Iterator<Item = &'a BackendStats>) -> Aggregate {
        let mut total = Aggregate::default();
        for backend in backends.filter(|backend| backend.is_in_use()) {
            total.add(now, backend);
        }
        total
    }

    fn add(&mut self, now: Time, backend: &BackendStats) {
        self.backends_in_use += 1.0;
        let max_per_core = TARGET_MEAN_IN_FLIGHT_PER_CORE * MAX_SAMPLE_OVER_TARGET;
        let bounded = |sample: LoadSample| sample.latest.min(max_per_core);
        let list = backend.reported_load.in_list.if_fresh(now);
        let responses = backend.reported_load.in_responses.if_fresh(now);
        if let Some(sample) = list {
            self.list.record(bounded(sample), f64::MAX);
            self.list_in_flight += sample.average * f64::from(backend.entry.cores);
        }
        if let Some(sample) = responses {
            self.responses.record(bounded(sample), f64::MAX);
        }
        if let (Some(list), Some(responses)) = (list, responses) {
            self.list_where_both += bounded(list);
            self.responses_where_both += bounded(responses);
        }
    }

    fn has_enough_responses(&self) -> bool {
        self.responses.count >= MIN_RESPONSE_SAMPLES
    }

    /// Whether the list has reports of enough backends, and those that responded do not show it to be out of date.
    fn has_usable_list(&self) -> bool {
        let is_complete =
            self.list.count >= MIN_LIST_SAMPLES && self.list.count * 2.0 >= self.backends_in_use;
        is_complete && !self.list_is_out_of_date()
    }

    fn list_is_out_of_date(&self) -> bool {
        if !self.has_enough_responses() {
            return false;
        }
        let deviation = (self.responses_where_both + TARGET_MEAN_IN_FLIGHT_PER_CORE)
            / (self.list_where_both + TARGET_MEAN_IN_FLIGHT_PER_CORE);
        !(1.0 / MAX_LIST_DEVIATION..MAX_LIST_DEVIATION).contains(&deviation)
    }

    fn mean_in_flight_per_core(&self) -> Option<f64> {
        if self.has_usable_list() {
            Some(self.list.value)
        } else if self.has_enough_responses() {
            Some(self.responses.value)
        } else {
            None
        }
    }
}

/// How busy a shared processor is with so many requests in flight on a core: m / (1 + m).
fn utilization(in_flight_per_core: f64) -> f64 {
    let in_flight = in_flight_per_core.max(MIN_IN_FLIGHT_PER_CORE);
    in_flight / (1.0 + in_flight)
}

impl LoadReports {
    /// Without reports: all requests are admitted, and `proxies` bring the traffic.
    pub fn new(proxies: u32) -> LoadReports {
        LoadReports {
            weight_per_core: BTreeMap::new(),
            mean_in_flight_per_core: None,
            admitted: 1.0,
            fleet_size: f64::from(proxies),
            fleet_size_learned_s: 0.0,
            aggregated_at: None,
            last_usable_at: None,
            interval_s: 0.0,
        }
    }

    /// As many proxies like this one would bring all the traffic: the configured number where reports say nothing.
    pub fn fleet_size(&self) -> f64 {
        self.fleet_size
    }

    /// Requests in flight on a core of a backend in use, on average; `None` where too few report.
    pub fn mean_in_flight_per_core(&self) -> Option<f64> {
        self.mean_in_flight_per_core
    }

    /// Records a live weight of the endpoint list: a backend's size over one plus its requests in flight on a core.
    pub fn record_list_weight(&mut self, now: Time, backend: &mut BackendStats) {
        let weight = f64::from(backend.entry.weight) / f64::from(backend.entry.cores.max(1));
        if weight > 0.0 {
            let largest = self.weight_per_core.entry(backend.entry.server_type).or_default();
            *largest = largest.max(weight);
            backend.reported_load.in_list.record(now, *largest / weight - 1.0);
        }
    }

    /// Records a load report of a response.
    pub fn record_report(&mut self, now: Time, backend: &mut BackendStats, report: &LoadReport) {
        // A backend that served nothing lately reports a latency of 0.
        if let Some(ms) = report.latency_ms.filter(|ms| *ms > 0.0 && *ms <= MAX_REPORTED_LATENCY_MS) {
            backend.reported_load.record_latency(now, ms / 1e3);
        }
        if let Some(in_flight) = report.in_flight {
            let per_core = in_flight / f64::from(backend.entry.cores.max(1));
            backend.reported_load.in_responses.record(now, per_core);
        }
    }

    /// Takes the reports together: the fleet's mean load, its size and the admitted fraction follow. `own_in_flight` is
    /// what this proxy's served requests have in flight at all backends, if known.
    pub fn aggregate<'a>(
        &mut self, now: Time, backends: impl Iterator<Item = &'a BackendStats>, proxies: u32,
        own_in_flight: Option<f64>,
    ) {
        let total = Aggregate::of(now, backends);
        let interval_s = self.aggregated_at.map_or(0.0, |at| (now - at).secs().min(MAX_INTERVAL_S));
        self.aggregated_at = Some(now);
        self.mean_in_flight_per_core = total.mean_in_flight_per_core();
        let Some(mean) = self.mean_in_flight_per_core else {
            // What old reports made of it does not last.
            let growth = (interval_s * ADMISSION_RECOVERY_PER_S).exp();
            self.admitted = (self.admitted * growth).min(1.0);
            return;
        };
        self.last_usable_at = Some(now);
        self.interval_s = interval_s;
        if total.has_usable_list() {
            let all_in_flight = total.list_in_flight * total.backends_in_use / total.list.count;
            self.learn_fleet_size(interval_s, all_in_flight, own_in_flight, f64::from(proxies));
        }
        let ratio = utilization(TARGET_MEAN_IN_FLIGHT_PER_CORE) / utilization(mean);
        let step = ratio.powf(ADMISSION_GAIN_PER_S * interval_s);
        self.admitted = (self.admitted * step).clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    /// The size of the fleet is what all proxies have in flight over what this one has.
    fn learn_fleet_size(
        &mut self, interval_s: f64, all_in_flight: f64, own_in_flight: Option<f64>, proxies: f64,
    ) {
        let observed = match own_in_flight {
            Some(own) if own > 0.0 => all_in_flight / own,
            _ => proxies,
        };
        let min = proxies / MAX_FLEET_SHRINK_FACTOR;
        let max = proxies * MAX_FLEET_GROWTH_FACTOR;
        let observed = observed.clamp(min, max).max(1.0);
        // The two are counted over different seconds: a slow mean, which is quicker at first.
        self.fleet_size_learned_s += interval_s;
        let window_s = self.fleet_size_learned_s.clamp(INITIAL_FLEET_SIZE_WINDOW_S, FLEET_SIZE_WINDOW_S);
        let step = 1.0 - (-interval_s / window_s).exp();
        self.fleet_size *= (observed / self.fleet_size).powf(step);
    }

    /// Whether backends have reported their load not long ago, even if nothing is fresh now.
    pub fn is_reporting(&self, now: Time) -> bool {
        self.last_usable_at.is_some_and(|at| (now - at).secs() < REPORTING_TIMEOUT_S)
    }

    /// Whether the list says how fast the backends of some type are.
    pub fn has_weights(&self) -> bool {
        !self.weight_per_core.is_empty()
    }

    /// How fast the list says that a backend of the type is relative to those of others; 1 where it says nothing.
    pub fn relative_speed(&self, server_type: ServerTypeId) -> f64 {
        self.weight_per_core.get(&server_type).copied().unwrap_or(1.0)
    }

    /// The part of the requests of a priority that is admitted, from 0 to 1: those of low priority are rejected first.
    pub fn admitted_fraction(&self, priority: PriorityLevel) -> f64 {
        let normal_range = 1.0 - LOW_PRIORITY_RANGE;
        match priority {
            PriorityLevel::Low => ((self.admitted - normal_range) / LOW_PRIORITY_RANGE).max(0.0),
            PriorityLevel::Normal => (self.admitted / normal_range).min(1.0),
        }
    }

    /// After [`LoadReports::aggregate`]: moves each backend's rebalancing factor down where it has more in flight than
    /// the mean, and up where it has less.
    pub fn rebalance(&self, now: Time, backends: &mut BTreeMap<BackendId, BackendStats>) {
        let Some(mean) = self.mean_in_flight_per_core else { return };
        let wanted = mean.max(TARGET_MEAN_IN_FLIGHT_PER_CORE / 2.0);
        let mut sum = 0.0;
        let mut count = 0.0;
        for backend in backends.values_mut().filter(|backend| backend.is_ready()) {
            let Some(in_flight) = backend.reported_load.in_flight_per_core(now) else { continue };
            let excess = ((in_flight - wanted) / wanted).clamp(-1.0, 1.0);
            let step = (-excess * REBALANCING_RATE_PER_S * self.interval_s).exp();
            let factor = backend.reported_load.rebalancing_factor.unwrap_or(1.0) * step;
            let factor = factor.clamp(MIN_REBALANCING_FACTOR, MAX_REBALANCING_FACTOR);
            backend.reported_load.rebalancing_factor = Some(factor);
            sum += factor;
            count += 1.0;
        }
        // Relative to the mean of all: a server type that is fuller than others gets less, however fast it is taken to
        // be.
        for backend in backends.values_mut() {
            if let Some(factor) = &mut backend.reported_load.rebalancing_factor {
                let normalized = *factor * count / f64::max(sum, 1e-9);
                *factor = normalized.clamp(MIN_REBALANCING_FACTOR, MAX_REBALANCING_FACTOR);
            }
        }
    }

    /// The part of an even share that a backend gets by its reports: its rebalancing factor, and less at once where it
    /// has more in flight than the mean. One that looks idle gets no more for that: nothing may reach it.
    pub fn load_factor(&self, now: Time, backend: &BackendStats) -> f64 {
        let in_flight = backend.reported_load.in_flight_per_core(now);
        let immediate = match (self.mean_in_flight_per_core, in_flight) {
            (Some(mean), Some(in_flight)) => ((1.0 + mean) / (1.0 + in_flight)).clamp(MIN_LOAD_FACTOR, 1.0),
            _ => 1.0,
        };
        let rebalancing =
            if self.is_reporting(now) { backend.reported_load.rebalancing_factor } else { None };
        rebalancing.unwrap_or(1.0) * immediate
    }
}
