//! The directory of all pools: their backends with their numbers, and the updates for the balancers.

use crate::address_owners::{AddressOwners, Conflict, EntryKey};
use crate::interner::Interner;
use crate::list::Endpoint;
use crate::pool::{ListChanges, ListedBackend, NameTables, Pool, PoolChanges, PoolSpec};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A backend that moved from one static pool to another and is the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendMove {
    /// The backend's number, which does not change.
    pub id: BackendId,
    /// The pool that the backend left; its balancer is notified that the backend is gone.
    pub from: PoolId,
    /// The pool that the backend belongs to now.
    pub to: PoolId,
}

/// The result of a list update or a reload, to be applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryUpdate {
    /// Backends that moved to another pool, with their slow start budget, counts and drain.
    pub moved: Vec<BackendMove>,
    /// The notifications of the pools' balancers, in order: a pool that lost a backend comes before the pool that gained it.
    pub notifications: Vec<(PoolId, EndpointUpdate, Vec<BackendEntry>)>,
    /// Conflicts that did not exist before.
    pub conflicts: Vec<Conflict>,
    /// Number of entries that were skipped, beyond [`crate::MAX_ENTRIES`] of a pool.
    pub skipped: usize,
}

/// A backend that a balancer was notified of, until it is forgotten.
#[derive(Clone, Debug)]
struct TrackedBackend {
    pool: PoolId,
    key: EntryKey,
    name: EntryKey,
    address: SocketAddr,
    /// The entry that the pool's balancer was last notified of.
    last_notified: BackendEntry,
}

/// The owner of a deduplication domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DomainKey {
    /// A pool without a repeat group, by name.
    Pool(String),
    /// All pools of that repeat group.
    RepeatGroup(String),
}

/// The changes of the pools' lists, as [`Directory::apply`] takes them.
pub(crate) type ChangesByPool = Vec<(PoolId, ListChanges)>;

/// An entry of a list and an address that it no longer has.
struct ReleasedAddress {
    address: SocketAddr,
    pool: PoolId,
    key: EntryKey,
}

/// The lists of all pools, and the pool that owns each address.
///
/// An address in the lists of several pools stays with the pool that claimed it first, draining or not, until that pool's
/// list has no entry at the address. It then goes at once to the next claimant. Within a pool any number of names may share
/// an address: a successor at the address of another backend is a backend of its own, whether that one is gone or not.
///
/// A backend of a discovered pool is identified by its name, one of a static pool by its address. It keeps its number while
/// it is listed, even if its address changes: the balancer keeps its state of the backend, and the driver has to drop the
/// connections to the old address. A backend that returns after it was gone gets a new number once the old one is forgotten,
/// see [`Directory::forget`].
///
/// Bounds: [`crate::MAX_ENTRIES`] entries per pool of some 650 bytes each, the gone backends that the driver has not
/// forgotten yet, and [`crate::MAX_NUMBERED`] names of zones and as many of server types. The numbers of backends and pools
/// are never reused; there are 2^32 of each.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) address_owners: AddressOwners,
    pub(crate) names: NameTables,
    /// The numbers of the deduplication domains.
    pub(crate) domains: BTreeMap<DomainKey, u32>,
    pub(crate) next_domain: u32,
    pub(crate) next_pool_id: u32,
    next_backend_id: u32,
    backends: BTreeMap<BackendId, TrackedBackend>,
    /// Gone backends that are not forgotten yet.
    gone: BTreeSet<BackendId>,
}

impl Directory {
    /// Returns the directory at the start of the program. The given names of zones and of server types are numbered from 0.
    /// Backends of static pools have the start times of the configuration.
    pub fn new(
        zones: &[String], server_types: &[String], pools: Vec<PoolSpec>,
    ) -> (Directory, DirectoryUpdate) {
        let names = NameTables { zones: Interner::new(zones), server_types: Interner::new(server_types) };
        let mut directory = Directory { names, ..Directory::default() };
        let result = directory.configure(None, pools);
        (directory, result)
    }

    /// Applies a reloaded configuration. Pools keep their numbers by name. In static pools a backend with a new address
    /// counts as started now, a removed one is gone, and one that moved to another static pool keeps its number and its start
    /// time. A pool that changed from static to discovered keeps its backends until its list arrives.
    pub fn reload(&mut self, now: Time, pools: Vec<PoolSpec>) -> DirectoryUpdate {
        self.configure(Some(now), pools)
    }

