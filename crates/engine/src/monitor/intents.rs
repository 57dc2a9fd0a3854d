//! No byte of an attempt is written before its intent is durable, and each intent is used, fails or is withdrawn.

use super::observed::{IntentState, ObservedState};
use super::{violation, Rule, Verdict};
use shaletide_types::*;

pub(super) fn may_request(
    observed: &ObservedState, now: Time, id: RequestId, attempt: AttemptNumber,
) -> Verdict {
    let text = match observed.requests.get(&id).filter(|r| r.open) {
        None => "after the request had ended",
        Some(r) if !r.requires_intent => "though it needs none",
        Some(r) if r.intents.contains_key(&attempt) => "a second time",
        Some(r) if r.attempts.get(&attempt).is_some_and(|s| s.connection.is_some()) => {
            "though it is in flight"
        }
        Some(_) => return Ok(()),
    };
    violation(
        Rule::DurableIntent,
        now,
        format!("the intent of attempt {} of request {} was requested {text}", attempt.0, id.0),
    )
}

pub(super) fn may_send(
    observed: &ObservedState, now: Time, id: RequestId, attempt: AttemptNumber,
) -> Verdict {
    let Some(r) = observed.requests.get(&id).filter(|r| r.requires_intent) else { return Ok(()) };
    match r.intents.get(&attempt) {
        Some(IntentState::Durable) => Ok(()),
        Some(IntentState::Requested) | None => violation(
            Rule::DurableIntent,
            now,
            format!("attempt {} of request {} was sent before its intent was durable", attempt.0, id.0),
        ),
    }
}

pub(super) fn may_withdraw(
    observed: &ObservedState, now: Time, id: RequestId, attempt: AttemptNumber,
) -> Verdict {
    if observed.requests.get(&id).is_some_and(|r| r.intents.contains_key(&attempt)) {
        return Ok(());
    }
    let text = format!(
        "the intent of attempt {} of request {} was withdrawn and none was requested",
        attempt.0, id.0
    );
    violation(Rule::DurableIntent, now, text)
}

/// Checks that every intent of a request that ended in this step was used, failed or was withdrawn.
pub(super) fn check_none_open(observed: &ObservedState, now: Time) -> Verdict {
    let ended_requests = observed.ended.iter().filter_map(|id| Some((id, observed.requests.get(id)?)));
    for (id, r) in ended_requests.filter(|(_, r)| !r.open) {
        if let Some(attempt) = r.intents.keys().next() {
            let text = format!(
                "request {} has ended and the intent of its attempt {} was not withdrawn",
                id.0, attempt.0
            );
            return violation(Rule::DurableIntent, now, text);
        }
    }
    Ok(())
}
