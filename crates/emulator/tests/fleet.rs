//! The decisions at scale, on the emulated fleet: what reports of load bring, and that lies in them do bounded harm.

use shaletide_emulator::scenario::{Fault, LoadReporting};
use shaletide_emulator::simulation::SimulationResult;
use shaletide_emulator::statistics::End;
use shaletide_emulator::{simulation, Policy, Scenario};
use shaletide_types::Micros;

/// A small fleet, for as long as it takes to see something.
fn small(scenario: Scenario) -> Scenario {
    Scenario { length: Micros(12_000_000), ..scenario }
}

fn calm(seed: u64) -> Scenario {
    small(Scenario::calm(80, 50, 0.8, seed))
}

/// No rule broke, and each try has its end.
fn sound(played: &SimulationResult) -> &SimulationResult {
    assert_eq!(played.watch.broken, [], "{} in all", played.watch.count);
    let tries: u64 = played.statistics.ends.iter().sum();
    assert!(tries >= played.statistics.requests.iter().sum::<u64>(), "a try has no end");
    played
}

fn mean(scenario: impl Fn(u64) -> Scenario, policy: Policy) -> f64 {
    let priority_weight = |seed| sound(&simulation(&scenario(seed), policy)).statistics.served_worth();
    (1..=3).map(priority_weight).sum::<f64>() / 3.0
}

#[test]
fn the_same_seed_plays_the_same_day_and_another_does_not() {
    let tell = |seed| {
        let played = simulation(&calm(seed), Policy::Program);
        let a = played.statistics;
        (a.ends, a.attempts, a.handshakes, a.crossed, a.by_backend, a.latency.value_at_quantile(0.5))
    };
    assert_eq!(tell(1), tell(1));
    assert_ne!(tell(1), tell(2));
}

#[test]
fn the_program_serves_more_than_it_did_without_reports_and_that_more_than_chance() {
    let priority_weight = [Policy::Random, Policy::Earlier, Policy::Program, Policy::One].map(|policy| {
        let priority_weight = |seed| simulation(&calm(seed), policy).statistics.served_worth();
        (1..=3).map(priority_weight).sum::<f64>() / 3.0
    });
    assert!(priority_weight.windows(2).all(|pair| pair[0] < pair[1]), "{priority_weight:?}");
    assert!(priority_weight[2] > priority_weight[1] + 0.05, "{priority_weight:?}");
}

/// The part of the first tries served in the last seconds, when a proxy has had time to learn its part.
fn late(scenario: impl Fn(u64) -> Scenario, policy: Policy) -> f64 {
    let seconds = |seed| {
        sound(&simulation(&scenario(seed), policy)).statistics.by_second()[8..12].iter().sum::<f64>() / 4.0
    };
    (1..=3).map(seconds).sum::<f64>() / 3.0
}

/// It sees several times what it takes for its part, and learns so.
#[test]
fn one_proxy_with_ten_times_the_mean_costs_the_others_little() {
    let hot = |seed| Scenario { hot: 10.0, ..calm(seed) };
    let (got, before, even) =
        (late(hot, Policy::Program), late(hot, Policy::Earlier), late(calm, Policy::Program));
    assert!(got > before, "{got}, {before} without reports");
    assert!(got > even - 0.15, "{got} of {even}");
}

#[test]
fn a_told_count_that_is_wrong_by_half_costs_less_than_it_did() {
    let wrong = |seed| Scenario { listed_proxies: 160, ..calm(seed) };
    let (got, before, right) =
        (late(wrong, Policy::Program), late(wrong, Policy::Earlier), late(calm, Policy::Program));
    assert!(got > before, "{got}, {before} without reports");
    assert!(got > right - 0.25, "{got} of {right}");
}

/// Not a number, negative, endless, absurd: from a fifth of the backends, and nothing from another fifth.
#[test]
fn reports_that_lie_or_are_missing_do_bounded_harm() {
    let reports = |liars, silent, lag| {
        move |seed| {
            let reports = LoadReporting {
                period: Micros(1_000_000),
                lag: Micros(lag),
                noise: 0.04,
                liars,
                silent,
                all_say: None,
            };
            Scenario { reports: Some(reports), ..calm(seed) }
        }
    };
    let honest = mean(calm, Policy::Program);
    for (liars, silent, lag, cost) in
        [(0.2, 0.2, 300_000, 0.15), (0.0, 1.0, 300_000, 0.25), (0.0, 0.0, 3_000_000, 0.2)]
    {
        let got = mean(reports(liars, silent, lag), Policy::Program);
        assert!(got > honest - cost, "{got} of {honest} with {liars} lying, {silent} silent, {lag} us late");
    }
    // None is lost for ever: each still gets its requests.
    let played = simulation(&reports(0.3, 0.0, 300_000)(1), Policy::Program);
    let mut by_backend = played.statistics.by_backend.clone();
    by_backend.sort_unstable();
    assert!(by_backend[0] > 20, "{by_backend:?}");
}

#[test]
fn cold_boxes_are_never_pushed_over_by_all_proxies_together() {
    for seed in 1..=3 {
        let join = Scenario::calm(80, 50, 0.6, seed).with("join", 2, 9, Fault::Replace(0.6));
        let played = simulation(&small(join), Policy::Program);
        assert!(sound(&played).watch.fullest < 1.0, "{}", played.watch.fullest);
        assert!(played.watch.fullest > 0.0, "no cold box got anything: the day shows nothing");
    }
}

#[test]
fn refusals_end_soon_after_what_slowed_all() {
    let slow = small(Scenario::calm(80, 50, 0.5, 1).with("slow", 3, 5, Fault::Slow(2.0)));
    let played = simulation(&slow, Policy::Program);
    let by_second = sound(&played).statistics.by_second();
    let end = by_second[9..12].iter().sum::<f64>() / 3.0;
    assert!(end > 0.75, "{by_second:?}");
}

#[test]
fn seven_in_ten_proxies_that_die_at_once_break_no_rule() {
    let herd = small(Scenario::calm(80, 50, 0.6, 1).with("herd", 4, 5, Fault::Herd(0.7)));
    let played = simulation(&herd, Policy::Program);
    sound(&played);
    let died = played.statistics.ends[End::Died as usize];
    assert!(died > 20, "nobody was hit: {died}");
}
