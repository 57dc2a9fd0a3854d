//! What the store says.

use super::Recorder;
use crate::event::{Action, KeyDecision, ResolveResult, Ticket};
use crate::journal::Then;
use crate::request::{Live, Tried};
use crate::row::{ClaimRejection, KeyId, KeyState};
use shaletide_types::{AttemptNumber, RequestId, Time};

impl Recorder {
    pub(super) fn committed(&mut self, now: Time, ticket: Ticket, seq: u64, out: &mut Vec<Action>) {
        match self.journal.settled(ticket) {
            Some(Then::Permit(request, attempt)) => self.permitted(now, request, attempt, out),
            Some(Then::Free(key)) => self.freed(&key),
            Some(Then::Serve(key)) => self.is_served(now, &key, seq),
            Some(Then::Resolve(key, ran, reply)) => {
                match ran {
                    true => self.is_served(now, &key, seq),
                    false => drop(self.live.remove(&key)),
                }
                out.push(Action::Reply { reply, result: ResolveResult::Done });
            }
            Some(Then::Spare | Then::Owed) | None => {}
        }
        self.say_dropped(now, out);
    }

    /// An intent is durable, and the key is the request's. Too late for it, it is withdrawn.
    fn permitted(&mut self, now: Time, request: RequestId, attempt: AttemptNumber, out: &mut Vec<Action>) {
        if let Some(held) = self.requests.get_mut(&request) {
            held.taken = true;
        }
        match self.tried(request, attempt) {
            Some(Tried::Waiting(until)) => {
                self.waits.remove(&(until, request, attempt));
                self.set(request, attempt, Tried::Given);
                out.push(Action::IntentPersisted { request, attempt, persisted: true });
            }
            Some(Tried::Late) => self.not_executed(now, request, attempt, out),
            _ => {}
        }
    }

    fn freed(&mut self, key: &KeyId) {
        if self.live.get(key) == Some(&Live::Freeing) {
            self.live.remove(key);
        }
    }

    /// The key is remembered as served, for its time from now on.
    fn is_served(&mut self, now: Time, key: &KeyId, seq: u64) {
        self.live.remove(key);
        let (keep, most) = (self.config.keep, self.config.bounds.served);
        self.served.add(key, seq, now + keep, keep, most);
    }

    /// The store knows of a holder of this key. In doubt it is kept, so that an operator can end that; else the
    /// store is asked anew each time, as nobody would tell here when it is free again.
    pub(super) fn refused(&mut self, now: Time, ticket: Ticket, why: ClaimRejection, out: &mut Vec<Action>) {
        let ClaimRejection::Taken(state) = why;
        match self.journal.settled(ticket) {
            Some(Then::Permit(request, attempt)) => self.taken(request, attempt, state, out),
            Some(Then::Free(key)) => self.freed(&key),
            _ => {}
        }
        self.say_dropped(now, out);
    }

    fn taken(&mut self, request: RequestId, attempt: AttemptNumber, state: KeyState, out: &mut Vec<Action>) {
        let before = self.tried(request, attempt);
        self.set(request, attempt, Tried::NotExecuted);
        let Some(held) = self.requests.get_mut(&request) else { return };
        if let Some(key) = held.key.clone().filter(|_| std::mem::take(&mut held.owns)) {
            match state {
                KeyState::Doubt => drop(self.live.insert(key, Live::Doubt { resolving: false })),
                KeyState::InFlight | KeyState::Served => drop(self.live.remove(&key)),
            }
        }
        // Also where the attempt was called back meanwhile: another one would take the key of somebody else.
        self.bar(request, KeyDecision::Conflict(state.into()), out);
        if let Some(Tried::Waiting(until)) = before {
            self.waits.remove(&(until, request, attempt));
            out.push(Action::IntentPersisted { request, attempt, persisted: false });
        }
        self.forget(request);
    }

    /// A write failed, as far as can be told. An intent may be on record all the same: it is withdrawn, and its
    /// key stays refused until that is durable. All else is written once more when the store is back.
    pub(super) fn write_failed(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Action>) {
        if self.journal.down().is_none() {
            self.journal.set_down(now + self.config.retry_after);
        }
        let Some((request, attempt)) = self.journal.failed(ticket) else { return };
        let sure = self.requests.get_mut(&request).is_some_and(|h| std::mem::replace(&mut h.taken, true));
        let verdict = KeyDecision::Reject(self.advice(now));
        if let Some(Tried::Waiting(until)) = self.tried(request, attempt) {
            self.waits.remove(&(until, request, attempt));
            self.set(request, attempt, Tried::Late);
            self.deny(request, attempt, verdict, out);
        } else if !sure {
            // Whether the store holds the key for it is not known: no other attempt may go by that.
            self.bar(request, verdict, out);
        }
        self.not_executed(now, request, attempt, out);
    }
}
