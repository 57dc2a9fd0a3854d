//! A verdict as tables of text, for both terminal and page.

use crate::judge::backends::{BackendTotals, Peak};
use crate::judge::check::Kind;
use crate::judge::expect::{Judged, Outcome};
use crate::judge::findings::{By, FaultFound, Findings};
use crate::judge::process_state::ProcessState;
use crate::judge::recovery::Full;
use crate::judge::service::Counts;
use crate::judge::Verdict;

/// Backends that are shown, those with most handshakes in a second first.
pub const MAX_BACKENDS: usize = 20;

/// Spans of processes that are shown.
pub const MAX_SPANS: usize = 60;

/// A table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Its title.
    pub title: &'static str,
    /// Its columns.
    pub head: Vec<&'static str>,
    /// Its rows: a cell for each column.
    pub rows: Vec<Vec<String>>,
}

/// All tables that have rows.
pub fn all(verdict: &Verdict) -> Vec<Table> {
    let findings = &verdict.findings;
    let tables = [
        expectations(&verdict.expectations),
        faults(&findings.faults),
        parts(&findings.faults),
        service(findings),
        checks(findings),
        work(findings),
        backends(&findings.backends),
        processes(findings),
    ];
    tables.into_iter().filter(|table| !table.rows.is_empty()).collect()
}

/// How a fault is marked in pictures and tables: F1 is the first.
pub(crate) fn mark(place: usize) -> String {
    format!("F{}", place + 1)
}

pub(crate) fn seconds(us: u64) -> String {
    format!("{:.1}", us as f64 / 1e6)
}

fn ms(us: Option<u64>) -> String {
    us.map_or_else(none, |us| format!("{:.1}", us as f64 / 1e3))
}

fn percent(share: Option<f64>) -> String {
    share.map_or_else(none, |share| format!("{:.2}", share * 100.0))
}

fn of(part: u64, all: u64) -> String {
    percent((all > 0).then(|| part as f64 / all as f64))
}

fn none() -> String {
    "-".into()
}

fn expectations(all: &[Judged]) -> Table {
    let row = |judged: &Judged| {
        let expected = &judged.expected;
        let bound = |bound: Option<f64>| bound.map_or_else(none, |bound| bound.to_string());
        let outcome = match judged.outcome {
            Outcome::Ok => "ok",
            Outcome::Failed => "FAILED",
            Outcome::ProvedNothing => "PROVED NOTHING",
        };
        vec![
            expected.metric.name().into(),
            expected.after.clone().unwrap_or_else(|| "run".into()),
            bound(expected.at_least),
            bound(expected.at_most),
            judged.seen.to_string(),
            outcome.into(),
        ]
    };
    Table {
        title: "Expected",
        head: vec!["figure", "after", "at least", "at most", "seen", "outcome"],
        rows: all.iter().map(row).collect(),
    }
}

fn full(full: Full) -> String {
    match full {
        Full::After { us } => seconds(us),
        Full::NotReached { watched_us } => format!("not in {}", seconds(watched_us)),
        Full::NotKnown { since_us, held_s } => {
            format!("{} if it held: run ended after {held_s} s of it", seconds(since_us))
        }
        Full::NoBefore => "no before".into(),
    }
}

fn peak(peak: Option<Peak>) -> String {
    peak.map_or_else(none, |peak| format!("{} to {}", peak.calm, peak.peak))
}

fn faults(all: &[FaultFound]) -> Table {
    let row = |(place, fault): (usize, &FaultFound)| {
        let recovery = &fault.recovery;
        let worst = fault.worst.map(|(s, share)| format!("{} at {s} s", percent(Some(share))));
        vec![
            mark(place),
            fault.label.clone(),
            seconds(fault.at_us),
            fault.ends_us.map_or_else(none, seconds),
            full(recovery.full),
            percent(recovery.before.map(|b| b.share)),
            ms(recovery.before.map(|b| b.p99_us)),
            worst.unwrap_or_else(none),
            percent(fault.share_lost),
            recovery.relapsed_s.to_string(),
            peak(fault.handshakes),
            peak(fault.list_calls),
            recovery.overlaps.join(", "),
            fault.unmet.clone().unwrap_or_else(|| "yes".into()),
        ]
    };
    Table {
        title: "Faults",
        head: vec![
            "",
            "fault",
            "at s",
            "ends s",
            "full service s",
            "before %",
            "p99 before ms",
            "worst second %",
            "lost %",
            "relapsed s",
            "handshakes/s at a backend",
            "list calls/s",
            "overlaps",
            "met requests",
        ],
        rows: all.iter().enumerate().map(row).collect(),
    }
}

fn parts(all: &[FaultFound]) -> Table {
    let mut rows = Vec::new();
    for (place, fault) in all.iter().enumerate() {
        for (by, name, when) in &fault.parts {
            rows.push(vec![mark(place), format!("{} {name}", by_name(*by)), full(*when)]);
        }
    }
    Table { title: "Full service apart", head: vec!["", "of", "full service s"], rows }
}

