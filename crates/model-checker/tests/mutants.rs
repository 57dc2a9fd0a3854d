//! Ten mutants: each is found, by a shortest counterexample.

use shaletide_engine::monitor::Rule;
use shaletide_engine::Mutant;
use shaletide_model_checker::*;

fn with_mutant(model: &Model, mutant: Mutant) -> impl Fn() -> Node<Chooser> + Sync + '_ {
    move || {
        let mut node = Node::start(model);
        node.engine.set_mutant(Some(mutant));
        node
    }
}

/// The counterexample that is found, in so many states.
fn counterexample(model: &Model, mutant: Mutant, limits: Limits) -> Option<Counterexample> {
    let reads_end_times = mutant == Mutant::WindowStartsAtEnd;
    explore_from(model, &with_mutant(model, mutant), reads_end_times, limits).counterexample
}

/// Explores the world with that bug; the steps, the rule that is broken, and the timeline.
fn found(name: &str, mutant: Mutant) -> (usize, Rule, String) {
    let model = model_by_name(name).expect("a world of that name");
    let c = counterexample(&model, mutant, Limits::default())
        .unwrap_or_else(|| panic!("{mutant:?}: nothing in {name}"));
    let text = timeline(&model, &with_mutant(&model, mutant), &c);
    println!("{mutant:?} in {name}, {} steps\n{text}\n", c.steps.len());
    (c.steps.len(), c.violation.rule, text)
}

fn steps_and_rule(name: &str, mutant: Mutant) -> (usize, Rule) {
    let (steps, rule, _) = found(name, mutant);
    (steps, rule)
}

#[test]
fn a_late_success_is_answered_too() {
    assert_eq!(steps_and_rule("race", Mutant::LateSuccess), (5, Rule::OneAnswer));
}

#[test]
fn an_end_after_the_last_byte_is_taken_to_mean_never_ran() {
    assert_eq!(steps_and_rule("edge", Mutant::NotExecutedAfterLastByte), (6, Rule::HarmlessRejection));
}

#[test]
fn a_window_is_measured_from_the_end() {
    assert_eq!(steps_and_rule("leaving", Mutant::WindowStartsAtEnd), (7, Rule::KeyedInScopeAndWindow));
}

#[test]
fn a_drain_is_not_asked_for_at_the_first_byte() {
    assert_eq!(steps_and_rule("race", Mutant::StaleDrainState), (4, Rule::Draining));
}

#[test]
fn a_hedge_is_left_running() {
    assert_eq!(steps_and_rule("race", Mutant::HedgeNotCancelled), (5, Rule::NoLeftovers));
}

#[test]
fn a_client_that_left_is_answered() {
    assert_eq!(steps_and_rule("race", Mutant::AnswerAfterDisconnect), (2, Rule::NoLeftovers));
}

#[test]
fn a_refusal_after_running() {
    assert_eq!(steps_and_rule("edge", Mutant::RejectedAfterExecution), (4, Rule::HarmlessRejection));
}

#[test]
fn a_connection_with_bytes_behind_is_used_again() {
    assert_eq!(steps_and_rule("reuse", Mutant::ReusedWithExcessBytes), (7, Rule::CleanConnection));
}

#[test]
fn a_timer_outlives_its_request() {
    assert_eq!(steps_and_rule("race", Mutant::TimerOutlivesRequest), (2, Rule::NoLeftovers));
}

#[test]
fn a_whole_list_does_not_drain_what_it_lacks() {
    assert_eq!(steps_and_rule("pools", Mutant::DrainMissedInSnapshot), (4, Rule::Draining));
    // There the requests have come before the first step.
    assert_eq!(steps_and_rule("lost", Mutant::DrainMissedInSnapshot), (3, Rule::Draining));
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
        let steps = MODELS.iter().filter_map(|(name, _)| {
            let model = model_by_name(name).filter(|model| !model.requests_at_start)?;
            Some(
                counterexample(&model, mutant, Limits { states: 1_000_000, ..Limits::default() })?
                    .steps
                    .len(),
            )
        });
        assert_eq!(steps.min(), Some(least), "{mutant:?}");
    }
}
