//! Snapshots and deltas of lists with 1,024 backends.

mod common;

use common::*;
use serde_json::json;
use shaletide_membership::*;
use shaletide_types::*;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const BACKENDS: usize = 1_024;
const HALF: usize = BACKENDS / 2;
const POOL: PoolId = PoolId(0);
/// Time limit for five updates; far more than an unoptimised build needs.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Returns the entries of an indented list of these backends, all of which have to be valid.
fn listed_entries(numbers: std::ops::Range<usize>, status: &str) -> Vec<Endpoint> {
    let count = numbers.len();
    let entry = |n: usize| {
        let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + n as u32), 8443));
        json!({"name": format!("backend-{n:04}"), "address": address, "zone": format!("zone-{}", n % 64),
            "type": format!("type-{}", n % 32), "group": n / 4, "cores": 2, "weight": 1.0, "status": status,
            "since_ms": 0})
    };
    let list = json!({"index": 7, "snapshot": true, "endpoints": numbers.map(entry).collect::<Vec<_>>()});
    let list = List::read(&serde_json::to_vec_pretty(&list).unwrap()).unwrap();
    let (entries, skipped) = list.entries();
    assert_eq!((entries.len(), skipped), (count, None));
    entries
}

fn in_state(directory: &Directory, state: BackendState) -> usize {
    directory.backends(POOL).filter(|backend| backend.state == state).count()
}

fn numbers(directory: &Directory) -> Vec<BackendId> {
    directory.backends(POOL).map(|backend| backend.id).collect()
}

#[test]
fn list_of_1024_backends_is_applied_changed_and_replaced() {
    let started = Instant::now();
    let (mut directory, _) = Directory::new(&[], &[], vec![discovered_pool("p")]);
    for update in [EndpointUpdate::Cached, EndpointUpdate::Snapshot] {
        let result = directory.apply_update(POOL, update, listed_entries(0..BACKENDS, "SERVING"));
        assert_eq!((result.skipped, result.conflicts.len(), result.notifications.len()), (0, 0, 1));
        assert_eq!((result.notifications[0].2.len(), in_state(&directory, READY)), (BACKENDS, BACKENDS));
    }
    let before = numbers(&directory);

    let result = directory.apply_update(POOL, EndpointUpdate::Delta, listed_entries(0..HALF, "DRAINING"));
    assert_eq!((result.skipped, result.notifications[0].2.len()), (0, HALF));
    assert_eq!((in_state(&directory, DRAINING), in_state(&directory, READY)), (HALF, HALF));
    assert_eq!(numbers(&directory), before, "each backend keeps its number");

    directory.apply_update(POOL, EndpointUpdate::Delta, listed_entries(0..HALF, "DELETED"));
    assert_eq!((in_state(&directory, READY), directory.gone().count()), (HALF, HALF));
    directory.retain(|_| false);

    let result =
        directory.apply_update(POOL, EndpointUpdate::Snapshot, listed_entries(0..BACKENDS, "SERVING"));
    assert_eq!(
        (result.skipped, result.notifications[0].2.len(), in_state(&directory, READY)),
        (0, BACKENDS, BACKENDS)
    );
    println!("five lists in {:?}", started.elapsed());
    assert!(started.elapsed() < TIME_LIMIT, "{:?}", started.elapsed());
}

/// The limit is 2 KiB per backend, as a process has 32 MB.
#[test]
fn directory_of_1024_backends_uses_less_than_2_mib() {
    let (mut directory, _) = Directory::new(&[], &[], vec![discovered_pool("p")]);
    let entries = listed_entries(0..BACKENDS, "SERVING");
    let memory =
        allocation_counter::measure(|| drop(directory.apply_update(POOL, EndpointUpdate::Snapshot, entries)));
    println!("{} B, at the most {} B", memory.bytes_current, memory.bytes_max);
    assert!(memory.bytes_current < 2 << 20, "{} B", memory.bytes_current);
    assert!(memory.bytes_max < 4 << 20, "{} B", memory.bytes_max);
}
