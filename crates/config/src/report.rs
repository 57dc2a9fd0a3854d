//! All that is wrong with a file, in the order of its lines, each with the line itself and what was expected.

use crate::diagnostic::Diagnostic;
use crate::source::{harmless, Extract, Source};
use codespan_reporting::diagnostic::{Diagnostic as Rendered, Label};
use codespan_reporting::term;
use std::fmt;
use std::ops::Range;

/// So many problems are shown; of the rest only the count.
pub const SHOWN: usize = 200;

/// Something wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1; 0: the file as a whole.
    pub line: usize,
    /// The column in characters, from 1; 0: the file as a whole.
    pub column: usize,
    /// What is wrong.
    pub what: String,
    /// What was expected.
    pub expected: String,
    /// All of it as it is printed, with the line itself.
    pub block: String,
}

/// All that is wrong with a file: at least one thing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    file: String,
    problems: Vec<Problem>,
    total: usize,
}

impl Report {
    /// Sorts the diagnostics by line and renders them; `dropped` more are only counted.
    pub(crate) fn new(
        file: &str, source: &Source<'_>, mut diagnostics: Vec<Diagnostic>, dropped: usize,
    ) -> Report {
        diagnostics.sort_by_key(|diagnostic| diagnostic.span.as_ref().map(|span| span.start));
        let file = harmless(file);
        let total = diagnostics.len() + dropped;
        let shown = diagnostics.into_iter().take(SHOWN);
        let problems = shown.map(|f| problem(&file, source, f)).collect();
        Report { file, problems, total }
    }

    /// The file's name.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The problems that are shown, in the order of their lines.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// How many there are, with those not shown.
    pub fn total(&self) -> usize {
        self.total
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(f, "{}\n", problem.block)?;
        }
        let more = self.total - self.problems.len();
        if more > 0 {
            writeln!(f, "... and {more} more that are not shown\n")?;
        }
        let noun = if self.total == 1 { "problem" } else { "problems" };
        write!(f, "{}: {} {noun}", self.file, self.total)
    }
}

impl std::error::Error for Report {}

fn problem(file: &str, source: &Source<'_>, diagnostic: Diagnostic) -> Problem {
    let what = harmless(&diagnostic.message);
    let expected = harmless(&diagnostic.expected);
    let (line, column) = diagnostic.span.as_ref().map_or((0, 0), |span| source.position(span.start));
    let block = render(file, source, &diagnostic, &what, &expected);
    Problem { line, column, what, expected, block }
}

/// The diagnostic as it is printed, without blanks at the ends of lines.
fn render(file: &str, source: &Source<'_>, diagnostic: &Diagnostic, what: &str, expected: &str) -> String {
    let mut rendered = Rendered::error().with_message(what);
    let mut extract = Extract::new(file);
    match &diagnostic.span {
        Some(span) => add_labels(&mut rendered, &mut extract, source, span, diagnostic, expected),
        None => rendered.notes.push(format!("in {file}: {expected}")),
    }
    rendered.notes.extend(diagnostic.help.as_deref().map(harmless));
    let mut text = String::new();
    let config = term::Config { chars: term::Chars::ascii(), ..term::Config::default() };
    // It fails only where a place lies outside the extract; the message itself is never lost.
    if term::emit_to_string(&mut text, &config, &extract, &rendered).is_err() {
        let (line, column) = diagnostic.span.as_ref().map_or((0, 0), |span| source.position(span.start));
        text = format!("error: {what}\n  --> {file}:{line}:{column}\n  = {expected}");
    }
    let lines: Vec<&str> = text.trim_end().lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// Labels the place itself and those related to it; what the extract has cut away becomes a note.
fn add_labels(
    rendered: &mut Rendered<()>, extract: &mut Extract<'_>, source: &Source<'_>, span: &Range<usize>,
    diagnostic: &Diagnostic, expected: &str,
) {
    let mut spans = vec![span.clone()];
    spans.extend(diagnostic.related.iter().map(|related| related.span.clone()));
    let shown = extract.show(source, &spans);
    for (number, place) in shown.into_iter().enumerate() {
        let related = number.checked_sub(1).and_then(|number| diagnostic.related.get(number));
        match (place, related) {
            (Some(place), None) => {
                rendered.labels.push(Label::primary((), place).with_message(expected));
            }
            (Some(place), Some(related)) => {
                let label = Label::secondary((), place).with_message(harmless(&related.label));
                rendered.labels.push(label);
            }
            (None, Some(related)) => {
                let (line, column) = source.position(related.span.start);
                rendered.notes.push(format!("{} at {line}:{column}", harmless(&related.label)));
            }
            (None, None) => rendered.notes.push(expected.into()),
        }
    }
}
