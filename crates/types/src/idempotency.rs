//! What repeating a request does, and which backends discard each other's repeats.

use crate::{DeduplicationGroupId, Micros, ZoneId};

/// What executing a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// Nothing: it may be repeated and rejected at will.
    Safe,
    /// The request carries an idempotency key. Backends within the scope discard repeats of it for the given window,
    /// which begins with the first attempt.
    Keyed(DeduplicationScope, Micros),
    /// A second execution does harm.
    NonIdempotent,
}

/// Which backends of one deduplication domain discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one deduplication group.
    Group,
}

/// Where a backend stands in each deduplication scope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DeduplicationPlacement {
    /// Backends of different domains never discard each other's repeats.
    pub domain: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its deduplication group.
    pub group: DeduplicationGroupId,
}

impl DeduplicationScope {
    /// Whether backends at these two places share the keys they have seen, so that one discards a repeat of what the
    /// other has executed.
    pub fn is_shared(self, one: DeduplicationPlacement, other: DeduplicationPlacement) -> bool {
        let within_domain = match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone == other.zone,
            DeduplicationScope::Group => one.group == other.group,
        };
        within_domain && one.domain == other.domain
    }
}
