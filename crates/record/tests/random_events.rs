//! Random sequences of events: no key is executed twice, every key that was not executed can be freed, and every requested
//! intent is answered in time.

mod common;

use common::{AttemptStage, Harness, WAIT};
use proptest::prelude::*;
use shaletide_record::chain::{verify, Chain};
use shaletide_record::*;
use shaletide_types::*;

const KEYS: [&str; 4] = ["a", "b", "c", "d"];

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// An operation on the harness. Its numbers select the key, the attempt, the outcome or the amount.
#[derive(Clone, Copy, Debug)]
enum Op {
    Submit(usize),
    RequestIntent(usize),
    Commit(usize),
    Send(usize),
    BackendExecutes(usize),
    EndAttempt(usize, usize),
    Withdraw(usize),
    EndRequest(usize),
    AdvanceTime(u64),
    FailWrites(usize),
    StoreRecovers,
    Restart,
    Resolve(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4usize).prop_map(Op::Submit),
        8 => (0..8usize).prop_map(Op::RequestIntent),
        8 => (1..6usize).prop_map(Op::Commit),
        6 => (0..8usize).prop_map(Op::Send),
        3 => (0..8usize).prop_map(Op::BackendExecutes),
        5 => (0..8usize, 0..8usize).prop_map(|(n, o)| Op::EndAttempt(n, o)),
        2 => (0..8usize).prop_map(Op::Withdraw),
        5 => (0..8usize).prop_map(Op::EndRequest),
        3 => (1_000..80_000u64).prop_map(Op::AdvanceTime),
        2 => (0..5usize).prop_map(Op::FailWrites),
        3 => Just(Op::StoreRecovers),
        1 => Just(Op::Restart),
        2 => (0..4usize).prop_map(Op::Resolve),
    ]
}

/// Returns the n-th attempt in a matching stage, counted modulo their number.
fn at(h: &Harness, n: usize, is: impl Fn(AttemptStage) -> bool) -> Option<(RequestId, u32)> {
    let each = h.requests.iter().flat_map(|(id, o)| o.attempts.iter().map(move |(no, t)| (*id, no.0, *t)));
    let found: Vec<(RequestId, u32)> = each.filter(|(.., t)| is(*t)).map(|(id, no, _)| (id, no)).collect();
    (!found.is_empty()).then(|| found[n % found.len()])
}

fn awaits_intent(t: AttemptStage) -> bool {
    matches!(t, AttemptStage::AwaitingIntent(_))
}

fn apply(h: &mut Harness, op: Op) {
    match op {
        Op::Submit(n) => drop(h.submit(KEYS[n])),
        Op::RequestIntent(n) => request_intent(h, n),
        Op::Commit(n) => h.commit(n),
        Op::Send(n) => {
            // A request that has ended sends no further attempt.
            if let Some((id, no)) =
                at(h, n, |t| t == AttemptStage::Granted).filter(|(id, _)| !h.requests[id].over)
            {
                h.send(id, no);
            }
        }
        Op::BackendExecutes(n) => {
            if let Some(which) = h.at_backends.iter().nth(n).cloned() {
                h.finish_at_backend(which, n % 2 == 0);
            }
        }
        Op::EndAttempt(n, o) => {
            if let Some((id, no)) = at(h, n, |t| t == AttemptStage::Sent) {
                end_attempt(h, id, no, OUTCOMES[o]);
            }
        }
        Op::Withdraw(n) => {
            if let Some((id, no)) = at(h, n, |t| t == AttemptStage::Granted || awaits_intent(t)) {
                h.withdraw(id, no);
            }
        }
        Op::EndRequest(n) => end_request(h, n),
        Op::AdvanceTime(span) => h.advance(Micros(span)),
        Op::FailWrites(durable) => h.fail_writes(durable),
        Op::StoreRecovers => h.deliver(Event::StoreUp),
        Op::Restart => h.restart(),
        Op::Resolve(n) => resolve(h, KEYS[n]),
    }
}

/// Requests an intent as the engine does: only if no attempt of the request is in flight and none may have been executed.
fn request_intent(h: &mut Harness, n: usize) {
    let next = |o: &common::TrackedRequest| {
        !o.over && o.attempts.values().all(|t| matches!(t, AttemptStage::Ended | AttemptStage::Denied))
    };
    let found: Vec<RequestId> = h.requests.iter().filter(|(_, o)| next(o)).map(|(id, _)| *id).collect();
    if let Some(id) = found.get(n % found.len().max(1)) {
        let no = h.requests[id].attempts.len() as u32;
        h.request_intent(*id, no);
    }
}

