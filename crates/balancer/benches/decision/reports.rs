//! Load that backends report, apart from the rest so that a build without reports can be measured with the rest as it is.

use shaletide_balancer::{Config, Event};
use shaletide_types::*;

/// This build takes load reports.
pub const SUPPORTED: bool = true;

pub fn configure(cfg: &mut Config, reports_load: bool) {
    cfg.weights_report_load = reports_load;
}

/// Requests in flight on a core of a backend, a little different each time.
fn in_flight_per_core(backend: BackendId, turn: u64) -> f64 {
    1.0 + ((u64::from(backend.0) * 7 + turn) % 5) as f64 * 0.5
}

pub fn set_live_weight(backend: &mut BackendEntry, turn: u64) {
    let size = if backend.server_type == ServerTypeId(0) { 2_000.0 } else { 1_000.0 };
    backend.weight = (size / (1.0 + in_flight_per_core(backend.id, turn))) as u32;
}

pub fn report(backend: BackendId, turn: u64) -> Option<Event> {
    let in_flight = Some(in_flight_per_core(backend, turn));
    Some(Event::LoadReported(
        backend,
        LoadReport { in_flight, errors_per_s: Some(0.0), latency_ms: Some(60.0) },
    ))
}
