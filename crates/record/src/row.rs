//! What goes to a store and comes back: plain rows, of which the store knows no more than it needs to keep and find them.

use shaletide_types::Time;

/// What identifies a keyed request: another with the same, by whatever front, is a repeat of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId {
    /// The tenant's name; empty where there is none.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// The key as it came, any bytes.
    pub key: Vec<u8>,
}

/// The state of a key that is not free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// An attempt has its intent on record and no end yet.
    InFlight,
    /// An attempt may have been executed, and it is not known whether it was.
    InDoubt,
    /// It was served.
    Served,
}

/// A fact as a store keeps it. Rows are added in the order of their numbers and never changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its number: one more than that of the row before it in the same store.
    pub seq: u64,
    /// When it happened, by the proxy's clock.
    pub at: Time,
    /// Which start of the proxy wrote it.
    pub run: u64,
    /// The kind of fact, in a word: `intent`, `outcome`, `answer`, ...
    pub kind: String,
    /// The request that it is about, within its run.
    pub request: Option<u64>,
    /// The key that it is about.
    pub key: Option<KeyId>,
    /// The backend that it is about, by name.
    pub backend: Option<String>,
    /// All that it says, as JSON.
    pub body: String,
    /// The checksum of this row and, through that of the row before, of all before it.
    pub sum: [u8; 32],
}

/// What becomes of a key together with a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Nothing.
    None,
    /// Takes the key if it is free. If not, this row alone is rejected; the rows after it are not affected.
    Take(KeyId),
    /// The key is taken already, by this proxy, and has this state from now on.
    Set(KeyId, KeyState),
    /// The key is free again, whoever took it. One that is free already stays so: a row that failed may be on
    /// record all the same, and is written once more.
    Free(KeyId),
    /// The key is free again, if the last row that changed its state is of this row's run and request: a row
    /// that failed may or may not have taken it, and what another took stays taken.
    FreeOwn(KeyId),
    /// All keys are free again that were served and whose last row has this number or a lower one.
    FreeServed {
        /// That number.
        through: u64,
    },
}

/// One thing to be made durable. All of a batch become durable at once, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The row; its `seq`, `run` and `sum` are given by the store's writer.
    pub row: Row,
    /// What becomes of its key.
    pub claim: Claim,
}

/// Why a row was not taken though the store is well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRejection {
    /// Its key is taken, and has this state.
    Taken(KeyState),
}

/// A key that a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredKey {
    /// The key.
    pub key: KeyId,
    /// Its state.
    pub state: KeyState,
    /// Since when.
    pub since: Time,
    /// The last row that changed its state.
    pub seq: u64,
}
