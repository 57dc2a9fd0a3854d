//! Paths that every backend reads alike.

use std::borrow::Cow;

/// Whether every backend finds the same first segment in the path, be it that it normalizes or decodes paths or not: the
/// path has no `.` or `..` segment, no backslash and no leading `//`, neither as it stands nor decoded once or twice. It is
/// not decoded more often: no backend does that, and a client could have it done without end.
pub(super) fn is_plain(path: &str) -> bool {
    let once = percent_decoded(path.as_bytes());
    let twice = percent_decoded(&once);
    !leads_elsewhere(path.as_bytes()) && !leads_elsewhere(&once) && !leads_elsewhere(&twice)
}

fn leads_elsewhere(path: &[u8]) -> bool {
    // What follows a semicolon is a parameter to some, and no part of the name.
    let is_dot_segment =
        |segment: &[u8]| matches!(segment.split(|byte| *byte == b';').next(), Some(b"." | b".."));
    path.starts_with(b"//") || path.contains(&b'\\') || path.split(|byte| *byte == b'/').any(is_dot_segment)
}

/// The path with each `%` and two hexadecimal digits replaced by the byte that they stand for.
pub(super) fn percent_decoded(path: &[u8]) -> Cow<'_, [u8]> {
    if !path.contains(&b'%') {
        return path.into();
    }
    let digit = |at: usize| path.get(at).and_then(|byte| char::from(*byte).to_digit(16));
    let mut decoded = Vec::with_capacity(path.len());
    let mut at = 0;
    while let Some(byte) = path.get(at) {
        match (byte, digit(at + 1), digit(at + 2)) {
            (b'%', Some(high), Some(low)) => {
                decoded.push((high * 16 + low) as u8);
                at += 3;
            }
            _ => {
                decoded.push(*byte);
                at += 1;
            }
        }
    }
    decoded.into()
}
