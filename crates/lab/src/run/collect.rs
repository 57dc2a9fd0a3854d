//! The records of backends and list service, as samples.

use crate::experiment::Experiment;
use crate::samples::{BackendEnd, ClassInfo, PowerInfo, Sample};
use crate::site::{backend_count, deduplication_group_of, power, Site};
use shaletide_testkit::{Ended, Status};
use shaletide_types::Time;

/// The samples that describe the experiment.
pub fn head(experiment: &Experiment, seed: u64, command: &str) -> Vec<Sample> {
    let us = |time: std::time::Duration| time.as_micros() as u64;
    let class = |c: &crate::experiment::ClassPart| ClassInfo {
        name: c.name.clone(),
        idempotency: c.idempotency,
        deadline_us: us(c.deadline),
        latency_objective_us: us(c.latency_objective),
        priority_weight: c.priority_weight,
        window_us: if c.idempotency == crate::samples::Idempotency::Keyed { us(c.key_window) } else { 0 },
    };
    let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
    let mut samples = vec![Sample::Run {
        name: experiment.name.clone(),
        seed,
        proxies: experiment.fleet.proxies as u32,
        backends: backend_count(experiment) as u32,
        classes: experiment.classes.iter().map(class).collect(),
        cores: std::thread::available_parallelism().map_or(1, |n| n.get() as u32),
        build: format!("{} {profile}", env!("CARGO_PKG_VERSION")),
        command: command.to_string(),
        zones: experiment.fleet.zones.clone(),
        lasts_us: us(experiment.length),
    }];
    let power = power(experiment);
    let power = PowerInfo {
        cores: power.cores,
        speed: power.speed,
        initial_capacity_fraction: power.initial_capacity_fraction,
        ramp_us: power.ramp.0,
    };
    samples.extend((0..backend_count(experiment)).map(|n| Sample::Backend {
        backend: n as u32,
        name: experiment.backend_name(n),
        deduplication_group: deduplication_group_of(experiment, n) as u32,
        kind: "big".into(),
        zone: experiment.zone_of(n) as u32,
        power: Some(power),
    }));
    samples
}

fn end(ended: Option<(Time, Ended)>) -> BackendEnd {
    match ended.map(|(_, how)| how) {
        None => BackendEnd::Open,
        Some(Ended::Served | Ended::ServedUntilClose) => BackendEnd::Served,
        Some(Ended::TurnedAway) => BackendEnd::Rejected,
        Some(Ended::Failed) => BackendEnd::Failed,
        Some(Ended::Cancelled) => BackendEnd::Cancelled,
        Some(Ended::Hung) => BackendEnd::Hung,
        Some(Ended::Reset) => BackendEnd::Reset,
        Some(Ended::InvalidResponse) => BackendEnd::InvalidResponse,
        Some(Ended::BoxDied) => BackendEnd::BackendDied,
    }
}

/// What the backends recorded, and which endpoint updates each proxy was sent.
pub fn records(experiment: &Experiment, site: &Site, zero: Time, samples: &mut Vec<Sample>) {
    let us = |time: Time| (time - zero).0;
    let ledger = site.fleet.ledger();
    if ledger.unrecorded > 0 {
        let reason = format!("the backends had no room to record {} requests", ledger.unrecorded);
        samples.push(Sample::Void { reason });
    }
    for (backend, info) in ledger.backends.iter().enumerate() {
        for (boot, start) in info.boots.iter().enumerate() {
            let (at_us, died_us) = (start.at.map(us), start.died.map(us));
            samples.push(Sample::Boot { backend: backend as u32, boot: boot as u32, at_us, died_us });
        }
    }
    let class = |name: &str| experiment.classes.iter().position(|c| c.name == name);
    for record in &ledger.records {
        let Some(class) = class(&record.class) else { continue };
        samples.push(Sample::BackendRun {
            backend: record.backend as u32,
            boot: record.boot as u32,
            id: record.id.to_string(),
            key: record.key.as_deref().map(str::to_string),
            class: class as u32,
            came_us: Some(us(record.first_byte_at)),
            began_us: us(record.last_byte_at),
            ended_us: record.ended.map(|(at, _)| us(at)),
            end: end(record.ended),
            draining_since_us: record.draining.map(us),
            work_ms: record.work_ms,
        });
    }
    let number = |name: &str| (0..backend_count(experiment)).find(|n| experiment.backend_name(*n) == name);
    for update in site.list.deliveries() {
        let state = match update.status {
            Status::Serving => "serving",
            Status::Draining => "draining",
            Status::Deleted => "gone",
        };
        let Some(backend) = number(&update.name) else { continue };
        let (at_us, proxy, backend) = (us(update.at), update.watcher as u32, backend as u32);
        samples.push(Sample::EndpointUpdate { at_us, proxy, backend, state: state.into() });
    }
}
