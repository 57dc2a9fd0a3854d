//! What is kept of a request and of its attempts.

use shaletide_balancer::retry_deadline;
use shaletide_types::*;

/// How far an attempt has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// It waits for its permit.
    AwaitingIntent,
    /// It waits for its connection.
    Connecting(ConnectionId),
    /// Its bytes go out.
    Writing(ConnectionId),
    /// Its last byte has gone: it may run.
    Written(ConnectionId),
    /// Its connection is to be closed; how far it had got is not known yet.
    Cancelling(ConnectionId, Outcome),
    /// It is over.
    Ended(Outcome),
}

/// An attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Where it goes.
    pub backend: BackendId,
    /// What drops its repeats.
    pub placement: DeduplicationPlacement,
    /// When it was asked for; a backend may drop its repeats for the window counted from here at the earliest.
    pub dispatched_at: Time,
    /// When it ended.
    pub ended_at: Time,
    /// Its last byte may go out only before then.
    pub send_by: Option<Time>,
    /// A permit was asked for, and nothing has gone out on it yet.
    pub intent_requested: bool,
    /// How far it has got.
    pub state: AttemptState,
}

impl Attempt {
    /// It has not ended.
    pub fn out(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(_))
    }

    /// It is not known that it has not run.
    pub fn may_have_run(&self) -> bool {
        match self.state {
            AttemptState::Ended(outcome) => !outcome.not_executed(),
            AttemptState::AwaitingIntent | AttemptState::Connecting(_) => false,
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
            AttemptState::AwaitingIntent | AttemptState::Ended(_) => None,
        }
    }
}

/// How far a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestState {
    /// It is owed an answer.
    Open,
    /// It is given up, with advice for the client, and answered when its attempts are known to have ended.
    GivenUp(Micros),
    /// Its time is up, and it is answered when its attempts are known to have ended.
    TimedOut,
    /// Nothing is owed: it was answered, or its client left. It is kept until its attempts have ended.
    Finished,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// When its time is up.
    pub deadline: Time,
    /// Its attempts want a permit.
    pub requires_intent: bool,
    /// The ends of its attempts are told.
    pub recorded: bool,
    /// How far it has got.
    pub state: RequestState,
    /// The attempt whose answer was the last to come, if nothing ended without one since.
    pub last_answered: Option<AttemptNumber>,
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
        let attempt = self.attempts.get_mut(number.0 as usize).filter(|attempt| attempt.out())?;
        let not_begun = matches!(attempt.state, AttemptState::AwaitingIntent | AttemptState::Connecting(_));
        let withdraw_intent = not_begun && attempt.intent_requested;
        let latency = now - attempt.dispatched_at;
        attempt.state = AttemptState::Ended(outcome);
        attempt.ended_at = now;
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {} // says nothing of the attempt before
            _ => self.last_answered = has_response.then_some(number),
        }
        Some(EndedAttempt { withdraw_intent, latency })
    }

    /// Some attempt has not ended.
    pub fn out(&self) -> bool {
        self.attempts.iter().any(Attempt::out)
    }

    /// Numbers of the attempts that have not ended.
    pub fn still_out(&self) -> Vec<AttemptNumber> {
        let each = self.attempts.iter().enumerate();
        each.filter(|(_, t)| t.out()).map(|(no, _)| AttemptNumber(no as u32)).collect()
    }

    /// Whether a retry at `back` is harmless: nothing may have run, or running again does nothing. `only_deduplication_domain`: the one
    /// to which all backends belong that a retry may reach.
    pub fn is_harmless(&self, back: Time, only_deduplication_domain: Option<u32>) -> bool {
        let drops = |t: &Attempt| match self.idempotency {
            Idempotency::Keyed(DeduplicationScope::All, window) => {
                only_deduplication_domain == Some(t.placement.domain)
                    && back < retry_deadline(window, t.dispatched_at)
            }
            effect => effect == Idempotency::Safe,
        };
        self.attempts.iter().all(|t| !t.may_have_run() || drops(t))
    }
}
