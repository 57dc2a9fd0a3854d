//! What happens in a run and when, drawn from its seed. Pure.
//!
//! A seed stands for its plan on pages and in reports: the number and the order of the random draws are part of the
//! interface and are checked by `tests/plan_identity.rs`.

mod builder;
mod fault_kind;
mod faults;
mod step;

pub use fault_kind::FaultKind;
pub use step::{BackendFault, ProcessEnd, ProcessStart, Restart, Step, StopSignals, TimedStep};

use crate::settings::RunSettings;
use builder::{PlanBuilder, HOUR_S};
use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Processes of the program.
    pub proxies: usize,
    /// Backends.
    pub backends: usize,
    /// How long clients ask; what is open then is waited for.
    pub length: Duration,
    /// How many kinds of fault a seed draws.
    pub faults: usize,
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The kinds of fault that were drawn.
    pub kinds: Vec<FaultKind>,
    /// Seconds that the proxies' wall clocks are ahead as the first processes start.
    pub wall_clock_at_start: i64,
    /// Discovery is asked, not an agent that pushes.
    pub polls_discovery: bool,
    /// What the proxies are told.
    pub settings: RunSettings,
    /// In the order of their times.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// The plan of a seed. `only`: kinds that it is to have, in place of drawn ones.
    pub fn draw(seed: u64, scale: &Scale, only: &[FaultKind]) -> Plan {
        let mut builder = PlanBuilder::new(seed, scale);
        let kinds = if only.is_empty() { builder.draw_kinds() } else { only.to_vec() };
        let steps_clock = kinds.contains(&FaultKind::WallClock);
        let wall_clock_at_start = if steps_clock { HOUR_S * (builder.below(3) as i64 - 1) } else { 0 };
        for kind in &kinds {
            builder.add_fault(*kind);
        }
        let polls_discovery = builder.chance(0.3);
        let steps = builder.into_steps();
        Plan { kinds, wall_clock_at_start, polls_discovery, settings: RunSettings::draw(seed), steps }
    }
}
