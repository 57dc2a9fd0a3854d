//! The state of a request and of its attempts.

use shaletide_types::*;

/// A request of less priority than this is of [`PriorityLevel::Low`].
const LOW_PRIORITY: f64 = 0.5;

/// Requests of low priority are rejected first and find half of the capacity: the rest is kept for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PriorityLevel {
    Low,
    Normal,
}

/// An attempt that has not ended, by the balancer of its backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    pub sent_at: Time,
}

/// An attempt of a request, ended or not.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    /// The backend as it was listed when the attempt was sent.
    pub backend: BackendEntry,
    pub sent_at: Time,
    /// It has not ended yet.
    pub in_flight: bool,
    /// Its outcome proves that it was not executed.
    pub not_executed: bool,
    /// It ended as [`Outcome::NotSent`]: its last byte was not written, and the backend is not at fault.
    pub not_sent: bool,
}

/// A request that is owed an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestState {
    pub class: usize,
    pub arrived_at: Time,
    /// An answer until then earns the whole priority weight.
    pub objective_at: Time,
    pub deadline: Time,
    /// Priority relative to that of a new request within its tenant's quota, from 0 to 1.
    pub priority: f64,
    /// Drawn once, from 0 to 1: where only a part of the requests is admitted, those with a roll within that part are.
    pub admission_roll: f64,
    /// The answer has begun to stream: no deadline applies any more.
    pub streaming: bool,
    /// Another pool can be asked where this one can do nothing for the request.
    pub may_fail_over: bool,
    /// In the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl RequestState {
    pub fn priority_level(&self) -> PriorityLevel {
        if self.priority < LOW_PRIORITY {
            PriorityLevel::Low
        } else {
            PriorityLevel::Normal
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether a further attempt is a retry or a hedge: an earlier one did not end as [`Outcome::NotSent`].
    pub fn was_sent(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.not_sent)
    }

    /// Whether every attempt so far is proved not to have been executed.
    pub fn is_not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.not_executed)
    }
}
