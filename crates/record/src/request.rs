//! The state of open requests, and the state of their keys that follows from it.

use crate::event::{KeyConflict, KeyDecision};
use crate::row::{Claim, KeyId, KeyState};
use shaletide_types::{AttemptNumber, Outcome, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// The state of an attempt, as far as the recorder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt waits, until this time at most, for its intent to be durable.
    AwaitingIntent(Time),
    /// The attempt will not be sent, and its intent is not known to be durable. If the intent becomes durable, it is
    /// withdrawn.
    IntentTooLate,
    /// The intent is durable and the engine was notified: the attempt may have been executed.
    IntentPersisted,
    /// The attempt was not executed and never will be.
    NotExecuted,
    /// The attempt has ended and may have been executed.
    MayHaveExecuted,
    /// The attempt was served.
    Served,
}

impl AttemptState {
    /// Returns the state of an attempt that ended with this outcome after its intent was durable.
    pub fn ended(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::Ok => AttemptState::Served,
            outcome if outcome.not_executed() => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        }
    }
}

/// The state of a request and its key, which follows from the states of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// No attempt may have been executed, and one may still be sent.
    Pending,
    /// An attempt is in flight.
    InFlight,
    /// No attempt is in flight, and one may have been executed.
    InDoubt,
    /// An attempt was served.
    Served,
    /// No attempt was executed or ever will be.
    NotExecuted,
}

/// A request that is only recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordedRequest {
    pub key: Option<KeyId>,
    /// Attempts that were sent and have not ended.
    pub in_flight: BTreeSet<AttemptNumber>,
    /// The request has ended for its client.
    pub ended: bool,
}

/// A request whose class requires intents.
#[derive(Clone, Debug)]
pub(crate) struct IntentRequest {
    pub key: Option<KeyId>,
    pub deadline: Time,
    pub attempts: BTreeMap<AttemptNumber, AttemptState>,
    /// The request has ended, and no further attempt begins.
    pub ended: bool,
    /// The decision with which the request was ended early; no further attempt may be sent.
    pub rejected_with: Option<KeyDecision>,
    /// The store has the key for this request, or may have.
    pub key_claimed: bool,
    /// The key's state still depends on this request.
    pub owns_key: bool,
}

impl IntentRequest {
    fn any(&self, matches: impl Fn(&AttemptState) -> bool) -> bool {
        self.attempts.values().any(matches)
    }

    fn any_in_flight(&self) -> bool {
        self.any(|state| *state == AttemptState::IntentPersisted)
    }

    /// Returns whether an intent is not known to be durable or rejected.
    pub fn awaits_intent(&self) -> bool {
        self.any(|state| matches!(state, AttemptState::AwaitingIntent(_) | AttemptState::IntentTooLate))
    }

    /// Returns whether an attempt may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.any(|state| {
            matches!(
                state,
                AttemptState::IntentPersisted | AttemptState::MayHaveExecuted | AttemptState::Served
            )
        })
    }

    /// Returns whether no further event of this request is expected.
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

    /// Returns the change to the key's state that goes with the next row about an end.
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

    /// Returns the change to the key's state that goes with the next intent.
    pub fn claim_of_intent(&self) -> Claim {
        match self.key.clone() {
            None => Claim::None,
            Some(key) if self.key_claimed => Claim::Set(key, KeyState::InFlight),
            Some(key) => Claim::Take(key),
        }
    }

    /// Returns why the key may not be sent again, or `None` if a later retry is harmless.
    pub fn conflict(&self) -> Option<KeyConflict> {
        match self.state() {
            RequestState::Pending | RequestState::NotExecuted => None,
            RequestState::InFlight => Some(KeyConflict::InFlight),
            RequestState::InDoubt => Some(KeyConflict::InDoubt),
            RequestState::Served => Some(KeyConflict::Served),
        }
    }

    /// Returns whether the key still depends on this request, and how it is kept if it does not.
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

/// Whether a key still depends on its request, and how it is kept if it does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyFate {
    /// The key's state still depends on the request.
    Open,
    /// The key no longer depends on the request, and is kept in this state until that is durable or resolved.
    Kept(UnsettledKey),
    /// The key is free: the store never had it.
    Free,
}

/// The state of an unsettled key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UnsettledKey {
    /// The state is that of the key's request.
    Requested(RequestId),
    /// No attempt was executed, and the key is free once that is durable.
    Freeing,
    /// An attempt may have been executed. `resolving`: an operator has resolved the key, which is not durable yet.
    InDoubt { resolving: bool },
    /// The key was served, which is not durable yet.
    Served,
}
