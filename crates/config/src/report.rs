//! The report of all problems in a file, sorted by position. Each problem shows its source line and the expected input.

use crate::diagnostic::Diagnostic;
use crate::source::{sanitize, Extract, Source};
use codespan_reporting::diagnostic::{Diagnostic as Rendered, Label};
use codespan_reporting::term;
use std::fmt;
use std::ops::Range;

/// Maximum number of problems that a report shows; further ones are only counted.
pub const MAX_SHOWN_PROBLEMS: usize = 200;

/// One problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number from 1; 0 if the problem concerns the whole file.
    pub line: usize,
    /// Column in characters from 1; 0 if the problem concerns the whole file.
    pub column: usize,
    /// Description of the problem.
    pub summary: String,
    /// Description of the expected input.
    pub expected: String,
    /// The problem as it is printed, with its source line.
    pub block: String,
}

/// All problems in a file; at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    file: String,
    problems: Vec<Problem>,
    total: usize,
}

impl Report {
    /// Sorts the diagnostics by position and renders them. `dropped` is the number of further ones, which are only counted.
    pub(crate) fn new(
        file: &str, source: &Source<'_>, mut diagnostics: Vec<Diagnostic>, dropped: usize,
    ) -> Report {
        diagnostics.sort_by_key(|diagnostic| diagnostic.span.as_ref().map(|span| span.start));
        let file = sanitize(file);
        let total = diagnostics.len() + dropped;
        let shown = diagnostics.into_iter().take(MAX_SHOWN_PROBLEMS);
        let problems = shown.map(|f| problem(&file, source, f)).collect();
        Report { file, problems, total }
    }

    /// Returns the file's name.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the shown problems, sorted by position.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns the number of all problems, including those that are not shown.
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
    let summary = sanitize(&diagnostic.message);
    let expected = sanitize(&diagnostic.expected);
    let (line, column) = diagnostic.span.as_ref().map_or((0, 0), |span| source.position(span.start));
    let block = render(file, source, &diagnostic, &summary, &expected);
    Problem { line, column, summary, expected, block }
}

/// Renders the diagnostic for printing, without trailing spaces.
fn render(file: &str, source: &Source<'_>, diagnostic: &Diagnostic, summary: &str, expected: &str) -> String {
    let mut rendered = Rendered::error().with_message(summary);
    let mut extract = Extract::new(file);
    match &diagnostic.span {
        Some(span) => add_labels(&mut rendered, &mut extract, source, span, diagnostic, expected),
        None => rendered.notes.push(format!("in {file}: {expected}")),
    }
    rendered.notes.extend(diagnostic.help.as_deref().map(sanitize));
    let mut text = String::new();
    let config = term::Config { chars: term::Chars::ascii(), ..term::Config::default() };
    // Rendering fails only for a label outside the extract; the message is printed in any case.
    if term::emit_to_string(&mut text, &config, &extract, &rendered).is_err() {
        let (line, column) = diagnostic.span.as_ref().map_or((0, 0), |span| source.position(span.start));
        text = format!("error: {summary}\n  --> {file}:{line}:{column}\n  = {expected}");
    }
    let lines: Vec<&str> = text.trim_end().lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// Labels the diagnostic's span and the related spans; a span that the extract leaves out becomes a note.
fn add_labels(
    rendered: &mut Rendered<()>, extract: &mut Extract<'_>, source: &Source<'_>, span: &Range<usize>,
    diagnostic: &Diagnostic, expected: &str,
) {
    let mut spans = vec![span.clone()];
    spans.extend(diagnostic.related.iter().map(|related| related.span.clone()));
    let shown = extract.show(source, &spans);
    for (number, label_span) in shown.into_iter().enumerate() {
        let related = number.checked_sub(1).and_then(|number| diagnostic.related.get(number));
        match (label_span, related) {
            (Some(label_span), None) => {
                rendered.labels.push(Label::primary((), label_span).with_message(expected));
            }
            (Some(label_span), Some(related)) => {
                let label = Label::secondary((), label_span).with_message(sanitize(&related.label));
                rendered.labels.push(label);
            }
            (None, Some(related)) => {
                let (line, column) = source.position(related.span.start);
                rendered.notes.push(format!("{} at {line}:{column}", sanitize(&related.label)));
            }
            (None, None) => rendered.notes.push(expected.into()),
        }
    }
}
