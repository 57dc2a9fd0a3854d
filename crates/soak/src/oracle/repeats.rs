//! Requests that ran more often than they may.

use super::{add, run_of, Evidence, Rule, Violation, CLOCK_SLACK};
use shaletide_testkit::{checks, End, Repeat, Sent};
use shaletide_types::Micros;
use std::collections::BTreeMap;

impl Evidence {
    pub(super) fn repeats(&self, broken: &mut Vec<Violation>) {
        self.unsafe_repeats(broken);
        self.keyed_repeats(broken);
        self.rejected_that_ran(broken);
    }

    fn unsafe_repeats(&self, broken: &mut Vec<Violation>) {
        for violation in checks::unsafe_ran_once(&self.ledger) {
            let text = violation.what + &self.described(&violation.records);
            add(broken, Rule::UnsafeOnce, text);
        }
    }

    fn keyed_repeats(&self, broken: &mut Vec<Violation>) {
        let window = Micros(self.settings.window_us + self.hold_up().0 + CLOCK_SLACK.0);
        let lives = self.lives_by_run();
        for violation in checks::keyed_ran_in_one_bay(&self.ledger, |_| window) {
            // The repeat may have been written in time and have lain in a cut since then.
            let is_timely = |place: &usize| {
                let record = &self.ledger.records[*place];
                let life = run_of(&record.id).and_then(|run| lives.get(&run));
                life.is_none_or(|life| self.is_timely(record, self.lives[*life].proxy))
            };
            if violation.records.last().is_some_and(is_timely) {
                let text = violation.what + &self.described(&violation.records);
                add(broken, Rule::KeyedInside, text);
            }
        }
    }

    /// Unsafe requests that were rejected, which promises that they have not run, and have.
    fn rejected_that_ran(&self, broken: &mut Vec<Violation>) {
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for (place, record) in self.ledger.records.iter().enumerate() {
            if record.repeat == Repeat::Unsafe && record.ran() {
                ran.insert(&record.id, place);
            }
        }
        for records in &self.clients {
            let is_rejected = |sent: &&Sent| matches!(sent.end, End::Status(429 | 503));
            for sent in records.load.sent.iter().filter(is_rejected) {
                let id = records.load.id(sent.number);
                if let Some(place) = ran.get(id.as_str()) {
                    let text = format!("{id} was refused and ran{}", self.described(&[*place]));
                    add(broken, Rule::HarmlessRefusal, text);
                }
            }
        }
    }
}
