//! The ids of requests that ended not long ago and may have been executed. Such a request must not be sent again when it comes
//! back under the same id, for example from a client that closed its connection before the answer.

use shaletide_balancer::Time;
use std::collections::hash_map::RandomState;
use std::collections::{BTreeSet, HashMap};
use std::hash::BuildHasher;

/// The maximum number of ids. Beyond it, the ids that expire first are forgotten.
pub(crate) const MAX_EXECUTED_IDS: usize = 16_384;

/// Two keyed hashes of an id, in place of the id: ids may be long, and clients choose them.
type IdDigest = (u64, u64);

/// The ids of requests that may have been executed, each until a time of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExecutedIds {
    hashers: [RandomState; 2],
    expiries: HashMap<IdDigest, Time>,
    by_expiry: BTreeSet<(Time, IdDigest)>,
}

impl ExecutedIds {
    /// Whether a request with this id may have been executed.
    pub(crate) fn contains(&mut self, now: Time, id: &[u8]) -> bool {
        self.remove_expired(now);
        self.expiries.contains_key(&self.digest(id))
    }

    /// Adds the id of a request that may have been executed.
    pub(crate) fn insert(&mut self, now: Time, id: &[u8], expires_at: Time) {
        self.remove_expired(now);
        let digest = self.digest(id);
        if let Some(earlier) = self.expiries.insert(digest, expires_at) {
            self.by_expiry.remove(&(earlier, digest));
        }
        self.by_expiry.insert((expires_at, digest));
        while self.by_expiry.len() > MAX_EXECUTED_IDS {
            self.remove_first();
        }
    }

    fn digest(&self, id: &[u8]) -> IdDigest {
        (self.hashers[0].hash_one(id), self.hashers[1].hash_one(id))
    }

    fn remove_expired(&mut self, now: Time) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, digest)) = self.by_expiry.pop_first() {
            self.expiries.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
