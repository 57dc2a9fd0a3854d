//! One pool: what its list says.

use crate::address_owners::EntryKey;
use crate::hash::stable_hash;
use crate::interner::Interner;
use crate::list::{Endpoint, MAX_ENTRIES};
use shaletide_types::*;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A pool as the configuration has it.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Its name; no two have the same.
    pub name: String,
    /// Pools that name the same group are one deduplication domain: their backends discard each other's repeats.
    /// `None`: no other pool's backends do.
    pub repeat_group: Option<String>,
    /// Where its backends come from.
    pub source: Source,
}

/// Where a pool's backends come from.
#[derive(Clone, Debug)]
pub enum Source {
    /// The configuration. A backend is identified by its address here, whatever its name; its `started_at` holds only
    /// at the start of the program.
    Static(Vec<Endpoint>),
    /// An endpoint list from discovery. A backend is identified by its name.
    Discovered,
}

/// A backend as a pool's list has it, with names turned into numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedBackend {
    pub name: EntryKey,
    pub address: SocketAddr,
    pub started_at: Option<Time>,
    zone: ZoneId,
    server_type: ServerTypeId,
    /// The deduplication group as the list numbers it, within the pool's domain.
    group: u64,
    cores: u32,
    /// In thousandths.
    weight: u32,
    state: BackendState,
}

/// The numbers of names, over all pools.
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

    /// The entry that a balancer is notified of.
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

/// The name under which a server type is numbered. Backends of one server type are taken as equally fast: with more
/// cores it is another one, whatever its name.
fn server_type_name(endpoint: &Endpoint) -> Cow<'_, str> {
    match endpoint.cores {
        0 | 1 => endpoint.server_type.as_str().into(),
        cores => format!("{} of {cores} cores", endpoint.server_type).into(),
    }
}

/// The group's number among those of all domains: two groups of one domain never share one, and those of two domains
/// hardly ever. The first domain's groups keep their own numbers.
fn group_in_domain(group: u64, domain: u32) -> DeduplicationGroupId {
    if domain == 0 {
        return DeduplicationGroupId(group);
    }
    // One to one for a given domain: each step is invertible.
    let spread = group ^ u64::from(domain).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (spread ^ (spread >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    DeduplicationGroupId(mixed ^ (mixed >> 31))
}

/// What becomes of the entries named; `None`: gone.
pub type ListChanges = BTreeMap<EntryKey, Option<ListedBackend>>;

/// What an update changes of a pool's list.
#[derive(Clone, Debug, Default)]
pub struct PoolChanges {
    pub changes: ListChanges,
    /// How many entries were left out, beyond [`MAX_ENTRIES`].
    pub skipped: usize,
}

/// A pool and what its list says now.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    /// Its deduplication domain.
    pub domain: u32,
    /// Its backends come from the configuration.
    pub is_static: bool,
    pub listed: BTreeMap<EntryKey, ListedBackend>,
    /// The entries' numbers, also of backends gone that are not forgotten yet.
    pub backend_ids: BTreeMap<EntryKey, BackendId>,
}

impl Pool {
    /// What the entries change; `is_whole`: what is absent is gone. Of a name that is listed twice the last entry
    /// counts.
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
