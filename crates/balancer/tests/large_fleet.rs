//! 350 proxies in front of 1,024 backends: subsets cover all backends, and large list updates are applied completely.

mod common;

use common::*;
use shaletide_balancer::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const PROXIES: u32 = 350;
const BACKENDS: u32 = 1_024;
/// Far more than an unoptimised build takes, and far less than an algorithm with quadratic cost would.
const MAX_DURATION: Duration = Duration::from_secs(60);

fn backends(numbers: std::ops::Range<u32>, state: BackendState) -> Vec<BackendEntry> {
    numbers.map(|id| BackendEntry { state, ..backend(id, id % 4, id % 2) }).collect()
}

/// Creates one of the proxies, with the whole list.
fn proxy(position: u32) -> Harness {
    let cfg = Config { proxies: PROXIES, position, cross_zone_cost: 0.0, ..Config::example() };
    let mut harness = Harness::new(cfg, u64::from(position));
    harness.update_endpoints(EndpointUpdate::Snapshot, backends(0..BACKENDS, BackendState::Ready));
    harness
}

/// Sends requests one by one, all of which are served. Returns the backends that they were sent to.
fn used(harness: &mut Harness, requests: usize) -> BTreeSet<u32> {
    let mut used = BTreeSet::new();
    for _ in 0..requests {
        let id = harness.send_request(0, 900_000);
        used.extend(harness.backends_tried(id));
        harness.serve_all_in_flight(10_000);
        assert_eq!(harness.requests[&id].answer, Some("served"));
    }
    used
}

/// Each proxy uses a subset, about twenty proxies share a backend, and together the subsets cover all backends.
#[test]
fn subsets_of_350_proxies_cover_1024_backends() {
    let started = Instant::now();
    let mut users = vec![0u32; BACKENDS as usize];
    for position in 0..PROXIES {
        let subset = used(&mut proxy(position), 40);
        assert!((20..=80).contains(&subset.len()), "{position} uses {} backends", subset.len());
        subset.into_iter().for_each(|id| users[id as usize] += 1);
    }
    let unused = users.iter().filter(|n| **n == 0).count();
    assert_eq!(unused, 0, "{unused} backends are used by no proxy: {users:?}");
    assert!(started.elapsed() < MAX_DURATION, "{:?}", started.elapsed());
}

/// [`Harness`] checks that no attempt is sent to a backend that is draining or gone.
#[test]
fn deltas_and_snapshots_of_1024_backends_are_applied_completely() {
    for position in [0, 174, 349] {
        let mut harness = proxy(position);
        used(&mut harness, 20);
        harness.update_endpoints(EndpointUpdate::Delta, backends(0..BACKENDS / 2, BackendState::Draining));
        assert!(used(&mut harness, 40).iter().all(|id| *id >= BACKENDS / 2));
        harness.update_endpoints(EndpointUpdate::Snapshot, backends(0..BACKENDS / 2, BackendState::Ready));
        assert!(used(&mut harness, 40).iter().all(|id| *id < BACKENDS / 2));
        harness.update_endpoints(EndpointUpdate::Delta, backends(0..BACKENDS / 2, BackendState::Gone));
        let id = harness.send_request(0, 900_000);
        assert!(harness.backends_tried(id).is_empty(), "sent although no backend is left");
        harness.update_endpoints(EndpointUpdate::Snapshot, backends(0..BACKENDS, BackendState::Ready));
        assert!(!used(&mut harness, 40).is_empty());
    }
}
