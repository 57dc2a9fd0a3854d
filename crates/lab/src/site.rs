//! What the proxies forward to: backends by testkit's model, and the list service, whose changes the lab can delay.

use crate::experiment::{BackendFault, Experiment, ListState};
use shaletide_testkit::{
    BackendHandle, BackendSpec, Clock, CongestionConfig, CpuCapacity, Entry, Fault, Fleet, FleetSpec,
    ListServer, ListService, Service, View,
};
use shaletide_types::{Micros, Time};
use std::collections::VecDeque;
use std::io;

/// Records of requests at backends that are kept; a run with more is void. One takes about 250 bytes.
pub const MAX_RUNS_KEPT: usize = 1_500_000;

/// The deduplication group of a backend; all of its backends are in one zone.
pub fn deduplication_group_of(experiment: &Experiment, number: usize) -> usize {
    let (slot, zones) = (number % experiment.backends.count, experiment.fleet.zones.len());
    (slot / zones / experiment.backends.deduplication_group_size) * zones + slot % zones
}

/// The number of backends, spares included.
pub fn backend_count(experiment: &Experiment) -> usize {
    experiment.backends.count * if experiment.replaces() { 2 } else { 1 }
}

/// The capacity of a backend.
pub fn power(experiment: &Experiment) -> CpuCapacity {
    let backends = &experiment.backends;
    let ramp = Micros(backends.ramp.as_micros() as u64);
    CpuCapacity {
        cores: backends.cores,
        speed: backends.speed,
        initial_capacity_fraction: backends.initial_capacity_fraction,
        ramp,
    }
}

fn spec(experiment: &Experiment, number: usize) -> BackendSpec {
    let backends = &experiment.backends;
    BackendSpec {
        zone: experiment.fleet.zones[experiment.zone_of(number)].clone(),
        deduplication_group: deduplication_group_of(experiment, number) as u64,
        slots: backends.slots,
        queue: backends.queue,
        drain_grace: backends.grace,
        idle_timeout: backends.idle,
        handshake_ms: backends.handshake_ms,
        congestion: backends
            .crowded
            .map(|held| CongestionConfig { in_flight_threshold: held, slowdown: backends.crowded_slower }),
        ..BackendSpec::new(&experiment.backend_name(number), power(experiment))
    }
}

/// Starts the backends; spares stay down until they replace another.
///
/// # Errors
/// No port, no thread, or no descriptors.
pub fn start_backends(experiment: &Experiment, seed: u64, clock: Clock) -> io::Result<Fleet> {
    let backends = (0..backend_count(experiment)).map(|n| spec(experiment, n)).collect();
    let service = |c: &crate::experiment::ClassPart| Service {
        class: c.name.clone(),
        work_ms: c.work_ms,
        io_ms: c.io_ms,
        body_bytes: c.body,
    };
    let services = experiment.classes.iter().map(service).collect();
    let max_records = MAX_RUNS_KEPT;
    let fleet = Fleet::with(FleetSpec { services, seed, clock, max_records, ..FleetSpec::new(backends) })?;
    for spare in &fleet.backends()[experiment.backends.count..] {
        spare.kill();
    }
    Ok(fleet)
}

/// A change of the endpoint list.
#[derive(Clone, Debug)]
enum Change {
    Put(Entry),
    Drain(String),
    Delete(String),
}

/// The backends and the list service of a run.
#[derive(Debug)]
pub struct Site {
    /// The backends.
    pub fleet: Fleet,
    /// The list service; each proxy is a watcher.
    pub list: ListServer,
    /// The active backend of each slot: the original or its spare.
    active: Vec<usize>,
    /// Changes that the list service does not know yet, and when each is due.
    pending: VecDeque<(Time, Change)>,
    configured_delay: Micros,
    delay: Micros,
    frozen: bool,
    clock: Clock,
}

