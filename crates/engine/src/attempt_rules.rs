//! Whether an attempt may go out: asked when the policy asks for it, and again at its first byte.

use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, AttemptState, Request, RequestState};
use shaletide_balancer::{first_retry_deadline, retry_deadline};
use shaletide_types::*;

/// A window that is shorter than this bounds no write but that of a repeat: none may be whole in time.
const MIN_WRITE_WINDOW: Micros = Micros(50_000);

/// Why an attempt is declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The request is over or given up, or its time is up.
    RequestEnded,
    /// The backend may be sent nothing.
    BackendNotReady,
    /// An earlier attempt may have run and a repeat would run again.
    MayExecuteTwice,
    /// It was to go out earlier.
    DeadlinePassed,
}

/// The attempts beside `own` that may have run or may run yet: one that has not begun is no proof of anything.
fn possible_executions(request: &Request, own: Option<usize>) -> impl Iterator<Item = &Attempt> {
    let others = request
        .attempts
        .iter()
        .enumerate()
        .filter(move |(number, _)| Some(*number) != own)
        .map(|(_, attempt)| attempt);
    others.filter(|attempt| attempt.out() || attempt.may_have_run())
}

/// When an attempt has to have gone out at the latest, as its key's repeats are dropped no longer; none where it is no
/// repeat.
fn retry_deadline_of(request: &Request, own: Option<usize>, mutant: ActiveMutant) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    let start = |attempt: &Attempt| {
        if mutant!(mutant, WindowStartsAtEnd) {
            attempt.ended_at.max(attempt.dispatched_at)
        } else {
            attempt.dispatched_at
        }
    };
    first_retry_deadline(window, possible_executions(request, own).map(start))
}

/// When the last byte of an attempt that begins now has to have gone out at the latest. One that is no repeat may yet have
/// one, which is whole before it: then it is the one that comes later.
pub(crate) fn write_deadline(now: Time, request: &Request, own: usize, mutant: ActiveMutant) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    retry_deadline_of(request, Some(own), mutant)
        .or_else(|| (window >= MIN_WRITE_WINDOW).then(|| retry_deadline(window, now)))
}

/// The rules on one attempt of `request` to a backend of that group: `own` is its number where it is one of
/// the request's attempts already.
pub(crate) fn may_dispatch(
    now: Time, request: &Request, to: DeduplicationPlacement, own: Option<usize>, mutant: ActiveMutant,
) -> Result<(), Denied> {
    if request.state != RequestState::Open || now >= request.deadline {
        return Err(Denied::RequestEnded);
    }
    match request.idempotency {
        Idempotency::Safe => Ok(()),
        Idempotency::NonIdempotent if possible_executions(request, own).next().is_some() => {
            Err(Denied::MayExecuteTwice)
        }
        Idempotency::NonIdempotent => Ok(()),
        Idempotency::Keyed(scope, _) => {
            let known =
                possible_executions(request, own).all(|attempt| scope.is_shared(attempt.placement, to));
            match retry_deadline_of(request, own, mutant) {
                _ if !known => Err(Denied::MayExecuteTwice),
                Some(until) if now >= until => Err(Denied::DeadlinePassed),
                _ => Ok(()),
            }
        }
    }
}

/// What is asked once more at the first byte of attempt `own`.
pub(crate) fn may_start(
    now: Time, request: &Request, own: usize, ready: bool, mutant: ActiveMutant,
) -> Result<(), Denied> {
    let Some(attempt) =
        request.attempts.get(own).filter(|attempt| !matches!(attempt.state, AttemptState::Ended(_)))
    else {
        return Err(Denied::RequestEnded);
    };
    if !ready && !mutant!(mutant, StaleDrainState) {
        return Err(Denied::BackendNotReady);
    }
    if attempt.send_by.is_some_and(|by| now >= by) {
        return Err(Denied::DeadlinePassed);
    }
    may_dispatch(now, request, attempt.placement, Some(own), mutant)
}
