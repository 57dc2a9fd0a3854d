//! Small cold backends among hundreds of proxies, each of which may send one request per window whatever its share of the
//! budget is. The proxies together stay below the load at which a backend falls, as the number of requests held is
//! bounded as well.

use shaletide_emulator::scenario::{Fault, Kind};
use shaletide_emulator::{simulation, Policy, Scenario};
use shaletide_testkit::Distribution;
use shaletide_types::Micros;

/// Returns a scenario whose backends serve this many requests of mean work in the window at their start, and are as cold
/// as the settings allow.
fn small(backends: u32, capacity: f64, load: f64, seed: u64) -> Scenario {
    let mut scenario = Scenario::calm(300, backends, load, seed);
    let initial_capacity_fraction = 0.14;
    let speed =
        Distribution::LogNormal(capacity * scenario.work_ms() / 1e3 / 3.0 / initial_capacity_fraction, 0.15);
    scenario.kinds =
        vec![Kind { share: 1.0, speed, size: 1.0, cold: (initial_capacity_fraction, Micros(24_000_000)) }];
    scenario.length = Micros(10_000_000);
    scenario
}

/// In the worst of these cases a backend got three quarters of the load at which it falls, and usually six tenths.
#[test]
fn three_hundred_proxies_do_not_overload_small_cold_backends() {
    for (backends, capacity) in [(5, 4.0), (5, 12.0), (12, 4.0), (12, 8.0), (40, 4.0), (40, 12.0)] {
        for reports in [true, false] {
            for seed in 1..=2 {
                let all_new =
                    |load| small(backends, capacity, load, seed).with("new", 3, 5, Fault::Replace(1.0));
                let herd =
                    all_new(0.8).with("herd", 4, 5, Fault::Herd(0.7)).with("burst", 4, 9, Fault::Burst(2.0));
                let zone = small(backends, capacity, 0.6, seed).with("zone", 3, 7, Fault::ZoneDies);
                for mut scenario in [all_new(0.7), all_new(5.0), herd, zone] {
                    if !reports {
                        scenario.reports = None;
                    }
                    let peak = simulation(&scenario, Policy::Program).observer.peak_of_fall_bound;
                    let case = format!(
                        "{} of {backends} with a capacity of {capacity}, seed {seed}, {reports}",
                        scenario.name
                    );
                    assert!(peak < 0.9, "{peak} of the load at which a backend falls: {case}");
                }
            }
        }
    }
}

/// Backends are replaced and a zone returns cold, during a burst, with 30 and with 350 proxies.
#[test]
fn cold_backends_stay_below_the_fall_bound_with_30_and_with_350_proxies() {
    for (proxies, backends, zones) in [(30, 8, 2), (30, 12, 2), (30, 20, 2), (350, 20, 2), (350, 200, 5)] {
        for seed in 1..=2 {
            for reports in [true, false] {
                let mut scenario = Scenario::calm(proxies, backends, 0.65, seed)
                    .with("cold", 1, 3, Fault::Replace(0.35))
                    .with("cold", 6, 8, Fault::ZoneDies)
                    .with("cold", 5, 12, Fault::Burst(1.5));
                (scenario.zones, scenario.length) = (zones, Micros(12_000_000));
                if !reports {
                    scenario.reports = None;
                }
                let peak = simulation(&scenario, Policy::Program).observer.peak_of_operators_fall_bound;
                let case = format!("{proxies} proxies, {backends} backends, seed {seed}, reports {reports}");
                assert!(peak < 1.0, "{peak} of the load at which a backend falls: {case}");
            }
        }
    }
}
