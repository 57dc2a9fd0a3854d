//! Retries: whether and until when a request may be sent again, and whether it can be rejected harmlessly.

use crate::interface::Config;
use crate::request::{Attempt, RequestState};
use shaletide_types::*;

/// Time before the end of the key's deduplication window by which the last byte of a retry has to be written, which
/// allows for its transmission to the backend.
const RETRY_MARGIN: Micros = Micros(20_000);
/// Upper bound of that margin, as the window's length divided by this number: a window may be short.
const RETRY_MARGIN_WINDOW_DIVISOR: u64 = 8;

/// Returns the time until which the last byte of a retry may be written, after an attempt that was sent no earlier than
/// `sent`, where backends discard repeats for `window`.
pub fn retry_deadline(window: Micros, sent: Time) -> Time {
    let margin = (window.0 / RETRY_MARGIN_WINDOW_DIVISOR).min(RETRY_MARGIN.0);
    sent + Micros(window.0 - margin)
}

/// Returns the earliest [`retry_deadline`] of the attempts that may have been executed or may still be. `sent` has the
/// earliest time at which each of them can have been sent. `None` where there is no such attempt.
pub fn first_retry_deadline(window: Micros, sent: impl Iterator<Item = Time>) -> Option<Time> {
    sent.min().map(|first| retry_deadline(window, first))
}

/// Returns whether a further attempt of the request is harmless and within the maximum number of attempts. While
/// another attempt is in flight, it is allowed only if hedging is.
pub(crate) fn may_send_attempt(config: &Config, now: Time, request: &RequestState) -> bool {
    if request.has_attempt_in_flight() && !config.hedging {
        return false;
    }
    if request.attempts.len() >= config.max_attempts as usize {
        return false;
    }
    let idempotency = config.classes[request.class].idempotency;
    request.attempts.iter().all(|attempt| may_repeat(idempotency, now, attempt))
}

/// Returns whether a repeat of the attempt is harmless or cannot be a second execution.
fn may_repeat(idempotency: Idempotency, now: Time, attempt: &Attempt) -> bool {
    match idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed(_, window) => {
            attempt.not_executed || now < retry_deadline(window, attempt.sent_at)
        }
        Idempotency::NonIdempotent => attempt.not_executed,
    }
}

/// Returns whether a further attempt may go to `backend` after the earlier ones. A keyed request needs a backend that
/// shares its known keys with the backend of each earlier attempt that may have been executed.
pub(crate) fn may_follow_at(
    idempotency: Idempotency, request: &RequestState, backend: &BackendEntry,
) -> bool {
    let Idempotency::Keyed(scope, _) = idempotency else { return true };
    request.attempts.iter().all(|attempt| {
        let earlier = attempt.backend.deduplication_placement();
        attempt.not_executed || scope.is_shared(earlier, backend.deduplication_placement())
    })
}

/// Returns the time before which the request's next attempt has to start; `None` where there is no limit.
pub(crate) fn start_by(config: &Config, request: &RequestState) -> Option<Time> {
    let Idempotency::Keyed(_, window) = config.classes[request.class].idempotency else { return None };
    let may_be_executed = request.attempts.iter().filter(|attempt| !attempt.not_executed);
    first_retry_deadline(window, may_be_executed.map(|attempt| attempt.sent_at))
}

/// Returns whether the request can be rejected harmlessly: a client that sends it again at `client_returns_at` causes
/// no second execution.
pub(crate) fn is_rejection_harmless(
    config: &Config, request: &RequestState, client_returns_at: Time,
) -> bool {
    let is_discarded = |attempt: &Attempt| match config.classes[request.class].idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed(DeduplicationScope::All, window) => {
            let is_only_domain =
                config.only_deduplication_domain == Some(attempt.backend.deduplication_domain);
            is_only_domain && client_returns_at < retry_deadline(window, attempt.sent_at)
        }
        Idempotency::Keyed(..) | Idempotency::NonIdempotent => false,
    };
    request.attempts.iter().all(|attempt| attempt.not_executed || is_discarded(attempt))
}
