//! The rules that a run of the demo is checked against.

use super::environment::{DRAIN_GRACE, KEY_WINDOW, PUSH, RAMP};
use super::run::DemoRun;
use shaletide_testkit::checks::{self, Violation};
use shaletide_testkit::{End, Ledger, Record, Repeat};
use std::collections::BTreeMap;

/// A rule and its violations.
pub struct Rule {
    /// The rule in a few words.
    pub title: &'static str,
    /// The number of items that were checked.
    pub checked_on: String,
    /// The descriptions of the violations.
    pub violations: Vec<String>,
}

pub fn check_rules(run: &DemoRun) -> Vec<Rule> {
    let ledger = &run.ledger;
    let mut rules = vec![
        Rule {
            title: "An unsafe request runs once",
            checked_on: many(run_counts(ledger, Repeat::Unsafe).len(), "request", "requests"),
            violations: described(run, checks::unsafe_ran_once(ledger)),
        },
        Rule {
            title: "A keyed one runs again in its bay only",
            checked_on: keyed(ledger),
            violations: described(run, checks::keyed_ran_in_one_group(ledger, |_| KEY_WINDOW)),
        },
        Rule {
            title: "Nothing new to a box 2 s after it drains",
            checked_on: drained(run),
            violations: described(run, checks::no_requests_after_drain(ledger, &run.drained, DRAIN_GRACE)),
        },
        Rule {
            title: "A cold box is not pushed over",
            checked_on: cold(ledger),
            violations: described(run, checks::slow_start_limit_kept(ledger, PUSH)),
        },
        one_answer(run),
        Rule {
            title: "Each 200 is a box's answer to that request",
            checked_on: many(run.result.total().status(200), "answer", "answers"),
            violations: foreign_answers(run),
        },
        Rule {
            title: "All was written down",
            checked_on: many(ledger.records.len(), "record", "records"),
            violations: lost_records(run),
        },
    ];
    rules.extend(run.self_check.as_ref().map(|self_check| Rule {
        title: "The monitors inside saw no rule broken",
        checked_on: many(self_check.violations as usize, "breach", "breaches"),
        violations: self_check.first.clone(),
    }));
    rules
}

fn many(count: usize, one: &str, more: &str) -> String {
    format!("{count} {}", if count == 1 { one } else { more })
}

/// Returns how often each request of this kind ran, by its id.
fn run_counts(ledger: &Ledger, repeat: Repeat) -> BTreeMap<&str, usize> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for record in ledger.records.iter().filter(|r| r.repeat == repeat && r.ran()) {
        *runs.entry(&record.id).or_default() += 1;
    }
    runs
}

fn keyed(ledger: &Ledger) -> String {
    let runs = run_counts(ledger, Repeat::Keyed);
    let again = runs.values().filter(|count| **count > 1).count();
    format!("{}, {again} ran again", many(runs.len(), "key", "keys"))
}

fn drained(run: &DemoRun) -> String {
    let ledger = &run.ledger;
    let mut texts = Vec::new();
    for drain in &run.drained {
        let here = |r: &&Record| ledger.backend_index(&drain.name) == Some(r.backend);
        let (before, after): (Vec<&Record>, Vec<&Record>) =
            ledger.records.iter().filter(here).partition(|r| r.first_byte_at <= drain.delivered_at);
        texts.push(format!("{}: {} before it, {} after", drain.name, before.len(), after.len()));
    }
    if texts.is_empty() {
        "no drain".into()
    } else {
        texts.join(", ")
    }
}

fn cold(ledger: &Ledger) -> String {
    let mut starts = 0;
    let mut sent = 0;
    for (place, info) in ledger.backends.iter().enumerate() {
        for (boot, at) in info.boots.iter().enumerate().filter_map(|(n, boot)| Some((n, boot.at?))) {
            let here = |r: &&Record| r.backend == place && r.boot == boot && r.first_byte_at < at + RAMP;
            starts += 1;
            sent += ledger.records.iter().filter(here).count();
        }
    }
    format!("{}, {} while cold", many(starts, "start", "starts"), many(sent, "request", "requests"))
}

/// Checks that every request has exactly one complete answer, before its deadline.
fn one_answer(run: &DemoRun) -> Rule {
    let result = &run.result;
    let mut violations: Vec<String> = Vec::new();
    for sent in result.sent.iter().filter(|sent| !sent.in_time) {
        let how = match sent.end {
            End::Status(status) => format!("was answered with {status} too late"),
            End::GaveUp => "got no answer in time".into(),
            End::Broken => "lost its connection".into(),
            End::NoConnection => "could not connect".into(),
            End::Unsent => "was not sent in time by its client".into(),
        };
        let class = &result.classes[sent.class];
        let at = (sent.arrived - run.begun).secs();
        violations.push(format!(
            "{class} {} of {at:.3} s {how}, {:.3} s",
            result.id(sent.number),
            sent.latency.secs()
        ));
    }
    if result.excess_bytes > 0 {
        violations.push(format!("bytes followed the answer {} times", result.excess_bytes));
    }
    let checked_on = many(result.sent.len(), "request", "requests");
    Rule { title: "Each request gets one answer within its time", checked_on, violations }
}

fn foreign_answers(run: &DemoRun) -> Vec<String> {
    let mut violations = described(run, checks::answers_come_from_backends(&run.ledger, &run.result));
    if run.result.mismatched_answers > 0 {
        violations.push(format!("{} answers belong to another request", run.result.mismatched_answers));
    }
    violations
}

fn lost_records(run: &DemoRun) -> Vec<String> {
    let mut violations = Vec::new();
    if run.ledger.unrecorded > 0 {
        violations.push(format!("the backends dropped {} records for lack of room", run.ledger.unrecorded));
    }
    if run.result.unrecorded > 0 {
        violations.push(format!("the clients dropped {} records for lack of room", run.result.unrecorded));
    }
    violations
}

/// Describes each violation, with the place and time of its first records.
fn described(run: &DemoRun, cases: Vec<Violation>) -> Vec<String> {
    let place = |place: &usize| {
        let record = run.ledger.records.get(*place)?;
        let name = &run.ledger.backends.get(record.backend)?.name;
        Some(format!("{name} at {:.3} s", (record.first_byte_at - run.begun).secs()))
    };
    let text = |case: Violation| {
        let places: Vec<String> = case.records.iter().take(2).filter_map(place).collect();
        if places.is_empty() {
            case.description
        } else {
            format!("{} ({})", case.description, places.join(", "))
        }
    };
    cases.into_iter().map(text).collect()
}
