//! The state of a request and of its attempts. Owned by the request table of [`crate::Engine`].

use shaletide_balancer::retry_deadline;
use shaletide_types::*;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// No connection is assigned; the attempt may be waiting for its intent to become durable.
    NotStarted,
    /// The attempt waits for its connection to open.
    Connecting(ConnectionId),
    /// The request is being written.
    Writing(ConnectionId),
    /// The last byte of the request has been handed to the kernel: it may be executed.
    Written(ConnectionId),
    /// The connection is being closed, and it is not known yet whether the request was completely written. With the
    /// attempt's outcome if it was.
    Cancelling(ConnectionId, Outcome),
    /// The attempt has ended.
    Ended(Outcome),
}

/// An attempt: a request sent once to one backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The backend that the attempt is sent to.
    pub backend: BackendId,
    /// The backend's deduplication scopes, within which repeats of the attempt are discarded.
    pub placement: DeduplicationPlacement,
    /// When the policy dispatched the attempt. Its deduplication window starts at this time or later.
    pub dispatched_at: Time,
    /// When the attempt ended.
    pub ended_at: Time,
    /// The time before which the attempt has to start; `None`: only the deadline bounds it.
    pub start_by: Option<Time>,
    /// Whether the intent was requested and has neither failed nor been withdrawn.
    pub intent_requested: bool,
    /// The attempt's state.
    pub state: AttemptState,
}

impl Attempt {
    /// Whether the attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(_))
    }

    /// Whether the attempt may have been executed: there is no proof that it was not.
    pub fn may_have_executed(&self) -> bool {
        match self.state {
            AttemptState::Ended(outcome) => !outcome.not_executed(),
            AttemptState::NotStarted | AttemptState::Connecting(_) => false,
            AttemptState::Writing(_) | AttemptState::Written(_) | AttemptState::Cancelling(..) => true,
        }
    }

    /// Whether the attempt is on a connection that is not being closed: its last byte may have been written, and may not have
    /// arrived yet.
    pub fn is_on_connection(&self) -> bool {
        matches!(self.state, AttemptState::Writing(_) | AttemptState::Written(_))
    }

    /// The connection that the attempt is on or waits for.
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
    /// The request waits for a response; its final outcome is not decided.
    Open,
    /// The request was given up, with the time for `Retry-After`. It is answered once it is known which attempts may have
    /// been executed.
    GivenUp(Micros),
    /// The deadline has passed; the request is answered in the same step.
    TimedOut,
    /// The request was answered, or its client disconnected. It is kept until its attempts have ended.
    Finished,
}

/// A request that has no answer yet or has an attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// The effect of a second execution.
    pub idempotency: Idempotency,
    /// The time by which the request has to be answered.
    pub deadline: Time,
    /// Whether an attempt may be sent only once its intent is durable.
    pub requires_intent: bool,
    /// Whether [`crate::Action::AttemptEnded`] reports the end of each attempt.
    pub recorded: bool,
    /// The request's state.
    pub state: RequestState,
    /// The attempt with the latest response, unless an attempt has ended without a response since.
    pub last_response_attempt: Option<AttemptNumber>,
    /// The attempts by number.
    pub attempts: Vec<Attempt>,
    /// The time at which the first attempt has to be aborted, as its last byte could arrive after the deduplication window
    /// of another attempt; `None` if there is no such attempt.
    pub delivery_deadline: Option<Time>,
}

/// The result of ending an attempt.
pub(crate) struct EndedAttempt {
    /// Whether the intent has to be withdrawn: it was requested and no byte of the attempt was written.
    pub withdraw_intent: bool,
    /// The time from the attempt's dispatch to its end.
    pub latency: Micros,
}

impl Request {
    /// Ends an attempt, with a complete response if `has_response` is set. Returns `None` if there is no such attempt or
    /// it has ended before.
    pub(crate) fn end_attempt(
        &mut self, now: Time, number: AttemptNumber, outcome: Outcome, has_response: bool,
    ) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.is_in_flight())?;
        let not_started = matches!(attempt.state, AttemptState::NotStarted | AttemptState::Connecting(_));
        let withdraw_intent = not_started && attempt.intent_requested;
        let latency = now - attempt.dispatched_at;
        attempt.state = AttemptState::Ended(outcome);
        attempt.ended_at = now;
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {} // does not replace an earlier response
            _ => self.last_response_attempt = has_response.then_some(number),
        }
        Some(EndedAttempt { withdraw_intent, latency })
    }

    /// Whether an attempt has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The numbers of the attempts that have not ended.
    pub fn attempts_in_flight(&self) -> Vec<AttemptNumber> {
        let each = self.attempts.iter().enumerate();
        each.filter(|(_, attempt)| attempt.is_in_flight())
            .map(|(number, _)| AttemptNumber(number as u32))
            .collect()
    }

    /// Whether a retry by the client at `retry_at` is harmless: no attempt may have been executed, or a second execution
    /// has no effect. `only_deduplication_domain`: the domain of all backends, if they share one.
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
