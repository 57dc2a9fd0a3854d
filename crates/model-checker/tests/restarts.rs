//! Kills at every state, permits that are late, refused or never come, a store that fails: no key runs twice.
//!
//! With two kills: `cargo test --locked --release -p shaletide-model-checker --test restarts -- --ignored --nocapture`.

use shaletide_model_checker::{restarts, Restarts, ShellMutant, Step};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(1_200);
/// One attempt a request, and nothing goes wrong but a kill.
const SMALL: Restarts = Restarts {
    boxes: 1,
    asks: 2,
    attempts: 1,
    restarts: 1,
    failures: 0,
    resolves: 1,
    ticks: 2,
    mutant: None,
};

fn holds(bounds: Restarts, states: usize, transitions: u64) {
    let found = restarts(&bounds, LONG);
    println!("{bounds:?}: {found:?}");
    assert_eq!(found.counterexample, None);
    assert!(found.exhausted);
    assert_eq!((found.states, found.transitions), (states, transitions), "a branch was lost or has come");
}

fn breaks(mutant: ShellMutant) -> (Vec<Step>, &'static str) {
    let found = restarts(&Restarts { mutant: Some(mutant), resolves: 0, ..SMALL }, LONG);
    found.counterexample.unwrap_or_else(|| panic!("{mutant:?} is not found: {} states", found.states))
}

#[test]
fn a_kill_at_every_state_and_an_operator_that_resolves() {
    holds(SMALL, 44_830, 135_161);
}

#[test]
fn a_kill_and_a_store_that_fails_with_any_part_of_what_it_had_on_record() {
    holds(Restarts { failures: 1, resolves: 0, ..SMALL }, 287_169, 857_603);
}

#[test]
fn a_kill_and_further_attempts_of_one_request() {
    holds(Restarts { attempts: 2, ..SMALL }, 141_916, 588_103);
}

#[test]
#[ignore = "some minutes"]
fn two_kills_and_all_else() {
    let found = restarts(&Restarts { restarts: 2, failures: 1, ..SMALL }, LONG);
    println!("{found:?}");
    assert_eq!(found.counterexample, None);
    assert!(found.exhausted);
}

#[test]
fn an_intent_behind_the_send_a_commit_told_early_and_a_start_that_frees_are_found() {
    let mutants =
        [(ShellMutant::IntentAfterSend, 7), (ShellMutant::EarlyCommit, 11), (ShellMutant::FreesInFlight, 11)];
    for (mutant, steps) in mutants {
        let (way, rule) = breaks(mutant);
        println!("{mutant:?}: {rule}, {} steps: {way:?}", way.len());
        assert_eq!(rule, "a key that may have run is sent again");
        assert!(way.contains(&Step::Kill) && way.len() == steps, "{way:?}");
    }
}

/// Memory answers what it knows; the store's constraint has the last word.
#[test]
fn a_recorder_that_is_not_told_of_what_was_in_flight_sends_nothing_twice() {
    holds(Restarts { mutant: Some(ShellMutant::ForgetsInFlight), resolves: 0, ..SMALL }, 23_453, 70_754);
}
