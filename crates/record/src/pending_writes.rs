//! The writes that are not known to be durable, in order, and whether the store accepts writes.

use crate::config::Bounds;
use crate::event::{Action, ReplyId, Ticket};
use crate::request::AttemptId;
use crate::row::{KeyId, Write};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// Approximate size of a row without its strings, in bytes.
const ROW_BYTES: usize = 400;

/// The effect of a write once it is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OnCommit {
    /// No effect, and the write may be dropped if there is no room.
    Droppable,
    /// No effect.
    Nothing,
    /// The attempt may be sent.
    IntentPersisted(AttemptId),
    /// The key is free.
    KeyFree(KeyId),
    /// The key was served.
    KeyServed(KeyId),
    /// An operator's resolution is in effect: the key is served if its attempt was executed, else it is free.
    Resolved {
        /// The key.
        key: KeyId,
        /// Whether the attempt was executed.
        ran: bool,
        /// The operator's command.
        reply: ReplyId,
    },
}

#[derive(Clone, Debug)]
struct PendingWrite {
    on_commit: OnCommit,
    bytes: usize,
    /// When the write was sent to the store; `None` while it waits for the store to accept writes.
    sent_at: Option<Time>,
    /// The write to send again after a failure; `None` for an intent, which is not sent again.
    resend: Option<Box<Write>>,
}

/// The writes that are not known to be durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingWrites {
    writes: BTreeMap<Ticket, PendingWrite>,
    last_ticket: Ticket,
    droppable: usize,
    droppable_bytes: usize,
    /// While the store accepts no writes: the time from which clients are asked to retry. The store itself is tried again by
    /// its writer, which has its own backoff.
    store_retry_hint: Option<Time>,
}

impl PendingWrites {
    /// Queues a write. It is sent at once, or when the store accepts writes again.
    pub fn push(&mut self, now: Time, write: Write, on_commit: OnCommit, actions: &mut Vec<Action>) {
        let bytes = bytes(&write);
        let is_intent = matches!(on_commit, OnCommit::IntentPersisted(..));
        let resend = (!is_intent).then(|| Box::new(write.clone()));
        let sent_at = if self.is_store_down() { None } else { Some(now) };
        self.last_ticket.0 += 1;
        let ticket = self.last_ticket;
        if on_commit == OnCommit::Droppable {
            self.droppable += 1;
            self.droppable_bytes += bytes;
        }
        self.writes.insert(ticket, PendingWrite { on_commit, bytes, sent_at, resend });
        if sent_at.is_some() {
            actions.push(Action::Write { ticket, write: Box::new(write) });
        }
    }

    /// Returns whether there is room for a droppable write.
    pub fn has_room(&self, write: &Write, bounds: &Bounds) -> bool {
        self.droppable < bounds.droppable_facts
            && self.droppable_bytes + bytes(write) <= bounds.droppable_bytes
    }

    /// Returns the number of writes that must not be lost.
    pub fn required_count(&self) -> usize {
        self.writes.len() - self.droppable
    }

    /// Removes a write that is durable or was rejected, and returns its effect.
    pub fn complete(&mut self, ticket: Ticket) -> Option<OnCommit> {
        self.remove(ticket).map(|pending| pending.on_commit)
    }

    /// Marks a failed write to be sent again when the store is back. An intent is removed instead, and its attempt is
    /// returned.
    pub fn fail(&mut self, ticket: Ticket) -> Option<AttemptId> {
        let pending = self.writes.get_mut(&ticket)?;
        if let OnCommit::IntentPersisted(attempt) = pending.on_commit {
            self.writes.remove(&ticket);
            return Some(attempt);
        }
        pending.sent_at = None;
        None
    }

    /// Records that the store accepts no writes and that clients are asked to retry at `retry_hint` or later.
    pub fn set_store_down(&mut self, retry_hint: Time) {
        self.store_retry_hint = Some(retry_hint);
    }

    /// Records that the store accepts writes again, and sends the unsent ones in their order, with new tickets.
    pub fn resend(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.store_retry_hint = None;
        let unsent = self.writes.iter().filter(|(_, pending)| pending.sent_at.is_none());
        let unsent: Vec<Ticket> = unsent.map(|(ticket, _)| *ticket).collect();
        for ticket in unsent {
            let Some(PendingWrite { on_commit, resend, .. }) = self.remove(ticket) else { continue };
            if let Some(write) = resend {
                self.push(now, *write, on_commit, actions);
            }
        }
    }

    /// Returns whether the store accepts no writes.
    pub fn is_store_down(&self) -> bool {
        self.store_retry_hint.is_some()
    }

    /// Returns the time from which clients are asked to retry, while the store accepts no writes.
    pub fn store_retry_hint(&self) -> Option<Time> {
        self.store_retry_hint
    }

    /// Returns whether the oldest write was sent at least `intent_timeout` ago, so that a new intent is likely to time out.
    pub fn is_stalled(&self, now: Time, intent_timeout: Micros) -> bool {
        let oldest = self.writes.first_key_value();
        oldest.and_then(|(_, pending)| pending.sent_at).is_some_and(|sent_at| now - sent_at >= intent_timeout)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<PendingWrite> {
        let pending = self.writes.remove(&ticket)?;
        if pending.on_commit == OnCommit::Droppable {
            self.droppable -= 1;
            self.droppable_bytes -= pending.bytes;
        }
        Some(pending)
    }
}

/// Returns the approximate memory use of a write.
fn bytes(write: &Write) -> usize {
    let row = &write.row;
    let key = row.key.as_ref().map_or(0, |key| key.tenant.len() + key.class.len() + key.key.len());
    ROW_BYTES + key + row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len)
}
