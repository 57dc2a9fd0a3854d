//! The product's rules over a run. Rules that the test kit has are taken from there: [`shaletide_testkit::checks`].

use super::check::{Check, Kind};
use super::facts::{BackendRun, Facts, Try};
use super::process_state::ProcessTimeline;
use crate::samples::{BackendEnd, Idempotency, PowerInfo, TryEnd, MAX_SAMPLES};
use shaletide_testkit::checks::{self, SlowStartLimit, Violation};
use shaletide_testkit::{BackendInfo, Boot, CpuCapacity, Ended, Ledger, Record, Repeat};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Tolerance for a response after its deadline: two passages through links, and a busy machine. The lab's own lateness
/// is added.
pub const ANSWER_GRACE_US: u64 = 100_000;

/// How long a proxy may still send to a backend after it was notified that the backend drains.
pub const DRAIN_GRACE_US: u64 = 2_000_000;

/// What a backend may be sent during warm-up: three times its capacity in any second, and a tenth for chance.
pub const PUSH: SlowStartLimit = SlowStartLimit { multiple: 3.0, window: Micros(1_000_000), slack: 0.1 };

/// All rules over a run, in a fixed order.
pub(crate) fn all(facts: &Facts<'_>, timelines: &[ProcessTimeline]) -> Vec<Check> {
    let ledger = ledger(facts);
    vec![
        one_answer(facts),
        answered_in_time(facts, timelines),
        unsafe_once(facts, &ledger),
        keyed_in_bay_and_window(facts, &ledger),
        refused_never_ran(facts),
        drained_left_alone(facts),
        cold_not_pushed_over(facts, &ledger),
        answers_from_backends(facts),
    ]
}

/// Each try has one end.
fn one_answer(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("one_answer", Kind::Rule);
    let mut seen = BTreeSet::new();
    for one in &facts.tries {
        check.judged += 1;
        if !seen.insert((one.request, one.nth)) {
            check.breach(Some(one.ended_us), one.proxy, || format!("try {} had a second end", one.id));
        }
    }
    check
}

/// A running proxy answers within the class's deadline, or the client's if that is later.
/// Judged if the client waited for at least [`ANSWER_GRACE_US`] longer and the proxy was neither stopped
/// nor cut off from its clients meanwhile.
fn answered_in_time(facts: &Facts<'_>, timelines: &[ProcessTimeline]) -> Check {
    let mut check = Check::new("answered_in_time", Kind::Rule);
    for one in &facts.tries {
        let Some(proxy) = one.proxy else { continue };
        let class_us = facts.class(one.class).map_or(0, |c| c.deadline_us);
        let until_us = one.deadline_us.max(one.asked_us.saturating_add(class_us));
        let answered = one.end.answered();
        let late = one.ended_us > until_us.saturating_add(ANSWER_GRACE_US);
        let there = timelines.get(proxy as usize).is_some_and(|b| b.answers(one.asked_us, one.ended_us));
        let judged = answered || (late && one.end == TryEnd::Silent);
        if !judged || !there || cut_off(facts, proxy, one) {
            continue;
        }
        check.judged += 1;
        let lab_us = if late { facts.lab_late_us(one.asked_us, one.ended_us) } else { 0 };
        let over_us = one.ended_us.saturating_sub(until_us);
        if over_us > ANSWER_GRACE_US + lab_us {
            let how = if answered { "was answered" } else { "was still not answered" };
            let what = || format!("try {} {how} {:.3} s after its time", one.id, over_us as f64 / 1e6);
            check.breach(Some(one.ended_us), Some(proxy), what);
        }
    }
    check
}

fn cut_off(facts: &Facts<'_>, proxy: u32, one: &Try<'_>) -> bool {
    facts.faults.iter().any(|fault| {
        let ends_us = fault.ends_us.unwrap_or(u64::MAX);
        fault.touches.clients_of.contains(&proxy) && fault.at_us <= one.ended_us && one.asked_us <= ends_us
    })
}

/// No non-idempotent request is executed twice, over all its tries and all backends.
fn unsafe_once(facts: &Facts<'_>, ledger: &Ledger) -> Check {
    let mut check = Check::new("unsafe_once", Kind::Rule);
    check.judged = count(ledger, Repeat::Unsafe);
    add_violations(&mut check, facts, checks::unsafe_ran_once(ledger));
    check
}

