//! Detects paths that backends may interpret differently.

use std::borrow::Cow;

/// Returns whether every backend finds the same first segment in the path, whether or not it normalizes or decodes paths.
/// Such a path has no `.` or `..` segment, no backslash and no leading `//`, in its original form and decoded once or twice.
/// It is not decoded more often: no backend does that, and a client could choose the number of rounds.
pub(super) fn is_unambiguous(path: &str) -> bool {
    let once = percent_decoded(path.as_bytes());
    let twice = percent_decoded(&once);
    !is_ambiguous(path.as_bytes()) && !is_ambiguous(&once) && !is_ambiguous(&twice)
}

fn is_ambiguous(path: &[u8]) -> bool {
    // Some backends treat the text after a semicolon as a parameter and not as a part of the segment's name.
    let is_dot_segment =
        |segment: &[u8]| matches!(segment.split(|byte| *byte == b';').next(), Some(b"." | b".."));
    path.starts_with(b"//") || path.contains(&b'\\') || path.split(|byte| *byte == b'/').any(is_dot_segment)
}

/// Replaces each `%` with two hexadecimal digits by the byte that it encodes.
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
