//! The clock of all times that are passed to the state machines.

use shaletide_types::{Micros, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time by the monotonic clock. It is set from the wall clock once, so that times in logs are readable, and never
/// adjusted. It is not compared with times of other machines, as the wall clock may have been wrong at startup.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// The Unix time at `start`, in microseconds.
    start_unix_us: u64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Returns a clock that is set to the current Unix time.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_us: unix.as_micros() as u64 }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time(self.start_unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time to an instant for timers. A time before the clock's start is converted to the start.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.0.saturating_sub(self.start_unix_us))).into()
    }
}

/// Converts microseconds to the standard library's type.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}
