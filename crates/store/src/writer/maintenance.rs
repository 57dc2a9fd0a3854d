//! Maintenance that the writer's thread does step by step between commits: deletion of served keys and pruning of rows.

use shaletide_record::Row;
use shaletide_types::Time;

use super::config::FactEncoder;
use super::event::WriterEvent;
use crate::{Anchor, Pruned, Store, StoreError, Sums};

/// A task that is done step by step.
pub(super) enum Maintenance {
    Forget { ticket: u64, before: Time, keys: usize },
    Prune { ticket: u64, before: Time, note: FactEncoder, rows: u64 },
}

impl Maintenance {
    /// Returns the ticket of the task.
    pub(super) fn ticket(&self) -> u64 {
        match self {
            Maintenance::Forget { ticket, .. } | Maintenance::Prune { ticket, .. } => *ticket,
        }
    }

    /// Does one step of at most `limit` keys or rows. Returns the event to report if it was the last step.
    pub(super) fn step(
        &mut self, store: &mut dyn Store, sums: &dyn Sums, run: u64, limit: usize,
    ) -> Result<Option<WriterEvent>, StoreError> {
        match self {
            Maintenance::Forget { ticket, before, keys } => {
                let forgotten = store.forget_served(*before, limit)?;
                *keys += forgotten;
                let done = WriterEvent::Forgotten { ticket: *ticket, keys: *keys };
                Ok((forgotten < limit).then_some(done))
            }
            Maintenance::Prune { ticket, before, note, rows } => {
                let note_with_run = |anchor: &Anchor| Row { run, ..note(anchor) };
                let pruned = store.prune(*before, limit, &note_with_run, sums)?;
                *rows += pruned.rows;
                let done = WriterEvent::Pruned { ticket: *ticket, pruned: Pruned { rows: *rows, ..pruned } };
                Ok((!pruned.more).then_some(done))
            }
        }
    }
}
