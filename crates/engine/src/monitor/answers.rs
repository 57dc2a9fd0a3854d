//! Exactly one final answer, in time, a refusal only where a retry is harmless, and nothing after it.

use super::record::{Record, Sent};
use super::{broken, Rule, Rules, Verdict};
use crate::event::FinalOutcome;
use shaletide_types::*;

/// In microseconds.
const SECOND: u64 = 1_000_000;

/// No request is open after its time.
pub(super) fn overdue(record: &mut Record, now: Time, rules: &Rules) -> Verdict {
    let Some(&(deadline, id)) = record.deadlines.first().filter(|d| d.0 + rules.answer_slack < now) else {
        return Ok(());
    };
    record.deadlines.remove(&(deadline, id)); // said once
    broken(Rule::InTime, now, format!("request {} has no answer and its time was up", id.0))
}

pub(super) fn may_answer(
    record: &Record, now: Time, id: RequestId, answer: FinalOutcome, rules: &Rules,
) -> Verdict {
    let Some(r) = record.requests.get(&id).filter(|r| r.open) else {
        return broken(Rule::OneAnswer, now, format!("request {} is answered and none is owed", id.0));
    };
    match answer {
        FinalOutcome::Served(attempt) if record.served != Some((id, attempt)) => {
            let text = format!("request {} is served by attempt {}, which has no answer", id.0, attempt.0);
            broken(Rule::OneAnswer, now, text)
        }
        FinalOutcome::Served(_) if now >= r.deadline => {
            broken(Rule::InTime, now, format!("request {} is served after its time was up", id.0))
        }
        _ if now > r.deadline + rules.answer_slack => {
            broken(Rule::InTime, now, format!("request {} is answered after its time was up", id.0))
        }
        FinalOutcome::TimedOut if now < r.deadline => {
            broken(Rule::InTime, now, format!("request {} times out before its time is up", id.0))
        }
        FinalOutcome::Rejected(advice) => harmless(record, now, id, advice, rules),
        FinalOutcome::Served(_) | FinalOutcome::Failed | FinalOutcome::TimedOut => Ok(()),
    }
}

/// Nothing may have run, or running again does nothing: of a keyed one as long as its window lasts, which the client
/// has to find open when it comes back. It is told in whole seconds.
fn harmless(record: &Record, now: Time, id: RequestId, advice: Micros, rules: &Rules) -> Verdict {
    let Some(r) = record.requests.get(&id) else { return Ok(()) };
    let back = now + Micros(advice.0.div_ceil(SECOND) * SECOND);
    let dropped = |sent: &Sent| match r.effect {
        Idempotency::Safe => true,
        Idempotency::Keyed(DeduplicationScope::All, window) => rules.one_realm && back < sent.at + window,
        Idempotency::Keyed(..) | Idempotency::NonIdempotent => false,
    };
    match r.sent.iter().find(|(_, sent)| !dropped(sent)) {
        Some((attempt, _)) => {
            let text = format!("request {} is refused and its attempt {} may have run", id.0, attempt.0);
            broken(Rule::HarmlessRefusal, now, text)
        }
        None => Ok(()),
    }
}

pub(super) fn may_send(record: &Record, now: Time, id: RequestId) -> Verdict {
    match record.requests.get(&id).filter(|r| r.open) {
        None => broken(Rule::NothingAfter, now, format!("request {} is sent and is over", id.0)),
        Some(r) if now >= r.deadline => {
            broken(Rule::InTime, now, format!("request {} is sent after its time was up", id.0))
        }
        Some(_) => Ok(()),
    }
}

/// What ended in this step has nothing left running that could be called back.
pub(super) fn ended_well(record: &Record, now: Time, rules: &Rules) -> Verdict {
    if !rules.cancel {
        return Ok(());
    }
    let over = record.ended.iter().filter_map(|id| Some((id, record.requests.get(id)?)));
    for (id, r) in over.filter(|(_, r)| !r.open) {
        for connection in Record::under_way(r) {
            if record.runs_on(connection) {
                let text = format!("request {} is over and still runs on connection {}", id.0, connection.0);
                return broken(Rule::NothingAfter, now, text);
            }
        }
    }
    Ok(())
}

pub(super) fn all_answered(record: &Record, now: Time) -> Verdict {
    match record.requests.iter().find(|(_, r)| r.open) {
        None => Ok(()),
        Some((id, _)) => {
            broken(Rule::AllAnswered, now, format!("all is quiet and request {} has no answer", id.0))
        }
    }
}
