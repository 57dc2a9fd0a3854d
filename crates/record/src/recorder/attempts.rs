//! Requests that need permits, from their first attempt to their end.

use super::Recorder;
use crate::event::{Action, KeyDecision, RequestEnding};
use crate::fact::{About, Fact, Seen};
use crate::journal::Then;
use crate::request::{Held, Live, Standing, Tried};
use crate::row::{Claim, KeyState};
use shaletide_types::{AttemptNumber, Outcome, RequestId, Time};

impl Recorder {
    pub(super) fn permit_wanted(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, seen: Seen, out: &mut Vec<Action>,
    ) {
        if !self.may_wait(now, request, attempt) {
            return out.push(Action::IntentPersisted { request, attempt, persisted: false });
        }
        if self.is_unready_for(now) {
            return self.deny(request, attempt, KeyDecision::Reject(self.advice(now)), out);
        }
        let until_at_most = now + self.config.intent_timeout;
        let Some(held) = self.requests.get_mut(&request) else { return };
        let until = held.deadline.min(until_at_most);
        let (claim, key) = (held.claim_of_intent(), held.key.clone());
        held.attempts.insert(attempt, Tried::Waiting(until));
        self.waits.insert((until, request, attempt));
        let about = About { request: Some(request.0), key, backend: Some(seen.backend.clone()) };
        let fact = Fact::Intent { attempt: attempt.0, seen };
        self.write(now, fact, about, claim, Then::Permit(request, attempt), out);
    }

    /// It may be asked for at all: the request goes on, and its key is its own or not even asked for. Behind an
    /// intent that may yet be refused nothing can be said of the key.
    fn may_wait(&self, now: Time, request: RequestId, attempt: AttemptNumber) -> bool {
        self.requests.get(&request).is_some_and(|r| {
            !r.over
                && r.barred.is_none()
                && now < r.deadline
                && !r.attempts.contains_key(&attempt)
                && (r.taken || !r.waits())
        })
    }

    /// The store does not write, or too many wait for it already.
    fn is_unready_for(&self, now: Time) -> bool {
        self.journal.down().is_some()
            || self.journal.is_stalled(now, self.config.intent_timeout)
            || self.waits.len() >= self.config.bounds.waiting
    }

    /// An attempt is not sent. Where nothing of its request may have run, that ends it at once.
    pub(super) fn deny(
        &mut self, request: RequestId, attempt: AttemptNumber, verdict: KeyDecision, out: &mut Vec<Action>,
    ) {
        // The verdict first: the end of its only attempt would have the engine answer without it.
        self.bar(request, verdict, out);
        out.push(Action::IntentPersisted { request, attempt, persisted: false });
    }

    /// No attempt of a request goes any more, if nothing of it may have run.
    pub(super) fn bar(&mut self, request: RequestId, verdict: KeyDecision, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        if !held.over && held.barred.is_none() && !held.may_have_run() {
            held.barred = Some(verdict);
            out.push(Action::EndRequest { request, verdict });
        }
    }

