//! Scripted events: kills at each stage of a request, repeats of a key, late commits, a store that is down, operators'
//! resolutions, restarts and expiry.

mod common;

use common::{key, AttemptStage, Harness, KEEP, WAIT};
use shaletide_record::*;
use shaletide_types::*;

const ACCEPTED: KeyDecision = KeyDecision::Proceed { requires_intent: true };
const RETRY_LATER: KeyDecision = KeyDecision::Reject(Micros(1_000_000));

fn conflict(why: KeyConflict) -> KeyDecision {
    KeyDecision::Conflict(why)
}

/// For each stage of a request: the decision on a second request with its key, while running and after a kill and a restart.
#[test]
fn key_is_decided_rightly_in_every_state_and_after_a_kill_in_it() {
    type Advance = fn(&mut Harness, RequestId);
    let stages: [(Advance, KeyDecision, KeyDecision); 7] = [
        (|_, _| {}, RETRY_LATER, ACCEPTED), // before the intent
        (|h, id| h.request_intent(id, 0), RETRY_LATER, ACCEPTED), // intent queued
        (|h, _| h.commit_all(), conflict(KeyConflict::InFlight), conflict(KeyConflict::InDoubt)), // durable, not sent
        (|h, id| h.send(id, 0), conflict(KeyConflict::InFlight), conflict(KeyConflict::InDoubt)), // sent
        (
            |h, id| h.end_attempt(id, 0, Outcome::Ok),
            conflict(KeyConflict::Served),
            conflict(KeyConflict::InDoubt),
        ), // not recorded
        (|h, _| h.commit_all(), conflict(KeyConflict::Served), conflict(KeyConflict::Served)), // recorded, not answered
        (
            |h, id| h.end_request(id, RequestEnding::Served(AttemptNumber(0))),
            conflict(KeyConflict::Served),
            conflict(KeyConflict::Served),
        ),
    ];
    for window in 0..stages.len() {
        let mut h = Harness::new();
        let id = h.submit_accepted("k");
        stages[..=window].iter().for_each(|(stage, ..)| stage(&mut h, id));
        assert_eq!(h.submit("k").1, stages[window].1, "running, window {window}");
        h.restart();
        assert_eq!(h.submit("k").1, stages[window].2, "after a kill, window {window}");
        assert!(h.runs.values().all(|n| *n <= 1));
    }
}

#[test]
fn facts_of_a_request_are_recorded_in_order() {
    let mut h = Harness::new();
    h.serve("k");
    assert_eq!(h.kinds(), ["asked", "intent", "outcome", "answer"]);
    assert!(h.store.rows.iter().all(|r| r.key == Some(key("k")) && r.request == Some(1)));
    let Fact::Intent { attempt: 0, seen } = Fact::of(&h.store.rows[1]) else { panic!() };
    assert_eq!((seen.backend.as_str(), seen.pool.as_str(), seen.list), ("backend-0", "p", 3));
}

#[test]
fn possibly_executed_attempt_is_in_doubt_at_once_and_after_a_restart() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error, Outcome::Cancelled] {
        let mut h = Harness::new();
        let id = h.submit_accepted("k");
        h.request_intent(id, 0);
        h.commit_all();
        h.send(id, 0);
        h.end_attempt(id, 0, outcome);
        assert_eq!(h.submit("k").1, conflict(KeyConflict::InDoubt), "{outcome:?}");
        h.end_request(id, RequestEnding::Failed);
        h.commit_all();
        assert_eq!(h.store.state(&key("k")), Some(KeyState::InDoubt));
        h.restart();
        assert_eq!(h.submit("k").1, conflict(KeyConflict::InDoubt), "{outcome:?}");
    }
}

#[test]
fn key_of_an_attempt_not_executed_is_free_once_that_is_durable() {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.commit_all();
    h.send(id, 0);
    h.end_attempt(id, 0, Outcome::Rejected);
    assert_eq!(h.submit("k").1, RETRY_LATER, "the request may still be retried");
    h.request_intent(id, 1);
    h.commit_all();
    assert_eq!(h.stage(id, 1), AttemptStage::Granted);
    h.withdraw(id, 1);
    h.end_request(id, RequestEnding::Rejected);
    assert_eq!(h.submit("k").1, RETRY_LATER, "not durable yet");
    h.commit_all();
    assert_eq!(h.store.state(&key("k")), None);
    assert_eq!(h.submit("k").1, ACCEPTED);
    assert_eq!(h.recorder.unsettled(), 1);
}

