//! The mistakes in an experiment's file, collected instead of stopping at the first.

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFile;
use codespan_reporting::term;
use std::fmt;
use std::ops::Range;

/// Maximum number of mistakes that are kept and shown; the rest are counted.
pub const SHOWN: usize = 100;

/// A mistake and its span.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Finding {
    at: Range<usize>,
    what: String,
    expected: String,
}

/// The mistakes so far.
#[derive(Debug, Default)]
pub(super) struct Findings {
    found: Vec<Finding>,
    over: usize,
}

impl Findings {
    /// Records a mistake in that span.
    pub fn add(&mut self, at: Range<usize>, what: impl Into<String>, expected: impl Into<String>) {
        if self.found.len() >= SHOWN {
            self.over += 1;
            return;
        }
        self.found.push(Finding { at, what: what.into(), expected: expected.into() });
    }

    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// The report, in the order of the file's lines.
    pub fn report(mut self, file: &str, text: &str) -> Mistakes {
        self.found.sort_by_key(|f| f.at.start);
        let total = self.found.len() + self.over;
        let mistakes = self.found.iter().map(|f| mistake(file, text, f)).collect();
        Mistakes { file: visible(file), mistakes, total }
    }
}

/// A mistake as it is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub what: String,
    /// What was expected.
    pub expected: String,
    block: String,
}

/// All mistakes in a file, at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistakes {
    file: String,
    mistakes: Vec<Mistake>,
    total: usize,
}

impl Mistakes {
    /// The mistakes that are shown, in the order of the lines; at most [`SHOWN`].
    pub fn shown(&self) -> &[Mistake] {
        &self.mistakes
    }

    /// Their number, including those that are not shown.
    pub fn total(&self) -> usize {
        self.total
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for mistake in &self.mistakes {
            writeln!(f, "{}\n", mistake.block)?;
        }
        let noun = if self.total == 1 { "mistake" } else { "mistakes" };
        write!(f, "{}: {} {noun}", self.file, self.total)
    }
}

impl std::error::Error for Mistakes {}

/// The text without control characters, which a terminal would interpret.
fn visible(text: &str) -> String {
    text.chars().map(|c| if c.is_control() && c != '\n' && c != '\t' { '\u{fffd}' } else { c }).collect()
}

fn mistake(file: &str, text: &str, finding: &Finding) -> Mistake {
    let boundary =
        |at: usize| (0..=at.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    let (start, end) = (boundary(finding.at.start), boundary(finding.at.end));
    let before = &text[..start];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    // Only the first line of the span: a table's whole text would hide the message.
    let end = text[start..end.max(start)].find('\n').map_or(end, |length| start + length);
    let files = SimpleFile::new(file, text);
    let label = Label::primary((), start..end.max(start)).with_message(&finding.expected);
    let diagnostic = Diagnostic::error().with_message(&finding.what).with_labels(vec![label]);
    let config = term::Config { chars: term::Chars::ascii(), ..term::Config::default() };
    let mut block = String::new();
    if term::emit_to_string(&mut block, &config, &files, &diagnostic).is_err() {
        block = format!("error: {}\n  --> {file}:{line}:{column}: {}", finding.what, finding.expected);
    }
    let lines: Vec<&str> = block.trim_end().lines().map(str::trim_end).collect();
    let block = visible(&lines.join("\n"));
    Mistake { line, column, what: finding.what.clone(), expected: finding.expected.clone(), block }
}
