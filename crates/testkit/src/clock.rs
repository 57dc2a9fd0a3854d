//! One clock for all stand-ins of a run, so that their records are comparable.

use shaletide_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that counts from the start of the run. Copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// Converts an instant of the process to the time of this clock.
    pub fn at(&self, instant: Instant) -> Time {
        Time(instant.saturating_duration_since(self.0).as_micros() as u64)
    }

    /// Converts a time of this clock to an instant of the process.
    pub fn instant(&self, time: Time) -> Instant {
        self.0 + Duration::from_micros(time.0)
    }

    /// Converts a time to the form that discovery uses: Unix time in ms.
    pub fn unix_ms(&self, time: Time) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = self.now() - time;
        (now.as_micros() as u64).saturating_sub(age.0) / 1000
    }
}
