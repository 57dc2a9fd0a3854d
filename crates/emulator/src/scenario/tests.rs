//! Tests of `scenario` that need its private items.

use super::*;

#[test]
fn a_trouble_is_read_with_its_time_and_what_makes_no_sense_is_not() {
    let read = |text: &str| text.parse::<PlannedFault>().ok().map(|p| (p.from, p.to, p.fault));
    assert_eq!(read("cut@6-12"), Some((ms(6_000), ms(12_000), Fault::Cut)));
    assert_eq!(read("lists-late=3@0-1"), Some((ms(0), ms(1_000), Fault::ListsLate(3.0))));
    let wrong =
        ["", "cut", "cut@6", "cut@12-6", "cut=1@6-12", "lost@1-2", "lost=2@1-2", "burst=NaN@1-2", "x@1-2"];
    assert_eq!(wrong.map(read), wrong.map(|_| None));
}

#[test]
fn every_named_day_is_there_and_no_other() {
    assert!(Scenario::NAMES
        .iter()
        .all(|name| Scenario::named(name, 3, 5, 1).is_some_and(|d| d.name == *name)));
    assert!(Scenario::named("noon", 3, 5, 1).is_none());
}

#[test]
fn a_skew_of_zones_gives_the_last_so_much_more_and_the_first_so_much_less() {
    let parts = Scenario { zone_skew: 0.5, uneven: 0.0, ..Scenario::calm(10, 5, 0.7, 1) }.parts();
    let zone = |z: usize| (parts[z] + parts[z + 5]) * 5.0;
    assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    assert!((zone(0) - 0.5).abs() < 1e-6 && (zone(2) - 1.0).abs() < 1e-6 && (zone(4) - 1.5).abs() < 1e-6);
}
