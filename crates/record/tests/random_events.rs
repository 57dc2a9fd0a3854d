//! Whatever happens, in whatever order: no key runs twice, every key that was not executed can be freed, and every request
//! for a permit is answered in time.

mod common;

use common::{AttemptStage, World, WAIT};
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

/// A thing that happens; `n` says to which, or which way.
#[derive(Clone, Copy, Debug)]
enum Op {
    Ask(usize),
    Want(usize),
    Commit(usize),
    Send(usize),
    BoxRuns(usize),
    End(usize, usize),
    Withdraw(usize),
    Over(usize),
    Pass(u64),
    Fail(usize),
    Up,
    Restart,
    Resolve(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4usize).prop_map(Op::Ask),
        8 => (0..8usize).prop_map(Op::Want),
        8 => (1..6usize).prop_map(Op::Commit),
        6 => (0..8usize).prop_map(Op::Send),
        3 => (0..8usize).prop_map(Op::BoxRuns),
        5 => (0..8usize, 0..8usize).prop_map(|(n, o)| Op::End(n, o)),
        2 => (0..8usize).prop_map(Op::Withdraw),
        5 => (0..8usize).prop_map(Op::Over),
        3 => (1_000..80_000u64).prop_map(Op::Pass),
        2 => (0..5usize).prop_map(Op::Fail),
        3 => Just(Op::Up),
        1 => Just(Op::Restart),
        2 => (0..4usize).prop_map(Op::Resolve),
    ]
}

/// The n-th attempt at that step.
fn at(w: &World, n: usize, is: impl Fn(AttemptStage) -> bool) -> Option<(RequestId, u32)> {
    let each = w.requests.iter().flat_map(|(id, o)| o.attempts.iter().map(move |(no, t)| (*id, no.0, *t)));
    let found: Vec<(RequestId, u32)> = each.filter(|(.., t)| is(*t)).map(|(id, no, _)| (id, no)).collect();
    (!found.is_empty()).then(|| found[n % found.len()])
}

fn waits(t: AttemptStage) -> bool {
    matches!(t, AttemptStage::Asked(_))
}

fn act(w: &mut World, op: Op) {
    match op {
        Op::Ask(n) => drop(w.ask(KEYS[n])),
        Op::Want(n) => want(w, n),
        Op::Commit(n) => w.commit(n),
        Op::Send(n) => {
            // A request that is over sends nothing.
            if let Some((id, no)) =
                at(w, n, |t| t == AttemptStage::Permitted).filter(|(id, _)| !w.requests[id].over)
            {
                w.send(id, no);
            }
        }
        Op::BoxRuns(n) => {
            if let Some(which) = w.at_backends.iter().nth(n).cloned() {
                w.box_runs(which, n % 2 == 0);
            }
        }
        Op::End(n, o) => {
            if let Some((id, no)) = at(w, n, |t| t == AttemptStage::Sent) {
                end(w, id, no, OUTCOMES[o]);
            }
        }
        Op::Withdraw(n) => {
            if let Some((id, no)) = at(w, n, |t| t == AttemptStage::Permitted || waits(t)) {
                w.withdraw(id, no);
            }
        }
        Op::Over(n) => over(w, n),
        Op::Pass(span) => w.pass(Micros(span)),
        Op::Fail(durable) => w.fail(durable),
        Op::Up => w.tell(Event::StoreUp),
        Op::Restart => w.restart(),
        Op::Resolve(n) => resolve(w, KEYS[n]),
    }
}

/// As the engine: a further attempt only where none is out and none may have run.
fn want(w: &mut World, n: usize) {
    let next = |o: &common::TrackedRequest| {
        !o.over && o.attempts.values().all(|t| matches!(t, AttemptStage::Ended | AttemptStage::Denied))
    };
    let found: Vec<RequestId> = w.requests.iter().filter(|(_, o)| next(o)).map(|(id, _)| *id).collect();
    if let Some(id) = found.get(n % found.len().max(1)) {
        let no = w.requests[id].attempts.len() as u32;
        w.want(*id, no);
    }
}

