//! What a backend can do: its cores, their speed, and how it warms up after a start. Pure.

use shaletide_types::{Micros, Time};

/// A backend's machine. Its capacity is in standard cores: work done in a second, in seconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CpuCapacity {
    /// How many jobs have a core each.
    pub cores: u32,
    /// Of one core when warm, as a multiple of a standard core.
    pub speed: f64,
    /// The part of its speed that a backend has when it has just started, from 0 to 1.
    pub initial_capacity_fraction: f64,
    /// The rest comes evenly over so long.
    pub ramp: Micros,
}

/// The least warmth: a backend that does nothing at all would never end a job.
const LEAST: f64 = 1e-3;

impl CpuCapacity {
    /// So many cores of that speed that are warm from the start.
    pub fn warm(cores: u32, speed: f64) -> CpuCapacity {
        CpuCapacity { cores, speed, initial_capacity_fraction: 1.0, ramp: Micros(0) }
    }

    fn coldest(&self) -> f64 {
        self.initial_capacity_fraction.clamp(LEAST, 1.0)
    }

    /// The part of its speed that a backend has; one that started long ago (`None`) is warm.
    pub fn speed_fraction(&self, booted: Option<Time>, now: Time) -> f64 {
        match booted {
            Some(at) if now < at + self.ramp => {
                let gone = (now - at).0 as f64 / self.ramp.0 as f64;
                self.coldest() + (1.0 - self.coldest()) * gone
            }
            _ => 1.0,
        }
    }

    /// Standard cores at that moment, with every core at work.
    pub fn available_cores(&self, booted: Option<Time>, now: Time) -> f64 {
        f64::from(self.cores) * self.speed * self.speed_fraction(booted, now)
    }

    /// Work that the whole backend can do between two moments, ms of a standard core. Before its start it counts as
    /// cold as it starts.
    pub fn work_between(&self, booted: Option<Time>, from: Time, to: Time) -> f64 {
        let span = self.warm_us(booted, from.0 as f64, to.0 as f64);
        f64::from(self.cores) * self.speed * span / 1e3
    }

    /// The integral of warmth from one moment to another, µs.
    pub(crate) fn warm_us(&self, booted: Option<Time>, from: f64, to: f64) -> f64 {
        let Some(at) = booted else { return to - from };
        let (start, ramp, coldest) = (at.0 as f64, self.ramp.0 as f64, self.coldest());
        let upto = |t: f64| {
            let age = t - start;
            if age <= 0.0 {
                return coldest * age;
            }
            let rising = age.min(ramp);
            let gained = if ramp > 0.0 { (1.0 - coldest) * rising * rising / (2.0 * ramp) } else { 0.0 };
            coldest * rising + gained + (age - rising)
        };
        upto(to) - upto(from)
    }

    /// When the integral of warmth from `from` on comes to `span`, µs: the inverse of [`CpuCapacity::warm_us`].
    pub(crate) fn after_warm_us(&self, booted: Option<Time>, from: f64, span: f64) -> f64 {
        let Some(at) = booted else { return from + span };
        let (end, coldest) = ((at + self.ramp).0 as f64, self.coldest());
        let ramp = self.ramp.0 as f64;
        let left_of_ramp = if from < end { self.warm_us(booted, from, end) } else { 0.0 };
        if span >= left_of_ramp {
            return from.max(end) + (span - left_of_ramp);
        }
        // Warmth here is `now + slope * t`: solve now * t + slope * t^2 / 2 = span.
        let slope = (1.0 - coldest) / ramp;
        let now = coldest + slope * (from - at.0 as f64).max(0.0);
        from + 2.0 * span / (now + (now * now + 2.0 * slope * span).sqrt())
    }
}

#[cfg(test)]
mod tests;
