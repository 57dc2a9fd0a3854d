//! Which pools' lists bring an address, and in which order: the first has it.

use shaletide_types::PoolId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// What an entry is known by within its pool.
pub type EntryKey = Arc<str>;

/// An address that two lists bring at once. It stays with the pool that had it first until that pool's list
/// has no entry there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Conflict {
    /// The address.
    pub address: SocketAddr,
    /// The pool that has it.
    pub owner: PoolId,
    /// The pool that gets it only when the others in front have dropped it.
    pub waiting: PoolId,
}

/// The pools in line for each address. Several entries of one pool at one address are one claim.
#[derive(Clone, Debug, Default)]
pub struct AddressOwners {
    claimants: BTreeMap<SocketAddr, Vec<PoolId>>,
    entries: BTreeSet<(SocketAddr, PoolId, EntryKey)>,
    contested: BTreeSet<SocketAddr>,
}

impl AddressOwners {
    /// The pool that has the address.
    pub fn owner(&self, address: SocketAddr) -> Option<PoolId> {
        self.claimants(address).first().copied()
    }

    /// The pools whose lists bring the address, the owner first.
    pub fn claimants(&self, address: SocketAddr) -> &[PoolId] {
        self.claimants.get(&address).map_or(&[], Vec::as_slice)
    }

    /// The pool's entries at the address.
    pub fn entries(&self, address: SocketAddr, pool: PoolId) -> impl Iterator<Item = &EntryKey> {
        let from = (address, pool, EntryKey::from(""));
        let here = self.entries.range(from..).take_while(move |(at, by, _)| (*at, *by) == (address, pool));
        here.map(|(_, _, key)| key)
    }

    /// The pool's list has an entry there. Its pool goes to the end of the line if it does not stand in it.
    pub fn add(&mut self, address: SocketAddr, pool: PoolId, key: &EntryKey) {
        self.entries.insert((address, pool, key.clone()));
        let line = self.claimants.entry(address).or_default();
        if !line.contains(&pool) {
            line.push(pool);
        }
        if line.len() > 1 {
            self.contested.insert(address);
        }
    }

    /// The pool's list has that entry there no longer. After its last one it leaves the line; of those
    /// behind, the first that has precedence takes its place, before any that came earlier. Returns the new owner
    /// where it is another.
    pub fn remove(
        &mut self, address: SocketAddr, pool: PoolId, key: &EntryKey, has_precedence: impl Fn(PoolId) -> bool,
    ) -> Option<PoolId> {
        self.entries.remove(&(address, pool, key.clone()));
        if self.entries(address, pool).next().is_some() {
            return None;
        }
        let line = self.claimants.get_mut(&address)?;
        let at = line.iter().position(|p| *p == pool)?;
        line.remove(at);
        if let Some(behind) = line[at..].iter().position(|p| has_precedence(*p)) {
            line[at..=at + behind].rotate_right(1);
        }
        let next = line.first().copied();
        if line.len() < 2 {
            self.contested.remove(&address);
        }
        if line.is_empty() {
            self.claimants.remove(&address);
        }
        next.filter(|_| at == 0)
    }

    /// All that stand in line now.
    pub fn conflicts(&self) -> BTreeSet<Conflict> {
        let each = self.contested.iter().filter_map(|address| {
            let (owner, waiting) = self.claimants(*address).split_first()?;
            Some(waiting.iter().map(|w| Conflict { address: *address, owner: *owner, waiting: *w }))
        });
        each.flatten().collect()
    }
}

#[cfg(test)]
mod tests;
