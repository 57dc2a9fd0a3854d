//! The types exchanged with a store: plain rows, with only the columns that the store needs to keep and find them.

use shaletide_types::Time;

/// Identifies a keyed request. Another request with the same `KeyId` is a repeat of it, whichever front it came through.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId {
    /// The tenant's name; empty if there is none.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// The key as received; it may contain any bytes.
    pub key: Vec<u8>,
}

/// The state of a key that is not free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// The intent of an attempt is on record, and its end is not.
    InFlight,
    /// An attempt may have been executed, and it is not known whether it was.
    InDoubt,
    /// The key was served.
    Served,
}

/// A fact in its stored form. Rows are appended in the order of their numbers and never changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's number: one more than that of the preceding row in the same store.
    pub seq: u64,
    /// When the fact happened, by the proxy's clock.
    pub at: Time,
    /// The number of the proxy's run that wrote the row.
    pub run: u64,
    /// The kind of fact, as one word: `intent`, `outcome`, `answer`, ...
    pub kind: String,
    /// The request that the fact is about, numbered within its run.
    pub request: Option<u64>,
    /// The key that the fact is about.
    pub key: Option<KeyId>,
    /// The name of the backend that the fact is about.
    pub backend: Option<String>,
    /// The content of the fact, as JSON.
    pub body: String,
    /// The checksum of this row and, through the preceding row's checksum, of all rows before it.
    pub sum: [u8; 32],
}

/// The change to a key's state that is committed together with a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// No change.
    None,
    /// Takes the key if it is free. If it is not, this row alone is rejected; the rows after it are not affected.
    Take(KeyId),
    /// Sets the state of a key that this proxy has taken already.
    Set(KeyId, KeyState),
    /// Frees the key, whichever request took it. A key that is already free stays free: a row whose write failed may be on
    /// record all the same, and is written again.
    Free(KeyId),
    /// Frees the key if the last row that changed its state belongs to this row's run and request. A row whose write failed
    /// may or may not have taken the key, and a key that another request took must stay taken.
    FreeOwn(KeyId),
    /// Frees all served keys whose last row has this number or a lower one.
    FreeServed {
        /// The highest row number that is freed.
        through: u64,
    },
}

/// A row to be made durable. All writes of a batch become durable at once, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row; its `seq`, `run` and `sum` are set by the store's writer.
    pub row: Row,
    /// The change to its key's state.
    pub claim: Claim,
}

/// Why a row was rejected although the store works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRejection {
    /// The row's key is taken and has this state.
    Taken(KeyState),
}

/// A key that a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredKey {
    /// The key.
    pub key: KeyId,
    /// The key's state.
    pub state: KeyState,
    /// When the key entered this state.
    pub since: Time,
    /// The number of the last row that changed the state.
    pub seq: u64,
}
