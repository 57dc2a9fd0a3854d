//! An entry of an endpoint list, with names turned into numbers.

use crate::{BackendId, DeduplicationGroupId, DeduplicationPlacement, ServerTypeId, Time, ZoneId};

/// What an endpoint list says of a backend, as a balancer is notified of it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Which backend.
    pub id: BackendId,
    /// A hash of its name, the same at every proxy.
    pub stable_hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its deduplication group.
    pub deduplication_group: DeduplicationGroupId,
    /// Backends of different domains never discard each other's repeats, whatever their zones and groups.
    pub deduplication_domain: u32,
    /// Its server type.
    pub server_type: ServerTypeId,
    /// How many cores it has, at least 1; its concurrency limit grows with it.
    pub cores: u32,
    /// The weight that the list gives it; 0 where the list says none. Where weights are sizes it is in thousandths of a
    /// standard core, else only the ratio of two weights counts.
    pub weight: u32,
    /// What it may be sent.
    pub state: BackendState,
    /// When it last started; `None` means long ago.
    pub started_at: Option<Time>,
}

impl BackendEntry {
    /// Where the backend stands in each deduplication scope.
    pub fn deduplication_placement(&self) -> DeduplicationPlacement {
        DeduplicationPlacement {
            domain: self.deduplication_domain,
            zone: self.zone,
            group: self.deduplication_group,
        }
    }
}

impl Default for BackendEntry {
    /// Number 0 of everything, one core, gone, started long ago.
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

/// What a backend may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// New requests.
    Ready,
    /// Nothing new: it finishes what it has.
    Draining,
    /// Nothing: it has left.
    #[default]
    Gone,
}

/// The kind of an update of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta,
    /// The whole list; what is absent is gone.
    Snapshot,
    /// The whole list as an earlier process had it, perhaps out of date.
    Cached,
    /// The call or the subscription failed; the list stays as it was.
    SubscriptionLost,
}
