//! Checks a request's head before the request is accepted, and reads its attributes.

mod attributes;
mod class;
mod path;
mod target;
#[cfg(test)]
mod tests;

pub use attributes::number;
pub use target::check_target;

use crate::request_error::RequestError;
use crate::rules::{AttributeLocation, ClassRule, Rules};
use attributes::{attribute, single_header};
use class::class_of;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use shaletide_balancer::{ClassId, Idempotency, Micros, TenantId};
use shaletide_net::connection_names;
use shaletide_routing::{RequestAttributes, RouteId};
use std::collections::HashSet;

/// Maximum length of a request id in bytes.
const MAX_ID: usize = 128;

/// The attributes read from a request's head.
pub struct ParsedHead {
    pub class: ClassId,
    /// `None` if the request names no tenant or an unknown one.
    pub tenant: Option<TenantId>,
    /// The tenant's name as in the request, known or not. Set only if requests are recorded.
    pub tenant_name: Option<String>,
    /// The idempotency key of a request whose class is not safe. Set only if requests are recorded.
    pub key: Option<String>,
    /// `None` if the proxy has to generate the id.
    pub id: Option<HeaderValue>,
    /// How long the client waits, at most the deadline of the class.
    pub time_left: Micros,
    pub route: RouteId,
}

/// Checks a readiness probe, which must be a GET without a body.
///
/// # Errors
/// If the method is not GET, or if there is a body or an invalid length.
pub fn check_probe(rules: &Rules, head: &Parts, body: &Incoming) -> Result<(), RequestError> {
    if head.method != Method::GET {
        return Err(RequestError::ProbeMethod);
    }
    check_length(rules, head, body)
}

/// Reads and checks a head. The caller has checked the target with [`check_target`].
///
/// # Errors
/// Returns the error of the first check that fails.
pub fn read_head(rules: &Rules, head: &Parts, body: &Incoming) -> Result<ParsedHead, RequestError> {
    let class = class_of(rules, head)?;
    let rule = rules.classes.get(class.0).ok_or(RequestError::UnknownClass)?;
    check_connection_header(&head.headers, &rules.required_headers)?;
    let id = request_id(rules, &head.headers)?;
    if !rule.methods.contains(&head.method) {
        return Err(RequestError::MethodNotAllowed(class));
    }
    let key = idempotency_key(rules, rule, head)?;
    check_length(rules, head, body)?;
    let time_left = time_left(rules, rule, &head.headers)?;
    let tenant_name = optional_attribute(&rules.tenant, head)?;
    let tenant = tenant_name.and_then(|name| rules.tenants.get(name)).copied();
    let route = find_route(rules, class, tenant, head)?;
    let recorded = |text: Option<&str>| text.filter(|_| rules.records_requests).map(String::from);
    let tenant_name = recorded(tenant_name);
    let key = recorded(key);
    Ok(ParsedHead { class, tenant, tenant_name, key, id, time_left, route })
}

fn request_id(rules: &Rules, headers: &HeaderMap) -> Result<Option<HeaderValue>, RequestError> {
    let id = single_header(headers, &rules.id_header).map_err(|_| RequestError::InvalidId)?;
    let is_invalid = id.map_or(rules.id_required, |id| id.is_empty() || id.len() > MAX_ID);
    if is_invalid {
        return Err(RequestError::InvalidId);
    }
    Ok(id.cloned())
}

/// Returns the idempotency key of a request whose class is not safe. A keyed class requires a key.
fn idempotency_key<'a>(
    rules: &Rules, rule: &ClassRule, head: &'a Parts,
) -> Result<Option<&'a str>, RequestError> {
    if rule.idempotency == Idempotency::Safe {
        return Ok(None);
    }
    let key = attribute(&rules.key, head).map_err(|_| RequestError::InvalidKey)?;
    let key = key.filter(|key| !key.trim().is_empty());
    if key.is_none() && matches!(rule.idempotency, Idempotency::Keyed(..)) {
        return Err(RequestError::InvalidKey);
    }
    Ok(key)
}

/// Returns how long the client waits, at most the deadline of the class.
fn time_left(rules: &Rules, rule: &ClassRule, headers: &HeaderMap) -> Result<Micros, RequestError> {
    let given = single_header(headers, &rules.time_left_header).map_err(|_| RequestError::InvalidTimeLeft)?;
    let Some(given) = given else { return Ok(rule.deadline) };
    let seconds = number(given).ok_or(RequestError::InvalidTimeLeft)?;
    Ok(Micros::from_secs(seconds).min(rule.deadline))
}

fn find_route(
    rules: &Rules, class: ClassId, tenant: Option<TenantId>, head: &Parts,
) -> Result<RouteId, RequestError> {
    let attributes = RequestAttributes {
        class,
        tenant,
        zone: optional_attribute(&rules.client_zone, head)?.unwrap_or(&rules.zone),
        deduplication_group: optional_attribute(&rules.deduplication_group, head)?,
        path: head.uri.path(),
        method: head.method.as_str(),
        header: &|name| head.headers.get(name).and_then(|value| value.to_str().ok()),
    };
    rules.routes.find(&attributes).ok_or(RequestError::NoRoute)
}

/// Returns an attribute that the request format may not define.
fn optional_attribute<'a>(
    location: &Option<AttributeLocation>, head: &'a Parts,
) -> Result<Option<&'a str>, RequestError> {
    match location {
        Some(location) => attribute(location, head),
        None => Ok(None),
    }
}

fn check_length(rules: &Rules, head: &Parts, body: &Incoming) -> Result<(), RequestError> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    single_header(&head.headers, &CONTENT_LENGTH).map_err(|_| RequestError::LengthMismatch)?;
    let length = body.size_hint().lower();
    if length > rules.max_body as u64 {
        return Err(RequestError::BodyTooLong);
    }
    if matches!(head.method, Method::GET | Method::HEAD) && length > 0 {
        return Err(RequestError::LengthMismatch);
    }
    Ok(())
}

/// Rejects a `Connection` header that names a header by which the request was checked: headers named there are hop-by-hop
/// and are not forwarded.
fn check_connection_header(headers: &HeaderMap, required: &HashSet<HeaderName>) -> Result<(), RequestError> {
    if connection_names(headers).iter().any(|name| required.contains(name)) {
        return Err(RequestError::RequiredHeaderDropped);
    }
    Ok(())
}
