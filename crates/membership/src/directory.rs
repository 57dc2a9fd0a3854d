//! All pools: which backend belongs to which, under which number, and what the balancers are notified of.

use crate::address_owners::{AddressOwners, Conflict, EntryKey};
use crate::interner::Interner;
use crate::list::Endpoint;
use crate::pool::{ListChanges, ListedBackend, NameTables, Pool, PoolChanges, PoolSpec};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A backend that moved from one static pool to another and is still the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendMove {
    /// Its number, before and after.
    pub id: BackendId,
    /// The pool that it left; its balancer is notified that the backend is gone.
    pub from: PoolId,
    /// The pool that it belongs to now.
    pub to: PoolId,
}

/// What follows from an update of a list or from a reload, to be carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryUpdate {
    /// Backends whose slow start budget, counts and drain go along to another pool.
    pub moved: Vec<BackendMove>,
    /// What each pool's balancer is notified of, in this order: the pool that lost a backend before the one that
    /// got it.
    pub notifications: Vec<(PoolId, EndpointUpdate, Vec<BackendEntry>)>,
    /// Conflicts that did not exist before.
    pub conflicts: Vec<Conflict>,
    /// How many entries were left out, beyond [`crate::MAX_ENTRIES`] of a pool.
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

/// What a deduplication domain belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DomainKey {
    /// A pool without a repeat group, by name.
    Pool(String),
    /// All pools of that repeat group.
    RepeatGroup(String),
}

/// What the changes of one pool's list are, as [`Directory::apply`] takes them.
pub(crate) type ChangesByPool = Vec<(PoolId, ListChanges)>;

/// An entry of a list at an address that it no longer has.
struct ReleasedAddress {
    address: SocketAddr,
    pool: PoolId,
    key: EntryKey,
}

/// What the lists of all pools say, and which pool each address belongs to.
///
/// Between pools: an address that the lists of several pools have stays with the pool that had it first, draining or
/// not, until its list has no entry there; then it goes at once to the next claimant. Within a pool any number of names
/// may share an address: a successor at the address of one that has gone, or has not gone yet, is a backend of its own.
///
/// A backend of a discovered pool is identified by its name, one of a static pool by its address. It keeps its number
/// while its list has it, also at another address: what the balancer has learned of it goes along, and connections to
/// the old address are for the driver to drop. One that returns after it was gone has a new number once the old one is
/// forgotten, see [`Directory::forget`].
///
/// Bounds: [`crate::MAX_ENTRIES`] entries a pool, some 650 bytes each, the backends gone that the driver has not let be
/// forgotten, [`crate::MAX_NUMBERED`] names of zones and as many of server types. Numbers of backends and pools are
/// used once: 2^32 of them.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) address_owners: AddressOwners,
    pub(crate) names: NameTables,
    /// Deduplication domains.
    pub(crate) domains: BTreeMap<DomainKey, u32>,
    pub(crate) next_domain: u32,
    pub(crate) next_pool_id: u32,
    next_backend_id: u32,
    backends: BTreeMap<BackendId, TrackedBackend>,
    /// Backends that may be forgotten.
    gone: BTreeSet<BackendId>,
}

impl Directory {
    /// At the start of the program, with names of zones and server types that are numbered from 0. The backends of
    /// static pools started when the configuration says.
    pub fn new(
        zones: &[String], server_types: &[String], pools: Vec<PoolSpec>,
    ) -> (Directory, DirectoryUpdate) {
        let names = NameTables { zones: Interner::new(zones), server_types: Interner::new(server_types) };
        let mut directory = Directory { names, ..Directory::default() };
        let result = directory.configure(None, pools);
        (directory, result)
    }

    /// The configuration was read again. Pools keep their numbers by name. In static pools a backend whose address is
    /// new counts as started now, one taken out is gone, and one that went to another static pool keeps its number and
    /// its start time. A pool that was static and is discovered now keeps its backends until its list comes.
    pub fn reload(&mut self, now: Time, pools: Vec<PoolSpec>) -> DirectoryUpdate {
        self.configure(Some(now), pools)
    }

    /// An update of a discovered pool's list; of other pools it is ignored. Other pools than that one are notified of a
    /// delta, which answers no subscription of theirs.
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
            notified.retain(|entry| entry.state != BackendState::Gone); // absence from a snapshot says so
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

    /// Takes over what the lists say, and returns the addresses that went to another pool. All entries that came claim
    /// their addresses before any that went releases its own, so that a pool keeps its claim when one name follows
    /// another, in whatever order they are listed. `has_precedence` is that of [`AddressOwners::remove`].
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

