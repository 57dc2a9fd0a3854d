//! Model of how a backend serves requests: a number of slots, a queue in front of them, shared cores, and I/O waits that
//! use no core. Pure: time is an argument.

use crate::{Completion, CpuCapacity, Processor};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The resources that a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Work, ms of a standard core.
    pub work_ms: f64,
    /// Wait after the work that holds the slot but no core.
    pub io: Micros,
}

/// The outcome of a request's arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot.
    Began,
    /// The request waits for a slot.
    Queued,
    /// Slots and queue are full: the request is rejected.
    Full,
}

/// An event of a request that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceEvent {
    /// The request left the queue and got a slot.
    Began(Completion),
    /// The request is served.
    Served(Completion),
}

/// The slots, the queue and the cores of one backend.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    cores: Processor,
    slots: usize,
    queue: usize,
    queued: VecDeque<(u64, Demand)>,
    /// The I/O wait that follows the work, for each request on the cores.
    working: BTreeMap<u64, Micros>,
    waiting: BTreeSet<(Time, u64)>,
}

impl ServiceModel {
    /// Returns an idle backend.
    pub fn new(cpu_capacity: CpuCapacity, booted: Option<Time>, slots: u32, queue: u32) -> ServiceModel {
        ServiceModel {
            cores: Processor::new(cpu_capacity, booted),
            slots: slots.max(1) as usize,
            queue: queue as usize,
            queued: VecDeque::new(),
            working: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_service(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Adds a request with a new id. [`ServiceModel::advance`] must have been called for all events that were due before.
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

    /// Removes a request. A queued request gets its slot at the next [`ServiceModel::advance`].
    pub fn cancel(&mut self, now: Time, id: u64) {
        self.queued.retain(|(other, _)| *other != id);
        self.waiting.retain(|(_, other)| *other != id);
        if self.working.remove(&id).is_some() {
            self.cores.cancel(now, id);
        }
    }

    /// Makes all work take `factor` times as long from `now` on. I/O waits are not affected.
    pub fn set_slowdown(&mut self, now: Time, factor: f64) {
        self.cores.set_slowdown(now, factor);
    }

    /// Returns the time of the next event of [`ServiceModel::advance`], provided that no request arrives or is cancelled.
    pub fn next_event(&self, now: Time) -> Option<Time> {
        if !self.queued.is_empty() && self.in_service() < self.slots {
            return Some(now);
        }
        let wait = self.waiting.first().map(|(at, _)| (*at).max(now));
        [self.cores.next_end(now), wait].into_iter().flatten().min()
    }

    /// Advances the model to `now` and returns the events on the way, in order.
    pub fn advance(&mut self, now: Time) -> Vec<ServiceEvent> {
        let mut events = Vec::new();
        self.fill_slots(now, &mut events);
        while let Some(at) = self.next_event(Time(0)).filter(|at| *at <= now) {
            for work in self.cores.advance(at) {
                if let Some(io) = self.working.remove(&work.id) {
                    self.waiting.insert((work.at + io, work.id));
                }
            }
            while let Some((end, id)) = self.waiting.first().copied().filter(|(end, _)| *end <= at) {
                self.waiting.pop_first();
                events.push(ServiceEvent::Served(Completion { id, at: end }));
            }
            self.fill_slots(at, &mut events);
        }
        events
    }

    fn begin(&mut self, now: Time, id: u64, demand: Demand) {
        self.working.insert(id, demand.io);
        self.cores.arrive(now, id, demand.work_ms);
    }

    fn fill_slots(&mut self, now: Time, events: &mut Vec<ServiceEvent>) {
        while self.in_service() < self.slots {
            let Some((id, demand)) = self.queued.pop_front() else { return };
            self.begin(now, id, demand);
            events.push(ServiceEvent::Began(Completion { id, at: now }));
        }
    }
}

#[cfg(test)]
mod tests;
