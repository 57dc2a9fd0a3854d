//! Collects all diagnostics of one file instead of stopping at the first. Tracks which parts of the text are unreadable
//! because of syntax errors, so that mere consequences of a syntax error are not reported.

use crate::diagnostic::Diagnostic;
use crate::report::Report;
use crate::source::Source;
use std::collections::HashMap;
use std::hash::Hash;
use std::ops::Range;

/// Name comparisons for all suggestions of a file together. Bounds the time spent on suggestions.
const MAX_COMPARISONS: usize = 200_000;
/// Diagnostics that are kept per file; further ones are only counted.
const MAX_DIAGNOSTICS: usize = 10_000;

/// The parts of the file that syntax errors make unreadable.
#[derive(Debug, Default)]
pub(crate) struct SyntaxDamage {
    /// Byte offsets of the syntax errors.
    pub error_offsets: Vec<usize>,
    /// Byte ranges whose content is unknown because a syntax error truncated or moved it.
    pub unreadable: Vec<Range<usize>>,
    /// Names of sections that a syntax error may hide.
    pub missing_sections: Vec<&'static str>,
    /// Whether a syntax error may hide a section of any name.
    pub any_section_missing: bool,
    /// Byte offsets of the section headers, in ascending order.
    pub header_offsets: Vec<usize>,
}

impl SyntaxDamage {
    /// Returns whether a syntax error may hide a section of that name.
    pub fn may_hide_section(&self, name: &str) -> bool {
        self.any_section_missing || self.missing_sections.contains(&name)
    }

    /// Returns whether the byte at `offset` is in unreadable text.
    pub fn is_unreadable(&self, offset: usize) -> bool {
        self.unreadable.iter().any(|range| range.contains(&offset))
    }
}

/// The diagnostics collected so far.
#[derive(Debug)]
pub(crate) struct Diagnostics<'t> {
    pub source: &'t Source<'t>,
    pub damage: SyntaxDamage,
    entries: Vec<Diagnostic>,
    /// Number of diagnostics beyond [`MAX_DIAGNOSTICS`], which were only counted.
    dropped: usize,
    comparisons_left: usize,
}

impl<'t> Diagnostics<'t> {
    /// Creates an empty collection for a source.
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

    /// Adds a diagnostic even if it lies in unreadable text.
    pub fn push_syntax_error(&mut self, diagnostic: Diagnostic) {
        if self.entries.len() < MAX_DIAGNOSTICS {
            self.entries.push(diagnostic);
        } else {
            self.dropped += 1;
        }
    }

    /// Adds a diagnostic about a key missing from `table`, unless a syntax error in the table may hide the key.
    pub fn push_missing(&mut self, table: &Range<usize>, diagnostic: Diagnostic) {
        if !self.has_syntax_error_in(table) {
            self.push(diagnostic);
        }
    }

    /// Returns whether a syntax error lies in the table.
    pub fn has_syntax_error_in(&self, table: &Range<usize>) -> bool {
        let headers = &self.damage.header_offsets;
        // The span of an inline table covers its content; that of a section covers only its header.
        let is_inline = headers.binary_search(&table.start).is_err();
        let end = if is_inline {
            table.end
        } else {
            let next = headers.partition_point(|header| *header <= table.start);
            headers.get(next).copied().unwrap_or(usize::MAX)
        };
        self.damage.error_offsets.iter().any(|error| (table.start..end).contains(error))
    }

    /// Returns whether there are no diagnostics.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the known name that is most similar to `name`, if one is similar enough.
    pub fn suggest<'n>(&mut self, name: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
        let length = name.chars().count();
        // Up to a third of the characters may differ, but at least two, or one in names of fewer than four.
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

    /// Adds a diagnostic for each repeated item and refers to its first occurrence.
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

    /// Turns the diagnostics into the result for the file.
    ///
    /// # Errors
    /// Returns the report of all diagnostics if there are any.
    pub fn into_report(self, file: &str) -> Result<(), Report> {
        if self.entries.is_empty() {
            return Ok(());
        }
        Err(Report::new(file, self.source, self.entries, self.dropped))
    }
}

/// Maximum number of characters of the file's text that a message quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Quotes a text from the file for a message; truncates it after [`MAX_QUOTED_CHARS`].
pub(crate) fn quoted(text: &str) -> String {
    let mut shown: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    format!("`{shown}`")
}
