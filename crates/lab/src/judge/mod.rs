//! Checks a run's samples against the rules, and measures the service.
//!
//! Pure: the same samples and expectations give the same verdict. The parts, each with its definitions:
//! [`service`] by second, [`recovery`] after a fault, [`rules`] of the product, [`accounts`] of the lab, load of the
//! [`backends`], [`waste`] of work, [`process_state`] over time, [`excerpt`]s of logs, [`fault_coverage`], and the
//! expectations ([`expect`]). [`findings`] collects them.
//!
//! Memory: judging a run takes about as much again as its samples.

pub mod accounts;
pub mod backends;
pub mod check;
pub mod excerpt;
pub mod expect;
mod facts;
pub mod fault_coverage;
pub mod findings;
pub mod metrics;
pub mod process_state;
pub mod recovery;
pub mod rules;
pub mod service;
pub mod waste;

use crate::samples::Sample;
use check::Kind;
use expect::{Expectation, Judged, Measured, Outcome};
use facts::Facts;
use findings::Findings;
use serde::{Deserialize, Serialize};

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ruling {
    /// No rule was broken, every fault affected requests, and all expectations were met.
    Passed,
    /// One of these is not so.
    Failed,
    /// The run is invalid as a measurement.
    Void,
}

/// The findings of a run and its result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The result.
    pub ruling: Ruling,
    /// Why the run is void, if it is.
    pub void: Vec<String>,
    /// Why it failed, if it did.
    pub failed: Vec<String>,
    /// Each expectation, in the order in which they were given.
    pub expectations: Vec<Judged>,
    /// All measurements and checks.
    pub findings: Findings,
}

impl Verdict {
    /// The exit status: 0 passed, 1 failed, 3 void (2 is an invalid file).
    pub fn exit_code(&self) -> u8 {
        match self.ruling {
            Ruling::Passed => 0,
            Ruling::Failed => 1,
            Ruling::Void => 3,
        }
    }
}

/// Judges a run by the rules, the consistency of the lab's accounts, and the expectations.
pub fn judge(samples: &[Sample], expectations: &[Expectation]) -> Verdict {
    let facts = Facts::of(samples);
    let findings = findings::find(&facts);
    let void = void(&facts, &findings);
    let expectations: Vec<Judged> = expectations
        .iter()
        .map(|expected| {
            let seen = match void.first() {
                Some(why) => Measured::Unknown(format!("the run is void: {why}")),
                None => metrics::measure(&findings, expected.metric, expected.after.as_deref()),
            };
            expect::hold(expected, seen)
        })
        .collect();
    let failed = failed(&findings, &expectations);
    let ruling = match (void.is_empty(), failed.is_empty()) {
        (false, _) => Ruling::Void,
        (true, false) => Ruling::Failed,
        (true, true) => Ruling::Passed,
    };
    Verdict { ruling, void, failed, expectations, findings }
}

/// Why a run is void: it says so itself, it has no header or no tries, or the lab's accounts are inconsistent.
fn void(facts: &Facts<'_>, findings: &Findings) -> Vec<String> {
    let mut void: Vec<String> = facts.voids.iter().take(check::MAX_BREACHES).map(|v| (*v).into()).collect();
    if facts.header.is_none() {
        void.push("nothing tells what was run".into());
    }
    if facts.tries.is_empty() {
        void.push("no client tried anything".into());
    }
    void.extend(broken(findings, Kind::Lab));
    void
}

/// Why a run failed: a rule was broken, a fault affected no request, or an expectation was not met.
fn failed(findings: &Findings, expectations: &[Judged]) -> Vec<String> {
    let mut failed: Vec<String> = broken(findings, Kind::Rule).collect();
    for fault in &findings.faults {
        if let Some(why) = &fault.unmet {
            failed.push(format!("fault {} proves nothing: {why}", fault.label));
        }
    }
    for judged in expectations.iter().filter(|judged| judged.outcome != Outcome::Ok) {
        let metric = judged.expected.metric.name();
        let how = if judged.outcome == Outcome::Failed { "not as expected" } else { "proves nothing" };
        failed.push(format!("{metric} {how}: {}", judged.seen));
    }
    failed
}

fn broken(findings: &Findings, kind: Kind) -> impl Iterator<Item = String> + '_ {
    let broken = findings.checks.iter().filter(move |check| check.kind == kind && check.broken > 0);
    broken.map(|check| {
        let first = check.breaches.first().map_or("", |breach| &breach.what);
        format!("{} broken {} times: {first}", check.name, check.broken)
    })
}
