//! Reads single values from a request's head.

use crate::request_error::RequestError;
use crate::rules::AttributeLocation;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::HeaderMap;

/// Error for a header that was given more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RepeatedHeader;

/// Returns the text at a location, or `None` if there is none.
pub(super) fn attribute<'a>(
    location: &AttributeLocation, head: &'a Parts,
) -> Result<Option<&'a str>, RequestError> {
    match location {
        AttributeLocation::Path(segment) => {
            let text = head.uri.path().split('/').nth(*segment);
            Ok(text.filter(|text| !text.is_empty()))
        }
        AttributeLocation::Header(name) => {
            let value = single_header(&head.headers, name).map_err(|_| RequestError::InvalidAttribute)?;
            let Some(value) = value else { return Ok(None) };
            value.to_str().map(Some).map_err(|_| RequestError::InvalidAttribute)
        }
    }
}

/// Returns the value of a header that may be given at most once.
pub(super) fn single_header<'a>(
    headers: &'a HeaderMap, name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, RepeatedHeader> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.next() {
        None => Ok(first),
        Some(_) => Err(RepeatedHeader),
    }
}

/// Parses a number that can be a duration or an amount: finite and not negative.
pub fn number(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?;
    text.trim().parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0)
}
