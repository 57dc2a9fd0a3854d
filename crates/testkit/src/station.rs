//! A backend's whole service: so many slots, a queue before them, cores that are shared, and waits that need none.
//! Pure: time is an argument.

use crate::{Finished, Power, Processor};
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
pub enum Admitted {
    /// It has a slot.
    Began,
    /// It waits for one.
    Queued,
    /// Slots and queue are full: it is not taken.
    Full,
}

/// What happened to a request that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It came out of the queue.
    Began(Finished),
    /// It is served.
    Served(Finished),
}

/// One backend's slots, queue and cores.
#[derive(Clone, Debug)]
pub struct Station {
    cores: Processor,
    slots: usize,
    queue: usize,
    queued: VecDeque<(u64, Demand)>,
    /// The wait that follows the work of each request on the cores.
    working: BTreeMap<u64, Micros>,
    waiting: BTreeSet<(Time, u64)>,
}

impl Station {
    /// One that is idle.
    pub fn new(power: Power, booted: Option<Time>, slots: u32, queue: u32) -> Station {
        Station {
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

    /// A request of a new id comes. All that was due before must have been taken with [`Station::advance`].
    pub fn arrive(&mut self, now: Time, id: u64, demand: Demand) -> Admitted {
        if self.in_service() < self.slots {
            self.begin(now, id, demand);
            return Admitted::Began;
        }
        if self.queued.len() >= self.queue {
            return Admitted::Full;
        }
        self.queued.push_back((id, demand));
        Admitted::Queued
    }

    /// A request is withdrawn. Who waits takes its place at the next [`Station::advance`].
    pub fn cancel(&mut self, now: Time, id: u64) {
        self.queued.retain(|(other, _)| *other != id);
        self.waiting.retain(|(_, other)| *other != id);
        if self.working.remove(&id).is_some() {
            self.cores.cancel(now, id);
        }
    }

    /// From now on all work takes so many times as long; waits do not.
    pub fn slow(&mut self, now: Time, factor: f64) {
        self.cores.slow(now, factor);
    }

    /// When [`Station::advance`] has something to tell next, if nothing comes or goes.
    pub fn next(&self, now: Time) -> Option<Time> {
        if !self.queued.is_empty() && self.in_service() < self.slots {
            return Some(now);
        }
        let wait = self.waiting.first().map(|(at, _)| (*at).max(now));
        [self.cores.next_end(now), wait].into_iter().flatten().min()
    }

    /// Brings the station to `now` and tells what happened on the way, in order.
    pub fn advance(&mut self, now: Time) -> Vec<Step> {
        let mut steps = Vec::new();
        self.fill(now, &mut steps);
        while let Some(at) = self.next(Time(0)).filter(|at| *at <= now) {
            for work in self.cores.advance(at) {
                if let Some(io) = self.working.remove(&work.id) {
                    self.waiting.insert((work.at + io, work.id));
                }
            }
            while let Some((end, id)) = self.waiting.first().copied().filter(|(end, _)| *end <= at) {
                self.waiting.pop_first();
                steps.push(Step::Served(Finished { id, at: end }));
            }
            self.fill(at, &mut steps);
        }
        steps
    }

    fn begin(&mut self, now: Time, id: u64, demand: Demand) {
        self.working.insert(id, demand.io);
        self.cores.arrive(now, id, demand.work_ms);
    }

    fn fill(&mut self, now: Time, steps: &mut Vec<Step>) {
        while self.in_service() < self.slots {
            let Some((id, demand)) = self.queued.pop_front() else { return };
            self.begin(now, id, demand);
            steps.push(Step::Began(Finished { id, at: now }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Time {
        Time(ms * 1_000)
    }

    fn demand(work_ms: f64, io_ms: u64) -> Demand {
        Demand { work_ms, io: Micros(io_ms * 1_000) }
    }

    fn began(id: u64, at: u64) -> Step {
        Step::Began(Finished { id, at: ms(at) })
    }

    fn served(id: u64, at: u64) -> Step {
        Step::Served(Finished { id, at: ms(at) })
    }

    #[test]
    fn a_wait_holds_the_slot_and_no_core() {
        let mut station = Station::new(Power::warm(1, 1.0), None, 8, 0);
        assert_eq!(station.arrive(ms(0), 1, demand(10.0, 30)), Admitted::Began);
        assert_eq!(station.arrive(ms(0), 2, demand(10.0, 0)), Admitted::Began);
        assert_eq!(station.next(ms(0)), Some(ms(20)));
        assert_eq!(station.advance(ms(30)), [served(2, 20)]);
        assert_eq!((station.in_service(), station.next(ms(30))), (1, Some(ms(50))));
        station.arrive(ms(30), 3, demand(10.0, 0));
        assert_eq!(station.advance(ms(60)), [served(3, 40), served(1, 50)], "it had the core to itself");
    }

    #[test]
    fn slots_then_the_queue_fill_up_and_then_nothing_is_taken() {
        let mut station = Station::new(Power::warm(1, 1.0), None, 1, 1);
        assert_eq!(station.arrive(ms(0), 1, demand(10.0, 0)), Admitted::Began);
        assert_eq!(station.arrive(ms(0), 2, demand(10.0, 0)), Admitted::Queued);
        assert_eq!(station.arrive(ms(0), 3, demand(10.0, 0)), Admitted::Full);
        assert_eq!(station.advance(ms(99)), [served(1, 10), began(2, 10), served(2, 20)]);
        assert_eq!((station.in_service(), station.queued(), station.next(ms(99))), (0, 0, None));
    }

    #[test]
    fn what_is_cancelled_makes_room_for_who_waits() {
        let mut station = Station::new(Power::warm(1, 1.0), None, 1, 2);
        for id in 1..=3 {
            station.arrive(ms(0), id, demand(10.0, 10));
        }
        station.cancel(ms(5), 1);
        station.cancel(ms(5), 2);
        assert_eq!(station.next(ms(5)), Some(ms(5)));
        assert_eq!(station.advance(ms(5)), [began(3, 5)]);
        station.cancel(ms(20), 3); // in its wait
        assert_eq!((station.advance(ms(99)).len(), station.in_service()), (0, 0));
    }

    /// However coarsely it is looked at, the same happens at the same moments.
    #[test]
    fn the_steps_do_not_depend_on_how_often_it_is_looked_at() {
        let run = |every: u64| {
            let mut station = Station::new(Power::warm(2, 1.0), None, 3, 20);
            for id in 0..12 {
                station.arrive(ms(0), id, demand(3.0 + id as f64, id % 4));
            }
            (1..=200 / every).flat_map(|n| station.advance(ms(n * every))).collect::<Vec<_>>()
        };
        assert_eq!(run(1).len(), 21);
        assert_eq!(run(1), run(200));
        assert_eq!(run(1), run(8));
    }
}
