//! Parses a text into a TOML tree, reports several syntax errors at once and records which parts they make unreadable.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::report::MAX_SHOWN_PROBLEMS;
use crate::schema::{section, SectionSchema};
use crate::source::Source;
use std::borrow::Cow;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;
use toml_parser::parser::{parse_document, RecursionGuard};
use toml_parser::{ErrorSink, ParseError};

/// A text with more syntax errors than this is reported as not being TOML, and nothing in it is read.
const MAX_SYNTAX_ERRORS: usize = 1_000;
/// Length of the prefix of a long text that is checked for [`MAX_SYNTAX_ERRORS`] before the whole text, in bytes.
const EARLY_CHECK_BYTES: usize = 256 << 10;
/// Maximum nesting depth, the same as in the `toml` crate.
const MAX_DEPTH: u32 = 80;
/// Maximum number of unclosed values that are removed; each costs a parse.
const MAX_UNCLOSED_VALUES: usize = 16;
/// The header that replaces a broken one; no schema has a section of this name.
const UNKNOWN_SECTION_HEADER: &str = "[[_]]";

/// A syntax error as reported by the TOML library.
struct SyntaxError {
    span: Range<usize>,
    message: String,
}

/// Keeps only the first errors: each takes a few hundred bytes, and a text that is not TOML has one in every word.
#[derive(Default)]
struct BoundedErrors(Vec<SyntaxError>);

impl ErrorSink for BoundedErrors {
    fn report_error(&mut self, error: ParseError) {
        if self.0.len() <= MAX_SYNTAX_ERRORS {
            let span = error.unexpected().map_or(0..0, |span| span.start()..span.end());
            self.0.push(SyntaxError { span, message: error.description().into() });
        }
    }
}

/// Returns the text without the errors that would hide the rest of it from the library: a key without a value hides
/// everything after it, a broken header hides its section, and an unclosed list hides the sections after it. Each such
/// error is reported and replaced by spaces, so that byte offsets are unchanged. Returns `None` if the text is not TOML.
pub(crate) fn recover<'t>(diagnostics: &mut Diagnostics<'t>) -> Option<Cow<'t, str>> {
    let source = diagnostics.source;
    if let Some(errors) = check_early(source) {
        report_not_toml(diagnostics, errors);
        return None;
    }
    let mut errors = parse_errors(source.text);
    // An unclosed string is detected only when it is decoded; only a multi-line string can run over sections.
    let has_long_text = source.text.contains("\"\"\"") || source.text.contains("'''");
    if errors.is_empty() && !has_long_text {
        return Some(Cow::Borrowed(source.text));
    }
    errors.sort_by_key(|error| error.span.start);
    if errors.len() > MAX_SYNTAX_ERRORS {
        report_not_toml(diagnostics, errors);
        return None;
    }
    find_headers(diagnostics);
    let mut text = source.text.to_string();
    for error in errors {
        blank_error(diagnostics, &mut text, error);
    }
    blank_unclosed_values(diagnostics, &mut text);
    Some(Cow::Owned(text))
}

/// Returns the errors of a long text that is not TOML. A small prefix is enough to detect this and is cheap to parse.
fn check_early(source: &Source<'_>) -> Option<Vec<SyntaxError>> {
    if source.text.len() <= EARLY_CHECK_BYTES {
        return None;
    }
    let end = source.line_range(source.line(EARLY_CHECK_BYTES)).start;
    let part = source.text.get(..end)?;
    let parse_errors = parse_errors(part);
    let errors = if parse_errors.len() > MAX_SYNTAX_ERRORS { parse_errors } else { decode(part).errors };
    (errors.len() > MAX_SYNTAX_ERRORS).then_some(errors)
}

