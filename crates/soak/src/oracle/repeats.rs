//! Checks that no request runs more often than its idempotency allows.

use super::{report, Evidence, Invariant, Violation, CLOCK_SLACK};
use shaletide_testkit::{checks, End, Repeat, Sent};
use shaletide_types::Micros;
use std::collections::BTreeMap;

impl Evidence {
    pub(super) fn check_repeats(&self, violations: &mut Vec<Violation>) {
        self.check_unsafe_repeats(violations);
        self.check_keyed_repeats(violations);
        self.check_rejected(violations);
    }

    fn check_unsafe_repeats(&self, violations: &mut Vec<Violation>) {
        for violation in checks::unsafe_ran_once(&self.ledger) {
            let text = violation.description + &self.describe(&violation.records);
            report(violations, Invariant::UnsafeOnce, text);
        }
    }

    /// A backend executes a repeat that arrives after the window, whenever it was written and however long the link delayed
    /// it: the time at which its last byte arrived counts.
    fn check_keyed_repeats(&self, violations: &mut Vec<Violation>) {
        let window = Micros(self.settings.deduplication_window_us + self.pause_allowance().0 + CLOCK_SLACK.0);
        for violation in checks::keyed_ran_in_one_group(&self.ledger, |_| window) {
            let text = violation.description + &self.describe(&violation.records);
            report(violations, Invariant::KeyedInside, text);
        }
    }

    /// A rejection promises that the request was not executed.
    fn check_rejected(&self, violations: &mut Vec<Violation>) {
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, record) in self.ledger.records.iter().enumerate() {
            if record.repeat == Repeat::Unsafe && record.ran() {
                ran.insert(&record.id, index);
            }
        }
        for records in &self.clients {
            let is_rejected = |sent: &&Sent| matches!(sent.end, End::Status(429 | 503));
            for sent in records.load.sent.iter().filter(is_rejected) {
                let id = records.load.id(sent.number);
                if let Some(index) = ran.get(id.as_str()) {
                    let text = format!("{id} was rejected but ran{}", self.describe(&[*index]));
                    report(violations, Invariant::HarmlessRefusal, text);
                }
            }
        }
    }
}
