//! Subsetting: where many proxies share the backends, each proxy keeps connections to only some of them, as a backend
//! accepts few connections and each has a cost.
//!
//! The backends of a server type are placed on a circle of length 1 in the order of their stable hashes, each with a
//! length in proportion to its share of the traffic. A proxy's subset is an arc of this circle. All arcs have the same
//! width and evenly spread starting points, so that together they cover every backend in proportion to its length. The
//! length is the selection weight, or 1 for every usable backend where backends report their load: see
//! `balancer/weights.rs`.

/// Target number of proxies that use a backend. The relative variation of the summed load of this many proxies is about
/// a fifth of a single proxy's.
const PROXIES_PER_BACKEND: f64 = 20.0;
/// Target number of proxies that use a backend where backends report their load. With one request of each proxy in
/// flight, the number itself bounds the load below what makes a backend slow, without communication between proxies.
const PROXIES_PER_REPORTING_BACKEND: f64 = 6.0;
/// Fractional part of the golden ratio: its multiples are spread evenly over the circle for any number of proxies.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// A proxy's arc of the circle of each server type.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subset {
    /// Start of the arc, from 0 up to 1.
    start: f64,
    /// Length of the arc, from 0 to 1.
    width: f64,
}

impl Subset {
    /// Returns the subset of the proxy with index `position` among `fleet_size` proxies. Of `backends`, `reachable`
    /// have a share of this proxy's traffic.
    pub fn new(
        position: u32, fleet_size: f64, backends: usize, reachable: f64, are_reporting: bool,
    ) -> Subset {
        let proxies_per_backend =
            if are_reporting { PROXIES_PER_REPORTING_BACKEND } else { PROXIES_PER_BACKEND };
        let width = (proxies_per_backend / fleet_size * backends as f64 / reachable.max(1.0)).min(1.0);
        let start = (f64::from(position) * GOLDEN_RATIO_FRACTION).fract();
        Subset { start, width }
    }

    /// Returns how much of a backend's segment of the circle lies in the subset.
    pub fn overlap(&self, from: f64, to: f64) -> f64 {
        let overlap_with_arc_at = |start: f64| (to.min(start + self.width) - from.max(start)).max(0.0);
        // The arc may wrap around the end of the circle.
        overlap_with_arc_at(self.start) + overlap_with_arc_at(self.start - 1.0)
    }
}
