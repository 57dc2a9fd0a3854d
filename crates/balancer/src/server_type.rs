//! What is known of a server type: its backends are taken to be equally fast.

use crate::statistics::MovingAverage;
use shaletide_types::*;

/// Weight of a core at most, in thousandths of a standard core: a larger weight is that of more cores.
const MAX_WEIGHT_PER_CORE: u32 = 2_000;

/// What is known of a server type, and its part of the traffic.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTypeStats {
    /// Seconds from dispatch to response, of served attempts, as requests of average work would have had them.
    pub latency: MovingAverage,
    /// Requests a second that came to one backend of the type when those attempts were served.
    pub arrivals_when_served_per_s: MovingAverage,
    /// Requests a second that come to one backend of the type.
    pub arrivals_per_s: f64,
    /// Requests a second that one backend of the type could serve.
    pub capacity_per_s: f64,
    /// Sum of the capacity factors of the type's backends, ...
    pub total_capacity_factor: f64,
    /// ... and of their cores, each times its backend's capacity factor.
    pub effective_cores: f64,
    /// The largest weight of any of its backends, in thousandths, where weights are sizes.
    largest_weight: u32,
    /// Part of the traffic of all proxies.
    pub traffic_share: f64,
    /// Sum of its backends' selection weights: its part of this proxy's traffic.
    pub selection_weight: f64,
}

impl ServerTypeStats {
    /// The least number of cores that a backend of the type has, by the largest weight that the list gave one. Live
    /// weights are sizes of idle backends only, and smaller than the size of others.
    pub fn core_count_from_weight(&mut self, entry: &BackendEntry) -> u32 {
        self.largest_weight = self.largest_weight.max(entry.weight);
        (self.largest_weight / MAX_WEIGHT_PER_CORE).max(1)
    }
}
