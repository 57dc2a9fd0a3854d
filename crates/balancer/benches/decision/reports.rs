//! What backends say of their load, apart from the rest so that a build from before there were reports can be measured
//! with the rest as it is.

use shaletide_balancer::{Config, Event};
use shaletide_types::*;

/// This build hears of them.
pub const THERE: bool = true;

pub fn configure(cfg: &mut Config, says: bool) {
    cfg.weights_report_load = says;
}

/// What a backend holds, a little else each time.
fn held(backend: BackendId, turn: u64) -> f64 {
    1.0 + ((u64::from(backend.0) * 7 + turn) % 5) as f64 * 0.5
}

pub fn weigh(backend: &mut BackendEntry, turn: u64) {
    let size = if backend.server_type == ServerTypeId(0) { 2_000.0 } else { 1_000.0 };
    backend.weight = (size / (1.0 + held(backend.id, turn))) as u32;
}

pub fn report(backend: BackendId, turn: u64) -> Option<Event> {
    let in_flight = Some(held(backend, turn));
    Some(Event::LoadReported(
        backend,
        LoadReport { in_flight, errors_per_s: Some(0.0), latency_ms: Some(60.0) },
    ))
}
