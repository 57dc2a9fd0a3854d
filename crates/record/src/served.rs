//! Served keys, by the million.
//!
//! Of each only a fingerprint of 128 bits is kept: SHA-256 over a secret and the key. Two keys that share one would
//! make the recorder call a key served that was not, and it would be rejected unsent: the mistake that costs an
//! operator a look, and never a second run. With a million keys it befalls one new key in 10^32. Whatever is not
//! settled is kept as it is, elsewhere: what frees a key never goes by a fingerprint.

use crate::chain::put;
use crate::row::KeyId;
use sha2::{Digest, Sha256};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeSet, VecDeque};

/// Stretches into which the time that keys are kept is cut: the store is told of the end of one, not of each key.
const SLICES: u64 = 256;

type Print = [u8; 16];

/// Keys whose time is up together.
#[derive(Clone, Debug)]
struct Slice {
    /// When the time of its first key is up.
    from: Time,
    /// When that of its last is.
    until: Time,
    /// The highest row that one of them has.
    through: u64,
    /// The keys, but for those that were left to the store.
    prints: VecDeque<Print>,
}

/// The keys that were served and whose time is not up.
#[derive(Clone, Debug)]
pub(crate) struct Served {
    secret: [u8; 16],
    prints: BTreeSet<Print>,
    slices: VecDeque<Slice>,
}

impl Served {
    pub fn new(secret: [u8; 16]) -> Served {
        Served { secret, prints: BTreeSet::new(), slices: VecDeque::new() }
    }

    pub fn has(&self, key: &KeyId) -> bool {
        self.prints.contains(&self.print(key))
    }

    pub fn len(&self) -> usize {
        self.prints.len()
    }

    /// A key whose row `seq` is durable. Rows come in their order; `until` never goes back by more than a slice
    /// gains by it, as the store knows rows and no time.
    pub fn add(&mut self, key: &KeyId, seq: u64, until: Time, keep: Micros, most: usize) {
        let print = self.print(key);
        let until = self.slices.back().map_or(until, |s| s.until.max(until));
        let fits = |s: &&mut Slice| until - s.from <= Micros(keep.0 / SLICES);
        match self.slices.back_mut().filter(fits) {
            Some(slice) => {
                (slice.until, slice.through) = (until, slice.through.max(seq));
                slice.prints.push_back(print);
            }
            None => {
                let prints = VecDeque::from([print]);
                self.slices.push_back(Slice { from: until, until, through: seq, prints });
            }
        }
        self.prints.insert(print);
        self.forget_beyond(most);
    }

    /// When the next keys are free again.
    pub fn due(&self) -> Option<Time> {
        self.slices.front().map(|s| s.until)
    }

    /// Frees the keys whose time is up; the highest row among theirs.
    pub fn expire(&mut self, now: Time) -> Option<u64> {
        let mut through = None;
        while self.slices.front().is_some_and(|s| s.until <= now) {
            let Some(slice) = self.slices.pop_front() else { break };
            for print in &slice.prints {
                self.prints.remove(print);
            }
            through = through.max(Some(slice.through));
        }
        through
    }

    /// The oldest are left to the store; their slices stay, as it is told when their time is up.
    fn forget_beyond(&mut self, most: usize) {
        while self.prints.len() > most {
            let oldest = self.slices.iter_mut().find_map(|s| s.prints.pop_front());
            let Some(print) = oldest else { return };
            self.prints.remove(&print);
        }
    }

    fn print(&self, key: &KeyId) -> Print {
        let mut bytes = Vec::with_capacity(64 + key.key.len());
        bytes.extend(self.secret);
        put(&mut bytes, key.tenant.as_bytes());
        put(&mut bytes, key.class.as_bytes());
        put(&mut bytes, &key.key);
        let mut print = Print::default();
        print.copy_from_slice(&Sha256::digest(bytes)[..16]);
        print
    }
}
