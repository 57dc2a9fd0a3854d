//! What too many requests at a time do to a backend: it is slower until it was mostly idle for some seconds. Pure.

use shaletide_types::{Micros, Time};

/// Memory of how many it holds, s.
const CROWD_S: f64 = 2.0;
/// One that is crowded is itself again when it was busy for less than this part over [`REST_S`], or after [`MOST_S`].
const REST_BUSY: f64 = 0.3;
const REST_S: f64 = 3.0;
const MOST_S: f64 = 24.0;

/// When a backend is crowded, and what that does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CongestionConfig {
    /// More requests than this in the mean over about 2 s are too many.
    pub in_flight_threshold: f64,
    /// Its work takes so many times as long then.
    pub slowdown: f64,
}

/// One backend's memory of how crowded it was.
#[derive(Clone, Debug)]
pub struct CongestionModel {
    crowd: CongestionConfig,
    held: f64,
    busy: f64,
    since: Option<Time>,
}

impl CongestionModel {
    /// It is to be looked at so often.
    pub const SAMPLE_INTERVAL: Micros = Micros(100_000);

    /// One that holds nothing.
    pub fn new(crowd: CongestionConfig) -> CongestionModel {
        CongestionModel { crowd, held: 0.0, busy: 0.0, since: None }
    }

    /// How many times as long its work takes.
    pub fn slowdown(&self) -> f64 {
        if self.since.is_some() {
            self.crowd.slowdown
        } else {
            1.0
        }
    }

    /// It holds so many. Whether [`CongestionModel::slower`] has changed by it.
    pub fn sample(&mut self, now: Time, held: usize) -> bool {
        let step = |memory_s: f64| 1.0 - (-CongestionModel::SAMPLE_INTERVAL.secs() / memory_s).exp();
        self.held += (held as f64 - self.held) * step(CROWD_S);
        self.busy += (f64::from(u8::from(held > 0)) - self.busy) * step(REST_S / 2.0);
        match self.since {
            None if self.held > self.crowd.in_flight_threshold => {
                self.since = Some(now);
                true
            }
            Some(since) => {
                let age_s = (now - since).secs();
                let rested = age_s > MOST_S || age_s > REST_S && self.busy < REST_BUSY;
                if rested {
                    (self.since, self.held) = (None, 0.0);
                }
                rested
            }
            None => false,
        }
    }
}

#[cfg(test)]
mod tests;
