//! The shares of the server types: measured, and computed by HALB.

use super::run::{DemoRun, MeasuredPart};
use shaletide_balancer::{halb_shares, Time};
use shaletide_testkit::{Ended, Record};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The backends of a server type, and the requests that they received in a part of the run.
#[derive(Default)]
struct TypeShare {
    backends: usize,
    /// The capacity of one warm backend, in standard cores.
    capacity_cores: f64,
    requests: usize,
    served: usize,
    /// The sum of the latencies of the served requests, in seconds.
    latency_s: f64,
}

impl TypeShare {
    /// Returns the requests per second that one backend can serve, computed from the work of a request.
    fn rate_by_work(&self, work_ms: f64) -> f64 {
        1e3 * self.capacity_cores / work_ms
    }

    /// Returns the requests per second that one backend can serve, computed from latencies as in the balancer: the inverse of
    /// the mean latency, plus the rate of requests to one backend.
    fn rate_by_latency(&self, span_s: f64) -> f64 {
        if self.served == 0 {
            return 0.0;
        }
        self.served as f64 / self.latency_s + self.requests as f64 / self.backends as f64 / span_s
    }
}

/// Returns the server types by name, with the requests of a part of the run.
fn type_shares<'a>(run: &'a DemoRun, part: &[&Record]) -> BTreeMap<&'a str, TypeShare> {
    let mut types: BTreeMap<&str, TypeShare> = BTreeMap::new();
    for (info, name) in run.ledger.backends.iter().zip(&run.server_types) {
        let share = types.entry(name).or_default();
        share.backends += 1;
        share.capacity_cores = f64::from(info.cpu_capacity.cores) * info.cpu_capacity.speed;
    }
    for record in part {
        let name = run.server_types.get(record.backend);
        let Some(share) = name.and_then(|name| types.get_mut(name.as_str())) else { continue };
        share.requests += 1;
        if let Some((at, Ended::Served)) = record.ended {
            share.served += 1;
            share.latency_s += (at - record.last_byte_at).secs();
        }
    }
    types
}

/// Returns the HALB shares for these capacities, at `rate` requests per second.
fn formula(types: &BTreeMap<&str, TypeShare>, rate: f64, capacity: impl Fn(&TypeShare) -> f64) -> Vec<f64> {
    let groups: Vec<(f64, f64)> =
        types.values().map(|share| (share.backends as f64, capacity(share))).collect();
    halb_shares(&groups, Some(rate))
}

/// Writes the shares that were measured before the faults, and the computed ones.
pub fn write_shares(text: &mut String, run: &DemoRun) -> std::fmt::Result {
    let Some(MeasuredPart { from, to }) = run.measured else {
        return writeln!(text, "\nShares by kind: not measured, the demo was stopped before");
    };
    let since = |at: Time| (at - run.begun).secs();
    writeln!(text, "\nShares by kind, from {:.1} s to {:.1} s of the run", since(from), since(to))?;
    let part: Vec<&Record> = run
        .ledger
        .records
        .iter()
        .filter(|record| record.last_byte_at >= from && record.last_byte_at < to)
        .collect();
    let work_ms = part.iter().map(|record| record.work_ms).sum::<f64>() / part.len() as f64;
    if part.is_empty() || work_ms <= 0.0 {
        return writeln!(text, "  no request reached a backend in this time");
    }
    let arrived = run.result.sent.iter().filter(|sent| sent.arrived >= from && sent.arrived < to).count();
    let span_s = (to - from).secs();
    let rate = arrived as f64 / span_s;
    let types = type_shares(run, &part);
    let by_latency = formula(&types, rate, |share| share.rate_by_latency(span_s));
    let by_work = formula(&types, rate, |share| share.rate_by_work(work_ms));
    writeln!(text, "  kind  count  requests    share    HALB by latencies    HALB by true speeds")?;
    for ((name, share), (by_latency, by_work)) in types.iter().zip(by_latency.into_iter().zip(by_work)) {
        let measured = percent(share.requests as f64 / part.len() as f64);
        let latency_rate = share.rate_by_latency(span_s);
        let work_rate = share.rate_by_work(work_ms);
        write!(text, "  {name:<4}  {:>5}  {:>8}  {measured:>7}   ", share.backends, share.requests)?;
        write!(text, "{:>8} ({latency_rate:5.1}/s)   ", percent(by_latency))?;
        writeln!(text, "{:>10} ({work_rate:5.1}/s)", percent(by_work))?;
    }
    write_legend(text, rate, work_ms)
}

fn percent(share: f64) -> String {
    format!("{:.1} %", 100.0 * share)
}

fn write_legend(text: &mut String, rate: f64, work_ms: f64) -> std::fmt::Result {
    writeln!(
        text,
        "  HALB: the formula (halb_shares) for the {rate:.1} requests per second in this time, and for the"
    )?;
    writeln!(
        text,
        "  rate that one backend of a kind can serve (in brackets). By latencies: as the proxy computes it,"
    )?;
    writeln!(
        text,
        "  the inverse of the mean latency plus the backend's request rate, from the backends' records."
    )?;
    writeln!(
        text,
        "  By true speeds: a core's speed over the mean work of a request, {work_ms:.1} ms; the proxy knows"
    )?;
    writeln!(
        text,
        "  neither. Latencies overestimate a backend: the proxy has at most four requests in flight on it."
    )
}
