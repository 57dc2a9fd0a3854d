//! Subsetting: where many proxies share the backends, each keeps connections to a part of them only, as a backend takes
//! few connections and each has a cost.
//!
//! The backends of a server type lie on a circle of length 1 in the order of their stable hashes, each with a length
//! in proportion to its part of the traffic. A proxy's subset is an arc of it. All arcs have the same width and begin
//! at evenly spread places, so that all together cover every backend in proportion to its length. The length is the
//! selection weight, or 1 for every usable backend where backends report their load: see `balancer/weights.rs`.

/// Proxies that use a backend, where there are more: the load of so many evens out, to a fifth of one's.
const PROXIES_PER_BACKEND: f64 = 20.0;
/// ... and where backends report their load: with one request of each in flight the number bounds the load, without a
/// message between proxies, below what makes a backend slow.
const PROXIES_PER_REPORTING_BACKEND: f64 = 6.0;
/// Fraction of the golden ratio: its multiples are spread evenly over the circle for any number of proxies.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// A proxy's arc of the circle of each server type.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subset {
    /// From 0 up to 1.
    start: f64,
    /// From 0 to 1.
    width: f64,
}

impl Subset {
    /// The subset of the proxy with this number, among `fleet_size` proxies. Of `backends`, `reachable` have a part of
    /// this proxy's traffic.
    pub fn new(
        position: u32, fleet_size: f64, backends: usize, reachable: f64, are_reporting: bool,
    ) -> Subset {
        let proxies_per_backend =
            if are_reporting { PROXIES_PER_REPORTING_BACKEND } else { PROXIES_PER_BACKEND };
        let width = (proxies_per_backend / fleet_size * backends as f64 / reachable.max(1.0)).min(1.0);
        let start = (f64::from(position) * GOLDEN_RATIO_FRACTION).fract();
        Subset { start, width }
    }

    /// The length of a backend's part of the circle that lies in the subset.
    pub fn overlap(&self, from: f64, to: f64) -> f64 {
        let overlap_with_arc_at = |start: f64| (to.min(start + self.width) - from.max(start)).max(0.0);
        // The arc may reach over the end of the circle.
        overlap_with_arc_at(self.start) + overlap_with_arc_at(self.start - 1.0)
    }
}
