//! What a client's request must be before it is taken: the rest is answered at once and its connection ends.

use crate::rules::{Place, Rules};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Version};
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

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It names no class that there is.
    NoSuchClass,
    /// No route takes it.
    NoRoute,
    /// No id, more than one, or a name that no client would give.
    Id,
    /// Another client's request of that id is open.
    IdInUse,
    /// A method that the class does not take: a class that is taken for safer than the request says would be
    /// repeated to its harm.
    Method(ClassId),
    /// A keyed class wants one key that says something.
    Key,
    /// The key is longer than is kept on record.
    KeyTooLong,
    /// What the request is read by stands twice, or cannot be read.
    Form,
    /// The time left is no number, or stands twice.
    TimeLeft,
    /// hyper hides the length where both are given, so that a second request may lie in the body.
    Encoded,
    /// The length is not that of the request.
    Length,
    /// The body is too long.
    TooLong,
    /// The body cannot be read.
    Body,
    /// The body did not come in time.
    Slow,
    /// Its client has closed the connection, or its sending on it, before it was taken.
    ClientClosed,
    /// There is no path in the target.
    Target,
    /// `Connection` names what has to go on.
    Connection,
    /// Whether the proxy is ready is told to a GET.
    Probe,
    /// A backend that tidies paths up could find another class in it.
    Path,
    /// None, more than one, none that there could be, or not the one in the target.
    Host,
}

impl Fault {
    pub(crate) fn answer(self, rules: &Rules) -> (StatusCode, String) {
        let text = match self {
            Fault::NoSuchClass => "no such class",
            Fault::NoRoute => "no route takes this",
            Fault::Id => return (StatusCode::BAD_REQUEST, format!("{}: expected exactly one\n", rules.id)),
            Fault::IdInUse => "a request of this id is open",
            Fault::Method(_) => "the class does not take this method",
            Fault::Key => "this class wants exactly one key that is not empty",
            Fault::KeyTooLong => "the key, or the tenant's name, is too long for the record",
            Fault::Form => "class, tenant, key, bay and zone are each expected once, in plain text",
            Fault::TimeLeft => {
                let text = format!("{}: expected one number of seconds\n", rules.time_left);
                return (StatusCode::BAD_REQUEST, text);
            }
            Fault::Encoded => "Transfer-Encoding is not taken",
            Fault::Length => "the length does not fit the request",
            Fault::TooLong => {
                let text = format!("the body is over {} bytes\n", rules.max_body);
                return (StatusCode::PAYLOAD_TOO_LARGE, text);
            }
            Fault::Body => "the body is malformed",
            Fault::Slow => "the body did not come in time, or too slowly, or others had need of its place",
            Fault::ClientClosed => "the connection was closed before the request was taken",
            Fault::Target => "the target has no path",
            Fault::Connection => "Connection names a header that must go on to the backend",
            Fault::Path => "the path has dot segments, backslashes, no first part or a class in disguise",
            Fault::Host => "Host: expected one sound name, the target's if it has one",
            Fault::Probe => "only GET is answered here",
        };
        let status = match self {
            Fault::NoSuchClass | Fault::NoRoute => StatusCode::NOT_FOUND,
            Fault::IdInUse => StatusCode::CONFLICT,
            Fault::Method(_) | Fault::Probe => StatusCode::METHOD_NOT_ALLOWED,
            Fault::Encoded => StatusCode::LENGTH_REQUIRED,
            Fault::Slow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        };
        (status, format!("{text}\n"))
    }

    /// What `Allow` says with it.
    pub(crate) fn allow(self, rules: &Rules) -> Option<String> {
        match self {
            Fault::Probe => Some("GET".into()),
            Fault::Method(class) => Some(rules.allow(class)),
            _ => None,
        }
    }
}

/// What is asked for, and of whom, can be taken in one way only.
pub fn check_target(head: &Parts) -> Result<(), Fault> {
    let path = head.uri.path();
    if !path.starts_with('/') {
        return Err(Fault::Target);
    }
    if !is_plain(path) {
        return Err(Fault::Path);
    }
    let host = match single(&head.headers, &HOST).map_err(|_| Fault::Host)? {
        Some(host) => host.to_str().ok().filter(|host| is_host(host)).ok_or(Fault::Host)?,
        None if head.version == Version::HTTP_10 => return Ok(()), // it knows requests without one
        None => return Err(Fault::Host),
    };
    let bare = |host: &str| host.strip_suffix(":80").unwrap_or(host).to_ascii_lowercase();
    match head.uri.authority() {
        Some(authority) if bare(authority.as_str()) != bare(host) => Err(Fault::Host),
        _ => Ok(()),
    }
}

