//! Admission control: whether a new request is rejected at once because too much is in flight. That does no harm, and
//! waiting would bring no capacity. Off with 4 proxies or fewer.

use crate::load_reports::{LoadReports, TARGET_MEAN_IN_FLIGHT_PER_CORE};
use crate::request::PriorityLevel;

/// Requests of all proxies in flight on a core of a backend: a shared processor at four fifths of its capacity has four
/// in flight on average, and more only makes each of them later.
pub(crate) const TARGET_IN_FLIGHT_PER_CORE: f64 = 4.0;
/// Multiple of the target from which requests of normal priority are rejected: 8 in flight on a core. With u / (1 - u)
/// in flight at utilization u, this is a utilization of eight ninths, ...
const NORMAL_PRIORITY_LIMIT_FACTOR: f64 = 2.0;
/// ... and from which those of low priority are: 2 in flight on a core, a utilization of two thirds.
const LOW_PRIORITY_LIMIT_FACTOR: f64 = 0.5;
/// Where backends have little in flight by their reports, the estimate by what this proxy has may be over its limit by
/// this factor.
const MAX_OVERLOAD_SLACK: f64 = 4.0;
/// A lower load does not raise the slack further, requests in flight on a core.
const MIN_IN_FLIGHT_PER_CORE: f64 = 0.1;

/// With more proxies than requests in flight that a core should have (5 or more), one proxy cannot judge the load by
/// what it has in flight itself. Only then: admission control, load reports, zone reachability.
pub(crate) fn sees_too_little_alone(proxies: u32) -> bool {
    f64::from(proxies) > TARGET_IN_FLIGHT_PER_CORE
}

/// What admission goes by at one moment.
pub(crate) struct AdmissionControl<'a> {
    /// How many proxies share the traffic.
    pub proxies: u32,
    pub load_reports: &'a LoadReports,
    /// Requests of all proxies in flight, if all are like this one.
    pub estimated_in_flight: f64,
    /// Cores of all backends, each times its backend's capacity factor.
    pub effective_cores: f64,
    /// Requests in flight on a core by this proxy's latencies; `None` where reports are to be waited for.
    pub in_flight_per_core_by_latency: Option<f64>,
}

impl AdmissionControl<'_> {
    /// Whether a new request is to be rejected. `admission_roll` is the request's random number from 0 to 1.
    pub fn is_overloaded(&self, priority: PriorityLevel, admission_roll: f64) -> bool {
        if admission_roll > self.load_reports.admitted_fraction(priority) {
            return true;
        }
        let max_per_core = match priority {
            PriorityLevel::Low => TARGET_IN_FLIGHT_PER_CORE * LOW_PRIORITY_LIMIT_FACTOR,
            PriorityLevel::Normal => TARGET_IN_FLIGHT_PER_CORE * NORMAL_PRIORITY_LIMIT_FACTOR,
        };
        let limit = max_per_core * self.slack(priority) * self.effective_cores;
        sees_too_little_alone(self.proxies) && self.estimated_in_flight > limit
    }

    /// The factor by which the estimate may be over its limit: what backends report goes before the guess that the
    /// other proxies are like this one. Without reports latencies speak for requests of low priority.
    fn slack(&self, priority: PriorityLevel) -> f64 {
        let by_latency = match priority {
            PriorityLevel::Low => self.in_flight_per_core_by_latency,
            PriorityLevel::Normal => None,
        };
        match self.load_reports.mean_in_flight_per_core().or(by_latency) {
            Some(in_flight) => {
                let headroom = TARGET_MEAN_IN_FLIGHT_PER_CORE / in_flight.max(MIN_IN_FLIGHT_PER_CORE);
                headroom.clamp(1.0, MAX_OVERLOAD_SLACK)
            }
            None => 1.0,
        }
    }
}
