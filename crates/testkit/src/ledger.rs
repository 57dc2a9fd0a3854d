//! What all backends of a run have seen: a record of every request, and of every start of a backend. Plain data; the
//! rules over it are in [`crate::checks`].

use crate::CpuCapacity;
use shaletide_types::{Micros, Time};
use std::sync::Arc;

/// Records that a ledger holds unless told otherwise. One takes about 200 bytes: 60 MB in all.
pub const MAX_RECORDS: usize = 300_000;

/// What a second run of a request would do, as its form tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: `GET`, `HEAD`.
    Safe,
    /// Nothing, where its key is known: it brings an `Idempotency-Key`.
    Keyed,
    /// Harm: the rest.
    Unsafe,
}

/// How a request ended at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its answer was written whole.
    Served,
    /// Not taken: full, draining or over already. The one end that proves that it was not executed.
    TurnedAway,
    /// Answered 500 at once.
    Failed,
    /// Its sender closed the connection, or stopped sending on it, before the answer was written.
    Cancelled,
    /// Never answered, as the backend was told.
    Hung,
    /// Its connection was reset, as the backend was told.
    Reset,
    /// Other bytes than an answer were sent, as the backend was told.
    InvalidResponse,
    /// The backend died over it.
    BoxDied,
}

/// A request at a backend.
#[derive(Clone, Debug)]
pub struct Record {
    /// Which backend: its place in [`Ledger::boxes`].
    pub backend: usize,
    /// Which of its starts, from 0.
    pub boot: usize,
    /// `X-Correlation-Id`; empty where there was none.
    pub id: Box<str>,
    /// `Idempotency-Key`.
    pub key: Option<Box<str>>,
    /// The first part of the path.
    pub class: Arc<str>,
    /// By its method and key.
    pub repeat: Repeat,
    /// When its first byte came.
    pub first_byte_at: Time,
    /// When its last byte came.
    pub last_byte_at: Time,
    /// When and how it ended; none while it is open.
    pub ended: Option<(Time, Ended)>,
    /// Since when the backend drained, if it did.
    pub draining: Option<Time>,
    /// Work that it brought, ms of a standard core.
    pub work_ms: f64,
    /// How long its sender said that it waits; none where it said nothing, or nothing that is a time.
    pub time_left: Option<Micros>,
}

impl Record {
    /// Whether it has run, or may have, as far as whoever sent it can tell.
    pub fn ran(&self) -> bool {
        !matches!(self.ended, Some((_, Ended::TurnedAway)))
    }
}

/// A start of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Boot {
    /// When; `None` is before the run, long enough ago to be warm.
    pub at: Option<Time>,
    /// When it died.
    pub died: Option<Time>,
}

/// What the rules need to know of a backend.
#[derive(Clone, Debug)]
pub struct BackendInfo {
    /// Its name, the same everywhere.
    pub name: String,
    /// Backends of one bay share the keys that they have seen.
    pub deduplication_group: u64,
    /// What it can do.
    pub cpu_capacity: CpuCapacity,
    /// Its starts, in order.
    pub boots: Vec<Boot>,
}

/// The records of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The backends, in the order in which they were given.
    pub backends: Vec<BackendInfo>,
    /// The requests, in the order in which they came whole.
    pub records: Vec<Record>,
    /// Requests that found no room here: the rules say nothing of them.
    pub unrecorded: u64,
    /// Records that fit.
    pub max_records: usize,
}

impl Ledger {
    /// An empty one for that many records.
    pub fn new(max_records: usize) -> Ledger {
        Ledger { max_records, ..Ledger::default() }
    }

    /// Takes a record in if there is room. Its place.
    pub fn begin(&mut self, record: Record) -> Option<usize> {
        if self.records.len() >= self.max_records {
            self.unrecorded += 1;
            return None;
        }
        self.records.push(record);
        Some(self.records.len() - 1)
    }

    /// Writes down how one ended; only the first end counts.
    pub fn end(&mut self, place: usize, at: Time, how: Ended) {
        if let Some(record) = self.records.get_mut(place) {
            record.ended.get_or_insert((at, how));
        }
    }

    /// The backend of that name.
    pub fn backend_index(&self, name: &str) -> Option<usize> {
        self.backends.iter().position(|b| b.name == name)
    }

    /// Requests that ended like that, at one backend or at all.
    pub fn count(&self, at_box: Option<usize>, how: Ended) -> usize {
        let here = |r: &&Record| at_box.is_none_or(|b| b == r.backend);
        self.records.iter().filter(here).filter(|r| r.ended.is_some_and(|(_, end)| end == how)).count()
    }
}
