//! Tests of `result` that need its private items.

use super::*;

#[test]
fn quantile_is_one_of_the_values() {
    let hundred: Vec<u64> = (1..=100).collect();
    for (fraction, expected) in [(0.0, 1), (0.5, 50), (0.99, 99), (0.991, 100), (1.0, 100)] {
        assert_eq!(quantile(&hundred, fraction), Some(expected), "{fraction}");
    }
    assert_eq!((quantile(&[7], 0.5), quantile(&[], 0.5)), (Some(7), None));
}
