//! The pools as the configuration has them, at the start and whenever it is read again.

use crate::address_owners::EntryKey;
use crate::directory::{Directory, DirectoryUpdate};
use crate::list::Endpoint;
use crate::pool::{ListChanges, ListedBackend, Pool, PoolSpec, Source};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The rows that go to each pool.
type EntriesByPool = BTreeMap<PoolId, Vec<BackendEntry>>;

impl Directory {
    /// `now` is none at the start of the program.
    pub(crate) fn configure(&mut self, now: Option<Time>, specs: Vec<PoolSpec>) -> DirectoryUpdate {
        let before = self.address_owners.conflicts();
        let static_owners = self.static_owners();
        let was_static: BTreeMap<PoolId, bool> =
            self.pools.iter().map(|(id, pool)| (*id, pool.is_static)).collect();
        let mut result = DirectoryUpdate::default();
        let mut changes_by_pool = Vec::new();
        let mut configured = BTreeSet::new();
        for spec in specs {
            let id = self.ensure_pool(&spec);
            configured.insert(id);
            if let Source::Static(endpoints) = spec.source {
                let started_at = |address: SocketAddr| {
                    now.map(|now| self.started_at(id, address, &was_static).unwrap_or(Some(now)))
                };
                let started_at: Vec<_> = endpoints.iter().map(|e| started_at(e.address)).collect();
                let (changes, skipped) = self.static_changes(id, endpoints, started_at);
                result.skipped += skipped;
                changes_by_pool.push((id, changes));
            }
        }
        for (id, pool) in self.pools.iter().filter(|(id, _)| !configured.contains(id)) {
            changes_by_pool.push((*id, pool.listed.keys().map(|key| (key.clone(), None)).collect()));
        }
        // The configuration's word: what a pool gives up here, a static one takes before any list in line.
        let static_pools: BTreeSet<PoolId> =
            self.pools.iter().filter(|(_, p)| p.is_static).map(|(id, _)| *id).collect();
        self.apply(changes_by_pool, |id| static_pools.contains(&id) && configured.contains(&id));
        let mut removed = self.move_between_static_pools(&static_owners, &static_pools, &mut result);
        let mut others = self.differences(&mut removed);
        self.pools.retain(|id, _| configured.contains(id));
        let domains: BTreeSet<u32> = self.pools.values().map(|pool| pool.domain).collect();
        self.domains.retain(|_, domain| domains.contains(domain));
        result
            .notifications
            .extend(removed.into_iter().map(|(id, entries)| (id, EndpointUpdate::Delta, entries)));
        // A new static pool has its whole list; of a new listed one nothing is known yet.
        configured.iter().filter(|id| static_pools.contains(id) && !was_static.contains_key(id)).for_each(
            |id| {
                others.entry(*id).or_default();
            },
        );
        result.notifications.extend(others.into_iter().map(|(id, entries)| {
            (
                id,
                if was_static.contains_key(&id) { EndpointUpdate::Delta } else { EndpointUpdate::Snapshot },
                entries,
            )
        }));
        result.conflicts = self.address_owners.conflicts().difference(&before).copied().collect();
        result
    }

    /// The pool of that name, made if there is none, as the configuration has it; its list is left as it is.
    fn ensure_pool(&mut self, spec: &PoolSpec) -> PoolId {
        let group = spec.repeat_group.clone();
        let group = (group.is_some(), group.unwrap_or_else(|| spec.name.clone()));
        let domain = *self.domains.entry(group).or_insert_with(|| {
            self.next_domain += 1;
            self.next_domain - 1
        });
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
        (pool.domain, pool.is_static) = (domain, is_static);
        id
    }

    /// What a static pool's backends are now, each with when it last started where that is not as it says.
    fn static_changes(
        &mut self, id: PoolId, endpoints: Vec<Endpoint>, started_at: Vec<Option<Option<Time>>>,
    ) -> (ListChanges, usize) {
        let names = &mut self.names;
        let present = endpoints.into_iter().zip(started_at).filter(|(e, _)| e.state != BackendState::Gone);
        let entries = present.map(|(e, started_at)| {
            let started_at = started_at.unwrap_or(e.started_at);
            (key(e.address), Some(ListedBackend::new(Endpoint { started_at, ..e }, names)))
        });
        self.pools.get(&id).map_or_else(Default::default, |pool| pool.changes(true, entries))
    }

    /// When a backend that stands at that address since before the reload last started, as this pool has it or
    /// else one that was static; `None` where it is new.
    fn started_at(
        &self, id: PoolId, address: SocketAddr, was_static: &BTreeMap<PoolId, bool>,
    ) -> Option<Option<Time>> {
        let started_at = |pool: &PoolId| {
            let key = self.address_owners.entries(address, *pool).next()?;
            Some(self.pools.get(pool)?.listed.get(key)?.started_at)
        };
        let is_static = |pool: &&PoolId| was_static.get(pool) == Some(&true);
        started_at(&id)
            .or_else(|| self.address_owners.claimants(address).iter().filter(is_static).find_map(started_at))
    }

    /// The addresses that belong to static pools.
    fn static_owners(&self) -> BTreeMap<SocketAddr, PoolId> {
        let static_pools = self.pools.iter().filter(|(_, pool)| pool.is_static);
        let each =
            static_pools.flat_map(|(id, pool)| pool.listed.values().map(|listed| (listed.address, *id)));
        each.filter(|(address, id)| self.address_owners.owner(*address) == Some(*id)).collect()
    }

    /// Backends that went from one static pool to another: the same process, so the same number. Returns what
    /// the pools that they left are notified of.
    fn move_between_static_pools(
        &mut self, owners: &BTreeMap<SocketAddr, PoolId>, static_pools: &BTreeSet<PoolId>,
        result: &mut DirectoryUpdate,
    ) -> EntriesByPool {
        let mut removed = EntriesByPool::new();
        for (address, from) in owners {
            let to = self.address_owners.owner(*address).filter(|to| to != from && static_pools.contains(to));
            let Some((moved, entry)) = to.and_then(|to| self.move_backend(&key(*address), *from, to)) else {
                continue;
            };
            result.moved.push(moved);
            removed.entry(*from).or_default().push(entry);
        }
        removed
    }

    /// All rows that are not as they were last notified; those of backends that are gone are added to `removed`.
    fn differences(&mut self, removed: &mut EntriesByPool) -> EntriesByPool {
        let mut others = EntriesByPool::new();
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for id in pools {
            let pool = &self.pools[&id];
            let keys: BTreeSet<EntryKey> =
                pool.listed.keys().chain(pool.backend_ids.keys()).cloned().collect();
            for key in keys {
                let before = self.last_notified(id, &key).cloned();
                let Some(entry) = self.refresh(id, &key).filter(|entry| before.as_ref() != Some(entry))
                else {
                    continue;
                };
                let to = if entry.state == BackendState::Gone { &mut *removed } else { &mut others };
                to.entry(id).or_default().push(entry);
            }
        }
        others
    }
}

/// What a static pool's backend is known by.
fn key(address: SocketAddr) -> EntryKey {
    address.to_string().into()
}
