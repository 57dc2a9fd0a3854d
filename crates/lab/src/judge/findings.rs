//! The findings of a run, without judgement: that is in [`super::expect`].

use super::backends::{self, BackendTotals, BackendsSecond, Peak};
use super::check::{Check, Kind};
use super::facts::{Facts, FaultAt, Request, SECOND_US};
use super::process_state::{self, ProcessTimeline};
use super::recovery::{self, Full, Recovery};
use super::service::{Counts, Second, Series};
use super::waste::{self, Waste};
use super::{accounts, excerpt, fault_coverage, rules};
use serde::Serialize;
use std::collections::BTreeMap;

/// The aftermath of a fault is from the second in which it was done to so many seconds after its end, or after its
/// start where it is not taken back. Figures after a fault are over this, so that runs can be compared.
pub const AFTER_S: usize = 30;

/// Maximum number of zones, and of tenants, that are reported separately: those with most requests.
pub const MAX_GROUPS: usize = 64;

/// The attribute that requests are grouped by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
    /// Class.
    Class,
    /// The client's zone.
    Zone,
    /// Tenant.
    Tenant,
}

/// Requests of one class, zone or tenant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Group {
    /// The attribute.
    pub by: By,
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: String,
    /// Over the run.
    pub total: Counts,
    /// Median latency over the run.
    pub p50_us: Option<u64>,
    /// 99th percentile over the run.
    pub p99_us: Option<u64>,
    /// By second.
    pub seconds: Vec<Second>,
}

/// A fault and its consequences.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultFound {
    /// Its label.
    pub label: String,
    /// When it began.
    pub at_us: u64,
    /// When it ended, if it did.
    pub ends_us: Option<u64>,
    /// Why it affected no request, if so.
    pub unmet: Option<String>,
    /// The time to full service, for all requests.
    pub recovery: Recovery,
    /// The same for each class and zone: group, name, when.
    pub parts: Vec<(By, String, Full)>,
    /// Its aftermath: first second, and the first after it.
    pub aftermath_s: (usize, usize),
    /// The outcomes of the requests of its aftermath.
    pub counts: Counts,
    /// The worst second of its aftermath and the share served in it.
    pub worst: Option<(usize, f64)>,
    /// Of the requests of its aftermath that would have been served at the share of before, those that were not.
    pub share_lost: Option<f64>,
    /// Peak of handshakes in a second at one backend.
    pub handshakes: Option<Peak>,
    /// Peak of calls of the list service in a second.
    pub list_calls: Option<Peak>,
}

/// The findings of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The experiment.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Version and build profile.
    pub build: String,
    /// The command that repeats the run.
    pub command: String,
    /// Over all whole seconds.
    pub total: Counts,
    /// Median latency over the run.
    pub p50_us: Option<u64>,
    /// 99th percentile over the run.
    pub p99_us: Option<u64>,
    /// Tries of clients.
    pub tries: u64,
    /// Requests, including those of an incomplete last second.
    pub requests: u64,
    /// By second.
    pub seconds: Vec<Second>,
    /// By class, zone and tenant.
    pub groups: Vec<Group>,
    /// In order of time.
    pub faults: Vec<FaultFound>,
    /// Backends and list service, by second.
    #[serde(rename = "box_seconds")]
    pub backend_seconds: Vec<BackendsSecond>,
    /// Each backend.
    #[serde(rename = "boxes")]
    pub backends: Vec<BackendTotals>,
    /// Wasted work of the backends.
    pub waste: Waste,
    /// Rules, then accounts.
    pub checks: Vec<Check>,
    /// The states of each process over time.
    #[serde(rename = "bands")]
    pub timelines: Vec<ProcessTimeline>,
}

impl Findings {
    /// Attempts that backends received per request; none without requests.
    pub fn attempts_per_request(&self) -> Option<f64> {
        (self.requests > 0).then(|| self.waste.sent as f64 / self.requests as f64)
    }

    /// The check of that name.
    pub fn check(&self, name: &str) -> Option<&Check> {
        self.checks.iter().find(|check| check.name == name)
    }

    /// Breaches of all rules, or of all accounts.
    pub fn broken(&self, kind: Kind) -> u64 {
        self.checks.iter().filter(|check| check.kind == kind).map(|check| check.broken).sum()
    }
}

/// Collects the findings.
pub(crate) fn find(facts: &Facts<'_>) -> Findings {
    let classes = facts.header.map_or(&[][..], |h| h.classes);
    let series = Series::of(facts.requests.iter(), classes, facts.seconds);
    let backend_seconds = backends::seconds(facts);
    let timelines = process_state::timelines(facts, end_us(facts));
    let mut checks = rules::all(facts, &timelines);
    checks.extend(accounts::all(facts));
    excerpt::add(&mut checks, facts);
    let parts = parts(facts);
    Findings {
        name: facts.header.map_or("", |h| h.name).into(),
        seed: facts.header.map_or(0, |h| h.seed),
        build: facts.header.map_or("", |h| h.build).into(),
        command: facts.header.map_or("", |h| h.command).into(),
        total: series.total(0, facts.seconds),
        p50_us: series.pooled_us(0..facts.seconds, 0.5),
        p99_us: series.pooled_us(0..facts.seconds, 0.99),
        tries: facts.tries.len() as u64,
        requests: facts.requests.len() as u64,
        seconds: series.seconds(),
        faults: faults(facts, &series, &parts, &backend_seconds),
        groups: parts.into_iter().map(|part| part.group(facts.seconds)).collect(),
        backends: backends::each(facts),
        backend_seconds,
        waste: waste::waste(facts),
        checks,
        timelines,
    }
}

