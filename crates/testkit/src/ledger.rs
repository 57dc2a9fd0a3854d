//! The ledger of a run: a record of every request at a backend and of every start of a backend. Plain data; the rules
//! over it are in [`crate::checks`].

use crate::CpuCapacity;
use shaletide_types::{Micros, Time};
use std::sync::Arc;

/// Default for [`Ledger::max_records`]. A record takes about 200 bytes: 60 MB in all.
pub const MAX_RECORDS: usize = 300_000;

/// The effect of a second run of a request, as derived from its method and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// None: `GET` and `HEAD`.
    Safe,
    /// None where its key is known: the request has an `Idempotency-Key`.
    Keyed,
    /// Harmful: all other requests.
    Unsafe,
}

/// How a request ended at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The complete answer was written.
    Served,
    /// The complete answer was written without a length, and its connection was closed in order.
    ServedUntilClose,
    /// Rejected because the backend was full or draining or the deadline had passed. The only end that proves that the
    /// request was not executed.
    TurnedAway,
    /// Answered 500 at once.
    Failed,
    /// The sender closed the connection, or its sending side, before the answer was written.
    Cancelled,
    /// Never answered because of a fault that was set.
    Hung,
    /// The connection was reset because of a fault that was set.
    Reset,
    /// Bytes that are no valid answer were sent because of a fault that was set.
    InvalidResponse,
    /// The backend died while the request was open.
    BoxDied,
}

impl Ended {
    /// Returns whether the complete answer was written.
    pub fn is_served(self) -> bool {
        matches!(self, Ended::Served | Ended::ServedUntilClose)
    }
}

/// A request at a backend.
#[derive(Clone, Debug)]
pub struct Record {
    /// Index of the backend in [`Ledger::backends`].
    pub backend: usize,
    /// Index of the backend's start in [`BackendInfo::boots`].
    pub boot: usize,
    /// `X-Correlation-Id`; empty if it was missing.
    pub id: Box<str>,
    /// `Idempotency-Key`.
    pub key: Option<Box<str>>,
    /// The first part of the path.
    pub class: Arc<str>,
    /// The effect of a second run, by method and key.
    pub repeat: Repeat,
    /// When its first byte was received.
    pub first_byte_at: Time,
    /// When its last byte was received.
    pub last_byte_at: Time,
    /// When and how it ended; `None` while it is open.
    pub ended: Option<(Time, Ended)>,
    /// Since when the backend was draining; `None` if it was not.
    pub draining: Option<Time>,
    /// Work of the request, ms of a standard core.
    pub work_ms: f64,
    /// The time left as reported by the sender; `None` if it was missing or invalid.
    pub time_left: Option<Micros>,
}

impl Record {
    /// Returns whether the request was executed or may have been, as far as its sender can tell.
    pub fn ran(&self) -> bool {
        !matches!(self.ended, Some((_, Ended::TurnedAway)))
    }
}

/// A start of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Boot {
    /// When the backend started; `None` is before the run, long enough ago to be warm.
    pub at: Option<Time>,
    /// When the backend died.
    pub died: Option<Time>,
}

/// The properties of a backend that the rules need.
#[derive(Clone, Debug)]
pub struct BackendInfo {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Its deduplication group. The backends of a group share the idempotency keys that they have seen.
    pub deduplication_group: u64,
    /// Its capacity.
    pub cpu_capacity: CpuCapacity,
    /// Its starts, in order.
    pub boots: Vec<Boot>,
}

/// The records of a run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The backends, in the order of their specifications.
    pub backends: Vec<BackendInfo>,
    /// The requests, in the order in which they were completely received.
    pub records: Vec<Record>,
    /// Requests that were not recorded because the ledger was full. The rules do not cover them.
    pub unrecorded: u64,
    /// Capacity in records.
    pub max_records: usize,
}

impl Ledger {
    /// Returns an empty ledger for `max_records` records.
    pub fn new(max_records: usize) -> Ledger {
        Ledger { max_records, ..Ledger::default() }
    }

    /// Adds a record if there is room and returns its index.
    pub fn begin(&mut self, record: Record) -> Option<usize> {
        if self.records.len() >= self.max_records {
            self.unrecorded += 1;
            return None;
        }
        self.records.push(record);
        Some(self.records.len() - 1)
    }

    /// Records how a request ended; only the first end counts.
    pub fn end(&mut self, index: usize, at: Time, how: Ended) {
        if let Some(record) = self.records.get_mut(index) {
            record.ended.get_or_insert((at, how));
        }
    }

    /// Returns the index of the backend with that name.
    pub fn backend_index(&self, name: &str) -> Option<usize> {
        self.backends.iter().position(|b| b.name == name)
    }

    /// Returns the number of requests that ended with `how`, at one backend or at all.
    pub fn count(&self, backend: Option<usize>, how: Ended) -> usize {
        let at_backend = |r: &&Record| backend.is_none_or(|b| b == r.backend);
        self.records.iter().filter(at_backend).filter(|r| r.ended.is_some_and(|(_, end)| end == how)).count()
    }
}
