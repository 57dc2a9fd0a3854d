//! The rules over a run's ledger. Pure: each is a function from records to what breaks it.

use crate::{End, Ended, Ledger, LoadResult, Record, Repeat};
use shaletide_types::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A rule that was broken, with the records that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// In words.
    pub description: String,
    /// Places in [`Ledger::records`].
    pub records: Vec<usize>,
}

/// A change of the list that was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Which backend wants nothing new.
    pub name: String,
    /// When all who send had been told.
    pub delivered_at: Time,
}

/// The records that ran, by a name of theirs.
fn runs<'a>(
    ledger: &'a Ledger, repeat: Repeat, name: impl Fn(&'a Record) -> &'a str,
) -> BTreeMap<&'a str, Vec<usize>> {
    let mut runs: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (place, record) in ledger.records.iter().enumerate() {
        if record.repeat == repeat && record.ran() && !name(record).is_empty() {
            runs.entry(name(record)).or_default().push(place);
        }
    }
    runs
}

/// No request that is unsafe to repeat runs twice, over all backends together.
pub fn unsafe_ran_once(ledger: &Ledger) -> Vec<Violation> {
    let runs = runs(ledger, Repeat::Unsafe, |r| &r.id);
    let twice = runs.into_iter().filter(|(_, places)| places.len() > 1);
    twice
        .map(|(id, records)| Violation {
            description: format!("unsafe {id} ran {} times", records.len()),
            records,
        })
        .collect()
}

/// A keyed request runs again only in the bay of its first run, and begins within its class's window after that
/// began.
pub fn keyed_ran_in_one_group(ledger: &Ledger, window: impl Fn(&str) -> Micros) -> Vec<Violation> {
    let mut broken = Vec::new();
    for (key, places) in runs(ledger, Repeat::Keyed, |r| r.key.as_deref().unwrap_or("")) {
        let Some(&at) = places.iter().min_by_key(|p| ledger.records[**p].last_byte_at) else { continue };
        let first = &ledger.records[at];
        for place in places.into_iter().filter(|p| *p != at) {
            let again = &ledger.records[place];
            let bay = |record: &Record| ledger.backends.get(record.backend).map(|b| b.deduplication_group);
            let later = again.last_byte_at - first.last_byte_at;
            let what = if bay(again) != bay(first) {
                format!("key {key} ran in two bays")
            } else if later > window(&first.class) {
                format!("key {key} ran again {:.3} s after its first run", later.secs())
            } else {
                continue;
            };
            broken.push(Violation { description: what, records: vec![at, place] });
        }
    }
    broken
}

/// Nothing comes to a backend later than `grace` after all were told that it drains, until it starts anew. A request
/// counts from its first byte, and what the backend rejected counts too.
pub fn no_requests_after_drain(ledger: &Ledger, drained: &[Drained], grace: Micros) -> Vec<Violation> {
    let mut broken = Vec::new();
    for drain in drained {
        let Some(place) = ledger.backend_index(&drain.name) else { continue };
        let boots = &ledger.backends[place].boots;
        let started_before =
            |boot: usize| boots.get(boot).is_none_or(|b| b.at.is_none_or(|at| at <= drain.delivered_at));
        for (number, record) in ledger.records.iter().enumerate() {
            let here = record.backend == place && started_before(record.boot);
            if here && record.first_byte_at > drain.delivered_at + grace {
                let late = (record.first_byte_at - drain.delivered_at).secs();
                let what =
                    format!("{} came to {} {late:.3} s after its drain was told", record.id, drain.name);
                broken.push(Violation { description: what, records: vec![number] });
            }
        }
    }
    broken
}

/// What a client was given with status 200 was served by a backend under that request's id. Says nothing where the
/// ledger missed records.
pub fn answers_come_from_backends(ledger: &Ledger, result: &LoadResult) -> Vec<Violation> {
    let served = |r: &&Record| r.ended.is_some_and(|(_, how)| how == Ended::Served);
    let served: BTreeSet<&str> = ledger.records.iter().filter(served).map(|r| &*r.id).collect();
    let answered =
        result.sent.iter().filter(|sent| sent.end == End::Status(200)).map(|s| result.id(s.number));
    let made_up = answered.filter(|id| ledger.unrecorded == 0 && !served.contains(&id[..]));
    made_up
        .map(|id| Violation { description: format!("{id} was answered by no box"), records: Vec::new() })
        .collect()
}

/// How much may be sent to a backend that is not warm yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Of the work that it can do ...
    pub multiple: f64,
    /// ... in any span as long as this.
    pub window: Micros,
    /// A part more for chance.
    pub slack: f64,
}

/// No backend that is still cold is sent more work, within a window that begins while it is, than `multiple` times
/// what it could do in that window. All that comes counts, also what it turns away. One violation a start.
pub fn slow_start_limit_kept(ledger: &Ledger, push: SlowStartLimit) -> Vec<Violation> {
    let mut by_boot: BTreeMap<(usize, usize), Vec<usize>> = BTreeMap::new();
    for (place, record) in ledger.records.iter().enumerate() {
        by_boot.entry((record.backend, record.boot)).or_default().push(place);
    }
    let mut broken = Vec::new();
    for ((at_box, boot), places) in by_boot {
        let Some(info) = ledger.backends.get(at_box) else { continue };
        let Some(booted) = info.boots.get(boot).and_then(|b| b.at) else { continue };
        let (mut from, mut sent) = (0, 0.0);
        for (n, place) in places.iter().enumerate() {
            let end = ledger.records[*place].last_byte_at;
            sent += ledger.records[*place].work_ms;
            while ledger.records[places[from]].last_byte_at + push.window < end {
                sent -= ledger.records[places[from]].work_ms;
                from += 1;
            }
            // A window may reach back before the start: the backend counts as cold as it starts there.
            let begin = Time(end.0.saturating_sub(push.window.0));
            let can = info.cpu_capacity.work_between(Some(booted), begin, end);
            if begin < booted + info.cpu_capacity.ramp && sent > push.multiple * can * (1.0 + push.slack) {
                let age = (end - booted).secs();
                let what =
                    format!("{} was sent {sent:.0} ms of work at {age:.3} s, could do {can:.0}", info.name);
                broken.push(Violation { description: what, records: places[from..=n].to_vec() });
                break;
            }
        }
    }
    broken
}

#[cfg(test)]
mod tests;
