//! A non-idempotent request is executed at most once. A keyed request is sent again only to backends that discard its
//! repeats, and only so that each attempt arrives within the deduplication windows of the others: a repeat on a connection
//! that was established in the same step, as bytes on an older one may wait in a partitioned network, and no attempt is
//! left in flight after the window of another one.

use super::observed::{ObservedPlacement, ObservedRequest, ObservedState};
use super::{violation, Rule, Verdict};
use shaletide_types::*;

pub(super) fn may_send(observed: &ObservedState, now: Time, id: RequestId, to: BackendId) -> Verdict {
    let Some(request) = observed.requests.get(&id) else { return Ok(()) };
    match request.idempotency {
        Idempotency::Safe => Ok(()),
        Idempotency::NonIdempotent => check_not_executed(now, id, request),
        Idempotency::Keyed(scope, window) => {
            let Some(place) = observed.backends.get(&to).map(|entry| entry.placement) else { return Ok(()) };
            check_repeat_is_discarded(now, id, request, scope, window, to, place)
        }
    }
}

fn check_not_executed(now: Time, id: RequestId, request: &ObservedRequest) -> Verdict {
    let Some(earlier) = request.attempts.keys().next() else { return Ok(()) };
    let text = format!(
        "non-idempotent request {} was sent again though attempt {} may have been executed",
        id.0, earlier.0
    );
    violation(Rule::NonIdempotentOnce, now, text)
}

fn check_repeat_is_discarded(
    now: Time, id: RequestId, request: &ObservedRequest, scope: DeduplicationScope, window: Micros,
    to: BackendId, place: ObservedPlacement,
) -> Verdict {
    for (earlier, sent) in &request.attempts {
        if !shares_keys(scope, sent.placement, place) {
            let text = format!(
                "keyed request {} was sent again to backend {}, which does not share the keys seen by attempt {}",
                id.0, to.0, earlier.0
            );
            return violation(Rule::KeyedInScopeAndWindow, now, text);
        }
        if now >= sent.sent_at + window {
            let text = format!(
                "keyed request {} was sent again after the deduplication window of attempt {}",
                id.0, earlier.0
            );
            return violation(Rule::KeyedInScopeAndWindow, now, text);
        }
    }
    Ok(())
}

/// Checks that a repeat of a keyed request is sent on a connection that has just been established, and that the driver is
/// asked to check it again before the first byte.
pub(super) fn may_use(
    observed: &ObservedState, now: Time, id: RequestId, connection: ConnectionId, requires_live_path: bool,
) -> Verdict {
    let Some(request) = observed.requests.get(&id) else { return Ok(()) };
    let is_repeat = matches!(request.idempotency, Idempotency::Keyed(..)) && !request.attempts.is_empty();
    if !is_repeat || requires_live_path && observed.just_established == Some(connection) {
        return Ok(());
    }
    let text = format!(
        "keyed request {} was sent again on connection {}, whose bytes may arrive after its deduplication window",
        id.0, connection.0
    );
    violation(Rule::KeyedInScopeAndWindow, now, text)
}

/// Checks at a wake-up that no attempt of a keyed request is left in flight after the deduplication window of another one:
/// its last byte may have waited in the network, and a backend that receives it from now on executes it again.
pub(super) fn check_no_late_arrival(observed: &mut ObservedState, now: Time) -> Verdict {
    if !observed.woken {
        return Ok(());
    }
    let mut verdict = Ok(());
    while let Some((end, id, attempt)) = observed.window_ends.pop_first() {
        if end > now {
            observed.window_ends.insert((end, id, attempt));
            break;
        }
        verdict = verdict.and_then(|()| check_others_ended(observed, now, id, attempt));
    }
    verdict
}

fn check_others_ended(observed: &ObservedState, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    let Some(request) = observed.requests.get(&id) else { return Ok(()) };
    for (other, sent) in &request.attempts {
        let is_running = sent.connection.is_some_and(|connection| observed.is_running_on(connection));
        if *other != attempt && is_running {
            let text = format!(
                "attempt {} of keyed request {} may arrive after the deduplication window of attempt {}",
                other.0, id.0, attempt.0
            );
            return violation(Rule::KeyedInScopeAndWindow, now, text);
        }
    }
    Ok(())
}

/// Whether two backends share keys in a scope. Groups of different domains never do, even if they have the same name.
fn shares_keys(scope: DeduplicationScope, one: ObservedPlacement, other: ObservedPlacement) -> bool {
    let in_scope = match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Group => one.group == other.group,
    };
    in_scope && one.domain == other.domain
}
