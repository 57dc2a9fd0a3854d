//! Nothing new goes to a backend that drains or is gone, but for the grace after that was told.

use super::record::Record;
use super::{broken, Rule, Rules, Verdict};
use shaletide_types::*;

pub(super) fn may_send(record: &Record, now: Time, to: BackendId, rules: &Rules) -> Verdict {
    match record.boxes.get(&to) {
        Some(entry) if entry.state == BackendState::Ready || now < entry.since + rules.drain_grace => Ok(()),
        Some(entry) => {
            let ago = (now - entry.since).0 / 1_000;
            let text = format!("box {} is sent something new, {ago} ms after it was told not to be", to.0);
            broken(Rule::Drain, now, text)
        }
        None => broken(Rule::Drain, now, format!("box {} is sent something new and no list has it", to.0)),
    }
}
