//! A non-idempotent request is executed once; a keyed one is sent again only where and while repeats are discarded.

use super::observed::{Record, Where};
use super::{violation, Rule, Verdict};
use shaletide_types::*;

pub(super) fn may_send(record: &Record, now: Time, id: RequestId, to: BackendId) -> Verdict {
    let Some(r) = record.requests.get(&id) else { return Ok(()) };
    match r.effect {
        Idempotency::Safe => Ok(()),
        Idempotency::NonIdempotent => match r.sent.keys().next() {
            None => Ok(()),
            Some(before) => {
                let text = format!(
                    "non-idempotent request {} was sent again though attempt {} may have been executed",
                    id.0, before.0
                );
                violation(Rule::UnsafeOnce, now, text)
            }
        },
        Idempotency::Keyed(scope, window) => {
            let Some(place) = record.boxes.get(&to).map(|e| e.place) else { return Ok(()) };
            for (before, sent) in &r.sent {
                if !same_group(scope, sent.place, place) {
                    let text = format!(
                        "keyed request {} was sent again to backend {}, which does not share the keys seen by attempt {}",
                        id.0, to.0, before.0
                    );
                    return violation(Rule::KeyedInside, now, text);
                }
                if now >= sent.at + window {
                    let text = format!(
                        "keyed request {} was sent again after the deduplication window of attempt {}",
                        id.0, before.0
                    );
                    return violation(Rule::KeyedInside, now, text);
                }
            }
            Ok(())
        }
    }
}

/// Groups of different domains share no keys, whatever their names.
fn same_group(scope: DeduplicationScope, one: Where, other: Where) -> bool {
    let inside = match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Group => one.cell == other.cell,
    };
    inside && one.realm == other.realm
}
