//! Checks the time left that requests carry, and that nothing is sent for a disconnected client.

use super::{report, Evidence, Invariant, Violation, CLOCK_SLACK};
use shaletide_types::{Micros, Time};
use std::collections::BTreeMap;

/// Time after a client's disconnect in which its request may still arrive at a backend.
const CLIENT_GONE_SLACK: Micros = Micros(100_000);
/// Tolerance by which the time left that a backend receives may exceed the client's actual time left.
const TIME_LEFT_SLACK: Micros = Micros(150_000);

impl Evidence {
    pub(super) fn check_time_left(&self, violations: &mut Vec<Violation>) {
        let mut deadlines: BTreeMap<String, Time> = BTreeMap::new();
        for records in &self.clients {
            for sent in &records.load.sent {
                let deadline = Micros(self.settings.deadlines_us[sent.class]);
                deadlines.insert(records.load.id(sent.number), sent.arrived + deadline);
            }
        }
        for (record, _) in self.timely_records() {
            let Some(deadline) = deadlines.get(&*record.id) else { continue };
            let Some(left) = record.time_left else { continue };
            let until = record.first_byte_at + left;
            if until > *deadline + TIME_LEFT_SLACK {
                let over = (until - *deadline).secs();
                let text = format!("{} arrived with a time left that is {over:.3} s too long", record.id);
                report(violations, Invariant::TimeLeft, text);
            }
        }
    }

    pub(super) fn check_disconnected_clients(&self, violations: &mut Vec<Violation>) {
        let disconnects = self.clients.iter().flat_map(|records| &records.disconnects.1);
        let closed: BTreeMap<&str, Time> =
            disconnects.map(|left| (left.id.as_str(), left.closed_at)).collect();
        let slack = Micros(CLIENT_GONE_SLACK.0 + self.pause_allowance().0 + CLOCK_SLACK.0);
        for (record, _) in self.timely_records() {
            if let Some(closed) =
                closed.get(&*record.id).filter(|closed| record.first_byte_at > **closed + slack)
            {
                let after = (record.first_byte_at - *closed).secs();
                let text = format!("{} arrived {after:.3} s after its client had disconnected", record.id);
                report(violations, Invariant::ClientGone, text);
            }
        }
    }
}
