//! Keys that were served, up to millions of them.
//!
//! Of each only a fingerprint of 128 bits is kept: SHA-256 over a secret and the key. Two keys that share one would
//! make the recorder call a key served that was not, and it would be rejected unsent: that costs an operator a
//! look, and never a second execution. With a million keys it happens to one new key in 10^32. Whatever is not
//! settled is kept as it is, elsewhere: what frees a key never goes by a fingerprint.

use crate::chain::put;
use crate::row::KeyId;
use sha2::{Digest, Sha256};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeSet, VecDeque};

/// Slices into which the time that keys are kept is divided: the store learns of the end of one, not of each key.
const SLICES: u64 = 256;

type Fingerprint = [u8; 16];

/// Keys whose time is up together.
#[derive(Clone, Debug)]
struct ExpirySlice {
    /// When the time of its first key is up.
    from: Time,
    /// When that of its last is.
    until: Time,
    /// The highest row that one of them has.
    through: u64,
    /// The keys, but for those that were left to the store.
    fingerprints: VecDeque<Fingerprint>,
}

/// The keys that were served and whose time is not up.
#[derive(Clone, Debug)]
pub(crate) struct ServedKeys {
    secret: [u8; 16],
    fingerprints: BTreeSet<Fingerprint>,
    slices: VecDeque<ExpirySlice>,
}

impl ServedKeys {
    pub fn new(secret: [u8; 16]) -> ServedKeys {
        ServedKeys { secret, fingerprints: BTreeSet::new(), slices: VecDeque::new() }
    }

    pub fn has(&self, key: &KeyId) -> bool {
        self.fingerprints.contains(&self.fingerprint(key))
    }

    pub fn len(&self) -> usize {
        self.fingerprints.len()
    }

    /// A key whose row `seq` is durable. Rows come in ascending order. `until` is raised to the last key's if it is
    /// earlier: the store frees keys by row number, so a later row cannot expire first.
    pub fn add(&mut self, key: &KeyId, seq: u64, until: Time, keep: Micros, max_keys: usize) {
        let fingerprint = self.fingerprint(key);
        let until = self.slices.back().map_or(until, |slice| slice.until.max(until));
        let fits = |slice: &&mut ExpirySlice| until - slice.from <= Micros(keep.0 / SLICES);
        match self.slices.back_mut().filter(fits) {
            Some(slice) => {
                slice.until = until;
                slice.through = slice.through.max(seq);
                slice.fingerprints.push_back(fingerprint);
            }
            None => {
                let fingerprints = VecDeque::from([fingerprint]);
                self.slices.push_back(ExpirySlice { from: until, until, through: seq, fingerprints });
            }
        }
        self.fingerprints.insert(fingerprint);
        self.forget_beyond(max_keys);
    }

    /// When the next keys are free again.
    pub fn next_expiry(&self) -> Option<Time> {
        self.slices.front().map(|slice| slice.until)
    }

    /// Frees the keys whose time is up; the highest row among theirs.
    pub fn expire(&mut self, now: Time) -> Option<u64> {
        let mut through = None;
        while self.slices.front().is_some_and(|slice| slice.until <= now) {
            let Some(slice) = self.slices.pop_front() else { break };
            for fingerprint in &slice.fingerprints {
                self.fingerprints.remove(fingerprint);
            }
            through = through.max(Some(slice.through));
        }
        through
    }

    /// The oldest are left to the store; their slices stay, as it has to learn when their time is up.
    fn forget_beyond(&mut self, max_keys: usize) {
        while self.fingerprints.len() > max_keys {
            let oldest = self.slices.iter_mut().find_map(|slice| slice.fingerprints.pop_front());
            let Some(fingerprint) = oldest else { return };
            self.fingerprints.remove(&fingerprint);
        }
    }

    fn fingerprint(&self, key: &KeyId) -> Fingerprint {
        let mut bytes = Vec::with_capacity(64 + key.key.len());
        bytes.extend(self.secret);
        put(&mut bytes, key.tenant.as_bytes());
        put(&mut bytes, key.class.as_bytes());
        put(&mut bytes, &key.key);
        let mut fingerprint = Fingerprint::default();
        fingerprint.copy_from_slice(&Sha256::digest(bytes)[..16]);
        fingerprint
    }
}
