//! Checks that the lab's records are consistent and that the lab itself kept up. A breach makes the run
//! void, whatever the cause.

use super::check::{Check, Kind};
use super::facts::{BackendRun, Facts, Try};
use crate::samples::{BackendEnd, TryEnd};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for times of one request that are out of order: threads record them after the event, and may wait for a
/// core. The lab's own lateness is added.
pub const CLOCK_GRACE_US: u64 = 20_000;

/// Pairs of times in a thousand that may exceed the tolerance, as a thread may wait long for a core.
pub const CLOCK_STRAYS_PER_1000: u64 = 1;

/// Pairs that may exceed it in a short run.
pub const CLOCK_STRAYS: u64 = 2;

/// Maximum lateness of the lab's own pacing.
pub const LATE_US: u64 = 250_000;

/// Lateness that may be exceeded in one second of twenty.
pub const OFTEN_LATE_US: u64 = 50_000;

/// Fraction of the machine's cores that lab and proxies together may use ...
pub const CPU_SHARE: f64 = 0.95;

/// ... except in so many seconds.
pub const STARVED_S: usize = 3;

/// All accounts, in a fixed order.
pub(crate) fn all(facts: &Facts<'_>) -> Vec<Check> {
    vec![
        clocks_agree(facts),
        counts_add_up(facts),
        cut_links_carry_nothing(facts),
        lab_in_time(facts),
        lab_not_starved(facts),
    ]
}

/// The times of a served try by its client and by its backend are in order: due at the client, received by the
/// backend, answered by the backend, answered at the client. A clock that runs slow or fast breaks this order.
fn clocks_agree(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("clocks_agree", Kind::Lab);
    let mut served: BTreeMap<&str, Option<&BackendRun<'_>>> = BTreeMap::new();
    for run in facts.runs.iter().filter(|run| run.end == BackendEnd::Served) {
        served.entry(run.id).and_modify(|one| *one = None).or_insert(Some(run));
    }
    let mut strays = Check::new("clocks_agree", Kind::Lab);
    for one in facts.tries.iter().filter(|one| one.end == TryEnd::Served) {
        let Some(Some(run)) = served.get(one.id) else { continue };
        check.judged += 1;
        let wrong_us = out_of_order_us(one, run);
        if wrong_us > CLOCK_GRACE_US + late_us(facts, one, wrong_us) {
            let at = facts.backend_name(run.backend);
            let what = || format!("times of {} by client and by {at} are {wrong_us} us out of order", one.id);
            strays.breach(Some(one.ended_us), one.proxy, what);
        }
    }
    let allowed = (check.judged * CLOCK_STRAYS_PER_1000 / 1_000).max(CLOCK_STRAYS);
    if strays.broken > allowed {
        (check.broken, check.breaches) = (strays.broken, strays.breaches);
    }
    check
}

fn late_us(facts: &Facts<'_>, one: &Try<'_>, wrong_us: u64) -> u64 {
    if wrong_us > CLOCK_GRACE_US {
        facts.lab_late_us(one.asked_us, one.ended_us)
    } else {
        0
    }
}

fn out_of_order_us(one: &Try<'_>, run: &BackendRun<'_>) -> u64 {
    let backend_ended_us = run.ended_us.unwrap_or(run.began_us);
    let early_us = one.asked_us.saturating_sub(run.came_us.min(run.began_us));
    let backwards_us = run.began_us.saturating_sub(backend_ended_us);
    let late_us = backend_ended_us.saturating_sub(one.ended_us);
    early_us.max(backwards_us).max(late_us)
}

/// Every id that a backend saw is known to a client; the tries of a request are numbered from 0 without a gap; no two requests
/// share an id; the clients' own counters equal the sums over their tries, each counted once.
fn counts_add_up(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("counts_add_up", Kind::Lab);
    let mut unknown = BTreeSet::new();
    for run in facts.runs.iter().filter(|run| !run.id.is_empty()) {
        check.judged += 1;
        if facts.try_of(run.id).is_none() && unknown.insert(run.id) {
            let at = facts.backend_name(run.backend);
            let what = || format!("{} ran at {at}, and no client tells of it", run.id);
            check.breach(Some(run.began_us), None, what);
        }
    }
    gaps(facts, &mut check);
    totals(facts, &mut check);
    check
}

fn gaps(facts: &Facts<'_>, check: &mut Check) {
    let mut tries: BTreeMap<u64, BTreeSet<u8>> = BTreeMap::new();
    let mut owners: BTreeMap<&str, u64> = BTreeMap::new();
    for one in &facts.tries {
        tries.entry(one.request).or_default().insert(one.nth);
        let owner = *owners.entry(one.id).or_insert(one.request);
        if owner != one.request {
            let what = || format!("requests {owner} and {} share the id {}", one.request, one.id);
            check.breach(Some(one.ended_us), one.proxy, what);
        }
    }
    for (request, nths) in tries {
        let missing = (0..=u8::MAX).zip(&nths).find(|(n, nth)| n != *nth);
        if let Some((n, _)) = missing {
            check.breach(None, None, || format!("request {request} has no try {n} but a later one"));
        }
    }
}

fn totals(facts: &Facts<'_>, check: &mut Check) {
    let Some(counted) = facts.totals else { return };
    check.judged += 1;
    let mut seen = BTreeSet::new();
    let mut recounted = [0_u64; 3];
    for one in facts.tries.iter().filter(|one| seen.insert((one.request, one.nth))) {
        recounted[0] += 1;
        match one.end {
            TryEnd::Served => recounted[1] += 1,
            TryEnd::Refused { .. } => recounted[2] += 1,
            _ => {}
        }
    }
    for (what, (counted, recounted)) in
        ["over", "served", "refused"].iter().zip(counted.iter().zip(recounted))
    {
        if *counted != recounted {
            let what = || format!("clients counted {counted} tries {what} and tell of {recounted}");
            check.breach(None, None, what);
        }
    }
}

/// A link delivers nothing in a direction that is cut.
fn cut_links_carry_nothing(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("cut_links_carry_nothing", Kind::Lab);
    check.judged = facts.link_seconds.len() as u64;
    for (at_us, link, _, leaked) in facts.link_seconds.iter().filter(|second| second.3 > 0) {
        check.breach(Some(*at_us), None, || format!("{leaked} bytes came over {link} while it was cut"));
    }
    check
}

/// The lab's own pacing kept up.
fn lab_in_time(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("lab_in_time", Kind::Lab);
    check.judged = facts.lab.len() as u64;
    for second in facts.lab.iter().filter(|second| second.late_us > LATE_US) {
        check.breach(Some(second.at_us), None, || format!("the lab ran {} us late", second.late_us));
    }
    let often = facts.lab.iter().filter(|second| second.late_us > OFTEN_LATE_US).count();
    if often * 20 > facts.lab.len() {
        let what =
            || format!("the lab ran over {OFTEN_LATE_US} us late in {often} of {} seconds", facts.lab.len());
        check.breach(None, None, what);
    }
    check
}

/// The machine was not overloaded.
fn lab_not_starved(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("lab_not_starved", Kind::Lab);
    let Some(header) = facts.header.filter(|h| h.cores > 0) else { return check };
    check.judged = facts.lab.len() as u64;
    let most_ms = CPU_SHARE * f64::from(header.cores) * 1e3;
    let full = facts.lab.iter().filter(|second| second.cpu_ms as f64 > most_ms).count();
    if full > STARVED_S {
        let what = || format!("lab and proxies took all {} cores in {full} seconds", header.cores);
        check.breach(None, None, what);
    }
    check
}
