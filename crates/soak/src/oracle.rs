//! The rules of routing, held against what clients, backends and discovery wrote down in a run. Pure.
//!
//! `rule` names the rules, `evidence` is what was written down, `discovery` works out when a proxy was told of a change;
//! each of the other modules checks the rules of one concern.

mod answers;
mod client_limits;
mod discovery;
mod drains;
mod evidence;
mod processes;
mod repeats;
mod rule;
mod slow_start;
#[cfg(test)]
mod tests;

pub use evidence::{ClientRecords, Evidence, LateLink, Return, Telling, Unlisted};
pub use processes::MEMORY_LIMIT_KIB;
pub use rule::{Rule, Violation};

use shaletide_types::{Micros, Time};

/// What a busy machine adds to each measured time: the stand-ins run on the same cores as the proxies.
const MACHINE_SLACK: Micros = Micros(100_000);
/// What the platform adds to each time limit on sockets.
const CLOCK_SLACK: Micros = Micros(50_000);
/// A proxy may be held up for so long between a look at its clock and a write.
pub const HOLD_UP: Micros = Micros(150_000);
/// Cores that the machines of all backends have.
pub const CORES: u32 = 2;
/// The mean work of a request, ms.
pub const MEAN_WORK_MS: f64 = 20.0;

/// What broke.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let mut broken = Vec::new();
    evidence.processes(&mut broken);
    evidence.answers(&mut broken);
    evidence.repeats(&mut broken);
    evidence.drains(&mut broken);
    evidence.cold_starts(&mut broken);
    evidence.times_told(&mut broken);
    evidence.clients_gone(&mut broken);
    broken
}

fn add(broken: &mut Vec<Violation>, rule: Rule, text: String) {
    broken.push(Violation { rule, text });
}

/// A moment of the run's clock, in seconds.
fn seconds(at: Time) -> f64 {
    (at - Time(0)).secs()
}

/// The first half of an id, which tells whose clients sent it.
fn run_of(id: &str) -> Option<u32> {
    u32::from_str_radix(id.get(..8)?, 16).ok()
}
