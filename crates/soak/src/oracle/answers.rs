//! The answers that clients got.

use super::{add, seconds, Evidence, Rule, Violation};
use shaletide_testkit::{checks, End};

impl Evidence {
    pub(super) fn answers(&self, broken: &mut Vec<Violation>) {
        for records in &self.clients {
            let life = &self.lives[records.life];
            for sent in &records.load.sent {
                let over = sent.arrived + sent.latency;
                let is_killed = life.killed.is_some_and(|killed| over >= killed);
                let id = records.load.id(sent.number);
                let text = || {
                    let (from, to) = (seconds(sent.arrived), seconds(over));
                    format!("{id} at p{} from {from:.3} to {to:.3} s: {:?}", life.proxy, sent.end)
                };
                match sent.end {
                    End::Broken | End::GaveUp if !is_killed => add(broken, Rule::Answered, text()),
                    End::Status(status) if (400..500).contains(&status) && status != 429 => {
                        add(broken, Rule::NotRejected, text());
                    }
                    _ => {}
                }
            }
            let made_up = checks::answers_come_from_boxes(&self.ledger, &records.load);
            made_up.into_iter().for_each(|violation| add(broken, Rule::TrueAnswer, violation.what));
            if records.load.mixed_up + records.load.overfull > 0 {
                let (mixed, more) = (records.load.mixed_up, records.load.overfull);
                let text = format!("p{}: {mixed} answers of others, {more} with more behind", life.proxy);
                add(broken, Rule::TrueAnswer, text);
            }
        }
    }
}
