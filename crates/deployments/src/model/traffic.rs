//! Traffic: load, clients, classes of requests, tenants and keys.

use super::Range;
use serde::{Deserialize, Serialize};

/// The course of the load during a run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadShape {
    /// Constant.
    Steady,
    /// Bursts.
    Bursty,
    /// Increasing.
    Ramp,
    /// Increasing and decreasing in waves.
    Wave,
}

/// Whether requests carry a hint of their work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hints {
    /// No hint.
    None,
    /// A nearly exact hint.
    Good,
    /// A hint with errors.
    Rough,
}

/// The unit in which the worth of served traffic is counted.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorthUnit {
    /// Each request counts the same.
    Request,
    /// A request counts by its work.
    Work,
}

/// Traffic as fractions of the capacity of all backends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// In a run without faults or overload.
    pub quiet: Range<f64>,
    /// In a run with faults.
    pub trouble: Range<f64>,
    /// In an overloaded run.
    pub overload: Range<f64>,
    /// At full size.
    pub big: Range<f64>,
    /// Shapes of the load; each run has one of these.
    pub shape: Vec<LoadShape>,
    /// The amplitude of the shape.
    pub swing: Range<f64>,
    /// The skew of traffic between zones; 0 with one zone.
    pub zone_skew: Range<f64>,
    /// Coefficient of variation between the streams of traffic.
    pub stream_cv: Range<f64>,
    /// Number of distinct keys; 0 if requests carry none.
    pub keys: u32,
    /// Exponent of the Zipf distribution of the keys.
    pub key_zipf: Range<f64>,
    /// Whether requests carry a hint of their work.
    pub hints: Hints,
    /// The unit in which worth is counted; work if requests carry a hint of it.
    pub worth_by: WorthUnit,
    /// Worth of a request beyond the share of its tenant, relative to 1 for one within.
    pub over_share_worth: f64,
    /// Sum of the tenants' quotas as a fraction of the capacity.
    pub quota_of_capacity: Range<f64>,
    /// Load that varies around the capacity for the whole run; absent in some deployments.
    #[serde(rename = "brim", default, skip_serializing_if = "Option::is_none")]
    pub wandering: Option<WanderingLoad>,
}

/// Load that varies around the capacity for the whole run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WanderingLoad {
    /// Fraction of the full-size and of the overloaded runs that have it.
    pub share: f64,
    /// Bounds of the load.
    pub load: Range<f64>,
}

/// The spacing of retries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backoff {
    /// Immediate.
    None,
    /// At a constant interval.
    Fixed,
    /// With exponential back-off.
    Exp,
}

/// Retries of clients.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Number of retries; rounded down to an integer.
    pub retries: Range<f64>,
    /// Fraction of the deadline after which a try is given up.
    pub try_share: Range<f64>,
    /// Kinds of back-off; each run has one of these.
    pub backoff: Vec<Backoff>,
    /// Base of the back-off.
    pub backoff_ms: Range<f64>,
    /// Fraction of clients that honour the Retry-After of a rejection.
    pub honour: Range<f64>,
    /// The longest Retry-After that they honour.
    pub max_retry_after_ms: u32,
    /// Fraction of clients that disconnect early.
    pub impatient: Range<f64>,
    /// Whether retries are marked as such.
    pub marks_retry: bool,
}

/// The effect of executing a request more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Harmless within the deduplication window, as backends drop repeats of a key.
    Keyed,
    /// Harmful.
    Unsafe,
}

/// The group of backends that drop each other's repeats of a key.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyGroup {
    /// All backends.
    All,
    /// The backends of a zone.
    Zone,
    /// The backends of a cell.
    Cell,
}

/// The distribution of a request's work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkLaw {
    /// Constant.
    Fixed,
    /// Exponential.
    Exp,
    /// Log-normal.
    Lognormal,
    /// Pareto.
    Pareto,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name; may contain slashes and other characters that are allowed in a path.
    pub name: String,
    /// Relative frequency.
    pub share: Range<f64>,
    /// Mean work, ms of a core at standard speed.
    pub work_ms: Range<f64>,
    /// Time during which a request holds its slot without using a core.
    pub io_ms: Range<f64>,
    /// Distributions of the work; each run has one of these.
    pub dist: Vec<WorkLaw>,
    /// Coefficient of variation of the work.
    pub cv: Range<f64>,
    /// Relative variation of the work between attempts of one request.
    pub attempt_noise: Range<f64>,
    /// Latency objective: an answer within this time has its full worth.
    pub aim_ms: u32,
    /// Deadline: the time after which no client waits any longer; not below the latency objective.
    pub deadline_ms: u32,
    /// Worth of an answer.
    pub worth: f64,
    /// Fraction of the worth that a later answer has.
    pub late_worth: f64,
    /// The effect of executing a request more than once.
    pub effect: Effect,
    /// The group of backends that drop repeats; only for a keyed class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<KeyGroup>,
    /// How long they drop repeats; only for a keyed class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u32>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Fraction of all quotas; the shares of all tenants add up to 1.
    pub share: f64,
    /// Traffic of the tenant as a fraction of its share.
    pub usage: Range<f64>,
}

/// Savings on backends that recently served the same key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Affinity {
    /// Fraction of the work that is saved.
    pub affinity_gain: f64,
    /// How long a backend remembers a key.
    pub affinity_s: Range<f64>,
    /// Number of keys that a backend remembers, per core.
    pub affinity_keys_per_core: Range<f64>,
}
