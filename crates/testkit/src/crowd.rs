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
pub struct Crowd {
    /// More requests than this in the mean over about 2 s are too many.
    pub held: f64,
    /// Its work takes so many times as long then.
    pub slower: f64,
}

/// One backend's memory of how crowded it was.
#[derive(Clone, Debug)]
pub struct Crowding {
    crowd: Crowd,
    held: f64,
    busy: f64,
    since: Option<Time>,
}

impl Crowding {
    /// It is to be looked at so often.
    pub const LOOK: Micros = Micros(100_000);

    /// One that holds nothing.
    pub fn new(crowd: Crowd) -> Crowding {
        Crowding { crowd, held: 0.0, busy: 0.0, since: None }
    }

    /// How many times as long its work takes.
    pub fn slower(&self) -> f64 {
        if self.since.is_some() {
            self.crowd.slower
        } else {
            1.0
        }
    }

    /// It holds so many. Whether [`Crowding::slower`] has changed by it.
    pub fn look(&mut self, now: Time, held: usize) -> bool {
        let step = |memory_s: f64| 1.0 - (-Crowding::LOOK.secs() / memory_s).exp();
        self.held += (held as f64 - self.held) * step(CROWD_S);
        self.busy += (f64::from(u8::from(held > 0)) - self.busy) * step(REST_S / 2.0);
        match self.since {
            None if self.held > self.crowd.held => {
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
