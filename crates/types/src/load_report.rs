//! What a backend reports of its own load.

/// What a backend reports of its own load in a response, unchecked: any number is possible.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at it.
    pub in_flight: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Recent latency of a request, ms.
    pub latency_ms: Option<f64>,
}

impl LoadReport {
    /// Reads `TEXT name=value, name=value`, by the names that the field and the platform have for the three; unknown
    /// names and invalid numbers are ignored, and so is all beyond the first [`LoadReport::MAX_BYTES`] bytes.
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

    /// A longer report is read so far, in bytes.
    pub const MAX_BYTES: usize = 512;
}
