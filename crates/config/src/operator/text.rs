//! From the bytes of a file to its tree: what every reading shares.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::Diagnostics;
use crate::report::Report;
use crate::source::Source;
use crate::syntax;
use toml::de::DeTable;

/// A file may be so long, in bytes.
pub const MAX_FILE: usize = 4 << 20;

/// The text of a file.
///
/// # Errors
///
/// A file that is too long, and bytes that are not UTF-8.
pub fn utf8<'b>(file_name: &str, bytes: &'b [u8]) -> Result<&'b str, Report> {
    bounded(file_name, bytes.len())?;
    std::str::from_utf8(bytes).map_err(|e| {
        // The good part and a stand-in for the byte: that is enough to show the line.
        let (good, bad) = bytes.split_at(e.valid_up_to());
        let good = std::str::from_utf8(good).unwrap_or_default();
        let after: String = String::from_utf8_lossy(&bad[..bad.len().min(200)]).into_owned();
        let text = format!("{good}{}", after.lines().next().unwrap_or_default());
        let skip = text.len() - text.strip_prefix('\u{feff}').unwrap_or(&text).len();
        let source = Source::new(&text[skip..]);
        let at =
            (good.len() - skip.min(good.len()))..(good.len() - skip.min(good.len()) + '\u{fffd}'.len_utf8());
        let byte = bad.first().copied().unwrap_or_default();
        let what = format!("the byte 0x{byte:02x} is not UTF-8");
        Report::new(file_name, &source, vec![Diagnostic::at(at, what, "expected a text file in UTF-8")], 0)
    })
}

fn bounded(file_name: &str, length: usize) -> Result<(), Report> {
    if length <= MAX_FILE {
        return Ok(());
    }
    let diagnostic =
        Diagnostic::for_file("the file is too long", format!("expected at most {} MiB", MAX_FILE >> 20));
    Err(Report::new(file_name, &Source::new(""), vec![diagnostic], 0))
}

/// What every reading shares: the bound, the tree, and that values come out only where nothing is wrong.
pub(super) fn checked<T>(
    file_name: &str, text: &str, read: impl FnOnce(&mut Diagnostics<'_>, &DeTable<'_>) -> Option<T>,
) -> Result<T, Report> {
    bounded(file_name, text.len())?;
    let source = Source::new(text.strip_prefix('\u{feff}').unwrap_or(text));
    let mut diagnostics = Diagnostics::new(&source);
    let mended = syntax::mend(&mut diagnostics);
    let tree = mended.as_deref().and_then(|text| syntax::parse(&mut diagnostics, text));
    let values = tree.and_then(|tree| read(&mut diagnostics, tree.get_ref()));
    diagnostics.into_report(file_name)?;
    // Without a tree something lies on the desk.
    values.ok_or_else(|| {
        Report::new(file_name, &source, vec![Diagnostic::for_file("not read", "expected TOML")], 0)
    })
}