    /// Takes over one entry and claims its address. Returns the one that it no longer has.
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

    /// What pools are notified of that now own these addresses.
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

    /// The entry that its pool is to be notified of now, and notes it as notified: as its list has it where the pool
    /// owns the address, else gone if it was not notified as gone before.
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

    /// The backend is gone: the entry that says so, where its balancer was not notified before.
    fn mark_gone(&mut self, id: BackendId) -> Option<BackendEntry> {
        let backend = self.backends.get_mut(&id)?;
        if backend.last_notified.state == BackendState::Gone {
            return None;
        }
        backend.last_notified.state = BackendState::Gone;
        self.gone.insert(id);
        Some(backend.last_notified.clone())
    }

    /// Moves the backend of that entry to another pool. Returns it with the entry for the pool that it left.
    pub(crate) fn move_backend(
        &mut self, key: &EntryKey, from: PoolId, to: PoolId,
    ) -> Option<(BackendMove, BackendEntry)> {
        let id = self.pools.get_mut(&from)?.backend_ids.remove(key)?;
        let entry = self.mark_gone(id)?;
        self.backends.get_mut(&id)?.pool = to;
        self.pools.get_mut(&to)?.backend_ids.insert(key.clone(), id);
        Some((BackendMove { id, from, to }, entry))
    }

    /// What the balancer was last notified of a backend.
    pub(crate) fn last_notified(&self, pool: PoolId, key: &EntryKey) -> Option<&BackendEntry> {
        let id = self.pools.get(&pool)?.backend_ids.get(key)?;
        self.backends.get(id).map(|backend| &backend.last_notified)
    }

    pub(crate) fn conflicts_since(&self, before: &BTreeSet<Conflict>) -> Vec<Conflict> {
        self.address_owners.conflicts().difference(before).copied().collect()
    }

    /// The driver has nothing of that backend any more, no attempt above all. Does nothing unless the backend is gone;
    /// returns whether it was.
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

    /// The backends gone that are not forgotten.
    pub fn gone(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.gone.iter().copied()
    }

    /// Forgets all backends gone that are not in use by the driver. To be called after all updates; costs a step for
    /// each backend gone.
    pub fn retain(&mut self, is_in_use: impl Fn(BackendId) -> bool) {
        let unused: Vec<BackendId> = self.gone.iter().copied().filter(|id| !is_in_use(*id)).collect();
        for id in unused {
            self.forget(id);
        }
    }

    /// Where the backend listens; also of one gone, until it is forgotten.
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id).map(|backend| backend.address)
    }

    /// What the backend may be sent; gone where it is not known.
    pub fn state(&self, id: BackendId) -> BackendState {
        self.backends.get(&id).map_or(BackendState::Gone, |backend| backend.last_notified.state)
    }

    /// The pool that the backend belongs to, or did.
    pub fn pool(&self, id: BackendId) -> Option<PoolId> {
        self.backends.get(&id).map(|backend| backend.pool)
    }

    /// The backend's name, for logs.
    pub fn name(&self, id: BackendId) -> Option<&str> {
        self.backends.get(&id).map(|backend| &*backend.name)
    }

    /// The pool's backends as its balancer was last notified of them, but for those gone.
    pub fn backends(&self, pool: PoolId) -> impl Iterator<Item = &BackendEntry> {
        let ids = self.pools.get(&pool).into_iter().flat_map(|pool| pool.backend_ids.values());
        let entries = ids.filter_map(|id| self.backends.get(id)).map(|backend| &backend.last_notified);
        entries.filter(|entry| entry.state != BackendState::Gone)
    }

    /// The pool's name, while there is such a pool.
    pub fn pool_name(&self, pool: PoolId) -> Option<&str> {
        self.pools.get(&pool).map(|pool| pool.name.as_str())
    }

    /// The pool of that name.
    pub fn pool_named(&self, name: &str) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.name == name).map(|(id, _)| *id)
    }

    /// The pool's deduplication domain. Backends of different domains never discard each other's repeats.
    pub fn deduplication_domain(&self, pool: PoolId) -> Option<u32> {
        self.pools.get(&pool).map(|pool| pool.domain)
    }

    /// The number of a zone's name, over all pools.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.intern(name))
    }

    /// The addresses that several pools' lists have now.
    pub fn conflicts(&self) -> BTreeSet<Conflict> {
        self.address_owners.conflicts()
    }
}
