//! What a run of the demo recorded.

use shaletide_balancer::Time;
use shaletide_testkit::checks::Drained;
use shaletide_testkit::{Ledger, LoadResult};

/// The part of a run in which the balancer has learned the speeds and no fault has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuredPart {
    pub from: Time,
    /// Exclusive.
    pub to: Time,
}

/// What the monitors inside the proxy saw.
#[derive(Clone, Debug)]
pub struct SelfCheck {
    /// How many violations of the rules.
    pub violations: u64,
    /// The first of them, in words.
    pub first: Vec<String>,
}

/// What the backends, discovery and the clients recorded.
pub struct DemoRun {
    pub ledger: Ledger,
    pub result: LoadResult,
    pub drained: Vec<Drained>,
    /// The server type of each backend, in the ledger's order.
    pub server_types: Vec<String>,
    /// When the load began.
    pub begun: Time,
    /// `None`: the run ended before it did.
    pub measured: Option<MeasuredPart>,
    /// Faults that did not come about.
    pub missing: Vec<String>,
    /// It was interrupted before its time.
    pub interrupted: bool,
    /// `None`: without monitors.
    pub self_check: Option<SelfCheck>,
}
