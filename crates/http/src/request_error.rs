//! Why a request is rejected before the driver gets it, and the response to it: the one place that turns an error of a
//! client's into a status and a text.

use crate::rules::Rules;
use hyper::StatusCode;
use shaletide_balancer::ClassId;
use std::borrow::Cow;

/// Why a request is rejected. The connection ends with the response, as what follows may be no request at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// It names no class that there is.
    UnknownClass,
    /// No route matches it.
    NoRoute,
    /// It has no id, more than one, or one that is empty or too long.
    InvalidId,
    /// Another open request has this id.
    IdInUse,
    /// Its class does not allow its method: taken for more idempotent than it is, it would be retried to its harm.
    MethodNotAllowed(ClassId),
    /// Its class requires exactly one idempotency key, not empty.
    InvalidKey,
    /// Its key, or its tenant's name, is longer than the record keeps.
    KeyTooLong,
    /// An attribute that it is routed by is given twice, or is not plain text.
    InvalidAttribute,
    /// The time left is no number of seconds, or is given twice.
    InvalidTimeLeft,
    /// It has a transfer encoding: hyper hides the length where both are given, and a second request may be hidden in
    /// the body.
    TransferEncoding,
    /// The length is not that of the request.
    LengthMismatch,
    /// Its body is longer than allowed.
    BodyTooLong,
    /// Its body cannot be read.
    MalformedBody,
    /// Its body did not come in time, or made room for others.
    BodyTooSlow,
    /// Its client has closed the connection, or its sending on it, before it was accepted.
    ClientClosed,
    /// Its target has no path.
    InvalidTarget,
    /// `Connection` names a header that has to go on to the backend.
    RequiredHeaderDropped,
    /// The readiness probe is answered to GET only.
    ProbeMethod,
    /// A backend that normalizes paths could find another class in it.
    AmbiguousPath,
    /// The host is missing, given twice, invalid or not that of the target.
    InvalidHost,
}

impl RequestError {
    /// The status and the text of the response to it.
    pub(crate) fn answer(self, rules: &Rules) -> (StatusCode, String) {
        (self.status(), format!("{}\n", self.text(rules)))
    }

    fn status(self) -> StatusCode {
        match self {
            RequestError::UnknownClass | RequestError::NoRoute => StatusCode::NOT_FOUND,
            RequestError::IdInUse => StatusCode::CONFLICT,
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

    /// Clients read these: they stay as they are.
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

    /// The methods that the response has in its `Allow` header, if it has one.
    pub(crate) fn allowed_methods(self, rules: &Rules) -> Option<String> {
        match self {
            RequestError::ProbeMethod => Some("GET".into()),
            RequestError::MethodNotAllowed(class) => Some(rules.allowed_methods(class)),
            _ => None,
        }
    }
}
