//! Backends: their kinds, connections, probes, load reports and behaviour under overload.

use super::{Range, Severity};
use serde::{Deserialize, Serialize};

/// A tier of backends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name.
    pub name: String,
    /// Number of backends in a cell.
    pub cell_size: Range<u32>,
    /// Meaning of the weights in the list.
    pub weights: Weights,
    /// Load reports.
    pub report: Reports,
    /// Connections to a backend.
    pub conn: Connections,
    /// Probes of a backend.
    pub probe: Probing,
    /// Slowdown of a backend that holds too many requests; absent in some deployments.
    #[serde(rename = "choke", default, skip_serializing_if = "Option::is_none")]
    pub overload: Option<Overload>,
    /// Kinds of machines, one to three.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// The meaning of the weights in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    /// The size of the backend.
    Nominal,
    /// The size of the backend, with errors.
    Rough,
    /// There are no weights.
    None,
    /// The size of the backend, reduced by the requests that it holds, with a delay.
    Live,
}

/// How load reports reach a proxy.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportSource {
    /// In responses.
    Answers,
    /// In responses to probes.
    Probe,
    /// There are no load reports.
    None,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportField {
    /// Requests in service.
    Inflight,
    /// Queued requests.
    Queue,
    /// Fraction of the cores in use.
    Util,
    /// Mean latency, ms.
    LatencyMs,
    /// Requests per second.
    Qps,
    /// Errors per second.
    Eps,
}

/// Load reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// How reports reach a proxy.
    pub how: ReportSource,
    /// Figures in a report: one to four, none without reports.
    pub fields: Vec<ReportField>,
    /// Time between two refreshes.
    pub period_ms: Range<f64>,
    /// Delay of a report.
    pub delay_ms: Range<f64>,
    /// Relative error.
    pub noise: Range<f64>,
}

/// Connections to a backend.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Connections {
    /// Concurrent requests on one connection; always 1, as in the protocol of the sockets.
    pub streams: u32,
    /// Round trips of a handshake.
    pub handshake_rtts: Range<f64>,
    /// Work of a backend for one handshake.
    pub handshake_us: Range<f64>,
    /// The time without a request after which the backend closes a connection.
    pub idle_s: f64,
    /// The time that establishing a connection may take.
    pub connect_timeout_ms: u32,
    /// Maximum number of connections that a backend accepts, per core.
    pub cap_per_core: Range<f64>,
    /// Fraction of the capacity that is lost when a backend has its maximum number of connections.
    pub full_tax: Range<f64>,
}

/// Probes of a backend.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Probing {
    /// Work of a backend for one probe.
    pub work_us: Range<f64>,
    /// Probes per second that a backend answers, per core.
    pub cap_per_core: Range<f64>,
    /// Whether a probe is queued and served like a request; each run has one of these.
    pub deep: Vec<bool>,
    /// The time that a probe may take.
    pub timeout_ms: u32,
}

/// Slowdown of a backend that holds too many requests, until it has recovered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Overload {
    /// Fraction of the runs that have it.
    pub share: f64,
    /// The slowdown begins above cores + this value times the root of cores, in mean requests held.
    pub at: Severity,
    /// Time over which the requests that a backend holds are averaged.
    pub over_s: Severity,
    /// Factor by which the backend becomes slower.
    pub slower: Severity,
    /// Duration of low utilization after which the backend recovers.
    pub rest_s: Severity,
    /// Fraction of the cores in use below which utilization counts as low.
    pub below: Severity,
    /// Maximum duration of the slowdown.
    pub most_s: Severity,
    /// Deduction in points of the score if all backends slow down.
    pub price: f64,
}

/// How a restarted backend warms up.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmup {
    /// With time since the start.
    Time,
    /// With the number of requests served.
    Requests,
}

/// The part of a cancelled request that a backend stops.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelSupport {
    /// Nothing.
    None,
    /// Requests that are still queued.
    Queued,
    /// Queued requests and requests in service.
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
    /// Maximum number of requests in service, per core.
    pub slots_per_core: Range<f64>,
    /// Maximum number of queued requests, per core.
    pub queue_per_core: Range<f64>,
    /// Fraction of the efficiency that is lost when the backend holds too many requests.
    pub thrash: Range<f64>,
    /// Requests per core above which efficiency is lost.
    pub thrash_at: Range<f64>,
    /// Fraction of the capacity directly after a start.
    pub cold_from: Range<f64>,
    /// Duration of the warm-up.
    pub cold_s: Range<f64>,
    /// What the warm-up progresses with.
    pub warm_by: Warmup,
    /// Time between two pauses.
    pub pause_every_s: Range<f64>,
    /// Length of a pause.
    pub pause_ms: Range<f64>,
    /// Growth of the pauses with the load.
    pub pause_grow: Range<f64>,
    /// Fraction of requests that fail at random.
    pub error_rate: Range<f64>,
    /// What a cancellation stops.
    pub cancel: CancelSupport,
    /// Whether the backend drops requests that are past their deadline; each run has one of these.
    pub drops_expired: Vec<bool>,
}
