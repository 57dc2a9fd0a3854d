//! Tests of `cpu_capacity` that need its private items.

use super::*;

const CAPACITY: CpuCapacity =
    CpuCapacity { cores: 2, speed: 1.5, initial_capacity_fraction: 0.2, ramp: Micros(1_000_000) };

#[test]
fn capacity_rises_linearly_from_the_initial_fraction_to_the_full_capacity() {
    let booted = Some(Time(5_000_000));
    for (at, expected) in [(5_000_000, 0.6), (5_500_000, 1.8), (6_000_000, 3.0), (9_000_000, 3.0)] {
        assert!((CAPACITY.available_cores(booted, Time(at)) - expected).abs() < 1e-9, "{at}");
    }
    assert_eq!(CAPACITY.available_cores(None, Time(0)), 3.0);
}

#[test]
fn work_over_the_ramp_is_that_of_the_mean_speed() {
    let booted = Some(Time(5_000_000));
    let ramp = CAPACITY.work_between(booted, Time(5_000_000), Time(6_000_000));
    assert!((ramp - 1_000.0 * 3.0 * 0.6).abs() < 1e-6, "{ramp}");
    let after = CAPACITY.work_between(booted, Time(6_000_000), Time(6_500_000));
    assert!((after - 1_500.0).abs() < 1e-6, "{after}");
}

#[test]
fn after_warm_us_is_the_inverse_of_warm_us() {
    let booted = Some(Time(5_000_000));
    for from in [5_000_000.0, 5_300_000.0, 5_999_999.0, 7_000_000.0] {
        for span in [1.0, 1_000.0, 400_000.0, 3_000_000.0] {
            let to = CAPACITY.after_warm_us(booted, from, span);
            assert!((CAPACITY.warm_us(booted, from, to) - span).abs() < 1e-3, "{from} {span}");
        }
    }
}
