//! Runs beside each other.

use crate::common::*;
use shaletide_lab::compare::*;
use shaletide_lab::judge::expect::Measured::{self, AtLeast, Unknown, Value};
use shaletide_lab::judge::{judge, Ruling};
use shaletide_lab::samples::*;

fn run(seed: u64, ruling: Ruling, value: Measured) -> Figures {
    let values = [("time".to_owned(), value)].into();
    Figures { name: "x".into(), seed, build: "b".into(), ruling, values }
}

fn runs(values: &[Measured]) -> Vec<Figures> {
    values.iter().enumerate().map(|(n, v)| run(n as u64, Ruling::Passed, v.clone())).collect()
}

fn spread(values: &[Measured]) -> Spread {
    repeated(&runs(values)).figures["time"].clone()
}

#[test]
fn a_repeated_run_has_median_least_and_most_and_what_was_cut_short_counts_as_most() {
    let odd = spread(&[Value(3.0), Value(1.0), Value(9.0)]);
    assert_eq!((odd.median, odd.min, odd.max), (Value(3.0), Value(1.0), Value(9.0)));
    assert_eq!(spread(&[Value(3.0), Value(1.0), Value(9.0), Value(4.0)]).median, Value(3.5));
    let cut = spread(&[Value(3.0), AtLeast(5.0), Value(1.0), AtLeast(8.0), Unknown("x".into())]);
    assert_eq!((cut.runs, cut.cut_short, cut.unknown), (4, 2, 1));
    assert_eq!((cut.median, cut.min, cut.max), (AtLeast(3.0), Value(1.0), AtLeast(5.0)));
    let none = spread(&[Unknown("x".into())]);
    assert!(matches!((none.runs, none.median), (0, Unknown(_))));
}

#[test]
fn void_runs_are_counted_and_left_out() {
    let mut all = runs(&[Value(3.0)]);
    all.push(run(8, Ruling::Void, Value(100.0)));
    all.push(run(9, Ruling::Failed, Value(5.0)));
    let all = repeated(&all);
    assert_eq!((all.passed, all.failed, all.void, &all.failed_seeds[..]), (1, 1, 1, &[9][..]));
    assert_eq!(all.figures["time"].max, Value(5.0));
    let text = repeated_text(&all);
    assert!(text.contains("1 passed, 1 failed, 1 void") && text.contains("seeds 9"), "{text}");
}

#[test]
fn variants_are_compared_in_pairs_of_one_seed() {
    let first = runs(&[Value(2.0), Value(4.0), Value(0.0), Value(0.0), Value(5.0), AtLeast(3.0), Value(1.0)]);
    let mut second =
        runs(&[Value(1.0), Value(4.0), Value(0.0), Value(1.0), AtLeast(6.0), AtLeast(4.0), Value(9.0)]);
    second[6].ruling = Ruling::Void;
    second.push(run(77, Ruling::Passed, Value(1.0)));
    let all = compared(&first, &second);
    assert_eq!((all.pairs, all.void, &all.unpaired[..]), (6, 1, &[77][..]));
    let time = &all.figures["time"];
    assert_eq!((time.pairs, time.lower, time.same, time.higher), (5, 1, 2, 2));
    assert_eq!((time.min_ratio, time.median_ratio, time.max_ratio), (Some(0.5), Some(1.0), Some(1.0)));
    assert!((time.by_chance - 1.0).abs() < 1e-9);
    assert!(compared_text(&all).contains("6 pairs, 1 left out as void, 1 seeds without a partner"));
}

/// Five of five: once in 32 one way, as often the other.
#[test]
fn a_split_that_a_coin_rarely_gives_says_so() {
    let all = compared(&runs(&[1.0; 5].map(Value)), &runs(&[2.0; 5].map(Value)));
    assert!((all.figures["time"].by_chance - 0.0625).abs() < 1e-9);
    let many = compared(&runs(&[const { Value(1.0) }; 2_000]), &runs(&[const { Value(2.0) }; 2_000]));
    assert!(many.figures["time"].by_chance < 1e-9);
}

#[test]
fn the_figures_of_a_run_are_kept_and_read_again() {
    let mut samples = stream(30, 60, calm);
    samples.push(fault("kill", 20 * S, Touched::default()));
    let figures = Figures::of(&judge(&samples, &[]));
    assert_eq!(figures.values["time_to_full_service_s after kill"], Value(0.0));
    assert_eq!(figures.values["p99_ms of class settle"], Value(29.0));
    assert_eq!(figures.values["wasted_work_share"], Value(0.0));
    let text = serde_json::to_string(&figures).expect("written");
    assert_eq!(serde_json::from_str::<Figures>(&text).ok(), Some(figures));
}
