//! The state of a request and of its attempts. Owned by [`crate::Engine`]'s request table.

use shaletide_balancer::retry_deadline;
use shaletide_types::*;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// No connection has been taken; it may wait for its intent to be durable.
    NotStarted,
    /// It waits for its connection to be opened.
    Connecting(ConnectionId),
    /// Its bytes are being written.
    Writing(ConnectionId),
    /// Its last byte has been handed to the kernel: it may be executed.
    Written(ConnectionId),
    /// Its connection is being closed; whether all of it was written is not known yet. With the outcome if so.
    Cancelling(ConnectionId, Outcome),
    /// It has ended.
    Ended(Outcome),
}

/// An attempt: one sending of a request to a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The backend that it goes to.
    pub backend: BackendId,
    /// The deduplication scopes of its backend, which discard its repeats.
    pub placement: DeduplicationPlacement,
    /// When the policy asked for it. A deduplication window that begins with it begins here at the earliest.
    pub dispatched_at: Time,
    /// When it ended.
    pub ended_at: Time,
    /// It may begin only before then; none: no bound but the deadline.
    pub start_by: Option<Time>,
    /// Its intent was requested, and has neither failed nor been withdrawn.
    pub intent_requested: bool,
    /// Its state.
    pub state: AttemptState,
}

impl Attempt {
    /// Whether it has not ended.
    pub fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(_))
    }

    /// Whether it is not proved that it was not executed.
    pub fn may_have_executed(&self) -> bool {
        match self.state {
            AttemptState::Ended(outcome) => !outcome.not_executed(),
            AttemptState::NotStarted | AttemptState::Connecting(_) => false,
            AttemptState::Writing(_) | AttemptState::Written(_) | AttemptState::Cancelling(..) => true,
        }
    }

    /// The connection that it is on or waits for.
    pub fn connection(&self) -> Option<ConnectionId> {
        match self.state {
            AttemptState::Connecting(connection)
            | AttemptState::Writing(connection)
            | AttemptState::Written(connection)
            | AttemptState::Cancelling(connection, _) => Some(connection),
            AttemptState::NotStarted | AttemptState::Ended(_) => None,
        }
    }
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// No decision on its answer has been made.
    Open,
    /// It is given up, with the time for `Retry-After`, and answered when it is known which attempts may have been
    /// executed.
    GivenUp(Micros),
    /// Its deadline has passed; it is answered in the same step.
    TimedOut,
    /// It was answered, or its client disconnected. It is kept until its attempts have ended.
    Finished,
}

/// A request that has no answer yet, or whose attempts have not all ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// What a second execution would do.
    pub idempotency: Idempotency,
    /// When it has to be answered.
    pub deadline: Time,
    /// Its attempts may be sent only when their intent is durable.
    pub requires_intent: bool,
    /// The ends of its attempts are told by [`crate::Action::AttemptEnded`].
    pub recorded: bool,
    /// Its state.
    pub state: RequestState,
    /// The attempt whose response came last, if no attempt has ended without one since.
    pub last_response_attempt: Option<AttemptNumber>,
    /// Its attempts by number.
    pub attempts: Vec<Attempt>,
}

/// What ending an attempt calls for.
pub(crate) struct EndedAttempt {
    /// Its intent was requested and no byte of it has been written.
    pub withdraw_intent: bool,
    /// From its dispatch to its end.
    pub latency: Micros,
}

impl Request {
    /// Ends an attempt; `has_response`: by a complete response. None: there is no such attempt, or it has ended.
    pub(crate) fn end_attempt(
        &mut self, now: Time, number: AttemptNumber, outcome: Outcome, has_response: bool,
    ) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.is_in_flight())?;
        let not_begun = matches!(attempt.state, AttemptState::NotStarted | AttemptState::Connecting(_));
        let withdraw_intent = not_begun && attempt.intent_requested;
        let latency = now - attempt.dispatched_at;
        attempt.state = AttemptState::Ended(outcome);
        attempt.ended_at = now;
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {} // says nothing of the attempt before
            _ => self.last_response_attempt = has_response.then_some(number),
        }
        Some(EndedAttempt { withdraw_intent, latency })
    }

    /// Whether some attempt has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Numbers of the attempts that have not ended.
    pub fn attempts_in_flight(&self) -> Vec<AttemptNumber> {
        let each = self.attempts.iter().enumerate();
        each.filter(|(_, attempt)| attempt.is_in_flight())
            .map(|(number, _)| AttemptNumber(number as u32))
            .collect()
    }

    /// Whether a retry by the client at `retry_at` is harmless: nothing may have been executed, or a second execution does
    /// nothing. `only_deduplication_domain`: the one that all backends belong to, if they do.
    pub fn is_rejection_harmless(&self, retry_at: Time, only_deduplication_domain: Option<u32>) -> bool {
        let is_discarded = |attempt: &Attempt| match self.idempotency {
            Idempotency::Keyed(DeduplicationScope::All, window) => {
                only_deduplication_domain == Some(attempt.placement.domain)
                    && retry_at < retry_deadline(window, attempt.dispatched_at)
            }
            Idempotency::Safe => true,
            Idempotency::Keyed(..) | Idempotency::NonIdempotent => false,
        };
        self.attempts.iter().all(|attempt| !attempt.may_have_executed() || is_discarded(attempt))
    }
}