/// A question whether the proxy is ready is a plain one.
pub fn check_probe(rules: &Rules, head: &Parts, body: &Incoming) -> Result<(), Fault> {
    if head.method != Method::GET {
        return Err(Fault::Probe);
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
    pub left: Micros,
    pub route: RouteId,
}

/// Reads a head and checks it.
pub fn read_head(rules: &Rules, head: &Parts, body: &Incoming) -> Result<ParsedHead, Fault> {
    let headers = &head.headers;
    let class = class_of(rules, head)?;
    let rule = rules.classes.get(class.0).ok_or(Fault::NoSuchClass)?;
    goes_on_whole(headers, &rules.to_keep)?;
    let id = single(headers, &rules.id).map_err(|_| Fault::Id)?;
    if id.map_or(rules.id_required, |id| id.is_empty() || id.len() > MAX_ID) {
        return Err(Fault::Id);
    }
    if !rule.methods.contains(&head.method) {
        return Err(Fault::Method(class));
    }
    let given = text(&rules.key, head).map(|key| key.filter(|key| !key.trim().is_empty()));
    let key = match rule.effect {
        Idempotency::Safe => None,
        Idempotency::Keyed(..) => Some(given.ok().flatten().ok_or(Fault::Key)?),
        Idempotency::NonIdempotent => given.map_err(|_| Fault::Key)?,
    };
    check_length(rules, head, body)?;
    let left = match single(headers, &rules.time_left).map_err(|_| Fault::TimeLeft)? {
        Some(value) => Micros::from_secs(number(value).ok_or(Fault::TimeLeft)?).min(rule.deadline),
        None => rule.deadline,
    };
    let read = |place: &Option<Place>| place.as_ref().map_or(Ok(None), |place| text(place, head));
    let tenant_name = read(&rules.tenant)?;
    let tenant = tenant_name.and_then(|name| rules.tenants.get(name)).copied();
    let asked = RequestAttributes {
        class,
        tenant,
        zone: read(&rules.from)?.unwrap_or(&rules.zone),
        deduplication_group: read(&rules.bay)?,
        path: head.uri.path(),
        method: head.method.as_str(),
        header: &|name| headers.get(name).and_then(|value| value.to_str().ok()),
    };
    let route = rules.table.find(&asked).ok_or(Fault::NoRoute)?;
    // Only for the record.
    let own = |text: Option<&str>| text.filter(|_| rules.record).map(String::from);
    let (tenant_name, key) = (own(tenant_name), own(key));
    Ok(ParsedHead { class, tenant, tenant_name, key, id: id.cloned(), left, route })
}

fn class_of(rules: &Rules, head: &Parts) -> Result<ClassId, Fault> {
    let one = text(&rules.class, head)?.and_then(|name| rules.by_name.get(name)).copied();
    let several = match rules.class {
        Place::Path(part) => in_parts(rules, head.uri.path().split('/').skip(part).map(str::as_bytes)),
        Place::Header(_) => None, // there a name stands as it is
    };
    let class = several.or(one).or(rules.otherwise).ok_or(Fault::NoSuchClass)?;
    match rules.class {
        Place::Path(part) if others(rules, head.uri.path(), part).any(|other| other != class) => {
            Err(Fault::Path)
        }
        _ => Ok(class),
    }
}

/// The class whose name is several parts of a path, of which these are the next.
fn in_parts<'a>(rules: &Rules, path: impl Iterator<Item = &'a [u8]> + Clone) -> Option<ClassId> {
    let begins = |name: &[String]| path.clone().take(name.len()).eq(name.iter().map(String::as_bytes));
    rules.in_parts.iter().find(|(name, _)| begins(name)).map(|(_, class)| *class)
}

/// The classes that a backend could find at that part of the path, which decodes it, passes over empty parts or cuts
/// parameters off.
fn others<'a>(rules: &'a Rules, path: &'a str, part: usize) -> impl Iterator<Item = ClassId> + 'a {
    let odd = path.contains(['%', ';']) || (part > 1 || !rules.in_parts.is_empty()) && path.contains("//");
    let once = decoded(path.as_bytes());
    let readings = odd.then(|| [path.as_bytes().to_vec(), once.to_vec(), decoded(&once).to_vec()]);
    readings.into_iter().flatten().filter_map(move |path| {
        let parts = path.split(|b| *b == b'/').filter(|part| !part.is_empty());
        let bare = |part: &'_ [u8]| part.split(|b| *b == b';').next().unwrap_or_default().to_vec();
        let parts: Vec<Vec<u8>> = parts.skip(part.saturating_sub(1)).map(bare).collect();
        let one = || rules.by_name.get(std::str::from_utf8(parts.first()?).ok()?).copied();
        in_parts(rules, parts.iter().map(Vec::as_slice)).or_else(one)
    })
}

/// What stands at a place; `None`: nothing.
fn text<'a>(place: &Place, head: &'a Parts) -> Result<Option<&'a str>, Fault> {
    match place {
        Place::Path(part) => Ok(head.uri.path().split('/').nth(*part).filter(|text| !text.is_empty())),
        Place::Header(name) => match single(&head.headers, name).map_err(|_| Fault::Form)? {
            Some(value) => value.to_str().map(Some).map_err(|_| Fault::Form),
            None => Ok(None),
        },
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
    let once = decoded(path.as_bytes());
    !leads_away(path.as_bytes()) && !leads_away(&once) && !leads_away(&decoded(&once))
}

/// With each `%` and two hexadecimal digits made into the byte that they stand for.
fn decoded(path: &[u8]) -> Cow<'_, [u8]> {
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
fn is_host(host: &str) -> bool {
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

fn check_length(rules: &Rules, head: &Parts, body: &Incoming) -> Result<(), Fault> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(Fault::Encoded);
    }
    single(&head.headers, &CONTENT_LENGTH).map_err(|_| Fault::Length)?;
    let length = body.size_hint().lower();
    if length > rules.max_body as u64 {
        return Err(Fault::TooLong);
    }
    if matches!(head.method, Method::GET | Method::HEAD) && length > 0 {
        return Err(Fault::Length);
    }
    Ok(())
}

/// What is checked here is what will be sent.
fn goes_on_whole(headers: &HeaderMap, to_keep: &HashSet<HeaderName>) -> Result<(), Fault> {
    let lost = connection_names(headers).iter().any(|name| to_keep.contains(name));
    (!lost).then_some(()).ok_or(Fault::Connection)
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
