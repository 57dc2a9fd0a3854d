//! Evaluates the load that backends report: estimates the size of the fleet of proxies, reduces the traffic of loaded
//! backends and computes the admitted fraction of the requests. In a large fleet, each proxy sees too little of the
//! backends to judge their load alone; load reports show the load that the other proxies bring.
//!
//! A backend may report anything, late or never. Its report is clamped to a plausible range, is one sample among all in
//! the fleet's mean, and is not used when it is old.

use crate::backend_stats::BackendStats;
use crate::reported_load::LoadSample;
use crate::request::PriorityLevel;
use crate::statistics::MovingAverage;
use shaletide_types::*;
use std::collections::BTreeMap;

/// Target for the average load of backends that report it, requests in flight on a core. It is below the target for one
/// core, as the most loaded backends have far more than the average.
pub(crate) const TARGET_MEAN_IN_FLIGHT_PER_CORE: f64 = 2.2;
/// Longest reported latency that is used, ms.
const MAX_REPORTED_LATENCY_MS: f64 = 60_000.0;
/// Upper bound of a report in the fleet's mean, as a multiple of the target, so that one wrong or overloaded backend
/// changes the mean little.
const MAX_SAMPLE_OVER_TARGET: f64 = 2.0;
/// Number of backends that need a report in the list before the list is used; it also has to cover half of the backends
/// in use.
const MIN_LIST_SAMPLES: f64 = 12.0;
/// Number of backends that need a report in their responses before these reports are used.
const MIN_RESPONSE_SAMPLES: f64 = 3.0;
/// Factor up to which the list and the responses may differ by chance; beyond it the list is out of date.
const MAX_LIST_DEVIATION: f64 = 1.6;
/// Time after the last usable report during which backends still count as reporting, s.
const REPORTING_TIMEOUT_S: f64 = 30.0;
/// Exponent a second with which the admitted fraction follows the ratio of target to actual utilization. It allows for
/// reports that are one or two seconds old.
const ADMISSION_GAIN_PER_S: f64 = 4.0;
/// Exponential growth rate of the admitted fraction after reports have ended, per second.
const ADMISSION_RECOVERY_PER_S: f64 = 0.5;
/// Lower bound of `admitted`: 53 % of the requests of normal priority and none of low priority. It limits the effect of
/// backends that wrongly report to be full.
const MIN_ADMITTED_FRACTION: f64 = 0.4;
/// Fraction of the requests that is rejected from low priority alone, before normal priority is affected.
const LOW_PRIORITY_RANGE: f64 = 0.25;
/// Rate at which the rebalancing factor of a backend with twice the mean load falls, per second.
const REBALANCING_RATE_PER_S: f64 = 0.5;
/// Lower bound of a backend's rebalancing factor.
const MIN_REBALANCING_FACTOR: f64 = 0.1;
/// Upper bound of a backend's rebalancing factor.
const MAX_REBALANCING_FACTOR: f64 = 1.2;
/// Lower bound of the factor by which a report reduces a backend's traffic at once.
const MIN_LOAD_FACTOR: f64 = 0.2;
/// Window over which the fleet size is learned, s. It is long, as a short time without responses at this proxy says
/// nothing about the fleet.
const FLEET_SIZE_WINDOW_S: f64 = 15.0;
/// Initial window over which the fleet size is learned, s. It is short, as the configured size is a guess.
const INITIAL_FLEET_SIZE_WINDOW_S: f64 = 2.0;
/// The learned fleet size is at least the configured size divided by this.
const MAX_FLEET_SHRINK_FACTOR: f64 = 4.0;
/// The learned fleet size is at most the configured size times this.
const MAX_FLEET_GROWTH_FACTOR: f64 = 2.0;
/// Upper bound of the interval between two aggregates that enters the control steps, s.
const MAX_INTERVAL_S: f64 = 1.0;
/// Lower bound of the load from which utilization is computed, requests in flight on a core.
const MIN_IN_FLIGHT_PER_CORE: f64 = 0.1;

/// The state that is derived from load reports.
#[derive(Clone, Debug)]
pub(crate) struct LoadReports {
    /// By server type, the largest weight per core of any backend: the weight of an idle one.
    weight_per_core: BTreeMap<ServerTypeId, f64>,
    /// Average requests in flight on a core of a backend in use; `None` where too few backends report.
    mean_in_flight_per_core: Option<f64>,
    /// Fraction of all requests that there is capacity for, at least [`MIN_ADMITTED_FRACTION`].
    admitted: f64,
    /// Number of proxies with this one's traffic that would add up to all traffic.
    fleet_size: f64,
    fleet_size_learned_s: f64,
    aggregated_at: Option<Time>,
    last_usable_at: Option<Time>,
    /// Time between the last two usable aggregates, s.
    interval_s: f64,
}

/// Sums and means over the reports of the backends in use.
#[derive(Default)]
struct Aggregate {
    backends_in_use: f64,
    /// Requests in flight on a core by the latest reports in the list.
    list: MovingAverage,
    /// Requests in flight on a core by the latest reports in responses.
    responses: MovingAverage,
    /// Requests in flight at all backends that have a report in the list.
    list_in_flight: f64,
    /// Sum of the list's reports over the backends with reports from both sources, requests in flight on a core.
    list_where_both: f64,
    /// Sum of the responses' reports over the same backends.
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

