//! What clients got.

use hdrhistogram::Histogram;
use shaletide_types::Micros;

/// How a request ended, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Within its aim.
    InTime,
    /// After it.
    Late,
    /// Refused on arrival, with nothing sent.
    RefusedAtOnce,
    /// Refused after it was held, with nothing sent.
    RefusedHeld,
    /// Refused after attempts that was not executed.
    RefusedSent,
    /// Failed, or its time was up.
    Failed,
    /// Its proxy died.
    Died,
    /// The front dealt it to a proxy that was dead already.
    Unreached,
}

/// All ends, in their order.
pub const ENDS: [(End, &str); 8] = [
    (End::InTime, "in time"),
    (End::Late, "late"),
    (End::RefusedAtOnce, "refused at once"),
    (End::RefusedHeld, "refused held"),
    (End::RefusedSent, "refused sent"),
    (End::Failed, "failed"),
    (End::Died, "died"),
    (End::Unreached, "unreached"),
];

/// The statistics of a run.
#[derive(Clone, Debug)]
pub struct Statistics {
    /// First tries, by class.
    pub requests: Vec<u64>,
    /// First tries that were served within their aim in the end, by class.
    pub served: Vec<u64>,
    /// Priority weight requested and served; late answers count for their late weight fraction.
    pub priority_weight: (f64, f64),
    /// Ends of all tries.
    pub ends: [u64; 8],
    /// First tries and those served, by second.
    pub seconds: Vec<(u64, u64)>,
    /// Requests rejected at once, after queueing, and after attempts that were not executed, by second.
    pub rejected: Vec<[u64; 3]>,
    /// Backends that are slow from crowding as a second begins, and requests that a backend holds in the mean.
    pub backends: Vec<(u32, f64)>,
    /// Time to the answer of what was served, µs.
    pub latency: Histogram<u64>,
    /// Attempts, connections opened, attempts that crossed zones.
    pub attempts: u64,
    /// Connections opened.
    pub handshakes: u64,
    /// Attempts that crossed zones.
    pub crossed: u64,
    /// Times that a backend was crowded.
    pub crowdings: u32,
    /// Attempts sent to each backend.
    pub by_backend: Vec<u64>,
}

impl Statistics {
    pub(crate) fn new(classes: usize) -> Statistics {
        Statistics {
            requests: vec![0; classes],
            served: vec![0; classes],
            priority_weight: (0.0, 0.0),
            ends: [0; 8],
            seconds: Vec::new(),
            rejected: Vec::new(),
            backends: Vec::new(),
            // From 1 µs to 100 s with two figures: the bounds are constants and sound.
            latency: Histogram::new_with_bounds(1, 100_000_000, 2).expect("sound bounds"),
            attempts: 0,
            handshakes: 0,
            crossed: 0,
            crowdings: 0,
            by_backend: Vec::new(),
        }
    }

    pub(crate) fn second(&mut self, at: Micros) -> usize {
        let second = (at.0 / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
            self.rejected.resize(second + 1, [0; 3]);
        }
        second
    }

    /// The part of the priority weight that was served.
    pub fn served_worth(&self) -> f64 {
        self.priority_weight.1 / self.priority_weight.0.max(1e-9)
    }

    /// The part of the first tries of the worst class that was served in time.
    pub fn worst_class(&self) -> f64 {
        let parts = self.requests.iter().zip(&self.served).map(|(a, s)| *s as f64 / (*a).max(1) as f64);
        parts.fold(1.0, f64::min)
    }

    /// The fraction of all requests that was rejected.
    pub fn refused_part(&self) -> f64 {
        let rejected: u64 = self.ends[2..5].iter().sum();
        rejected as f64 / self.ends.iter().sum::<u64>().max(1) as f64
    }

    /// The part of the first tries that was served in each second.
    pub fn by_second(&self) -> Vec<f64> {
        self.seconds.iter().map(|(requests, served)| *served as f64 / (*requests).max(1) as f64).collect()
    }
}
