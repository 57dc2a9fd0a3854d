//! The writer's events, and the errors of sending to it.

use std::sync::Arc;

use shaletide_record::ClaimRejection;

use crate::{CommitOutcome, Head, Pruned, StoreError};

/// The result of a ticket, or a change of the store's state. Sent from the writer's thread, which waits until the receiver
/// returns.
///
/// Each accepted ticket has one event, with one exception. After a `Failed` with [`CommitOutcome::Unknown`] another one
/// follows as soon as the store is open again: `Committed`, `ClaimsRejected` or `Lost`. It is not sent if the writer ends
/// before. Key expiry and pruning that fail are not resumed; their completed steps are kept.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum WriterEvent {
    /// All rows of the ticket are durable.
    Committed {
        /// The ticket.
        ticket: u64,
        /// The rows' numbers.
        seqs: Vec<u64>,
    },
    /// Some rows of the ticket were rejected; the others are durable.
    ClaimsRejected {
        /// The ticket.
        ticket: u64,
        /// The result of each row.
        rows: Vec<Result<u64, ClaimRejection>>,
    },
    /// The ticket failed and was not acknowledged.
    Failed {
        /// The ticket.
        ticket: u64,
        /// The reason of the failure.
        error: Arc<StoreError>,
        /// Whether its rows may be stored nevertheless.
        outcome: CommitOutcome,
    },
    /// A ticket that failed with an unknown outcome was not stored and never will be.
    Lost {
        /// The ticket.
        ticket: u64,
    },
    /// Expired keys were deleted.
    Forgotten {
        /// The ticket.
        ticket: u64,
        /// The number of deleted keys.
        keys: usize,
    },
    /// Rows were pruned.
    Pruned {
        /// The ticket.
        ticket: u64,
        /// The total number of pruned rows, and the anchor.
        pruned: Pruned,
    },
    /// The store failed; the writer keeps trying to open it again. Sent once for a series of failures of the same kind.
    Down {
        /// The reason of the failure.
        error: Arc<StoreError>,
    },
    /// The store is open: the first time, or again after `Down`.
    Back {
        /// The head of the store.
        head: Head,
    },
}

/// Why a ticket was not accepted. Nothing was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The queue is full.
    QueueFull,
    /// A row that no store can hold: see [`storable`](crate::storable).
    Unstorable,
    /// The writer has ended.
    Ended,
}

impl std::fmt::Display for SendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SendError::QueueFull => "the store's write queue is full",
            SendError::Unstorable => "the row exceeds the store's limits on size or time",
            SendError::Ended => "the store's writer has ended",
        })
    }
}

impl std::error::Error for SendError {}

/// The writer did not end in time, as the store blocks it. Queued writes are still written once the store continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillBusy;
