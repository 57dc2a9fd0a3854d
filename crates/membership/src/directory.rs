//! All pools: which backend belongs to which, under which number, and what the balancers are told.

use crate::address_owners::{AddressOwners, Conflict, EntryKey};
use crate::list::Endpoint;
use crate::pool::{ListChanges, ListedBackend, NameTables, Pool, PoolSpec};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A backend that went from one pool to another and is the same process still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendMove {
    /// Its number, before and after.
    pub id: BackendId,
    /// The pool that it left; its balancer is told that the backend is gone.
    pub from: PoolId,
    /// The pool that it belongs to now.
    pub to: PoolId,
}

/// What follows from news, to be carried out in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryUpdate {
    /// Backends whose budget, counts and drain go along to another pool.
    pub moved: Vec<BackendMove>,
    /// What each pool's balancer is to be told, in this order: the pool that lost a backend hears of it before
    /// the one that got it.
    pub notifications: Vec<(PoolId, EndpointUpdate, Vec<BackendEntry>)>,
    /// Conflicts that were not there before.
    pub conflicts: Vec<Conflict>,
    /// Entries beyond [`crate::MAX_ENTRIES`], which were left out.
    pub skipped: usize,
}

#[derive(Clone, Debug)]
struct TrackedBackend {
    pool: PoolId,
    key: EntryKey,
    name: EntryKey,
    address: SocketAddr,
    /// The row that the pool's balancer was last told.
    told: BackendEntry,
}

/// What the lists of all pools say, and which pool each address belongs to.
///
/// Between pools: an address that the lists of several pools bring stays with the pool that had it first,
/// draining or not, until its list has no entry there; then it goes at once to the next in line. Within a
/// pool any number of names may share an address: a successor at the address of one that has gone, or has not
/// gone yet, is a backend of its own.
///
/// A backend of a listed pool is known by its name, one of a static pool by its address. It keeps its number
/// while its list has it, also at another address: what the balancer knows of it goes along, and connections
/// to the old address are for the host to drop. One that returns after it was gone has a new number once the
/// old one is forgotten, see [`Directory::forget`].
///
/// Bounds: [`crate::MAX_ENTRIES`] entries a pool, some 650 bytes each, the backends gone that the
/// host has not let be forgotten, [`crate::MAX_NUMBERED`] names of zones and as many of server_types. Interner of
/// backends and pools are used once: 2^32 of them.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) address_owners: AddressOwners,
    pub(crate) names: NameTables,
    /// By group, or by pool where it has none.
    pub(crate) domains: BTreeMap<(bool, String), u32>,
    pub(crate) next_domain: u32,
    pub(crate) next_pool_id: u32,
    next_backend_id: u32,
    backends: BTreeMap<BackendId, TrackedBackend>,
    /// Those that may be forgotten.
    gone: BTreeSet<BackendId>,
}

impl Directory {
    /// At the start of the program, with names of zones and server_types that are numbered from 0. The backends of
    /// static pools are as old as the configuration says.
    pub fn new(
        zones: &[String], server_types: &[String], pools: Vec<PoolSpec>,
    ) -> (Directory, DirectoryUpdate) {
        let names = NameTables {
            zones: crate::interner::Interner::new(zones),
            server_types: crate::interner::Interner::new(server_types),
        };
        let mut directory = Directory { names, ..Directory::default() };
        let told = directory.configure(None, pools);
        (directory, told)
    }

    /// The configuration was read again. Pools keep their numbers by name. In static pools a backend whose
    /// address is new counts as started now, one taken out is gone, and one that went to another static pool
    /// keeps its number and its age. A pool that was static and is listed now keeps its backends until its list
    /// comes.
    pub fn reload(&mut self, now: Time, pools: Vec<PoolSpec>) -> DirectoryUpdate {
        self.configure(Some(now), pools)
    }