impl Site {
    /// Starts a list service over running backends; `views` has the addresses that it gives each proxy for them.
    ///
    /// # Errors
    /// No port, no thread, or no descriptors.
    pub fn new(experiment: &Experiment, fleet: Fleet, views: Vec<View>) -> io::Result<Site> {
        let count = experiment.backends.count;
        let entries = fleet.backends()[..count].iter().map(BackendHandle::entry).collect();
        let names: Vec<String> = (0..experiment.fleet.proxies).map(|p| format!("p{p}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let list = ListServer::with_views(fleet.clock(), &names, entries, views)?;
        let configured_delay = Micros(experiment.list.late.as_micros() as u64);
        let clock = fleet.clock();
        let active = (0..count).collect();
        Ok(Site {
            fleet,
            list,
            active,
            pending: VecDeque::new(),
            configured_delay,
            delay: configured_delay,
            frozen: false,
            clock,
        })
    }

    /// The number of the active backend of a slot.
    pub fn number(&self, slot: usize) -> usize {
        self.active[slot]
    }

    /// The active backend of a slot.
    pub fn active(&self, slot: usize) -> &BackendHandle {
        &self.fleet.backends()[self.active[slot]]
    }

    fn change(&mut self, change: Change) {
        self.pending.push_back((self.clock.now() + self.delay, change));
        self.tick();
    }

    /// Applies the changes that are due to the list service. To be called often.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        while !self.frozen && self.pending.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, change)) = self.pending.pop_front() else { return };
            match change {
                Change::Put(entry) => self.list.put(entry),
                Change::Drain(name) => self.list.drain(&name),
                Change::Delete(name) => self.list.delete(&name),
            };
        }
    }

    /// Changes the list service's state.
    pub fn set_list(&mut self, state: ListState) {
        let service = match state {
            ListState::Down => ListService::Broken,
            ListState::Silent => ListService::Silent,
            ListState::Up | ListState::Frozen | ListState::Late(_) => ListService::Up,
        };
        self.frozen = state == ListState::Frozen;
        self.delay = match state {
            ListState::Late(by) => Micros(by.as_micros() as u64),
            _ => self.configured_delay,
        };
        if state == ListState::Up {
            // Delayed changes become known at once.
            self.pending.iter_mut().for_each(|(due, _)| *due = Time(0));
        }
        self.list.set_service(service);
        self.tick();
    }

    /// Drains the active backend of a slot, in the list too.
    pub fn drain(&mut self, slot: usize) {
        let name = self.active(slot).spec.name.clone();
        self.active(slot).drain();
        self.change(Change::Drain(name));
    }

    /// Kills the active backend of a slot; the list does not change.
    pub fn kill(&mut self, slot: usize) {
        self.active(slot).kill();
    }

    /// Restarts the active backend of a slot, cold, and lists it.
    pub fn start(&mut self, slot: usize) {
        self.active(slot).restart();
        let entry = self.active(slot).entry();
        self.change(Change::Put(entry));
    }

    /// Drains the active backend of a slot and lists its spare, cold, in its stead.
    pub fn replace(&mut self, slot: usize) {
        self.drain(slot);
        let (count, old) = (self.active.len(), self.active[slot]);
        self.active[slot] = if old < count { old + count } else { old - count };
        if self.active[slot] < self.fleet.backends().len() {
            self.start(slot);
        } else {
            self.active[slot] = old;
        }
    }

    /// Kills the backend that was replaced in a slot and removes it from the list. Its number, if there is one.
    pub fn replaced(&mut self, slot: usize) -> Option<usize> {
        let (count, new) = (self.active.len(), self.active[slot]);
        let old = if new < count { new + count } else { new - count };
        let handle = self.fleet.backends().get(old)?;
        handle.kill();
        let name = handle.spec.name.clone();
        self.change(Change::Delete(name));
        Some(old)
    }

    /// Sets the fault of the active backend of a slot.
    pub fn fault(&mut self, slot: usize, fault: BackendFault) {
        let backend = self.active(slot);
        match fault {
            BackendFault::Slow(times) => backend.set_fault(Fault::Slow(times)),
            BackendFault::Silent(part) => backend.set_fault(Fault::Hang(part)),
            BackendFault::Fail(part) => backend.set_fault(Fault::Fail(part)),
            BackendFault::Well => backend.set_fault(Fault::Cleared),
        };
    }
}
