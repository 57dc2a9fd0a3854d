//! Whether an attempt may be sent: checked when the policy asks for it, and again before its first byte.

use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, Request, RequestState};
use shaletide_balancer::{first_retry_deadline, retry_deadline};
use shaletide_types::*;

/// A shorter deduplication window sets no write deadline for a first attempt: it might leave no time to write it.
const MIN_WRITE_WINDOW: Micros = Micros(50_000);

/// The attempts other than `own` that may have been executed or still may be: one that has not begun proves nothing.
fn possible_executions(request: &Request, own: Option<usize>) -> impl Iterator<Item = &Attempt> {
    let numbered = request.attempts.iter().enumerate();
    let others = numbered.filter(move |(number, _)| Some(*number) != own).map(|(_, attempt)| attempt);
    others.filter(|attempt| attempt.is_in_flight() || attempt.may_have_executed())
}

/// When an attempt has to be written at the latest, as repeats of its key are discarded no longer; none where it repeats
/// nothing.
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

/// When the last byte of an attempt that begins now has to be written at the latest. A first attempt is bound too: a
/// hedged attempt may be completely written before it, and then this one is the repeat.
pub(crate) fn write_deadline(now: Time, request: &Request, own: usize, mutant: ActiveMutant) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    let as_repeat = retry_deadline_of(request, Some(own), mutant);
    if as_repeat.is_none() && window >= MIN_WRITE_WINDOW {
        return Some(retry_deadline(window, now));
    }
    as_repeat
}

/// Whether an attempt of `request` may be dispatched to a backend in those deduplication scopes. `own`: its number, if it
/// is one of the request's attempts already.
pub(crate) fn may_dispatch(
    now: Time, request: &Request, to: DeduplicationPlacement, own: Option<usize>, mutant: ActiveMutant,
) -> bool {
    if request.state != RequestState::Open || now >= request.deadline {
        return false;
    }
    match request.idempotency {
        Idempotency::Safe => true,
        Idempotency::NonIdempotent => possible_executions(request, own).next().is_none(),
        Idempotency::Keyed(scope, _) => {
            let is_discarded =
                possible_executions(request, own).all(|attempt| scope.is_shared(attempt.placement, to));
            if !is_discarded {
                return false;
            }
            if retry_deadline_of(request, own, mutant).is_some_and(|until| now >= until) {
                return false;
            }
            true
        }
    }
}

/// Whether attempt `own` may begin now. `ready`: its backend is still as when it was dispatched.
pub(crate) fn may_start(now: Time, request: &Request, own: usize, ready: bool, mutant: ActiveMutant) -> bool {
    let Some(attempt) = request.attempts.get(own).filter(|attempt| attempt.is_in_flight()) else {
        return false;
    };
    if !ready && !mutant!(mutant, StaleDrainState) {
        return false;
    }
    if attempt.start_by.is_some_and(|by| now >= by) {
        return false;
    }
    may_dispatch(now, request, attempt.placement, Some(own), mutant)
}
