//! The load that backends report. A module of its own, so that a build without load reports can be measured with the rest
//! of the benchmark unchanged.

use shaletide_balancer::{Config, Event};
use shaletide_types::*;

/// Whether this build supports load reports.
pub const SUPPORTED: bool = true;

pub fn configure(cfg: &mut Config, reports_load: bool) {
    cfg.weights_report_load = reports_load;
}

/// Returns the requests in flight on a core of a backend, which vary with `round`.
fn in_flight_per_core(backend: BackendId, round: u64) -> f64 {
    1.0 + ((u64::from(backend.0) * 7 + round) % 5) as f64 * 0.5
}

pub fn set_live_weight(backend: &mut BackendEntry, round: u64) {
    let size = if backend.server_type == ServerTypeId(0) { 2_000.0 } else { 1_000.0 };
    backend.weight = (size / (1.0 + in_flight_per_core(backend.id, round))) as u32;
}

pub fn report(backend: BackendId, round: u64) -> Option<Event> {
    let in_flight = Some(in_flight_per_core(backend, round));
    Some(Event::LoadReported(
        backend,
        LoadReport { in_flight, errors_per_s: Some(0.0), latency_ms: Some(60.0) },
    ))
}
