//! The writer's thread when the store fails, until it is back; and what is done between commits.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use shaletide_record::Row;

use super::fate::{look, Found};
use super::worker::{Access, Chore, Worker};
use super::{Opening, WriterConfig, WriterEvent};
use crate::{holds, Anchor, CommitOutcome, Head, Pruned, Store, StoreError, Sums};

impl Worker {
    /// Closes the store, and opens it again later.
    pub(super) fn down(&mut self, trouble: Arc<StoreError>) {
        let (known, wait) = match &self.access {
            Access::Open(_) => (false, self.config.backoff),
            Access::Down { wait, .. } if wait.is_zero() => (false, self.config.backoff),
            Access::Down { trouble: before, wait, .. } => {
                (before.code() == trouble.code(), (*wait * 2).min(self.config.backoff_most))
            }
        };
        let retry_at = Instant::now() + wait;
        self.access = Access::Down { trouble: Arc::clone(&trouble), retry_at, wait };
        if !known {
            (self.notify)(WriterEvent::Down { error: trouble });
        }
    }

    pub(super) fn open_if_due(&mut self) {
        match &self.access {
            Access::Down { retry_at, .. } if *retry_at <= Instant::now() => {}
            _ => return,
        }
        let opening = if self.acked.is_some() { Opening::Again } else { Opening::First };
        self.shared.working_since.store(self.shared.now(), Ordering::Relaxed);
        let opened = (self.opener)(opening).and_then(|store| {
            let (head, found) = self.compare(&*store)?;
            Ok((store, head, found))
        });
        self.shared.working_since.store(0, Ordering::Relaxed);
        match opened {
            Ok((store, head, found)) => {
                self.access = Access::Open(store);
                self.acked = Some(head);
                self.tell_fates(found);
                (self.notify)(WriterEvent::Back { head });
            }
            Err(error) => self.down(Arc::new(error)),
        }
    }

    /// Whether what was acknowledged is there, and what became of what was not.
    fn compare(&self, store: &dyn Store) -> Result<(Head, Vec<Found>), StoreError> {
        let head = store.head()?;
        let Some(acked) = self.acked else { return Ok((head, Vec::new())) };
        if !holds(store, &acked)? {
            return Err(StoreError::Cut { expected: acked, found: head });
        }
        let writes: Vec<&[_]> = self.unknown.iter().map(|ticket| &ticket.writes[..]).collect();
        Ok((head, look(store, acked, &writes)?))
    }

    fn tell_fates(&mut self, found: Vec<Found>) {
        for (ticket, found) in std::mem::take(&mut self.unknown).into_iter().zip(found) {
            match found {
                Some(rows) => self.say_done(ticket.id, rows),
                None => (self.notify)(WriterEvent::Lost { ticket: ticket.id }),
            }
        }
    }

    /// One step of what is to be done between commits.
    pub(super) fn chore(&mut self) {
        let Access::Open(store) = &mut self.access else { return };
        let Some(chore) = self.chores.front_mut() else { return };
        self.shared.working_since.store(self.shared.now(), Ordering::Relaxed);
        let WriterConfig { run, chore_step, .. } = self.config;
        let done = step(chore, &mut **store, &*self.sums, run, chore_step.max(1));
        self.shared.working_since.store(0, Ordering::Relaxed);
        // A note was added behind the last row.
        let done = done.and_then(|event| Ok((event, store.head()?)));
        match done {
            Ok((None, head)) => self.acked = Some(head),
            Ok((Some(event), head)) => {
                self.acked = Some(head);
                self.chores.pop_front();
                (self.notify)(event);
            }
            Err(error) => self.chores_failed(Arc::new(error)),
        }
    }

    /// A chore may be asked for again at any time: what is left of them is given up, not kept for later.
    fn chores_failed(&mut self, trouble: Arc<StoreError>) {
        for chore in std::mem::take(&mut self.chores) {
            let (ticket, trouble) = (chore.ticket(), Arc::clone(&trouble));
            (self.notify)(WriterEvent::Failed { ticket, error: trouble, outcome: CommitOutcome::Unknown });
        }
        self.down(trouble);
    }
}

/// One step of a chore; what to say if it was the last.
fn step(
    chore: &mut Chore, store: &mut dyn Store, sums: &dyn Sums, run: u64, limit: usize,
) -> Result<Option<WriterEvent>, StoreError> {
    match chore {
        Chore::Forget { ticket, before, keys } => {
            let forgotten = store.forget_served(*before, limit)?;
            *keys += forgotten;
            let done = WriterEvent::Forgotten { ticket: *ticket, keys: *keys };
            Ok((forgotten < limit).then_some(done))
        }
        Chore::Prune { ticket, before, note, rows } => {
            let noted = |anchor: &Anchor| Row { run, ..note(anchor) };
            let pruned = store.prune(*before, limit, &noted, sums)?;
            *rows += pruned.rows;
            let done = WriterEvent::Pruned { ticket: *ticket, pruned: Pruned { rows: *rows, ..pruned } };
            Ok((!pruned.more).then_some(done))
        }
    }
}
