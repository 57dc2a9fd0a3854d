//! Retries: whether a request may be sent again, until when, and whether its rejection would be harmless.

use crate::interface::Config;
use crate::request::{Attempt, RequestState};
use shaletide_types::*;

/// The last byte of a retry has to go out this long before the end of its key's deduplication window, for its way to
/// the backend, ...
const RETRY_MARGIN: Micros = Micros(20_000);
/// ... but no more than the window's length over this number, as a window may be short.
const RETRY_MARGIN_WINDOW_DIVISOR: u64 = 8;

/// Until when the last byte of a retry may go out after an attempt that was sent at the earliest at `sent`, where
/// backends discard repeats for `window`.
pub fn retry_deadline(window: Micros, sent: Time) -> Time {
    let margin = (window.0 / RETRY_MARGIN_WINDOW_DIVISOR).min(RETRY_MARGIN.0);
    sent + Micros(window.0 - margin)
}

/// The same after the first of the attempts that may have been executed or may be yet, each with the earliest time at
/// which it was sent. `None` where there is no such attempt.
pub fn first_retry_deadline(window: Micros, sent: impl Iterator<Item = Time>) -> Option<Time> {
    sent.min().map(|first| retry_deadline(window, first))
}

/// Whether a further attempt of the request does no harm and is within its number of attempts. Another one may be in
/// flight only where requests are hedged.
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

/// Whether a second execution of the attempt does no harm, or cannot come about.
fn may_repeat(idempotency: Idempotency, now: Time, attempt: &Attempt) -> bool {
    match idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed(_, window) => {
            attempt.not_executed || now < retry_deadline(window, attempt.sent_at)
        }
        Idempotency::NonIdempotent => attempt.not_executed,
    }
}

/// Whether a further attempt may go to `backend` after the earlier ones: the backend shares the keys that it has seen
/// with those of each earlier attempt that may have been executed. Always so without a key.
pub(crate) fn may_follow_at(
    idempotency: Idempotency, request: &RequestState, backend: &BackendEntry,
) -> bool {
    let Idempotency::Keyed(scope, _) = idempotency else { return true };
    request.attempts.iter().all(|attempt| {
        let earlier = attempt.backend.deduplication_placement();
        attempt.not_executed || scope.is_shared(earlier, backend.deduplication_placement())
    })
}

/// Before when the request's next attempt has to begin; `None` where any time will do.
pub(crate) fn start_by(config: &Config, request: &RequestState) -> Option<Time> {
    let Idempotency::Keyed(_, window) = config.classes[request.class].idempotency else { return None };
    let may_be_executed = request.attempts.iter().filter(|attempt| !attempt.not_executed);
    first_retry_deadline(window, may_be_executed.map(|attempt| attempt.sent_at))
}

/// Whether the request's rejection is harmless: a client that sends it again at `client_returns_at` causes no second
/// execution.
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
