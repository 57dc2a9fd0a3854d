//! The effect of repeating a request, and the backends that discard each other's repeats.

use crate::{DeduplicationGroupId, Micros, ZoneId};

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// A second execution has no effect: the request may be repeated and rejected at will.
    Safe,
    /// The request carries an idempotency key. Backends within the scope discard repeats of it during the deduplication
    /// window, which begins with the first attempt.
    Keyed(DeduplicationScope, Micros),
    /// A second execution is harmful.
    NonIdempotent,
}

/// The backends of one deduplication domain that discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All backends of the domain.
    All,
    /// Backends of the same zone.
    Zone,
    /// Backends of the same deduplication group.
    Group,
}

/// A backend's place in each deduplication scope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DeduplicationPlacement {
    /// The backend's deduplication domain. Backends of different domains never discard each other's repeats.
    pub domain: u32,
    /// The backend's zone.
    pub zone: ZoneId,
    /// The backend's deduplication group.
    pub group: DeduplicationGroupId,
}

impl DeduplicationScope {
    /// Returns whether backends at these two places share the keys they have seen, so that each discards repeats of
    /// requests that the other has executed.
    pub fn is_shared(self, first: DeduplicationPlacement, second: DeduplicationPlacement) -> bool {
        let within_domain = match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == second.zone,
            DeduplicationScope::Group => first.group == second.group,
        };
        within_domain && first.domain == second.domain
    }
}
