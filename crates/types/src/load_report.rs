//! What a backend reports of its own load.

/// What a backend says of its own load in an answer, as it came: anything may be said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// How long serving one took lately, ms.
    pub latency_ms: Option<f64>,
}

impl LoadReport {
    /// Reads `TEXT name=value, name=value`, by the names that the field and the platform have for the three; what
    /// is unknown or no number is passed over, and so is all beyond the first [`LoadReport::MAX_BYTES`] bytes.
    pub fn parse(text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        let end = (0..=text.len().min(LoadReport::MAX_BYTES)).rev().find(|at| text.is_char_boundary(*at));
        let Some(said) = text[..end.unwrap_or(0)].trim_start().strip_prefix("TEXT") else { return report };
        for (name, value) in said.split(',').filter_map(|part| part.split_once('=')) {
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

    /// A report is looked at so far, in bytes.
    pub const MAX_BYTES: usize = 512;
}
