//! What the emulated faults do, and that no rule breaks under them.

use shaletide_emulator::scenario::Fault;
use shaletide_emulator::simulation::SimulationResult;
use shaletide_emulator::statistics::End;
use shaletide_emulator::{simulation, Policy, Scenario};
use shaletide_types::Micros;

fn lasting(seconds: u64, scenario: Scenario) -> Scenario {
    Scenario { length: Micros(seconds * 1_000_000), ..scenario }
}

fn calm() -> Scenario {
    lasting(10, Scenario::calm(40, 50, 0.6, 1))
}

fn sound(scenario: &Scenario, policy: Policy) -> SimulationResult {
    let played = simulation(scenario, policy);
    assert_eq!(played.watch.broken, [], "{} in all", played.watch.count);
    played
}

/// One that sees all is outside of all zones: here it is cut off from all backends.
#[test]
fn nothing_is_served_across_a_cut_and_all_is_after_it() {
    let scenario = Scenario { zones: 1, ..calm() }.with("cut", 3, 6, Fault::Cut);
    let by_second = sound(&scenario, Policy::One).statistics.by_second();
    assert!(by_second[1] > 0.9, "{by_second:?}");
    assert_eq!(by_second[4], 0.0, "{by_second:?}");
    assert!(by_second[8] > 0.9, "{by_second:?}");
}

/// Within the zone all goes on: chance alone sends four in five of its tries across.
#[test]
fn a_cut_zone_and_the_rest_serve_on_with_what_they_have() {
    let scenario = Scenario::calm(40, 50, 0.6, 1).with("cut", 3, 7, Fault::Cut);
    let [program, random] =
        [Policy::Program, Policy::Random].map(|policy| simulation(&scenario, policy).statistics.by_second());
    let within = |by_second: &[f64]| by_second[4..7].iter().sum::<f64>() / 3.0;
    assert!(within(&program) > within(&random) + 0.1, "{program:?}, {random:?} by chance");
    sound(&scenario, Policy::Program);
}

#[test]
fn no_new_box_gets_anything_while_lists_stop_and_later_where_they_are_late() {
    let to_new = |scenario: Scenario| {
        sound(&scenario, Policy::Program).statistics.by_backend[50..].iter().sum::<u64>()
    };
    let join = |seconds| lasting(seconds, calm()).with("join", 2, 3, Fault::Replace(0.4));
    assert!(to_new(join(6)) > 0);
    assert_eq!(to_new(join(6).with("stop", 1, 20, Fault::ListsStop)), 0);
    assert_eq!(to_new(join(4).with("late", 1, 20, Fault::ListsLate(7.0))), 0);
    assert!(to_new(join(8).with("late", 1, 20, Fault::ListsLate(3.0))) > 0);
    assert!(to_new(join(8).with("stop", 1, 4, Fault::ListsStop)) > 0);
}

#[test]
fn a_lost_answer_reaches_nobody_and_nothing_that_must_not_runs_twice() {
    let scenario = calm().with("lost", 3, 5, Fault::Lost(1.0));
    let played = sound(&scenario, Policy::Program);
    let by_second = played.statistics.by_second();
    assert_eq!(by_second[3], 0.0, "an answer came through: {by_second:?}");
    assert!(by_second[8] > 0.5, "{by_second:?}");
    assert!(played.statistics.ends[End::Failed as usize] > 100);
}

#[test]
fn broken_connections_fail_what_may_have_run_and_break_no_rule() {
    let failed = |scenario: &Scenario| sound(scenario, Policy::Program).statistics.ends[End::Failed as usize];
    let (broken, whole) = (failed(&calm().with("reset", 3, 6, Fault::Reset(0.3))), failed(&calm()));
    assert!(broken > whole + 20, "{broken} failed, {whole} without");
}

#[test]
fn a_dead_proxy_is_dealt_clients_until_the_front_notices() {
    let herd = calm().with("herd", 4, 5, Fault::Herd(0.5));
    let unreached =
        |scenario: &Scenario| sound(scenario, Policy::Program).statistics.ends[End::Unreached as usize];
    assert!(unreached(&herd) > 50);
    assert_eq!(unreached(&Scenario { front_notices: (Micros(0), Micros(0)), ..herd }), 0);
}

#[test]
fn a_dead_zone_gets_no_more_than_each_proxy_needs_to_find_that_out() {
    let calm = || lasting(14, calm());
    let scenario = calm().with("zone", 3, 20, Fault::ZoneDies);
    let got = |scenario: &Scenario| {
        let by_backend = sound(scenario, Policy::Program).statistics.by_backend;
        (0..5).map(|zone| by_backend.iter().skip(zone).step_by(5).sum::<u64>()).min()
    };
    let (dead, alive) = (got(&scenario), got(&calm()));
    assert!(dead.zip(alive).is_some_and(|(dead, alive)| dead * 2 < alive), "{dead:?} of {alive:?}");
}

#[test]
fn the_same_seed_plays_the_same_split_to_the_last_count() {
    let scenario = Scenario::named("split", 40, 50, 3)
        .map(|scenario| lasting(14, scenario))
        .expect("a day of that name");
    let tell = || {
        let a = sound(&scenario, Policy::Program).statistics;
        (a.ends, a.attempts, a.handshakes, a.crossed, a.by_backend, a.rejected, a.seconds)
    };
    assert_eq!(tell(), tell());
}
