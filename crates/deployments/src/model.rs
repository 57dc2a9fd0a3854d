//! A site file as typed values: the form that the bench reads. Keys that no site here sets are left to the bench.
//!
//! Times carry their unit in the name (`_s`, `_ms`, `_us`). A [`Range`] is drawn from anew for each day; [`Severity`]
//! gives the mildest value first, and may fall.

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

/// Two ends of a fault's strength, the mildest first; written as `[mildest, worst]`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct Severity {
    /// What is easiest to bear.
    pub mildest: f64,
    /// What is hardest to bear; may be the smaller number.
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

/// A deployment: its fleet, its traffic, what it allows and what may go wrong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name, which also seeds the bench's days.
    pub name: String,
    /// Always `proxy`.
    pub family: String,
    /// File beside the site file that tells the simulator's dialect.
    pub wire: String,
    /// Length, tick and faults of a day.
    pub day: Day,
    /// How many backends and proxies there are.
    pub scale: Scale,
    /// How much traffic comes, and in which form.
    pub load: Load,
    /// Zones and delays between them.
    pub net: Network,
    /// What deals connections to proxies.
    pub front: Front,
    /// How clients retry.
    pub clients: Clients,
    /// How proxies learn of backends.
    pub discovery: Discovery,
    /// What a proxy may do.
    pub allow: Allowances,
    /// Limits whose breach fails a day.
    pub rules: Rules,
    /// Parts of the score.
    pub goal: Goal,
    /// What is taken off the score.
    pub prices: Prices,
    /// The one tier of backends.
    pub tier: Vec<Tier>,
    /// Classes of requests, one to five.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants, none to five.
    #[serde(rename = "tenant", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// What is gained where a backend met a key lately; only with keys.
    #[serde(rename = "fam", default, skip_serializing_if = "Option::is_none")]
    pub affinity: Option<Affinity>,
    /// Faults that a day may hold.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
}
