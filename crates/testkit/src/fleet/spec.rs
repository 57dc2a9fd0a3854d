//! What a fleet is made of.

use crate::{Clock, CongestionConfig, CpuCapacity, Demand, Distribution, SeededRng, MAX_RECORDS};
use shaletide_types::Micros;
use std::time::Duration;

/// One backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// The same at every proxy.
    pub name: String,
    /// Its kind, as discovery tells it.
    pub kind: String,
    /// Its zone, as discovery tells it.
    pub zone: String,
    /// Backends of one bay share the keys that they have seen.
    pub deduplication_group: u64,
    /// What it can do.
    pub cpu_capacity: CpuCapacity,
    /// Requests in service at a time.
    pub slots: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// It has just started when the fleet does.
    pub cold: bool,
    /// For so long it takes new requests after it was told to drain.
    pub drain_grace: Duration,
    /// A connection at rest is closed after so long.
    pub idle_timeout: Duration,
    /// Connections at a time; further ones are closed at once.
    pub max_connections: usize,
    /// Work that a new connection brings, ms of a standard core; it takes a slot meanwhile. 0: none.
    pub handshake_ms: f64,
    /// What a crowd does to it; none: nothing.
    pub congestion: Option<CongestionConfig>,
}

impl BackendSpec {
    /// A warm backend in zone `east`, kind `big`, bay 1, with 64 slots and a queue of 64.
    pub fn new(name: &str, power: CpuCapacity) -> BackendSpec {
        BackendSpec {
            name: name.into(),
            kind: "big".into(),
            zone: "east".into(),
            deduplication_group: 1,
            cpu_capacity: power,
            slots: 64,
            queue: 64,
            cold: false,
            drain_grace: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            max_connections: 4096,
            handshake_ms: 0.0,
            congestion: None,
        }
    }
}

/// What the requests of a class need.
#[derive(Clone, Debug)]
pub struct Service {
    /// The first part of the path; empty for classes not named.
    pub class: String,
    /// Work, ms of a standard core.
    pub work_ms: Distribution,
    /// Waiting after the work that needs no core, ms.
    pub io_ms: Distribution,
    /// Bytes of the answer's body, where that is the backend's own.
    pub body_bytes: usize,
}

impl Service {
    /// A class whose requests need that work and nothing else.
    pub fn new(class: &str, work_ms: Distribution) -> Service {
        Service { class: class.into(), work_ms, io_ms: Distribution::Fixed(0.0), body_bytes: 0 }
    }

    /// What the request of that id needs: the same at every backend.
    pub(crate) fn demand(&self, seed: u64, id: &str) -> Demand {
        let mut rng = SeededRng::named(seed, id);
        let work_ms = self.work_ms.sample(&mut rng);
        Demand { work_ms, io: Micros::from_secs(self.io_ms.sample(&mut rng) / 1e3) }
    }
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Its backends; handles come in the same order.
    pub backends: Vec<BackendSpec>,
    /// What classes need. One of an empty name, or else 1 ms of work, is for all others.
    pub services: Vec<Service>,
    /// Of all its random numbers.
    pub seed: u64,
    /// The run's clock.
    pub clock: Clock,
    /// See [`crate::Ledger::max_records`].
    pub max_records: usize,
}

impl FleetSpec {
    /// These backends, where each request is 1 ms of work.
    pub fn new(boxes: Vec<BackendSpec>) -> FleetSpec {
        FleetSpec {
            backends: boxes,
            services: Vec::new(),
            seed: 1,
            clock: Clock::start(),
            max_records: MAX_RECORDS,
        }
    }

    /// The service of a class.
    pub(crate) fn service(&self, class: &str) -> Service {
        let named = |name: &str| self.services.iter().find(|s| s.class == name).cloned();
        named(class).or_else(|| named("")).unwrap_or_else(|| Service::new("", Distribution::Fixed(1.0)))
    }
}
