//! Errors as text for a log line.

/// The error's text, then that of its source, of the source's source and so on, joined by `: `.
pub fn causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
