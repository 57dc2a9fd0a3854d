//! Maps byte offsets of a file to lines and columns, and extracts the lines that a message shows. Extracted lines are
//! sanitized for terminals; long lines are truncated around the span of interest.

use codespan_reporting::files::{Error, Files};
use std::ops::Range;

/// Maximum number of characters shown of a line; longer lines are truncated.
const MAX_LINE_CHARS: usize = 160;
/// Number of characters shown before the span in a truncated line.
const LEADING_CHARS: usize = 60;

/// A text with the byte offsets of its lines.
#[derive(Debug)]
pub struct Source<'t> {
    /// The text of the file.
    pub text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Source<'t> {
    /// Finds the lines of `text`, which end with `\n` or `\r\n`.
    pub fn new(text: &'t str) -> Source<'t> {
        let after = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1);
        Source { text, starts: std::iter::once(0).chain(after).collect() }
    }

    /// Returns the index, from 0, of the line that contains the byte.
    pub fn line(&self, at: usize) -> usize {
        self.starts.partition_point(|start| *start <= at).saturating_sub(1)
    }

    /// Returns the number of lines.
    pub fn lines(&self) -> usize {
        self.starts.len()
    }

    /// Returns the byte range of a line without its line ending.
    pub fn line_range(&self, line: usize) -> Range<usize> {
        let start = self.starts.get(line).copied().unwrap_or(self.text.len());
        let end = self.starts.get(line + 1).copied().unwrap_or(self.text.len());
        let with_line_ending = self.text.get(start..end).unwrap_or("");
        let without_newline = with_line_ending.strip_suffix('\n').unwrap_or(with_line_ending);
        start..start + without_newline.strip_suffix('\r').unwrap_or(without_newline).len()
    }

    /// Returns the text of a line without its line ending.
    pub fn line_text(&self, line: usize) -> &'t str {
        self.text.get(self.line_range(line)).unwrap_or("")
    }

    /// Returns the line and column of a byte, both from 1; columns count characters.
    pub fn position(&self, at: usize) -> (usize, usize) {
        let line = self.line(at);
        let at = self.boundary(at);
        let before = self.text.get(self.line_range(line).start..at).unwrap_or("");
        (line + 1, before.chars().count() + 1)
    }

    /// Returns the part of a span that lies in the span's first line.
    pub fn first_line(&self, span: &Range<usize>) -> Range<usize> {
        let line = self.line_range(self.line(span.start));
        let start = self.boundary(span.start).min(line.end);
        start..self.boundary(span.end).clamp(start, line.end)
    }

    /// Rounds an offset down to a character boundary.
    fn boundary(&self, at: usize) -> usize {
        (0..=at.min(self.text.len())).rev().find(|at| self.text.is_char_boundary(*at)).unwrap_or(0)
    }
}

/// Returns the character to print for `c`. Replaces control characters and characters that hide or reorder the text
/// after them by visible ones; keeps tabs.
pub fn visible(c: char) -> char {
    match c {
        '\t' => '\t',
        '\0'..='\u{1f}' => char::from_u32(0x2400 + c as u32).unwrap_or('\u{fffd}'),
        '\u{7f}' => '\u{2421}',
        '\u{80}'..='\u{9f}' | '\u{ad}' | '\u{61c}' | '\u{180e}' => '\u{fffd}',
        '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2060}'..='\u{206f}' => '\u{fffd}',
        '\u{feff}' | '\u{fff9}'..='\u{fffb}' | '\u{e0000}'..='\u{e0fff}' => '\u{fffd}',
        c => c,
    }
}

/// Replaces characters that are unsafe to print on a terminal; tabs become spaces.
pub fn sanitize(text: &str) -> String {
    text.chars().map(|c| if c == '\t' { ' ' } else { visible(c) }).collect()
}

/// The part of one line that a message shows.
#[derive(Debug)]
struct ExtractLine {
    line: usize,
    /// Byte range in the extract's text.
    at: Range<usize>,
    /// Column of the first shown character, from 1. `has_ellipsis` is set if the text before it was left out.
    column: usize,
    has_ellipsis: bool,
}

/// The lines of a file that one message shows, with their original line numbers.
#[derive(Debug)]
pub struct Extract<'n> {
    name: &'n str,
    text: String,
    shown_lines: Vec<ExtractLine>,
}

