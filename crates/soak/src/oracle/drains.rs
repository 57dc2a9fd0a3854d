//! Checks that no request arrives at a draining backend after the drain grace.

use super::{report, seconds, Evidence, Invariant, Violation, CLOCK_SLACK, MACHINE_SLACK};
use shaletide_testkit::Record;
use shaletide_types::Micros;

impl Evidence {
    pub(super) fn check_drains(&self, violations: &mut Vec<Violation>) {
        let allowance =
            Micros(self.settings.drain_grace_us + CLOCK_SLACK.0 + MACHINE_SLACK.0 + self.pause_allowance().0);
        for drain in &self.drains {
            let is_during_drain = |record: &Record| {
                record.backend == drain.backend
                    && record.first_byte_at > drain.from
                    && drain.until.is_none_or(|until| record.first_byte_at < until)
            };
            for (record, process) in self.timely_records().filter(|(record, _)| is_during_drain(record)) {
                let known_at = self.change_known_at(&self.processes[process], drain.backend, drain.from);
                if record.first_byte_at > known_at + allowance {
                    let after = (record.first_byte_at - known_at).secs();
                    let text = format!(
                        "{} arrived at b{} at {:.3} s, {after:.3} s after p{} knew of the drain",
                        record.id,
                        drain.backend,
                        seconds(record.first_byte_at),
                        self.processes[process].proxy
                    );
                    report(violations, Invariant::Drain, text);
                }
            }
        }
    }
}
