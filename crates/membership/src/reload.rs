//! The pools as the configuration has them, at the start and whenever it is read again.

use crate::address_owners::Key;
use crate::directory::{Directory, DirectoryUpdate};
use crate::list::Endpoint;
use crate::pool::{Changes, ListedBackend, Pool, PoolSpec, Source};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The rows that go to each pool.
type Rows = BTreeMap<PoolId, Vec<BackendEntry>>;

impl Directory {
    /// `now` is none at the start of the program.
    pub(crate) fn set(&mut self, now: Option<Time>, specs: Vec<PoolSpec>) -> DirectoryUpdate {
        let before = self.claims.conflicts();
        let fixed_owners = self.fixed_owners();
        let earlier: BTreeMap<PoolId, bool> = self.pools.iter().map(|(id, pool)| (*id, pool.fixed)).collect();
        let mut told = DirectoryUpdate::default();
        let mut news = Vec::new();
        let mut kept = BTreeSet::new();
        for spec in specs {
            let id = self.place(&spec);
            kept.insert(id);
            if let Source::Static(boxes) = spec.source {
                let age = |at: SocketAddr| now.map(|now| self.age(id, at, &earlier).unwrap_or(Some(now)));
                let ages: Vec<_> = boxes.iter().map(|e| age(e.address)).collect();
                let (changes, skipped) = self.fixed_changes(id, boxes, ages);
                told.skipped += skipped;
                news.push((id, changes));
            }
        }
        for (id, pool) in self.pools.iter().filter(|(id, _)| !kept.contains(id)) {
            news.push((*id, pool.listed.keys().map(|key| (key.clone(), None)).collect()));
        }
        // The configuration's word: what a pool gives up here, a static one takes before any list in line.
        let fixed: BTreeSet<PoolId> = self.pools.iter().filter(|(_, p)| p.fixed).map(|(id, _)| *id).collect();
        self.apply(news, |id| fixed.contains(&id) && kept.contains(&id));
        let mut gone = self.carry_over(&fixed_owners, &fixed, &mut told);
        let mut rest = self.differences(&mut gone);
        self.pools.retain(|id, _| kept.contains(id));
        let realms: BTreeSet<u32> = self.pools.values().map(|pool| pool.realm).collect();
        self.realms.retain(|_, realm| realms.contains(realm));
        told.notifications.extend(gone.into_iter().map(|(id, rows)| (id, EndpointUpdate::Delta, rows)));
        // A new static pool has its whole list; of a new listed one nothing is known yet.
        kept.iter().filter(|id| fixed.contains(id) && !earlier.contains_key(id)).for_each(|id| {
            rest.entry(*id).or_default();
        });
        told.notifications.extend(rest.into_iter().map(|(id, rows)| {
            (
                id,
                if earlier.contains_key(&id) { EndpointUpdate::Delta } else { EndpointUpdate::Snapshot },
                rows,
            )
        }));
        told.conflicts = self.claims.conflicts().difference(&before).copied().collect();
        told
    }

    /// The pool of that name, made if there is none, as the configuration has it; its list is left as it is.
    fn place(&mut self, spec: &PoolSpec) -> PoolId {
        let group = spec.repeat_group.clone();
        let group = (group.is_some(), group.unwrap_or_else(|| spec.name.clone()));
        let realm = *self.realms.entry(group).or_insert_with(|| {
            self.realms_met += 1;
            self.realms_met - 1
        });
        let fixed = matches!(spec.source, Source::Static(_));
        let id = self.pool_named(&spec.name).unwrap_or_else(|| {
            self.pools_met += 1;
            PoolId(self.pools_met - 1)
        });
        let pool = self.pools.entry(id).or_insert_with(|| Pool {
            name: spec.name.clone(),
            realm,
            fixed,
            listed: BTreeMap::new(),
            numbers: BTreeMap::new(),
        });
        (pool.realm, pool.fixed) = (realm, fixed);
        id
    }

    /// What a static pool's backends are now, each with when it last started where that is not as it says.
    fn fixed_changes(
        &mut self, id: PoolId, boxes: Vec<Endpoint>, ages: Vec<Option<Option<Time>>>,
    ) -> (Changes, usize) {
        let names = &mut self.names;
        let present = boxes.into_iter().zip(ages).filter(|(e, _)| e.state != BackendState::Gone);
        let entries = present.map(|(e, age)| {
            let booted = age.unwrap_or(e.started_at);
            (key(e.address), Some(ListedBackend::new(Endpoint { started_at: booted, ..e }, names)))
        });
        self.pools.get(&id).map_or_else(Default::default, |pool| pool.changes(true, entries))
    }

    /// When a backend that stands at that address since before the reload last started, as this pool has it or
    /// else one that was static; `None` where it is new.
    fn age(&self, id: PoolId, at: SocketAddr, earlier: &BTreeMap<PoolId, bool>) -> Option<Option<Time>> {
        let booted = |pool: &PoolId| {
            let key = self.claims.entries(at, *pool).next()?;
            Some(self.pools.get(pool)?.listed.get(key)?.booted)
        };
        let fixed = |pool: &&PoolId| earlier.get(pool) == Some(&true);
        booted(&id).or_else(|| self.claims.line(at).iter().filter(fixed).find_map(booted))
    }

    /// The addresses that belong to static pools.
    fn fixed_owners(&self) -> BTreeMap<SocketAddr, PoolId> {
        let fixed = self.pools.iter().filter(|(_, pool)| pool.fixed);
        let each = fixed.flat_map(|(id, pool)| pool.listed.values().map(|listed| (listed.address, *id)));
        each.filter(|(address, id)| self.claims.owner(*address) == Some(*id)).collect()
    }

    /// Backends that went from one static pool to another: the same process, so the same number. Returns what
    /// the pools that they left are told.
    fn carry_over(
        &mut self, owners: &BTreeMap<SocketAddr, PoolId>, fixed: &BTreeSet<PoolId>,
        told: &mut DirectoryUpdate,
    ) -> Rows {
        let mut gone = Rows::new();
        for (address, from) in owners {
            let to = self.claims.owner(*address).filter(|to| to != from && fixed.contains(to));
            let Some((moved, row)) = to.and_then(|to| self.shift(&key(*address), *from, to)) else {
                continue;
            };
            told.moved.push(moved);
            gone.entry(*from).or_default().push(row);
        }
        gone
    }

    /// All rows that are not as they were last told; those of backends that are gone are added to `gone`.
    fn differences(&mut self, gone: &mut Rows) -> Rows {
        let mut rest = Rows::new();
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for id in pools {
            let pool = &self.pools[&id];
            let keys: BTreeSet<Key> = pool.listed.keys().chain(pool.numbers.keys()).cloned().collect();
            for key in keys {
                let before = self.last_told(id, &key).cloned();
                let Some(row) = self.tell(id, &key).filter(|row| before.as_ref() != Some(row)) else {
                    continue;
                };
                let to = if row.state == BackendState::Gone { &mut *gone } else { &mut rest };
                to.entry(id).or_default().push(row);
            }
        }
        rest
    }
}

/// What a static pool's backend is known by.
fn key(address: SocketAddr) -> Key {
    address.to_string().into()
}
