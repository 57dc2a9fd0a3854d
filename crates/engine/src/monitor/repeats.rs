//! An unsafe request runs once; a keyed one again only where and while its repeats are dropped.

use super::record::{Record, Where};
use super::{broken, Rule, Verdict};
use shaletide_types::*;

pub(super) fn may_send(record: &Record, now: Time, id: RequestId, to: BackendId) -> Verdict {
    let Some(r) = record.requests.get(&id) else { return Ok(()) };
    match r.effect {
        Idempotency::Safe => Ok(()),
        Idempotency::NonIdempotent => match r.sent.keys().next() {
            None => Ok(()),
            Some(before) => {
                let text =
                    format!("unsafe request {} is sent again and attempt {} may have run", id.0, before.0);
                broken(Rule::UnsafeOnce, now, text)
            }
        },
        Idempotency::Keyed(scope, window) => {
            let Some(place) = record.boxes.get(&to).map(|e| e.place) else { return Ok(()) };
            for (before, sent) in &r.sent {
                if !same_group(scope, sent.place, place) {
                    let text = format!(
                        "keyed request {} is sent again to box {}, which does not know of attempt {}",
                        id.0, to.0, before.0
                    );
                    return broken(Rule::KeyedInside, now, text);
                }
                if now >= sent.at + window {
                    let text = format!(
                        "keyed request {} is sent again after the window of attempt {}",
                        id.0, before.0
                    );
                    return broken(Rule::KeyedInside, now, text);
                }
            }
            Ok(())
        }
    }
}

/// Keys mean nothing from one realm to another, whatever they are called.
fn same_group(scope: DeduplicationScope, one: Where, other: Where) -> bool {
    let inside = match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Group => one.cell == other.cell,
    };
    inside && one.realm == other.realm
}