/// Ends an attempt with a possible outcome: a backend that has executed it cannot reject it, and one that never will cannot
/// serve it.
fn end_attempt(h: &mut Harness, id: RequestId, no: u32, outcome: Outcome) {
    let key = h.requests[&id].key.clone().unwrap();
    let is_at_backend = h.at_backends.contains(&(h.run, id, AttemptNumber(no), key));
    let outcome = match outcome {
        o if is_at_backend => o,
        _ => Outcome::Reset,
    };
    if !outcome.not_executed() {
        h.end_attempt(id, no, outcome);
        return h.end_request(id, RequestEnding::Failed);
    }
    h.end_attempt(id, no, outcome);
}

fn end_request(h: &mut Harness, n: usize) {
    let open: Vec<RequestId> = h.requests.iter().filter(|(_, o)| !o.over).map(|(id, _)| *id).collect();
    let Some(id) = open.get(n % open.len().max(1)).copied() else { return };
    // As in the engine, attempts that have not been sent are withdrawn before the request ends.
    let unsent = |t: &AttemptStage| *t == AttemptStage::Granted || awaits_intent(*t);
    let unsent: Vec<u32> =
        h.requests[&id].attempts.iter().filter(|(_, t)| unsent(t)).map(|(no, _)| no.0).collect();
    unsent.into_iter().for_each(|no| h.withdraw(id, no));
    h.end_request(id, RequestEnding::TimedOut);
}

/// Resolves a key truthfully, and not while a backend may still execute an attempt.
fn resolve(h: &mut Harness, name: &str) {
    let key = common::key(name);
    if !h.at_backends.iter().any(|at| at.3 == key) {
        let ran = h.runs.contains_key(&key);
        h.resolve(&key, ran);
    }
}

fn check(h: &Harness) -> Result<(), TestCaseError> {
    for (key, runs) in &h.runs {
        prop_assert!(*runs <= 1, "{key:?} was executed {runs} times");
    }
    let waits_too_long =
        |t: &AttemptStage| matches!(t, AttemptStage::AwaitingIntent(until) if h.now >= *until);
    for (id, tracked) in &h.requests {
        prop_assert!(
            !tracked.attempts.values().any(waits_too_long),
            "an intent of {id:?} was not answered in time"
        );
    }
    Ok(())
}

/// Brings the store back and ends all open requests and attempts.
fn finish_all(h: &mut Harness) {
    h.advance(WAIT);
    h.deliver(Event::StoreUp);
    h.commit_all();
    while let Some((id, no)) = at(h, 0, |t| t == AttemptStage::Sent) {
        end_attempt(h, id, no, Outcome::Reset);
    }
    while h.requests.values().any(|o| !o.over) {
        end_request(h, 0);
    }
    while let Some((id, no)) = at(h, 0, |t| t == AttemptStage::Granted) {
        h.withdraw(id, no);
    }
    while let Some(which) = h.at_backends.first().cloned() {
        h.finish_at_backend(which, false);
    }
    h.commit_all();
}

fn check_final_state(h: &mut Harness) -> Result<(), TestCaseError> {
    finish_all(h);
    prop_assert_eq!(h.recorder.pending_fact_count(), 0);
    for name in KEYS {
        resolve(h, name);
        h.commit_all();
        let ran = h.runs.contains_key(&common::key(name));
        let (request, key_decision) = h.submit(name);
        if ran {
            // A served key that the recorder has left to the store is rejected there.
            if key_decision != KeyDecision::Conflict(KeyConflict::Served) {
                prop_assert_eq!(key_decision, KeyDecision::Proceed { requires_intent: true });
                h.request_intent(request, 0);
                h.commit_all();
                prop_assert_eq!(h.requests[&request].ended, Some(KeyDecision::Conflict(KeyConflict::Served)));
            }
        } else {
            prop_assert_eq!(
                key_decision,
                KeyDecision::Proceed { requires_intent: true },
                "{} was never executed",
                name
            );
            h.request_intent(request, 0);
            h.commit_all();
            prop_assert_eq!(h.stage(request, 0), AttemptStage::Granted);
        }
    }
    let head = verify(Chain::default(), h.store.rows.clone(), None);
    prop_assert!(head.is_ok(), "{:?}", head);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_and_each_that_never_ran_can_be_freed(
        ops in proptest::collection::vec(op(), 1..120), max_served in 0..4usize,
    ) {
        let mut config = common::config();
        config.bounds.served = max_served;
        let mut h = Harness::with(config);
        for op in ops {
            apply(&mut h, op);
            check(&h)?;
        }
        check_final_state(&mut h)?;
        check(&h)?;
    }
}
