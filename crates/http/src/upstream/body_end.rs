//! Where the body of a backend's response ends.

use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;

/// What marks the end of a response's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// There is no body, whatever the headers say.
    Bodiless,
    /// Its length, or its last chunk.
    Framing,
    /// The orderly end of the connection. A reset is an error and completes nothing.
    Connection,
}

impl BodyEnd {
    /// Returns what ends the response with this head. Returns `None` if its headers contradict each other, or if its body has a
    /// coding that cannot be removed.
    pub(super) fn of(head: &Parts, is_head_request: bool) -> Option<BodyEnd> {
        if is_head_request || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Some(BodyEnd::Bodiless);
        }
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        match (has_length, codings.next(), codings.next()) {
            (true, None, None) => Some(BodyEnd::Framing),
            (false, Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Some(BodyEnd::Framing)
            }
            (false, None, None) => Some(BodyEnd::Connection),
            _ => None,
        }
    }
}
