//! Scripts: every window of a request, two of one key, late commits, a store that is down, operators, restarts, time.

mod common;

use common::{key, AttemptStage, World, KEEP, WAIT};
use shaletide_record::*;
use shaletide_types::*;

const GO: KeyDecision = KeyDecision::Proceed { requires_intent: true };
const SECOND: KeyDecision = KeyDecision::Reject(Micros(1_000_000));

fn conflict(why: KeyConflict) -> KeyDecision {
    KeyDecision::Conflict(why)
}

/// Each window of a request: what a second one of its key hears in it, and what after a kill and a restart in it.
#[test]
fn key_is_decided_rightly_in_every_state_and_after_a_kill_in_it() {
    type Step = fn(&mut World, RequestId);
    let steps: [(Step, KeyDecision, KeyDecision); 7] = [
        (|_, _| {}, SECOND, GO),             // before its intent
        (|w, id| w.want(id, 0), SECOND, GO), // intent queued
        (|w, _| w.commit_all(), conflict(KeyConflict::InFlight), conflict(KeyConflict::InDoubt)), // durable, not sent
        (|w, id| w.send(id, 0), conflict(KeyConflict::InFlight), conflict(KeyConflict::InDoubt)), // sent
        (|w, id| w.end(id, 0, Outcome::Ok), conflict(KeyConflict::Served), conflict(KeyConflict::InDoubt)), // not recorded
        (|w, _| w.commit_all(), conflict(KeyConflict::Served), conflict(KeyConflict::Served)), // recorded, not answered
        (
            |w, id| w.over(id, RequestEnding::Served(AttemptNumber(0))),
            conflict(KeyConflict::Served),
            conflict(KeyConflict::Served),
        ),
    ];
    for window in 0..steps.len() {
        let mut w = World::new();
        let id = w.go("k");
        steps[..=window].iter().for_each(|(step, ..)| step(&mut w, id));
        assert_eq!(w.ask("k").1, steps[window].1, "running, window {window}");
        w.restart();
        assert_eq!(w.ask("k").1, steps[window].2, "after a kill, window {window}");
        assert!(w.runs.values().all(|n| *n <= 1));
    }
}

#[test]
fn facts_of_a_request_are_recorded_in_order() {
    let mut w = World::new();
    w.serve("k");
    assert_eq!(w.kinds(), ["asked", "intent", "outcome", "answer"]);
    assert!(w.store.rows.iter().all(|r| r.key == Some(key("k")) && r.request == Some(1)));
    let Fact::Intent { attempt: 0, seen } = Fact::of(&w.store.rows[1]) else { panic!() };
    assert_eq!((seen.backend.as_str(), seen.pool.as_str(), seen.list), ("box-0", "p", 3));
}

#[test]
fn possibly_executed_attempt_is_in_doubt_at_once_and_after_a_restart() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error, Outcome::Cancelled] {
        let mut w = World::new();
        let id = w.go("k");
        w.want(id, 0);
        w.commit_all();
        w.send(id, 0);
        w.end(id, 0, outcome);
        assert_eq!(w.ask("k").1, conflict(KeyConflict::InDoubt), "{outcome:?}");
        w.over(id, RequestEnding::Failed);
        w.commit_all();
        assert_eq!(w.store.state(&key("k")), Some(KeyState::InDoubt));
        w.restart();
        assert_eq!(w.ask("k").1, conflict(KeyConflict::InDoubt), "{outcome:?}");
    }
}

#[test]
fn key_of_an_attempt_not_executed_is_free_once_that_is_durable() {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    w.commit_all();
    w.send(id, 0);
    w.end(id, 0, Outcome::Rejected);
    assert_eq!(w.ask("k").1, SECOND, "it may go again itself");
    w.want(id, 1);
    w.commit_all();
    assert_eq!(w.step(id, 1), AttemptStage::Permitted);
    w.withdraw(id, 1);
    w.over(id, RequestEnding::Rejected);
    assert_eq!(w.ask("k").1, SECOND, "not durable yet");
    w.commit_all();
    assert_eq!(w.store.state(&key("k")), None);
    assert_eq!(w.ask("k").1, GO);
    assert_eq!(w.recorder.unsettled(), 1);
}

