//! The state of a server type, whose backends are assumed to be equally fast.

use crate::statistics::MovingAverage;
use shaletide_types::*;

/// Maximum weight of one core, in thousandths of a standard core: a larger weight is that of several cores.
const MAX_WEIGHT_PER_CORE: u32 = 2_000;

/// The state of a server type, and its share of the traffic.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTypeStats {
    /// Mean time from dispatch to response of served attempts, scaled to requests of average work, s.
    pub latency: MovingAverage,
    /// Mean arrival rate at one backend of the type when those attempts were served, requests a second.
    pub arrivals_when_served_per_s: MovingAverage,
    /// Current arrival rate at one backend of the type, requests a second.
    pub arrivals_per_s: f64,
    /// Requests a second that one backend of the type can serve.
    pub capacity_per_s: f64,
    /// Sum of the capacity factors of the type's backends.
    pub total_capacity_factor: f64,
    /// Sum over the type's backends of their cores times their capacity factor.
    pub effective_cores: f64,
    /// The largest weight of any of the type's backends, in thousandths, where weights are sizes.
    largest_weight: u32,
    /// Share of the traffic of all proxies.
    pub traffic_share: f64,
    /// Sum of the backends' selection weights: the type's share of this proxy's traffic.
    pub selection_weight: f64,
}

impl ServerTypeStats {
    /// Returns the minimum number of cores of the type's backends, by the largest weight that the list had for any of
    /// them. The largest is used because a live weight equals the size only for an idle backend and is smaller
    /// otherwise.
    pub fn core_count_from_weight(&mut self, entry: &BackendEntry) -> u32 {
        self.largest_weight = self.largest_weight.max(entry.weight);
        (self.largest_weight / MAX_WEIGHT_PER_CORE).max(1)
    }
}
