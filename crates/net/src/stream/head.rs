//! Finds the end of the head of an HTTP/1 message, byte by byte and without parsing the head.

use std::cell::Cell;

/// The progress of a head. The head ends where hyper ends it: at the first empty line, whether lines end in CRLF or in a
/// bare LF. Empty lines before the head are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Head {
    /// No byte of the head was seen.
    NotBegun,
    /// Within a line that is not empty.
    InLine,
    /// At the end of a line that was not empty.
    LineEnded,
    /// After the end of a line that was not empty and a CR.
    LineEndedCr,
    /// The head has ended; the body follows.
    Complete,
}

impl Head {
    /// Returns the progress after one more byte.
    pub fn then(self, byte: u8) -> Head {
        match (self, byte) {
            (Head::Complete, _) | (Head::LineEnded | Head::LineEndedCr, b'\n') => Head::Complete,
            (Head::NotBegun, b'\r' | b'\n') => Head::NotBegun,
            (Head::InLine, b'\n') => Head::LineEnded,
            (Head::LineEnded, b'\r') => Head::LineEndedCr,
            _ => Head::InLine,
        }
    }
}

/// Advances `head` by the next bytes of the message. Returns the number of these bytes that follow the head.
pub(super) fn count_after_head(head: &Cell<Head>, bytes: &[u8]) -> usize {
    for (at, byte) in bytes.iter().enumerate() {
        if head.get() == Head::Complete {
            return bytes.len() - at;
        }
        head.set(head.get().then(*byte));
    }
    0
}

/// The beginning of the status line of a response of status 1xx; `?` matches any digit. No request line matches, as a method
/// has no slash.
const INTERIM_LINE: &[u8; 10] = b"HTTP/1.? 1";

/// The number of bytes of a head's first line that match [`INTERIM_LINE`]; `None` after a mismatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InterimLine(Option<u8>);

impl Default for InterimLine {
    fn default() -> InterimLine {
        InterimLine(Some(0))
    }
}

impl InterimLine {
    /// Returns the match after one more byte of the line.
    pub fn then(self, byte: u8) -> InterimLine {
        let Some(matched) = self.0 else { return self };
        let is_match = match INTERIM_LINE.get(usize::from(matched)) {
            None => return self, // matched completely; the rest of the line does not matter
            Some(b'?') => byte.is_ascii_digit(),
            Some(expected) => byte == *expected,
        };
        InterimLine(is_match.then_some(matched + 1))
    }

    /// Whether the line is the status line of a response of status 1xx.
    pub fn is_interim(self) -> bool {
        self.0 == Some(INTERIM_LINE.len() as u8)
    }
}
