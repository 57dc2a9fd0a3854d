//! The writer's thread when the store fails, until it is back; and what is done between commits.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use shaletide_record::Row;

use super::commit_outcome::{find_rows, Found};
use super::worker::{Access, Maintenance, Worker};
use super::{Opening, WriterConfig, WriterEvent};
use crate::{holds, Anchor, CommitOutcome, Head, Pruned, Store, StoreError, Sums};

impl Worker {
    /// Closes the store, and opens it again later.
    pub(super) fn store_failed(&mut self, error: Arc<StoreError>) {
        let (known, wait) = match &self.access {
            Access::Open(_) => (false, self.config.backoff),
            Access::Down { wait, .. } if wait.is_zero() => (false, self.config.backoff),
            Access::Down { error: before, wait, .. } => {
                (before.code() == error.code(), (*wait * 2).min(self.config.max_backoff))
            }
        };
        let retry_at = Instant::now() + wait;
        self.access = Access::Down { error: Arc::clone(&error), retry_at, wait };
        if !known {
            (self.notify)(WriterEvent::Down { error: error });
        }
    }

    pub(super) fn open_if_due(&mut self) {
        match &self.access {
            Access::Down { retry_at, .. } if *retry_at <= Instant::now() => {}
            _ => return,
        }
        let opening = if self.acknowledged.is_some() { Opening::Again } else { Opening::First };
        self.shared.working_since.store(self.shared.now(), Ordering::Relaxed);
        let opened = (self.opener)(opening).and_then(|store| {
            let (head, found) = self.compare(&*store)?;
            Ok((store, head, found))
        });
        self.shared.working_since.store(0, Ordering::Relaxed);
        match opened {
            Ok((store, head, found)) => {
                self.access = Access::Open(store);
                self.acknowledged = Some(head);
                self.report_outcomes(found);
                (self.notify)(WriterEvent::Back { head });
            }
            Err(error) => self.store_failed(Arc::new(error)),
        }
    }

    /// Whether what was acknowledged is there, and what became of what was not.
    fn compare(&self, store: &dyn Store) -> Result<(Head, Vec<Found>), StoreError> {
        let head = store.head()?;
        let Some(acknowledged) = self.acknowledged else { return Ok((head, Vec::new())) };
        if !holds(store, &acknowledged)? {
            return Err(StoreError::Cut { expected: acknowledged, found: head });
        }
        let writes: Vec<&[_]> = self.unresolved.iter().map(|ticket| &ticket.writes[..]).collect();
        Ok((head, find_rows(store, acknowledged, &writes)?))
    }

    fn report_outcomes(&mut self, found: Vec<Found>) {
        for (ticket, found) in std::mem::take(&mut self.unresolved).into_iter().zip(found) {
            match found {
                Some(rows) => self.report_rows(ticket.id, rows),
                None => (self.notify)(WriterEvent::Lost { ticket: ticket.id }),
            }
        }
    }

    /// One step of what is to be done between commits.
    pub(super) fn maintain(&mut self) {
        let Access::Open(store) = &mut self.access else { return };
        let Some(task) = self.maintenance.front_mut() else { return };
        self.shared.working_since.store(self.shared.now(), Ordering::Relaxed);
        let WriterConfig { run, maintenance_step, .. } = self.config;
        let done = step(task, &mut **store, &*self.sums, run, maintenance_step.max(1));
        self.shared.working_since.store(0, Ordering::Relaxed);
        // A note was added behind the last row.
        let done = done.and_then(|event| Ok((event, store.head()?)));
        match done {
            Ok((None, head)) => self.acknowledged = Some(head),
            Ok((Some(event), head)) => {
                self.acknowledged = Some(head);
                self.maintenance.pop_front();
                (self.notify)(event);
            }
            Err(error) => self.maintenance_failed(Arc::new(error)),
        }
    }

    /// A task may be asked for again at any time: what is left of them is given up, not kept for later.
    fn maintenance_failed(&mut self, error: Arc<StoreError>) {
        for task in std::mem::take(&mut self.maintenance) {
            let (ticket, error) = (task.ticket(), Arc::clone(&error));
            (self.notify)(WriterEvent::Failed { ticket, error: error, outcome: CommitOutcome::Unknown });
        }
        self.store_failed(error);
    }
}

/// One step of a task; what to say if it was the last.
fn step(
    task: &mut Maintenance, store: &mut dyn Store, sums: &dyn Sums, run: u64, limit: usize,
) -> Result<Option<WriterEvent>, StoreError> {
    match task {
        Maintenance::Forget { ticket, before, keys } => {
            let forgotten = store.forget_served(*before, limit)?;
            *keys += forgotten;
            let done = WriterEvent::Forgotten { ticket: *ticket, keys: *keys };
            Ok((forgotten < limit).then_some(done))
        }
        Maintenance::Prune { ticket, before, note, rows } => {
            let noted = |anchor: &Anchor| Row { run, ..note(anchor) };
            let pruned = store.prune(*before, limit, &noted, sums)?;
            *rows += pruned.rows;
            let done = WriterEvent::Pruned { ticket: *ticket, pruned: Pruned { rows: *rows, ..pruned } };
            Ok((!pruned.more).then_some(done))
        }
    }
}
