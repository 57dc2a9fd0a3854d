//! Tests of `crowd` that need its private items.

use super::*;

/// When it changes, ms, where it holds that many at each look.
fn changes(held: impl Fn(u64) -> usize, looks: u64) -> Vec<u64> {
    let mut crowding = CongestionModel::new(CongestionConfig { in_flight_threshold: 10.0, slowdown: 3.0 });
    (0..looks).filter(|n| crowding.sample(Time(n * 100_000), held(*n))).map(|n| n * 100).collect()
}

#[test]
fn a_crowd_slows_a_box_until_it_had_a_rest() {
    assert!(changes(|_| 10, 600).is_empty(), "as many as it can bear");
    let changes = changes(|n| if n < 40 { 20 } else { 0 }, 200);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!((1_000..2_000).contains(&changes[0]) && (5_000..7_000).contains(&changes[1]), "{changes:?}");
}

#[test]
fn one_that_never_rests_is_itself_again_after_a_while_and_crowded_anew() {
    let changes = changes(|_| 20, 300);
    assert!(changes.len() == 3 && changes[1] - changes[0] > 24_000, "{changes:?}");
}
