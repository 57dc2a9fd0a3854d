//! The recorded results of a run of the demo.

use shaletide_balancer::Time;
use shaletide_testkit::checks::Drained;
use shaletide_testkit::{Ledger, LoadResult};

/// The part of a run after the balancer has learned the speeds and before the first fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuredPart {
    pub from: Time,
    /// Exclusive.
    pub to: Time,
}

/// The findings of the monitors in the proxy.
#[derive(Clone, Debug)]
pub struct SelfCheck {
    /// The number of violations of the rules.
    pub violations: u64,
    /// The descriptions of the first violations.
    pub first: Vec<String>,
}

/// The records of the backends, discovery and the clients.
pub struct DemoRun {
    pub ledger: Ledger,
    pub result: LoadResult,
    pub drained: Vec<Drained>,
    /// The server type of each backend, in the ledger's order.
    pub server_types: Vec<String>,
    /// When the load began.
    pub begun: Time,
    /// The measured part; `None` if the run ended before it did.
    pub measured: Option<MeasuredPart>,
    /// Descriptions of the faults that could not be injected.
    pub missing: Vec<String>,
    /// Whether the run was interrupted.
    pub interrupted: bool,
    /// The findings of the monitors; `None` if they were not enabled.
    pub self_check: Option<SelfCheck>,
}
