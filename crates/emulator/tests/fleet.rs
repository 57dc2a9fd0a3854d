//! Decisions of a whole emulated fleet: the benefit of load reports, and the bounded harm of false ones.

use shaletide_emulator::scenario::{Fault, LoadReporting};
use shaletide_emulator::simulation::SimulationResult;
use shaletide_emulator::statistics::End;
use shaletide_emulator::{simulation, Policy, Scenario};
use shaletide_types::Micros;

/// Shortens a scenario to 12 s, which is enough to show its effect.
fn small(scenario: Scenario) -> Scenario {
    Scenario { length: Micros(12_000_000), ..scenario }
}

fn calm(seed: u64) -> Scenario {
    small(Scenario::calm(80, 50, 0.8, seed))
}

/// Asserts that no invariant is violated and that each try has an end.
fn checked(result: &SimulationResult) -> &SimulationResult {
    assert_eq!(result.observer.broken, [], "{} in all", result.observer.count);
    let tries: u64 = result.statistics.ends.iter().sum();
    assert!(tries >= result.statistics.requests.iter().sum::<u64>(), "a try has no end");
    result
}

fn mean(scenario: impl Fn(u64) -> Scenario, policy: Policy) -> f64 {
    let priority_weight =
        |seed| checked(&simulation(&scenario(seed), policy)).statistics.served_weight_fraction();
    (1..=3).map(priority_weight).sum::<f64>() / 3.0
}

#[test]
fn same_seed_gives_identical_counts_and_another_does_not() {
    let counts = |seed| {
        let result = simulation(&calm(seed), Policy::Program);
        let stats = result.statistics;
        (
            stats.ends,
            stats.attempts,
            stats.handshakes,
            stats.cross_zone_attempts,
            stats.by_backend,
            stats.latency.value_at_quantile(0.5),
        )
    };
    assert_eq!(counts(1), counts(1));
    assert_ne!(counts(1), counts(2));
}

#[test]
fn reports_raise_the_served_weight_and_both_beat_random_choice() {
    let priority_weight =
        [Policy::Random, Policy::WithoutReports, Policy::Program, Policy::Centralized].map(|policy| {
            let priority_weight = |seed| simulation(&calm(seed), policy).statistics.served_weight_fraction();
            (1..=3).map(priority_weight).sum::<f64>() / 3.0
        });
    assert!(priority_weight.windows(2).all(|pair| pair[0] < pair[1]), "{priority_weight:?}");
    assert!(priority_weight[2] > priority_weight[1] + 0.05, "{priority_weight:?}");
}

/// Returns the fraction of first tries served in the last four seconds, when proxies have had time to learn their shares.
fn late_served_fraction(scenario: impl Fn(u64) -> Scenario, policy: Policy) -> f64 {
    let seconds = |seed| {
        checked(&simulation(&scenario(seed), policy)).statistics.by_second()[8..12].iter().sum::<f64>() / 4.0
    };
    (1..=3).map(seconds).sum::<f64>() / 3.0
}

/// The hot proxy sees several times the traffic that it expects by its share, and learns its share from that.
#[test]
fn proxy_with_ten_times_the_mean_load_costs_little() {
    let hot = |seed| Scenario { hot: 10.0, ..calm(seed) };
    let (got, before, even) = (
        late_served_fraction(hot, Policy::Program),
        late_served_fraction(hot, Policy::WithoutReports),
        late_served_fraction(calm, Policy::Program),
    );
    assert!(got > before, "{got}, {before} without reports");
    assert!(got > even - 0.15, "{got} of {even}");
}

#[test]
fn wrong_proxy_count_costs_less_with_reports_than_without() {
    let wrong = |seed| Scenario { configured_proxies: 160, ..calm(seed) };
    let (got, before, right) = (
        late_served_fraction(wrong, Policy::Program),
        late_served_fraction(wrong, Policy::WithoutReports),
        late_served_fraction(calm, Policy::Program),
    );
    assert!(got > before, "{got}, {before} without reports");
    assert!(got > right - 0.25, "{got} of {right}");
}

/// A fifth of the backends reports values that are not a number, negative, infinite or absurd, and another fifth reports
/// nothing.
#[test]
fn false_or_missing_reports_do_bounded_harm() {
    let reports = |misreporting, silent, lag| {
        move |seed| {
            let reports = LoadReporting {
                period: Micros(1_000_000),
                lag: Micros(lag),
                noise: 0.04,
                misreporting,
                silent,
                fixed_held: None,
            };
            Scenario { reports: Some(reports), ..calm(seed) }
        }
    };
    let honest = mean(calm, Policy::Program);
    for (misreporting, silent, lag, cost) in
        [(0.2, 0.2, 300_000, 0.15), (0.0, 1.0, 300_000, 0.25), (0.0, 0.0, 3_000_000, 0.2)]
    {
        let got = mean(reports(misreporting, silent, lag), Policy::Program);
        assert!(
            got > honest - cost,
            "{got} of {honest} with {misreporting} misreporting, {silent} silent, {lag} us late"
        );
    }
    // No backend is lost for good: each still gets requests.
    let result = simulation(&reports(0.3, 0.0, 300_000)(1), Policy::Program);
    let mut by_backend = result.statistics.by_backend.clone();
    by_backend.sort_unstable();
    assert!(by_backend[0] > 20, "{by_backend:?}");
}

#[test]
fn proxies_together_do_not_overload_cold_backends() {
    for seed in 1..=3 {
        let join = Scenario::calm(80, 50, 0.6, seed).with("join", 2, 9, Fault::Replace(0.6));
        let result = simulation(&small(join), Policy::Program);
        assert!(checked(&result).observer.peak_cold_load < 1.0, "{}", result.observer.peak_cold_load);
        assert!(
            result.observer.peak_cold_load > 0.0,
            "no cold backend got any request: the scenario shows nothing"
        );
    }
}

#[test]
fn rejections_end_soon_after_a_slowdown_of_all_backends() {
    let slow = small(Scenario::calm(80, 50, 0.5, 1).with("slow", 3, 5, Fault::Slow(2.0)));
    let result = simulation(&slow, Policy::Program);
    let by_second = checked(&result).statistics.by_second();
    let end = by_second[9..12].iter().sum::<f64>() / 3.0;
    assert!(end > 0.75, "{by_second:?}");
}

#[test]
fn simultaneous_death_of_seven_in_ten_proxies_violates_no_invariant() {
    let herd = small(Scenario::calm(80, 50, 0.6, 1).with("herd", 4, 5, Fault::Herd(0.7)));
    let result = simulation(&herd, Policy::Program);
    checked(&result);
    let died = result.statistics.ends[End::ProxyDied as usize];
    assert!(died > 20, "too few requests died with their proxies: {died}");
}