/// The outcome is one that can be: a backend that has run it does not turn it away, one that never will serves nothing.
fn end(w: &mut World, id: RequestId, no: u32, outcome: Outcome) {
    let key = w.requests[&id].key.clone().unwrap();
    let there = w.at_backends.contains(&(w.run, id, AttemptNumber(no), key));
    let outcome = match outcome {
        o if there => o,
        _ => Outcome::Reset,
    };
    if !outcome.not_executed() {
        w.end(id, no, outcome);
        return w.over(id, RequestEnding::Failed);
    }
    w.end(id, no, outcome);
}

fn over(w: &mut World, n: usize) {
    let open: Vec<RequestId> = w.requests.iter().filter(|(_, o)| !o.over).map(|(id, _)| *id).collect();
    let Some(id) = open.get(n % open.len().max(1)).copied() else { return };
    // As the engine: what has not been sent is withdrawn, before the answer.
    let unsent = |t: &AttemptStage| *t == AttemptStage::Permitted || waits(*t);
    let unsent: Vec<u32> =
        w.requests[&id].attempts.iter().filter(|(_, t)| unsent(t)).map(|(no, _)| no.0).collect();
    unsent.into_iter().for_each(|no| w.withdraw(id, no));
    w.over(id, RequestEnding::TimedOut);
}

/// A truthful operator: says nothing while the backend may yet run it.
fn resolve(w: &mut World, name: &str) {
    let key = common::key(name);
    if !w.at_backends.iter().any(|at| at.3 == key) {
        let ran = w.runs.contains_key(&key);
        w.resolve(&key, ran);
    }
}

fn check(w: &World) -> Result<(), TestCaseError> {
    for (key, runs) in &w.runs {
        prop_assert!(*runs <= 1, "{key:?} ran {runs} times");
    }
    let wait_too_long = |t: &AttemptStage| matches!(t, AttemptStage::Asked(until) if w.now >= *until);
    for (id, order) in &w.requests {
        prop_assert!(!order.attempts.values().any(wait_too_long), "{id:?} waits past its limit");
    }
    Ok(())
}

/// The store is well, and all that is under way ends.
fn calm(w: &mut World) {
    w.pass(WAIT);
    w.tell(Event::StoreUp);
    w.commit_all();
    while let Some((id, no)) = at(w, 0, |t| t == AttemptStage::Sent) {
        end(w, id, no, Outcome::Reset);
    }
    while w.requests.values().any(|o| !o.over) {
        over(w, 0);
    }
    while let Some((id, no)) = at(w, 0, |t| t == AttemptStage::Permitted) {
        w.withdraw(id, no);
    }
    while let Some(which) = w.at_backends.first().cloned() {
        w.box_runs(which, false);
    }
    w.commit_all();
}

fn settled(w: &mut World) -> Result<(), TestCaseError> {
    calm(w);
    prop_assert_eq!(w.recorder.pending_fact_count(), 0);
    for name in KEYS {
        resolve(w, name);
        w.commit_all();
        let ran = w.runs.contains_key(&common::key(name));
        let (request, verdict) = w.ask(name);
        if ran {
            // One that was left to the store is refused there.
            if verdict != KeyDecision::Conflict(KeyConflict::Served) {
                prop_assert_eq!(verdict, KeyDecision::Proceed { requires_intent: true });
                w.want(request, 0);
                w.commit_all();
                prop_assert_eq!(w.requests[&request].ended, Some(KeyDecision::Conflict(KeyConflict::Served)));
            }
        } else {
            prop_assert_eq!(verdict, KeyDecision::Proceed { requires_intent: true }, "{} never ran", name);
            w.want(request, 0);
            w.commit_all();
            prop_assert_eq!(w.step(request, 0), AttemptStage::Permitted);
        }
    }
    let head = verify(Chain::default(), w.store.rows.clone(), None);
    prop_assert!(head.is_ok(), "{:?}", head);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_and_each_that_never_ran_can_be_freed(
        ops in proptest::collection::vec(op(), 1..120), remembered in 0..4usize,
    ) {
        let mut config = common::config();
        config.bounds.served = remembered;
        let mut w = World::with(config);
        for op in ops {
            act(&mut w, op);
            check(&w)?;
        }
        settled(&mut w)?;
        check(&w)?;
    }
}