/// A request times out while its attempt is in flight. The attempt's own outcome then decides the key's state.
#[test]
fn attempt_that_outlives_its_request_keeps_the_key_in_flight() {
    for (outcome, then) in [(Outcome::Ok, Some(KeyConflict::Served)), (Outcome::ConnectFailed, None)] {
        let mut h = Harness::new();
        let id = h.submit_accepted("k");
        h.request_intent(id, 0);
        h.commit_all();
        h.send(id, 0);
        h.end_request(id, RequestEnding::TimedOut);
        h.commit_all();
        assert_eq!(h.submit("k").1, conflict(KeyConflict::InFlight));
        h.end_attempt(id, 0, outcome);
        h.commit_all();
        assert_eq!(h.submit("k").1, then.map_or(ACCEPTED, KeyDecision::Conflict));
    }
}

/// Two requests with one key must never be in the same group commit. If another proxy has taken the key, the store rejects
/// the intent.
#[test]
fn one_of_two_requests_with_one_key_is_sent() {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    assert_eq!(h.submit("k").1, RETRY_LATER);
    h.commit_all();
    assert_eq!(h.stage(id, 0), AttemptStage::Granted);
    for state in [KeyState::InFlight, KeyState::InDoubt, KeyState::Served] {
        let mut h = Harness::new();
        h.store.set(key("k"), state);
        let id = h.submit_accepted("k");
        h.request_intent(id, 0);
        h.commit_all();
        assert_eq!(h.stage(id, 0), AttemptStage::Denied);
        assert_eq!(h.requests[&id].ended, Some(KeyDecision::Conflict(state.into())));
        h.end_request(id, RequestEnding::Failed);
        h.commit_all();
        assert_eq!(h.store.state(&key("k")), Some(state), "a key taken by another request stays taken");
    }
}

#[test]
fn late_intent_is_denied_and_withdrawn_once_committed() {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    assert_eq!(h.recorder.wake_at(), Some(h.now + WAIT));
    h.advance(WAIT);
    assert_eq!(h.stage(id, 0), AttemptStage::Denied);
    assert_eq!(h.requests[&id].ended, Some(RETRY_LATER));
    h.end_request(id, RequestEnding::Rejected);
    assert_eq!(h.submit("k").1, RETRY_LATER, "the late intent may still take the key");
    assert_eq!(h.submit("other").1, RETRY_LATER, "the store is stalled");
    h.commit(2); // the facts `asked` and `intent`
    assert_eq!(h.store.state(&key("k")), Some(KeyState::InFlight));
    assert_eq!(h.submit("k").1, RETRY_LATER);
    h.commit_all();
    assert_eq!(h.kinds(), ["asked", "intent", "answer", "withdrawn"]);
    assert_eq!(h.submit("k").1, ACCEPTED);
}

/// The commit is reported exactly at the deadline of the intent, before any other event.
#[test]
fn commit_at_the_intent_deadline_is_late() {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.now = h.now + WAIT;
    h.commit_all();
    assert_eq!(h.stage(id, 0), AttemptStage::Denied);
    assert!(h.kinds().contains(&"withdrawn"));
}

/// An attempt is withdrawn while its intent is pending, and the store rejects the intent. The key, which another request
/// holds, must not be freed.
#[test]
fn withdrawal_waits_for_the_commit_outcome_of_its_intent() {
    let mut h = Harness::new();
    h.store.set(key("k"), KeyState::Served);
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.withdraw(id, 0);
    h.commit_all();
    h.request_intent(id, 1);
    h.commit_all();
    h.end_request(id, RequestEnding::Failed);
    h.commit_all();
    assert_eq!(h.stage(id, 1), AttemptStage::Denied);
    assert_eq!(h.store.state(&key("k")), Some(KeyState::Served));
    assert_eq!(h.kinds(), ["asked", "answer"]);
}

