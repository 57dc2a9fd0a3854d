//! The pools whose lists contain an address, in the order of their claims. The first one owns the address.

use shaletide_types::PoolId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies an entry within its pool.
pub type EntryKey = Arc<str>;

/// An address that is in the lists of two pools. It stays with the pool that claimed it first until that pool's list has no
/// entry at the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Conflict {
    /// The address.
    pub address: SocketAddr,
    /// The pool that owns it.
    pub owner: PoolId,
    /// The pool that owns the address only after all earlier claimants have released it.
    pub waiting: PoolId,
}

/// The pools that claim each address. Several entries of a pool at one address count as one claim.
#[derive(Clone, Debug, Default)]
pub struct AddressOwners {
    claimants: BTreeMap<SocketAddr, Vec<PoolId>>,
    entries: BTreeSet<(SocketAddr, PoolId, EntryKey)>,
    /// Addresses with more than one claimant.
    contested: BTreeSet<SocketAddr>,
}

impl AddressOwners {
    /// Returns the pool that owns the address.
    pub fn owner(&self, address: SocketAddr) -> Option<PoolId> {
        self.claimants(address).first().copied()
    }

    /// Returns the pools whose lists contain the address, the owner first.
    pub fn claimants(&self, address: SocketAddr) -> &[PoolId] {
        self.claimants.get(&address).map_or(&[], Vec::as_slice)
    }

    /// Returns the pool's entries at the address.
    pub fn entries(&self, address: SocketAddr, pool: PoolId) -> impl Iterator<Item = &EntryKey> {
        let from = (address, pool, EntryKey::from(""));
        let here = self.entries.range(from..).take_while(move |(at, by, _)| (*at, *by) == (address, pool));
        here.map(|(_, _, key)| key)
    }

    /// Adds an entry of the pool at the address. The pool becomes the last claimant if it is not a claimant already.
    pub fn add(&mut self, address: SocketAddr, pool: PoolId, key: &EntryKey) {
        self.entries.insert((address, pool, key.clone()));
        let claimants = self.claimants.entry(address).or_default();
        if !claimants.contains(&pool) {
            claimants.push(pool);
        }
        if claimants.len() > 1 {
            self.contested.insert(address);
        }
    }

    /// Removes an entry of the pool at the address. With its last entry the pool loses its claim. Its position goes to the
    /// first of the later claimants that has precedence, if there is one. Returns the new owner if the owner changed.
    pub fn remove(
        &mut self, address: SocketAddr, pool: PoolId, key: &EntryKey, has_precedence: impl Fn(PoolId) -> bool,
    ) -> Option<PoolId> {
        self.entries.remove(&(address, pool, key.clone()));
        if self.entries(address, pool).next().is_some() {
            return None;
        }
        let claimants = self.claimants.get_mut(&address)?;
        let position = claimants.iter().position(|claimant| *claimant == pool)?;
        claimants.remove(position);
        let behind = &mut claimants[position..];
        if let Some(preferred) = behind.iter().position(|claimant| has_precedence(*claimant)) {
            behind[..=preferred].rotate_right(1);
        }
        let owner = claimants.first().copied();
        if claimants.len() < 2 {
            self.contested.remove(&address);
        }
        if claimants.is_empty() {
            self.claimants.remove(&address);
        }
        owner.filter(|_| position == 0)
    }

    /// Returns all claimants that do not own their address.
    pub fn conflicts(&self) -> BTreeSet<Conflict> {
        let mut conflicts = BTreeSet::new();
        for address in &self.contested {
            let Some((owner, others)) = self.claimants(*address).split_first() else { continue };
            for waiting in others {
                conflicts.insert(Conflict { address: *address, owner: *owner, waiting: *waiting });
            }
        }
        conflicts
    }
}

#[cfg(test)]
mod tests;
