//! An entry of the backend list.

use crate::{BackendId, CellId, KindId, Time, ZoneId};

/// A line of the backend list.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// A number drawn from its address, the same at every proxy.
    pub mark: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Boxes of different realms never drop each other's repeats, whatever their zones and cells.
    pub realm: u32,
    /// Its kind.
    pub kind: KindId,
    /// How many cores it has; what it may hold grows with it.
    pub cores: u32,
    /// The weight that the list gives it, in thousandths; 0 where the list says none.
    pub weight: u32,
    /// What it may be sent.
    pub state: BackendState,
    /// When it last started; `None` means long ago.
    pub booted: Option<Time>,
}

impl Default for Backend {
    /// Number 0 of everything, one core, gone, booted long ago.
    fn default() -> Backend {
        Backend {
            id: BackendId(0),
            mark: 0,
            zone: ZoneId(0),
            cell: CellId(0),
            realm: 0,
            kind: KindId(0),
            cores: 1,
            weight: 0,
            state: BackendState::Gone,
            booted: None,
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
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The whole list; what is absent is gone.
    Full,
    /// The whole list as it was before a restart, perhaps out of date.
    Cached,
    /// The call or the subscription failed; the list held stays.
    Lost,
}
