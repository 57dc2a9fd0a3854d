//! The clock of all times that the machines see.

use shaletide_types::{Micros, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time by the monotonic clock: set by the wall clock once, so that times can be read in logs, and never set again.
/// Times of other machines are not compared with it, as the wall clock may have been wrong at the start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in microseconds.
    start_unix_us: u64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// A clock that shows Unix time from now on.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_us: unix.as_micros() as u64 }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time(self.start_unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// The instant of a time, for timers; the start where the time is earlier.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.0.saturating_sub(self.start_unix_us))).into()
    }
}

/// The same span in the standard library's type.
pub fn span(of: Micros) -> Duration {
    Duration::from_micros(of.0)
}
