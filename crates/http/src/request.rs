//! What a client's request must be before it is taken: the rest is answered at once and its connection ends.

use crate::request_error::RequestError;
use crate::rules::{AttributeLocation, Rules};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Version};
use shaletide_balancer::{ClassId, Idempotency, Micros, TenantId};
use shaletide_net::connection_names;
use shaletide_routing::{RequestAttributes, RouteId};
use std::borrow::Cow;
use std::collections::HashSet;
use std::net::Ipv6Addr;

/// A request's id may be so long.
const MAX_ID: usize = 128;
/// And a host's name.
const MAX_NAME: usize = 254;

/// What is asked for, and of whom, can be taken in one way only.
pub fn check_target(head: &Parts) -> Result<(), RequestError> {
    let path = head.uri.path();
    if !path.starts_with('/') {
        return Err(RequestError::InvalidTarget);
    }
    if !is_plain(path) {
        return Err(RequestError::AmbiguousPath);
    }
    let host = match single(&head.headers, &HOST).map_err(|_| RequestError::InvalidHost)? {
        Some(host) => {
            host.to_str().ok().filter(|host| is_valid_host(host)).ok_or(RequestError::InvalidHost)?
        }
        None if head.version == Version::HTTP_10 => return Ok(()), // it knows requests without one
        None => return Err(RequestError::InvalidHost),
    };
    let bare = |host: &str| host.strip_suffix(":80").unwrap_or(host).to_ascii_lowercase();
    match head.uri.authority() {
        Some(authority) if bare(authority.as_str()) != bare(host) => Err(RequestError::InvalidHost),
        _ => Ok(()),
    }
}

/// A question whether the proxy is ready is a plain one.
pub fn check_probe(rules: &Rules, head: &Parts, body: &Incoming) -> Result<(), RequestError> {
    if head.method != Method::GET {
        return Err(RequestError::ProbeMethod);
    }
    check_length(rules, head, body)
}

/// A request as its head says.
pub struct ParsedHead {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// As it came, whether it is known or not.
    pub tenant_name: Option<String>,
    /// For a class that is not safe, if it has one.
    pub key: Option<String>,
    /// None: it is to be given one.
    pub id: Option<HeaderValue>,
    /// How long its client waits.
    pub time_left: Micros,
    pub route: RouteId,
}

/// Reads a head and checks it.
pub fn read_head(rules: &Rules, head: &Parts, body: &Incoming) -> Result<ParsedHead, RequestError> {
    let headers = &head.headers;
    let class = class_of(rules, head)?;
    let rule = rules.classes.get(class.0).ok_or(RequestError::UnknownClass)?;
    check_connection_header(headers, &rules.required_headers)?;
    let id = single(headers, &rules.id_header).map_err(|_| RequestError::InvalidId)?;
    if id.map_or(rules.id_required, |id| id.is_empty() || id.len() > MAX_ID) {
        return Err(RequestError::InvalidId);
    }
    if !rule.methods.contains(&head.method) {
        return Err(RequestError::MethodNotAllowed(class));
    }
    let given = text(&rules.key, head).map(|key| key.filter(|key| !key.trim().is_empty()));
    let key = match rule.effect {
        Idempotency::Safe => None,
        Idempotency::Keyed(..) => Some(given.ok().flatten().ok_or(RequestError::InvalidKey)?),
        Idempotency::NonIdempotent => given.map_err(|_| RequestError::InvalidKey)?,
    };
    check_length(rules, head, body)?;
    let time_left =
        match single(headers, &rules.time_left_header).map_err(|_| RequestError::InvalidTimeLeft)? {
            Some(value) => {
                Micros::from_secs(number(value).ok_or(RequestError::InvalidTimeLeft)?).min(rule.deadline)
            }
            None => rule.deadline,
        };
    let read = |place: &Option<AttributeLocation>| place.as_ref().map_or(Ok(None), |place| text(place, head));
    let tenant_name = read(&rules.tenant)?;
    let tenant = tenant_name.and_then(|name| rules.tenants.get(name)).copied();
    let asked = RequestAttributes {
        class,
        tenant,
        zone: read(&rules.client_zone)?.unwrap_or(&rules.zone),
        deduplication_group: read(&rules.deduplication_group)?,
        path: head.uri.path(),
        method: head.method.as_str(),
        header: &|name| headers.get(name).and_then(|value| value.to_str().ok()),
    };
    let route = rules.routes.find(&asked).ok_or(RequestError::NoRoute)?;
    // Only for the record.
    let own = |text: Option<&str>| text.filter(|_| rules.is_recorded).map(String::from);
    let (tenant_name, key) = (own(tenant_name), own(key));
    Ok(ParsedHead { class, tenant, tenant_name, key, id: id.cloned(), time_left, route })
}

fn class_of(rules: &Rules, head: &Parts) -> Result<ClassId, RequestError> {
    let one = text(&rules.class, head)?.and_then(|name| rules.class_by_name.get(name)).copied();
    let several = match rules.class {
        AttributeLocation::Path(part) => {
            multi_segment_class(rules, head.uri.path().split('/').skip(part).map(str::as_bytes))
        }
        AttributeLocation::Header(_) => None, // there a name stands as it is
    };
    let class = several.or(one).or(rules.default_class).ok_or(RequestError::UnknownClass)?;
    match rules.class {
        AttributeLocation::Path(part) if others(rules, head.uri.path(), part).any(|other| other != class) => {
            Err(RequestError::AmbiguousPath)
        }
        _ => Ok(class),
    }
}