/// The run's end: the latest of its length, the ends of its tries and its process events.
fn end_us(facts: &Facts<'_>) -> u64 {
    let tries = facts.tries.iter().map(|one| one.ended_us);
    let processes = facts.processes.iter().map(|event| event.0);
    let lasts_us = facts.header.map_or(0, |h| h.lasts_us);
    tries.chain(processes).chain([lasts_us]).max().unwrap_or(0)
}

/// A group with its latencies.
struct Part {
    by: By,
    number: u32,
    name: String,
    series: Series,
}

impl Part {
    fn group(self, seconds: usize) -> Group {
        Group {
            by: self.by,
            number: self.number,
            name: self.name,
            total: self.series.total(0, seconds),
            p50_us: self.series.pooled_us(0..seconds, 0.5),
            p99_us: self.series.pooled_us(0..seconds, 0.99),
            seconds: self.series.seconds(),
        }
    }
}

fn parts(facts: &Facts<'_>) -> Vec<Part> {
    let mut parts = Vec::new();
    for (by, key) in [
        (By::Class, (|r: &Request| Some(r.class)) as fn(&Request) -> Option<u32>),
        (By::Zone, |r: &Request| Some(r.zone)),
        (By::Tenant, |r: &Request| r.tenant),
    ] {
        let mut requests: BTreeMap<u32, Vec<&Request>> = BTreeMap::new();
        for request in &facts.requests {
            if let Some(number) = key(request) {
                requests.entry(number).or_default().push(request);
            }
        }
        let mut requests: Vec<_> = requests.into_iter().collect();
        requests.sort_by_key(|(_, requests)| std::cmp::Reverse(requests.len()));
        requests.truncate(MAX_GROUPS);
        requests.sort_by_key(|(number, _)| *number);
        let classes = facts.header.map_or(&[][..], |h| h.classes);
        for (number, requests) in requests {
            let series = Series::of(requests.into_iter(), classes, facts.seconds);
            parts.push(Part { by, number, name: name(facts, by, number), series });
        }
    }
    parts
}

fn name(facts: &Facts<'_>, by: By, number: u32) -> String {
    let known = match by {
        By::Class => facts.class(number).map(|c| c.name.clone()),
        By::Zone => facts.header.and_then(|h| h.zones.get(number as usize)).cloned(),
        By::Tenant => None,
    };
    known.unwrap_or_else(|| number.to_string())
}

/// First second, and the first after it.
fn aftermath_s(fault: &FaultAt<'_>, seconds: usize) -> (usize, usize) {
    let from = (fault.at_us / SECOND_US) as usize;
    let end_us = fault.ends_us.unwrap_or(fault.at_us).max(fault.at_us);
    let to = (end_us / SECOND_US) as usize;
    (from, to.saturating_add(AFTER_S).min(seconds))
}

fn faults(
    facts: &Facts<'_>, series: &Series, parts: &[Part], backend_seconds: &[BackendsSecond],
) -> Vec<FaultFound> {
    let aftermaths: Vec<_> = facts.faults.iter().map(|fault| aftermath_s(fault, facts.seconds)).collect();
    let ends: Vec<usize> = aftermaths.iter().map(|a| a.1).collect();
    let recoveries = recovery::recoveries(series, &facts.faults, &ends);
    let apart = parts.iter().filter(|part| part.by != By::Tenant);
    let apart: Vec<_> =
        apart.map(|part| (part, recovery::recoveries(&part.series, &facts.faults, &ends))).collect();
    let mut found = Vec::new();
    for (n, (fault, recovery)) in facts.faults.iter().zip(recoveries).enumerate() {
        let aftermath_s = aftermaths[n];
        let counts = series.total(aftermath_s.0, aftermath_s.1);
        let before = recovery.before;
        let expected = before.map(|b| b.share * counts.requests as f64).filter(|expected| *expected > 0.0);
        found.push(FaultFound {
            label: fault.label.into(),
            at_us: fault.at_us,
            ends_us: fault.ends_us,
            unmet: fault_coverage::unmet(facts, fault),
            parts: apart.iter().map(|(p, r)| (p.by, p.name.clone(), r[n].full)).collect(),
            aftermath_s,
            counts,
            worst: series.worst(aftermath_s.0, aftermath_s.1),
            share_lost: expected.map(|expected| (1.0 - counts.served as f64 / expected).max(0.0)),
            handshakes: backends::peak(backend_seconds, before.as_ref(), aftermath_s, |s| {
                u64::from(s.most_handshakes)
            }),
            list_calls: backends::peak(backend_seconds, before.as_ref(), aftermath_s, |s| s.list_calls),
            recovery,
        });
    }
    found
}
