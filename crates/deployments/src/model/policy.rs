//! Runs, the size of the fleet, the network, discovery, what a proxy may do, and how it is scored.

use super::{Range, Severity};
use serde::{Deserialize, Serialize};

/// Length, clock and faults of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Length of the run.
    pub length_s: Range<f64>,
    /// Granularity of the simulator's clock.
    pub tick_ms: u32,
    /// Number of requests after which the bench ends a run early.
    pub max_requests: u32,
    /// Number of faults; rounded down to an integer.
    pub troubles: Range<f64>,
    /// Whether all proxies start at once.
    pub in_step: bool,
    /// Period over which the proxies start; 0 if all start at once.
    pub start_spread_ms: u32,
}

/// Numbers of backends and proxies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Backends at usual size.
    pub servers: Range<u32>,
    /// Proxies at usual size.
    pub balancers: Range<u32>,
    /// Backends at full size.
    pub big_servers: Range<u32>,
    /// Proxies at full size.
    pub big_balancers: Range<u32>,
    /// Backends of the small counterpart of a run at full size.
    pub twin_servers: u32,
    /// Proxies of the small counterpart.
    pub twin_balancers: u32,
}

/// Zones and one-way delays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Zones, one to four.
    pub zones: Vec<String>,
    /// Delay within a zone.
    pub same_ms: Range<f64>,
    /// Delay between zones.
    pub cross_ms: Range<f64>,
    /// Delay between a client and a proxy.
    pub client_ms: Range<f64>,
    /// Relative variation of the delays.
    pub jitter: Range<f64>,
    /// Skew of the distribution of backends over zones.
    pub server_skew: Range<f64>,
}

/// What distributes clients' connections over the proxies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FrontEntry {
    /// A front ahead of the proxies.
    Front,
}

/// The front that distributes connections over the proxies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// What distributes the connections.
    pub entry: FrontEntry,
    /// How long the front continues to send connections to a dead proxy.
    pub notice_s: Range<f64>,
}

/// How a proxy obtains the list of backends.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// The service pushes lists.
    Push,
    /// The proxy polls for lists.
    Ask,
}

/// Discovery of backends by the proxies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How a proxy obtains the list of backends.
    pub mode: DiscoveryMode,
    /// Delay until the death of a process is noticed.
    pub notice_s: Range<f64>,
    /// Delay until a silent process is noticed.
    pub silent_notice_s: Range<f64>,
    /// Delay until a new process is listed.
    pub add_s: Range<f64>,
    /// Time between two pushes; only if lists are pushed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub period_ms: Option<Range<f64>>,
    /// Period over which the pushes to the proxies are spread; only if lists are pushed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread_ms: Option<Range<f64>>,
    /// Capacity of the service, as a multiple of proxies x backends / 10 lines per second; only if lists are polled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<Range<f64>>,
    /// The time in which the service can handle one call from every proxy; only if lists are polled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub all_call_s: Option<Range<f64>>,
    /// Fixed cost of a call in lines; only if lists are polled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call_lines: Option<Range<f64>>,
    /// The time after which a queued call fails; only if lists are polled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u32>,
}

/// What a proxy may do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Allowances {
    /// Whether it may probe backends.
    pub probes: bool,
    /// Whether it may communicate with other proxies; always false.
    pub peers: bool,
    /// Whether it may cancel attempts.
    pub cancel: bool,
    /// Whether it may have two attempts of a request in flight.
    pub second_copies: bool,
    /// Whether it may send a Retry-After to clients.
    pub retry_after: bool,
    /// Maximum number of attempts of a request, 1 to 6.
    pub max_attempts: u32,
    /// Maximum number of open requests.
    pub max_open: u32,
    /// Processor time per second.
    pub cpu_ms_per_s: u32,
}

/// Limits; a run that exceeds one fails.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Period after the notice of a drain during which attempts may still be dispatched.
    pub drain_grace_ms: u32,
    /// Maximum load of a cold backend as a multiple of its present capacity.
    pub fall_multiple: f64,
    /// Window over which that load is measured.
    pub fall_ms: u32,
}

/// Weights of the parts of the score; they add up to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The whole run.
    pub whole: f64,
    /// The worst window of the run.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant; 0 without tenants.
    pub worst_tenant: f64,
}

/// Deductions in points of the score, per unit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Attempts across zones.
    pub cross_zone: f64,
    /// Work that did not lead to an answer.
    pub waste: f64,
    /// Open connections.
    pub connection: f64,
    /// Handshakes.
    pub handshake: f64,
    /// Probes.
    pub probe: f64,
    /// Bytes between proxies.
    pub peer: f64,
    /// Worth of requests that failed late.
    pub late_fail: f64,
    /// Lines of lists sent.
    pub discovery: f64,
}

/// A fault that may occur in a run, with the keys of its kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault, by the name that the bench uses.
    pub name: String,
    /// Relative frequency.
    pub weight: f64,
    /// Duration.
    pub len_s: Severity,
    /// Fraction of the fleet that it affects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<Severity>,
    /// Strength, by kind: fraction that fails, batch size, or slowdown factor.
    pub size: Severity,
    /// Drain time or downtime in seconds, for the kinds that have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extra: Option<Severity>,
}
