//! Writes that are not known to be durable, in their order, and whether the store takes any.

use crate::config::Bounds;
use crate::event::{Action, ReplyId, Ticket};
use crate::request::AttemptId;
use crate::row::{KeyId, Write};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// What a row takes besides its strings, roughly, in bytes.
const ROW_BYTES: usize = 400;

/// What follows once a write is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OnCommit {
    /// Nothing, and the write may be left out where there is no room.
    Droppable,
    /// Nothing.
    Nothing,
    /// The attempt may be sent.
    IntentPersisted(AttemptId),
    /// The key is free.
    KeyFree(KeyId),
    /// The key was served.
    KeyServed(KeyId),
    /// An operator's resolution is in effect: the key was served if its attempt was executed, else it is free.
    Resolved {
        /// The key.
        key: KeyId,
        /// Its attempt was executed.
        ran: bool,
        /// The operator's command.
        reply: ReplyId,
    },
}

#[derive(Clone, Debug)]
struct PendingWrite {
    on_commit: OnCommit,
    bytes: usize,
    /// When it was sent to the store; none while that takes nothing.
    sent_at: Option<Time>,
    /// What is sent once more if it fails; an intent is not.
    resend: Option<Box<Write>>,
}

/// Everything that was to be written and is not known to be durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingWrites {
    writes: BTreeMap<Ticket, PendingWrite>,
    last_ticket: Ticket,
    droppable: usize,
    droppable_bytes: usize,
    /// The store takes nothing; when clients are told that it may be back. Nothing here tries it then: the writer has its
    /// own backoff.
    store_retry_hint: Option<Time>,
}

impl PendingWrites {
    /// Has it written; at once, or once the store takes writes again.
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

    /// There is room for one that may be left out.
    pub fn has_room(&self, write: &Write, bounds: &Bounds) -> bool {
        self.droppable < bounds.droppable_facts
            && self.droppable_bytes + bytes(write) <= bounds.droppable_bytes
    }

    /// How many must not be lost.
    pub fn required_count(&self) -> usize {
        self.writes.len() - self.droppable
    }

    /// The write is durable, or was rejected: it is over. What follows.
    pub fn complete(&mut self, ticket: Ticket) -> Option<OnCommit> {
        self.remove(ticket).map(|pending| pending.on_commit)
    }

    /// The write failed: it waits for the store to come back. An intent does not; its attempt is returned.
    pub fn fail(&mut self, ticket: Ticket) -> Option<AttemptId> {
        let pending = self.writes.get_mut(&ticket)?;
        if let OnCommit::IntentPersisted(attempt) = pending.on_commit {
            self.writes.remove(&ticket);
            return Some(attempt);
        }
        pending.sent_at = None;
        None
    }

    /// The store takes nothing; clients are told to come again at `retry_hint` or later.
    pub fn set_store_down(&mut self, retry_hint: Time) {
        self.store_retry_hint = Some(retry_hint);
    }

    /// The store takes writes again: those that wait are sent, in their order and with new tickets.
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

    /// The store takes nothing.
    pub fn is_store_down(&self) -> bool {
        self.store_retry_hint.is_some()
    }

    /// While the store takes nothing: when clients are told that it may be back.
    pub fn store_retry_hint(&self) -> Option<Time> {
        self.store_retry_hint
    }

    /// The oldest write was sent so long ago that an intent would not wait for it.
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

/// The memory that a write takes, roughly.
fn bytes(write: &Write) -> usize {
    let row = &write.row;
    let key = row.key.as_ref().map_or(0, |key| key.tenant.len() + key.class.len() + key.key.len());
    ROW_BYTES + key + row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len)
}
