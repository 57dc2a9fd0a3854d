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

/// The account of a run.
#[derive(Clone, Debug)]
pub struct Account {
    /// First tries, by class.
    pub asked: Vec<u64>,
    /// First tries that were served within their aim in the end, by class.
    pub served: Vec<u64>,
    /// Worth asked for, and served; late answers count for their part.
    pub worth: (f64, f64),
    /// Ends of all tries.
    pub ends: [u64; 8],
    /// First tries and those served, by second.
    pub seconds: Vec<(u64, u64)>,
    /// Tries refused at once, after they were held, and after attempts that was not executed, by second.
    pub refused: Vec<[u64; 3]>,
    /// Backends that are slow from crowding as a second begins, and requests that a backend holds in the mean.
    pub boxes: Vec<(u32, f64)>,
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
    pub by_box: Vec<u64>,
}

impl Account {
    pub(crate) fn new(classes: usize) -> Account {
        Account {
            asked: vec![0; classes],
            served: vec![0; classes],
            worth: (0.0, 0.0),
            ends: [0; 8],
            seconds: Vec::new(),
            refused: Vec::new(),
            boxes: Vec::new(),
            // From 1 µs to 100 s with two figures: the bounds are constants and sound.
            latency: Histogram::new_with_bounds(1, 100_000_000, 2).expect("sound bounds"),
            attempts: 0,
            handshakes: 0,
            crossed: 0,
            crowdings: 0,
            by_box: Vec::new(),
        }
    }

    pub(crate) fn second(&mut self, at: Micros) -> usize {
        let second = (at.0 / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
            self.refused.resize(second + 1, [0; 3]);
        }
        second
    }

    /// The part of the worth that was served.
    pub fn served_worth(&self) -> f64 {
        self.worth.1 / self.worth.0.max(1e-9)
    }

    /// The part of the first tries of the worst class that was served in time.
    pub fn worst_class(&self) -> f64 {
        let parts = self.asked.iter().zip(&self.served).map(|(a, s)| *s as f64 / (*a).max(1) as f64);
        parts.fold(1.0, f64::min)
    }

    /// The part of all tries that was refused.
    pub fn refused_part(&self) -> f64 {
        let refused: u64 = self.ends[2..5].iter().sum();
        refused as f64 / self.ends.iter().sum::<u64>().max(1) as f64
    }

    /// The part of the first tries that was served in each second.
    pub fn by_second(&self) -> Vec<f64> {
        self.seconds.iter().map(|(asked, served)| *served as f64 / (*asked).max(1) as f64).collect()
    }
}
