//! The diagnostics of one file, collected instead of stopping at the first. Knows which parts of the text syntax errors
//! have made unreadable, so that nothing is reported that only follows from them.

use crate::diagnostic::Diagnostic;
use crate::report::Report;
use crate::source::Source;
use std::collections::HashMap;
use std::hash::Hash;
use std::ops::Range;

/// Names compared for all suggestions of a file together; each comparison costs time.
const MAX_COMPARISONS: usize = 200_000;
/// Diagnostics that are kept; further ones are only counted.
const MAX_DIAGNOSTICS: usize = 10_000;

/// What the syntax errors have made unreadable.
#[derive(Debug, Default)]
pub(crate) struct SyntaxDamage {
    /// Where the syntax errors are, in bytes.
    pub error_offsets: Vec<usize>,
    /// Parts of the text that say nothing: a syntax error has cut or moved them.
    pub unreadable: Vec<Range<usize>>,
    /// Sections of these names may be missing ...
    pub missing_sections: Vec<&'static str>,
    /// ... or of any name.
    pub any_section_missing: bool,
    /// Where section headers begin, ascending.
    pub header_offsets: Vec<usize>,
}

impl SyntaxDamage {
    /// Whether sections of that name may be missing.
    pub fn may_hide_section(&self, name: &str) -> bool {
        self.any_section_missing || self.missing_sections.contains(&name)
    }

    /// Whether what lies there says nothing.
    pub fn is_unreadable(&self, offset: usize) -> bool {
        self.unreadable.iter().any(|range| range.contains(&offset))
    }
}

/// The diagnostics so far.
#[derive(Debug)]
pub(crate) struct Diagnostics<'t> {
    pub source: &'t Source<'t>,
    pub damage: SyntaxDamage,
    entries: Vec<Diagnostic>,
    /// Further ones, which were only counted.
    dropped: usize,
    comparisons_left: usize,
}

impl<'t> Diagnostics<'t> {
    /// None yet.
    pub fn new(source: &'t Source<'t>) -> Diagnostics<'t> {
        Diagnostics {
            source,
            damage: SyntaxDamage::default(),
            entries: Vec::new(),
            dropped: 0,
            comparisons_left: MAX_COMPARISONS,
        }
    }

    /// Adds a diagnostic, unless it lies in unreadable text.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        let unreadable = diagnostic.span.as_ref().is_some_and(|span| self.damage.is_unreadable(span.start));
        if !unreadable {
            self.push_syntax_error(diagnostic);
        }
    }

    /// Adds a diagnostic wherever it lies.
    pub fn push_syntax_error(&mut self, diagnostic: Diagnostic) {
        if self.entries.len() < MAX_DIAGNOSTICS {
            self.entries.push(diagnostic);
        } else {
            self.dropped += 1;
        }
    }

    /// Adds that something is missing from a table, unless a syntax error in the table may have hidden it.
    pub fn push_missing(&mut self, table: &Range<usize>, diagnostic: Diagnostic) {
        if !self.has_syntax_error_in(table) {
            self.push(diagnostic);
        }
    }

    /// Whether a syntax error lies in this table.
    pub fn has_syntax_error_in(&self, table: &Range<usize>) -> bool {
        let headers = &self.damage.header_offsets;
        // An inline table ends before the next header; that of a section begins as its header does.
        let is_inline = headers.binary_search(&table.start).is_err();
        let end = if is_inline {
            table.end
        } else {
            let next = headers.partition_point(|header| *header <= table.start);
            headers.get(next).copied().unwrap_or(usize::MAX)
        };
        self.damage.error_offsets.iter().any(|error| (table.start..end).contains(error))
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The known name that `name` was most likely meant to be.
    pub fn suggest<'n>(&mut self, name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
        let length = name.chars().count();
        // A third of the letters may be wrong; two in short names, and one in the shortest.
        let max_distance = (length / 3).max(if length < 4 { 1 } else { 2 });
        let mut best: Option<(usize, &str)> = None;
        for candidate in known {
            if candidate.chars().count().abs_diff(length) > max_distance || candidate == name {
                continue;
            }
            let Some(left) = self.comparisons_left.checked_sub(1) else { break };
            self.comparisons_left = left;
            let distance = strsim::osa_distance(&name.to_lowercase(), &candidate.to_lowercase());
            if distance <= max_distance && best.is_none_or(|(least, _)| distance < least) {
                best = Some((distance, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Adds a diagnostic for each item that occurred before, with its first occurrence.
    pub fn push_duplicates<K: Hash + Eq>(
        &mut self, items: impl IntoIterator<Item = (K, Range<usize>)>, message: impl Fn(&K) -> String,
        expected: &str,
    ) {
        let mut first_spans: HashMap<K, Range<usize>> = HashMap::new();
        for (item, span) in items {
            match first_spans.get(&item) {
                Some(first) => {
                    let duplicate = Diagnostic::at(span, message(&item), expected);
                    self.push(duplicate.with_related(first.clone(), "first here"));
                }
                None => {
                    first_spans.insert(item, span);
                }
            }
        }
    }

    /// The report on that file.
    ///
    /// # Errors
    /// All diagnostics, if there are any.
    pub fn into_report(self, file: &str) -> Result<(), Report> {
        if self.entries.is_empty() {
            return Ok(());
        }
        Err(Report::new(file, self.source, self.entries, self.dropped))
    }
}

/// Characters of a text from the file that a message quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// A text from the file as messages quote it.
pub(crate) fn quoted(text: &str) -> String {
    let mut shown: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    format!("`{shown}`")
}
