//! Recovery of the writer's thread after a failure of the store, until the store is open again.

use std::sync::Arc;
use std::time::Instant;

use super::commit_outcome::{find_rows, FoundRows};
use super::config::Opening;
use super::event::WriterEvent;
use super::worker::{Access, Worker};
use crate::{contains_head, Head, Store, StoreError};

/// A store that was opened again and contains all acknowledged rows.
struct Reopened {
    store: Box<dyn Store>,
    head: Head,
    /// The result of each unresolved ticket.
    found: Vec<FoundRows>,
}

impl Worker {
    /// Closes the store, and opens it again after a backoff.
    pub(super) fn store_failed(&mut self, error: Arc<StoreError>) {
        let mut is_reported = false;
        let mut backoff = self.config.backoff;
        if let Access::Down { error: before, backoff: last, .. } = &self.access {
            if !last.is_zero() {
                is_reported = before.code() == error.code();
                backoff = (*last * 2).min(self.config.max_backoff);
            }
        }
        let retry_at = Instant::now() + backoff;
        self.access = Access::Down { error: Arc::clone(&error), retry_at, backoff };
        if !is_reported {
            (self.notify)(WriterEvent::Down { error });
        }
    }

    pub(super) fn open_if_due(&mut self) {
        match &self.access {
            Access::Down { retry_at, .. } if *retry_at <= Instant::now() => {}
            _ => return,
        }
        let work = self.shared.begin_work();
        let reopened = self.reopen();
        drop(work);
        match reopened {
            Ok(Reopened { store, head, found }) => {
                self.access = Access::Open(store);
                self.acknowledged = Some(head);
                self.report_unresolved(found);
                (self.notify)(WriterEvent::Back { head });
            }
            Err(error) => self.store_failed(Arc::new(error)),
        }
    }

    /// Opens the store and checks that it has the acknowledged rows. Finds the result of each unresolved ticket.
    fn reopen(&mut self) -> Result<Reopened, StoreError> {
        let opening = if self.acknowledged.is_some() { Opening::Again } else { Opening::First };
        let store = (self.opener)(opening)?;
        let head = store.head()?;
        let Some(acknowledged) = self.acknowledged else {
            return Ok(Reopened { store, head, found: Vec::new() });
        };
        if !contains_head(&*store, &acknowledged)? {
            return Err(StoreError::Cut { expected: acknowledged, found: head });
        }
        let writes: Vec<&[_]> = self.unresolved.iter().map(|ticket| &ticket.writes[..]).collect();
        let found = find_rows(&*store, acknowledged, &writes)?;
        Ok(Reopened { store, head, found })
    }

    fn report_unresolved(&mut self, found: Vec<FoundRows>) {
        for (ticket, found) in std::mem::take(&mut self.unresolved).into_iter().zip(found) {
            match found {
                Some(rows) => self.report_rows(ticket.id, rows),
                None => (self.notify)(WriterEvent::Lost { ticket: ticket.id }),
            }
        }
    }
}
