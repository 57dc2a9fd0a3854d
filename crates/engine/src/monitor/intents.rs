//! No byte of an attempt before its intent is durable; each intent is used, has failed or is withdrawn.

use super::observed::{Permit, Record};
use super::{violation, Rule, Verdict};
use shaletide_types::*;

pub(super) fn may_request(record: &Record, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    let text = match record.requests.get(&id).filter(|r| r.open) {
        None => "after the request had ended",
        Some(r) if !r.permit => "though it needs none",
        Some(r) if r.permits.contains_key(&attempt) => "a second time",
        Some(r) if r.sent.get(&attempt).is_some_and(|s| s.on.is_some()) => "though it is in flight",
        Some(_) => return Ok(()),
    };
    violation(
        Rule::Permit,
        now,
        format!("the intent of attempt {} of request {} was requested {text}", attempt.0, id.0),
    )
}

pub(super) fn may_send(record: &Record, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    let Some(r) = record.requests.get(&id).filter(|r| r.permit) else { return Ok(()) };
    match r.permits.get(&attempt) {
        Some(Permit::Given) => Ok(()),
        Some(Permit::Asked) | None => violation(
            Rule::Permit,
            now,
            format!("attempt {} of request {} was sent before its intent was durable", attempt.0, id.0),
        ),
    }
}

pub(super) fn may_withdraw(record: &Record, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    if record.requests.get(&id).is_some_and(|r| r.permits.contains_key(&attempt)) {
        return Ok(());
    }
    let text = format!(
        "the intent of attempt {} of request {} was withdrawn and none was requested",
        attempt.0, id.0
    );
    violation(Rule::Permit, now, text)
}

/// A request that ended in this step has no intent that is neither used, failed nor withdrawn.
pub(super) fn check_none_open(record: &Record, now: Time) -> Verdict {
    let over = record.ended.iter().filter_map(|id| Some((id, record.requests.get(id)?)));
    for (id, r) in over.filter(|(_, r)| !r.open) {
        if let Some(attempt) = r.permits.keys().next() {
            let text = format!(
                "request {} has ended and the intent of its attempt {} was not withdrawn",
                id.0, attempt.0
            );
            return violation(Rule::Permit, now, text);
        }
    }
    Ok(())
}
