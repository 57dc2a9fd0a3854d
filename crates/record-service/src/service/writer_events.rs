//! Passes the writer's events to the recorder, or to the caller that waits for a prune.

use super::{PruneError, RecordService, STORE_RETRY_AFTER};
use crate::store_error::store_failure;
use shaletide_record::{Event, StoreFailure, Ticket};
use shaletide_store::{CommitOutcome, StoreError, WriterEvent};
use shaletide_types::error_chain;
use tracing::{error, info, warn};

impl RecordService {
    pub(super) fn on_writer_event(&self, event: WriterEvent) {
        match event {
            WriterEvent::Committed { ticket, seqs } => {
                let seq = seqs.last().copied().unwrap_or_default();
                self.handle(Event::Committed { ticket: Ticket(ticket), seq });
            }
            WriterEvent::ClaimsRejected { ticket, rows } => {
                let rejected = rows.iter().find_map(|row| row.err());
                let seq = rows.iter().find_map(|row| row.ok()).unwrap_or_default();
                self.handle(match rejected {
                    Some(why) => Event::ClaimRejected { ticket: Ticket(ticket), why },
                    None => Event::Committed { ticket: Ticket(ticket), seq },
                });
            }
            WriterEvent::Failed { ticket, error, outcome } => self.write_failed(ticket, &error, outcome),
            WriterEvent::Lost { ticket } => self.write_lost(ticket),
            WriterEvent::Forgotten { .. } => {}
            WriterEvent::Pruned { ticket, pruned } => {
                info!("store: {} rows pruned", pruned.rows);
                self.answer_prune(ticket, Ok(pruned.rows));
            }
            WriterEvent::Down { error } => {
                error!("store: {}: {}", error.code(), error_chain(&error));
                self.store_down.set(true);
                self.handle(Event::StoreDown {
                    why: store_failure(&error),
                    retry_after_hint: STORE_RETRY_AFTER,
                });
            }
            WriterEvent::Back { head } => {
                info!("store: back, head {}", head);
                self.store_down.set(false);
                self.handle(Event::StoreUp);
            }
            other => warn!("store: unknown event of the writer: {other:?}"),
        }
    }

    fn write_failed(&self, ticket: u64, error: &StoreError, outcome: CommitOutcome) {
        if self.awaits_prune(ticket) {
            self.answer_prune(ticket, Err(PruneError::Failed(error.to_string())));
        } else if outcome != CommitOutcome::Unknown {
            self.handle(Event::WriteFailed { ticket: Ticket(ticket), why: store_failure(error) });
        }
        // A write that may be durable all the same is reported by another event as soon as the store is back. Until then the
        // recorder's intent timeout answers the attempts that wait for it.
    }

    fn write_lost(&self, ticket: u64) {
        if self.awaits_prune(ticket) {
            self.answer_prune(ticket, Err(PruneError::Lost));
        } else {
            self.handle(Event::WriteFailed { ticket: Ticket(ticket), why: StoreFailure::Failed });
        }
    }

    fn awaits_prune(&self, ticket: u64) -> bool {
        self.prunes.borrow().contains_key(&ticket)
    }

    fn answer_prune(&self, ticket: u64, result: Result<u64, PruneError>) {
        let Some(sender) = self.prunes.borrow_mut().remove(&ticket) else { return };
        let _ = sender.send(result); // the receiver may have been dropped
    }
}
