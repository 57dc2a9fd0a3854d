//! The facts, and their conversion to and from rows.
//!
//! The row is authoritative and a [`Fact`] is a view of it. A kind or a field that this version does not know stays in the
//! row, and rows are never rewritten.

use crate::row::{KeyId, Row};
use serde::{Deserialize, Serialize};
use shaletide_types::Time;

/// What the proxy knew of a backend when it chose it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSnapshot {
    /// The backend's name, which is stored in a column of its own.
    #[serde(skip)]
    pub backend: String,
    /// The pool whose list contains the backend.
    pub pool: String,
    /// The version of that list.
    pub list: u64,
    /// The backend's state according to the list.
    pub state: String,
    /// Whether the proxy considered the backend ready.
    pub ready: bool,
    /// Attempts that this proxy had in flight to the backend.
    #[serde(rename = "out")]
    pub in_flight: u32,
}

/// Something that the proxy knew or did. Facts are appended and never edited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "body", rename_all = "snake_case")]
pub enum Fact {
    /// A run of the proxy started.
    Start {
        /// The proxy's name.
        proxy: String,
        /// The program's version.
        version: String,
        /// The configuration's version.
        config: u64,
        /// The configuration's digest.
        digest: String,
    },
    /// A new configuration took effect.
    Config {
        /// The configuration's version.
        version: u64,
        /// The configuration's digest.
        digest: String,
    },
    /// An update of a pool's list.
    List {
        /// The pool.
        pool: String,
        /// The list's version.
        version: u64,
        /// The changes, as text.
        news: String,
    },
    /// A request was accepted.
    Asked {
        /// The tenant's name.
        tenant: String,
        /// The class's name.
        class: String,
        /// Whether the request has a key, which is stored in a column of its own.
        keyed: bool,
        /// Microseconds until the deadline.
        time_left: u64,
    },
    /// A request was rejected unsent because of its key.
    Turned {
        /// `in_flight`, `doubt` or `served`.
        why: String,
    },
    /// An attempt is about to be sent, or was sent if its class requires no intents.
    Intent {
        /// The attempt's number.
        attempt: u32,
        /// What was known of the attempt's backend.
        seen: BackendSnapshot,
    },
    /// An attempt was not sent and never will be.
    Withdrawn {
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome {
        /// The attempt's number.
        attempt: u32,
        /// The outcome, as one word.
        outcome: String,
        /// Whether the attempt may have been executed.
        may_have_run: bool,
    },
    /// A request ended.
    Answer {
        /// `served`, `refused`, `failed`, `timed_out` or `left`.
        ending: String,
        /// The attempt that served the request.
        attempt: Option<u32>,
    },
    /// A key that was in flight when an earlier run ended is in doubt.
    Doubted {
        /// The last row that changed the key's state.
        seq: u64,
    },
    /// An operator resolved a key in doubt.
    Resolved {
        /// The operator's name.
        by: String,
        /// Whether the attempt was executed.
        ran: bool,
        /// The operator's reason.
        note: String,
    },
    /// Served keys expired and are free again.
    Expired {
        /// The highest row number: all served keys whose last row is this one or an earlier one expired.
        through: u64,
    },
    /// Droppable facts were not recorded, for lack of room.
    Dropped {
        /// The number of dropped facts.
        facts: u64,
    },
    /// An operator corrects an earlier fact. Both stay on record.
    Correction {
        /// The row of the corrected fact.
        of: u64,
        /// The operator's name.
        by: String,
        /// The correction.
        text: String,
    },
    /// Rows were removed from the store, from the first one up to the one named here.
    Pruned {
        /// The last removed row.
        through: u64,
        /// The checksum of that row, in hexadecimal digits.
        sum: String,
        /// The name of the operator who requested the prune.
        by: String,
    },
    /// A fact of a kind or form that this version does not know, kept unchanged.
    #[serde(skip)]
    Unknown {
        /// The kind.
        kind: String,
        /// The body.
        body: String,
    },
}

/// The columns of a row that name what its fact is about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowSubject {
    /// The request, numbered within its run.
    pub request: Option<u64>,
    /// The key.
    pub key: Option<KeyId>,
    /// The backend's name.
    pub backend: Option<String>,
}

/// The intermediate form of a fact between [`Fact`] and [`Row`].
#[derive(Serialize, Deserialize)]
struct Tagged {
    kind: String,
    body: serde_json::Value,
}

impl Fact {
    /// Returns the fact's row, whose number, run and checksum are set later by the store's writer.
    pub fn row(&self, at: Time, about: RowSubject) -> Row {
        let (kind, body) = self.parts();
        let RowSubject { request, key, backend } = about;
        Row { seq: 0, at, run: 0, kind, request, key, backend, body, sum: [0; 32] }
    }

    /// Returns the fact that a row contains.
    pub fn of(row: &Row) -> Fact {
        let unknown = || Fact::Unknown { kind: row.kind.clone(), body: row.body.clone() };
        let Ok(body) = serde_json::from_str(&row.body) else { return unknown() };
        let tagged = serde_json::to_value(Tagged { kind: row.kind.clone(), body });
        match tagged.and_then(serde_json::from_value) {
            Ok(Fact::Intent { attempt, seen }) => {
                let backend = row.backend.clone().unwrap_or_default();
                Fact::Intent { attempt, seen: BackendSnapshot { backend, ..seen } }
            }
            Ok(fact) => fact,
            Err(_) => unknown(),
        }
    }

    /// Returns whether the fact may be dropped, and counted instead, if there is no room.
    pub fn is_droppable(&self) -> bool {
        matches!(self, Fact::List { .. } | Fact::Turned { .. })
    }

    fn parts(&self) -> (String, String) {
        if let Fact::Unknown { kind, body } = self {
            return (kind.clone(), body.clone());
        }
        let tagged = serde_json::to_value(self).and_then(serde_json::from_value::<Tagged>);
        let Tagged { kind, body } = tagged.expect("strings, numbers and flags are JSON under any kind");
        (kind, body.to_string())
    }
}
