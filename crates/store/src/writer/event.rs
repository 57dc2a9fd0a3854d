//! What the writer reports, and why it takes no ticket.

use std::sync::Arc;

use shaletide_record::ClaimRejection;

use crate::{CommitOutcome, Head, Pruned, StoreError};

/// What became of a ticket, or of the store. Sent from the writer's thread, which waits meanwhile.
///
/// Each ticket that was taken has one end: one of its events, but after a `Failed` with [`CommitOutcome::Unknown`] another
/// one, `Committed`, `ClaimsRejected` or `Lost`, as soon as the store is back. There is none if the writer ends before.
/// Forgetting and pruning that fail are not taken up again, and what was done of them stays done.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum WriterEvent {
    /// All of it is durable.
    Committed {
        /// Which.
        ticket: u64,
        /// The rows' numbers.
        seqs: Vec<u64>,
    },
    /// Some of its rows were rejected; the others are durable.
    ClaimsRejected {
        /// Which.
        ticket: u64,
        /// What became of each row.
        rows: Vec<Result<u64, ClaimRejection>>,
    },
    /// It was not acknowledged.
    Failed {
        /// Which.
        ticket: u64,
        /// Why.
        error: Arc<StoreError>,
        /// Whether it may be on record nevertheless.
        outcome: CommitOutcome,
    },
    /// It had failed with an unknown outcome; now it is certain that nothing of it is on record or ever will be.
    Lost {
        /// Which.
        ticket: u64,
    },
    /// So many keys were forgotten.
    Forgotten {
        /// Which.
        ticket: u64,
        /// How many keys.
        keys: usize,
    },
    /// Rows were pruned.
    Pruned {
        /// Which.
        ticket: u64,
        /// How many in all, and the anchor.
        pruned: Pruned,
    },
    /// The store failed; it is opened again and again. Sent once for each kind of failure.
    Down {
        /// What is wrong.
        error: Arc<StoreError>,
    },
    /// The store works: at first, and after each `Down`.
    Back {
        /// Where it ends.
        head: Head,
    },
}

/// Why a ticket was not taken. Nothing was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The queue is full.
    QueueFull,
    /// A row that no store can keep: see [`storable`](crate::storable).
    Unstorable,
    /// The writer has ended.
    Ended,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SendError::QueueFull => "too much waits for the store",
            SendError::Unstorable => "a row that no store can keep",
            SendError::Ended => "the store's writer has ended",
        })
    }
}

impl std::error::Error for SendError {}

/// The writer did not end in time: the store blocks it. What is queued will still be written if that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillBusy;
