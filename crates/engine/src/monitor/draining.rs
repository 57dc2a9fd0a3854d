//! No attempt is sent to a backend that is draining or gone, once the grace after that update has passed.

use super::observed::ObservedState;
use super::{violation, Rule, Rules, Verdict};
use shaletide_types::*;

pub(super) fn may_send(observed: &ObservedState, now: Time, to: BackendId, rules: &Rules) -> Verdict {
    match observed.backends.get(&to) {
        Some(entry)
            if entry.state == BackendState::Ready || now < entry.not_ready_since + rules.drain_grace =>
        {
            Ok(())
        }
        Some(entry) => {
            let elapsed_ms = (now - entry.not_ready_since).0 / 1_000;
            let text =
                format!("box {} is sent something new, {elapsed_ms} ms after it was told not to be", to.0);
            violation(Rule::Draining, now, text)
        }
        None => {
            violation(Rule::Draining, now, format!("box {} is sent something new and no list has it", to.0))
        }
    }
}
