//! How far the head of an HTTP/1 message has got, byte by byte and without parsing it.

use std::cell::Cell;

/// The progress of a head. It ends where hyper lets it end: at the first empty line, whether lines end in CRLF or in a
/// bare LF. Empty lines before it are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Head {
    /// No byte of it has come.
    NotBegun,
    /// Within a line that is not empty.
    InLine,
    /// Such a line has just ended.
    LineEnded,
    /// A CR came after the end of such a line.
    LineEndedCr,
    /// It has ended; what follows is the body.
    Complete,
}

impl Head {
    /// The progress after one more byte.
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

/// Takes bytes of a message whose head has got as far as `head` says. Returns how many of them lie behind the head.
pub(super) fn count_behind_head(head: &Cell<Head>, bytes: &[u8]) -> usize {
    for (at, byte) in bytes.iter().enumerate() {
        if head.get() == Head::Complete {
            return bytes.len() - at;
        }
        head.set(head.get().then(*byte));
    }
    0
}

/// How the status line of a response of status 1xx begins; `?` stands for any digit. No request line begins so: a method
/// has no slash.
const INTERIM_LINE: &[u8; 10] = b"HTTP/1.? 1";

/// How many bytes of a head's first line match [`INTERIM_LINE`]; `None` after one that does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InterimLine(Option<u8>);

impl Default for InterimLine {
    fn default() -> InterimLine {
        InterimLine(Some(0))
    }
}

impl InterimLine {
    /// The match after one more byte of the line.
    pub fn then(self, byte: u8) -> InterimLine {
        let Some(matched) = self.0 else { return self };
        let is_match = match INTERIM_LINE.get(usize::from(matched)) {
            None => return self, // it has matched; what follows does not matter
            Some(b'?') => byte.is_ascii_digit(),
            Some(expected) => byte == *expected,
        };
        InterimLine(is_match.then_some(matched + 1))
    }

    /// Whether the line is that of a response of status 1xx.
    pub fn is_interim(self) -> bool {
        self.0 == Some(INTERIM_LINE.len() as u8)
    }
}