    /// Returns whether the list has reports of enough backends, and the responses do not show it to be out of date.
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

/// Returns the utilization of a processor-sharing core with m requests in flight: m / (1 + m).
fn utilization(in_flight_per_core: f64) -> f64 {
    let in_flight = in_flight_per_core.max(MIN_IN_FLIGHT_PER_CORE);
    in_flight / (1.0 + in_flight)
}

impl LoadReports {
    /// Creates the state without reports: all requests are admitted, and the fleet size is `proxies`.
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

    /// Returns the number of proxies with this one's traffic that would add up to all traffic: the configured number
    /// where there are no reports.
    pub fn fleet_size(&self) -> f64 {
        self.fleet_size
    }

    /// Returns the average requests in flight on a core of a backend in use; `None` where too few backends report.
    pub fn mean_in_flight_per_core(&self) -> Option<f64> {
        self.mean_in_flight_per_core
    }

    /// Records a live weight of the endpoint list: the backend's size divided by (1 + its requests in flight on a
    /// core).
    pub fn record_list_weight(&mut self, now: Time, backend: &mut BackendStats) {
        let weight = f64::from(backend.entry.weight) / f64::from(backend.entry.cores.max(1));
        if weight > 0.0 {
            let largest = self.weight_per_core.entry(backend.entry.server_type).or_default();
            *largest = largest.max(weight);
            backend.reported_load.in_list.record(now, *largest / weight - 1.0);
        }
    }

    /// Records the load report of a response.
    pub fn record_report(&mut self, now: Time, backend: &mut BackendStats, report: &LoadReport) {
        // A backend that has served nothing recently reports a latency of 0.
        if let Some(ms) = report.latency_ms.filter(|ms| *ms > 0.0 && *ms <= MAX_REPORTED_LATENCY_MS) {
            backend.reported_load.record_latency(now, ms / 1e3);
        }
        if let Some(in_flight) = report.in_flight {
            let per_core = in_flight / f64::from(backend.entry.cores.max(1));
            backend.reported_load.in_responses.record(now, per_core);
        }
    }

    /// Recomputes the mean load, the fleet size and the admitted fraction from all reports. `own_in_flight` is the
    /// average number of this proxy's requests in flight at all backends, if known.
    pub fn aggregate<'a>(
        &mut self, now: Time, backends: impl Iterator<Item = &'a BackendStats>, proxies: u32,
        own_in_flight: Option<f64>,
    ) {
        let total = Aggregate::of(now, backends);
        let interval_s = self.aggregated_at.map_or(0.0, |at| (now - at).secs().min(MAX_INTERVAL_S));
        self.aggregated_at = Some(now);
        self.mean_in_flight_per_core = total.mean_in_flight_per_core();
        let Some(mean) = self.mean_in_flight_per_core else {
            // Without reports, the admitted fraction recovers to 1.
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

    /// Updates the fleet size: the requests in flight of all proxies divided by those of this one.
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
        // The two numbers cover different times, so that their ratio is averaged over a long window, shorter at first.
        self.fleet_size_learned_s += interval_s;
        let window_s = self.fleet_size_learned_s.clamp(INITIAL_FLEET_SIZE_WINDOW_S, FLEET_SIZE_WINDOW_S);
        let step = 1.0 - (-interval_s / window_s).exp();
        self.fleet_size *= (observed / self.fleet_size).powf(step);
    }

    /// Returns whether backends have reported their load recently, even if no report is fresh now.
    pub fn is_reporting(&self, now: Time) -> bool {
        self.last_usable_at.is_some_and(|at| (now - at).secs() < REPORTING_TIMEOUT_S)
    }

    /// Returns whether the list has weights, which show the relative speed of a server type.
    pub fn has_weights(&self) -> bool {
        !self.weight_per_core.is_empty()
    }

    /// Returns the speed of the type's backends relative to other types by the list's weights; 1 where it has none.
    pub fn relative_speed(&self, server_type: ServerTypeId) -> f64 {
        self.weight_per_core.get(&server_type).copied().unwrap_or(1.0)
    }

    /// Returns the admitted fraction of the requests of a priority, from 0 to 1. Low priority is rejected first.
    pub fn admitted_fraction(&self, priority: PriorityLevel) -> f64 {
        let normal_range = 1.0 - LOW_PRIORITY_RANGE;
        match priority {
            PriorityLevel::Low => ((self.admitted - normal_range) / LOW_PRIORITY_RANGE).max(0.0),
            PriorityLevel::Normal => (self.admitted / normal_range).min(1.0),
        }
    }

    /// Lowers the rebalancing factor of each backend with more in flight than the mean, and raises it where it has
    /// less. Has to be called after [`LoadReports::aggregate`].
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
        // Factors are normalized over all types, not within each: a server type with a higher load than others receives
        // less traffic, whatever its estimated speed.
        for backend in backends.values_mut() {
            if let Some(factor) = &mut backend.reported_load.rebalancing_factor {
                let normalized = *factor * count / f64::max(sum, 1e-9);
                *factor = normalized.clamp(MIN_REBALANCING_FACTOR, MAX_REBALANCING_FACTOR);
            }
        }
    }

    /// Returns the factor on a backend's traffic that follows from its reports: its rebalancing factor, reduced at once
    /// where it has more in flight than the mean. It is not raised for a backend that seems idle, as the cause may be
    /// that no request reaches it.
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
