//! Processor sharing: the jobs in service share the cores evenly, each on one core at most. Pure: time is an argument and
//! never goes back.

use crate::CpuCapacity;
use shaletide_types::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The id of the job.
    pub id: u64,
    /// When it ended, rounded up to a microsecond.
    pub at: Time,
}

/// The cores of one backend and the jobs on them. All jobs get the same share, so one running sum gives the progress of
/// each: a job ends when the sum has grown by its work. An operation costs O(log n) for n jobs in service.
#[derive(Clone, Debug)]
pub struct Processor {
    capacity: CpuCapacity,
    booted: Option<Time>,
    /// Divisor of the speed.
    slowdown: f64,
    /// The time of the state, µs.
    at: f64,
    /// Work that a job in service from the start would have received so far, µs of a standard core.
    sum: f64,
    /// The sum at which each job ends, as the bits of an `f64`: for numbers from 0 on, bits sort in the order of the
    /// numbers.
    ends: BTreeSet<(u64, u64)>,
    jobs: BTreeMap<u64, u64>,
    done: Vec<Completion>,
}

impl Processor {
    /// Returns idle cores, which are cold if the backend has just started.
    pub fn new(capacity: CpuCapacity, booted: Option<Time>) -> Processor {
        Processor {
            capacity,
            booted,
            slowdown: 1.0,
            at: 0.0,
            sum: 0.0,
            ends: BTreeSet::new(),
            jobs: BTreeMap::new(),
            done: Vec::new(),
        }
    }

    /// Returns the number of jobs in service.
    pub fn in_service(&self) -> usize {
        self.jobs.len()
    }

    /// Adds a job that needs `work_ms` ms of a standard core. A job with an id that is already in service is restarted with that work.
    pub fn arrive(&mut self, now: Time, id: u64, work_ms: f64) {
        self.settle(now);
        self.remove(id);
        let end = (self.sum + (work_ms * 1e3).max(0.0)).to_bits();
        self.jobs.insert(id, end);
        self.ends.insert((end, id));
    }

    /// Removes a job. Returns whether it was in service.
    pub fn cancel(&mut self, now: Time, id: u64) -> bool {
        self.settle(now);
        self.remove(id)
    }

    /// Makes all work take `factor` times as long from `now` on.
    pub fn set_slowdown(&mut self, now: Time, factor: f64) {
        self.settle(now);
        self.slowdown = factor.clamp(1e-3, 1e6);
    }

    /// Returns when the next job ends, provided that none is added or removed; never before `now`.
    pub fn next_end(&self, now: Time) -> Option<Time> {
        if let Some(done) = self.done.first() {
            return Some(done.at.max(now));
        }
        Some(Time(self.first_end()?.ceil() as u64).max(now))
    }

    /// Returns the jobs that have ended by `now`, in the order of their ends, each once.
    pub fn advance(&mut self, now: Time) -> Vec<Completion> {
        self.settle(now);
        std::mem::take(&mut self.done)
    }

    /// Returns the work that a job receives per time, in standard cores at full speed.
    fn share(&self) -> f64 {
        let part = f64::from(self.capacity.cores) / self.jobs.len().max(1) as f64;
        self.capacity.speed / self.slowdown * part.min(1.0)
    }

    fn first_end(&self) -> Option<f64> {
        let left = f64::from_bits(self.ends.first()?.0) - self.sum;
        Some(self.capacity.after_warm_us(self.booted, self.at, left.max(0.0) / self.share()))
    }

    /// Advances the state to `now` and ends all jobs that are due on the way.
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
                self.sum = 0.0; // keeps the sum small enough for the precision of `f64`
            } else {
                self.sum += self.share() * self.capacity.warm_us(self.booted, self.at, now);
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
