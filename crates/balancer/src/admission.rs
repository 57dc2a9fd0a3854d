//! Admission control: decides whether a new request is rejected at once because too much is in flight. Rejecting a new
//! request is harmless, and queueing it would bring no capacity. Off with 4 proxies or fewer.

use crate::load_reports::{LoadReports, TARGET_MEAN_IN_FLIGHT_PER_CORE};
use crate::request::PriorityLevel;

/// Target for the requests of all proxies in flight on one core of a backend. A processor-sharing core at 80 % of its
/// capacity has four requests in flight on average; more of them only make each one slower.
pub(crate) const TARGET_IN_FLIGHT_PER_CORE: f64 = 4.0;
/// Multiple of the target above which requests of normal priority are rejected: 8 in flight on a core. At utilization
/// u there are u / (1 - u) in flight, so that this is a utilization of eight ninths.
const NORMAL_PRIORITY_LIMIT_FACTOR: f64 = 2.0;
/// Multiple of the target above which requests of low priority are rejected: 2 in flight on a core, a utilization of
/// two thirds.
const LOW_PRIORITY_LIMIT_FACTOR: f64 = 0.5;
/// Largest factor by which the estimate from this proxy's own requests in flight may exceed its limit while the
/// backends report a low load.
const MAX_OVERLOAD_SLACK: f64 = 4.0;
/// Lower bound of the load that the slack is computed from, requests in flight on a core.
const MIN_IN_FLIGHT_PER_CORE: f64 = 0.1;

/// Returns whether there are more proxies than a core should have requests in flight (5 or more). One proxy then cannot
/// judge the load by its own requests in flight. Admission control, load reports and zone reachability are used only in
/// such a fleet.
pub(crate) fn is_large_fleet(proxies: u32) -> bool {
    f64::from(proxies) > TARGET_IN_FLIGHT_PER_CORE
}

/// The inputs of admission control at one moment.
pub(crate) struct AdmissionControl<'a> {
    /// Number of proxies that share the traffic.
    pub proxies: u32,
    pub load_reports: &'a LoadReports,
    /// Requests of all proxies in flight, estimated as if every proxy had as many as this one.
    pub estimated_in_flight: f64,
    /// Sum over all backends of their cores times their capacity factor.
    pub effective_cores: f64,
    /// Requests in flight on a core, estimated from this proxy's latencies; `None` where load reports are expected.
    pub in_flight_per_core_by_latency: Option<f64>,
}

impl AdmissionControl<'_> {
    /// Returns whether to reject a new request. `admission_random` is the request's random number from 0 to 1.
    pub fn is_overloaded(&self, priority: PriorityLevel, admission_random: f64) -> bool {
        if admission_random > self.load_reports.admitted_fraction(priority) {
            return true;
        }
        let max_per_core = match priority {
            PriorityLevel::Low => TARGET_IN_FLIGHT_PER_CORE * LOW_PRIORITY_LIMIT_FACTOR,
            PriorityLevel::Normal => TARGET_IN_FLIGHT_PER_CORE * NORMAL_PRIORITY_LIMIT_FACTOR,
        };
        let limit = max_per_core * self.slack(priority) * self.effective_cores;
        is_large_fleet(self.proxies) && self.estimated_in_flight > limit
    }

    /// Returns the factor by which the estimate may exceed its limit. Load that backends report takes precedence over
    /// the assumption that all proxies have the same load. Without reports, this proxy's latencies serve as evidence,
    /// for requests of low priority only.
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
