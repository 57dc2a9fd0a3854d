//! No byte before its permit; each permit is used, refused or given back.

use super::record::{Permit, Record};
use super::{broken, Rule, Verdict};
use shaletide_types::*;

pub(super) fn may_ask(record: &Record, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    let text = match record.requests.get(&id).filter(|r| r.open) {
        None => "and it is over",
        Some(r) if !r.permit => "and it wants none",
        Some(r) if r.permits.contains_key(&attempt) => "a second time",
        Some(r) if r.sent.get(&attempt).is_some_and(|s| s.on.is_some()) => "and it is on its way",
        Some(_) => return Ok(()),
    };
    broken(
        Rule::Permit,
        now,
        format!("a permit is asked for attempt {} of request {} {text}", attempt.0, id.0),
    )
}

pub(super) fn may_send(record: &Record, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    let Some(r) = record.requests.get(&id).filter(|r| r.permit) else { return Ok(()) };
    match r.permits.get(&attempt) {
        Some(Permit::Given) => Ok(()),
        Some(Permit::Asked) | None => broken(
            Rule::Permit,
            now,
            format!("attempt {} of request {} is sent without its permit", attempt.0, id.0),
        ),
    }
}

pub(super) fn may_withdraw(record: &Record, now: Time, id: RequestId, attempt: AttemptNumber) -> Verdict {
    if record.requests.get(&id).is_some_and(|r| r.permits.contains_key(&attempt)) {
        return Ok(());
    }
    let text =
        format!("a permit is given back for attempt {} of request {}, which has none", attempt.0, id.0);
    broken(Rule::Permit, now, text)
}

/// Of what ended in this step no permit is left open.
pub(super) fn given_back(record: &Record, now: Time) -> Verdict {
    let over = record.ended.iter().filter_map(|id| Some((id, record.requests.get(id)?)));
    for (id, r) in over.filter(|(_, r)| !r.open) {
        if let Some(attempt) = r.permits.keys().next() {
            let text = format!("request {} is over and the permit of attempt {} is open", id.0, attempt.0);
            return broken(Rule::Permit, now, text);
        }
    }
    Ok(())
}
