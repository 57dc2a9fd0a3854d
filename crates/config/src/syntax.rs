//! From text to TOML's tree, with several syntax errors at once, and what they have spoilt.

use crate::diagnostic::Diagnostic;
use crate::diagnostics::{quoted, Diagnostics};
use crate::report::SHOWN;
use crate::schema::{section, Section};
use crate::source::Source;
use std::borrow::Cow;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;
use toml_parser::parser::{parse_document, RecursionGuard};
use toml_parser::{ErrorSink, ParseError};

/// A text with more syntax errors than this is not TOML, and none of it is read.
const NOISE: usize = 1_000;
/// Of a long text so much is looked at for noise before the whole.
const PART: usize = 256 << 10;
/// As in `toml` itself.
const DEPTH: u32 = 80;

/// So many values that are never closed are taken out; each costs a parse.
const UNCLOSED: usize = 16;
/// A header that no schema knows, in the place of a broken one.
const NAMELESS: &str = "[[_]]";

/// Where something stands, and what the library says of it.
type Fault = (Range<usize>, String);

/// Keeps the first errors and counts no further: each takes some hundred bytes, and noise has one in each.
#[derive(Default)]
struct FewErrors(Vec<Fault>);

impl ErrorSink for FewErrors {
    fn report_error(&mut self, error: ParseError) {
        if self.0.len() <= NOISE {
            let at = error.unexpected().map_or(0..0, |s| s.start()..s.end());
            self.0.push((at, error.description().into()));
        }
    }
}

/// The text without what would hide the rest of it from the library: a key without a value loses all that follows,
/// a broken header its section, a list that is never closed the sections behind it. Each is put down and replaced
/// by spaces, so that all places stay. None: this is not TOML at all.
pub(crate) fn mend<'t>(diagnostics: &mut Diagnostics<'t>) -> Option<Cow<'t, str>> {
    let source = diagnostics.source;
    if let Some(faults) = early_noise(source) {
        noise(diagnostics, faults);
        return None;
    }
    let mut faults = first_pass(source.text);
    // Text that is never closed is found only when it is decoded, and only that of several lines is long.
    let long_text = source.text.contains("\"\"\"") || source.text.contains("'''");
    if faults.is_empty() && !long_text {
        return Some(Cow::Borrowed(source.text));
    }
    faults.sort_by_key(|f| f.0.start);
    if faults.len() > NOISE {
        noise(diagnostics, faults);
        return None;
    }
    find_headers(diagnostics);
    let mut text = source.text.to_string();
    for fault in faults {
        take_out(diagnostics, &mut text, fault);
    }
    close(diagnostics, &mut text);
    Some(Cow::Owned(text))
}

/// The faults of a long text that is noise: it shows at once, and a small part of it costs little.
fn early_noise(source: &Source<'_>) -> Option<Vec<Fault>> {
    let part = source.line_range(source.line(PART)).start;
    let part = source.text.get(..part).filter(|_| source.text.len() > PART)?;
    let few = first_pass(part);
    let faults = if few.len() > NOISE { few } else { faults(part).1 };
    (faults.len() > NOISE).then_some(faults)
}

/// Puts down a fault that would lose what follows it, and replaces its line.
fn take_out(diagnostics: &mut Diagnostics<'_>, text: &mut String, fault: Fault) {
    let source = diagnostics.source;
    let line = source.line_range(source.line(fault.0.start));
    if fault.1.starts_with("unclosed table") || fault.1.starts_with("unclosed array table") {
        // Its keys must not fall to the section before it.
        let instead = if line.len() >= NAMELESS.len() { NAMELESS } else { "" };
        blank(text, line.clone(), instead);
        let next = diagnostics.damage.header_offsets.partition_point(|h| *h <= fault.0.start);
        let next = diagnostics.damage.header_offsets.get(next).copied().unwrap_or(source.text.len() + 1);
        match header_of(source, source.line(line.start)) {
            Some(section) => diagnostics.damage.missing_sections.push(section.name),
            None => diagnostics.damage.any_section_missing = true,
        }
        lose(diagnostics, fault, line.start..next);
    } else if fault.1.starts_with("key with no value") {
        blank(text, line.clone(), "");
        lose(diagnostics, fault, line.start..line.end + 1);
    }
}

/// The errors that show before anything is decoded; no more than a few.
fn first_pass(text: &str) -> Vec<Fault> {
    let mut few = FewErrors::default();
    let tokens = toml_parser::Source::new(text).lex().into_vec();
    let mut nowhere = ();
    parse_document(&tokens, &mut RecursionGuard::new(&mut nowhere, DEPTH), &mut few);
    few.0
}

