//! A site file as typed values, in the form that the bench reads. Keys that no site of this crate sets are left to the
//! defaults of the bench.
//!
//! Times have their unit in the name (`_s`, `_ms`, `_us`). The bench draws a value from a [`Range`] anew for each run; a
//! [`Severity`] gives the mildest value first and may decrease.

mod backends;
mod policy;
mod traffic;

pub use backends::{
    CancelSupport, Connections, Kind, Overload, Probing, ReportField, ReportSource, Reports, Tier, Warmup,
    Weights,
};
pub use policy::{
    Allowances, Day, Discovery, DiscoveryMode, Fault, Front, FrontEntry, Goal, Network, Prices, Rules, Scale,
};
pub use traffic::{
    Affinity, Backoff, Class, Clients, Effect, Hints, KeyGroup, Load, LoadShape, Tenant, WanderingLoad,
    WorkLaw, WorthUnit,
};

use serde::{Deserialize, Serialize};

/// Two bounds, both included; written as `[low, high]`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(T, T)", into = "(T, T)")]
pub struct Range<T: Copy> {
    /// The least value.
    pub low: T,
    /// The greatest value, not below `low`.
    pub high: T,
}

impl<T: Copy> From<(T, T)> for Range<T> {
    fn from((low, high): (T, T)) -> Range<T> {
        Range { low, high }
    }
}

impl<T: Copy> From<Range<T>> for (T, T) {
    fn from(range: Range<T>) -> (T, T) {
        (range.low, range.high)
    }
}

/// The two ends of the strength of a fault, the mildest first; written as `[mildest, worst]`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct Severity {
    /// The value that is easiest to bear.
    pub mildest: f64,
    /// The value that is hardest to bear; may be the smaller number.
    pub worst: f64,
}

impl From<(f64, f64)> for Severity {
    fn from((mildest, worst): (f64, f64)) -> Severity {
        Severity { mildest, worst }
    }
}

impl From<Severity> for (f64, f64) {
    fn from(severity: Severity) -> (f64, f64) {
        (severity.mildest, severity.worst)
    }
}

/// A deployment: its fleet, its traffic, what its proxies may do and which faults may occur.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name; the bench also derives the seeds of its runs from it.
    pub name: String,
    /// Always `proxy`.
    pub family: String,
    /// The file beside the site file that describes the protocol of the simulator.
    pub wire: String,
    /// Length, clock and faults of a run.
    pub day: Day,
    /// Numbers of backends and proxies.
    pub scale: Scale,
    /// Amount and shape of the traffic.
    pub load: Load,
    /// Zones and the delays between them.
    pub net: Network,
    /// The front that distributes connections over the proxies.
    pub front: Front,
    /// Retries of clients.
    pub clients: Clients,
    /// Discovery of backends by the proxies.
    pub discovery: Discovery,
    /// What a proxy may do.
    pub allow: Allowances,
    /// Limits; a run that exceeds one fails.
    pub rules: Rules,
    /// Weights of the parts of the score.
    pub goal: Goal,
    /// Deductions from the score.
    pub prices: Prices,
    /// Tiers of backends; exactly one.
    pub tier: Vec<Tier>,
    /// Classes of requests, one to five.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants, none to five.
    #[serde(rename = "tenant", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// Savings on backends that recently served the same key; only if requests have keys.
    #[serde(rename = "fam", default, skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Affinity>,
    /// Faults that may occur in a run.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
}
