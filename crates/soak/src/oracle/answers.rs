//! Checks the answers that clients received.

use super::{report, seconds, Evidence, Invariant, Violation};
use crate::proxies::ProcessRecord;
use shaletide_testkit::{checks, End, Ended, Sent};
use shaletide_types::Time;
use std::collections::BTreeMap;

/// Returns when a request ended for its client.
fn ended_at(sent: &Sent) -> Time {
    sent.arrived + sent.latency
}

/// Returns whether a request ended after its process was killed.
fn ended_by_kill(process: &ProcessRecord, sent: &Sent) -> bool {
    process.killed_at.is_some_and(|killed| ended_at(sent) >= killed)
}

impl Evidence {
    /// Returns whether a request was sent on a connection that a conflicting listener accepted in place of the proxy.
    fn used_conflicting_listener(&self, proxy: usize, sent: &Sent) -> bool {
        sent.client.is_some_and(|client| self.clients_of_conflicting_listeners.contains(&(proxy, client)))
    }

    /// Checks what became of answers without a length that their backend sent whole. Requests with several attempts are left
    /// out, as another attempt may have been answered first, and so are those of processes that were killed meanwhile.
    pub(super) fn check_lengthless_answers(&self, violations: &mut Vec<Violation>) {
        let mut ends_by_id: BTreeMap<&str, Vec<Option<Ended>>> = BTreeMap::new();
        for record in &self.ledger.records {
            ends_by_id.entry(&record.id).or_default().push(record.ended.map(|(_, end)| end));
        }
        let (mut whole, mut forwarded) = (0, 0);
        for records in &self.clients {
            let process = &self.processes[records.process];
            for sent in &records.load.sent {
                let id = records.load.id(sent.number);
                let is_whole =
                    ends_by_id.get(&id[..]).is_some_and(|ends| ends == &[Some(Ended::ServedUntilClose)]);
                if is_whole && !ended_by_kill(process, sent) {
                    whole += 1;
                    forwarded += usize::from(sent.end == End::Status(200));
                }
            }
        }
        if forwarded * 2 < whole {
            let text = format!("{forwarded} of {whole} whole answers without a length were forwarded");
            report(violations, Invariant::LengthlessForwarded, text);
        }
    }

    pub(super) fn check_answers(&self, violations: &mut Vec<Violation>) {
        for records in &self.clients {
            let process = &self.processes[records.process];
            for sent in &records.load.sent {
                let is_killed = ended_by_kill(process, sent);
                let id = records.load.id(sent.number);
                let text = || {
                    let (from, to) = (seconds(sent.arrived), seconds(ended_at(sent)));
                    let (proxy, end) = (process.proxy, sent.end);
                    let resent = if sent.resent { ", sent again on a new connection" } else { "" };
                    format!("{id} at p{proxy} from {from:.3} to {to:.3} s: {end:?}{resent}")
                };
                match sent.end {
                    End::Broken | End::GaveUp
                        if !is_killed && !self.used_conflicting_listener(process.proxy, sent) =>
                    {
                        report(violations, Invariant::Answered, text());
                    }
                    End::Status(status) if (400..500).contains(&status) && status != 429 => {
                        report(violations, Invariant::NotRejected, text());
                    }
                    _ => {}
                }
            }
            let unfounded = checks::answers_come_from_backends(&self.ledger, &records.load);
            for violation in unfounded {
                report(violations, Invariant::TrueAnswer, violation.description);
            }
            if records.load.mismatched_answers + records.load.excess_bytes > 0 {
                let (mismatched, excess) = (records.load.mismatched_answers, records.load.excess_bytes);
                let text = format!(
                    "p{}: {mismatched} answers to other requests, {excess} followed by excess bytes",
                    process.proxy
                );
                report(violations, Invariant::TrueAnswer, text);
            }
        }
    }
}