/// A keyed request is executed again only in the deduplication group of its first run, within its class's window.
fn keyed_in_bay_and_window(facts: &Facts<'_>, ledger: &Ledger) -> Check {
    let mut check = Check::new("keyed_in_bay_and_window", Kind::Rule);
    check.judged = count(ledger, Repeat::Keyed);
    let classes = facts.header.map_or(&[][..], |h| h.classes);
    let window = |name: &str| {
        let class = classes.iter().find(|c| c.name == name);
        Micros(class.map_or(0, |c| c.window_us))
    };
    add_violations(&mut check, facts, checks::keyed_ran_in_one_group(ledger, window));
    check
}

/// A request rejected with 429 or 503, so that its client may retry, was not executed. Safe requests are exempt, and
/// keyed ones if all backends share one deduplication group: a second execution of those does no harm.
fn refused_never_ran(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("refused_never_ran", Kind::Rule);
    let deduplication_groups: BTreeSet<u32> =
        facts.backends.values().map(|b| b.deduplication_group).collect();
    let mut ran: BTreeMap<&str, &BackendRun<'_>> = BTreeMap::new();
    for run in facts.runs.iter().filter(|run| run.end.ran() && !run.id.is_empty()) {
        ran.entry(run.id).or_insert(run);
    }
    for one in &facts.tries {
        let TryEnd::Refused { status } = one.end else { continue };
        let held = match facts.idempotency(one.class) {
            Idempotency::Safe => false,
            Idempotency::Keyed => deduplication_groups.len() > 1,
            Idempotency::NonIdempotent => true,
        };
        if !held {
            continue;
        }
        check.judged += 1;
        if let Some(run) = ran.get(one.id) {
            let at = facts.backend_name(run.backend);
            let what = || format!("try {} was refused with {status} and had run at {at}", one.id);
            check.breach(Some(one.ended_us), one.proxy, what);
        }
    }
    check
}

/// No new request reaches a backend more than [`DRAIN_GRACE_US`] after the proxy that sends it was notified that the backend
/// drains or is gone, until that proxy is notified otherwise or the backend restarts. Runs that went through no known
/// proxy are not judged.
fn drained_left_alone(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("drained_left_alone", Kind::Rule);
    let mut updates: BTreeMap<(u32, u32), Vec<(u64, bool)>> = BTreeMap::new();
    for update in &facts.endpoint_updates {
        let unwanted = update.state == "draining" || update.state == "gone";
        updates.entry((update.proxy, update.backend)).or_default().push((update.at_us, unwanted));
    }
    for run in &facts.runs {
        let Some(proxy) = facts.try_of(run.id).and_then(|one| one.proxy) else { continue };
        let Some(updates) = updates.get(&(proxy, run.backend)) else { continue };
        check.judged += 1;
        let Some(since_us) = unwanted_since(updates, run.came_us) else { continue };
        let boot = facts.boots.get(&(run.backend, run.boot));
        // An unrecorded start may have come after the update.
        let started_before = boot.map_or(run.boot == 0, |b| b.at_us.is_none_or(|at| at <= since_us));
        let late_us = run.came_us.saturating_sub(since_us);
        if started_before && late_us > DRAIN_GRACE_US {
            let name = facts.backend_name(run.backend);
            let late_s = late_us as f64 / 1e6;
            let what = || {
                format!("{} came to {name} {late_s:.3} s after proxy {proxy} was notified that it drains or is gone", run.id)
            };
            check.breach(Some(run.came_us), Some(proxy), what);
        }
    }
    check
}

/// Since when a backend was draining or gone at that time: from the first of the unbroken updates that say so.
fn unwanted_since(updates: &[(u64, bool)], at_us: u64) -> Option<u64> {
    let before = updates.iter().take_while(|(notified_us, _)| *notified_us <= at_us);
    before.fold(None, |since, (notified_us, unwanted)| unwanted.then(|| since.unwrap_or(*notified_us)))
}

/// No warming backend is sent more than [`PUSH`] allows. Judged are the starts of backends whose capacity is known.
fn cold_not_pushed_over(facts: &Facts<'_>, ledger: &Ledger) -> Check {
    let mut check = Check::new("cold_not_pushed_over", Kind::Rule);
    let known = |backend: &u32| facts.backends.get(backend).is_some_and(|b| b.power.is_some());
    let cold = facts.boots.iter().filter(|((backend, _), boot)| boot.at_us.is_some() && known(backend));
    check.judged = cold.count() as u64;
    add_violations(&mut check, facts, checks::slow_start_limit_kept(ledger, PUSH));
    check
}

