//! A backend's whole service: so many slots, a queue before them, cores that are shared, and waits that need none.
//! Pure: time is an argument.

use crate::{Completion, CpuCapacity, Processor};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Work, ms of a standard core.
    pub work_ms: f64,
    /// Waiting that holds the slot but no core, after the work.
    pub io: Micros,
}

/// What became of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot.
    Began,
    /// It waits for one.
    Queued,
    /// Slots and queue are full: it is not taken.
    Full,
}

/// What happened to a request that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceEvent {
    /// It came out of the queue.
    Began(Completion),
    /// It is served.
    Served(Completion),
}

/// One backend's slots, queue and cores.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    cores: Processor,
    slots: usize,
    queue: usize,
    queued: VecDeque<(u64, Demand)>,
    /// The wait that follows the work of each request on the cores.
    working: BTreeMap<u64, Micros>,
    waiting: BTreeSet<(Time, u64)>,
}

impl ServiceModel {
    /// One that is idle.
    pub fn new(power: CpuCapacity, booted: Option<Time>, slots: u32, queue: u32) -> ServiceModel {
        ServiceModel {
            cores: Processor::new(power, booted),
            slots: slots.max(1) as usize,
            queue: queue as usize,
            queued: VecDeque::new(),
            working: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Requests that hold a slot.
    pub fn in_service(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// A request of a new id comes. All that was due before must have been taken with [`ServiceModel::advance`].
    pub fn arrive(&mut self, now: Time, id: u64, demand: Demand) -> Admission {
        if self.in_service() < self.slots {
            self.begin(now, id, demand);
            return Admission::Began;
        }
        if self.queued.len() >= self.queue {
            return Admission::Full;
        }
        self.queued.push_back((id, demand));
        Admission::Queued
    }

    /// A request is withdrawn. Who waits takes its place at the next [`ServiceModel::advance`].
    pub fn cancel(&mut self, now: Time, id: u64) {
        self.queued.retain(|(other, _)| *other != id);
        self.waiting.retain(|(_, other)| *other != id);
        if self.working.remove(&id).is_some() {
            self.cores.cancel(now, id);
        }
    }

    /// From now on all work takes so many times as long; waits do not.
    pub fn set_slowdown(&mut self, now: Time, factor: f64) {
        self.cores.set_slowdown(now, factor);
    }

    /// When [`ServiceModel::advance`] has something to tell next, if nothing comes or goes.
    pub fn next_event(&self, now: Time) -> Option<Time> {
        if !self.queued.is_empty() && self.in_service() < self.slots {
            return Some(now);
        }
        let wait = self.waiting.first().map(|(at, _)| (*at).max(now));
        [self.cores.next_end(now), wait].into_iter().flatten().min()
    }

    /// Brings the station to `now` and tells what happened on the way, in order.
    pub fn advance(&mut self, now: Time) -> Vec<ServiceEvent> {
        let mut steps = Vec::new();
        self.fill(now, &mut steps);
        while let Some(at) = self.next_event(Time(0)).filter(|at| *at <= now) {
            for work in self.cores.advance(at) {
                if let Some(io) = self.working.remove(&work.id) {
                    self.waiting.insert((work.at + io, work.id));
                }
            }
            while let Some((end, id)) = self.waiting.first().copied().filter(|(end, _)| *end <= at) {
                self.waiting.pop_first();
                steps.push(ServiceEvent::Served(Completion { id, at: end }));
            }
            self.fill(at, &mut steps);
        }
        steps
    }

    fn begin(&mut self, now: Time, id: u64, demand: Demand) {
        self.working.insert(id, demand.io);
        self.cores.arrive(now, id, demand.work_ms);
    }

    fn fill(&mut self, now: Time, steps: &mut Vec<ServiceEvent>) {
        while self.in_service() < self.slots {
            let Some((id, demand)) = self.queued.pop_front() else { return };
            self.begin(now, id, demand);
            steps.push(ServiceEvent::Began(Completion { id, at: now }));
        }
    }
}

#[cfg(test)]
mod tests;
