//! Statistics of a run: the ends, delays and costs of requests as clients see them.

use hdrhistogram::Histogram;
use shaletide_types::Micros;

/// How a try of a request ended, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Served within the latency objective.
    InTime,
    /// Served after the latency objective.
    Late,
    /// Rejected on arrival, with nothing sent.
    RejectedAtOnce,
    /// Rejected after queueing, with nothing sent.
    RejectedAfterQueueing,
    /// Rejected after attempts that were not executed.
    RejectedAfterAttempts,
    /// Failed, or reached its deadline.
    Failed,
    /// The proxy died.
    ProxyDied,
    /// The front sent it to a proxy that was already dead.
    Unreached,
}

/// All ends in the order of their variants, with the labels under which they are printed.
pub const ENDS: [(End, &str); 8] = [
    (End::InTime, "in time"),
    (End::Late, "late"),
    (End::RejectedAtOnce, "refused at once"),
    (End::RejectedAfterQueueing, "refused held"),
    (End::RejectedAfterAttempts, "refused sent"),
    (End::Failed, "failed"),
    (End::ProxyDied, "died"),
    (End::Unreached, "unreached"),
];

/// The statistics of a run.
#[derive(Clone, Debug)]
pub struct Statistics {
    /// First tries, by class.
    pub requests: Vec<u64>,
    /// First tries served within their latency objective in the end, by class.
    pub served: Vec<u64>,
    /// Priority weight requested and served; late answers count for their late weight fraction.
    pub priority_weight: (f64, f64),
    /// The number of tries with each end.
    pub ends: [u64; 8],
    /// First tries and those served within their latency objective, by second of arrival.
    pub seconds: Vec<(u64, u64)>,
    /// Requests rejected at once, after queueing, and after attempts that were not executed, by second.
    pub rejected: Vec<[u64; 3]>,
    /// The number of backends slow because of overload, and the mean number of requests that a backend holds, at the
    /// beginning of each second.
    pub backends: Vec<(u32, f64)>,
    /// Time until the answer of served requests, µs.
    pub latency: Histogram<u64>,
    /// The number of attempts.
    pub attempts: u64,
    /// The number of connections opened.
    pub handshakes: u64,
    /// The number of attempts that crossed zones.
    pub cross_zone_attempts: u64,
    /// How often a backend became overloaded.
    pub overloads: u32,
    /// The number of attempts sent to each backend.
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
            // The histogram covers 1 µs to 100 s with two significant figures; these constants are valid bounds.
            latency: Histogram::new_with_bounds(1, 100_000_000, 2).expect("valid histogram bounds"),
            attempts: 0,
            handshakes: 0,
            cross_zone_attempts: 0,
            overloads: 0,
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

    /// Returns the fraction of the priority weight that was served.
    pub fn served_weight_fraction(&self) -> f64 {
        self.priority_weight.1 / self.priority_weight.0.max(1e-9)
    }

    /// Returns the fraction of first tries served within their latency objective, for the class with the lowest fraction.
    pub fn worst_class_fraction(&self) -> f64 {
        let parts = self.requests.iter().zip(&self.served).map(|(a, s)| *s as f64 / (*a).max(1) as f64);
        parts.fold(1.0, f64::min)
    }

    /// Returns the fraction of all tries that were rejected.
    pub fn rejected_fraction(&self) -> f64 {
        let rejected: u64 = self.ends[2..5].iter().sum();
        rejected as f64 / self.ends.iter().sum::<u64>().max(1) as f64
    }

    /// Returns the fraction of first tries served within their latency objective, for each second.
    pub fn by_second(&self) -> Vec<f64> {
        self.seconds.iter().map(|(requests, served)| *served as f64 / (*requests).max(1) as f64).collect()
    }
}
