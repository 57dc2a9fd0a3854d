//! Lists of 1,024 backends, as they come and as they change.

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
/// Far more than a build without optimisation takes.
const PATIENCE: Duration = Duration::from_secs(5);

/// An indented list of these backends, read and checked entry by entry.
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
    let (mut directory, _) = Directory::new(&[], &[], vec![listed("p")]);
    for update in [EndpointUpdate::Cached, EndpointUpdate::Snapshot] {
        let told = directory.apply_update(POOL, update, listed_entries(0..BACKENDS, "SERVING"));
        assert_eq!((told.skipped, told.conflicts.len(), told.notifications.len()), (0, 0, 1));
        assert_eq!((told.notifications[0].2.len(), in_state(&directory, READY)), (BACKENDS, BACKENDS));
    }
    let before = numbers(&directory);

    let told = directory.apply_update(POOL, EndpointUpdate::Delta, listed_entries(0..HALF, "DRAINING"));
    assert_eq!((told.skipped, told.notifications[0].2.len()), (0, HALF));
    assert_eq!((in_state(&directory, DRAINING), in_state(&directory, READY)), (HALF, HALF));
    assert_eq!(numbers(&directory), before, "each keeps its number");

    directory.apply_update(POOL, EndpointUpdate::Delta, listed_entries(0..HALF, "DELETED"));
    assert_eq!((in_state(&directory, READY), directory.gone().count()), (HALF, HALF));
    directory.retain(|_| false);

    let told = directory.apply_update(POOL, EndpointUpdate::Snapshot, listed_entries(0..BACKENDS, "SERVING"));
    assert_eq!(
        (told.skipped, told.notifications[0].2.len(), in_state(&directory, READY)),
        (0, BACKENDS, BACKENDS)
    );
    println!("five lists in {:?}", started.elapsed());
    assert!(started.elapsed() < PATIENCE, "{:?}", started.elapsed());
}

/// Some 2 KiB each at most, of the 32 MB that a process has.
#[test]
fn directory_of_1024_backends_uses_less_than_2_mib() {
    let (mut directory, _) = Directory::new(&[], &[], vec![listed("p")]);
    let entries = listed_entries(0..BACKENDS, "SERVING");
    let held =
        allocation_counter::measure(|| drop(directory.apply_update(POOL, EndpointUpdate::Snapshot, entries)));
    println!("{} B, at the most {} B", held.bytes_current, held.bytes_max);
    assert!(held.bytes_current < 2 << 20, "{} B", held.bytes_current);
    assert!(held.bytes_max < 4 << 20, "{} B", held.bytes_max);
}