    /// Applies an update of a discovered pool's list; an update for any other pool is ignored. Other pools that are affected
    /// are notified of a delta, which does not answer a subscription of theirs.
    pub fn apply_update(
        &mut self, pool: PoolId, update: EndpointUpdate, entries: Vec<Endpoint>,
    ) -> DirectoryUpdate {
        let mut result = DirectoryUpdate::default();
        if self.pools.get(&pool).is_none_or(|pool| pool.is_static) {
            return result;
        }
        if update == EndpointUpdate::SubscriptionLost {
            result.notifications.push((pool, update, Vec::new()));
            return result;
        }
        let is_whole = matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached);
        let PoolChanges { changes, skipped } = self.discovered_changes(pool, is_whole, entries);
        result.skipped = skipped;
        let conflicts_before = self.address_owners.conflicts();
        let keys: Vec<EntryKey> = changes.keys().cloned().collect();
        let new_owners = self.apply(vec![(pool, changes)], |_| false);
        let mut notified = self.take_notifications(pool, &keys);
        if is_whole {
            notified.retain(|entry| entry.state != BackendState::Gone); // absence from a snapshot means gone
        }
        result.notifications.push((pool, update, notified));
        for (owner, gained) in self.gained_entries(&new_owners) {
            result.notifications.push((owner, EndpointUpdate::Delta, gained));
        }
        result.conflicts = self.conflicts_since(&conflicts_before);
        result
    }

    fn discovered_changes(&mut self, pool: PoolId, is_whole: bool, entries: Vec<Endpoint>) -> PoolChanges {
        let Some(pool) = self.pools.get(&pool) else { return PoolChanges::default() };
        let names = &mut self.names;
        let entries = entries.into_iter().map(|endpoint| {
            let key = EntryKey::from(endpoint.name.as_str());
            let is_listed = endpoint.state != BackendState::Gone;
            (key, is_listed.then(|| ListedBackend::new(endpoint, names)))
        });
        pool.changes(is_whole, entries)
    }

    /// Applies changes of lists, and returns the addresses that went to another pool. All added entries claim their addresses
    /// before any removed entry releases its own, so that a pool keeps its claim when one name replaces another, in whatever
    /// order they are listed. `has_precedence` is passed to [`AddressOwners::remove`].
    pub(crate) fn apply(
        &mut self, changes_by_pool: ChangesByPool, has_precedence: impl Fn(PoolId) -> bool,
    ) -> BTreeMap<SocketAddr, PoolId> {
        let mut released = Vec::new();
        for (id, changes) in changes_by_pool {
            for (key, change) in changes {
                released.extend(self.apply_change(id, key, change));
            }
        }
        let mut new_owners = BTreeMap::new();
        for ReleasedAddress { address, pool, key } in released {
            if let Some(owner) = self.address_owners.remove(address, pool, &key, &has_precedence) {
                new_owners.insert(address, owner);
            }
        }
        new_owners
    }

    /// Applies the change of one entry and claims its address. Returns the address that the entry no longer has.
    fn apply_change(
        &mut self, id: PoolId, key: EntryKey, change: Option<ListedBackend>,
    ) -> Option<ReleasedAddress> {
        let pool = self.pools.get_mut(&id)?;
        let new_address = change.as_ref().map(|listed| listed.address);
        let old = match change {
            Some(listed) => pool.listed.insert(key.clone(), listed),
            None => pool.listed.remove(&key),
        };
        let old_address = old.map(|listed| listed.address);
        if old_address == new_address {
            return None;
        }
        if let Some(address) = new_address {
            self.address_owners.add(address, id, &key);
        }
        old_address.map(|address| ReleasedAddress { address, pool: id, key })
    }

    /// Returns the notifications of the pools that now own these addresses.
    fn gained_entries(
        &mut self, new_owners: &BTreeMap<SocketAddr, PoolId>,
    ) -> BTreeMap<PoolId, Vec<BackendEntry>> {
        let mut gained: BTreeMap<PoolId, Vec<BackendEntry>> = BTreeMap::new();
        for (address, owner) in new_owners {
            let keys: Vec<EntryKey> = self.address_owners.entries(*address, *owner).cloned().collect();
            let entries = self.take_notifications(*owner, &keys);
            gained.entry(*owner).or_default().extend(entries);
        }
        gained
    }

    fn take_notifications(&mut self, pool: PoolId, keys: &[EntryKey]) -> Vec<BackendEntry> {
        keys.iter().filter_map(|key| self.take_notification(pool, key)).collect()
    }

    /// Returns the entry of which the pool is to be notified, and marks it as notified. The entry is as listed if the pool
    /// owns its address; otherwise it is gone, unless that was notified before.
    pub(crate) fn take_notification(&mut self, pool: PoolId, key: &EntryKey) -> Option<BackendEntry> {
        let to = self.pools.get_mut(&pool)?;
        let owned =
            to.listed.get(key).filter(|listed| self.address_owners.owner(listed.address) == Some(pool));
        let Some(listed) = owned else {
            let id = *to.backend_ids.get(key)?;
            return self.mark_gone(id);
        };
        let next_id = &mut self.next_backend_id;
        let id = *to.backend_ids.entry(key.clone()).or_insert_with(|| {
            let id = BackendId(*next_id);
            *next_id += 1;
            id
        });
        let entry = listed.entry(id, to.domain);
        let tracked = TrackedBackend {
            pool,
            key: key.clone(),
            name: listed.name.clone(),
            address: listed.address,
            last_notified: entry.clone(),
        };
        self.backends.insert(id, tracked);
        self.gone.remove(&id);
        Some(entry)
    }

    /// Marks a backend as gone. Returns the entry for its balancer, unless that was notified before.
    fn mark_gone(&mut self, id: BackendId) -> Option<BackendEntry> {
        let backend = self.backends.get_mut(&id)?;
        if backend.last_notified.state == BackendState::Gone {
            return None;
        }
        backend.last_notified.state = BackendState::Gone;
        self.gone.insert(id);
        Some(backend.last_notified.clone())
    }

    /// Moves the backend of that entry to another pool. Returns the move and the entry for the pool that the backend left.
    pub(crate) fn move_backend(
        &mut self, key: &EntryKey, from: PoolId, to: PoolId,
    ) -> Option<(BackendMove, BackendEntry)> {
        let id = self.pools.get_mut(&from)?.backend_ids.remove(key)?;
        let entry = self.mark_gone(id)?;
        self.backends.get_mut(&id)?.pool = to;
        self.pools.get_mut(&to)?.backend_ids.insert(key.clone(), id);
        Some((BackendMove { id, from, to }, entry))
    }

    /// Returns the entry of which the balancer was last notified.
    pub(crate) fn last_notified(&self, pool: PoolId, key: &EntryKey) -> Option<&BackendEntry> {
        let id = self.pools.get(&pool)?.backend_ids.get(key)?;
        self.backends.get(id).map(|backend| &backend.last_notified)
    }

    pub(crate) fn conflicts_since(&self, before: &BTreeSet<Conflict>) -> Vec<Conflict> {
        self.address_owners.conflicts().difference(before).copied().collect()
    }

    /// Forgets a gone backend, of which the driver must hold nothing any more, in particular no attempt. Does nothing if the
    /// backend is not gone. Returns whether it was gone.
    pub fn forget(&mut self, id: BackendId) -> bool {
        if !self.gone.remove(&id) {
            return false;
        }
        let Some(backend) = self.backends.remove(&id) else { return false };
        if let Some(pool) = self.pools.get_mut(&backend.pool) {
            if pool.backend_ids.get(&backend.key) == Some(&id) {
                pool.backend_ids.remove(&backend.key);
            }
        }
        true
    }

    /// Returns the gone backends that are not forgotten.
    pub fn gone(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.gone.iter().copied()
    }

    /// Forgets all gone backends that are not in use by the driver. It is called after all updates; its cost is linear in the
    /// number of gone backends.
    pub fn retain(&mut self, is_in_use: impl Fn(BackendId) -> bool) {
        let unused: Vec<BackendId> = self.gone.iter().copied().filter(|id| !is_in_use(*id)).collect();
        for id in unused {
            self.forget(id);
        }
    }

    /// Returns the backend's address; also for a gone backend until it is forgotten.
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id).map(|backend| backend.address)
    }

    /// Returns the backend's state; an unknown backend is gone.
    pub fn state(&self, id: BackendId) -> BackendState {
        self.backends.get(&id).map_or(BackendState::Gone, |backend| backend.last_notified.state)
    }

    /// Returns the pool that the backend belongs to, or belonged to before it was gone.
    pub fn pool(&self, id: BackendId) -> Option<PoolId> {
        self.backends.get(&id).map(|backend| backend.pool)
    }

    /// Whether the backend is in a static pool, so that it is whatever has its address.
    pub fn is_static(&self, id: BackendId) -> bool {
        let pool = self.backends.get(&id).and_then(|backend| self.pools.get(&backend.pool));
        pool.is_some_and(|pool| pool.is_static)
    }

    /// Returns the backend's name, for logs.
    pub fn name(&self, id: BackendId) -> Option<&str> {
        self.backends.get(&id).map(|backend| &*backend.name)
    }

    /// Returns the pool's backends as last notified to its balancer, without gone ones.
    pub fn backends(&self, pool: PoolId) -> impl Iterator<Item = &BackendEntry> {
        let ids = self.pools.get(&pool).into_iter().flat_map(|pool| pool.backend_ids.values());
        let entries = ids.filter_map(|id| self.backends.get(id)).map(|backend| &backend.last_notified);
        entries.filter(|entry| entry.state != BackendState::Gone)
    }

    /// Returns the pool's name, or `None` if the pool does not exist.
    pub fn pool_name(&self, pool: PoolId) -> Option<&str> {
        self.pools.get(&pool).map(|pool| pool.name.as_str())
    }

    /// Returns the pool of that name.
    pub fn pool_named(&self, name: &str) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.name == name).map(|(id, _)| *id)
    }

    /// Returns the pool's deduplication domain. Backends of different domains never discard each other's repeats.
    pub fn deduplication_domain(&self, pool: PoolId) -> Option<u32> {
        self.pools.get(&pool).map(|pool| pool.domain)
    }

    /// Returns the number of a zone's name, which is the same for all pools.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.intern(name))
    }

    /// Returns the present conflicts about addresses in the lists of several pools.
    pub fn conflicts(&self) -> BTreeSet<Conflict> {
        self.address_owners.conflicts()
    }
}
