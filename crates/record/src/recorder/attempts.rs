//! Requests that need permits, from their first attempt to their end.

use super::Recorder;
use crate::event::{Action, KeyDecision, RequestEnding};
use crate::fact::{About, Fact, Seen};
use crate::pending_writes::OnCommit;
use crate::request::{AttemptState, IntentRequest, RequestState, UnsettledKey};
use crate::row::{Claim, KeyState};
use shaletide_types::{AttemptNumber, Outcome, RequestId, Time};

impl Recorder {
    pub(super) fn intent_requested(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, seen: Seen,
        actions: &mut Vec<Action>,
    ) {
        if !self.may_request_intent(now, request, attempt) {
            return actions.push(Action::IntentPersisted { request, attempt, persisted: false });
        }
        if self.cannot_take_intent(now) {
            return self.deny_attempt(request, attempt, KeyDecision::Reject(self.retry_after(now)), actions);
        }
        let until_at_most = now + self.config.intent_timeout;
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        let until = tracked.deadline.min(until_at_most);
        let (claim, key) = (tracked.claim_of_intent(), tracked.key.clone());
        tracked.attempts.insert(attempt, AttemptState::AwaitingIntent(until));
        self.intent_deadlines.insert((until, request, attempt));
        let about = About { request: Some(request.0), key, backend: Some(seen.backend.clone()) };
        let fact = Fact::Intent { attempt: attempt.0, seen };
        self.write(now, fact, about, claim, OnCommit::IntentPersisted(request, attempt), actions);
    }

    /// It may be asked for at all: the request goes on, and its key is its own or not even asked for. Behind an
    /// intent that may yet be refused nothing can be said of the key.
    fn may_request_intent(&self, now: Time, request: RequestId, attempt: AttemptNumber) -> bool {
        self.requests.get(&request).is_some_and(|r| {
            !r.ended
                && r.rejected_with.is_none()
                && now < r.deadline
                && !r.attempts.contains_key(&attempt)
                && (r.key_claimed || !r.awaits_intent())
        })
    }

    /// The store does not write, or too many wait for it already.
    fn cannot_take_intent(&self, now: Time) -> bool {
        self.pending_writes.is_store_down()
            || self.pending_writes.is_stalled(now, self.config.intent_timeout)
            || self.intent_deadlines.len() >= self.config.bounds.waiting
    }

    /// An attempt is not sent. Where nothing of its request may have run, that ends it at once.
    pub(super) fn deny_attempt(
        &mut self, request: RequestId, attempt: AttemptNumber, verdict: KeyDecision,
        actions: &mut Vec<Action>,
    ) {
        // The verdict first: the end of its only attempt would have the engine answer without it.
        self.reject_request(request, verdict, actions);
        actions.push(Action::IntentPersisted { request, attempt, persisted: false });
    }

    /// No attempt of a request goes any more, if nothing of it may have run.
    pub(super) fn reject_request(
        &mut self, request: RequestId, verdict: KeyDecision, actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        if !tracked.ended && tracked.rejected_with.is_none() && !tracked.may_have_run() {
            tracked.rejected_with = Some(verdict);
            actions.push(Action::EndRequest { request, verdict });
        }
    }