/// Its request timed out, its attempt did not: the doubt ends by the attempt's own outcome.
#[test]
fn attempt_that_outlives_its_request_keeps_the_key_in_flight() {
    for (outcome, then) in [(Outcome::Ok, Some(KeyConflict::Served)), (Outcome::ConnectFailed, None)] {
        let mut w = World::new();
        let id = w.go("k");
        w.want(id, 0);
        w.commit_all();
        w.send(id, 0);
        w.over(id, RequestEnding::TimedOut);
        w.commit_all();
        assert_eq!(w.ask("k").1, conflict(KeyConflict::InFlight));
        w.end(id, 0, outcome);
        w.commit_all();
        assert_eq!(w.ask("k").1, then.map_or(GO, KeyDecision::Conflict));
    }
}

/// Two requests of one key never meet in one group commit; if another proxy's got there first, the store says so.
#[test]
fn one_of_two_requests_with_one_key_is_sent() {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    assert_eq!(w.ask("k").1, SECOND);
    w.commit_all();
    assert_eq!(w.step(id, 0), AttemptStage::Permitted);
    for state in [KeyState::InFlight, KeyState::InDoubt, KeyState::Served] {
        let mut w = World::new();
        w.store.set(key("k"), state);
        let id = w.go("k");
        w.want(id, 0);
        w.commit_all();
        assert_eq!(w.step(id, 0), AttemptStage::Denied);
        assert_eq!(w.requests[&id].ended, Some(KeyDecision::Conflict(state.into())));
        w.over(id, RequestEnding::Failed);
        w.commit_all();
        assert_eq!(w.store.state(&key("k")), Some(state), "what another holds stays");
    }
}

#[test]
fn late_intent_is_denied_and_withdrawn_once_committed() {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    assert_eq!(w.recorder.wake_at(), Some(w.now + WAIT));
    w.pass(WAIT);
    assert_eq!(w.step(id, 0), AttemptStage::Denied);
    assert_eq!(w.requests[&id].ended, Some(SECOND));
    w.over(id, RequestEnding::Rejected);
    assert_eq!(w.ask("k").1, SECOND, "what is late may still take it");
    assert_eq!(w.ask("other").1, SECOND, "the store is stalled");
    w.commit(2); // it was asked, and its intent
    assert_eq!(w.store.state(&key("k")), Some(KeyState::InFlight));
    assert_eq!(w.ask("k").1, SECOND);
    w.commit_all();
    assert_eq!(w.kinds(), ["asked", "intent", "answer", "withdrawn"]);
    assert_eq!(w.ask("k").1, GO);
}

/// The commit is told at the very moment at which the wait is over, before anything else was.
#[test]
fn commit_at_the_intent_deadline_is_late() {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    w.now = w.now + WAIT;
    w.commit_all();
    assert_eq!(w.step(id, 0), AttemptStage::Denied);
    assert!(w.kinds().contains(&"withdrawn"));
}

/// Called back while its intent waits, and the store refuses it: what another holds is not freed.
#[test]
fn withdrawal_waits_for_the_commit_outcome_of_its_intent() {
    let mut w = World::new();
    w.store.set(key("k"), KeyState::Served);
    let id = w.go("k");
    w.want(id, 0);
    w.withdraw(id, 0);
    w.commit_all();
    w.want(id, 1);
    w.commit_all();
    w.over(id, RequestEnding::Failed);
    w.commit_all();
    assert_eq!(w.step(id, 1), AttemptStage::Denied);
    assert_eq!(w.store.state(&key("k")), Some(KeyState::Served));
    assert_eq!(w.kinds(), ["asked", "answer"]);
}

