//! Computes each [`Metric`] from a run's findings.

use super::backends::Peak;
use super::check::Kind;
use super::expect::{Measured, Metric};
use super::facts::SECOND_US;
use super::findings::{FaultFound, Findings};
use super::recovery::Full;

/// A metric after the fault of that label, or of the whole run. If it is defined after faults only, the value of
/// the worst fault.
pub fn measure(findings: &Findings, metric: Metric, after: Option<&str>) -> Measured {
    let faults: Vec<&FaultFound> = match after {
        Some(label) => findings.faults.iter().filter(|f| f.label == label).collect(),
        None => findings.faults.iter().collect(),
    };
    if let Some(label) = after.filter(|_| faults.is_empty()) {
        return Measured::Unknown(format!("no fault {label} was done"));
    }
    if let Some((fault, why)) =
        faults.iter().filter(|_| after.is_some()).find_map(|f| Some((f, f.unmet.as_ref()?)))
    {
        return Measured::Unknown(format!("{} met no request: {why}", fault.label));
    }
    match metric {
        Metric::TimeToFullServiceS => worst(faults.into_iter().map(time_to_full_service)),
        Metric::HandshakesPeakRatio => worst(faults.into_iter().map(|f| ratio(f.handshakes))),
        Metric::ListCallsPeakRatio => worst(faults.into_iter().map(|f| ratio(f.list_calls))),
        Metric::ServedShare | Metric::WorstSecond | Metric::ShareLost if after.is_some() => {
            service(metric, faults[0])
        }
        _ => whole_run(findings, metric),
    }
}

fn known(value: Option<f64>, why_not: &str) -> Measured {
    value.map_or_else(|| Measured::Unknown(why_not.into()), Measured::Value)
}

const NO_REQUESTS: &str = "there were no requests";

fn service(metric: Metric, fault: &FaultFound) -> Measured {
    match metric {
        Metric::ServedShare => known(fault.counts.share(), NO_REQUESTS),
        Metric::WorstSecond => known(fault.worst.map(|(_, share)| share), NO_REQUESTS),
        _ => known(fault.share_lost, "nothing was served before, or asked for after"),
    }
}

fn whole_run(findings: &Findings, metric: Metric) -> Measured {
    match metric {
        Metric::ServedShare => known(findings.total.share(), NO_REQUESTS),
        Metric::ShareLost => known(findings.total.share().map(|share| 1.0 - share), NO_REQUESTS),
        Metric::WorstSecond => {
            let shares = findings.seconds.iter().filter_map(|second| second.counts.share());
            known(shares.min_by(f64::total_cmp), NO_REQUESTS)
        }
        Metric::AttemptsPerRequest => known(findings.attempts_per_request(), NO_REQUESTS),
        Metric::NonIdempotentRunTwice => {
            let check = findings.check("unsafe_once").filter(|check| check.judged > 0);
            known(check.map(|check| check.broken as f64), "nothing ran that is unsafe to repeat")
        }
        _ => {
            let rules = findings.checks.iter().filter(|check| check.kind == Kind::Rule);
            let judged: u64 = rules.map(|check| check.judged).sum();
            let broken = findings.broken(Kind::Rule) as f64;
            known((judged > 0).then_some(broken), "no rule had anything to judge")
        }
    }
}

fn time_to_full_service(fault: &FaultFound) -> Measured {
    let seconds = |us: u64| us as f64 / SECOND_US as f64;
    match fault.recovery.full {
        Full::After { us } => Measured::Value(seconds(us)),
        Full::NotReached { watched_us } => Measured::AtLeast(seconds(watched_us)),
        Full::NotKnown { since_us, .. } => Measured::AtLeast(seconds(since_us)),
        Full::NoBefore => Measured::Unknown(format!("nothing was served before {}", fault.label)),
    }
}

fn ratio(peak: Option<Peak>) -> Measured {
    known(peak.map(|peak| peak.ratio()), "nothing to compare was counted")
}

/// The highest of several values; a lower bound if one of them is only bounded.
fn worst(all: impl Iterator<Item = Measured>) -> Measured {
    let mut all = all.peekable();
    if all.peek().is_none() {
        return Measured::Unknown("no fault was done".into());
    }
    let (mut most, mut sure, mut unknown) = (f64::NEG_INFINITY, true, None);
    for one in all {
        match one {
            Measured::Value(value) => most = most.max(value),
            Measured::AtLeast(value) => (most, sure) = (most.max(value), false),
            Measured::Unknown(why) => unknown = Some(why),
        }
    }
    match unknown {
        Some(why) if most == f64::NEG_INFINITY => Measured::Unknown(why),
        None if sure => Measured::Value(most),
        _ => Measured::AtLeast(most),
    }
}
