//! Every small world is exhausted, the sound engine breaks no rule in it, and it has as many states as it had: a
//! branch that is lost, in the engine or here, is seen.

use shaletide_model_checker::*;
use std::time::Duration;

const LIMITS: Limits =
    Limits { time: Duration::from_secs(300), states: 10_000_000, threads: 2, cover: false };

/// States and depth of a world that is exhausted without a broken rule.
fn exhausted(name: &str) -> (usize, usize) {
    let model = model_by_name(name).expect("a world of that name");
    let found = explore(&model, LIMITS);
    if let Some(c) = &found.counterexample {
        panic!("{name}\n{}", timeline(&model, &|| Node::start(&model), c));
    }
    assert!(found.exhausted, "{name}: nothing is left");
    println!("{name}: {} states, {} transitions, {:?}", found.states, found.transitions, found.took);
    (found.states, found.depth)
}

#[test]
fn a_time_out_races_a_late_success() {
    assert_eq!(exhausted("race"), (225, 13));
}

#[test]
fn a_keyed_repeat_at_the_edge_of_its_window() {
    assert_eq!(exhausted("edge"), (16_269, 17));
}

#[test]
fn a_drain_between_connect_and_first_byte_with_one_request_of_each_effect() {
    assert_eq!(exhausted("drain"), (56_648, 19));
}

#[test]
fn two_drains_a_return_under_the_same_name_and_a_successor_under_a_new_one() {
    assert_eq!(exhausted("returns"), (120_079, 21));
}

#[test]
fn a_client_leaves_as_its_answer_comes() {
    assert_eq!(exhausted("leaving"), (24_852, 22));
}

#[test]
fn a_connection_comes_up_after_its_request_is_over() {
    assert_eq!(exhausted("late-connect"), (27_561, 20));
}

#[test]
fn two_pools_of_one_box_each_while_a_settle_may_have_run() {
    assert_eq!(exhausted("settle"), (74_410, 20));
}

#[test]
fn a_box_goes_to_another_pool_and_a_pool_is_closed() {
    assert_eq!(exhausted("pools"), (166_662, 18));
}

#[test]
fn on_sigterm_nothing_new_is_taken_and_what_is_open_is_answered() {
    assert_eq!(exhausted("sigterm"), (61_823, 23));
}

#[test]
fn a_list_is_lost_and_whole_again() {
    assert_eq!(exhausted("lost"), (27_437, 15));
}

#[test]
fn a_box_is_listed_in_another_cell_while_attempts_are_on_their_way() {
    assert_eq!(exhausted("cells"), (19_837, 18));
}

#[test]
fn connections_are_used_again() {
    assert_eq!(exhausted("reuse"), (32_865, 20));
}

#[test]
fn a_box_listens_at_another_address() {
    assert_eq!(exhausted("addresses"), (126_388, 23));
}

#[test]
fn the_store_gives_refuses_or_comes_too_late() {
    assert_eq!(exhausted("permits"), (7_051, 22));
}

#[test]
fn the_shell_wakes_late() {
    assert_eq!(exhausted("late-wakes"), (25_301, 20));
}

#[test]
fn first_bytes_are_bounded() {
    assert_eq!(exhausted("first-byte"), (10_783, 17));
}

#[test]
fn nothing_is_called_back() {
    assert_eq!(exhausted("left-alone"), (49_391, 22));
}

#[test]
fn a_key_that_all_boxes_know() {
    assert_eq!(exhausted("one-realm"), (52_058, 21));
}

#[test]
fn three_attempts_at_once() {
    assert_eq!(exhausted("three-out"), (41_170, 21));
}

/// Two backends, three requests and a drain: `cargo test --release -p shaletide-model-checker --test worlds -- --ignored`.
#[test]
#[ignore = "minutes"]
fn two_boxes_three_requests_one_of_each_effect_and_one_drain() {
    let model = model_by_name("three").expect("it is there");
    let found = explore(&model, Limits { time: Duration::from_secs(600), states: 400_000_000, ..LIMITS });
    assert!(found.counterexample.is_none() && found.exhausted, "{found:?}");
    assert_eq!((found.states, found.depth), (5_161_537, 35));
}

#[test]
fn the_count_does_not_depend_on_the_number_of_threads() {
    let model = model_by_name("cells").expect("it is there");
    let counts = [1, 3].map(|threads| {
        let found = explore(&model, Limits { threads, ..LIMITS });
        (found.states, found.transitions, found.depth)
    });
    assert_eq!(counts[0], counts[1]);
}

#[test]
fn what_is_left_is_said_where_a_bound_was_hit() {
    let model = model_by_name("drain").expect("it is there");
    let found = explore(&model, Limits { states: 1_000, ..LIMITS });
    assert!(!found.exhausted && found.counterexample.is_none());
    assert!(found.states >= 1_000 && found.depth > 3);
}

/// Not only the first state of each form is expanded here, but every one that is met.
fn merge_count(name: &str) -> u64 {
    let model = model_by_name(name).expect("it is there");
    check_merges(&model).unwrap_or_else(|unlike| panic!("{name}: {unlike:?}"))
}

#[test]
fn states_of_one_canonical_form_lead_to_the_same_forms() {
    assert_eq!((merge_count("race"), merge_count("permits")), (3_576, 129_047));
}

#[test]
#[ignore = "minutes"]
fn so_do_those_of_larger_worlds() {
    let models = [
        "edge",
        "leaving",
        "late-connect",
        "cells",
        "reuse",
        "late-wakes",
        "first-byte",
        "left-alone",
        "one-realm",
    ];
    models.iter().for_each(|name| println!("{name}: {} merges alike", merge_count(name)));
}

#[test]
fn every_situation_of_the_engine_is_met_or_has_a_reason_not_to_be() {
    let mut cover = Coverage::default();
    for name in
        ["race", "edge", "late-connect", "cells", "reuse", "permits", "left-alone", "returns", "leaving"]
    {
        let found = explore(&model_by_name(name).expect("it is there"), Limits { cover: true, ..LIMITS });
        cover.add(&found.cover);
    }
    let open: Vec<_> = cover.uncovered().into_iter().filter(|u| u.2.is_none()).collect();
    assert!(open.is_empty(), "not met and no reason: {open:?}");
    let wrong: Vec<_> =
        cover.covered().filter(|(what, at, _)| unreachable_reason(*what, *at).is_some()).collect();
    assert!(wrong.is_empty(), "met though it cannot happen: {wrong:?}");
    println!("{cover}");
}