/// Reports an error that would hide the text after it, and replaces its line by spaces.
fn blank_error(diagnostics: &mut Diagnostics<'_>, text: &mut String, error: SyntaxError) {
    let source = diagnostics.source;
    let line = source.line_range(source.line(error.span.start));
    let is_header =
        error.message.starts_with("unclosed table") || error.message.starts_with("unclosed array table");
    if is_header {
        // Its keys must not be read as keys of the previous section.
        let is_long_enough = line.len() >= UNKNOWN_SECTION_HEADER.len();
        blank(text, line.clone(), if is_long_enough { UNKNOWN_SECTION_HEADER } else { "" });
        let headers = &diagnostics.damage.header_offsets;
        let next = headers.partition_point(|header| *header <= error.span.start);
        let section_end = headers.get(next).copied().unwrap_or(source.text.len() + 1);
        match header_of(source, source.line(line.start)) {
            Some(section) => diagnostics.damage.missing_sections.push(section.name),
            None => diagnostics.damage.any_section_missing = true,
        }
        report_unreadable(diagnostics, error, line.start..section_end);
    } else if error.message.starts_with("key with no value") {
        blank(text, line.clone(), "");
        report_unreadable(diagnostics, error, line.start..line.end + 1);
    }
}

/// Returns the errors that are found before any value is decoded; their number is bounded.
fn parse_errors(text: &str) -> Vec<SyntaxError> {
    let mut errors = BoundedErrors::default();
    let tokens = toml_parser::Source::new(text).lex().into_vec();
    let mut no_events = ();
    parse_document(&tokens, &mut RecursionGuard::new(&mut no_events, MAX_DEPTH), &mut errors);
    errors.0
}

/// Parses the text returned by [`recover`] and reports its remaining syntax errors. Returns `None` if it is not TOML.
pub(crate) fn parse<'m>(
    diagnostics: &mut Diagnostics<'_>, recovered: &'m str,
) -> Option<Spanned<DeTable<'m>>> {
    let source = diagnostics.source;
    let Decoded { tree, mut errors } = decode(recovered);
    if errors.len() > MAX_SYNTAX_ERRORS {
        report_not_toml(diagnostics, errors);
        return None;
    }
    errors.retain(|error| !diagnostics.damage.is_unreadable(error.span.start));
    // Of several errors in a line, only the first is reported: it is the most specific.
    errors.dedup_by_key(|error| source.line(error.span.start));
    if !errors.is_empty() {
        find_headers(diagnostics);
        let offsets: Vec<usize> = errors.iter().map(|error| error.span.start).collect();
        mark_damaged_values(tree.get_ref().values(), &offsets, &mut diagnostics.damage.unreadable);
    }
    for error in errors {
        let line = source.line_range(source.line(error.span.start));
        report_unreadable(diagnostics, error, line.start..line.end + 1);
    }
    Some(tree)
}

/// Records the byte offsets of the section headers.
fn find_headers(diagnostics: &mut Diagnostics<'_>) {
    let source = diagnostics.source;
    let mut offsets = Vec::new();
    for line in (0..source.lines()).filter(|line| is_header(source, *line)) {
        let text = source.line_text(line);
        let indent = text.len() - text.trim_start().len();
        offsets.push(source.line_range(line).start + indent);
    }
    diagnostics.damage.header_offsets = offsets;
}

/// The result of decoding a text with the library.
struct Decoded<'t> {
    tree: Spanned<DeTable<'t>>,
    /// Sorted by position; their number is bounded.
    errors: Vec<SyntaxError>,
}

fn decode(text: &str) -> Decoded<'_> {
    let (tree, errors) = DeTable::parse_recoverable(text);
    let syntax_error = |error: &toml::de::Error| SyntaxError {
        span: error.span().unwrap_or(0..0),
        message: error.message().to_string(),
    };
    let mut errors: Vec<SyntaxError> = errors.iter().take(MAX_SYNTAX_ERRORS + 1).map(syntax_error).collect();
    errors.sort_by_key(|error| error.span.start);
    Decoded { tree, errors }
}

/// Reports an error and marks the range that it makes unreadable.
fn report_unreadable(diagnostics: &mut Diagnostics<'_>, error: SyntaxError, unreadable: Range<usize>) {
    diagnostics.damage.error_offsets.push(error.span.start);
    diagnostics.damage.unreadable.push(unreadable);
    report_error(diagnostics, error);
}