/// Every served try was served by a backend, with the same correlation id.
fn answers_from_backends(facts: &Facts<'_>) -> Check {
    let mut check = Check::new("answers_from_boxes", Kind::Rule);
    let served = facts.runs.iter().filter(|run| run.end == BackendEnd::Served);
    let served: BTreeSet<&str> = served.map(|run| run.id).collect();
    for one in facts.tries.iter().filter(|one| one.end == TryEnd::Served) {
        check.judged += 1;
        if !served.contains(one.id) {
            check
                .breach(Some(one.ended_us), one.proxy, || format!("try {} was served by no backend", one.id));
        }
    }
    check
}

fn count(ledger: &Ledger, repeat: Repeat) -> u64 {
    ledger.records.iter().filter(|r| r.repeat == repeat && r.ran()).count() as u64
}

/// Adds the violations that a rule of the test kit found. Indices in the ledger are indices in `facts.runs`.
fn add_violations(check: &mut Check, facts: &Facts<'_>, found: Vec<Violation>) {
    for violation in found {
        let last = violation.records.last().and_then(|place| facts.runs.get(*place));
        let proxy = last.and_then(|run| facts.try_of(run.id)).and_then(|one| one.proxy);
        check.breach(last.map(|run| run.began_us), proxy, || violation.description);
    }
}

/// The runs in the form of the test kit's rules. A run has the id of its request, so that all tries are one request.
fn ledger(facts: &Facts<'_>) -> Ledger {
    let places: BTreeMap<u32, usize> = facts.backends.keys().enumerate().map(|(n, b)| (*b, n)).collect();
    let backends = facts.backends.iter().map(|(number, b)| BackendInfo {
        name: b.name.to_owned(),
        deduplication_group: u64::from(b.deduplication_group),
        cpu_capacity: b.power.map_or(CpuCapacity::warm(1, 1.0), power),
        boots: boots(facts, *number),
    });
    let mut ledger = Ledger { backends: backends.collect(), ..Ledger::new(MAX_SAMPLES) };
    let classes = facts.header.map_or(&[][..], |h| h.classes);
    let names: Vec<Arc<str>> = classes.iter().map(|c| Arc::from(&*c.name)).collect();
    for run in &facts.runs {
        let class = names.get(run.class as usize).cloned().unwrap_or_else(|| Arc::from("unknown"));
        let backend = places.get(&run.backend).copied().unwrap_or(usize::MAX);
        ledger.begin(record(facts, run, backend, class));
    }
    ledger
}

fn record(facts: &Facts<'_>, run: &BackendRun<'_>, backend: usize, class: Arc<str>) -> Record {
    let repeat = match facts.idempotency(run.class) {
        Idempotency::Safe => Repeat::Safe,
        Idempotency::Keyed => Repeat::Keyed,
        Idempotency::NonIdempotent => Repeat::Unsafe,
    };
    let id = match facts.try_of(run.id) {
        Some(one) => format!("request {}", one.request).into(),
        None => run.id.into(),
    };
    let ended = ended(run.end).map(|how| (Time(run.ended_us.unwrap_or(run.began_us)), how));
    Record {
        backend,
        boot: run.boot as usize,
        id,
        key: run.key.map(Into::into),
        class,
        repeat,
        first_byte_at: Time(run.came_us),
        last_byte_at: Time(run.began_us),
        ended,
        draining: None,
        work_ms: run.work_ms,
        time_left: None,
    }
}

fn boots(facts: &Facts<'_>, backend: u32) -> Vec<Boot> {
    let starts = facts.boots.range((backend, 0)..=(backend, u32::MAX));
    let mut boots = Vec::new();
    for ((_, number), boot) in starts.take(1_000) {
        let missing = (*number as usize).saturating_sub(boots.len()).min(1_000);
        boots.extend(std::iter::repeat_n(Boot { at: None, died: None }, missing));
        boots.push(Boot { at: boot.at_us.map(Time), died: boot.died_us.map(Time) });
    }
    boots
}

fn power(info: PowerInfo) -> CpuCapacity {
    CpuCapacity {
        cores: info.cores,
        speed: info.speed,
        initial_capacity_fraction: info.initial_capacity_fraction,
        ramp: Micros(info.ramp_us),
    }
}

fn ended(end: BackendEnd) -> Option<Ended> {
    Some(match end {
        BackendEnd::Served => Ended::Served,
        BackendEnd::Rejected => Ended::TurnedAway,
        BackendEnd::Failed => Ended::Failed,
        BackendEnd::Cancelled => Ended::Cancelled,
        BackendEnd::Hung => Ended::Hung,
        BackendEnd::Reset => Ended::Reset,
        BackendEnd::InvalidResponse => Ended::InvalidResponse,
        BackendEnd::BackendDied => Ended::BoxDied,
        BackendEnd::Open => return None,
    })
}