fn by_name(by: By) -> &'static str {
    match by {
        By::Class => "class",
        By::Zone => "zone",
        By::Tenant => "tenant",
    }
}

fn service(findings: &Findings) -> Table {
    let mut rows = vec![service_row("all".into(), &findings.total, findings.p50_us, findings.p99_us)];
    for group in &findings.groups {
        let name = format!("{} {}", by_name(group.by), group.name);
        rows.push(service_row(name, &group.total, group.p50_us, group.p99_us));
    }
    Table {
        title: "Service",
        head: vec![
            "of",
            "requests",
            "served %",
            "in aim %",
            "worth %",
            "late",
            "refused",
            "failed",
            "broken",
            "silent",
            "not taken",
            "p50 ms",
            "p99 ms",
        ],
        rows,
    }
}

fn service_row(name: String, counts: &Counts, p50_us: Option<u64>, p99_us: Option<u64>) -> Vec<String> {
    let mut row = vec![
        name,
        counts.requests.to_string(),
        percent(counts.share()),
        of(counts.within_objective, counts.requests),
        percent(counts.priority_weight_share()),
    ];
    let ends = [counts.late, counts.refused, counts.failed, counts.broken, counts.silent, counts.not_taken];
    row.extend(ends.map(|count| count.to_string()));
    row.extend([ms(p50_us), ms(p99_us)]);
    row
}

fn checks(findings: &Findings) -> Table {
    let row = |check: &crate::judge::check::Check| {
        let kind = match check.kind {
            Kind::Rule => "rule",
            Kind::Lab => "account",
        };
        let outcome = match (check.judged, check.broken) {
            (0, 0) => "nothing to judge",
            (_, 0) => "holds",
            _ => "BROKEN",
        };
        vec![
            check.name.into(),
            kind.into(),
            check.judged.to_string(),
            check.broken.to_string(),
            outcome.into(),
        ]
    };
    Table {
        title: "Rules and accounts",
        head: vec!["check", "kind", "cases", "broken", ""],
        rows: findings.checks.iter().map(row).collect(),
    }
}

fn work(findings: &Findings) -> Table {
    let waste = &findings.waste;
    let total_ms = waste.all.work_ms;
    let row = |name: &str, work: crate::judge::waste::Work| {
        let share = percent((total_ms > 0.0).then(|| work.work_ms / total_ms));
        vec![name.into(), work.runs.to_string(), format!("{:.1}", work.work_ms / 1e3), share]
    };
    let count = |name: &str, count: u64| vec![name.into(), count.to_string(), none(), none()];
    Table {
        title: "Work at backends",
        head: vec!["", "count", "work s", "of all %"],
        rows: vec![
            row("runs", waste.all),
            row("runs for nothing", waste.for_nothing),
            row("runs doubled", waste.doubled),
            count("rejected", waste.rejected),
            count("sent to backends", waste.sent),
            count("tries of clients", findings.tries),
            count("requests", findings.requests),
        ],
    }
}

fn backends(all: &[BackendTotals]) -> Table {
    let mut most: Vec<&BackendTotals> = all.iter().collect();
    most.sort_by_key(|one| std::cmp::Reverse(one.most_handshakes));
    let row = |one: &&BackendTotals| {
        let counts = [one.requests, one.handshakes, one.most_handshakes.into(), one.most_open.into()];
        let mut row = vec![one.name.clone()];
        row.extend(counts.map(|count| count.to_string()));
        row
    };
    Table {
        title: "Backends with most handshakes in a second",
        head: vec!["backend", "requests", "handshakes", "most in a second", "most open"],
        rows: most.iter().take(MAX_BACKENDS).map(row).collect(),
    }
}

/// The spans in which processes were not ready, after they were ready first.
fn processes(findings: &Findings) -> Table {
    let mut rows = Vec::new();
    for timeline in &findings.timelines {
        let ready = timeline.spans.iter().skip_while(|span| span.state != ProcessState::Up);
        for span in ready.filter(|span| span.state != ProcessState::Up) {
            let (from, to) = (seconds(span.from_us), seconds(span.to_us));
            rows.push(vec![timeline.proxy.to_string(), state_name(span.state).into(), from, to]);
        }
    }
    rows.truncate(MAX_SPANS);
    Table { title: "Proxies that were not ready", head: vec!["proxy", "was", "from s", "to s"], rows }
}

pub(crate) fn state_name(state: ProcessState) -> &'static str {
    match state {
        ProcessState::Down => "down",
        ProcessState::Starting => "starting",
        ProcessState::Up => "up",
        ProcessState::Ending => "ending",
        ProcessState::Frozen => "frozen",
    }
}
