//! What a backend gets in the time after its start.

use super::{add, run_of, Evidence, Rule, Violation, CORES, MEAN_WORK_MS};
use crate::settings::{RunSettings, FALL_WINDOW_US};
use shaletide_testkit::Record;
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

impl Evidence {
    /// What a cold backend may get in the window that began at that age.
    pub fn cold_limit(settings: &RunSettings, age: Micros) -> f64 {
        let RunSettings { cold_from, ramp_us, fall_multiple, .. } = *settings;
        let warmth = cold_from + (1.0 - cold_from) * (age.secs() / Micros(ramp_us).secs()).min(1.0);
        let able = warmth * f64::from(CORES) * Micros(FALL_WINDOW_US).secs() / (MEAN_WORK_MS / 1e3);
        let n = fall_multiple * able;
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }

    /// When a backend's start of that number was listed; the first is its start before the run.
    fn listed(&self, backend: usize, boot: usize) -> Option<Time> {
        let mut starts = self.returns.iter().filter(|start| start.backend == backend);
        starts.nth(boot.checked_sub(1)?).map(|start| start.listed)
    }

    /// A backend falls where it gets too much, and the rule is broken where over two thirds of that came from processes
    /// that had been told of its start.
    pub(super) fn cold_starts(&self, broken: &mut Vec<Violation>) {
        let lives = self.lives_by_run();
        let mut by_boot: BTreeMap<(usize, usize), Vec<&Record>> = BTreeMap::new();
        for record in &self.ledger.records {
            by_boot.entry((record.at_box, record.boot)).or_default().push(record);
        }
        for ((at_box, boot), records) in by_boot {
            let booted = self.ledger.boxes[at_box].boots.get(boot).and_then(|boot| boot.at);
            let Some((booted, listed)) = booted.zip(self.listed(at_box, boot)) else { continue };
            let knew = |record: &Record| {
                let life = run_of(&record.id).and_then(|run| lives.get(&run));
                life.is_some_and(|life| record.came >= self.told(&self.lives[*life], at_box, listed))
            };
            let mut first = 0;
            for (at, record) in records.iter().enumerate() {
                while records[first].began + Micros(FALL_WINDOW_US) < record.began {
                    first += 1;
                }
                let age = (record.began - Micros(FALL_WINDOW_US)) - booted; // as the window began
                let (got, limit) = (at - first + 1, Evidence::cold_limit(&self.settings, age));
                if age >= Micros(self.settings.ramp_us) || got as f64 <= limit {
                    continue;
                }
                let told = records[first..=at].iter().filter(|record| knew(record)).count();
                if 3 * told > 2 * got {
                    let after = (record.began - booted).secs();
                    let text = format!(
                        "b{at_box} got {got} requests in 2 s up to {after:.3} s after its start, {told} of those who \
                         knew, and may get {limit:.0}"
                    );
                    add(broken, Rule::Cold, text);
                }
                break; // it has fallen
            }
        }
    }
}