/// Its write failed, and nobody can tell whether it took the key; nothing was sent, so it is given back.
#[test]
fn requests_are_rejected_while_the_store_is_down_and_accepted_after() {
    for durable in [0, 2] {
        let mut w = World::new();
        let id = w.go("k");
        w.want(id, 0);
        w.fail(durable);
        assert_eq!(w.step(id, 0), AttemptStage::Denied);
        assert_eq!(w.requests[&id].ended, Some(SECOND));
        w.tell(Event::StoreDown { why: StoreFailure::Full, retry_after_hint: Micros(5_000_000) });
        w.pass(Micros(2_000_000));
        assert_eq!(w.ask("k").1, KeyDecision::Reject(Micros(3_000_000)), "not before it is tried again");
        assert_eq!(w.ask("other").1, KeyDecision::Reject(Micros(3_000_000)));
        w.over(id, RequestEnding::Rejected);
        assert!(w.store.queue.is_empty(), "it is left alone");
        w.tell(Event::StoreUp);
        w.commit_all();
        assert_eq!(w.store.state(&key("k")), None);
        assert_eq!(w.ask("k").1, GO);
    }
}

/// Served, left to the store for want of room, and asked again while the store fails: it stays served.
#[test]
fn failed_write_frees_no_key_of_another_request() {
    let mut config = common::config();
    config.bounds.served = 0;
    let mut w = World::with(config);
    w.serve("k");
    let again = w.go("k");
    w.want(again, 0);
    w.fail(0);
    w.over(again, RequestEnding::Rejected);
    w.tell(Event::StoreUp);
    w.commit_all();
    assert_eq!(w.store.state(&key("k")), Some(KeyState::Served));
}

/// Outcomes and answers outlive a store that fails under them, in their order.
#[test]
fn outcomes_are_resent_when_the_store_is_back() {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    w.commit_all();
    w.send(id, 0);
    w.end(id, 0, Outcome::Ok);
    w.fail(0);
    w.over(id, RequestEnding::Served(AttemptNumber(0)));
    assert_eq!((w.recorder.pending_fact_count(), w.ask("k").1), (2, conflict(KeyConflict::Served)));
    w.tell(Event::StoreUp);
    w.commit_all();
    assert_eq!(w.kinds(), ["asked", "intent", "outcome", "answer", "turned"]);
    assert_eq!((w.recorder.pending_fact_count(), w.recorder.served()), (0, 1));
}

fn in_doubt() -> World {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    w.commit_all();
    w.send(id, 0);
    w.restart();
    w
}

#[test]
fn operator_resolves_keys_in_doubt_only() {
    for (ran, state, then) in
        [(false, None, GO), (true, Some(KeyState::Served), conflict(KeyConflict::Served))]
    {
        let mut w = in_doubt();
        w.resolve(&key("k"), ran);
        assert_eq!(w.ask("k").1, conflict(KeyConflict::InDoubt), "until it is durable");
        w.resolve(&key("k"), ran);
        w.commit_all();
        assert_eq!(w.replies, [ResolveResult::NotYet, ResolveResult::Done]);
        assert_eq!((w.store.state(&key("k")), w.ask("k").1), (state, then));
        let resolved = w.store.rows.iter().find(|r| r.kind == "resolved").expect("it is a fact");
        let (by, note) = ("ann".into(), "asked the box".into());
        assert_eq!(Fact::of(resolved), Fact::Resolved { by, ran, note });
    }
    let mut w = World::new();
    w.serve("served");
    let id = w.go("k");
    w.want(id, 0);
    w.commit_all();
    ["served", "k", "unheard"].iter().for_each(|k| w.resolve(&key(k), false));
    assert_eq!(w.replies, [ResolveResult::Served, ResolveResult::InFlight, ResolveResult::Unknown]);
    let mut w = in_doubt();
    w.fail(0);
    w.resolve(&key("k"), false);
    assert_eq!(w.replies, [ResolveResult::StoreDown]);
    assert_eq!(w.ask("k").1, conflict(KeyConflict::InDoubt));
}

