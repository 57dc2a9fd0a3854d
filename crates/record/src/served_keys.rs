//! The set of served keys, which may hold millions of them.
//!
//! Only a 128-bit fingerprint is kept of each key: SHA-256 over a secret and the key. If two keys share a fingerprint, the
//! recorder takes an unserved key for a served one and rejects its request unsent. An operator then has to look into it, but
//! nothing is executed twice. With a million keys this happens to one new key in 10^32. Unsettled keys are kept in full
//! elsewhere, so that no key is ever freed by its fingerprint.

use crate::chain::push_field;
use crate::row::KeyId;
use sha2::{Digest, Sha256};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeSet, VecDeque};

/// Number of slices into which the retention period is divided. Keys expire by slice, so that the store gets one row per
/// slice instead of one per key.
const SLICES: u64 = 256;

type Fingerprint = [u8; 16];

/// Keys that expire together.
#[derive(Clone, Debug)]
struct ExpirySlice {
    /// The expiry time of the first key.
    from: Time,
    /// The expiry time of the last key, at which the whole slice expires.
    until: Time,
    /// The highest row number among the keys.
    through: u64,
    /// The fingerprints of the keys, without those that are left to the store.
    fingerprints: VecDeque<Fingerprint>,
}

/// The served keys that have not expired.
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

    /// Adds a key whose row `seq` is durable. Rows are added in ascending order. An `until` earlier than that of the last
    /// key is raised to it: the store frees keys by row number, so a later row cannot expire first.
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
        self.evict_beyond(max_keys);
    }

    /// Returns when the next keys expire.
    pub fn next_expiry(&self) -> Option<Time> {
        self.slices.front().map(|slice| slice.until)
    }

    /// Removes the expired keys and returns the highest row number among them.
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

    /// Drops the fingerprints of the oldest keys beyond `max_keys`; the store's constraint still rejects these keys. Their
    /// slices stay, as the store has to be told when they expire.
    fn evict_beyond(&mut self, max_keys: usize) {
        while self.fingerprints.len() > max_keys {
            let oldest = self.slices.iter_mut().find_map(|slice| slice.fingerprints.pop_front());
            let Some(fingerprint) = oldest else { return };
            self.fingerprints.remove(&fingerprint);
        }
    }

    fn fingerprint(&self, key: &KeyId) -> Fingerprint {
        let mut bytes = Vec::with_capacity(64 + key.key.len());
        bytes.extend(self.secret);
        push_field(&mut bytes, key.tenant.as_bytes());
        push_field(&mut bytes, key.class.as_bytes());
        push_field(&mut bytes, &key.key);
        let mut fingerprint = Fingerprint::default();
        fingerprint.copy_from_slice(&Sha256::digest(bytes)[..16]);
        fingerprint
    }
}