/// The tree of a text that was mended; what else is wrong with its syntax lies on the desk.
pub(crate) fn parse<'m>(diagnostics: &mut Diagnostics<'_>, mended: &'m str) -> Option<Spanned<DeTable<'m>>> {
    let source = diagnostics.source;
    let (tree, mut faults) = faults(mended);
    if faults.len() > NOISE {
        noise(diagnostics, faults);
        return None;
    }
    // Of several in a line the first says most.
    faults.retain(|f| !diagnostics.damage.is_unreadable(f.0.start));
    faults.dedup_by_key(|f| source.line(f.0.start));
    if !faults.is_empty() {
        find_headers(diagnostics);
        let errors: Vec<usize> = faults.iter().map(|f| f.0.start).collect();
        spoilt(tree.get_ref().values(), &errors, &mut diagnostics.damage.unreadable);
    }
    for fault in faults {
        let line = source.line_range(source.line(fault.0.start));
        lose(diagnostics, fault, line.start..line.end + 1);
    }
    Some(tree)
}

/// Puts down where sections begin.
fn find_headers(diagnostics: &mut Diagnostics<'_>) {
    let source = diagnostics.source;
    let headers = (0..source.lines()).filter(|l| is_header(source, *l));
    let indent = |line: &str| line.len() - line.trim_start().len();
    let bracket = |l| source.line_range(l).start + indent(source.line_text(l));
    diagnostics.damage.header_offsets = headers.map(bracket).collect();
}

/// The tree, and its faults in the order of the text.
fn faults(text: &str) -> (Spanned<DeTable<'_>>, Vec<Fault>) {
    let (tree, errors) = DeTable::parse_recoverable(text);
    let fault = |e: &toml::de::Error| (e.span().unwrap_or(0..0), e.message().to_string());
    let mut faults: Vec<Fault> = errors.iter().take(NOISE + 1).map(fault).collect();
    faults.sort_by_key(|f| f.0.start);
    (tree, faults)
}

/// Puts down a fault and what it spoils.
fn lose(diagnostics: &mut Diagnostics<'_>, fault: Fault, lost: Range<usize>) {
    diagnostics.damage.error_offsets.push(fault.0.start);
    diagnostics.damage.unreadable.push(lost);
    report(diagnostics, fault);
}

/// Replaces what lies there by spaces and, at its beginning, by that. Line ends stay.
fn blank(text: &mut String, range: Range<usize>, instead: &str) {
    let Some(old) = text.get(range.clone()) else { return };
    let behind = old.bytes().skip(instead.len());
    let spaces: String =
        behind.map(|b| if matches!(b, b'\n' | b'\r') { char::from(b) } else { ' ' }).collect();
    text.replace_range(range, &format!("{instead}{spaces}"));
}

/// Takes out the values that are never closed and so run over sections, and puts each down at its beginning.
fn close(diagnostics: &mut Diagnostics<'_>, text: &mut String) {
    let source = diagnostics.source;
    for _ in 0..UNCLOSED {
        let (tree, faults) = faults(text);
        let errors: Vec<usize> = faults.into_iter().map(|f| f.0.start).collect();
        let mut open = Vec::new();
        unclosed(source, tree.get_ref().values(), &errors, &mut open);
        drop(tree);
        // Whatever seems open behind the first may be so because of it.
        let Some((start, header)) = open.into_iter().min() else { return };
        let line = source.line(header) + 1;
        let expected = format!("expected its end before the section that begins in line {line}");
        let diagnostic = Diagnostic::at(start..start + 1, "this begins here and is not closed", expected);
        diagnostics.push_syntax_error(diagnostic.with_related(source.line_range(line - 1), "a new section"));
        let begin = source.line_range(source.line(start)).start;
        blank(text, begin..header, "");
        diagnostics.damage.error_offsets.push(start);
        diagnostics.damage.unreadable.push(begin..header);
    }
}

/// The first errors of a text that is not TOML at all.
fn noise(diagnostics: &mut Diagnostics<'_>, mut faults: Vec<Fault>) {
    let source = diagnostics.source;
    faults.dedup_by_key(|f| source.line(f.0.start));
    faults.truncate(SHOWN - 1);
    faults.into_iter().for_each(|f| report(diagnostics, f));
    let what = format!("more than {NOISE} syntax errors: this is not TOML");
    diagnostics.push_syntax_error(Diagnostic::for_file(what, "nothing else was looked at"));
}

