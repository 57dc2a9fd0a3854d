//! Hard cases for a proxy among hundreds, at a scale suitable for CI. Assertions that compare with another policy or
//! another scenario use a mean over three seeds.

use shaletide_emulator::scenario::{Fault, LoadReporting};
use shaletide_emulator::simulation::SimulationResult;
use shaletide_emulator::{simulation, Policy, Scenario, Statistics};
use shaletide_types::Micros;

fn lasting(seconds: u64, scenario: Scenario) -> Scenario {
    Scenario { length: Micros(seconds * 1_000_000), ..scenario }
}

fn run_checked(scenario: &Scenario, policy: Policy) -> SimulationResult {
    let result = simulation(scenario, policy);
    if policy != Policy::Random {
        assert_eq!(result.observer.broken, [], "{} in all", result.observer.count);
    }
    result
}

/// Returns the mean of a figure over three seeds.
fn mean(scenario: impl Fn(u64) -> Scenario, policy: Policy, figure: impl Fn(&Statistics) -> f64) -> f64 {
    (1..=3).map(|seed| figure(&run_checked(&scenario(seed), policy).statistics)).sum::<f64>() / 3.0
}

/// Returns the fraction of first tries served in time between these seconds.
fn served(stats: &Statistics, from: usize, to: usize) -> f64 {
    stats.by_second()[from..to].iter().sum::<f64>() / (to - from) as f64
}

/// Returns the rejections, those of retries included, per first try between these seconds.
fn rejected(stats: &Statistics, from: usize, to: usize) -> f64 {
    let rejections: u64 = stats.rejected[from..to].iter().flatten().sum();
    let requests: u64 = stats.seconds[from..to].iter().map(|s| s.0).sum();
    rejections as f64 / requests as f64
}

/// Each of the other proxies gets about 1.6 requests per second.
#[test]
fn hot_proxy_among_299_nearly_idle_ones_costs_little() {
    let even = |seed| lasting(12, Scenario::calm(300, 20, 0.6, seed));
    let hot = |seed| Scenario { hot: 10.0, ..even(seed) };
    let late = |stats: &Statistics| served(stats, 8, 12);
    let (got, without) = (mean(hot, Policy::Program, late), mean(even, Policy::Program, late));
    assert!(got > without - 0.15, "{got} of {without}");
}

#[test]
fn proxies_idle_for_ten_seconds_serve_normally_within_two() {
    let calm = |seed| lasting(16, Scenario::calm(80, 50, 0.6, seed));
    let quiet = |seed| calm(seed).with("quiet", 1, 11, Fault::Quiet(0.5));
    let at_once = mean(quiet, Policy::Program, |stats| served(stats, 11, 13));
    let late = |stats: &Statistics| served(stats, 13, 16);
    let (got, without) = (mean(quiet, Policy::Program, late), mean(calm, Policy::Program, late));
    assert!(at_once > without - 0.1, "{at_once} of {without}");
    assert!(got > without - 0.05, "{got} of {without}");
}

/// The margin over the single module that sees all requests, 0.4, is its initial value, 0.30, plus a third.
#[test]
fn burst_rejections_are_bounded_and_fall_within_two_seconds_of_its_end() {
    let burst = |seed| lasting(12, Scenario::calm(80, 50, 0.6, seed).with("burst", 5, 8, Fault::Burst(1.5)));
    let during_burst = |stats: &Statistics| rejected(stats, 5, 8);
    let (got, all) =
        (mean(burst, Policy::Program, during_burst), mean(burst, Policy::Centralized, during_burst));
    assert!(got < all + 0.4, "{got}, {all} by a single module that sees all requests");
    let last = mean(burst, Policy::Program, |stats| rejected(stats, 7, 8));
    let after = mean(burst, Policy::Program, |stats| rejected(stats, 10, 11));
    assert!(after < last * 0.8, "{last} in its last second, {after} two after it");
}

/// A report of zero requests reads as an old list; a small number is believed.
#[test]
fn reports_of_idle_backends_from_all_do_bounded_harm() {
    let honest = |seed| lasting(12, Scenario::calm(80, 50, 0.8, seed));
    for idle in [0.0, 0.05] {
        let misreported = |seed| {
            let mut scenario = honest(seed);
            scenario.reports = scenario.reports.map(|r| LoadReporting { fixed_held: Some(idle), ..r });
            scenario
        };
        let priority_weight = |policy| mean(misreported, policy, Statistics::served_weight_fraction);
        let (got, random, with_true_reports) = (
            priority_weight(Policy::Program),
            priority_weight(Policy::Random),
            mean(honest, Policy::Program, Statistics::served_weight_fraction),
        );
        assert!(
            got > with_true_reports - 0.1 && got > random + 0.1,
            "{got} of {with_true_reports}, {random} by chance"
        );
    }
}

/// Each case also runs with a late list.
#[test]
fn zone_that_returns_cold_is_not_overloaded() {
    for seed in 1..=3 {
        let scenario = Scenario::calm(80, 50, 0.6, seed).with("zone", 3, 7, Fault::ZoneDies);
        let late = scenario.clone().with("zone", 2, 9, Fault::ListsLate(2.0));
        for scenario in [scenario, late] {
            let result = run_checked(&lasting(12, scenario), Policy::Program);
            let peak_cold_load = result.observer.peak_cold_load;
            assert!(peak_cold_load > 0.0 && peak_cold_load < 1.0, "{peak_cold_load}");
            assert!(served(&result.statistics, 10, 12) > 0.7, "{:?}", result.statistics.by_second());
        }
    }
}
