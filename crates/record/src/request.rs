//! What is kept of a request that needs permits, and how its key stands by it.

use crate::event::{KeyConflict, KeyDecision};
use crate::row::{Claim, KeyId, KeyState};
use shaletide_types::{AttemptNumber, Outcome, Time};
use std::collections::{BTreeMap, BTreeSet};

/// How far an attempt has got, for all that the recorder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Its intent is not known to be durable, until this time at most.
    AwaitingIntent(Time),
    /// The same, and nothing will be sent: if its intent turns out to be durable, it is withdrawn.
    IntentTooLate,
    /// Its permit was given: it may have run.
    IntentPersisted,
    /// It was not executed and never will.
    NotExecuted,
    /// It is over and may have run.
    MayHaveExecuted,
    /// It was served.
    Served,
}

impl AttemptState {
    pub fn ended(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::Ok => AttemptState::Served,
            outcome if outcome.not_executed() => AttemptState::NotExecuted,
            _ => AttemptState::MayHaveExecuted,
        }
    }
}

/// How a key stands by its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Nothing of it may have run, and something yet may.
    Pending,
    /// An attempt is out.
    InFlight,
    /// None is out, and one may have run.
    InDoubt,
    /// One was served.
    Served,
    /// Nothing of it ran or ever will.
    NotExecuted,
}

/// A request that is only recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordedRequest {
    pub key: Option<KeyId>,
    /// Attempts that went out and whose end is not told.
    pub out: BTreeSet<AttemptNumber>,
    /// Nothing is owed to its client.
    pub ended: bool,
}

/// A request that needs permits.
#[derive(Clone, Debug)]
pub(crate) struct IntentRequest {
    pub key: Option<KeyId>,
    pub deadline: Time,
    pub attempts: BTreeMap<AttemptNumber, AttemptState>,
    /// No further attempt begins.
    pub ended: bool,
    /// No further attempt gets a permit, and its front was told why.
    pub rejected_with: Option<KeyDecision>,
    /// The store holds its key for it, or may.
    pub key_claimed: bool,
    /// What becomes of its key is still up to it.
    pub owns_key: bool,
}

impl IntentRequest {
    pub fn any(&self, is: impl Fn(&AttemptState) -> bool) -> bool {
        self.attempts.values().any(is)
    }

    /// An intent is not known to be durable or not.
    pub fn awaits_intent(&self) -> bool {
        self.any(|t| matches!(t, AttemptState::AwaitingIntent(_) | AttemptState::IntentTooLate))
    }

    /// Something may have run.
    pub fn may_have_run(&self) -> bool {
        self.any(|t| {
            matches!(t, AttemptState::IntentPersisted | AttemptState::MayHaveExecuted | AttemptState::Served)
        })
    }

    /// Nothing more is to be heard of it.
    pub fn is_done(&self) -> bool {
        self.ended && !self.awaits_intent() && !self.any(|t| *t == AttemptState::IntentPersisted)
    }

    pub fn state(&self) -> RequestState {
        if self.any(|t| *t == AttemptState::Served) {
            RequestState::Served
        } else if self.any(|t| *t == AttemptState::IntentPersisted) {
            RequestState::InFlight
        } else if self.any(|t| *t == AttemptState::MayHaveExecuted) {
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
            RequestState::InDoubt => Claim::Set(key, KeyState::Doubt),
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

    /// Why its key is not sent again; none where that is harmless a little later.
    pub fn conflict(&self) -> Option<KeyConflict> {
        match self.state() {
            RequestState::Pending | RequestState::NotExecuted => None,
            RequestState::InFlight => Some(KeyConflict::InFlight),
            RequestState::InDoubt => Some(KeyConflict::Doubt),
            RequestState::Served => Some(KeyConflict::Served),
        }
    }
}

/// How a key that is not settled stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UnsettledKey {
    /// As its request does.
    Requested(shaletide_types::RequestId),
    /// It is free once that is durable; nothing of it ran.
    Freeing,
    /// An attempt may have run. `resolving`: an operator said whether, which is not durable yet.
    InDoubt { resolving: bool },
    /// It was served, which is not durable yet.
    Served,
}
