//! Requests that come to a backend after its drain was told.

use super::{add, seconds, Evidence, Rule, Violation, CLOCK_SLACK, MACHINE_SLACK};
use shaletide_testkit::Record;
use shaletide_types::Micros;

impl Evidence {
    pub(super) fn drains(&self, broken: &mut Vec<Violation>) {
        let late = Micros(self.settings.drain_grace_us + CLOCK_SLACK.0 + MACHINE_SLACK.0 + self.hold_up().0);
        for unlisted in &self.unlisted {
            let here = |r: &Record| {
                r.at_box == unlisted.backend
                    && r.came > unlisted.from
                    && unlisted.until.is_none_or(|until| r.came < until)
            };
            for (record, life) in self.timely().filter(|(record, _)| here(record)) {
                let told = self.told(&self.lives[life], unlisted.backend, unlisted.from);
                if record.came > told + late {
                    let after = (record.came - told).secs();
                    let text = format!(
                        "{} came to b{} at {:.3} s, {after:.3} s after p{} was told",
                        record.id,
                        unlisted.backend,
                        seconds(record.came),
                        self.lives[life].proxy
                    );
                    add(broken, Rule::Drain, text);
                }
            }
        }
    }
}
