//! The state of a request and of its attempts.

use shaletide_types::*;

/// Priority below which a request is of [`PriorityLevel::Low`].
const LOW_PRIORITY: f64 = 0.5;

/// The priority level of a request. Requests of low priority are rejected first and may use only half of the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PriorityLevel {
    Low,
    Normal,
}

/// An attempt in flight, as the balancer of its backend tracks it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    pub sent_at: Time,
}

/// An attempt of a request, ended or not.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    /// The backend's list entry when the attempt was sent.
    pub backend: BackendEntry,
    pub sent_at: Time,
    /// The attempt has not ended yet.
    pub in_flight: bool,
    /// The outcome proves that the attempt was not executed.
    pub not_executed: bool,
    /// The attempt ended as [`Outcome::NotSent`]: its last byte was not written, and the backend is not at fault.
    pub not_sent: bool,
}

/// A request that has no final answer yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestState {
    pub class: usize,
    pub arrived_at: Time,
    /// An answer until then has the full priority weight.
    pub objective_at: Time,
    pub deadline: Time,
    /// Priority relative to that of a new request within its tenant's quota, from 0 to 1.
    pub priority: f64,
    /// Random number from 0 to 1, drawn once: the request is admitted while it is no larger than the admitted fraction.
    pub admission_random: f64,
    /// The response has started to stream: no deadline applies any more.
    pub streaming: bool,
    /// The request can fail over to another pool where this one cannot serve it.
    pub may_fail_over: bool,
    /// The attempts in the order in which they were sent.
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

    /// Returns whether a further attempt is a retry or a hedge: an earlier one did not end as [`Outcome::NotSent`].
    pub fn was_sent(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.not_sent)
    }

    /// Returns whether it is proved that no attempt so far was executed.
    pub fn is_not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.not_executed)
    }
}
