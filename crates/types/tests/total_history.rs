//! `TotalHistory`: the growth of a total since a past moment.

use shaletide_types::{Micros, Time, TotalHistory};

const MS: u64 = 1_000;

fn history(records: &[(u64, u64)]) -> TotalHistory {
    let mut history = TotalHistory::default();
    records.iter().for_each(|(at_ms, total_ms)| history.record(Time(at_ms * MS), Micros(total_ms * MS)));
    history
}

#[test]
fn growth_counts_from_last_step_at_or_before_moment() {
    let history = history(&[(10, 100), (20, 130), (30, 130), (40, 170)]);
    let growth = [10, 15, 20, 25, 35, 40, 50].map(|ms| history.growth_since(Time(ms * MS)).0 / MS);
    assert_eq!(growth, [70, 70, 40, 40, 40, 0, 0]);
    assert_eq!(history.growth_since(Time(0)), Micros(70 * MS), "before the first step");
    assert_eq!(TotalHistory::default().growth_since(Time(0)), Micros(0));
}

#[test]
fn small_growth_counts_with_the_next_step() {
    let mut history = history(&[(10, 100)]);
    for step in 1..=9 {
        history.record(Time((10 + step) * MS), Micros(100 * MS + step * 300));
    }
    assert_eq!(history.growth_since(Time(10 * MS)), Micros(2_700));
    assert_eq!(history.growth_since(Time(14 * MS)), Micros(1_500), "from the step of 1.2 ms at 14 ms");
}

#[test]
fn oldest_steps_are_dropped() {
    let records: Vec<(u64, u64)> = (0..1_000).map(|n| (n, 2 * n)).collect();
    let history = history(&records);
    assert_eq!(history.growth_since(Time(990 * MS)), Micros(18 * MS));
    assert_eq!(history.growth_since(Time(0)), Micros(510 * MS), "from the oldest of 256 steps");
}