/// The write of an intent fails, so it is not known whether it took the key. As nothing was sent, the key has to be freed.
#[test]
fn requests_are_rejected_while_the_store_is_down_and_accepted_after() {
    for durable in [0, 2] {
        let mut h = Harness::new();
        let id = h.submit_accepted("k");
        h.request_intent(id, 0);
        h.fail_writes(durable);
        assert_eq!(h.stage(id, 0), AttemptStage::Denied);
        assert_eq!(h.requests[&id].ended, Some(RETRY_LATER));
        h.deliver(Event::StoreDown { why: StoreFailure::Full, retry_after_hint: Micros(5_000_000) });
        h.advance(Micros(2_000_000));
        assert_eq!(
            h.submit("k").1,
            KeyDecision::Reject(Micros(3_000_000)),
            "not before the store may be back"
        );
        assert_eq!(h.submit("other").1, KeyDecision::Reject(Micros(3_000_000)));
        h.end_request(id, RequestEnding::Rejected);
        assert!(h.store.queue.is_empty(), "nothing is sent to a store that is down");
        h.deliver(Event::StoreUp);
        h.commit_all();
        assert_eq!(h.store.state(&key("k")), None);
        assert_eq!(h.submit("k").1, ACCEPTED);
    }
}

/// A served key that was left to the store for lack of room is requested again while the store fails. It must stay served.
#[test]
fn failed_write_frees_no_key_of_another_request() {
    let mut config = common::config();
    config.bounds.served = 0;
    let mut h = Harness::with(config);
    h.serve("k");
    let again = h.submit_accepted("k");
    h.request_intent(again, 0);
    h.fail_writes(0);
    h.end_request(again, RequestEnding::Rejected);
    h.deliver(Event::StoreUp);
    h.commit_all();
    assert_eq!(h.store.state(&key("k")), Some(KeyState::Served));
}

/// Outcomes and answers are not lost when the store fails, and keep their order.
#[test]
fn outcomes_are_resent_when_the_store_is_back() {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.commit_all();
    h.send(id, 0);
    h.end_attempt(id, 0, Outcome::Ok);
    h.fail_writes(0);
    h.end_request(id, RequestEnding::Served(AttemptNumber(0)));
    assert_eq!((h.recorder.pending_fact_count(), h.submit("k").1), (2, conflict(KeyConflict::Served)));
    h.deliver(Event::StoreUp);
    h.commit_all();
    assert_eq!(h.kinds(), ["asked", "intent", "outcome", "answer", "turned"]);
    assert_eq!((h.recorder.pending_fact_count(), h.recorder.served()), (0, 1));
}

fn harness_with_key_in_doubt() -> Harness {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.commit_all();
    h.send(id, 0);
    h.restart();
    h
}

#[test]
fn operator_resolves_keys_in_doubt_only() {
    for (ran, state, then) in
        [(false, None, ACCEPTED), (true, Some(KeyState::Served), conflict(KeyConflict::Served))]
    {
        let mut h = harness_with_key_in_doubt();
        h.resolve(&key("k"), ran);
        assert_eq!(h.submit("k").1, conflict(KeyConflict::InDoubt), "until it is durable");
        h.resolve(&key("k"), ran);
        h.commit_all();
        assert_eq!(h.replies, [ResolveResult::NotYet, ResolveResult::Done]);
        assert_eq!((h.store.state(&key("k")), h.submit("k").1), (state, then));
        let resolved =
            h.store.rows.iter().find(|r| r.kind == "resolved").expect("the resolution is recorded");
        let (by, note) = ("ann".into(), "checked at the backend".into());
        assert_eq!(Fact::of(resolved), Fact::Resolved { by, ran, note });
    }
    let mut h = Harness::new();
    h.serve("served");
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.commit_all();
    ["served", "k", "unknown"].iter().for_each(|k| h.resolve(&key(k), false));
    assert_eq!(h.replies, [ResolveResult::Served, ResolveResult::InFlight, ResolveResult::Unknown]);
    let mut h = harness_with_key_in_doubt();
    h.fail_writes(0);
    h.resolve(&key("k"), false);
    assert_eq!(h.replies, [ResolveResult::StoreDown]);
    assert_eq!(h.submit("k").1, conflict(KeyConflict::InDoubt));
}

