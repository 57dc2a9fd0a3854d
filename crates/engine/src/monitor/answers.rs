//! A request receives exactly one final answer in time, is rejected only if a retry is harmless, and nothing follows the
//! answer.

use super::observed::{ObservedAttempt, ObservedState};
use super::{violation, Rule, Rules, Verdict};
use crate::event::FinalOutcome;
use shaletide_types::*;

/// One second, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Checks that no request is open after its deadline and the slack.
pub(super) fn check_deadlines(observed: &mut ObservedState, now: Time, rules: &Rules) -> Verdict {
    let Some(&(deadline, id)) = observed.deadlines.first() else { return Ok(()) };
    if !is_late(observed, now, deadline, rules) {
        return Ok(());
    }
    observed.deadlines.remove(&(deadline, id)); // reported once
    let lateness = lateness_text(observed, now, deadline);
    violation(
        Rule::BeforeDeadline,
        now,
        format!("request {} has no answer after its deadline{lateness}", id.0),
    )
}

/// Whether an answer that no backend served is late at `now`. The time for which the driver waited for a processor since
/// the deadline does not count.
fn is_late(observed: &ObservedState, now: Time, deadline: Time, rules: &Rules) -> bool {
    now > deadline + rules.answer_slack + observed.processor_wait.growth_since(deadline)
}

/// The lateness, and how much of it the driver waited for a processor.
fn lateness_text(observed: &ObservedState, now: Time, deadline: Time) -> String {
    let late_us = (now - deadline).0;
    let waited_us = observed.processor_wait.growth_since(deadline).0;
    format!(" ({late_us} us after it, of which {waited_us} us without a processor)")
}

pub(super) fn may_answer(
    observed: &ObservedState, now: Time, id: RequestId, answer: FinalOutcome, rules: &Rules,
) -> Verdict {
    let Some(r) = observed.requests.get(&id).filter(|r| r.open) else {
        return violation(
            Rule::OneAnswer,
            now,
            format!("request {} was answered though no answer was due", id.0),
        );
    };
    match answer {
        FinalOutcome::Served(attempt) if observed.served != Some((id, attempt)) => {
            let text =
                format!("request {} was served by attempt {}, which got no served response", id.0, attempt.0);
            violation(Rule::OneAnswer, now, text)
        }
        FinalOutcome::Served(_) if now >= r.deadline => {
            violation(Rule::BeforeDeadline, now, format!("request {} was served after its deadline", id.0))
        }
        _ if is_late(observed, now, r.deadline, rules) => {
            let lateness = lateness_text(observed, now, r.deadline);
            let text = format!("request {} was answered after its deadline{lateness}", id.0);
            violation(Rule::BeforeDeadline, now, text)
        }
        FinalOutcome::TimedOut if now < r.deadline => {
            violation(Rule::BeforeDeadline, now, format!("request {} timed out before its deadline", id.0))
        }
        FinalOutcome::Rejected(retry_after) => check_harmless(observed, now, id, retry_after, rules),
        FinalOutcome::Served(_) | FinalOutcome::Failed | FinalOutcome::TimedOut => Ok(()),
    }
}

/// Checks that a retry by the client is harmless: no attempt may have been executed, or a second execution has no effect.
/// For a keyed request, the deduplication window has to be open when the client retries; `Retry-After` is rounded up to
/// whole seconds.
fn check_harmless(
    observed: &ObservedState, now: Time, id: RequestId, retry_after: Micros, rules: &Rules,
) -> Verdict {
    let Some(r) = observed.requests.get(&id) else { return Ok(()) };
    let client_retry_at = now + Micros(retry_after.0.div_ceil(SECOND_US) * SECOND_US);
    let is_discarded = |sent: &ObservedAttempt| match r.idempotency {
        Idempotency::Safe => true,
        Idempotency::Keyed(DeduplicationScope::All, window) => {
            rules.has_only_one_deduplication_domain && client_retry_at < sent.sent_at + window
        }
        Idempotency::Keyed(..) | Idempotency::NonIdempotent => false,
    };
    match r.attempts.iter().find(|(_, sent)| !is_discarded(sent)) {
        Some((attempt, _)) => {
            let text = format!(
                "request {} was rejected though its attempt {} may have been executed",
                id.0, attempt.0
            );
            violation(Rule::HarmlessRejection, now, text)
        }
        None => Ok(()),
    }
}

pub(super) fn may_send(observed: &ObservedState, now: Time, id: RequestId) -> Verdict {
    match observed.requests.get(&id).filter(|r| r.open) {
        None => violation(Rule::NothingAfter, now, format!("request {} was sent after it had ended", id.0)),
        Some(r) if now >= r.deadline => {
            violation(Rule::BeforeDeadline, now, format!("request {} was sent after its deadline", id.0))
        }
        Some(_) => Ok(()),
    }
}

/// Checks that every attempt of a request that ended in this step was cancelled, if cancellation is on.
pub(super) fn check_nothing_running(observed: &ObservedState, now: Time, rules: &Rules) -> Verdict {
    if !rules.cancellation {
        return Ok(());
    }
    let ended_requests = observed.ended.iter().filter_map(|id| Some((id, observed.requests.get(id)?)));
    for (id, r) in ended_requests.filter(|(_, r)| !r.open) {
        for connection in ObservedState::connections_of(r) {
            if observed.is_running_on(connection) {
                let text = format!(
                    "request {} has ended and its attempt on connection {} was not cancelled",
                    id.0, connection.0
                );
                return violation(Rule::NothingAfter, now, text);
            }
        }
    }
    Ok(())
}

pub(super) fn check_all_answered(observed: &ObservedState, now: Time) -> Verdict {
    match observed.requests.iter().find(|(_, r)| r.open) {
        None => Ok(()),
        Some((id, _)) => violation(
            Rule::AllAnswered,
            now,
            format!("request {} has no answer though nothing is in flight or due", id.0),
        ),
    }
}
