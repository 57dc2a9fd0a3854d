//! Backends: their kinds, connections, probes, load reports and behaviour under overload.

use super::{Range, Severity};
use serde::{Deserialize, Serialize};

/// A tier of backends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name.
    pub name: String,
    /// Backends in a cell.
    pub cell_size: Range<u32>,
    /// What the list's weights tell.
    pub weights: Weights,
    /// Load reports.
    pub report: Reports,
    /// Connections to a backend.
    pub conn: Connections,
    /// Probes of a backend.
    pub probe: Probing,
    /// Slowdown of a backend that holds too much; none in some deployments.
    #[serde(rename = "choke", default, skip_serializing_if = "Option::is_none")]
    pub overload: Option<Overload>,
    /// Kinds of machines, one to three.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// What the list's weights tell.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    /// The size.
    Nominal,
    /// The size, with errors.
    Rough,
    /// Nothing.
    None,
    /// The size less what is held, late.
    Live,
}

/// How load reports reach a proxy.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportSource {
    /// With answers.
    Answers,
    /// With answers to probes.
    Probe,
    /// Not at all.
    None,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportField {
    /// Requests in work.
    Inflight,
    /// Requests that wait.
    Queue,
    /// Share of the cores in use.
    Util,
    /// Mean latency, ms.
    LatencyMs,
    /// Requests a second.
    Qps,
    /// Errors a second.
    Eps,
}

/// Load reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// How they come.
    pub how: ReportSource,
    /// What they hold: up to four fields, none without reports.
    pub fields: Vec<ReportField>,
    /// Time between two refreshes.
    pub period_ms: Range<f64>,
    /// How late a report is.
    pub delay_ms: Range<f64>,
    /// Relative error.
    pub noise: Range<f64>,
}

/// Connections to a backend.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Connections {
    /// Requests at a time on one connection; the sockets' protocol has 1.
    pub streams: u32,
    /// Round trips of a handshake.
    pub handshake_rtts: Range<f64>,
    /// Work of a backend for a handshake.
    pub handshake_us: Range<f64>,
    /// After how long without a request the backend closes a connection.
    pub idle_s: f64,
    /// How long a connection may take to come up.
    pub connect_timeout_ms: u32,
    /// Connections that a backend accepts, for each core.
    pub cap_per_core: Range<f64>,
    /// Share of the capacity that a full table of connections takes.
    pub full_tax: Range<f64>,
}

/// Probes of a backend.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Probing {
    /// Work of a backend for a probe.
    pub work_us: Range<f64>,
    /// Probes a second that a backend answers, for each core.
    pub cap_per_core: Range<f64>,
    /// Whether a probe waits and is served like a request; one of these on each day.
    pub deep: Vec<bool>,
    /// How long a probe may take.
    pub timeout_ms: u32,
}

/// Slowdown of a backend that holds too much, until it has rested.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Overload {
    /// Share of the days that have it.
    pub share: f64,
    /// It begins above cores + this times the root of cores.
    pub at: Severity,
    /// Time over which the requests that a backend holds are averaged.
    pub over_s: Severity,
    /// How many times slower the backend gets.
    pub slower: Severity,
    /// How long it must rest.
    pub rest_s: Severity,
    /// Share of the cores in use below which it rests.
    pub below: Severity,
    /// Longest duration.
    pub most_s: Severity,
    /// What it costs in points of the score if all backends slow down.
    pub price: f64,
}

/// How a restarted backend warms up.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmup {
    /// With time.
    Time,
    /// With the requests that it has served.
    Requests,
}

/// What of a cancelled request a backend stops.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelSupport {
    /// Nothing.
    None,
    /// What still waits.
    Queued,
    /// What waits and what is in work.
    All,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Relative frequency.
    pub share: Range<f64>,
    /// Cores, 1 to 16.
    pub cores: u32,
    /// Speed of a core; 1 is the standard.
    pub speed: Range<f64>,
    /// Coefficient of variation of the speed between machines.
    pub speed_cv: Range<f64>,
    /// Requests in work at a time, for each core.
    pub slots_per_core: Range<f64>,
    /// Requests that may wait, for each core.
    pub queue_per_core: Range<f64>,
    /// Efficiency lost when it holds too much.
    pub thrash: Range<f64>,
    /// Requests a core from which efficiency is lost.
    pub thrash_at: Range<f64>,
    /// Share of the capacity right after a start.
    pub cold_from: Range<f64>,
    /// Time until the full capacity.
    pub cold_s: Range<f64>,
    /// What it warms up with.
    pub warm_by: Warmup,
    /// Time between two pauses.
    pub pause_every_s: Range<f64>,
    /// Length of a pause.
    pub pause_ms: Range<f64>,
    /// How much pauses grow with load.
    pub pause_grow: Range<f64>,
    /// Share of requests that fail for no reason.
    pub error_rate: Range<f64>,
    /// What cancelling stops.
    pub cancel: CancelSupport,
    /// Whether it drops requests whose time is up; one of these on each day.
    pub drops_expired: Vec<bool>,
}