#[test]
fn served_key_expires_and_key_in_doubt_does_not() {
    let mut h = harness_with_key_in_doubt();
    h.serve("a");
    h.advance(Micros(KEEP.0 / 2));
    h.serve("b");
    h.advance(Micros(KEEP.0 / 2));
    h.commit_all();
    assert_eq!((h.store.state(&key("a")), h.store.state(&key("b"))), (None, Some(KeyState::Served)));
    assert_eq!((h.submit("a").1, h.submit("b").1), (ACCEPTED, conflict(KeyConflict::Served)));
    h.advance(KEEP);
    h.commit_all();
    assert_eq!((h.recorder.served(), h.submit("b").1), (0, ACCEPTED));
    assert_eq!(h.submit("k").1, conflict(KeyConflict::InDoubt));
}

/// Rows bear the wall clock's time, but during a run no decision depends on it. After a restart a time in the future counts
/// as now, and keys are kept for one retention period.
#[test]
fn wall_clock_set_back_frees_no_key_early() {
    let hour = Micros(3_600_000_000);
    let mut h = Harness::new();
    h.now = Time(0) + hour + hour;
    h.deliver(Event::Clock(h.now));
    h.serve("a");
    h.advance(Micros(KEEP.0 / 2));
    let back = h.now - hour;
    h.deliver(Event::Clock(back));
    h.serve("b");
    assert!(h.store.rows.windows(2).all(|r| r[0].seq < r[1].seq));
    assert!(h.store.rows.windows(2).any(|r| r[0].at > r[1].at), "the rows show the change of the clock");
    h.restart_at(back);
    h.advance(Micros(KEEP.0 - 1));
    assert_eq!(
        (h.submit("a").1, h.submit("b").1),
        (conflict(KeyConflict::Served), conflict(KeyConflict::Served))
    );
    h.advance(Micros(1));
    h.commit_all();
    assert_eq!((h.submit("a").1, h.submit("b").1), (ACCEPTED, ACCEPTED));
}

/// A key's age after a restart comes from clocks that may be wrong by [`MAX_WALL_CLOCK_ERROR`]. The key is kept as if it were
/// younger by that error, but no longer than one retention period from the restart.
#[test]
fn served_key_keeps_its_remaining_time_after_a_restart() {
    let kept_after = [
        (Micros(0), KEEP),
        (Micros(KEEP.0 / 2), KEEP),
        (MAX_WALL_CLOCK_ERROR, KEEP),
        (Micros(MAX_WALL_CLOCK_ERROR.0 + KEEP.0 / 2), Micros(KEEP.0 / 2)),
        (Micros(MAX_WALL_CLOCK_ERROR.0 + KEEP.0 - 2), Micros(2)),
    ];
    for (away, kept) in kept_after {
        let mut h = Harness::new();
        h.serve("a");
        h.now = h.now + away; // the proxy is not running meanwhile
        h.restart();
        h.advance(Micros(kept.0 - 1));
        assert_eq!(h.submit("a").1, conflict(KeyConflict::Served), "{away:?}");
        h.advance(Micros(1));
        h.commit_all();
        assert_eq!((h.store.state(&key("a")), h.submit("a").1), (None, ACCEPTED), "{away:?}");
    }
}

/// Classes whose backends discard repeats may have several attempts in flight. The key's state follows from all of them.
#[test]
fn worst_outcome_of_several_attempts_counts_until_one_is_served() {
    let mut h = Harness::new();
    let id = h.submit_accepted("k");
    h.request_intent(id, 0);
    h.request_intent(id, 1);
    assert_eq!(h.stage(id, 1), AttemptStage::Denied, "the claim of the key is still pending");
    h.commit_all();
    h.send(id, 0);
    h.request_intent(id, 2);
    h.commit_all();
    h.send(id, 2);
    h.end_attempt(id, 0, Outcome::Reset);
    assert_eq!(h.submit("k").1, conflict(KeyConflict::InFlight));
    h.end_attempt(id, 2, Outcome::Rejected);
    assert_eq!(h.submit("k").1, conflict(KeyConflict::InDoubt));
    h.request_intent(id, 3);
    h.commit_all();
    assert_eq!((h.store.state(&key("k")), h.stage(id, 3)), (Some(KeyState::InFlight), AttemptStage::Granted));
    h.send(id, 3);
    h.end_attempt(id, 3, Outcome::Ok);
    assert_eq!(h.submit("k").1, conflict(KeyConflict::Served));
}