/// Overwrites a range with `instead` followed by spaces. Line endings are kept.
fn blank(text: &mut String, range: Range<usize>, instead: &str) {
    let Some(old) = text.get(range.clone()) else { return };
    let rest = old.bytes().skip(instead.len());
    let spaces: String = rest.map(|b| if matches!(b, b'\n' | b'\r') { char::from(b) } else { ' ' }).collect();
    text.replace_range(range, &format!("{instead}{spaces}"));
}

/// Reports each unclosed value that runs over the next section header, and replaces it by spaces.
fn blank_unclosed_values(diagnostics: &mut Diagnostics<'_>, text: &mut String) {
    let source = diagnostics.source;
    for _ in 0..MAX_UNCLOSED_VALUES {
        let Decoded { tree, errors } = decode(text);
        let offsets: Vec<usize> = errors.into_iter().map(|error| error.span.start).collect();
        let mut unclosed = Vec::new();
        find_unclosed_values(source, tree.get_ref().values(), &offsets, &mut unclosed);
        drop(tree);
        // Values after the first may seem unclosed only because of it.
        let Some(first) = unclosed.into_iter().min() else { return };
        let line = source.line(first.header) + 1;
        let expected = format!("expected its end before the section in line {line}");
        let span = first.start..first.start + 1;
        let diagnostic = Diagnostic::at(span, "this value begins here and is not closed", expected);
        diagnostics
            .push_syntax_error(diagnostic.with_related(source.line_range(line - 1), "the next section"));
        let begin = source.line_range(source.line(first.start)).start;
        blank(text, begin..first.header, "");
        diagnostics.damage.error_offsets.push(first.start);
        diagnostics.damage.unreadable.push(begin..first.header);
    }
}

/// Reports the first errors of a text that is not TOML.
fn report_not_toml(diagnostics: &mut Diagnostics<'_>, mut errors: Vec<SyntaxError>) {
    let source = diagnostics.source;
    errors.dedup_by_key(|error| source.line(error.span.start));
    errors.truncate(MAX_SHOWN_PROBLEMS - 1);
    for error in errors {
        report_error(diagnostics, error);
    }
    let message = format!("more than {MAX_SYNTAX_ERRORS} syntax errors: this is not TOML");
    diagnostics.push_syntax_error(Diagnostic::for_file(message, "nothing else was checked"));
}

/// Returns the schema of the section whose header the line appears to be.
fn header_of(source: &Source<'_>, line: usize) -> Option<&'static SectionSchema> {
    let text = source.line_text(line).trim_start().strip_prefix('[')?;
    let text = text.strip_prefix('[').unwrap_or(text).trim_start();
    let end = text.find(|c: char| !c.is_ascii_alphanumeric() && c != '_' && c != '-').unwrap_or(text.len());
    section(&text[..end])
}

fn is_header(source: &Source<'_>, line: usize) -> bool {
    header_of(source, line).is_some()
}

/// A value that runs over a section header.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UnclosedValue {
    start: usize,
    /// Byte offset of the line with the header.
    header: usize,
}

/// Finds the values that run over a section header and contain a syntax error, which shows that they are unclosed.
fn find_unclosed_values<'v, 't: 'v>(
    source: &Source<'_>, values: impl Iterator<Item = &'v Spanned<DeValue<'t>>>, errors: &[usize],
    unclosed: &mut Vec<UnclosedValue>,
) {
    for value in values {
        let span = value.span();
        // The span of a section is that of its header.
        let is_section = is_header(source, source.line(span.start));
        let has_error = has_error_in(errors, &span);
        let mut lines = source.line(span.start) + 1..=source.line(span.end);
        let header = lines.find(|line| has_error && is_header(source, *line));
        match (header, value.get_ref()) {
            (Some(line), _) if !is_section => {
                let header = source.line_range(line).start;
                unclosed.push(UnclosedValue { start: span.start, header });
            }
            (_, DeValue::Array(items)) => find_unclosed_values(source, items.iter(), errors, unclosed),
            (_, DeValue::Table(table)) => find_unclosed_values(source, table.values(), errors, unclosed),
            _ => {}
        }
    }
}

