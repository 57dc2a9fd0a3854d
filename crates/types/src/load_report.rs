//! Load reports of backends.

/// The load that a backend reports in a response. The numbers are not validated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the backend.
    pub in_flight: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Recent latency of a request, ms.
    pub latency_ms: Option<f64>,
}

impl LoadReport {
    /// Parses `TEXT name=value, name=value`. Each of the three values has two names, the usual one and the platform's.
    /// Unknown names, invalid numbers and everything after the first [`LoadReport::MAX_BYTES`] bytes are ignored.
    pub fn parse(text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        let end = (0..=text.len().min(LoadReport::MAX_BYTES)).rev().find(|at| text.is_char_boundary(*at));
        let Some(values) = text[..end.unwrap_or(0)].trim_start().strip_prefix("TEXT") else { return report };
        for (name, value) in values.split(',').filter_map(|part| part.split_once('=')) {
            let value = value.trim().parse().ok();
            match name.trim() {
                "inflight" | "active" => report.in_flight = value,
                "eps" | "err_rps" => report.errors_per_s = value,
                "latency_ms" | "avg_ms" => report.latency_ms = value,
                _ => {}
            }
        }
        report
    }

    /// Maximum number of bytes of a report that are parsed; the rest is ignored.
    pub const MAX_BYTES: usize = 512;
}
