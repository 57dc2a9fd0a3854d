//! An entry of the backend list.

use crate::{BackendId, DeduplicationGroupId, DeduplicationPlacement, ServerTypeId, Time, ZoneId};

/// A line of the backend list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// Which backend.
    pub id: BackendId,
    /// A number drawn from its address, the same at every proxy.
    pub stable_hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub deduplication_group: DeduplicationGroupId,
    /// Backends of different realms never drop each other's repeats, whatever their zones and cells.
    pub deduplication_domain: u32,
    /// Its kind.
    pub server_type: ServerTypeId,
    /// How many cores it has; what it may hold grows with it.
    pub cores: u32,
    /// The weight that the list gives it, in thousandths; 0 where the list says none.
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
    /// Number 0 of everything, one core, gone, booted long ago.
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
    /// Requests.
    Ready,
    /// Nothing new: it finishes what it has.
    Draining,
    /// Nothing: it has left.
    #[default]
    Gone,
}

/// What sort of news about the list this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta,
    /// The whole list; what is absent is gone.
    Snapshot,
    /// The whole list as it was before a restart, perhaps out of date.
    Cached,
    /// The call or the subscription failed; the list held stays.
    SubscriptionLost,
}