/// The section that a line seems to be the header of.
fn header_of(source: &Source<'_>, line: usize) -> Option<&'static Section> {
    let text = source.line_text(line).trim_start().strip_prefix('[')?;
    let text = text.strip_prefix('[').unwrap_or(text).trim_start();
    let end = text.find(|c: char| !c.is_ascii_alphanumeric() && c != '_' && c != '-').unwrap_or(text.len());
    section(&text[..end])
}

fn is_header(source: &Source<'_>, line: usize) -> bool {
    header_of(source, line).is_some()
}

/// Values that run over the header of a section, with that header, where a syntax error shows that they should
/// not.
fn unclosed<'v, 't: 'v>(
    source: &Source<'_>, values: impl Iterator<Item = &'v Spanned<DeValue<'t>>>, errors: &[usize],
    open: &mut Vec<(usize, usize)>,
) {
    for value in values {
        let span = value.span();
        // A section's own span is that of its header.
        let sections = is_header(source, source.line(span.start));
        let first = errors.partition_point(|e| *e < span.start);
        let spoilt = errors.get(first).is_some_and(|e| *e <= span.end);
        let lines = source.line(span.start) + 1..=source.line(span.end);
        let header = lines.into_iter().find(|l| spoilt && is_header(source, *l));
        match (header, value.get_ref()) {
            (Some(line), _) if !sections => open.push((span.start, source.line_range(line).start)),
            (_, DeValue::Array(items)) => unclosed(source, items.iter(), errors, open),
            (_, DeValue::Table(table)) => unclosed(source, table.values(), errors, open),
            _ => {}
        }
    }
}

/// Where values begin that have a syntax error in them: of these as a whole nothing can be said.
fn spoilt<'v, 't: 'v>(
    values: impl Iterator<Item = &'v Spanned<DeValue<'t>>>, errors: &[usize], lost: &mut Vec<Range<usize>>,
) {
    for value in values {
        let span = value.span();
        let first = errors.partition_point(|e| *e < span.start);
        let inside = errors.get(first).is_some_and(|e| *e <= span.end);
        match value.get_ref() {
            DeValue::Array(items) => spoilt(items.iter(), errors, lost),
            DeValue::Table(table) => spoilt(table.values(), errors, lost),
            _ => {}
        }
        if inside {
            lost.push(span.start..span.start + 1);
        }
    }
}

/// Puts a syntax error down in words of our own where those of the library are too near to its grammar.
fn report(diagnostics: &mut Diagnostics<'_>, (at, message): Fault) {
    let source = diagnostics.source;
    let found = source.text.get(at.clone()).unwrap_or("");
    let (what, expected) = match message.split_once(", expected ") {
        Some((what, expected)) => (what.to_string(), format!("expected {expected}")),
        None => (message.clone(), String::new()),
    };
    let diagnostic = match what.as_str() {
        "string values must be quoted" if found.is_empty() => {
            Diagnostic::at(at, "there is no value here", "expected a value")
        }
        "string values must be quoted" => {
            Diagnostic::at(at, format!("{} is not quoted", quoted(found)), "expected text in double quotes")
        }
        "invalid basic string" | "invalid literal string" if found.is_empty() => {
            Diagnostic::at(at, "this text is not closed", expected)
        }
        "invalid basic string" | "invalid literal string" => {
            Diagnostic::at(at, "this character may not stand in text", "expected an escape such as \\u001b")
        }
        "unclosed table" | "unclosed array table" => {
            Diagnostic::at(at, "this header is not closed", "expected `]`")
        }
        "key with no value" => Diagnostic::at(at, "this key has no value", "expected `=` and a value"),
        "duplicate key" => duplicate(source, at, found),
        "cannot recurse further; max recursion depth met" | "recursion limit" => {
            Diagnostic::at(at, "too deeply nested", format!("expected at most {DEPTH} levels"))
        }
        _ => Diagnostic::at(at, what, expected),
    };
    diagnostics.push_syntax_error(diagnostic);
}

/// A key or table that stands a second time. The tree no longer knows the first: it is looked for in the text.
fn duplicate(source: &Source<'_>, at: Range<usize>, name: &str) -> Diagnostic {
    let line = source.line(at.start);
    let header = source.line_text(line).trim_start().starts_with('[');
    let is_it = |l: &usize| {
        let text = source.line_text(*l).trim_start();
        match header {
            true => text
                .trim_start_matches('[')
                .trim_start()
                .strip_prefix(name)
                .is_some_and(|r| text.starts_with('[') && r.trim_start().starts_with(']')),
            false => text.strip_prefix(name).is_some_and(|r| r.trim_start().starts_with('=')),
        }
    };
    let same_table = |l: &usize| header || !is_header(source, *l);
    let first = (0..line).rev().take_while(same_table).find(is_it);
    let diagnostic = Diagnostic::at(at, format!("{} stands twice", quoted(name)), "expected it once");
    match first {
        Some(first) => {
            let range = source.line_range(first);
            let start = range.end - source.line_text(first).trim_start().len();
            diagnostic.with_related(start..range.end, "first here")
        }
        None => diagnostic,
    }
}
