//! Specifications of a fleet, its backends and the work of its request classes.

use crate::{Clock, CongestionConfig, CpuCapacity, Demand, Distribution, SeededRng, MAX_RECORDS};
use shaletide_types::Micros;
use std::time::Duration;

/// The specification of a backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Its server type, as reported by discovery.
    pub kind: String,
    /// Its zone, as reported by discovery.
    pub zone: String,
    /// Its deduplication group. The backends of a group share the idempotency keys that they have seen.
    pub deduplication_group: u64,
    /// Its capacity.
    pub cpu_capacity: CpuCapacity,
    /// Largest number of requests in service.
    pub slots: u32,
    /// Largest number of requests that wait for a slot.
    pub queue: u32,
    /// Whether the backend starts together with the fleet and so is cold; otherwise it is warm.
    pub cold: bool,
    /// Time after a drain command in which the backend still takes new requests.
    pub drain_grace: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Largest number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Work for a new connection, ms of a standard core, during which it holds a slot. 0 for none.
    pub handshake_ms: f64,
    /// How the backend reacts to too many requests; `None` if it does not slow down.
    pub congestion: Option<CongestionConfig>,
}

impl BackendSpec {
    /// Returns a warm backend in zone `east`, of server type `big`, in deduplication group 1, with 64 slots and a queue
    /// of 64.
    pub fn new(name: &str, cpu_capacity: CpuCapacity) -> BackendSpec {
        BackendSpec {
            name: name.into(),
            kind: "big".into(),
            zone: "east".into(),
            deduplication_group: 1,
            cpu_capacity,
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

/// The resources that the requests of a class need.
#[derive(Clone, Debug)]
pub struct Service {
    /// The class, which is the first segment of the path; empty for all classes without an entry.
    pub class: String,
    /// Work, ms of a standard core.
    pub work_ms: Distribution,
    /// Wait after the work that uses no core, ms.
    pub io_ms: Distribution,
    /// Size in bytes of the backend's own answer body.
    pub body_bytes: usize,
}

impl Service {
    /// Returns a class whose requests need this work, no wait and no larger body.
    pub fn new(class: &str, work_ms: Distribution) -> Service {
        Service { class: class.into(), work_ms, io_ms: Distribution::Fixed(0.0), body_bytes: 0 }
    }

    /// Returns what the request with that id needs, which is the same at every backend.
    pub(crate) fn demand(&self, seed: u64, id: &str) -> Demand {
        let mut rng = SeededRng::named(seed, id);
        let work_ms = self.work_ms.sample(&mut rng);
        Demand { work_ms, io: Micros::from_secs(self.io_ms.sample(&mut rng) / 1e3) }
    }
}

/// The specification of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Its backends. The handles have the same order.
    pub backends: Vec<BackendSpec>,
    /// The needs of the request classes. Other classes use the entry with an empty name or, without one, 1 ms of work.
    pub services: Vec<Service>,
    /// Seed of all random numbers of the fleet.
    pub seed: u64,
    /// The run's clock.
    pub clock: Clock,
    /// See [`crate::Ledger::max_records`].
    pub max_records: usize,
}

impl FleetSpec {
    /// Returns a fleet of these backends, with 1 ms of work per request.
    pub fn new(backends: Vec<BackendSpec>) -> FleetSpec {
        FleetSpec { backends, services: Vec::new(), seed: 1, clock: Clock::start(), max_records: MAX_RECORDS }
    }

    /// Returns the service of a class.
    pub(crate) fn service(&self, class: &str) -> Service {
        let named = |name: &str| self.services.iter().find(|s| s.class == name).cloned();
        named(class).or_else(|| named("")).unwrap_or_else(|| Service::new("", Distribution::Fixed(1.0)))
    }
}
