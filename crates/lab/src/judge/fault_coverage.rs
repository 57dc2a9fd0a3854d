//! Whether a fault affected any request. One that did not proves nothing, however good the service was.

use super::facts::{Facts, FaultAt, SECOND_US};

/// Duration assumed for a fault that does not end; also the span before a fault in which use of its targets
/// counts.
pub const NEAR_US: u64 = 5 * SECOND_US;

/// Why a fault affected no request, if so. It affected one if requests were due while it lasted, and if, where its
/// targets are recorded, any of them was in use from [`NEAR_US`] before it to its end.
pub(crate) fn unmet(facts: &Facts<'_>, fault: &FaultAt<'_>) -> Option<String> {
    let end_us = fault.ends_us.unwrap_or(fault.at_us.saturating_add(NEAR_US)).max(fault.at_us + 1);
    let asked = facts.requests.iter().any(|r| fault.at_us <= r.asked_us && r.asked_us < end_us);
    if !asked {
        return Some("no request was asked for while it lasted".into());
    }
    let touches = fault.touches;
    let names_none = touches.proxies.is_empty()
        && touches.backends.is_empty()
        && touches.links.is_empty()
        && touches.clients_of.is_empty()
        && !touches.list;
    if names_none || used(facts, fault, fault.at_us.saturating_sub(NEAR_US), end_us) {
        return None;
    }
    Some("nothing that it was done to was in use".into())
}

fn used(facts: &Facts<'_>, fault: &FaultAt<'_>, from_us: u64, end_us: u64) -> bool {
    let touches = fault.touches;
    let named = |proxy: u32| touches.proxies.contains(&proxy) || touches.clients_of.contains(&proxy);
    let second = |at_us: u64| at_us < end_us && from_us < at_us.saturating_add(SECOND_US);
    let by_proxy = |t: &&super::facts::Try<'_>| {
        t.asked_us < end_us && from_us <= t.ended_us && t.proxy.is_some_and(named)
    };
    let at_backend = |run: &&super::facts::BackendRun<'_>| {
        let over_us = run.ended_us.unwrap_or(u64::MAX);
        run.came_us < end_us && from_us <= over_us && touches.backends.contains(&run.backend)
    };
    facts.tries.iter().any(|t| by_proxy(&t))
        || facts.runs.iter().any(|run| at_backend(&run))
        || facts
            .link_seconds
            .iter()
            .any(|(at, link, bytes, _)| *bytes > 0 && second(*at) && touches.links.iter().any(|l| l == link))
        || touches.list && facts.list_seconds.iter().any(|(at, calls)| *calls > 0 && second(*at))
}