/// The class whose name is several parts of a path, of which these are the next.
fn multi_segment_class<'a>(rules: &Rules, path: impl Iterator<Item = &'a [u8]> + Clone) -> Option<ClassId> {
    let begins = |name: &[String]| path.clone().take(name.len()).eq(name.iter().map(String::as_bytes));
    rules.multi_segment_classes.iter().find(|(name, _)| begins(name)).map(|(_, class)| *class)
}

/// The classes that a backend could find at that part of the path, which decodes it, passes over empty parts or cuts
/// parameters off.
fn others<'a>(rules: &'a Rules, path: &'a str, part: usize) -> impl Iterator<Item = ClassId> + 'a {
    let odd = path.contains(['%', ';'])
        || (part > 1 || !rules.multi_segment_classes.is_empty()) && path.contains("//");
    let once = percent_decoded(path.as_bytes());
    let readings = odd.then(|| [path.as_bytes().to_vec(), once.to_vec(), percent_decoded(&once).to_vec()]);
    readings.into_iter().flatten().filter_map(move |path| {
        let parts = path.split(|b| *b == b'/').filter(|part| !part.is_empty());
        let bare = |part: &'_ [u8]| part.split(|b| *b == b';').next().unwrap_or_default().to_vec();
        let parts: Vec<Vec<u8>> = parts.skip(part.saturating_sub(1)).map(bare).collect();
        let one = || rules.class_by_name.get(std::str::from_utf8(parts.first()?).ok()?).copied();
        multi_segment_class(rules, parts.iter().map(Vec::as_slice)).or_else(one)
    })
}

/// What stands at a place; `None`: nothing.
fn text<'a>(place: &AttributeLocation, head: &'a Parts) -> Result<Option<&'a str>, RequestError> {
    match place {
        AttributeLocation::Path(part) => {
            Ok(head.uri.path().split('/').nth(*part).filter(|text| !text.is_empty()))
        }
        AttributeLocation::Header(name) => {
            match single(&head.headers, name).map_err(|_| RequestError::InvalidAttribute)? {
                Some(value) => value.to_str().map(Some).map_err(|_| RequestError::InvalidAttribute),
                None => Ok(None),
            }
        }
    }
}

/// However a backend reads it, the path's first part is the class: nothing in it leads elsewhere, as it stands
/// or decoded. Twice is enough: nobody decodes more often, and a client could make it work for nothing.
fn is_plain(path: &str) -> bool {
    let leads_away = |path: &[u8]| {
        // What follows a semicolon is a parameter to some, and no part of the name.
        let dots = |part: &[u8]| matches!(part.split(|b| *b == b';').next(), Some(b"." | b".."));
        path.starts_with(b"//") || path.contains(&b'\\') || path.split(|b| *b == b'/').any(dots)
    };
    let once = percent_decoded(path.as_bytes());
    !leads_away(path.as_bytes()) && !leads_away(&once) && !leads_away(&percent_decoded(&once))
}

/// With each `%` and two hexadecimal digits made into the byte that they stand for.
fn percent_decoded(path: &[u8]) -> Cow<'_, [u8]> {
    if !path.contains(&b'%') {
        return path.into();
    }
    let digit = |at: usize| path.get(at).and_then(|b| char::from(*b).to_digit(16));
    let (mut out, mut at) = (Vec::with_capacity(path.len()), 0);
    while let Some(byte) = path.get(at) {
        match (byte, digit(at + 1), digit(at + 2)) {
            (b'%', Some(high), Some(low)) => {
                out.push((high * 16 + low) as u8);
                at += 3;
            }
            _ => {
                out.push(*byte);
                at += 1;
            }
        }
    }
    out.into()
}

/// A name, an IPv4 address or an IPv6 address in brackets, with a port or without.
fn is_valid_host(host: &str) -> bool {
    let colon = host.rfind(':').filter(|at| !host[*at..].contains(']'));
    let (name, port) = colon.map_or((host, None), |at| (&host[..at], Some(&host[at + 1..])));
    let is_number = |port: &str| port.bytes().all(|b| b.is_ascii_digit()) && port.parse::<u16>().is_ok();
    let is_label = |label: &str| {
        !label.is_empty() && label.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
    };
    let is_name = match name.strip_prefix('[') {
        Some(rest) => rest.strip_suffix(']').is_some_and(|ip| ip.parse::<Ipv6Addr>().is_ok()),
        None => name.len() <= MAX_NAME && name.strip_suffix('.').unwrap_or(name).split('.').all(is_label),
    };
    is_name && port.is_none_or(is_number)
}

fn check_length(rules: &Rules, head: &Parts, body: &Incoming) -> Result<(), RequestError> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    single(&head.headers, &CONTENT_LENGTH).map_err(|_| RequestError::LengthMismatch)?;
    let length = body.size_hint().lower();
    if length > rules.max_body as u64 {
        return Err(RequestError::BodyTooLong);
    }
    if matches!(head.method, Method::GET | Method::HEAD) && length > 0 {
        return Err(RequestError::LengthMismatch);
    }
    Ok(())
}

/// What is checked here is what will be sent.
fn check_connection_header(
    headers: &HeaderMap, required_headers: &HashSet<HeaderName>,
) -> Result<(), RequestError> {
    let lost = connection_names(headers).iter().any(|name| required_headers.contains(name));
    (!lost).then_some(()).ok_or(RequestError::RequiredHeaderDropped)
}

/// A header that may stand once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (first, None) => Ok(first),
        _ => Err(()),
    }
}

/// A number that makes sense as a span or an amount.
pub fn number(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?;
    text.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

#[cfg(test)]
mod tests;
