//! Traffic: load, clients, classes of requests, tenants and keys.

use super::Range;
use serde::{Deserialize, Serialize};

/// How load moves within a day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadShape {
    /// Even.
    Steady,
    /// In bursts.
    Bursty,
    /// Rising.
    Ramp,
    /// Up and down.
    Wave,
}

/// Whether requests tell their work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hints {
    /// No.
    None,
    /// Nearly exactly.
    Good,
    /// With errors.
    Rough,
}

/// What worth is counted by.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorthUnit {
    /// Requests.
    Request,
    /// Their work.
    Work,
}

/// Traffic, as shares of what all backends can do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// On a quiet day.
    pub quiet: Range<f64>,
    /// On a day with faults.
    pub trouble: Range<f64>,
    /// On an overloaded day.
    pub overload: Range<f64>,
    /// At full size.
    pub big: Range<f64>,
    /// Shapes that days have; one of these on each day.
    pub shape: Vec<LoadShape>,
    /// How far the shape swings.
    pub swing: Range<f64>,
    /// How uneven the zones' traffic is; 0 with one zone.
    pub zone_skew: Range<f64>,
    /// Coefficient of variation between the streams of traffic.
    pub stream_cv: Range<f64>,
    /// Distinct keys; 0 = requests carry none.
    pub keys: u32,
    /// Exponent of the keys' frequencies.
    pub key_zipf: Range<f64>,
    /// Whether requests tell their work.
    pub hints: Hints,
    /// What worth is counted by; by work where requests tell it.
    pub worth_by: WorthUnit,
    /// Worth of a request beyond its tenant's share, of 1.
    pub over_share_worth: f64,
    /// What the tenants' quotas add up to, as a share of the capacity.
    pub quota_of_capacity: Range<f64>,
    /// Load that wanders around the capacity all day; none in some deployments.
    #[serde(rename = "brim", default, skip_serializing_if = "Option::is_none")]
    pub wandering: Option<WanderingLoad>,
}

/// Load that wanders around the capacity all day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WanderingLoad {
    /// Share of the large and of the overloaded days that have it.
    pub share: f64,
    /// Bounds of the load.
    pub load: Range<f64>,
}

/// How clients space their retries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backoff {
    /// At once.
    None,
    /// Evenly.
    Fixed,
    /// Exponentially.
    Exp,
}

/// How clients retry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Retries; the whole part counts.
    pub retries: Range<f64>,
    /// Share of the deadline after which a try is given up.
    pub try_share: Range<f64>,
    /// Ways to space retries; one of these on each day.
    pub backoff: Vec<Backoff>,
    /// Base of the back-off.
    pub backoff_ms: Range<f64>,
    /// Share of clients that respect what a refusal asks of them.
    pub honour: Range<f64>,
    /// The longest wait that they respect.
    pub max_retry_after_ms: u32,
    /// Share of clients that leave early.
    pub impatient: Range<f64>,
    /// Whether retries are marked as such.
    pub marks_retry: bool,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// No harm.
    Safe,
    /// No harm within a window, as backends drop repeats of a key.
    Keyed,
    /// Harm.
    Unsafe,
}

/// Which backends drop each other's repeats of a key.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyGroup {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// The law of a request's work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkLaw {
    /// Always the same.
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
    /// Name; may have slashes and other characters that a path allows.
    pub name: String,
    /// Relative frequency.
    pub share: Range<f64>,
    /// Mean work of a core at standard speed.
    pub work_ms: Range<f64>,
    /// Time in which a request holds its slot but no core.
    pub io_ms: Range<f64>,
    /// Laws of work; one of these on each day.
    pub dist: Vec<WorkLaw>,
    /// Coefficient of variation of the work.
    pub cv: Range<f64>,
    /// Relative difference between attempts of one request.
    pub attempt_noise: Range<f64>,
    /// Time within which an answer earns its full worth.
    pub aim_ms: u32,
    /// Time after which nobody waits, not below the aim.
    pub deadline_ms: u32,
    /// Worth of an answer.
    pub worth: f64,
    /// Share of the worth that a later answer earns.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Which backends drop repeats; only of a keyed class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<KeyGroup>,
    /// How long they drop repeats; only of a keyed class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u32>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Share of the quotas; all tenants' add up to 1.
    pub share: f64,
    /// What it sends, as a part of its share.
    pub usage: Range<f64>,
}

/// What is gained where a backend met a key lately.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Affinity {
    /// Share of the work that is saved.
    pub affinity_gain: f64,
    /// How long a backend remembers a key.
    pub affinity_s: Range<f64>,
    /// How many keys it remembers, for each core.
    pub affinity_keys_per_core: Range<f64>,
}
