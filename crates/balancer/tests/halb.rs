//! HALB shares, compared with values calculated by hand from the formula.

use shaletide_balancer::halb_shares;

fn assert_shares(actual: Vec<f64>, expected: &[f64]) {
    assert_eq!(actual.len(), expected.len());
    for (a, e) in actual.iter().zip(expected) {
        assert!((a - e).abs() < 1e-9, "got {actual:?}, want {expected:?}");
    }
}

const TWO_TYPES: [(f64, f64); 2] = [(1.0, 4.0), (1.0, 1.0)];

#[test]
fn both_server_types_get_traffic_above_clamp() {
    // roots 3, speeds 5: flows 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_shares(halb_shares(&TWO_TYPES, Some(3.5)), &[6.0 / 7.0, 1.0 / 7.0]);
}

#[test]
fn slow_server_type_gets_nothing_at_light_load() {
    assert_shares(halb_shares(&TWO_TYPES, Some(2.0)), &[1.0, 0.0]);
    assert_shares(halb_shares(&TWO_TYPES, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn clamped_server_type_is_excluded_and_rest_is_solved_again() {
    // Of all three: roots 6, speeds 14, the third flow 1 - 8.5 / 6 < 0.
    // Of the first two: roots 5, speeds 13: 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let three_types = [(1.0, 9.0), (1.0, 4.0), (1.0, 1.0)];
    assert_shares(halb_shares(&three_types, Some(5.5)), &[4.5 / 5.5, 1.0 / 5.5, 0.0]);
}

#[test]
fn counts_are_weights_and_may_be_fractions() {
    // roots 2 * 2 + 0.5 = 4.5, speeds 8.5: at 4 a second (8.5 - 4) / 4.5 = 1: flows 8 - 4 and 0.5 - 0.5.
    assert_shares(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(4.0)), &[1.0, 0.0]);
    // At 6.25: (8.5 - 6.25) / 4.5 = 0.5: flows 8 - 2 and 0.5 - 0.25.
    assert_shares(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(6.25)), &[0.96, 0.04]);
}

#[test]
fn traffic_over_capacity_is_divided_completely() {
    // (5 - 8) / 3 = -1: flows 4 + 2 and 1 + 1.
    assert_shares(halb_shares(&TWO_TYPES, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn shares_without_rate_follow_ready_counts() {
    assert_shares(halb_shares(&[(3.0, 4.0), (1.0, 1.0), (0.0, 9.0)], None), &[0.75, 0.25, 0.0]);
}

#[test]
fn fastest_server_type_gets_all_traffic_near_zero_rate() {
    assert_shares(halb_shares(&TWO_TYPES, Some(0.0)), &[1.0, 0.0]);
    assert_shares(halb_shares(&[(1.0, 4.0), (3.0, 4.0)], Some(0.0)), &[0.25, 0.75]);
    assert_shares(halb_shares(&[(0.0, 9.0), (1.0, 4.0), (1.0, 1.0)], Some(1e-12)), &[0.0, 1.0, 0.0]);
}

#[test]
fn single_server_type_gets_all_traffic_and_none_ready_gets_nothing() {
    assert_shares(halb_shares(&[(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_shares(halb_shares(&[(0.0, 3.0), (0.0, 1.0)], Some(1.0)), &[0.0, 0.0]);
    assert_shares(halb_shares(&[(0.0, 3.0), (2.0, 1.0)], Some(1.0)), &[0.0, 1.0]);
    assert_shares(halb_shares(&[], Some(1.0)), &[]);
    assert_shares(halb_shares(&[], None), &[]);
}
