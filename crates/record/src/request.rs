//! What is kept of a request that needs permits, and how its key stands by it.

use crate::event::{KeyConflict, KeyDecision};
use crate::row::{Claim, KeyId, KeyState};
use shaletide_types::{AttemptNumber, Outcome, Time};
use std::collections::{BTreeMap, BTreeSet};

/// How far an attempt has got, for all that the recorder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tried {
    /// Its intent is not known to be durable, until this time at most.
    Waiting(Time),
    /// The same, and nothing will be sent: if its intent turns out to be durable, it is withdrawn.
    Late,
    /// Its permit was given: it may have run.
    Given,
    /// It was not executed and never will.
    NotExecuted,
    /// It is over and may have run.
    MayHaveRun,
    /// It was served.
    Served,
}

impl Tried {
    pub fn ended(outcome: Outcome) -> Tried {
        match outcome {
            Outcome::Ok => Tried::Served,
            outcome if outcome.not_executed() => Tried::NotExecuted,
            _ => Tried::MayHaveRun,
        }
    }
}

/// How a key stands by its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Nothing of it may have run, and something yet may.
    Waiting,
    /// An attempt is out.
    InFlight,
    /// None is out, and one may have run.
    Doubt,
    /// One was served.
    Served,
    /// Nothing of it ran or ever will.
    Free,
}

/// A request that is only recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Followed {
    pub key: Option<KeyId>,
    /// Attempts that went out and whose end is not told.
    pub out: BTreeSet<AttemptNumber>,
    /// Nothing is owed to its client.
    pub over: bool,
}

/// A request that needs permits.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub key: Option<KeyId>,
    pub deadline: Time,
    pub attempts: BTreeMap<AttemptNumber, Tried>,
    /// No further attempt begins.
    pub over: bool,
    /// No further attempt gets a permit, and its front was told why.
    pub barred: Option<KeyDecision>,
    /// The store holds its key for it, or may.
    pub taken: bool,
    /// What becomes of its key is still up to it.
    pub owns: bool,
}

impl Held {
    pub fn any(&self, is: impl Fn(&Tried) -> bool) -> bool {
        self.attempts.values().any(is)
    }

    /// An intent is not known to be durable or not.
    pub fn waits(&self) -> bool {
        self.any(|t| matches!(t, Tried::Waiting(_) | Tried::Late))
    }

    /// Something may have run.
    pub fn may_have_run(&self) -> bool {
        self.any(|t| matches!(t, Tried::Given | Tried::MayHaveRun | Tried::Served))
    }

    /// Nothing more is to be heard of it.
    pub fn is_done(&self) -> bool {
        self.over && !self.waits() && !self.any(|t| *t == Tried::Given)
    }

    pub fn standing(&self) -> Standing {
        if self.any(|t| *t == Tried::Served) {
            Standing::Served
        } else if self.any(|t| *t == Tried::Given) {
            Standing::InFlight
        } else if self.any(|t| *t == Tried::MayHaveRun) {
            Standing::Doubt
        } else if self.waits() || !(self.over || self.barred.is_some()) {
            Standing::Waiting
        } else {
            Standing::Free
        }
    }

    /// What the next row about its end does to its key.
    pub fn claim(&self) -> Claim {
        let Some(key) = self.key.clone().filter(|_| self.owns && self.taken) else { return Claim::None };
        match self.standing() {
            Standing::Waiting | Standing::InFlight => Claim::None,
            Standing::Doubt => Claim::Set(key, KeyState::Doubt),
            Standing::Served => Claim::Set(key, KeyState::Served),
            Standing::Free => Claim::FreeOwn(key),
        }
    }

    /// What its next intent does to its key.
    pub fn claim_of_intent(&self) -> Claim {
        match self.key.clone() {
            None => Claim::None,
            Some(key) if self.taken => Claim::Set(key, KeyState::InFlight),
            Some(key) => Claim::Take(key),
        }
    }

    /// Why its key is not sent again; none where that is harmless a little later.
    pub fn conflict(&self) -> Option<KeyConflict> {
        match self.standing() {
            Standing::Waiting | Standing::Free => None,
            Standing::InFlight => Some(KeyConflict::InFlight),
            Standing::Doubt => Some(KeyConflict::Doubt),
            Standing::Served => Some(KeyConflict::Served),
        }
    }
}

/// How a key that is not settled stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Live {
    /// As its request does.
    Held(shaletide_types::RequestId),
    /// It is free once that is durable; nothing of it ran.
    Freeing,
    /// An attempt may have run. `resolving`: an operator said whether, which is not durable yet.
    Doubt { resolving: bool },
    /// It was served, which is not durable yet.
    Served,
}
