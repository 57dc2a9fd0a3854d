//! One clock for all stand-ins of a run, so that their records can be held against each other.

use shaletide_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the run began; copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins at 0 now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Now.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// That moment of the process's clock.
    pub fn at(&self, moment: Instant) -> Time {
        Time(moment.saturating_duration_since(self.0).as_micros() as u64)
    }

    /// When the process's clock says so.
    pub fn instant(&self, time: Time) -> Instant {
        self.0 + Duration::from_micros(time.0)
    }

    /// A moment as discovery writes it: Unix time, ms.
    pub fn unix_ms(&self, time: Time) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ago = self.now() - time;
        (now.as_micros() as u64).saturating_sub(ago.0) / 1000
    }
}
