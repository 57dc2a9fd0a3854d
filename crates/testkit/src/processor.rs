//! Processor sharing: what is in service shares the cores evenly, each job on one core at most. Pure: time is an
//! argument and never goes back.

use crate::CpuCapacity;
use shaletide_types::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A job that came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Which.
    pub id: u64,
    /// When, to the microsecond above.
    pub at: Time,
}

/// The cores of one backend and the jobs on them. As all jobs get the same, one running sum says how far each is:
/// a job ends when that sum has grown by its work. Each operation costs the logarithm of the jobs in service.
#[derive(Clone, Debug)]
pub struct Processor {
    power: CpuCapacity,
    booted: Option<Time>,
    /// Speed is divided by this.
    slowed: f64,
    /// The state is as of this moment, µs.
    at: f64,
    /// Work that a job in service all the time would have had so far, µs of a standard core.
    sum: f64,
    /// The sum at which each job ends, as bits: for numbers from 0 on these sort as the numbers do.
    ends: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, u64>,
    done: Vec<Completion>,
}

impl Processor {
    /// One that is idle, and cold if it has just started.
    pub fn new(power: CpuCapacity, booted: Option<Time>) -> Processor {
        Processor {
            power,
            booted,
            slowed: 1.0,
            at: 0.0,
            sum: 0.0,
            ends: BTreeSet::new(),
            jobs: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    /// Jobs in service.
    pub fn in_service(&self) -> usize {
        self.jobs.len()
    }

    /// Takes a job that needs so many ms of a standard core. An id that is in service already is put off: it
    /// begins again.
    pub fn arrive(&mut self, now: Time, id: u64, work_ms: f64) {
        self.settle(now);
        self.remove(id);
        let end = (self.sum + (work_ms * 1e3).max(0.0)).to_bits();
        self.jobs.insert(id, end);
        self.ends.insert((end, id));
    }

    /// Takes a job out. Whether it was in service.
    pub fn cancel(&mut self, now: Time, id: u64) -> bool {
        self.settle(now);
        self.remove(id)
    }

    /// From now on all work takes so many times as long.
    pub fn set_slowdown(&mut self, now: Time, factor: f64) {
        self.settle(now);
        self.slowed = factor.clamp(1e-3, 1e6);
    }

    /// When the next job ends if none comes or goes, not before `now`.
    pub fn next_end(&self, now: Time) -> Option<Time> {
        if let Some(done) = self.done.first() {
            return Some(done.at.max(now));
        }
        Some(Time(self.first_end()?.ceil() as u64).max(now))
    }

    /// The jobs that have ended by now, in that order, each told once.
    pub fn advance(&mut self, now: Time) -> Vec<Completion> {
        self.settle(now);
        std::mem::take(&mut self.done)
    }

    /// Work a job gets per time, in standard cores at full warmth.
    fn share(&self) -> f64 {
        let part = f64::from(self.power.cores) / self.jobs.len().max(1) as f64;
        self.power.speed / self.slowed * part.min(1.0)
    }

    fn first_end(&self) -> Option<f64> {
        let left = f64::from_bits(self.ends.first()?.0) - self.sum;
        Some(self.power.after_warm_us(self.booted, self.at, left.max(0.0) / self.share()))
    }

    /// Brings the state to `now`, past all jobs that end on the way.
    fn settle(&mut self, now: Time) {
        let now = now.0 as f64;
        while let Some(end) = self.first_end().filter(|end| end.ceil() <= now) {
            let Some((sum, id)) = self.ends.pop_first() else { return };
            self.jobs.remove(&id);
            self.sum = f64::from_bits(sum).max(self.sum);
            self.at = end.max(self.at);
            self.done.push(Completion { id, at: Time(end.ceil() as u64) });
        }
        if now > self.at {
            if self.jobs.is_empty() {
                self.sum = 0.0; // so that it never grows past what a float holds exactly enough
            } else {
                self.sum += self.share() * self.power.warm_us(self.booted, self.at, now);
            }
            self.at = now;
        }
    }

    fn remove(&mut self, id: u64) -> bool {
        let end = self.jobs.remove(&id);
        end.is_some_and(|end| self.ends.remove(&(end, id)))
    }
}

#[cfg(test)]
mod tests;
