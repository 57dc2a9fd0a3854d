//! The capacity of a backend: its cores, their speed and its warm-up after a start. Pure.

use shaletide_types::{Micros, Time};

/// The processor of a backend. Capacities are in standard cores: the work done per second, in seconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CpuCapacity {
    /// Number of cores; a job uses one core at most.
    pub cores: u32,
    /// Speed of one warm core, as a multiple of a standard core.
    pub speed: f64,
    /// Fraction of the full speed right after a start, from 0 to 1.
    pub initial_capacity_fraction: f64,
    /// Time after a start in which the speed rises linearly to the full speed.
    pub ramp: Micros,
}

/// Lowest speed fraction. A backend with a speed of 0 would never finish a job.
const MIN_SPEED_FRACTION: f64 = 1e-3;

impl CpuCapacity {
    /// Returns a processor with `cores` cores of that speed and without a warm-up.
    pub fn warm(cores: u32, speed: f64) -> CpuCapacity {
        CpuCapacity { cores, speed, initial_capacity_fraction: 1.0, ramp: Micros(0) }
    }

    fn initial_fraction(&self) -> f64 {
        self.initial_capacity_fraction.clamp(MIN_SPEED_FRACTION, 1.0)
    }

    /// Returns the fraction of the full speed at `now`. A backend that started before the run (`None`) is warm.
    pub fn speed_fraction(&self, booted: Option<Time>, now: Time) -> f64 {
        match booted {
            Some(at) if now < at + self.ramp => {
                let elapsed = (now - at).0 as f64 / self.ramp.0 as f64;
                self.initial_fraction() + (1.0 - self.initial_fraction()) * elapsed
            }
            _ => 1.0,
        }
    }

    /// Returns the capacity at `now` in standard cores, with every core busy.
    pub fn available_cores(&self, booted: Option<Time>, now: Time) -> f64 {
        f64::from(self.cores) * self.speed * self.speed_fraction(booted, now)
    }

    /// Returns the work that all cores can do from `from` to `to`, in ms of a standard core. Time before the start counts
    /// with the initial speed.
    pub fn work_between(&self, booted: Option<Time>, from: Time, to: Time) -> f64 {
        let warm_us = self.warm_us(booted, from.0 as f64, to.0 as f64);
        f64::from(self.cores) * self.speed * warm_us / 1e3
    }

    /// Returns the integral of the speed fraction from `from` to `to`, µs.
    pub(crate) fn warm_us(&self, booted: Option<Time>, from: f64, to: f64) -> f64 {
        let Some(at) = booted else { return to - from };
        let (start, ramp, initial_fraction) = (at.0 as f64, self.ramp.0 as f64, self.initial_fraction());
        let integral_until = |t: f64| {
            let age = t - start;
            if age <= 0.0 {
                return initial_fraction * age;
            }
            let rising = age.min(ramp);
            let gained =
                if ramp > 0.0 { (1.0 - initial_fraction) * rising * rising / (2.0 * ramp) } else { 0.0 };
            initial_fraction * rising + gained + (age - rising)
        };
        integral_until(to) - integral_until(from)
    }

    /// Returns the time at which the integral of the speed fraction from `from` on reaches `span`, µs: the inverse of
    /// [`CpuCapacity::warm_us`].
    pub(crate) fn after_warm_us(&self, booted: Option<Time>, from: f64, span: f64) -> f64 {
        let Some(at) = booted else { return from + span };
        let (end, initial_fraction) = ((at + self.ramp).0 as f64, self.initial_fraction());
        let ramp = self.ramp.0 as f64;
        let left_of_ramp = if from < end { self.warm_us(booted, from, end) } else { 0.0 };
        if span >= left_of_ramp {
            return from.max(end) + (span - left_of_ramp);
        }
        // The speed fraction at `t` after `from` is `now + slope * t`: solve now * t + slope * t^2 / 2 = span.
        let slope = (1.0 - initial_fraction) / ramp;
        let now = initial_fraction + slope * (from - at.0 as f64).max(0.0);
        from + 2.0 * span / (now + (now * now + 2.0 * slope * span).sqrt())
    }
}

#[cfg(test)]
mod tests;
