//! Draws the machines, the size of the fleet, and the connections, probes and load reports of the tier.

use super::names;
use crate::model::{
    CancelSupport, Class, Connections, Kind, Network, Overload, Probing, Range, ReportField, ReportSource,
    Reports, Scale, Severity, Tier, Warmup, Weights,
};
use crate::rng::SeededRng;

/// Numbers of cores of machines.
const CORES: [u32; 5] = [1, 2, 4, 8, 16];
/// Maximum number of figures in a load report.
const MAX_REPORT_FIELDS: u32 = 4;
/// Maximum requests per second that a fleet of usual size serves: a run of 60 s then stays near the limit of the bench.
const MAX_REQUESTS_PER_S: f64 = 2_500.0;
/// Minimum number of backends of a fleet.
const MIN_BACKENDS: u32 = 8;
/// Maximum number of backends of a fleet at usual size.
const MAX_BACKENDS: u32 = 28;
/// The connect timeout is at least this many one-way delays between zones.
const CONNECT_DELAYS: f64 = 14.0;

/// Draws one to three kinds of machines.
pub fn kinds(rng: &mut SeededRng) -> Vec<Kind> {
    let count = rng.integer(1, 3) as usize;
    names::KINDS[..count].iter().map(|name| kind(rng, name)).collect()
}

fn kind(rng: &mut SeededRng, name: &str) -> Kind {
    Kind {
        name: name.into(),
        share: rng.range(0.2, 1.0),
        cores: rng.pick(&CORES),
        speed: rng.range(0.5, 2.2),
        speed_cv: rng.range(0.03, 0.3),
        slots_per_core: rng.range(3.0, 16.0),
        queue_per_core: rng.range(2.0, 40.0),
        thrash: rng.range_from_zero(0.4),
        thrash_at: rng.range(3.0, 30.0),
        cold_from: rng.range(0.12, 0.6),
        cold_s: rng.range(3.0, 25.0),
        warm_by: rng.pick(&[Warmup::Time, Warmup::Requests]),
        pause_every_s: rng.range(2.0, 15.0),
        pause_ms: rng.range_from_zero(50.0),
        pause_grow: rng.range_from_zero(1.2),
        error_rate: rng.range_from_zero(0.004),
        cancel: rng.pick(&[CancelSupport::None, CancelSupport::Queued, CancelSupport::All]),
        drops_expired: rng.pick(&[[false, false], [false, true], [true, true]]).to_vec(),
    }
}

/// Draws numbers of backends and proxies such that the traffic fits the limit of the bench.
pub fn scale(rng: &mut SeededRng, kinds: &[Kind], classes: &[Class]) -> Scale {
    let per_backend = requests_per_backend(kinds, classes);
    let fitting = (MAX_REQUESTS_PER_S / per_backend) as u32;
    let most = fitting.clamp(MIN_BACKENDS, MAX_BACKENDS);
    let servers = rng.integer_range(MIN_BACKENDS, most);
    let balancers = rng.integer_range(2, 4);
    Scale {
        servers,
        balancers,
        big_servers: Range { low: servers.low * 2, high: servers.high * rng.integer(3, 6) },
        big_balancers: Range { low: balancers.low * 2, high: balancers.high * rng.integer(3, 5) },
        twin_servers: MIN_BACKENDS,
        twin_balancers: 2,
    }
}

/// Returns the maximum requests per second that a backend of mean size serves.
fn requests_per_backend(kinds: &[Kind], classes: &[Class]) -> f64 {
    let capacity = |kind: &Kind| f64::from(kind.cores) * kind.speed.high;
    let capacity = weighted_mean(kinds.iter().map(|kind| (kind.share.low, capacity(kind))));
    let work_ms = weighted_mean(classes.iter().map(|class| (class.share.low, class.work_ms.low)));
    capacity * 1_000.0 / work_ms
}

fn weighted_mean(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut weights = 0.0;
    let mut sum = 0.0;
    for (weight, value) in values {
        weights += weight;
        sum += weight * value;
    }
    sum / weights
}

/// Draws the tier with these kinds of machines.
pub fn tier(rng: &mut SeededRng, kinds: Vec<Kind>, net: &Network, probes: bool) -> Tier {
    Tier {
        name: rng.pick(&names::TIERS).into(),
        cell_size: rng.integer_range(2, 6),
        weights: rng.pick(&[Weights::Nominal, Weights::Rough, Weights::None, Weights::Live]),
        report: reports(rng, probes),
        conn: connections(rng, net),
        probe: probing(rng),
        overload: rng.chance(0.4).then(|| overload(rng)),
        kinds,
    }
}

/// Draws load reports in responses, in responses to probes (if probes are allowed) or none.
fn reports(rng: &mut SeededRng, probes: bool) -> Reports {
    let how = if probes {
        rng.pick(&[ReportSource::Answers, ReportSource::Answers, ReportSource::Probe, ReportSource::None])
    } else {
        rng.pick(&[ReportSource::Answers, ReportSource::None])
    };
    let fields = [
        ReportField::Inflight,
        ReportField::Queue,
        ReportField::Util,
        ReportField::LatencyMs,
        ReportField::Qps,
        ReportField::Eps,
    ];
    let count = if how == ReportSource::None { 0 } else { rng.integer(1, MAX_REPORT_FIELDS) };
    Reports {
        how,
        fields: rng.sample(&fields, count as usize),
        period_ms: rng.range(100.0, 1_500.0),
        delay_ms: rng.range(10.0, 500.0),
        noise: rng.range_from_zero(0.15),
    }
}

fn connections(rng: &mut SeededRng, net: &Network) -> Connections {
    let least_timeout = (net.cross_ms.high * CONNECT_DELAYS).max(30.0);
    Connections {
        streams: 1,
        handshake_rtts: Range { low: 1.0, high: rng.uniform(1.5, 3.0) },
        handshake_us: rng.range(200.0, 5_000.0),
        idle_s: rng.log_uniform(1.0, 60.0),
        connect_timeout_ms: rng.uniform(least_timeout, least_timeout + 400.0) as u32,
        cap_per_core: rng.range(60.0, 900.0),
        full_tax: rng.range(0.03, 0.3),
    }
}

fn probing(rng: &mut SeededRng) -> Probing {
    Probing {
        work_us: rng.range(100.0, 800.0),
        cap_per_core: rng.range(1.0, 10.0),
        deep: rng.pick(&[[false, false], [false, true], [true, true]]).to_vec(),
        timeout_ms: rng.integer(50, 500),
    }
}

fn overload(rng: &mut SeededRng) -> Overload {
    Overload {
        share: rng.uniform(0.3, 1.0),
        at: Severity { mildest: rng.uniform(6.0, 9.0), worst: rng.uniform(3.5, 5.0) },
        over_s: Severity { mildest: rng.uniform(2.2, 3.0), worst: rng.uniform(1.2, 2.0) },
        slower: Severity { mildest: rng.uniform(1.6, 2.2), worst: rng.uniform(2.5, 3.5) },
        rest_s: Severity { mildest: rng.uniform(1.5, 2.5), worst: rng.uniform(3.5, 5.0) },
        below: Severity { mildest: rng.uniform(0.35, 0.45), worst: rng.uniform(0.22, 0.3) },
        most_s: Severity { mildest: rng.uniform(10.0, 15.0), worst: rng.uniform(20.0, 35.0) },
        price: rng.uniform(0.02, 0.1),
    }
}
