//! Effects of the emulated faults; no invariant is violated under any of them.

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

fn run_checked(scenario: &Scenario, policy: Policy) -> SimulationResult {
    let result = simulation(scenario, policy);
    assert_eq!(result.observer.broken, [], "{} in all", result.observer.count);
    result
}

/// The module that sees all requests is outside of all zones: here it is cut off from all backends.
#[test]
fn nothing_is_served_across_a_cut_until_it_ends() {
    let scenario = Scenario { zones: 1, ..calm() }.with("cut", 3, 6, Fault::Cut);
    let by_second = run_checked(&scenario, Policy::Centralized).statistics.by_second();
    assert!(by_second[1] > 0.9, "{by_second:?}");
    assert_eq!(by_second[4], 0.0, "{by_second:?}");
    assert!(by_second[8] > 0.9, "{by_second:?}");
}

/// The zone that is cut off still serves its own clients; random choice sends four in five of its requests across the
/// cut.
#[test]
fn both_sides_of_a_cut_serve_with_their_own_backends() {
    let scenario = Scenario::calm(40, 50, 0.6, 1).with("cut", 3, 7, Fault::Cut);
    let [program, random] =
        [Policy::Program, Policy::Random].map(|policy| simulation(&scenario, policy).statistics.by_second());
    let within = |by_second: &[f64]| by_second[4..7].iter().sum::<f64>() / 3.0;
    assert!(within(&program) > within(&random) + 0.1, "{program:?}, {random:?} by chance");
    run_checked(&scenario, Policy::Program);
}

#[test]
fn new_backend_gets_no_requests_until_the_list_arrives() {
    let attempts_at_new_backends = |scenario: Scenario| {
        run_checked(&scenario, Policy::Program).statistics.by_backend[50..].iter().sum::<u64>()
    };
    let join = |seconds| lasting(seconds, calm()).with("join", 2, 3, Fault::Replace(0.4));
    assert!(attempts_at_new_backends(join(6)) > 0);
    assert_eq!(attempts_at_new_backends(join(6).with("stop", 1, 20, Fault::ListsStop)), 0);
    assert_eq!(attempts_at_new_backends(join(4).with("late", 1, 20, Fault::ListsLate(7.0))), 0);
    assert!(attempts_at_new_backends(join(8).with("late", 1, 20, Fault::ListsLate(3.0))) > 0);
    assert!(attempts_at_new_backends(join(8).with("stop", 1, 4, Fault::ListsStop)) > 0);
}

#[test]
fn lost_answers_fail_requests_without_duplicate_execution() {
    let scenario = calm().with("lost", 3, 5, Fault::Lost(1.0));
    let result = run_checked(&scenario, Policy::Program);
    let by_second = result.statistics.by_second();
    assert_eq!(by_second[3], 0.0, "an answer came through: {by_second:?}");
    assert!(by_second[8] > 0.5, "{by_second:?}");
    assert!(result.statistics.ends[End::Failed as usize] > 100);
}

#[test]
fn reset_connections_fail_requests_that_may_have_executed() {
    let failed =
        |scenario: &Scenario| run_checked(scenario, Policy::Program).statistics.ends[End::Failed as usize];
    let (broken, intact) = (failed(&calm().with("reset", 3, 6, Fault::Reset(0.3))), failed(&calm()));
    assert!(broken > intact + 20, "{broken} failed, {intact} without resets");
}

#[test]
fn dead_proxy_is_sent_clients_until_the_front_notices() {
    let herd = calm().with("herd", 4, 5, Fault::Herd(0.5));
    let unreached =
        |scenario: &Scenario| run_checked(scenario, Policy::Program).statistics.ends[End::Unreached as usize];
    assert!(unreached(&herd) > 50);
    assert_eq!(unreached(&Scenario { front_notice_delay: (Micros(0), Micros(0)), ..herd }), 0);
}

#[test]
fn dead_zone_gets_less_than_half_of_its_usual_attempts() {
    let calm = || lasting(14, calm());
    let scenario = calm().with("zone", 3, 20, Fault::ZoneDies);
    let least_attempts_of_a_zone = |scenario: &Scenario| {
        let by_backend = run_checked(scenario, Policy::Program).statistics.by_backend;
        (0..5).map(|zone| by_backend.iter().skip(zone).step_by(5).sum::<u64>()).min()
    };
    let (dead, alive) = (least_attempts_of_a_zone(&scenario), least_attempts_of_a_zone(&calm()));
    assert!(dead.zip(alive).is_some_and(|(dead, alive)| dead * 2 < alive), "{dead:?} of {alive:?}");
}

#[test]
fn same_seed_gives_identical_counts_under_faults() {
    let scenario = Scenario::named("split", 40, 50, 3)
        .map(|scenario| lasting(14, scenario))
        .expect("a scenario of that name");
    let counts = || {
        let a = run_checked(&scenario, Policy::Program).statistics;
        (a.ends, a.attempts, a.handshakes, a.cross_zone_attempts, a.by_backend, a.rejected, a.seconds)
    };
    assert_eq!(counts(), counts());
}
