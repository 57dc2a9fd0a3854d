//! What is kept of a request that needs intents, and what that makes of its key.

use crate::event::{KeyConflict, KeyDecision};
use crate::row::{Claim, KeyId, KeyState};
use shaletide_types::{AttemptNumber, Outcome, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// How far an attempt has got, for all that the recorder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Its intent is not known to be durable, and it waits for that until this time at most.
    AwaitingIntent(Time),
    /// The same, and nothing will be sent: if its intent turns out to be durable, it is withdrawn.
    IntentTooLate,
    /// Its intent is durable and the engine knows: it may have been executed.
    IntentPersisted,
    /// It was not executed and never will be.
    NotExecuted,
    /// It has ended and may have been executed.
    MayHaveExecuted,
    /// It was served.
    Served,
}

impl AttemptState {
    /// The state of an attempt that ended so after its intent was durable.
    pub fn ended(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::Ok => AttemptState::Served,
            outcome if outcome.not_executed() => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        }
    }
}

/// What the attempts of a request make of it, and of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// None may have been executed, and one may yet be sent.
    Pending,
    /// One is in flight.
    InFlight,
    /// None is in flight, and one may have been executed.
    InDoubt,
    /// One was served.
    Served,
    /// None was executed or ever will be.
    NotExecuted,
}

/// A request that is only recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordedRequest {
    pub key: Option<KeyId>,
    /// Attempts that were sent and have not ended.
    pub in_flight: BTreeSet<AttemptNumber>,
    /// Its client has its answer.
    pub ended: bool,
}

/// A request that needs intents.
#[derive(Clone, Debug)]
pub(crate) struct IntentRequest {
    pub key: Option<KeyId>,
    pub deadline: Time,
    pub attempts: BTreeMap<AttemptNumber, AttemptState>,
    /// No further attempt begins.
    pub ended: bool,
    /// No further attempt may be sent, and its front was told this.
    pub rejected_with: Option<KeyDecision>,
    /// The store has its key for it, or may have.
    pub key_claimed: bool,
    /// What becomes of its key still depends on it.
    pub owns_key: bool,
}

impl IntentRequest {
    fn any(&self, matches: impl Fn(&AttemptState) -> bool) -> bool {
        self.attempts.values().any(matches)
    }

    fn any_in_flight(&self) -> bool {
        self.any(|state| *state == AttemptState::IntentPersisted)
    }

    /// It is not known of an intent whether it is durable.
    pub fn awaits_intent(&self) -> bool {
        self.any(|state| matches!(state, AttemptState::AwaitingIntent(_) | AttemptState::IntentTooLate))
    }

    /// An attempt may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.any(|state| {
            matches!(
                state,
                AttemptState::IntentPersisted | AttemptState::MayHaveExecuted | AttemptState::Served
            )
        })
    }

    /// Nothing more is to come of it.
    pub fn is_done(&self) -> bool {
        self.ended && !self.awaits_intent() && !self.any_in_flight()
    }

    pub fn state(&self) -> RequestState {
        if self.any(|state| *state == AttemptState::Served) {
            RequestState::Served
        } else if self.any_in_flight() {
            RequestState::InFlight
        } else if self.any(|state| *state == AttemptState::MayHaveExecuted) {
            RequestState::InDoubt
        } else if self.awaits_intent() || !(self.ended || self.rejected_with.is_some()) {
            RequestState::Pending
        } else {
            RequestState::NotExecuted
        }
    }

    /// What the next row about its end does to its key.
    pub fn claim(&self) -> Claim {
        let Some(key) = self.key.clone().filter(|_| self.owns_key && self.key_claimed) else {
            return Claim::None;
        };
        match self.state() {
            RequestState::Pending | RequestState::InFlight => Claim::None,
            RequestState::InDoubt => Claim::Set(key, KeyState::InDoubt),
            RequestState::Served => Claim::Set(key, KeyState::Served),
            RequestState::NotExecuted => Claim::FreeOwn(key),
        }
    }

    /// What its next intent does to its key.
    pub fn claim_of_intent(&self) -> Claim {
        match self.key.clone() {
            None => Claim::None,
            Some(key) if self.key_claimed => Claim::Set(key, KeyState::InFlight),
            Some(key) => Claim::Take(key),
        }
    }

    /// Why its key is not sent again; none where that does no harm a little later.
    pub fn conflict(&self) -> Option<KeyConflict> {
        match self.state() {
            RequestState::Pending | RequestState::NotExecuted => None,
            RequestState::InFlight => Some(KeyConflict::InFlight),
            RequestState::InDoubt => Some(KeyConflict::InDoubt),
            RequestState::Served => Some(KeyConflict::Served),
        }
    }

    /// What becomes of its key.
    pub fn key_fate(&self) -> KeyFate {
        match self.state() {
            RequestState::Pending | RequestState::InFlight => KeyFate::Open,
            RequestState::InDoubt if !self.is_done() => KeyFate::Open,
            RequestState::InDoubt => KeyFate::Kept(UnsettledKey::InDoubt { resolving: false }),
            RequestState::Served => KeyFate::Kept(UnsettledKey::Served),
            RequestState::NotExecuted if self.key_claimed => KeyFate::Kept(UnsettledKey::Freeing),
            RequestState::NotExecuted => KeyFate::Free,
        }
    }
}

/// What becomes of a request's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyFate {
    /// That still depends on the request.
    Open,
    /// It depends on the request no longer, and is kept so until that is durable or resolved.
    Kept(UnsettledKey),
    /// It is free: the store never had it.
    Free,
}

/// A key that is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UnsettledKey {
    /// Its state is that of its request.
    Requested(RequestId),
    /// It is free once that is durable; no attempt of it was executed.
    Freeing,
    /// An attempt may have been executed. `resolving`: an operator said whether, which is not durable yet.
    InDoubt { resolving: bool },
    /// It was served, which is not durable yet.
    Served,
}
