//! The plan of a run, drawn from its seed. Pure.
//!
//! Documentation and reports refer to plans by their seeds. The number and the order of the random draws are therefore part
//! of the interface, and are checked by `tests/plan_identity.rs`.

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
    /// Number of proxies.
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Time during which clients send requests; the run then waits for the open ones.
    pub length: Duration,
    /// Number of fault kinds drawn for a seed.
    pub faults: usize,
}

/// The faults, settings and steps of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The kinds of fault that were drawn.
    pub kinds: Vec<FaultKind>,
    /// Offset of the proxies' wall clocks from the true time at the start of the run, in seconds.
    pub wall_clock_at_start: i64,
    /// Whether the proxies poll discovery; otherwise an agent pushes the lists.
    pub polls_discovery: bool,
    /// The settings of all proxies.
    pub settings: RunSettings,
    /// The steps, ordered by time.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// Draws the plan of a seed. `only`: fault kinds to use instead of drawn ones.
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

    /// Returns the number of processes of a proxy that receive SIGHUP some milliseconds after their start, before they can be
    /// ready.
    pub fn early_hangups(&self, proxy: usize) -> usize {
        let is_early = |timed: &&TimedStep| match timed.step {
            Step::Restart(restarted, restart) => {
                restarted == proxy && matches!(restart.start, ProcessStart::EarlyStop(_))
            }
            _ => false,
        };
        self.steps.iter().filter(is_early).count()
    }
}
