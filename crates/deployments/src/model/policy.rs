//! The day, the fleet's size, the network, discovery, and what a proxy may do and is judged by.

use super::{Range, Severity};
use serde::{Deserialize, Serialize};

/// Length, tick and faults of a day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Length.
    pub length_s: Range<f64>,
    /// Granularity of the simulator's clock.
    pub tick_ms: u32,
    /// Requests after which the bench cuts a day short.
    pub max_requests: u32,
    /// Faults; the whole part counts.
    pub troubles: Range<f64>,
    /// Whether all proxies start at once.
    pub in_step: bool,
    /// Over how long proxies start; 0 if in step.
    pub start_spread_ms: u32,
}

/// How many backends and proxies there are.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Backends, usually.
    pub servers: Range<u32>,
    /// Proxies, usually.
    pub balancers: Range<u32>,
    /// Backends at full size.
    pub big_servers: Range<u32>,
    /// Proxies at full size.
    pub big_balancers: Range<u32>,
    /// Backends of the small twin of a day at full size.
    pub twin_servers: u32,
    /// Proxies of the small twin.
    pub twin_balancers: u32,
}

/// Zones and one-way delays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Zones, one to four.
    pub zones: Vec<String>,
    /// Within a zone.
    pub same_ms: Range<f64>,
    /// Between zones.
    pub cross_ms: Range<f64>,
    /// Between a client and a proxy.
    pub client_ms: Range<f64>,
    /// Relative variation of delays.
    pub jitter: Range<f64>,
    /// How unevenly backends lie in zones.
    pub server_skew: Range<f64>,
}

/// Who deals clients' connections to proxies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FrontEntry {
    /// A front before the proxies.
    Front,
}

/// What deals connections to proxies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Who deals.
    pub entry: FrontEntry,
    /// How long it goes on sending to a dead proxy.
    pub notice_s: Range<f64>,
}

/// How lists come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// They are pushed.
    Push,
    /// They are asked for.
    Ask,
}

/// How proxies learn of backends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How lists come.
    pub mode: DiscoveryMode,
    /// When the death of a process is noticed.
    pub notice_s: Range<f64>,
    /// When the silence of a process is noticed.
    pub silent_notice_s: Range<f64>,
    /// When a new process is listed.
    pub add_s: Range<f64>,
    /// Time between two pushes; where lists are pushed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub period_ms: Option<Range<f64>>,
    /// How far apart the proxies' pushes are; where lists are pushed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spread_ms: Option<Range<f64>>,
    /// Capacity of the service, as a multiple of proxies x backends / 10 lines a second; where lists are asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<Range<f64>>,
    /// In which time it can take a call of every proxy; where lists are asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub all_call_s: Option<Range<f64>>,
    /// Fixed cost of a call in lines; where lists are asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub call_lines: Option<Range<f64>>,
    /// When a call that waits fails; where lists are asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u32>,
}

/// What a proxy may do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Allowances {
    /// Probe backends.
    pub probes: bool,
    /// Talk to other proxies; never.
    pub peers: bool,
    /// Cancel attempts.
    pub cancel: bool,
    /// Have two attempts of a request out.
    pub second_copies: bool,
    /// Tell clients when to come again.
    pub retry_after: bool,
    /// Attempts of a request, 1 to 6.
    pub max_attempts: u32,
    /// Open requests.
    pub max_open: u32,
    /// Processor time a second.
    pub cpu_ms_per_s: u32,
}

/// Limits whose breach fails a day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How long after a drain was told attempts may still begin.
    pub drain_grace_ms: u32,
    /// What a cold backend bears, as a multiple of its present capacity.
    pub fall_multiple: f64,
    /// Window over which that is counted.
    pub fall_ms: u32,
}

/// Weights of the score's parts; they add up to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The whole day.
    pub whole: f64,
    /// Its worst window.
    pub worst_window: f64,
    /// Its worst class.
    pub worst_class: f64,
    /// Its worst tenant; 0 without tenants.
    pub worst_tenant: f64,
}

/// Points of the score for each unit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Attempts across zones.
    pub cross_zone: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// Open connections.
    pub connection: f64,
    /// Handshakes.
    pub handshake: f64,
    /// Probes.
    pub probe: f64,
    /// Bytes between proxies.
    pub peer: f64,
    /// Worth that was not served and failed late.
    pub late_fail: f64,
    /// Lines of lists.
    pub discovery: f64,
}

/// A fault that a day may hold, with the keys that its kind takes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The bench's name of the kind.
    pub name: String,
    /// Relative frequency.
    pub weight: f64,
    /// Duration.
    pub len_s: Severity,
    /// Share of the fleet that it hits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<Severity>,
    /// Strength, by kind: share that fails, batch, or times slower.
    pub size: Severity,
    /// Drain time or time down in seconds, for the kinds that have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extra: Option<Severity>,
}
