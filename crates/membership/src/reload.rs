//! Applies the pools of the configuration, at the start and after each reload.

use crate::address_owners::EntryKey;
use crate::directory::{ChangesByPool, Directory, DirectoryUpdate, DomainKey};
use crate::list::Endpoint;
use crate::pool::{ListedBackend, Pool, PoolChanges, PoolSpec, Source};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The entries of which each pool's balancer is notified.
type EntriesByPool = BTreeMap<PoolId, Vec<BackendEntry>>;

/// The pools before the configuration is applied, and whether each was static.
type EarlierPools = BTreeMap<PoolId, bool>;

/// The pools of a configuration that is not applied yet.
#[derive(Default)]
struct ConfiguredPools {
    ids: BTreeSet<PoolId>,
    changes: ChangesByPool,
    skipped: usize,
}

/// Entries that differ from those last notified.
#[derive(Default)]
struct Differences {
    gone: EntriesByPool,
    listed: EntriesByPool,
}

impl Directory {
    /// Applies a configuration. `now` is `None` at the start of the program.
    pub(crate) fn configure(&mut self, now: Option<Time>, specs: Vec<PoolSpec>) -> DirectoryUpdate {
        let conflicts_before = self.address_owners.conflicts();
        let static_owners = self.static_owners();
        let earlier: EarlierPools = self.pools.iter().map(|(id, pool)| (*id, pool.is_static)).collect();
        let mut configured = self.configured_pools(now, specs, &earlier);
        self.empty_unconfigured(&mut configured);
        let static_pools = self.static_pools();
        // The configuration has precedence: an address that one pool releases here goes to a static pool before any
        // discovered pool that waits for it.
        let new_static = |id: PoolId| static_pools.contains(&id) && configured.ids.contains(&id);
        self.apply(std::mem::take(&mut configured.changes), new_static);

        let mut result = DirectoryUpdate { skipped: configured.skipped, ..DirectoryUpdate::default() };
        let mut differences = Differences::default();
        self.move_between_static_pools(&static_owners, &static_pools, &mut result, &mut differences);
        self.find_differences(&mut differences);
        self.drop_unconfigured(&configured.ids);
        // A new static pool has its whole list, which may be empty. The list of a new discovered pool is not known yet.
        for id in configured.ids.iter().filter(|id| static_pools.contains(id) && !earlier.contains_key(id)) {
            differences.listed.entry(*id).or_default();
        }
        for (id, entries) in differences.gone {
            result.notifications.push((id, EndpointUpdate::Delta, entries));
        }
        for (id, entries) in differences.listed {
            let is_new = !earlier.contains_key(&id);
            let update = if is_new { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            result.notifications.push((id, update, entries));
        }
        result.conflicts = self.conflicts_since(&conflicts_before);
        result
    }

    fn configured_pools(
        &mut self, now: Option<Time>, specs: Vec<PoolSpec>, earlier: &EarlierPools,
    ) -> ConfiguredPools {
        let mut configured = ConfiguredPools::default();
        for spec in specs {
            let id = self.ensure_pool(&spec);
            configured.ids.insert(id);
            if let Source::Static(endpoints) = spec.source {
                let endpoints = self.with_start_times(now, id, endpoints, earlier);
                let PoolChanges { changes, skipped } = self.static_changes(id, endpoints);
                configured.skipped += skipped;
                configured.changes.push((id, changes));
            }
        }
        configured
    }

    /// Removes all backends of pools that are no longer configured.
    fn empty_unconfigured(&self, configured: &mut ConfiguredPools) {
        for (id, pool) in self.pools.iter().filter(|(id, _)| !configured.ids.contains(id)) {
            let all_gone = pool.listed.keys().map(|key| (key.clone(), None)).collect();
            configured.changes.push((*id, all_gone));
        }
    }

    fn drop_unconfigured(&mut self, configured: &BTreeSet<PoolId>) {
        self.pools.retain(|id, _| configured.contains(id));
        let domains: BTreeSet<u32> = self.pools.values().map(|pool| pool.domain).collect();
        self.domains.retain(|_, domain| domains.contains(domain));
    }

    /// Creates or updates the pool of that name according to the configuration, and returns it. Its list is not changed.
    fn ensure_pool(&mut self, spec: &PoolSpec) -> PoolId {
        let domain = self.domain_of(spec);
        let is_static = matches!(spec.source, Source::Static(_));
        let id = self.pool_named(&spec.name).unwrap_or_else(|| {
            self.next_pool_id += 1;
            PoolId(self.next_pool_id - 1)
        });
        let pool = self.pools.entry(id).or_insert_with(|| Pool {
            name: spec.name.clone(),
            domain,
            is_static,
            listed: BTreeMap::new(),
            backend_ids: BTreeMap::new(),
        });
        pool.domain = domain;
        pool.is_static = is_static;
        id
    }

    /// Returns the deduplication domain of the pool's repeat group, or a domain of the pool's own if it has none.
    fn domain_of(&mut self, spec: &PoolSpec) -> u32 {
        let key = match &spec.deduplication_domain {
            Some(group) => DomainKey::RepeatGroup(group.clone()),
            None => DomainKey::Pool(spec.name.clone()),
        };
        *self.domains.entry(key).or_insert_with(|| {
            self.next_domain += 1;
            self.next_domain - 1
        })
    }

    /// Returns the endpoints with their start times. At the start of the program these are from the configuration. After a
    /// reload it is the start time of the known backend at that address, or `now` if there is none.
    fn with_start_times(
        &self, now: Option<Time>, id: PoolId, endpoints: Vec<Endpoint>, earlier: &EarlierPools,
    ) -> Vec<Endpoint> {
        let Some(now) = now else { return endpoints };
        let with_start_time = |endpoint: Endpoint| {
            let known = self.known_backend(id, endpoint.address, earlier);
            let started_at = known.map_or(Some(now), |listed| listed.started_at);
            Endpoint { started_at, ..endpoint }
        };
        endpoints.into_iter().map(with_start_time).collect()
    }

    /// Returns the backend at that address in this pool, or else in a pool that was static before the reload.
    fn known_backend(
        &self, id: PoolId, address: SocketAddr, earlier: &EarlierPools,
    ) -> Option<&ListedBackend> {
        let in_pool = |pool: &PoolId| {
            let key = self.address_owners.entries(address, *pool).next()?;
            self.pools.get(pool)?.listed.get(key)
        };
        let was_static = |pool: &&PoolId| earlier.get(pool) == Some(&true);
        let in_static_pool =
            || self.address_owners.claimants(address).iter().filter(was_static).find_map(in_pool);
        in_pool(&id).or_else(in_static_pool)
    }

    /// Returns the changes to a static pool's backends.
    fn static_changes(&mut self, id: PoolId, endpoints: Vec<Endpoint>) -> PoolChanges {
        let Some(pool) = self.pools.get(&id) else { return PoolChanges::default() };
        let names = &mut self.names;
        let listed = endpoints.into_iter().filter(|endpoint| endpoint.state != BackendState::Gone);
        let entries = listed.map(|endpoint| {
            let key = static_key(endpoint.address);
            (key, Some(ListedBackend::new(endpoint, names)))
        });
        pool.changes(true, entries)
    }

    fn static_pools(&self) -> BTreeSet<PoolId> {
        self.pools.iter().filter(|(_, pool)| pool.is_static).map(|(id, _)| *id).collect()
    }

    /// Returns the addresses that are owned by static pools.
    fn static_owners(&self) -> BTreeMap<SocketAddr, PoolId> {
        let static_pools = self.pools.iter().filter(|(_, pool)| pool.is_static);
        let claims =
            static_pools.flat_map(|(id, pool)| pool.listed.values().map(|listed| (listed.address, *id)));
        claims.filter(|(address, id)| self.address_owners.owner(*address) == Some(*id)).collect()
    }

    /// Moves backends whose address went from one static pool to another. They keep their numbers, as each is the same process.
    fn move_between_static_pools(
        &mut self, owners_before: &BTreeMap<SocketAddr, PoolId>, static_pools: &BTreeSet<PoolId>,
        result: &mut DirectoryUpdate, differences: &mut Differences,
    ) {
        for (address, from) in owners_before {
            let Some(to) = self.address_owners.owner(*address) else { continue };
            if to == *from || !static_pools.contains(&to) {
                continue;
            }
            if let Some((moved, entry)) = self.move_backend(&static_key(*address), *from, to) {
                result.moved.push(moved);
                differences.gone.entry(*from).or_default().push(entry);
            }
        }
    }

    /// Adds all entries that differ from those last notified.
    fn find_differences(&mut self, differences: &mut Differences) {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for id in pools {
            let pool = &self.pools[&id];
            let keys: BTreeSet<EntryKey> =
                pool.listed.keys().chain(pool.backend_ids.keys()).cloned().collect();
            for key in keys {
                let before = self.last_notified(id, &key).cloned();
                let Some(entry) = self.take_notification(id, &key) else { continue };
                if before.as_ref() == Some(&entry) {
                    continue;
                }
                let is_gone = entry.state == BackendState::Gone;
                let to = if is_gone { &mut differences.gone } else { &mut differences.listed };
                to.entry(id).or_default().push(entry);
            }
        }
    }
}

/// Returns the key of a backend in a static pool.
fn static_key(address: SocketAddr) -> EntryKey {
    address.to_string().into()
}
