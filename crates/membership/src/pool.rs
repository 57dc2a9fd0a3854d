//! A pool and its list.

use crate::address_owners::EntryKey;
use crate::hash::stable_hash;
use crate::interner::Interner;
use crate::list::{Endpoint, MAX_ENTRIES};
use shaletide_types::*;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The configuration of a pool.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// The pool's name, which is unique.
    pub name: String,
    /// The deduplication domain. The backends of pools with the same domain discard each other's repeats. With `None` the
    /// pool is a domain of its own.
    pub deduplication_domain: Option<String>,
    /// The source of the pool's backends.
    pub source: Source,
}

/// The source of a pool's backends.
#[derive(Clone, Debug)]
pub enum Source {
    /// The configuration. A backend is identified by its address, whatever its name. Its `started_at` is used only at the
    /// start of the program.
    Static(Vec<Endpoint>),
    /// An endpoint list from discovery. A backend is identified by its name.
    Discovered,
}

/// A backend in a pool's list, with numbers in place of names.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedBackend {
    pub name: EntryKey,
    pub address: SocketAddr,
    pub started_at: Option<Time>,
    zone: ZoneId,
    server_type: ServerTypeId,
    /// The deduplication group by the list's number, which is valid within the pool's domain.
    group: u64,
    cores: u32,
    /// The weight in thousandths.
    weight: u32,
    state: BackendState,
}

/// The numbers of names, shared by all pools.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    pub zones: Interner,
    pub server_types: Interner,
}

impl ListedBackend {
    pub fn new(endpoint: Endpoint, names: &mut NameTables) -> ListedBackend {
        let server_type = ServerTypeId(names.server_types.intern(&server_type_name(&endpoint)));
        ListedBackend {
            name: endpoint.name.into(),
            address: endpoint.address,
            started_at: endpoint.started_at,
            zone: ZoneId(names.zones.intern(&endpoint.zone)),
            server_type,
            group: endpoint.deduplication_group,
            cores: endpoint.cores.max(1),
            weight: endpoint.weight,
            state: endpoint.state,
        }
    }

    /// Returns the entry of which a balancer is notified.
    pub fn entry(&self, id: BackendId, domain: u32) -> BackendEntry {
        BackendEntry {
            id,
            stable_hash: stable_hash(&self.name),
            zone: self.zone,
            deduplication_group: group_in_domain(self.group, domain),
            deduplication_domain: domain,
            server_type: self.server_type,
            cores: self.cores,
            weight: self.weight,
            state: self.state,
            started_at: self.started_at,
        }
    }
}

/// Returns the name under which a server type is numbered. Backends of one server type are assumed to be equally fast, so the
/// same type with another number of cores counts as another server type.
fn server_type_name(endpoint: &Endpoint) -> Cow<'_, str> {
    match endpoint.cores {
        0 | 1 => endpoint.server_type.as_str().into(),
        cores => format!("{} of {cores} cores", endpoint.server_type).into(),
    }
}

/// Returns a group's number that is valid across all domains. Two groups of one domain never have the same number, and those
/// of two domains very rarely. Groups of the first domain keep the list's numbers.
fn group_in_domain(group: u64, domain: u32) -> DeduplicationGroupId {
    if domain == 0 {
        return DeduplicationGroupId(group);
    }
    // Injective for a given domain, as each step is invertible.
    let spread = group ^ u64::from(domain).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (spread ^ (spread >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    DeduplicationGroupId(mixed ^ (mixed >> 31))
}

/// The new states of changed entries; `None` for an entry that is gone.
pub type ListChanges = BTreeMap<EntryKey, Option<ListedBackend>>;

/// The changes that an update makes to a pool's list.
#[derive(Clone, Debug, Default)]
pub struct PoolChanges {
    pub changes: ListChanges,
    /// Number of entries that were skipped, beyond [`MAX_ENTRIES`].
    pub skipped: usize,
}

/// A pool and its present list.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    /// The pool's deduplication domain.
    pub domain: u32,
    /// Whether the backends come from the configuration.
    pub is_static: bool,
    pub listed: BTreeMap<EntryKey, ListedBackend>,
    /// The numbers of the entries' backends, including gone ones that are not forgotten yet.
    pub backend_ids: BTreeMap<EntryKey, BackendId>,
}

impl Pool {
    /// Returns the changes that the entries make. If `is_whole`, entries that are absent are gone. Of several entries with
    /// one name the last one counts.
    pub fn changes(
        &self, is_whole: bool, entries: impl Iterator<Item = (EntryKey, Option<ListedBackend>)>,
    ) -> PoolChanges {
        let mut result = PoolChanges::default();
        let mut size = self.listed.len();
        if is_whole {
            result.changes.extend(self.listed.keys().map(|key| (key.clone(), None)));
            size = 0;
        }
        for (key, change) in entries {
            let was_listed = result.changes.get(&key).map_or(self.listed.contains_key(&key), Option::is_some);
            if change.is_some() && !was_listed {
                if size == MAX_ENTRIES {
                    result.skipped += 1;
                    continue;
                }
                size += 1;
            } else if change.is_none() && was_listed {
                size -= 1;
            }
            result.changes.insert(key, change);
        }
        result
    }
}

#[cfg(test)]
mod tests;