    /// Attempts whose intents took too long are not sent.
    pub(super) fn end_waits(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(until, request, attempt)) = self.waits.first().filter(|w| w.0 <= now) {
            self.waits.remove(&(until, request, attempt));
            self.set(request, attempt, Tried::Late);
            self.deny(request, attempt, KeyDecision::Reject(self.advice(now)), out);
        }
    }

    pub(super) fn set(&mut self, request: RequestId, attempt: AttemptNumber, tried: Tried) {
        if let Some(held) = self.requests.get_mut(&request) {
            held.attempts.insert(attempt, tried);
        }
    }

    pub(super) fn tried(&self, request: RequestId, attempt: AttemptNumber) -> Option<Tried> {
        self.requests.get(&request)?.attempts.get(&attempt).copied()
    }

    pub(super) fn withdrawn(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, out: &mut Vec<Action>,
    ) {
        match self.tried(request, attempt) {
            // Whether its intent takes the key is not known: what frees it waits for that, or it would free
            // what another holds.
            Some(Tried::Waiting(until)) => {
                self.waits.remove(&(until, request, attempt));
                self.set(request, attempt, Tried::Late);
            }
            Some(Tried::Given) => self.not_executed(now, request, attempt, out),
            _ => {}
        }
    }

    /// Its intent is on record, or may be, and it was not sent.
    pub(super) fn not_executed(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, out: &mut Vec<Action>,
    ) {
        self.set(request, attempt, Tried::NotExecuted);
        self.ended(now, request, Fact::Withdrawn { attempt: attempt.0 }, out);
    }

    pub(super) fn attempt_ended(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let may_have_run = !outcome.not_executed();
        let fact = Fact::Outcome { attempt: attempt.0, outcome: word(outcome).into(), may_have_run };
        match self.tried(request, attempt) {
            Some(Tried::Given) => {
                self.set(request, attempt, Tried::ended(outcome));
                self.ended(now, request, fact, out);
            }
            Some(Tried::Waiting(_)) => self.withdrawn(now, request, attempt, out),
            Some(_) => {}
            None => self.followed_ended(now, request, attempt, fact, out),
        }
    }

    pub(super) fn over(
        &mut self, now: Time, request: RequestId, ending: RequestEnding, out: &mut Vec<Action>,
    ) {
        let attempt = match ending {
            RequestEnding::Served(no) => Some(no.0),
            _ => None,
        };
        let fact = Fact::Answer { ending: ending_word(ending).into(), attempt };
        let Some(held) = self.requests.get_mut(&request).filter(|r| !r.over) else {
            return self.followed_over(now, request, fact, out);
        };
        held.over = true;
        let waiting: Vec<AttemptNumber> =
            held.attempts.iter().filter(|(_, t)| matches!(t, Tried::Waiting(_))).map(|(no, _)| *no).collect();
        waiting.into_iter().for_each(|no| self.withdrawn(now, request, no, out));
        self.ended(now, request, fact, out);
    }

    /// A fact about the end of an attempt or a request, with what that makes of the key.
    fn ended(&mut self, now: Time, request: RequestId, fact: Fact, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        let claim = held.claim();
        let about = About { request: Some(request.0), key: held.key.clone(), backend: None };
        let then = match &claim {
            Claim::FreeOwn(key) => Then::Free(key.clone()),
            Claim::Set(key, KeyState::Served) => Then::Serve(key.clone()),
            _ => Then::Owed,
        };
        let live = settles(held);
        if let (Some(key), Some(live)) = (held.key.clone().filter(|_| held.owns), live) {
            held.owns = false;
            match live {
                Some(live) => drop(self.live.insert(key, live)),
                None => drop(self.live.remove(&key)),
            }
        }
        self.write(now, fact, about, claim, then, out);
        self.forget(request);
    }

    /// Nothing is kept of a request of which nothing more is to be heard.
    pub(super) fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(Held::is_done) {
            self.requests.remove(&request);
        }
    }

    /// An attempt of a request that is only recorded goes out.
    pub(super) fn followed_sent(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, seen: Seen, out: &mut Vec<Action>,
    ) {
        if let Some(followed) = self.followed.get_mut(&request) {
            followed.out.insert(attempt);
        }
        self.follow(now, request, Fact::Intent { attempt: attempt.0, seen }, out);
    }

    /// One of them is over; it may be that its request was before.
    fn followed_ended(
        &mut self, now: Time, request: RequestId, attempt: AttemptNumber, fact: Fact, out: &mut Vec<Action>,
    ) {
        self.follow(now, request, fact, out);
        if let Some(followed) = self.followed.get_mut(&request) {
            followed.out.remove(&attempt);
        }
        self.forget_followed(request);
    }

    fn followed_over(&mut self, now: Time, request: RequestId, fact: Fact, out: &mut Vec<Action>) {
        self.follow(now, request, fact, out);
        if let Some(followed) = self.followed.get_mut(&request) {
            followed.over = true;
        }
        self.forget_followed(request);
    }

    fn forget_followed(&mut self, request: RequestId) {
        if self.followed.get(&request).is_some_and(|f| f.over && f.out.is_empty()) {
            self.followed.remove(&request);
        }
    }

    /// A fact about a request that is only recorded.
    fn follow(&mut self, now: Time, request: RequestId, fact: Fact, out: &mut Vec<Action>) {
        let Some(followed) = self.followed.get(&request) else { return };
        let key = followed.key.clone();
        let backend = match &fact {
            Fact::Intent { seen, .. } => Some(seen.backend.clone()),
            _ => None,
        };
        self.spare(now, fact, About { request: Some(request.0), key, backend }, out);
    }
}

/// Where its key is no longer up to the request, how it stands from now on; as none it is free.
fn settles(held: &Held) -> Option<Option<Live>> {
    match held.standing() {
        Standing::Waiting | Standing::InFlight => None,
        Standing::Doubt if !held.is_done() => None,
        Standing::Doubt => Some(Some(Live::Doubt { resolving: false })),
        Standing::Served => Some(Some(Live::Served)),
        Standing::Free if held.taken => Some(Some(Live::Freeing)),
        Standing::Free => Some(None),
    }
}

fn word(outcome: Outcome) -> &'static str {
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
