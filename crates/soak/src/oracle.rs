//! Checks the invariants of routing against the records of clients, backends and discovery of a run. Pure.
//!
//! `invariant` names the invariants, `evidence` holds the records, `discovery` computes when a proxy knew of a change, and
//! `end_by_signal` prints the trace of an end by SIGHUP or SIGTERM. Each of the other modules checks the invariants of one
//! concern.

mod answers;
mod client_limits;
mod discovery;
mod drains;
mod end_by_signal;
mod evidence;
mod invariant;
mod processes;
mod repeats;
mod slow_start;
#[cfg(test)]
mod tests;

pub use end_by_signal::EndBySignal;
pub use evidence::{BackendStart, ClientRecords, DelayedLink, DrainSpan, Evidence, ListWrite};
pub use invariant::{Invariant, Violation};
pub use processes::MEMORY_LIMIT_KIB;

use shaletide_types::{Micros, Time};

/// Slack of each measured time for a busy machine: the stand-ins share the cores with the proxies.
const MACHINE_SLACK: Micros = Micros(100_000);
/// Slack that the platform adds to each time limit.
const CLOCK_SLACK: Micros = Micros(50_000);
/// Maximum pause of a process between reading its clock and a write.
pub const LONGEST_PAUSE: Micros = Micros(150_000);
/// Number of cores of each backend.
pub const CORES: u32 = 2;
/// Mean work of a request, ms.
pub const MEAN_WORK_MS: f64 = 20.0;

/// Returns all violations of invariants in the evidence.
pub fn judge(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    evidence.check_processes(&mut violations);
    evidence.check_answers(&mut violations);
    evidence.check_lengthless_answers(&mut violations);
    evidence.check_repeats(&mut violations);
    evidence.check_drains(&mut violations);
    evidence.check_slow_starts(&mut violations);
    evidence.check_time_left(&mut violations);
    evidence.check_disconnected_clients(&mut violations);
    violations
}

fn report(violations: &mut Vec<Violation>, invariant: Invariant, text: String) {
    violations.push(Violation { invariant, text });
}

/// Converts a time of the run's clock to seconds.
fn seconds(at: Time) -> f64 {
    (at - Time(0)).secs()
}

/// Returns the client run that sent the request with this id: the first half of the id.
fn client_run_of(id: &str) -> Option<u32> {
    u32::from_str_radix(id.get(..8)?, 16).ok()
}
