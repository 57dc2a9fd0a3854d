//! Checks of the rules over the ledger of a run. Pure: each check is a function from records to violations.

use crate::{End, Ledger, LoadResult, Record, Repeat};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A violation of a rule, with the records that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Description of the violation.
    pub description: String,
    /// Indices in [`Ledger::records`].
    pub records: Vec<usize>,
}

/// A drain or deletion that was delivered to all watchers of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drained {
    /// The backend that must not be sent new requests.
    pub name: String,
    /// When the last watcher had received the change.
    pub delivered_at: Time,
}

/// Groups the indices of the records that ran by the name that `name` returns; an empty name is left out.
fn runs_by_name<'a>(
    ledger: &'a Ledger, repeat: Repeat, name: impl Fn(&'a Record) -> &'a str,
) -> BTreeMap<&'a str, Vec<usize>> {
    let mut runs: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, record) in ledger.records.iter().enumerate() {
        if record.repeat == repeat && record.ran() && !name(record).is_empty() {
            runs.entry(name(record)).or_default().push(index);
        }
    }
    runs
}

/// Checks that no non-idempotent request runs twice, over all backends.
pub fn unsafe_ran_once(ledger: &Ledger) -> Vec<Violation> {
    let runs = runs_by_name(ledger, Repeat::Unsafe, |r| &r.id);
    let twice = runs.into_iter().filter(|(_, indices)| indices.len() > 1);
    twice
        .map(|(id, records)| Violation {
            description: format!("unsafe {id} ran {} times", records.len()),
            records,
        })
        .collect()
}

/// Checks that a keyed request runs again only in the deduplication group of its first run, and begins within the
/// deduplication window of its class after the first run began.
pub fn keyed_ran_in_one_group(ledger: &Ledger, window: impl Fn(&str) -> Micros) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, indices) in runs_by_name(ledger, Repeat::Keyed, |r| r.key.as_deref().unwrap_or("")) {
        let Some(&first_index) = indices.iter().min_by_key(|i| ledger.records[**i].last_byte_at) else {
            continue;
        };
        let first = &ledger.records[first_index];
        for index in indices.into_iter().filter(|i| *i != first_index) {
            let again = &ledger.records[index];
            let group = |record: &Record| ledger.backends.get(record.backend).map(|b| b.deduplication_group);
            let delay = again.last_byte_at - first.last_byte_at;
            let description = if group(again) != group(first) {
                format!("key {key} ran in two deduplication groups")
            } else if delay > window(&first.class) {
                format!("key {key} ran again {:.3} s after its first run", delay.secs())
            } else {
                continue;
            };
            violations.push(Violation { description, records: vec![first_index, index] });
        }
    }
    violations
}

/// Checks that a backend receives no request later than `grace` after its drain was delivered to all watchers, until the
/// backend restarts. A request counts from its first byte, and rejected requests count too.
pub fn no_requests_after_drain(ledger: &Ledger, drained: &[Drained], grace: Micros) -> Vec<Violation> {
    let mut violations = Vec::new();
    for drain in drained {
        let Some(index) = ledger.backend_index(&drain.name) else { continue };
        let boots = &ledger.backends[index].boots;
        let started_before =
            |boot: usize| boots.get(boot).is_none_or(|b| b.at.is_none_or(|at| at <= drain.delivered_at));
        for (number, record) in ledger.records.iter().enumerate() {
            let concerned = record.backend == index && started_before(record.boot);
            if concerned && record.first_byte_at > drain.delivered_at + grace {
                let late = (record.first_byte_at - drain.delivered_at).secs();
                let description =
                    format!("{} reached {} {late:.3} s after its drain was delivered", record.id, drain.name);
                violations.push(Violation { description, records: vec![number] });
            }
        }
    }
    violations
}

/// Checks that each answer with status 200 that a client received was served by a backend under the id of that request.
/// Finds nothing if the ledger is incomplete.
pub fn answers_come_from_backends(ledger: &Ledger, result: &LoadResult) -> Vec<Violation> {
    let served = |r: &&Record| r.ended.is_some_and(|(_, how)| how.is_served());
    let served: BTreeSet<&str> = ledger.records.iter().filter(served).map(|r| &*r.id).collect();
    let answered =
        result.sent.iter().filter(|sent| sent.end == End::Status(200)).map(|s| result.id(s.number));
    let without_backend = answered.filter(|id| ledger.unrecorded == 0 && !served.contains(&id[..]));
    without_backend
        .map(|id| Violation { description: format!("{id} was answered by no backend"), records: Vec::new() })
        .collect()
}

/// Limit on the work that is sent to a backend during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Largest ratio of the work sent to the work that the backend can do within `window`.
    pub multiple: f64,
    /// Length of the sliding window over which work is summed.
    pub window: Micros,
    /// Tolerance for random variation, as a fraction of the limit.
    pub slack: f64,
}

/// Checks that a cold backend is not sent more work, within a window that begins during its warm-up, than `multiple` times
/// what it can do in that window. All requests count, also those that it rejects. Reports one violation per start.
pub fn slow_start_limit_kept(ledger: &Ledger, limit: SlowStartLimit) -> Vec<Violation> {
    let mut by_boot: BTreeMap<(usize, usize), Vec<usize>> = BTreeMap::new();
    for (index, record) in ledger.records.iter().enumerate() {
        by_boot.entry((record.backend, record.boot)).or_default().push(index);
    }
    let mut violations = Vec::new();
    for ((backend, boot), indices) in by_boot {
        let Some(info) = ledger.backends.get(backend) else { continue };
        let Some(booted) = info.boots.get(boot).and_then(|b| b.at) else { continue };
        let (mut window_start, mut sent) = (0, 0.0);
        for (n, index) in indices.iter().enumerate() {
            let end = ledger.records[*index].last_byte_at;
            sent += ledger.records[*index].work_ms;
            while ledger.records[indices[window_start]].last_byte_at + limit.window < end {
                sent -= ledger.records[indices[window_start]].work_ms;
                window_start += 1;
            }
            // A window may begin before the start of the backend. There the backend counts with its initial speed.
            let begin = Time(end.0.saturating_sub(limit.window.0));
            let possible = info.cpu_capacity.work_between(Some(booted), begin, end);
            if begin < booted + info.cpu_capacity.ramp
                && sent > limit.multiple * possible * (1.0 + limit.slack)
            {
                let age = (end - booted).secs();
                let description = format!(
                    "{} was sent {sent:.0} ms of work at {age:.3} s, could do {possible:.0}",
                    info.name
                );
                violations.push(Violation { description, records: indices[window_start..=n].to_vec() });
                break;
            }
        }
    }
    violations
}

#[cfg(test)]
mod tests;
