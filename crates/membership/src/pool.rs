//! One pool: what its list says.

use crate::address_owners::EntryKey;
use crate::hash::stable_hash;
use crate::interner::Interner;
use crate::list::{Endpoint, MAX_ENTRIES};
use shaletide_types::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A pool as the configuration has it.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Its name; no two have the same.
    pub name: String,
    /// The pools that name the same group drop each other's repeats. `None`: no other pool's backends do.
    pub repeat_group: Option<String>,
    /// Where its backends come from.
    pub source: Source,
}

/// Where a pool's backends come from.
#[derive(Clone, Debug)]
pub enum Source {
    /// The configuration. A backend is known by its address here, whatever its name; its `started_at` holds only at
    /// the start of the program.
    Static(Vec<Endpoint>),
    /// A list of which there is news. A backend is known by its name.
    Discovered,
}

/// An entry that is not gone.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedBackend {
    pub name: EntryKey,
    pub address: SocketAddr,
    pub started_at: Option<Time>,
    zone: ZoneId,
    kind: ServerTypeId,
    bay: u64,
    cores: u32,
    weight: u32,
    state: BackendState,
}

/// The names' numbers over all pools.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    pub zones: Interner,
    pub server_types: Interner,
}

impl ListedBackend {
    pub fn new(e: Endpoint, names: &mut NameTables) -> ListedBackend {
        let kind = ServerTypeId(names.server_types.intern(&speed_class(&e)));
        ListedBackend {
            name: e.name.into(),
            address: e.address,
            started_at: e.started_at,
            zone: ZoneId(names.zones.intern(&e.zone)),
            kind,
            bay: e.deduplication_group,
            cores: e.cores.max(1),
            weight: e.weight,
            state: e.state,
        }
    }

    /// The row that a balancer is told.
    pub fn entry(&self, id: BackendId, domain: u32) -> BackendEntry {
        BackendEntry {
            id,
            stable_hash: stable_hash(&self.name),
            zone: self.zone,
            deduplication_group: cell(self.bay, domain),
            deduplication_domain: domain,
            server_type: self.kind,
            cores: self.cores,
            weight: self.weight,
            state: self.state,
            started_at: self.started_at,
        }
    }
}

/// Machines of one kind are taken as equally fast: with more cores it is another kind, whatever its name.
fn speed_class(e: &Endpoint) -> std::borrow::Cow<'_, str> {
    match e.cores {
        0 | 1 => e.server_type.as_str().into(),
        cores => format!("{} of {cores} cores", e.server_type).into(),
    }
}

/// The bay's number among those of all domains: two bays of one domain never share one, and those of two domains
/// hardly ever. The first domain's bays keep their own numbers.
fn cell(bay: u64, domain: u32) -> DeduplicationGroupId {
    if domain == 0 {
        return DeduplicationGroupId(bay);
    }
    // One to one for a given domain: each step can be undone.
    let spread = bay ^ u64::from(domain).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (spread ^ (spread >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    DeduplicationGroupId(mixed ^ (mixed >> 31))
}

/// What becomes of the entries named; `None`: gone.
pub type ListChanges = BTreeMap<EntryKey, Option<ListedBackend>>;

/// A pool and what its list says now.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    pub domain: u32,
    /// Its backends come from the configuration.
    pub is_static: bool,
    pub listed: BTreeMap<EntryKey, ListedBackend>,
    /// The entries' numbers, also of those gone that may not be forgotten yet.
    pub backend_ids: BTreeMap<EntryKey, BackendId>,
}

impl Pool {
    /// What the entries change; `whole`: what is absent is gone. A name that stands twice counts as it stands
    /// last. Returns how many had no room, too.
    pub fn changes(
        &self, whole: bool, entries: impl Iterator<Item = (EntryKey, Option<ListedBackend>)>,
    ) -> (ListChanges, usize) {
        let (mut changes, mut size) = (ListChanges::new(), self.listed.len());
        if whole {
            changes.extend(self.listed.keys().map(|key| (key.clone(), None)));
            size = 0;
        }
        let mut skipped = 0;
        for (key, change) in entries {
            let held = changes.get(&key).map_or(self.listed.contains_key(&key), Option::is_some);
            match (held, change.is_some()) {
                (false, true) if size == MAX_ENTRIES => {
                    skipped += 1;
                    continue;
                }
                (false, true) => size += 1,
                (true, false) => size -= 1,
                _ => {}
            }
            changes.insert(key, change);
        }
        (changes, skipped)
    }
}

#[cfg(test)]
mod tests;
