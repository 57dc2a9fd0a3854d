//! Entries, pools, and a mirror of the balancers' view that follows from their notifications.
#![allow(dead_code)]

use shaletide_membership::*;
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const READY: BackendState = BackendState::Ready;
pub const DRAINING: BackendState = BackendState::Draining;
pub const GONE: BackendState = BackendState::Gone;

pub fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

pub fn entry(name: &str, address: u8, state: BackendState) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: at(address),
        zone: "z".into(),
        server_type: "k".into(),
        deduplication_group: 7,
        cores: 1,
        weight: 0,
        state,
        started_at: None,
    }
}

pub fn discovered_pool(name: &str) -> PoolSpec {
    PoolSpec { name: name.into(), deduplication_domain: None, source: Source::Discovered }
}

/// A static pool of backends at these addresses.
pub fn static_pool(name: &str, addresses: &[u8]) -> PoolSpec {
    let backends = addresses.iter().map(|n| entry(&format!("s{n}"), *n, READY)).collect();
    PoolSpec { name: name.into(), deduplication_domain: None, source: Source::Static(backends) }
}

/// The view of each pool's balancer, built from its notifications, and checks of the directory against it.
pub struct Mirror {
    pub directory: Directory,
    pub pools: BTreeMap<PoolId, BTreeMap<BackendId, (BackendEntry, SocketAddr)>>,
    pub last: DirectoryUpdate,
}

impl Mirror {
    pub fn new(pools: Vec<PoolSpec>) -> Mirror {
        let (directory, update) = Directory::new(&[], &[], pools);
        let mut mirror = Mirror { directory, pools: BTreeMap::new(), last: DirectoryUpdate::default() };
        mirror.apply(update);
        mirror
    }

    pub fn update(&mut self, pool: PoolId, update: EndpointUpdate, entries: Vec<Endpoint>) {
        let update = self.directory.apply_update(pool, update, entries);
        self.apply(update);
    }

    pub fn apply_delta(&mut self, pool: PoolId, entries: Vec<Endpoint>) {
        self.update(pool, EndpointUpdate::Delta, entries);
    }

    pub fn reload(&mut self, now: u64, pools: Vec<PoolSpec>) {
        let update = self.directory.reload(Time(now), pools);
        self.apply(update);
    }

    fn apply(&mut self, update: DirectoryUpdate) {
        for (pool, kind, rows) in &update.notifications {
            let known = self.pools.entry(*pool).or_default();
            if matches!(kind, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
                known.clear();
            }
            for row in rows {
                if row.state == GONE {
                    known.remove(&row.id);
                } else {
                    let address = self.directory.address(row.id).expect("a notified backend has an address");
                    known.insert(row.id, (row.clone(), address));
                }
            }
            self.check_address_owners();
        }
        for moved in &update.moved {
            assert_eq!(self.directory.pool(moved.id), Some(moved.to));
            assert!(
                !self.pools[&moved.from].contains_key(&moved.id),
                "its old pool was not notified that it is gone"
            );
            assert!(self.pools[&moved.to].contains_key(&moved.id), "its new pool was not notified of it");
        }
        self.last = update;
        self.check_look_ups();
    }

    fn check_address_owners(&self) {
        let mut owners: BTreeMap<SocketAddr, PoolId> = BTreeMap::new();
        for (pool, backends) in &self.pools {
            for (row, address) in backends.values() {
                let owner = *owners.entry(*address).or_insert(*pool);
                assert_eq!(owner, *pool, "{address} of {row:?} is in two pools");
            }
        }
    }

    fn check_look_ups(&self) {
        let mut ids = BTreeSet::new();
        for (pool, backends) in &self.pools {
            let mut rows: Vec<BackendEntry> = self.directory.backends(*pool).cloned().collect();
            rows.sort_by_key(|row| row.id);
            assert_eq!(rows, backends.values().map(|(row, _)| row.clone()).collect::<Vec<_>>());
            for (id, (row, address)) in backends {
                assert!(ids.insert(*id), "a number belongs to one backend");
                assert_eq!(row.id, *id);
                assert_eq!(self.directory.address(*id), Some(*address));
                assert_eq!(self.directory.state(*id), row.state);
                assert_eq!(self.directory.pool(*id), Some(*pool));
                assert_eq!(self.directory.deduplication_domain(*pool), Some(row.deduplication_domain));
            }
        }
    }

    /// Returns the pool's backends: number, last byte of the address, state.
    pub fn backends(&self, pool: PoolId) -> Vec<(u32, u8, BackendState)> {
        let last = |address: &SocketAddr| match address {
            SocketAddr::V4(v4) => v4.ip().octets()[3],
            SocketAddr::V6(_) => panic!("tests use v4"),
        };
        let known = self.pools.get(&pool).into_iter().flatten();
        known.map(|(id, (row, address))| (id.0, last(address), row.state)).collect()
    }

    pub fn row(&self, pool: PoolId, id: u32) -> &BackendEntry {
        &self.pools[&pool][&BackendId(id)].0
    }
}
