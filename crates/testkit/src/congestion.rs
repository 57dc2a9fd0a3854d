//! Model of congestion: a backend that holds too many requests is slower until it was mostly idle for some seconds. Pure.

use shaletide_types::{Micros, Time};

/// Time constant of the moving average of the held requests, s.
const HELD_AVERAGE_S: f64 = 2.0;
/// A congested backend recovers when it was busy for less than this fraction of about [`RECOVERY_S`].
const RECOVERY_BUSY_FRACTION: f64 = 0.3;
/// Shortest congestion, and the period over which the busy fraction is averaged, s.
const RECOVERY_S: f64 = 3.0;
/// Longest congestion, s: after it a backend recovers however busy it is.
const MAX_CONGESTION_S: f64 = 24.0;

/// When a backend is congested, and how much that slows it down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CongestionConfig {
    /// The backend becomes congested when it holds more requests than this on average over about 2 s.
    pub in_flight_threshold: f64,
    /// Factor by which work takes longer on a congested backend.
    pub slowdown: f64,
}

/// The congestion state of one backend.
#[derive(Clone, Debug)]
pub struct CongestionModel {
    config: CongestionConfig,
    held: f64,
    busy: f64,
    congested_since: Option<Time>,
}

impl CongestionModel {
    /// Interval at which [`CongestionModel::sample`] must be called.
    pub const SAMPLE_INTERVAL: Micros = Micros(100_000);

    /// Returns the state of a backend that holds no requests.
    pub fn new(config: CongestionConfig) -> CongestionModel {
        CongestionModel { config, held: 0.0, busy: 0.0, congested_since: None }
    }

    /// Returns the factor by which work takes longer at present.
    pub fn slowdown(&self) -> f64 {
        if self.congested_since.is_some() {
            self.config.slowdown
        } else {
            1.0
        }
    }

    /// Records that the backend holds `held` requests. Returns whether [`CongestionModel::slowdown`] has changed.
    pub fn sample(&mut self, now: Time, held: usize) -> bool {
        let weight = |memory_s: f64| 1.0 - (-CongestionModel::SAMPLE_INTERVAL.secs() / memory_s).exp();
        self.held += (held as f64 - self.held) * weight(HELD_AVERAGE_S);
        self.busy += (f64::from(u8::from(held > 0)) - self.busy) * weight(RECOVERY_S / 2.0);
        match self.congested_since {
            None if self.held > self.config.in_flight_threshold => {
                self.congested_since = Some(now);
                true
            }
            Some(since) => {
                let age_s = (now - since).secs();
                let recovered =
                    age_s > MAX_CONGESTION_S || age_s > RECOVERY_S && self.busy < RECOVERY_BUSY_FRACTION;
                if recovered {
                    (self.congested_since, self.held) = (None, 0.0);
                }
                recovered
            }
            None => false,
        }
    }
}

#[cfg(test)]
mod tests;
