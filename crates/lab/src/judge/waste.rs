//! Wasted work of backends. The work of a run is that of the whole request, even if it was cancelled: a backend that
//! ended it early did less.

use super::facts::{Facts, RequestOutcome};
use crate::samples::BackendEnd;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Runs and their work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Work {
    /// Runs.
    pub runs: u64,
    /// Their work, ms of a standard core.
    pub work_ms: f64,
}

impl Work {
    fn add(&mut self, work_ms: f64) {
        self.runs += 1;
        self.work_ms += work_ms;
    }
}

/// The use of the backends' work. Runs without an id, as probes, and rejected ones are left out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Waste {
    /// All runs.
    pub all: Work,
    /// Runs of requests that were not served within their deadline.
    pub for_nothing: Work,
    /// Further runs of served requests: hedges, and first runs whose response was lost.
    pub doubled: Work,
    /// Requests with an id that backends received, rejected or not.
    pub sent: u64,
    /// Those of them that were rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
}

impl Waste {
    /// The share of wasted work.
    pub fn share(&self) -> Option<f64> {
        let lost_ms = self.for_nothing.work_ms + self.doubled.work_ms;
        (self.all.work_ms > 0.0).then(|| lost_ms / self.all.work_ms)
    }
}

/// Sums up the work.
pub(crate) fn waste(facts: &Facts<'_>) -> Waste {
    let outcomes: BTreeMap<u64, RequestOutcome> =
        facts.requests.iter().map(|r| (r.number, r.outcome)).collect();
    let mut waste = Waste::default();
    let mut paid_for = BTreeSet::new();
    for run in facts.runs.iter().filter(|run| !run.id.is_empty()) {
        waste.sent += 1;
        if !run.end.ran() {
            waste.rejected += 1;
            continue;
        }
        waste.all.add(run.work_ms);
        let request = facts.try_of(run.id).map(|one| one.request);
        let outcome = request.and_then(|request| outcomes.get(&request));
        if outcome != Some(&RequestOutcome::Served) {
            waste.for_nothing.add(run.work_ms);
        } else if run.end != BackendEnd::Served || !paid_for.insert(request) {
            waste.doubled.add(run.work_ms);
        }
    }
    waste
}
