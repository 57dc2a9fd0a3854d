//! 350 proxies before 1,024 backends: no backend and no proxy is beyond a bound.

mod common;

use common::*;
use shaletide_balancer::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const PROXIES: u32 = 350;
const BACKENDS: u32 = 1_024;
/// Far more than a build without optimisation takes, and far less than a cost that grows with the square would.
const PATIENCE: Duration = Duration::from_secs(60);

fn backends(numbers: std::ops::Range<u32>, state: BackendState) -> Vec<BackendEntry> {
    numbers.map(|id| BackendEntry { state, ..backend(id, id % 4, id % 2) }).collect()
}

/// One of the proxies, which has the whole list.
fn proxy(position: u32) -> Host {
    let cfg = Config { proxies: PROXIES, position, cross_zone_cost: 0.0, ..Config::example() };
    let mut host = Host::new(cfg, u64::from(position));
    host.members(EndpointUpdate::Snapshot, backends(0..BACKENDS, BackendState::Ready));
    host
}

/// So many requests one after the other, all served; where they went.
fn used(host: &mut Host, requests: usize) -> BTreeSet<u32> {
    let mut used = BTreeSet::new();
    for _ in 0..requests {
        let id = host.arrive(0, 900_000);
        used.extend(host.sent_to(id));
        host.serve_all(10_000);
        assert_eq!(host.requests[&id].answer, Some("served"));
    }
    used
}

/// Each proxy uses a slice, of which twenty share a backend, and all slices together cover all.
#[test]
fn every_backend_of_1024_is_used_by_some_of_350_proxies() {
    let started = Instant::now();
    let mut users = vec![0u32; BACKENDS as usize];
    for position in 0..PROXIES {
        let slice = used(&mut proxy(position), 40);
        assert!((20..=80).contains(&slice.len()), "{position} uses {} backends", slice.len());
        slice.into_iter().for_each(|id| users[id as usize] += 1);
    }
    let unused = users.iter().filter(|n| **n == 0).count();
    assert_eq!(unused, 0, "{unused} backends are used by nobody: {users:?}");
    assert!(started.elapsed() < PATIENCE, "{:?}", started.elapsed());
}

/// [`Host`] checks that nothing goes to one that drains or is gone.
#[test]
fn changes_and_whole_lists_of_1024_backends_are_taken_whole() {
    for position in [0, 174, 349] {
        let mut host = proxy(position);
        used(&mut host, 20);
        host.members(EndpointUpdate::Delta, backends(0..BACKENDS / 2, BackendState::Draining));
        assert!(used(&mut host, 40).iter().all(|id| *id >= BACKENDS / 2));
        host.members(EndpointUpdate::Snapshot, backends(0..BACKENDS / 2, BackendState::Ready));
        assert!(used(&mut host, 40).iter().all(|id| *id < BACKENDS / 2));
        host.members(EndpointUpdate::Delta, backends(0..BACKENDS / 2, BackendState::Gone));
        let id = host.arrive(0, 900_000);
        assert!(host.sent_to(id).is_empty(), "none is left");
        host.members(EndpointUpdate::Snapshot, backends(0..BACKENDS, BackendState::Ready));
        assert!(!used(&mut host, 40).is_empty());
    }
}
