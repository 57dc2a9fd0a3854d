//! Entries of endpoint lists, with numeric identifiers in place of names.

use crate::{BackendId, DeduplicationGroupId, DeduplicationPlacement, ServerTypeId, Time, ZoneId};

/// A backend's entry in an endpoint list, as balancers receive it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// The backend's number.
    pub id: BackendId,
    /// A hash of the backend's name, the same at every proxy.
    pub stable_hash: u64,
    /// The backend's zone.
    pub zone: ZoneId,
    /// The backend's deduplication group.
    pub deduplication_group: DeduplicationGroupId,
    /// The backend's deduplication domain. Backends of different domains never discard each other's repeats, whatever
    /// their zones and groups.
    pub deduplication_domain: u32,
    /// The backend's server type.
    pub server_type: ServerTypeId,
    /// Number of cores, at least 1; the concurrency limit grows with it.
    pub cores: u32,
    /// Weight in the list; 0 where the list has none. Where weights are sizes it is in thousandths of a standard core,
    /// else only the ratio of two weights has a meaning.
    pub weight: u32,
    /// Whether the backend may be sent new requests.
    pub state: BackendState,
    /// When the backend last started; `None` means long ago.
    pub started_at: Option<Time>,
}

impl BackendEntry {
    /// Returns the backend's place in each deduplication scope.
    pub fn deduplication_placement(&self) -> DeduplicationPlacement {
        DeduplicationPlacement {
            domain: self.deduplication_domain,
            zone: self.zone,
            group: self.deduplication_group,
        }
    }
}

impl Default for BackendEntry {
    /// Returns an entry with all numbers 0, one core, state `Gone` and a start long ago.
    fn default() -> BackendEntry {
        BackendEntry {
            id: BackendId(0),
            stable_hash: 0,
            zone: ZoneId(0),
            deduplication_group: DeduplicationGroupId(0),
            deduplication_domain: 0,
            server_type: ServerTypeId(0),
            cores: 1,
            weight: 0,
            state: BackendState::Gone,
            started_at: None,
        }
    }
}

/// Whether a backend may be sent new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// The backend takes new requests.
    Ready,
    /// The backend takes no new requests and finishes those in flight.
    Draining,
    /// The backend has left the list.
    #[default]
    Gone,
}

/// The kind of an update of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointUpdate {
    /// Contains the entries that changed.
    Delta,
    /// Contains the whole list; absent backends are gone.
    Snapshot,
    /// Contains the whole list as an earlier process had it, possibly out of date.
    Cached,
    /// The call or the subscription failed; the list is unchanged.
    SubscriptionLost,
}
