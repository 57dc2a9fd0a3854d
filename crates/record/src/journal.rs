//! Writes that are not known to be durable, in their order, and how the store is.

use crate::config::Bounds;
use crate::event::{Action, ReplyId, Ticket};
use crate::row::{KeyId, Write};
use shaletide_types::{AttemptNumber, Micros, RequestId, Time};
use std::collections::BTreeMap;

/// What a row takes besides its strings, roughly.
const ROW_BYTES: usize = 400;

/// What follows once a write is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Then {
    /// Nothing, and it may be left out where there is no room.
    Spare,
    /// Nothing.
    Owed,
    /// The permit of an attempt.
    Permit(RequestId, AttemptNumber),
    /// The key is free.
    Free(KeyId),
    /// The key was served.
    Serve(KeyId),
    /// The key is free, or served if it ran.
    Resolve(KeyId, bool, ReplyId),
}

#[derive(Clone, Debug)]
struct Entry {
    then: Then,
    bytes: usize,
    /// When it was sent to the store; none while that takes nothing.
    sent: Option<Time>,
    /// What is sent once more if it fails; an intent is not.
    write: Option<Box<Write>>,
}

/// Everything that was to be written and is not known to be durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    entries: BTreeMap<Ticket, Entry>,
    next: Ticket,
    spare: usize,
    spare_bytes: usize,
    /// The store takes nothing, and is tried again at this time.
    down: Option<Time>,
}

impl Journal {
    /// Has it written; at once, or once the store takes writes again.
    pub fn push(&mut self, now: Time, write: Write, then: Then, out: &mut Vec<Action>) {
        let bytes = bytes(&write);
        let kept = (!matches!(then, Then::Permit(..))).then(|| Box::new(write.clone()));
        self.next.0 += 1;
        let (ticket, sent) = (self.next, self.down.is_none().then_some(now));
        self.count(&then, bytes, true);
        self.entries.insert(ticket, Entry { then, bytes, sent, write: kept });
        if sent.is_some() {
            out.push(Action::Write { ticket, write: Box::new(write) });
        }
    }

    /// There is room for one that may be left out.
    pub fn has_room(&self, write: &Write, bounds: &Bounds) -> bool {
        self.spare < bounds.spare_facts && self.spare_bytes + bytes(write) <= bounds.spare_bytes
    }

    /// Those that must not be lost.
    pub fn owed(&self) -> usize {
        self.entries.len() - self.spare
    }

    /// It is durable, or was not taken: it is over. What follows.
    pub fn settled(&mut self, ticket: Ticket) -> Option<Then> {
        let entry = self.entries.remove(&ticket)?;
        self.count(&entry.then, entry.bytes, false);
        Some(entry.then)
    }

    /// It failed: it waits for the store to come back. An intent does not; the attempt is told.
    pub fn failed(&mut self, ticket: Ticket) -> Option<(RequestId, AttemptNumber)> {
        match self.entries.get_mut(&ticket) {
            Some(Entry { then: Then::Permit(request, attempt), .. }) => {
                let attempt = (*request, *attempt);
                self.entries.remove(&ticket);
                Some(attempt)
            }
            Some(entry) => {
                entry.sent = None;
                None
            }
            None => None,
        }
    }

    /// The store takes nothing until `again` at the earliest.
    pub fn set_down(&mut self, again: Time) {
        self.down = Some(again);
    }

    /// The store takes writes again: those that wait are sent, in their order and under new names.
    pub fn reopen(&mut self, now: Time, out: &mut Vec<Action>) {
        self.down = None;
        let waiting: Vec<Ticket> =
            self.entries.iter().filter(|(_, e)| e.sent.is_none()).map(|(t, _)| *t).collect();
        for ticket in waiting {
            let Some(entry) = self.entries.remove(&ticket) else { continue };
            self.count(&entry.then, entry.bytes, false);
            if let Some(write) = entry.write {
                self.push(now, *write, entry.then, out);
            }
        }
    }

    /// The store takes nothing; when it is tried again.
    pub fn down(&self) -> Option<Time> {
        self.down
    }

    /// The oldest write was sent that long ago, which a permit would not wait.
    pub fn is_stalled(&self, now: Time, wait: Micros) -> bool {
        self.entries.first_key_value().and_then(|(_, e)| e.sent).is_some_and(|sent| now - sent >= wait)
    }

    fn count(&mut self, then: &Then, bytes: usize, add: bool) {
        if *then == Then::Spare && add {
            (self.spare, self.spare_bytes) = (self.spare + 1, self.spare_bytes + bytes);
        } else if *then == Then::Spare {
            (self.spare, self.spare_bytes) = (self.spare - 1, self.spare_bytes - bytes);
        }
    }
}

fn bytes(write: &Write) -> usize {
    let row = &write.row;
    let key = row.key.as_ref().map_or(0, |k| k.tenant.len() + k.class.len() + k.key.len());
    ROW_BYTES + key + row.kind.len() + row.body.len() + row.backend.as_ref().map_or(0, String::len)
}
