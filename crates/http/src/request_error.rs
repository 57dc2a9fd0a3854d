//! Reasons for which a request is rejected before it reaches the driver. Client errors are mapped to a status and a text
//! only here.

use crate::rules::Rules;
use hyper::StatusCode;
use shaletide_balancer::ClassId;
use std::borrow::Cow;

/// The reason for which a request is rejected. The connection ends after the response, because the bytes that follow may not
/// be a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request names no known class.
    UnknownClass,
    /// No route matches the request.
    NoRoute,
    /// The request has no id, several ids, or an id that is empty or too long.
    InvalidId,
    /// Another open request has the same id.
    IdInUse,
    /// A request with the same id has ended and may have been executed; its class does not allow a second execution.
    IdExecuted,
    /// The class does not allow the method. If such a request were accepted, it could be treated as more idempotent than it
    /// is and be executed twice by a retry.
    MethodNotAllowed(ClassId),
    /// The class requires exactly one idempotency key that is not empty.
    InvalidKey,
    /// The key or the tenant's name is longer than the record can store.
    KeyTooLong,
    /// An attribute used for routing is given twice or is not plain text.
    InvalidAttribute,
    /// The time left is not a number of seconds, or is given twice.
    InvalidTimeLeft,
    /// The request has a transfer encoding. If a length is given too, hyper hides it, and a second request may be hidden in
    /// the body.
    TransferEncoding,
    /// The length does not match the request.
    LengthMismatch,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body cannot be read.
    MalformedBody,
    /// The body arrived too slowly, or was evicted to make room for another.
    BodyTooSlow,
    /// The client closed the connection, or its sending side, before the request was accepted.
    ClientClosed,
    /// The target has no path.
    InvalidTarget,
    /// `Connection` names a header that must be forwarded to the backend.
    RequiredHeaderDropped,
    /// The readiness probe has a method other than GET.
    ProbeMethod,
    /// A backend that normalizes paths could find a different class in the path.
    AmbiguousPath,
    /// The host is missing, given twice, invalid or different from the target's host.
    InvalidHost,
}

impl RequestError {
    /// Returns the status and the body of the response.
    pub(crate) fn answer(self, rules: &Rules) -> (StatusCode, String) {
        (self.status(), format!("{}\n", self.text(rules)))
    }

    fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownClass | RequestError::NoRoute => StatusCode::NOT_FOUND,
            RequestError::IdInUse | RequestError::IdExecuted => StatusCode::CONFLICT,
            RequestError::MethodNotAllowed(_) | RequestError::ProbeMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::InvalidId
            | RequestError::InvalidKey
            | RequestError::KeyTooLong
            | RequestError::InvalidAttribute
            | RequestError::InvalidTimeLeft
            | RequestError::LengthMismatch
            | RequestError::MalformedBody
            | RequestError::ClientClosed
            | RequestError::InvalidTarget
            | RequestError::RequiredHeaderDropped
            | RequestError::AmbiguousPath
            | RequestError::InvalidHost => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the text of the response. Clients may match these texts, so they must not change.
    fn text(self, rules: &Rules) -> Cow<'static, str> {
        let text = match self {
            RequestError::InvalidId => return format!("{}: expected exactly one", rules.id_header).into(),
            RequestError::InvalidTimeLeft => {
                return format!("{}: expected one number of seconds", rules.time_left_header).into();
            }
            RequestError::BodyTooLong => return format!("the body is over {} bytes", rules.max_body).into(),
            RequestError::UnknownClass => "no such class",
            RequestError::NoRoute => "no route takes this",
            RequestError::IdInUse => "a request of this id is open",
            RequestError::IdExecuted => "a request of this id may have run",
            RequestError::MethodNotAllowed(_) => "the class does not take this method",
            RequestError::InvalidKey => "this class wants exactly one key that is not empty",
            RequestError::KeyTooLong => "the key, or the tenant's name, is too long for the record",
            RequestError::InvalidAttribute => {
                "class, tenant, key, bay and zone are each expected once, in plain text"
            }
            RequestError::TransferEncoding => "Transfer-Encoding is not taken",
            RequestError::LengthMismatch => "the length does not fit the request",
            RequestError::MalformedBody => "the body is malformed",
            RequestError::BodyTooSlow => {
                "the body did not come in time, or too slowly, or others had need of its place"
            }
            RequestError::ClientClosed => "the connection was closed before the request was taken",
            RequestError::InvalidTarget => "the target has no path",
            RequestError::RequiredHeaderDropped => "Connection names a header that must go on to the backend",
            RequestError::AmbiguousPath => {
                "the path has dot segments, backslashes, no first part or a class in disguise"
            }
            RequestError::InvalidHost => "Host: expected one sound name, the target's if it has one",
            RequestError::ProbeMethod => "only GET is answered here",
        };
        text.into()
    }

    /// Returns the value of the response's `Allow` header, if it has one.
    pub(crate) fn allowed_methods(self, rules: &Rules) -> Option<String> {
        match self {
            RequestError::ProbeMethod => Some("GET".into()),
            RequestError::MethodNotAllowed(class) => Some(rules.allowed_methods(class)),
            _ => None,
        }
    }
}