    /// Attempts whose intents took too long are not sent.
    pub(super) fn expire_intent_waits(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(until, request, attempt)) = self.intent_deadlines.first().filter(|w| w.0 <= now) {
            self.intent_deadlines.remove(&(until, request, attempt));
            self.set_attempt_state(request, attempt, AttemptState::IntentTooLate);
            self.deny_attempt(request, attempt, KeyDecision::Reject(self.retry_after(now)), actions);
        }
    }

    pub(super) fn set_attempt_state(
        &mut self, request: RequestId, attempt: AttemptNumber, state: AttemptState,
    ) {
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.attempts.insert(attempt, state);
        }
    }

    pub(super) fn attempt_state(&self, request: RequestId, attempt: AttemptNumber) -> Option<AttemptState> {
        self.requests.get(&request)?.attempts.get(&attempt).copied()
    }

    pub(super) fn intent_withdrawn(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, actions: &mut Vec<Action>,
    ) {
        match self.attempt_state(request, attempt) {
            // Whether its intent takes the key is not known: what frees it waits for that, or it would free
            // what another holds.
            Some(AttemptState::AwaitingIntent(until)) => {
                self.intent_deadlines.remove(&(until, request, attempt));
                self.set_attempt_state(request, attempt, AttemptState::IntentTooLate);
            }
            Some(AttemptState::IntentPersisted) => self.not_executed(now, request, attempt, actions),
            _ => {}
        }
    }

    /// Its intent is on record, or may be, and it was not sent.
    pub(super) fn not_executed(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, actions: &mut Vec<Action>,
    ) {
        self.set_attempt_state(request, attempt, AttemptState::NotExecuted);
        self.record_end(now, request, Fact::Withdrawn { attempt: attempt.0 }, actions);
    }

    pub(super) fn attempt_ended(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let may_have_run = !outcome.not_executed();
        let fact = Fact::Outcome { attempt: attempt.0, outcome: outcome_word(outcome).into(), may_have_run };
        match self.attempt_state(request, attempt) {
            Some(AttemptState::IntentPersisted) => {
                self.set_attempt_state(request, attempt, AttemptState::ended(outcome));
                self.record_end(now, request, fact, actions);
            }
            Some(AttemptState::AwaitingIntent(_)) => self.intent_withdrawn(now, request, attempt, actions),
            Some(_) => {}
            None => self.recorded_attempt_ended(now, request, attempt, fact, actions),
        }
    }

    pub(super) fn request_ended(
        &mut self, now: Time, request: RequestId, ending: RequestEnding, actions: &mut Vec<Action>,
    ) {
        let attempt = match ending {
            RequestEnding::Served(no) => Some(no.0),
            _ => None,
        };
        let fact = Fact::Answer { ending: ending_word(ending).into(), attempt };
        let Some(tracked) = self.requests.get_mut(&request).filter(|r| !r.ended) else {
            return self.recorded_request_ended(now, request, fact, actions);
        };
        tracked.ended = true;
        let waiting: Vec<AttemptNumber> = tracked
            .attempts
            .iter()
            .filter(|(_, t)| matches!(t, AttemptState::AwaitingIntent(_)))
            .map(|(no, _)| *no)
            .collect();
        waiting.into_iter().for_each(|no| self.intent_withdrawn(now, request, no, actions));
        self.record_end(now, request, fact, actions);
    }

    /// A fact about the end of an attempt or a request, with what that makes of the key.
    fn record_end(&mut self, now: Time, request: RequestId, fact: Fact, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        let claim = tracked.claim();
        let about = About { request: Some(request.0), key: tracked.key.clone(), backend: None };
        let on_commit = match &claim {
            Claim::FreeOwn(key) => OnCommit::KeyFree(key.clone()),
            Claim::Set(key, KeyState::Served) => OnCommit::KeyServed(key.clone()),
            _ => OnCommit::Nothing,
        };
        let live = settled_key(tracked);
        if let (Some(key), Some(live)) = (tracked.key.clone().filter(|_| tracked.owns_key), live) {
            tracked.owns_key = false;
            match live {
                Some(live) => drop(self.unsettled_keys.insert(key, live)),
                None => drop(self.unsettled_keys.remove(&key)),
            }
        }
        self.write(now, fact, about, claim, on_commit, actions);
        self.forget(request);
    }

    /// Nothing is kept of a request of which nothing more is to be heard.
    pub(super) fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(IntentRequest::is_done) {
            self.requests.remove(&request);
        }
    }

    /// An attempt of a request that is only recorded goes out.
    pub(super) fn recorded_attempt_started(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, seen: Seen,
        actions: &mut Vec<Action>,
    ) {
        if let Some(recorded) = self.recorded.get_mut(&request) {
            recorded.out.insert(attempt);
        }
        self.write_recorded(now, request, Fact::Intent { attempt: attempt.0, seen }, actions);
    }

    /// One of them is over; it may be that its request was before.
    fn recorded_attempt_ended(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, fact: Fact,
        actions: &mut Vec<Action>,
    ) {
        self.write_recorded(now, request, fact, actions);
        if let Some(recorded) = self.recorded.get_mut(&request) {
            recorded.out.remove(&attempt);
        }
        self.forget_recorded(request);
    }

    fn recorded_request_ended(
        &mut self, now: Time, request: RequestId, fact: Fact, actions: &mut Vec<Action>,
    ) {
        self.write_recorded(now, request, fact, actions);
        if let Some(recorded) = self.recorded.get_mut(&request) {
            recorded.ended = true;
        }
        self.forget_recorded(request);
    }

    fn forget_recorded(&mut self, request: RequestId) {
        if self.recorded.get(&request).is_some_and(|f| f.ended && f.out.is_empty()) {
            self.recorded.remove(&request);
        }
    }

    /// A fact about a request that is only recorded.
    fn write_recorded(&mut self, now: Time, request: RequestId, fact: Fact, actions: &mut Vec<Action>) {
        let Some(recorded) = self.recorded.get(&request) else { return };
        let key = recorded.key.clone();
        let backend = match &fact {
            Fact::Intent { seen, .. } => Some(seen.backend.clone()),
            _ => None,
        };
        self.write_droppable(now, fact, About { request: Some(request.0), key, backend }, actions);
    }
}

/// Where its key is no longer up to the request, how it stands from now on; as none it is free.
fn settled_key(tracked: &IntentRequest) -> Option<Option<UnsettledKey>> {
    match tracked.state() {
        RequestState::Pending | RequestState::InFlight => None,
        RequestState::InDoubt if !tracked.is_done() => None,
        RequestState::InDoubt => Some(Some(UnsettledKey::InDoubt { resolving: false })),
        RequestState::Served => Some(Some(UnsettledKey::Served)),
        RequestState::NotExecuted if tracked.key_claimed => Some(Some(UnsettledKey::Freeing)),
        RequestState::NotExecuted => Some(None),
    }
}

fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "never_sent",
    }
}

fn ending_word(ending: RequestEnding) -> &'static str {
    match ending {
        RequestEnding::Served(_) => "served",
        RequestEnding::Rejected => "refused",
        RequestEnding::Failed => "failed",
        RequestEnding::TimedOut => "timed_out",
        RequestEnding::ClientDisconnected => "left",
    }
}
