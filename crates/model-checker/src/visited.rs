//! The set of visited states, each as a 128-bit fingerprint.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Mutex;

const SHARDS: usize = 256;

/// Uses 64 bits of a fingerprint as the hash: fingerprints are evenly distributed already.
#[derive(Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {
        unreachable!("fingerprints are written whole");
    }
    fn write_u128(&mut self, fingerprint: u128) {
        self.0 = fingerprint as u64;
    }
}

type Shard = HashSet<u128, BuildHasherDefault<IdentityHasher>>;

/// A set of fingerprints that several threads add to.
pub struct Visited {
    shards: Vec<Mutex<Shard>>,
}

impl Default for Visited {
    fn default() -> Visited {
        Visited { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl Visited {
    /// Adds a fingerprint. Returns false if the set contains it already.
    pub fn insert(&self, fingerprint: u128) -> bool {
        let shard = &self.shards[(fingerprint >> 120) as usize % SHARDS];
        shard.lock().expect("no thread panics while it holds a shard").insert(fingerprint)
    }

    /// Returns the memory use in bytes: 16 and a control byte per slot; a table fills at most 7 of 8 slots.
    pub fn bytes(&self) -> usize {
        let table_bytes = |shard: &Mutex<Shard>| shard.lock().map_or(0, |s| s.capacity() * 8 / 7 * 17);
        self.shards.iter().map(table_bytes).sum()
    }
}