#[test]
fn served_key_expires_and_key_in_doubt_does_not() {
    let mut w = in_doubt();
    w.serve("a");
    w.pass(Micros(KEEP.0 / 2));
    w.serve("b");
    w.pass(Micros(KEEP.0 / 2));
    w.commit_all();
    assert_eq!((w.store.state(&key("a")), w.store.state(&key("b"))), (None, Some(KeyState::Served)));
    assert_eq!((w.ask("a").1, w.ask("b").1), (GO, conflict(KeyConflict::Served)));
    w.pass(KEEP);
    w.commit_all();
    assert_eq!((w.recorder.served(), w.ask("b").1), (0, GO));
    assert_eq!(w.ask("k").1, conflict(KeyConflict::InDoubt));
}

/// Times are the wall clock's, for people. In a run nothing goes by them; across a restart a time that lies ahead
/// counts as now, and what was kept for half its time is kept for the other half.
#[test]
fn wall_clock_set_back_frees_no_key_early() {
    let hour = Micros(3_600_000_000);
    let mut w = World::new();
    w.now = Time(0) + hour + hour;
    w.tell(Event::Clock(w.now));
    w.serve("a");
    w.pass(Micros(KEEP.0 / 2));
    let back = w.now - hour;
    w.tell(Event::Clock(back));
    w.serve("b");
    assert!(w.store.rows.windows(2).all(|r| r[0].seq < r[1].seq));
    assert!(w.store.rows.windows(2).any(|r| r[0].at > r[1].at), "it shows in the rows");
    w.restart_at(back);
    w.pass(Micros(KEEP.0 - 1));
    assert_eq!((w.ask("a").1, w.ask("b").1), (conflict(KeyConflict::Served), conflict(KeyConflict::Served)));
    w.pass(Micros(1));
    w.commit_all();
    assert_eq!((w.ask("a").1, w.ask("b").1), (GO, GO));
}

/// A key's age across a restart is told by clocks that may be wrong by [`MAX_WALL_CLOCK_ERROR`]: it is kept as if it were
/// that much younger, though no longer than its whole time from the restart.
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
        let mut w = World::new();
        w.serve("a");
        w.now = w.now + away; // no program runs meanwhile
        w.restart();
        w.pass(Micros(kept.0 - 1));
        assert_eq!(w.ask("a").1, conflict(KeyConflict::Served), "{away:?}");
        w.pass(Micros(1));
        w.commit_all();
        assert_eq!((w.store.state(&key("a")), w.ask("a").1), (None, GO), "{away:?}");
    }
}

/// Classes whose backends drop repeats may have several attempts out; the key stands by all of them.
#[test]
fn worst_outcome_of_several_attempts_counts_until_one_is_served() {
    let mut w = World::new();
    let id = w.go("k");
    w.want(id, 0);
    w.want(id, 1);
    assert_eq!(w.step(id, 1), AttemptStage::Denied, "it is not known yet whether the key is its own");
    w.commit_all();
    w.send(id, 0);
    w.want(id, 2);
    w.commit_all();
    w.send(id, 2);
    w.end(id, 0, Outcome::Reset);
    assert_eq!(w.ask("k").1, conflict(KeyConflict::InFlight));
    w.end(id, 2, Outcome::Rejected);
    assert_eq!(w.ask("k").1, conflict(KeyConflict::InDoubt));
    w.want(id, 3);
    w.commit_all();
    assert_eq!(
        (w.store.state(&key("k")), w.step(id, 3)),
        (Some(KeyState::InFlight), AttemptStage::Permitted)
    );
    w.send(id, 3);
    w.end(id, 3, Outcome::Ok);
    assert_eq!(w.ask("k").1, conflict(KeyConflict::Served));
}
