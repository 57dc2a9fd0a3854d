//! Turns the bytes of a file into its TOML tree. Shared by all readers.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::report::Report;
use crate::source::Source;
use crate::syntax;
use toml::de::DeTable;

/// Maximum length of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Number of bytes from the first invalid one that are used to show its line.
const MAX_CONTEXT_BYTES: usize = 200;

/// Returns the bytes of a file as text.
///
/// # Errors
///
/// Fails if the file is too long or is not UTF-8.
pub fn decode_utf8<'b>(file_name: &str, bytes: &'b [u8]) -> Result<&'b str, Report> {
    bounded(file_name, bytes.len())?;
    std::str::from_utf8(bytes).map_err(|error| not_utf8(file_name, bytes, error.valid_up_to()))
}

/// Returns the report of the first byte that is not UTF-8; it shows the line with that byte.
fn not_utf8(file_name: &str, bytes: &[u8], valid_up_to: usize) -> Report {
    let (valid, invalid) = bytes.split_at(valid_up_to);
    let valid = std::str::from_utf8(valid).unwrap_or_default();
    let after = String::from_utf8_lossy(&invalid[..invalid.len().min(MAX_CONTEXT_BYTES)]).into_owned();
    let text = format!("{valid}{}", after.lines().next().unwrap_or_default());
    let byte_order_mark = text.len() - text.strip_prefix('\u{feff}').unwrap_or(&text).len();
    let source = Source::new(&text[byte_order_mark..]);
    let start = valid.len().saturating_sub(byte_order_mark);
    let span = start..start + '\u{fffd}'.len_utf8();
    let byte = invalid.first().copied().unwrap_or_default();
    let message = format!("the byte 0x{byte:02x} is not UTF-8");
    let diagnostic = Diagnostic::at(span, message, "expected a text file in UTF-8");
    Report::new(file_name, &source, vec![diagnostic], 0)
}

fn bounded(file_name: &str, length: usize) -> Result<(), Report> {
    if length <= MAX_FILE_BYTES {
        return Ok(());
    }
    let diagnostic = Diagnostic::for_file(
        "the file is too long",
        format!("expected at most {} MiB", MAX_FILE_BYTES >> 20),
    );
    Err(Report::new(file_name, &Source::new(""), vec![diagnostic], 0))
}

/// Checks the length of the text, parses it and passes the tree to `read`. Returns the values only if there is no problem.
pub(super) fn checked<T>(
    file_name: &str, text: &str, read: impl FnOnce(&mut Diagnostics<'_>, &DeTable<'_>) -> Option<T>,
) -> Result<T, Report> {
    bounded(file_name, text.len())?;
    let source = Source::new(text.strip_prefix('\u{feff}').unwrap_or(text));
    let mut diagnostics = Diagnostics::new(&source);
    let recovered = syntax::recover(&mut diagnostics);
    let tree = recovered.as_deref().and_then(|text| syntax::parse(&mut diagnostics, text));
    let values = tree.and_then(|tree| read(&mut diagnostics, tree.get_ref()));
    diagnostics.into_report(file_name)?;
    // Not reached in practice: without a tree there is at least one diagnostic.
    values.ok_or_else(|| {
        Report::new(
            file_name,
            &source,
            vec![Diagnostic::for_file("the file could not be read", "expected TOML")],
            0,
        )
    })
}
