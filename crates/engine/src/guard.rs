//! Whether an attempt may go out: asked when the policy asks for it, and again at its first byte.

use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, AttemptState, Request, RequestState};
use shaletide_balancer::{first_retry_deadline, retry_deadline};
use shaletide_types::*;

/// A window that is shorter than this bounds no write but that of a repeat: none may be whole in time.
const SHORT: Micros = Micros(50_000);

/// Why an attempt is declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum No {
    /// The request is over or given up, or its time is up.
    Over,
    /// The backend may be sent nothing.
    NotReady,
    /// An earlier attempt may have run and a repeat would run again.
    Repeat,
    /// It was to go out earlier.
    TooLate,
}

/// The attempts beside `own` that may have run or may run yet: one that has not begun is no proof of anything.
fn may_run(request: &Request, own: Option<usize>) -> impl Iterator<Item = &Attempt> {
    let others = request.attempts.iter().enumerate().filter(move |(no, _)| Some(*no) != own).map(|(_, t)| t);
    others.filter(|t| t.out() || t.may_have_run())
}

/// When an attempt has to have gone out at the latest, as its key's repeats are dropped no longer; none where it is no
/// repeat.
fn go_by(request: &Request, own: Option<usize>, mutant: ActiveMutant) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    let start = |t: &Attempt| {
        if mutant!(mutant, WindowStartsAtEnd) {
            t.ended_at.max(t.dispatched_at)
        } else {
            t.dispatched_at
        }
    };
    first_retry_deadline(window, may_run(request, own).map(start))
}

/// When the last byte of an attempt that begins now has to have gone out at the latest. One that is no repeat may yet have
/// one, which is whole before it: then it is the one that comes later.
pub(crate) fn write_by(now: Time, request: &Request, own: usize, mutant: ActiveMutant) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    go_by(request, Some(own), mutant).or_else(|| (window >= SHORT).then(|| retry_deadline(window, now)))
}

/// The rules on one attempt of `request` to a backend of that group: `own` is its number where it is one of
/// the request's attempts already.
pub(crate) fn may_go(
    now: Time, request: &Request, to: DeduplicationPlacement, own: Option<usize>, mutant: ActiveMutant,
) -> Result<(), No> {
    if request.state != RequestState::Open || now >= request.deadline {
        return Err(No::Over);
    }
    match request.idempotency {
        Idempotency::Safe => Ok(()),
        Idempotency::NonIdempotent if may_run(request, own).next().is_some() => Err(No::Repeat),
        Idempotency::NonIdempotent => Ok(()),
        Idempotency::Keyed(scope, _) => {
            let known = may_run(request, own).all(|t| scope.is_shared(t.placement, to));
            match go_by(request, own, mutant) {
                _ if !known => Err(No::Repeat),
                Some(until) if now >= until => Err(No::TooLate),
                _ => Ok(()),
            }
        }
    }
}

/// What is asked once more at the first byte of attempt `own`.
pub(crate) fn may_begin(
    now: Time, request: &Request, own: usize, ready: bool, mutant: ActiveMutant,
) -> Result<(), No> {
    let Some(attempt) = request.attempts.get(own).filter(|t| !matches!(t.state, AttemptState::Ended(_)))
    else {
        return Err(No::Over);
    };
    if !ready && !mutant!(mutant, StaleDrainState) {
        return Err(No::NotReady);
    }
    if attempt.send_by.is_some_and(|by| now >= by) {
        return Err(No::TooLate);
    }
    may_go(now, request, attempt.placement, Some(own), mutant)
}
