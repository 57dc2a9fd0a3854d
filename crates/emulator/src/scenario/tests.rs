//! Tests of `scenario` that need its private items.

use super::*;

#[test]
fn planned_fault_is_parsed_and_malformed_text_is_rejected() {
    let parsed = |text: &str| text.parse::<PlannedFault>().ok().map(|p| (p.from, p.to, p.fault));
    assert_eq!(parsed("cut@6-12"), Some((ms(6_000), ms(12_000), Fault::Cut)));
    assert_eq!(parsed("lists-late=3@0-1"), Some((ms(0), ms(1_000), Fault::ListsLate(3.0))));
    let malformed =
        ["", "cut", "cut@6", "cut@12-6", "cut=1@6-12", "lost@1-2", "lost=2@1-2", "burst=NaN@1-2", "x@1-2"];
    assert_eq!(malformed.map(parsed), malformed.map(|_| None));
}

#[test]
fn only_the_listed_scenario_names_are_known() {
    assert!(Scenario::NAMES
        .iter()
        .all(|name| Scenario::named(name, 3, 5, 1).is_some_and(|scenario| scenario.name == *name)));
    assert!(Scenario::named("noon", 3, 5, 1).is_none());
}

#[test]
fn zone_skew_raises_the_share_of_the_last_zone_and_lowers_that_of_the_first() {
    let traffic_shares =
        Scenario { zone_skew: 0.5, share_spread: 0.0, ..Scenario::calm(10, 5, 0.7, 1) }.traffic_shares();
    let zone = |z: usize| (traffic_shares[z] + traffic_shares[z + 5]) * 5.0;
    assert!((traffic_shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    assert!((zone(0) - 0.5).abs() < 1e-6 && (zone(2) - 1.0).abs() < 1e-6 && (zone(4) - 1.5).abs() < 1e-6);
}
