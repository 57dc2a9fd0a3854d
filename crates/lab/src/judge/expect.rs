//! The expectations of an experiment, `[[expect]]` tables, and their outcomes.

use serde::{Deserialize, Serialize};

/// A figure of a run that an expectation can bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Metric {
    /// Share of requests served within their deadline.
    ServedShare,
    /// Seconds from a fault to full service.
    TimeToFullServiceS,
    /// The served share of the worst second.
    WorstSecond,
    /// Share of requests lost to a fault.
    ShareLost,
    /// Ratio of the peak of connections opened in a second at one backend to that before the fault.
    HandshakesPeakRatio,
    /// Ratio of the peak of calls of the list service in a second to that before the fault.
    ListCallsPeakRatio,
    /// Attempts that backends received per request.
    AttemptsPerRequest,
    /// Non-idempotent requests that ran twice.
    #[serde(rename = "settles_twice")]
    NonIdempotentRunTwice,
    /// Breaches of all rules together.
    RulesBroken,
}

/// One `[[expect]]` of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The figure.
    pub metric: Metric,
    /// Its upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Its lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// The label of the fault that it is measured after; none: the whole run, or its worst fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl Metric {
    /// Its name in an experiment.
    pub fn name(self) -> &'static str {
        match self {
            Metric::ServedShare => "served_share",
            Metric::TimeToFullServiceS => "time_to_full_service_s",
            Metric::WorstSecond => "worst_second",
            Metric::ShareLost => "share_lost",
            Metric::HandshakesPeakRatio => "handshakes_peak_ratio",
            Metric::ListCallsPeakRatio => "list_calls_peak_ratio",
            Metric::AttemptsPerRequest => "attempts_per_request",
            Metric::NonIdempotentRunTwice => "settles_twice",
            Metric::RulesBroken => "rules_broken",
        }
    }

    /// Whether it is of the whole run only and cannot be measured after a fault.
    pub fn whole_run(self) -> bool {
        matches!(self, Metric::AttemptsPerRequest | Metric::NonIdempotentRunTwice | Metric::RulesBroken)
    }

    /// All of them.
    pub const ALL: [Metric; 9] = [
        Metric::ServedShare,
        Metric::TimeToFullServiceS,
        Metric::WorstSecond,
        Metric::ShareLost,
        Metric::HandshakesPeakRatio,
        Metric::ListCallsPeakRatio,
        Metric::AttemptsPerRequest,
        Metric::NonIdempotentRunTwice,
        Metric::RulesBroken,
    ];
}

impl Expectation {
    /// Why the expectation is invalid, if it is; for the reader of experiments.
    pub fn problem(&self) -> Option<&'static str> {
        match (self.at_least, self.at_most) {
            (None, None) => Some("expects nothing: give at_most or at_least"),
            (Some(least), Some(most)) if least > most => Some("at_least is above at_most"),
            (Some(bound), _) | (_, Some(bound)) if !bound.is_finite() => Some("the bound is no number"),
            _ if self.metric.whole_run() && self.after.is_some() => Some("this figure is of the whole run"),
            _ => None,
        }
    }
}

/// A measured figure, as far as it is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measured {
    /// Its value.
    Value(f64),
    /// A lower bound: the run ended before the value was known.
    AtLeast(f64),
    /// It is unknown, and why.
    Unknown(String),
}

impl Measured {
    /// The value, where it is known.
    pub fn value(&self) -> Option<f64> {
        match self {
            Measured::Value(value) => Some(*value),
            Measured::AtLeast(_) | Measured::Unknown(_) => None,
        }
    }
}

impl std::fmt::Display for Measured {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Measured::Value(value) => write!(f, "{value:.4}"),
            Measured::AtLeast(value) => write!(f, "at least {value:.4}, the run ended too early"),
            Measured::Unknown(why) => write!(f, "not known: {why}"),
        }
    }
}

/// The outcome of an expectation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was met.
    Ok,
    /// It was not met.
    Failed,
    /// The run cannot show whether it was met.
    ProvedNothing,
}

/// An expectation with its outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Judged {
    /// What was expected.
    pub expected: Expectation,
    /// Its outcome.
    pub outcome: Outcome,
    /// The measured figure.
    pub seen: Measured,
}

/// Compares a figure with its bounds. A figure with only a known lower bound fails an upper bound
/// below that, and proves nothing otherwise.
pub(crate) fn hold(expected: &Expectation, seen: Measured) -> Judged {
    let bounds = [expected.at_least.map(|b| least(&seen, b)), expected.at_most.map(|b| most(&seen, b))];
    let outcomes: Vec<Outcome> = bounds.into_iter().flatten().collect();
    let outcome = if outcomes.contains(&Outcome::Failed) {
        Outcome::Failed
    } else if outcomes.is_empty() || outcomes.contains(&Outcome::ProvedNothing) {
        Outcome::ProvedNothing
    } else {
        Outcome::Ok
    };
    Judged { expected: expected.clone(), outcome, seen }
}

fn least(seen: &Measured, bound: f64) -> Outcome {
    match seen {
        Measured::Value(value) | Measured::AtLeast(value) if *value >= bound => Outcome::Ok,
        Measured::Value(_) => Outcome::Failed,
        Measured::AtLeast(_) | Measured::Unknown(_) => Outcome::ProvedNothing,
    }
}

fn most(seen: &Measured, bound: f64) -> Outcome {
    match seen {
        Measured::Value(value) if *value <= bound => Outcome::Ok,
        Measured::AtLeast(value) if *value <= bound => Outcome::ProvedNothing,
        Measured::Value(_) | Measured::AtLeast(_) => Outcome::Failed,
        Measured::Unknown(_) => Outcome::ProvedNothing,
    }
}