    /// News of a listed pool's list; of other pools it is ignored. Other pools than that one are told
    /// changes, by which no subscription of theirs is answered.
    pub fn apply_update(
        &mut self, pool: PoolId, update: EndpointUpdate, entries: Vec<Endpoint>,
    ) -> DirectoryUpdate {
        let mut told = DirectoryUpdate::default();
        let Some(to) = self.pools.get(&pool).filter(|to| !to.is_static) else { return told };
        if update == EndpointUpdate::SubscriptionLost {
            told.notifications.push((pool, update, Vec::new()));
            return told;
        }
        let names = &mut self.names;
        let entries = entries.into_iter().map(|e| {
            let key = EntryKey::from(e.name.as_str());
            (key, (e.state != BackendState::Gone).then(|| ListedBackend::new(e, names)))
        });
        let whole = matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached);
        let (changes, skipped) = to.changes(whole, entries);
        told.skipped = skipped;
        let before = self.address_owners.conflicts();
        let keys: Vec<EntryKey> = changes.keys().cloned().collect();
        let passed_on = self.apply(vec![(pool, changes)], |_| false);
        let mut rows: Vec<BackendEntry> = keys.iter().filter_map(|key| self.refresh(pool, key)).collect();
        if whole {
            rows.retain(|row| row.state != BackendState::Gone); // they are by being absent
        }
        told.notifications.push((pool, update, rows));
        let mut gains: BTreeMap<PoolId, Vec<BackendEntry>> = BTreeMap::new();
        for (address, owner) in passed_on {
            let keys: Vec<EntryKey> = self.address_owners.entries(address, owner).cloned().collect();
            gains.entry(owner).or_default().extend(keys.iter().filter_map(|key| self.refresh(owner, key)));
        }
        told.notifications
            .extend(gains.into_iter().map(|(owner, rows)| (owner, EndpointUpdate::Delta, rows)));
        told.conflicts = self.address_owners.conflicts().difference(&before).copied().collect();
        told
    }

    /// Takes over what the lists say. All entries that came are claimed before any that went is given up, so
    /// that a pool keeps its place in line when one name follows another, in whatever order they are told.
    /// Returns the addresses that went to another pool; `has_precedence` as with [`AddressOwners::remove`].
    pub(crate) fn apply(
        &mut self, news: Vec<(PoolId, ListChanges)>, has_precedence: impl Fn(PoolId) -> bool,
    ) -> BTreeMap<SocketAddr, PoolId> {
        let mut left = Vec::new();
        for (id, changes) in news {
            let Some(pool) = self.pools.get_mut(&id) else { continue };
            for (key, change) in changes {
                let to = change.as_ref().map(|listed| listed.address);
                let old = match change {
                    Some(listed) => pool.listed.insert(key.clone(), listed),
                    None => pool.listed.remove(&key),
                };
                let from = old.map(|listed| listed.address);
                if from == to {
                    continue;
                }
                to.into_iter().for_each(|address| self.address_owners.add(address, id, &key));
                left.extend(from.map(|address| (address, id, key)));
            }
        }
        let mut passed_on = BTreeMap::new();
        for (address, id, key) in left {
            passed_on.extend(
                self.address_owners.remove(address, id, &key, &has_precedence).map(|owner| (address, owner)),
            );
        }
        passed_on
    }

    /// The row of an entry that its pool is to be told now: as its list has it where the address is the
    /// pool's, else gone if it was not told so before.
    pub(crate) fn refresh(&mut self, pool: PoolId, key: &EntryKey) -> Option<BackendEntry> {
        let to = self.pools.get_mut(&pool)?;
        let listed =
            to.listed.get(key).filter(|listed| self.address_owners.owner(listed.address) == Some(pool));
        let Some(listed) = listed else {
            let id = *to.backend_ids.get(key)?;
            return self.mark_gone(id);
        };
        let id = *to.backend_ids.entry(key.clone()).or_insert_with(|| {
            self.next_backend_id += 1;
            BackendId(self.next_backend_id - 1)
        });
        let told = listed.entry(id, to.domain);
        let (key, name, address) = (key.clone(), listed.name.clone(), listed.address);
        self.backends.insert(id, TrackedBackend { pool, key, name, address, told: told.clone() });
        self.gone.remove(&id);
        Some(told)
    }

    /// The backend is gone: the row that says so, where it was not said before.
    fn mark_gone(&mut self, id: BackendId) -> Option<BackendEntry> {
        let known = self.backends.get_mut(&id).filter(|known| known.told.state != BackendState::Gone)?;
        known.told.state = BackendState::Gone;
        self.gone.insert(id);
        Some(known.told.clone())
    }

    /// Takes the backend of that entry over into another pool. Returns it with the row for the pool that it left.
    pub(crate) fn move_backend(
        &mut self, key: &EntryKey, from: PoolId, to: PoolId,
    ) -> Option<(BackendMove, BackendEntry)> {
        let id = self.pools.get_mut(&from)?.backend_ids.remove(key)?;
        let row = self.mark_gone(id)?;
        self.backends.get_mut(&id)?.pool = to;
        self.pools.get_mut(&to)?.backend_ids.insert(key.clone(), id);
        Some((BackendMove { id, from, to }, row))
    }

    /// What a backend's balancer was last told of it.
    pub(crate) fn last_notified(&self, pool: PoolId, key: &EntryKey) -> Option<&BackendEntry> {
        let id = self.pools.get(&pool)?.backend_ids.get(key)?;
        self.backends.get(id).map(|known| &known.told)
    }

    /// The host holds nothing of that backend any more, no attempt above all. Does nothing unless the backend is
    /// gone; returns whether it was.
    pub fn forget(&mut self, id: BackendId) -> bool {
        if !self.gone.remove(&id) {
            return false;
        }
        let Some(known) = self.backends.remove(&id) else { return false };
        if let Some(pool) = self.pools.get_mut(&known.pool) {
            if pool.backend_ids.get(&known.key) == Some(&id) {
                pool.backend_ids.remove(&known.key);
            }
        }
        true
    }

    /// The backends gone that are not forgotten.
    pub fn gone(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.gone.iter().copied()
    }

    /// Forgets all backends gone that the host does not hold. To be called after all news; costs a step for each
    /// backend gone.
    pub fn retain(&mut self, holds: impl Fn(BackendId) -> bool) {
        let free: Vec<BackendId> = self.gone.iter().copied().filter(|id| !holds(*id)).collect();
        free.into_iter().for_each(|id| {
            self.forget(id);
        });
    }

    /// Where the backend listens; also of one gone, until it is forgotten.
    pub fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id).map(|known| known.address)
    }

    /// What the backend may be sent; gone where it is not known.
    pub fn state(&self, id: BackendId) -> BackendState {
        self.backends.get(&id).map_or(BackendState::Gone, |known| known.told.state)
    }

    /// The pool that the backend belongs to, or did.
    pub fn pool(&self, id: BackendId) -> Option<PoolId> {
        self.backends.get(&id).map(|known| known.pool)
    }

    /// The backend's name, for logs.
    pub fn name(&self, id: BackendId) -> Option<&str> {
        self.backends.get(&id).map(|known| &*known.name)
    }

    /// The pool's backends as its balancer was last told, but for those gone.
    pub fn backends(&self, pool: PoolId) -> impl Iterator<Item = &BackendEntry> {
        let numbers = self.pools.get(&pool).into_iter().flat_map(|p| p.backend_ids.values());
        let rows = numbers.filter_map(|id| self.backends.get(id)).map(|known| &known.told);
        rows.filter(|row| row.state != BackendState::Gone)
    }

    /// The pool's name, while there is such a pool.
    pub fn pool_name(&self, pool: PoolId) -> Option<&str> {
        self.pools.get(&pool).map(|pool| pool.name.as_str())
    }

    /// The pool of that name.
    pub fn pool_named(&self, name: &str) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.name == name).map(|(id, _)| *id)
    }

    /// The pool's repeat group. Backends of different domains never drop each other's repeats.
    pub fn deduplication_domain(&self, pool: PoolId) -> Option<u32> {
        self.pools.get(&pool).map(|pool| pool.domain)
    }

    /// The number of a zone's name, over all pools.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.intern(name))
    }

    /// The addresses that several lists bring now.
    pub fn conflicts(&self) -> BTreeSet<Conflict> {
        self.address_owners.conflicts()
    }
}