/// Marks the first byte of each value that contains a syntax error, so that no problem of the whole value is reported.
fn mark_damaged_values<'v, 't: 'v>(
    values: impl Iterator<Item = &'v Spanned<DeValue<'t>>>, errors: &[usize],
    unreadable: &mut Vec<Range<usize>>,
) {
    for value in values {
        let span = value.span();
        match value.get_ref() {
            DeValue::Array(items) => mark_damaged_values(items.iter(), errors, unreadable),
            DeValue::Table(table) => mark_damaged_values(table.values(), errors, unreadable),
            _ => {}
        }
        if has_error_in(errors, &span) {
            unreadable.push(span.start..span.start + 1);
        }
    }
}

/// Returns whether one of the errors, sorted by offset, lies in the span or at its end.
fn has_error_in(errors: &[usize], span: &Range<usize>) -> bool {
    let first = errors.partition_point(|error| *error < span.start);
    errors.get(first).is_some_and(|error| *error <= span.end)
}

/// Reports a syntax error. Replaces messages of the library that use the terms of its grammar.
fn report_error(diagnostics: &mut Diagnostics<'_>, error: SyntaxError) {
    let source = diagnostics.source;
    let SyntaxError { span, message } = error;
    let found = source.text.get(span.clone()).unwrap_or("");
    let (summary, expected) = match message.split_once(", expected ") {
        Some((summary, expected)) => (summary, format!("expected {expected}")),
        None => (message.as_str(), String::new()),
    };
    let diagnostic = match summary {
        "string values must be quoted" if found.is_empty() => {
            Diagnostic::at(span, "there is no value here", "expected a value")
        }
        "string values must be quoted" => {
            Diagnostic::at(span, format!("{} is not quoted", quoted(found)), "expected text in double quotes")
        }
        "invalid basic string" | "invalid literal string" if found.is_empty() => {
            Diagnostic::at(span, "this text is not closed", expected)
        }
        "invalid basic string" | "invalid literal string" => {
            Diagnostic::at(span, "this character may not occur in text", "expected an escape such as \\u001b")
        }
        "unclosed table" | "unclosed array table" => {
            Diagnostic::at(span, "this header is not closed", "expected `]`")
        }
        "key with no value" => Diagnostic::at(span, "this key has no value", "expected `=` and a value"),
        "duplicate key" => duplicate_key(source, span, found),
        "cannot recurse further; max recursion depth met" | "recursion limit" => {
            Diagnostic::at(span, "too deeply nested", format!("expected at most {MAX_DEPTH} levels"))
        }
        _ => Diagnostic::at(span, summary, expected),
    };
    diagnostics.push_syntax_error(diagnostic);
}

/// Creates the diagnostic of a duplicate key or table. The tree does not keep the first, so it is searched in the text.
fn duplicate_key(source: &Source<'_>, span: Range<usize>, name: &str) -> Diagnostic {
    let line = source.line(span.start);
    let is_table = source.line_text(line).trim_start().starts_with('[');
    let mut earlier = (0..line).rev().take_while(|line| is_table || !is_header(source, *line));
    let first = earlier.find(|line| {
        let text = source.line_text(*line).trim_start();
        if is_table {
            is_header_of(text, name)
        } else {
            text.strip_prefix(name).is_some_and(|rest| rest.trim_start().starts_with('='))
        }
    });
    let diagnostic =
        Diagnostic::at(span, format!("{} is defined twice", quoted(name)), "expected a single definition");
    let Some(first) = first else { return diagnostic };
    let range = source.line_range(first);
    let start = range.end - source.line_text(first).trim_start().len();
    diagnostic.with_related(start..range.end, "first here")
}

/// Returns whether a line is the header of a table of that name.
fn is_header_of(line: &str, name: &str) -> bool {
    let header = line.trim_start_matches('[').trim_start();
    let rest = header.strip_prefix(name);
    line.starts_with('[') && rest.is_some_and(|rest| rest.trim_start().starts_with(']'))
}
