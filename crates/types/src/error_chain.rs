//! Formats errors for log lines.

/// Returns the texts of the error and of all its sources, from the outermost to the root cause, joined by `: `.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
