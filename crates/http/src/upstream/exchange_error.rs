//! The reasons why an attempt has no complete response.

use std::fmt;

/// The reason why there is no complete response. The request may have been executed nevertheless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The received bytes are not a valid response, or the response took too long.
    InvalidResponse(ResponseFault),
    /// The connection was closed or reset before the response was complete.
    Closed,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        if error.is_parse() {
            ExchangeError::InvalidResponse(ResponseFault::Malformed)
        } else {
            ExchangeError::Closed
        }
    }
}

/// The fault of an invalid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseFault {
    /// It is not valid HTTP.
    Malformed,
    /// It switches to a protocol that was not requested.
    UnrequestedUpgrade,
    /// Its head does not say where it ends, see [`super::body_end::BodyEnd`].
    AmbiguousLength,
    /// Its body is longer than the limit.
    TooLong,
    /// It was not complete in time after its first byte.
    Stalled,
    /// It began before the request was written, on a connection that was used before.
    MayAnswerPreviousRequest,
}

impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponseFault::Malformed => "not valid HTTP",
            ResponseFault::UnrequestedUpgrade => "an upgrade that was not requested",
            ResponseFault::AmbiguousLength => "its end is ambiguous",
            ResponseFault::TooLong => "its body is too long",
            ResponseFault::Stalled => "not complete in time",
            ResponseFault::MayAnswerPreviousRequest => "it began before the request was written",
        })
    }
}
