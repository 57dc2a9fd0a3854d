//! Whether an attempt may be sent. Checked when the policy dispatches it and again before its first byte.

use crate::mutant::{mutant, ActiveMutant};
use crate::request::{Attempt, Request, RequestState};
use shaletide_balancer::{first_retry_deadline, retry_deadline};
use shaletide_types::*;

/// The shortest deduplication window that sets a write deadline for a first attempt. A shorter one could leave no time to
/// write it.
const MIN_WRITE_WINDOW: Micros = Micros(50_000);

/// The attempts other than `own` that may have been executed or still may be. This includes every attempt in flight, also
/// one that has not started.
fn possible_executions(request: &Request, own: Option<usize>) -> impl Iterator<Item = &Attempt> {
    let numbered = request.attempts.iter().enumerate();
    let others = numbered.filter(move |(number, _)| Some(*number) != own).map(|(_, attempt)| attempt);
    others.filter(|attempt| attempt.is_in_flight() || attempt.may_have_executed())
}

/// Whether attempt `own` may repeat an execution: another attempt of its keyed request may have been executed or still may
/// be.
pub(crate) fn is_keyed_repeat(request: &Request, own: usize) -> bool {
    let is_keyed = matches!(request.idempotency, Idempotency::Keyed(..));
    is_keyed && possible_executions(request, Some(own)).next().is_some()
}

/// The time by which a retry has to be written, because the backends discard repeats of its key only until then. `None` if
/// there is no earlier execution to repeat.
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

/// The deadline for the last byte of an attempt that starts now. A first attempt has one too: a hedged attempt may be
/// completely written before it, which makes the first attempt the repeat.
pub(crate) fn write_deadline(now: Time, request: &Request, own: usize, mutant: ActiveMutant) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    let repeat_deadline = retry_deadline_of(request, Some(own), mutant);
    if repeat_deadline.is_none() && window >= MIN_WRITE_WINDOW {
        return Some(retry_deadline(window, now));
    }
    repeat_deadline
}

/// The attempts that are on a connection, each with the time at which it has to be aborted if it has not ended by then:
/// from then on its last byte could arrive when the backends no longer discard it as the repeat of another attempt that may
/// have been executed. That holds for the first attempt as well, which may wait in the network while a later one is
/// executed. None for a request without a key.
fn delivery_deadlines(request: &Request) -> impl Iterator<Item = (usize, Time)> + '_ {
    let numbered = request.attempts.iter().enumerate();
    let on_connection = numbered.filter(|(_, attempt)| attempt.is_on_connection());
    on_connection.filter_map(|(own, _)| Some((own, delivery_deadline_of(request, own)?)))
}

fn delivery_deadline_of(request: &Request, own: usize) -> Option<Time> {
    let Idempotency::Keyed(_, window) = request.idempotency else { return None };
    let others = possible_executions(request, Some(own)).filter(|attempt| attempt.may_have_executed());
    first_retry_deadline(window, others.map(|attempt| attempt.dispatched_at))
}

/// The time at which the first attempt of `request` has to be aborted.
pub(crate) fn first_delivery_deadline(request: &Request, mutant: ActiveMutant) -> Option<Time> {
    if mutant!(mutant, AttemptOutlivesWindow) {
        return None;
    }
    delivery_deadlines(request).map(|(_, deadline)| deadline).min()
}

/// The attempts of `request` that have to be aborted by `now`.
pub(crate) fn overdue_attempts(now: Time, request: &Request) -> Vec<AttemptNumber> {
    let overdue = delivery_deadlines(request).filter(|(_, deadline)| *deadline <= now);
    overdue.map(|(own, _)| AttemptNumber(own as u32)).collect()
}

/// Whether an attempt of `request` may be dispatched to a backend in the deduplication scopes `to`. `own`: the attempt's
/// number, if it is already one of the request's attempts.
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

/// Whether attempt `own` may start now. `ready`: its backend is ready and in the same deduplication scopes as at dispatch.
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
