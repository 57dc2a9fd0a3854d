//! Ten mutants: each is found, by a shortest counterexample.

use shaletide_engine::monitor::Rule;
use shaletide_engine::Mutant;
use shaletide_model_checker::*;

fn with_mutant(world: &World, mutant: Mutant) -> impl Fn() -> Node<Chooser> + Sync + '_ {
    move || {
        let mut node = Node::start(world);
        node.engine.set_mutant(Some(mutant));
        node
    }
}

/// The counterexample that is found, in so many states.
fn look(world: &World, mutant: Mutant, limits: Limits) -> Option<Counterexample> {
    let ends_count = mutant == Mutant::WindowStartsAtEnd;
    explore_from(world, &with_mutant(world, mutant), ends_count, limits).counterexample
}

/// Explores the world with that bug; the steps, the rule that is broken, and the timeline.
fn found(name: &str, mutant: Mutant) -> (usize, Rule, String) {
    let world = named(name).expect("a world of that name");
    let c =
        look(&world, mutant, Limits::default()).unwrap_or_else(|| panic!("{mutant:?}: nothing in {name}"));
    let text = timeline(&world, &with_mutant(&world, mutant), &c);
    println!("{mutant:?} in {name}, {} steps\n{text}\n", c.steps.len());
    (c.steps.len(), c.violation.rule, text)
}

fn steps(name: &str, mutant: Mutant) -> (usize, Rule) {
    let (steps, rule, _) = found(name, mutant);
    (steps, rule)
}

#[test]
fn a_late_success_is_answered_too() {
    assert_eq!(steps("race", Mutant::LateSuccess), (5, Rule::OneAnswer));
}

#[test]
fn an_end_after_the_last_byte_is_taken_to_mean_never_ran() {
    assert_eq!(steps("edge", Mutant::NotExecutedAfterLastByte), (6, Rule::HarmlessRejection));
}

#[test]
fn a_window_is_measured_from_the_end() {
    assert_eq!(steps("leaving", Mutant::WindowStartsAtEnd), (7, Rule::KeyedInScopeAndWindow));
}

#[test]
fn a_drain_is_not_asked_for_at_the_first_byte() {
    assert_eq!(steps("race", Mutant::StaleDrainState), (4, Rule::Draining));
}

#[test]
fn a_hedge_is_left_running() {
    assert_eq!(steps("race", Mutant::HedgeNotCancelled), (5, Rule::NoLeftovers));
}

#[test]
fn a_client_that_left_is_answered() {
    assert_eq!(steps("race", Mutant::AnswerAfterDisconnect), (2, Rule::NoLeftovers));
}

#[test]
fn a_refusal_after_running() {
    assert_eq!(steps("edge", Mutant::RejectedAfterExecution), (4, Rule::HarmlessRejection));
}

#[test]
fn a_connection_with_bytes_behind_is_used_again() {
    assert_eq!(steps("reuse", Mutant::ReusedWithExcessBytes), (7, Rule::CleanConnection));
}

#[test]
fn a_timer_outlives_its_request() {
    assert_eq!(steps("race", Mutant::TimerOutlivesRequest), (2, Rule::NoLeftovers));
}

#[test]
fn a_whole_list_does_not_drain_what_it_lacks() {
    assert_eq!(steps("pools", Mutant::DrainMissedInSnapshot), (4, Rule::Draining));
    // There the requests have come before the first step.
    assert_eq!(steps("lost", Mutant::DrainMissedInSnapshot), (3, Rule::Draining));
}

#[test]
fn a_counterexample_says_when_who_and_what() {
    let (_, _, text) = found("race", Mutant::StaleDrainState);
    let expected = "1.  0 ms  client: request 0 comes, Safe, with 3 ms left
  2.  0 ms  chooser: attempt 0 of request 0 at box 0
               -> open connection 0 to box 0
  3.  0 ms  list of pool 0: Delta [box 0 Draining in cell 0]
  4.  0 ms  box 0: connection 0 is up
               -> send attempt 0 of request 0 on connection 0
broken: nothing new to a box after its drain was told: box 0 is sent something new, 0 ms after it was told not to be";
    assert_eq!(text.trim_start(), expected);
}

/// No world in which requests come has a shorter one: each finds each bug as late or later, as far as a million
/// states go.
#[test]
#[ignore = "minutes"]
fn no_world_has_a_shorter_counterexample() {
    let shortest = [
        (Mutant::LateSuccess, 5),
        (Mutant::NotExecutedAfterLastByte, 6),
        (Mutant::WindowStartsAtEnd, 7),
        (Mutant::StaleDrainState, 4),
        (Mutant::HedgeNotCancelled, 5),
        (Mutant::AnswerAfterDisconnect, 2),
        (Mutant::RejectedAfterExecution, 4),
        (Mutant::ReusedWithExcessBytes, 7),
        (Mutant::TimerOutlivesRequest, 2),
        (Mutant::DrainMissedInSnapshot, 4),
    ];
    for (mutant, least) in shortest {
        let steps = WORLDS.iter().filter_map(|(name, _)| {
            let world = named(name).filter(|world| !world.at_once)?;
            Some(look(&world, mutant, Limits { states: 1_000_000, ..Limits::default() })?.steps.len())
        });
        assert_eq!(steps.min(), Some(least), "{mutant:?}");
    }
}
