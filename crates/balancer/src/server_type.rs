//! What is learned of a server type.

use crate::statistics::MovingAverage;
use shaletide_types::*;

/// A core's size at the most, in thousandths of a standard one's: more is more cores.
const MAX_WEIGHT_PER_CORE: u32 = 2_000;

/// What is learned of a kind of machine.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerTypeStats {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: MovingAverage,
    /// Requests a second that came to one of its backends, as each of those was served.
    pub arrival_rate_when_served: MovingAverage,
    /// Sum of its backends' readiness, and the same by cores.
    pub total_health: f64,
    pub healthy_cores: f64,
    /// The largest weight of any of its backends, in thousandths, where weights tell sizes.
    pub largest_weight: u32,
    /// Requests a second that one backend could serve, and that come to one.
    pub service_rate: f64,
    pub arrival_rate: f64,
    /// BackendClassStats of all proxies' traffic.
    pub traffic_share: f64,
    /// BackendClassStats of this proxy's traffic.
    pub total_selection_weight: f64,
    /// The pull of its backends passed so far, while slices are cut.
    pub cumulative_weight: f64,
    /// How many backends there are of it.
    pub eligible_backends: f64,
}

impl ServerTypeStats {
    /// The cores that such a backend has at the least, by the largest size that a list gave one: a core is taken for
    /// up to twice a standard one. Live weights are sizes of those that hold nothing, and smaller of others.
    pub fn core_count_from_weight(&mut self, backend: &BackendEntry) -> u32 {
        self.largest_weight = self.largest_weight.max(backend.weight);
        (self.largest_weight / MAX_WEIGHT_PER_CORE).max(1)
    }
}
