//! The state of a request and of its attempts.

use shaletide_types::*;

/// An attempt that has not ended: where, of which class, since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    pub sent_at: Time,
}

/// An attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub backend: BackendEntry,
    pub sent_at: Time,
    /// It has not ended yet.
    pub in_flight: bool,
    /// Its outcome proves that it did not run.
    pub not_executed: bool,
    /// Nothing at all went out for it: it cost nobody anything.
    pub not_sent: bool,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestState {
    pub class: usize,
    pub arrived_at: Time,
    pub objective_at: Time,
    pub deadline: Time,
    /// Its worth beside a first try within quota.
    pub priority: f64,
    /// Selection once, from 0 to 1: where only a part is let in, those below that part are.
    pub admission_roll: f64,
    pub streaming: bool,
    /// Another pool can be asked where this one can take nothing.
    pub may_fail_over: bool,
    pub attempts: Vec<Attempt>,
}

impl RequestState {
    /// Some attempt has not ended yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|s| s.in_flight)
    }
}
