//! Tests of `congestion` that need its private items.

use super::*;

/// Returns the times in ms at which the slowdown changes, if the backend holds `held(n)` requests at sample `n`.
fn change_times(held: impl Fn(u64) -> usize, samples: u64) -> Vec<u64> {
    let mut model = CongestionModel::new(CongestionConfig { in_flight_threshold: 10.0, slowdown: 3.0 });
    (0..samples).filter(|n| model.sample(Time(n * 100_000), held(*n))).map(|n| n * 100).collect()
}

#[test]
fn congested_backend_is_slow_until_it_was_mostly_idle() {
    assert!(change_times(|_| 10, 600).is_empty(), "the threshold is not exceeded");
    let changes = change_times(|n| if n < 40 { 20 } else { 0 }, 200);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!((1_000..2_000).contains(&changes[0]) && (5_000..7_000).contains(&changes[1]), "{changes:?}");
}

#[test]
fn backend_that_is_never_idle_recovers_after_the_longest_congestion_and_is_congested_again() {
    let changes = change_times(|_| 20, 300);
    assert!(changes.len() == 3 && changes[1] - changes[0] > 24_000, "{changes:?}");
}