impl<'n> Extract<'n> {
    /// Creates an extract without lines.
    pub fn new(name: &'n str) -> Extract<'n> {
        Extract { name, text: String::new(), shown_lines: Vec::new() }
    }

    /// Adds the lines of the requested spans, and each single line between two of them. Returns the position of each
    /// span in the extract, in the order of the request; `None` for a span outside the shown part of its line.
    pub fn show(
        &mut self, source: &Source<'_>, requested_spans: &[Range<usize>],
    ) -> Vec<Option<Range<usize>>> {
        let mut lines: Vec<(usize, usize)> =
            requested_spans.iter().map(|p| (source.line(p.start), p.start)).collect();
        let lines_between: Vec<usize> =
            lines.iter().map(|l| l.0 + 1).filter(|n| lines.iter().any(|l| l.0 == n + 1)).collect();
        lines.extend(lines_between.into_iter().map(|n| (n, source.line_range(n).start)));
        lines.sort_by_key(|l| l.0);
        lines.dedup_by_key(|l| l.0);
        // The first requested span of a line decides which part of a long line is shown.
        for (line, start) in lines {
            let first =
                requested_spans.iter().find(|p| source.line(p.start) == line).map_or(start, |p| p.start);
            self.add(source, line, first);
        }
        requested_spans.iter().map(|p| self.position_in_extract(source, &source.first_line(p))).collect()
    }

    fn add(&mut self, source: &Source<'_>, line: usize, around: usize) {
        let range = source.line_range(line);
        let text = source.line_text(line);
        let column = source.position(around).1;
        let is_long = text.chars().nth(MAX_LINE_CHARS).is_some();
        let skip = if is_long { column.saturating_sub(LEADING_CHARS + 1) } else { 0 };
        let shown = text.chars().skip(skip).take(MAX_LINE_CHARS);
        let start = self.text.len();
        if skip > 0 {
            self.text.push('…');
        }
        self.text.extend(shown.map(visible));
        if is_long && text.chars().nth(skip + MAX_LINE_CHARS).is_some() {
            self.text.push('…');
        }
        let at = start..self.text.len();
        self.text.push('\n');
        debug_assert!(range.start <= around);
        self.shown_lines.push(ExtractLine { line, at, column: skip + 1, has_ellipsis: skip > 0 });
    }

    fn position_in_extract(&self, source: &Source<'_>, span: &Range<usize>) -> Option<Range<usize>> {
        let shown_line = self.shown_line(source.line(span.start))?;
        let begin = source.position(span.start).1.checked_sub(shown_line.column)?
            + usize::from(shown_line.has_ellipsis);
        let chars = source.text.get(span.clone()).map_or(0, |t| t.chars().count());
        let shown = self.text.get(shown_line.at.clone())?;
        let bytes = |n: usize| shown.char_indices().nth(n).map_or(shown.len(), |(at, _)| at);
        let start = bytes(begin);
        // The position after the last character of the line is valid too.
        (begin <= shown.chars().count())
            .then(|| shown_line.at.start + start..shown_line.at.start + bytes(begin + chars))
    }

    fn shown_line(&self, line: usize) -> Option<&ExtractLine> {
        self.shown_lines.iter().find(|p| p.line == line)
    }
}

impl<'a> Files<'a> for Extract<'_> {
    type FileId = ();
    type Name = &'a str;
    type Source = &'a str;

    fn name(&'a self, (): ()) -> Result<&'a str, Error> {
        Ok(self.name)
    }

    fn source(&'a self, (): ()) -> Result<&'a str, Error> {
        Ok(&self.text)
    }

    fn line_index(&'a self, (): (), at: usize) -> Result<usize, Error> {
        let shown_line = self.shown_lines.iter().find(|p| at <= p.at.end);
        shown_line.map(|p| p.line).ok_or(Error::IndexTooLarge { given: at, max: self.text.len() })
    }

    fn line_range(&'a self, (): (), line: usize) -> Result<Range<usize>, Error> {
        let shown_line = self.shown_line(line);
        shown_line
            .map(|p| p.at.clone())
            .ok_or(Error::LineTooLarge { given: line, max: self.shown_lines.len() })
    }

    fn column_number(&'a self, (): (), line: usize, at: usize) -> Result<usize, Error> {
        let shown_line =
            self.shown_line(line).ok_or(Error::LineTooLarge { given: line, max: self.shown_lines.len() })?;
        let before = self.text.get(shown_line.at.start..at).map_or(0, |t| t.chars().count());
        Ok(shown_line.column + before - usize::from(shown_line.has_ellipsis && before > 0))
    }
}

#[cfg(test)]
mod tests;
