//! The text of a file by lines and columns, and the few lines of it that a message shows: made harmless for
//! terminals, and cut around the place where a line is long.

use codespan_reporting::files::{Error, Files};
use std::ops::Range;

/// A line longer than this many characters is cut.
const LINE: usize = 160;
/// So many characters stand before the place in a line that is cut.
const LEAD: usize = 60;

/// A text and where its lines begin.
#[derive(Debug)]
pub struct Source<'t> {
    /// The text.
    pub text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Source<'t> {
    /// Finds the lines. Their ends are `\n` or `\r\n`.
    pub fn new(text: &'t str) -> Source<'t> {
        let after = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at + 1);
        Source { text, starts: std::iter::once(0).chain(after).collect() }
    }

    /// The index of the line in which that byte stands.
    pub fn line(&self, at: usize) -> usize {
        self.starts.partition_point(|start| *start <= at).saturating_sub(1)
    }

    /// How many lines there are.
    pub fn lines(&self) -> usize {
        self.starts.len()
    }

    /// Where a line begins and ends, without its end mark.
    pub fn line_range(&self, line: usize) -> Range<usize> {
        let start = self.starts.get(line).copied().unwrap_or(self.text.len());
        let end = self.starts.get(line + 1).copied().unwrap_or(self.text.len());
        let whole = self.text.get(start..end).unwrap_or("");
        let bare = whole.strip_suffix('\n').unwrap_or(whole);
        start..start + bare.strip_suffix('\r').unwrap_or(bare).len()
    }

    /// The text of a line.
    pub fn line_text(&self, line: usize) -> &'t str {
        self.text.get(self.line_range(line)).unwrap_or("")
    }

    /// The line and the column of a byte, both from 1; columns count characters.
    pub fn position(&self, at: usize) -> (usize, usize) {
        let line = self.line(at);
        let at = self.boundary(at);
        let before = self.text.get(self.line_range(line).start..at).unwrap_or("");
        (line + 1, before.chars().count() + 1)
    }

    /// The part of a span that lies in its first line.
    pub fn first_line(&self, span: &Range<usize>) -> Range<usize> {
        let line = self.line_range(self.line(span.start));
        let start = self.boundary(span.start).min(line.end);
        start..self.boundary(span.end).clamp(start, line.end)
    }

    /// That place, or the beginning of the character in which it lies.
    fn boundary(&self, at: usize) -> usize {
        (0..=at.min(self.text.len())).rev().find(|at| self.text.is_char_boundary(*at)).unwrap_or(0)
    }
}

/// The character that stands for `c` on a terminal: control characters and those that hide or turn round what
/// follows get a visible one. Tabs stay.
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

/// A text made harmless for terminals; tabs too.
pub fn harmless(text: &str) -> String {
    text.chars().map(|c| if c == '\t' { ' ' } else { visible(c) }).collect()
}

/// What a message shows of one line.
#[derive(Debug)]
struct Piece {
    line: usize,
    /// Where it lies in the extract's text.
    at: Range<usize>,
    /// The column of its first character, from 1, and whether a mark of omission stands before it.
    column: usize,
    cut: bool,
}

/// The lines of a file that one message shows, under their own numbers.
#[derive(Debug)]
pub struct Extract<'n> {
    name: &'n str,
    text: String,
    pieces: Vec<Piece>,
}

impl<'n> Extract<'n> {
    /// An extract without lines.
    pub fn new(name: &'n str) -> Extract<'n> {
        Extract { name, text: String::new(), pieces: Vec::new() }
    }

    /// Adds the lines of these places, and any line that alone lies between two. Gives each place inside the
    /// extract, in the order asked; none for one that fell to a cut.
    pub fn show(&mut self, source: &Source<'_>, places: &[Range<usize>]) -> Vec<Option<Range<usize>>> {
        let mut lines: Vec<(usize, usize)> = places.iter().map(|p| (source.line(p.start), p.start)).collect();
        let alone: Vec<usize> =
            lines.iter().map(|l| l.0 + 1).filter(|n| lines.iter().any(|l| l.0 == n + 1)).collect();
        lines.extend(alone.into_iter().map(|n| (n, source.line_range(n).start)));
        lines.sort_by_key(|l| l.0);
        lines.dedup_by_key(|l| l.0);
        // The first place asked for decides how its line is cut.
        for (line, start) in lines {
            let first = places.iter().find(|p| source.line(p.start) == line).map_or(start, |p| p.start);
            self.add(source, line, first);
        }
        places.iter().map(|p| self.place(source, &source.first_line(p))).collect()
    }

    fn add(&mut self, source: &Source<'_>, line: usize, around: usize) {
        let range = source.line_range(line);
        let text = source.line_text(line);
        let column = source.position(around).1;
        let long = text.chars().nth(LINE).is_some();
        let skip = if long { column.saturating_sub(LEAD + 1) } else { 0 };
        let shown = text.chars().skip(skip).take(LINE);
        let start = self.text.len();
        if skip > 0 {
            self.text.push('…');
        }
        self.text.extend(shown.map(visible));
        if long && text.chars().nth(skip + LINE).is_some() {
            self.text.push('…');
        }
        let at = start..self.text.len();
        self.text.push('\n');
        debug_assert!(range.start <= around);
        self.pieces.push(Piece { line, at, column: skip + 1, cut: skip > 0 });
    }

    fn place(&self, source: &Source<'_>, span: &Range<usize>) -> Option<Range<usize>> {
        let piece = self.piece(source.line(span.start))?;
        let begin = source.position(span.start).1.checked_sub(piece.column)? + usize::from(piece.cut);
        let chars = source.text.get(span.clone()).map_or(0, |t| t.chars().count());
        let shown = self.text.get(piece.at.clone())?;
        let bytes = |n: usize| shown.char_indices().nth(n).map_or(shown.len(), |(at, _)| at);
        let start = bytes(begin);
        // Behind the end of the line is a place too.
        (begin <= shown.chars().count())
            .then(|| piece.at.start + start..piece.at.start + bytes(begin + chars))
    }

    fn piece(&self, line: usize) -> Option<&Piece> {
        self.pieces.iter().find(|p| p.line == line)
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
        let piece = self.pieces.iter().find(|p| at <= p.at.end);
        piece.map(|p| p.line).ok_or(Error::IndexTooLarge { given: at, max: self.text.len() })
    }

    fn line_range(&'a self, (): (), line: usize) -> Result<Range<usize>, Error> {
        let piece = self.piece(line);
        piece.map(|p| p.at.clone()).ok_or(Error::LineTooLarge { given: line, max: self.pieces.len() })
    }

    fn column_number(&'a self, (): (), line: usize, at: usize) -> Result<usize, Error> {
        let piece = self.piece(line).ok_or(Error::LineTooLarge { given: line, max: self.pieces.len() })?;
        let before = self.text.get(piece.at.start..at).map_or(0, |t| t.chars().count());
        Ok(piece.column + before - usize::from(piece.cut && before > 0))
    }
}

#[cfg(test)]
mod tests;
