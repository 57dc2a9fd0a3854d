//! No key is executed twice, whatever state the process is killed in, also if intents are persisted late or rejected or if
//! the store fails.
//!
//! With two kills: `cargo test --locked --release -p shaletide-model-checker --test restarts -- --ignored --nocapture`.

use shaletide_model_checker::{explore_restart_model, RestartBounds, ShellMutant, Step};
use std::time::Duration;

const TIME_LIMIT: Duration = Duration::from_secs(1_200);
/// One attempt per request, and a kill as the only fault.
const SMALL: RestartBounds = RestartBounds {
    backends: 1,
    asks: 2,
    attempts: 1,
    restarts: 1,
    failures: 0,
    resolves: 1,
    ticks: 2,
    mutant: None,
};

fn assert_exhausted(bounds: RestartBounds, states: usize, transitions: u64) {
    let found = explore_restart_model(&bounds, TIME_LIMIT);
    println!("{bounds:?}: {found:?}");
    assert_eq!(found.counterexample, None);
    assert!(found.exhausted);
    assert_eq!(
        (found.states, found.transitions),
        (states, transitions),
        "the number of states or transitions has changed"
    );
}

fn counterexample_of(mutant: ShellMutant) -> (Vec<Step>, &'static str) {
    let found =
        explore_restart_model(&RestartBounds { mutant: Some(mutant), resolves: 0, ..SMALL }, TIME_LIMIT);
    found.counterexample.unwrap_or_else(|| panic!("{mutant:?} is not detected in {} states", found.states))
}

#[test]
fn kill_at_every_state_with_an_operator_that_resolves() {
    assert_exhausted(SMALL, 44_830, 135_161);
}

#[test]
fn kill_and_a_store_failure_after_any_number_of_stored_rows() {
    assert_exhausted(RestartBounds { failures: 1, resolves: 0, ..SMALL }, 287_169, 857_603);
}

#[test]
fn kill_and_further_attempts_of_one_request() {
    assert_exhausted(RestartBounds { attempts: 2, ..SMALL }, 141_916, 588_103);
}

#[test]
#[ignore = "some minutes"]
fn two_kills_and_a_store_failure() {
    let found = explore_restart_model(&RestartBounds { restarts: 2, failures: 1, ..SMALL }, TIME_LIMIT);
    println!("{found:?}");
    assert_eq!(found.counterexample, None);
    assert!(found.exhausted);
}

#[test]
fn shell_mutants_are_detected() {
    let mutants =
        [(ShellMutant::IntentAfterSend, 7), (ShellMutant::EarlyCommit, 11), (ShellMutant::FreesInFlight, 11)];
    for (mutant, steps) in mutants {
        let (path, rule) = counterexample_of(mutant);
        println!("{mutant:?}: {rule}, {} steps: {path:?}", path.len());
        assert_eq!(rule, "a key that may have run is sent again");
        assert!(path.contains(&Step::Kill) && path.len() == steps, "{path:?}");
    }
}

/// The recorder rejects the keys that it knows; the constraint of the store rejects the others.
#[test]
fn recorder_without_the_keys_in_flight_sends_nothing_twice() {
    assert_exhausted(
        RestartBounds { mutant: Some(ShellMutant::ForgetsInFlight), resolves: 0, ..SMALL },
        23_453,
        70_754,
    );
}
