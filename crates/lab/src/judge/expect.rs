//! What an experiment expects of its run: `[[expect]]` tables, and how each turned out.

use serde::{Deserialize, Serialize};

/// A figure of a run that can be expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Metric {
    /// Requests served in their time, of all.
    ServedShare,
    /// Seconds from a fault to full service.
    TimeToFullServiceS,
    /// The served share of the worst second.
    WorstSecond,
    /// Requests lost to a fault, of all around it.
    ShareLost,
    /// Connections begun at the worst box in its worst second, against the calm.
    HandshakesPeakRatio,
    /// Calls of the list service in the worst second, against the calm.
    ListCallsPeakRatio,
    /// What boxes were sent, for each request.
    AttemptsPerRequest,
    /// Requests that are unsafe to repeat and ran twice.
    SettlesTwice,
    /// Breaches of all rules together.
    RulesBroken,
}

/// One `[[expect]]` of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Of what.
    pub metric: Metric,
    /// Its highest value that is well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Its lowest value that is well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
    /// The label of the fault that it is about; without it, the whole run, or its first fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// How an expectation turned out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// As expected.
    Ok,
    /// Not as expected.
    Failed,
    /// The run could not have shown the contrary.
    ProvedNothing,
}

/// An expectation with its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Judged {
    /// What was expected.
    pub expected: Expectation,
    /// How it turned out.
    pub outcome: Outcome,
    /// What was seen, in words.
    pub seen: String,
}
