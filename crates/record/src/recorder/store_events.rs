//! What the store says.

use super::Recorder;
use crate::event::{Action, KeyDecision, ResolveResult, Ticket};
use crate::pending_writes::{FailedIntent, OnCommit};
use crate::request::{AttemptState, UnsettledKey};
use crate::row::{ClaimRejection, KeyId, KeyState};
use shaletide_types::{AttemptNumber, RequestId, Time};

impl Recorder {
    pub(super) fn committed(&mut self, now: Time, ticket: Ticket, seq: u64, actions: &mut Vec<Action>) {
        match self.pending_writes.complete(ticket) {
            Some(OnCommit::IntentPersisted(request, attempt)) => {
                self.intent_persisted(now, request, attempt, actions)
            }
            Some(OnCommit::KeyFree(key)) => self.mark_free(&key),
            Some(OnCommit::KeyServed(key)) => self.mark_served(now, &key, seq),
            Some(OnCommit::Resolved { key, ran, reply }) => {
                match ran {
                    true => self.mark_served(now, &key, seq),
                    false => drop(self.unsettled_keys.remove(&key)),
                }
                actions.push(Action::Reply { reply, result: ResolveResult::Done });
            }
            Some(OnCommit::Droppable | OnCommit::Nothing) | None => {}
        }
        self.record_dropped(now, actions);
    }

    /// An intent is durable, and the key is the request's. Too late for it, it is withdrawn.
    fn intent_persisted(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, actions: &mut Vec<Action>,
    ) {
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.key_claimed = true;
        }
        match self.attempt_state(request, attempt) {
            Some(AttemptState::AwaitingIntent(until)) => {
                self.intent_deadlines.remove(&(until, request, attempt));
                self.set_attempt_state(request, attempt, AttemptState::IntentPersisted);
                actions.push(Action::IntentPersisted { request, attempt, persisted: true });
            }
            Some(AttemptState::IntentTooLate) => self.not_executed(now, request, attempt, actions),
            _ => {}
        }
    }

    fn mark_free(&mut self, key: &KeyId) {
        if self.unsettled_keys.get(key) == Some(&UnsettledKey::Freeing) {
            self.unsettled_keys.remove(key);
        }
    }

    /// The key is remembered as served, for its time from now on.
    fn mark_served(&mut self, now: Time, key: &KeyId, seq: u64) {
        self.unsettled_keys.remove(key);
        let (keep, most) = (self.config.keep, self.config.bounds.served);
        self.served.add(key, seq, now + keep, keep, most);
    }

    /// The store knows of a holder of this key. In doubt it is kept, so that an operator can end that; else the
    /// store is asked anew each time, as nobody would tell here when it is free again.
    pub(super) fn claim_rejected(
        &mut self, now: Time, ticket: Ticket, why: ClaimRejection, actions: &mut Vec<Action>,
    ) {
        let ClaimRejection::Taken(state) = why;
        match self.pending_writes.complete(ticket) {
            Some(OnCommit::IntentPersisted(request, attempt)) => {
                self.key_taken(request, attempt, state, actions)
            }
            Some(OnCommit::KeyFree(key)) => self.mark_free(&key),
            _ => {}
        }
        self.record_dropped(now, actions);
    }

    fn key_taken(
        &mut self, request: RequestId, attempt: AttemptNumber, state: KeyState, actions: &mut Vec<Action>,
    ) {
        let before = self.attempt_state(request, attempt);
        self.set_attempt_state(request, attempt, AttemptState::NotExecuted);
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        if let Some(key) = tracked.key.clone().filter(|_| std::mem::take(&mut tracked.owns_key)) {
            match state {
                KeyState::Doubt => {
                    drop(self.unsettled_keys.insert(key, UnsettledKey::InDoubt { resolving: false }))
                }
                KeyState::InFlight | KeyState::Served => drop(self.unsettled_keys.remove(&key)),
            }
        }
        // Also where the attempt was called back meanwhile: another one would take the key of somebody else.
        self.reject_request(request, KeyDecision::Conflict(state.into()), actions);
        if let Some(AttemptState::AwaitingIntent(until)) = before {
            self.intent_deadlines.remove(&(until, request, attempt));
            actions.push(Action::IntentPersisted { request, attempt, persisted: false });
        }
        self.forget(request);
    }

    /// A write failed, as far as can be told. An intent may be on record all the same: it is withdrawn, and its
    /// key stays refused until that is durable. All else is written once more when the store is back.
    pub(super) fn write_failed(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        if !self.pending_writes.is_store_down() {
            self.pending_writes.set_store_down(now + self.config.retry_after);
        }
        let Some(FailedIntent { request, attempt }) = self.pending_writes.fail(ticket) else { return };
        let sure =
            self.requests.get_mut(&request).is_some_and(|h| std::mem::replace(&mut h.key_claimed, true));
        let verdict = KeyDecision::Reject(self.retry_after(now));
        if let Some(AttemptState::AwaitingIntent(until)) = self.attempt_state(request, attempt) {
            self.intent_deadlines.remove(&(until, request, attempt));
            self.set_attempt_state(request, attempt, AttemptState::IntentTooLate);
            self.deny_attempt(request, attempt, verdict, actions);
        } else if !sure {
            // Whether the store holds the key for it is not known: no other attempt may go by that.
            self.reject_request(request, verdict, actions);
        }
        self.not_executed(now, request, attempt, actions);
    }
}
