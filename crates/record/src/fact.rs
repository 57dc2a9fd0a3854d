//! The facts, and how each is kept as a row.
//!
//! A row is the truth and a [`Fact`] a view of it: what this version does not know of a row, be it a kind or a
//! field, stays in the row, and rows are never written anew.

use crate::row::{KeyId, Row};
use serde::{Deserialize, Serialize};
use shaletide_types::Time;

/// What the proxy knew of a backend when it chose it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSnapshot {
    /// The backend, by name; kept in the row's own column.
    #[serde(skip)]
    pub backend: String,
    /// The pool whose list brought it.
    pub pool: String,
    /// That list's version.
    pub list: u64,
    /// Its state by the list.
    pub state: String,
    /// It was taken to be ready.
    pub ready: bool,
    /// Attempts that this proxy had in flight to it.
    #[serde(rename = "out")]
    pub in_flight: u32,
}

/// Something that was known or done. Facts are added and never edited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "body", rename_all = "snake_case")]
pub enum Fact {
    /// A run begins.
    Start {
        /// The proxy's name.
        proxy: String,
        /// The program's version.
        version: String,
        /// The configuration's version.
        config: u64,
        /// Its digest.
        digest: String,
    },
    /// Another configuration is in effect.
    Config {
        /// Its version.
        version: u64,
        /// Its digest.
        digest: String,
    },
    /// An update of a pool's list.
    List {
        /// The pool.
        pool: String,
        /// The list's version.
        version: u64,
        /// What it changed, as text.
        news: String,
    },
    /// A request was taken.
    Asked {
        /// The tenant's name.
        tenant: String,
        /// The class's name.
        class: String,
        /// It came with a key, which is in the row's own column.
        keyed: bool,
        /// Microseconds until its time is up.
        time_left: u64,
    },
    /// A request was rejected unsent, because of its key.
    Turned {
        /// `in_flight`, `doubt` or `served`.
        why: String,
    },
    /// An attempt is about to be sent.
    Intent {
        /// Its number.
        attempt: u32,
        /// What was known of its backend.
        seen: BackendSnapshot,
    },
    /// An attempt was not sent and never will be.
    Withdrawn {
        /// Its number.
        attempt: u32,
    },
    /// How an attempt ended.
    Outcome {
        /// Its number.
        attempt: u32,
        /// In a word.
        outcome: String,
        /// It may have been executed.
        may_have_run: bool,
    },
    /// How a request ended.
    Answer {
        /// `served`, `refused`, `failed`, `timed_out` or `left`.
        ending: String,
        /// The attempt that served it.
        attempt: Option<u32>,
    },
    /// A key that was in flight when an earlier run ended is in doubt.
    Doubted {
        /// The last row that changed its state.
        seq: u64,
    },
    /// An operator ended a doubt.
    Resolved {
        /// Their name.
        by: String,
        /// It was executed.
        ran: bool,
        /// Why they think so.
        note: String,
    },
    /// Served keys whose time is up are free again.
    Expired {
        /// Those whose last row is this one or an earlier.
        through: u64,
    },
    /// Facts that may be dropped were not kept, for want of room.
    Dropped {
        /// How many.
        facts: u64,
    },
    /// An earlier fact is wrong; it stays, and so does this.
    Correction {
        /// Its row.
        of: u64,
        /// Who says so.
        by: String,
        /// What is right.
        text: String,
    },
    /// Rows up to one were taken out of the store.
    Pruned {
        /// The last of them.
        through: u64,
        /// Its checksum, in hexadecimal digits.
        sum: String,
        /// Who had it done.
        by: String,
    },
    /// One of a kind, or of a form, that this version does not know, unchanged.
    #[serde(skip)]
    Unknown {
        /// Its kind.
        kind: String,
        /// Its body.
        body: String,
    },
}

/// What a fact is about: columns of its row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowSubject {
    /// The request, within its run.
    pub request: Option<u64>,
    /// The key.
    pub key: Option<KeyId>,
    /// The backend, by name.
    pub backend: Option<String>,
}

/// A fact between its two forms.
#[derive(Serialize, Deserialize)]
struct Tagged {
    kind: String,
    body: serde_json::Value,
}

impl Fact {
    /// Its row; number, run and checksum are given by the store's writer.
    pub fn row(&self, at: Time, about: RowSubject) -> Row {
        let (kind, body) = self.parts();
        let RowSubject { request, key, backend } = about;
        Row { seq: 0, at, run: 0, kind, request, key, backend, body, sum: [0; 32] }
    }

    /// What a row says.
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

    /// It may be left out, and counted, where there is no room.
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
