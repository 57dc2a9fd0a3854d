//! What the writer's thread does a step at a time, between commits: forgetting served keys and pruning rows.

use std::sync::Arc;

use shaletide_record::Row;
use shaletide_types::Time;

use super::config::FactEncoder;
use super::event::WriterEvent;
use super::worker::{Access, Worker};
use crate::{Anchor, CommitOutcome, Pruned, Store, StoreError, Sums};

/// A task that is done a step at a time.
pub(super) enum Maintenance {
    Forget { ticket: u64, before: Time, keys: usize },
    Prune { ticket: u64, before: Time, note: FactEncoder, rows: u64 },
}

impl Maintenance {
    fn ticket(&self) -> u64 {
        match self {
            Maintenance::Forget { ticket, .. } | Maintenance::Prune { ticket, .. } => *ticket,
        }
    }

    /// One step of it, of at most `limit` keys or rows; what to report if it was the last.
    fn step(
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
                let note_of_run = |anchor: &Anchor| Row { run, ..note(anchor) };
                let pruned = store.prune(*before, limit, &note_of_run, sums)?;
                *rows += pruned.rows;
                let done = WriterEvent::Pruned { ticket: *ticket, pruned: Pruned { rows: *rows, ..pruned } };
                Ok((!pruned.more).then_some(done))
            }
        }
    }
}

impl Worker {
    /// One step of the first task.
    pub(super) fn maintain(&mut self) {
        let Access::Open(store) = &mut self.access else { return };
        let Some(task) = self.maintenance.front_mut() else { return };
        let limit = self.config.maintenance_step.max(1);
        let work = self.shared.begin_work();
        let stepped = task.step(&mut **store, &*self.sums, self.config.run, limit);
        drop(work);
        // A note was added behind the last row.
        let stepped = stepped.and_then(|done| Ok((done, store.head()?)));
        match stepped {
            Ok((done, head)) => {
                self.acknowledged = Some(head);
                if let Some(event) = done {
                    self.maintenance.pop_front();
                    (self.notify)(event);
                }
            }
            Err(error) => self.maintenance_failed(Arc::new(error)),
        }
    }

    /// A task may be asked for again at any time: what is left of them is given up, not kept for later.
    fn maintenance_failed(&mut self, error: Arc<StoreError>) {
        for task in std::mem::take(&mut self.maintenance) {
            (self.notify)(WriterEvent::Failed {
                ticket: task.ticket(),
                error: Arc::clone(&error),
                outcome: CommitOutcome::Unknown,
            });
        }
        self.store_failed(error);
    }
}
