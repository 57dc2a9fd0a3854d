//! Checks the request's target and host, which the proxy and all backends must interpret in the same way.

use super::attributes::single_header;
use super::path::is_unambiguous;
use crate::request_error::RequestError;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::Version;
use std::net::Ipv6Addr;

/// Maximum length of a host name in bytes.
const MAX_NAME: usize = 254;

/// Checks that all backends interpret the target's path in the same way and that there is exactly one valid host, which
/// equals the target's host if the target has one.
///
/// # Errors
/// Returns the error of the first check that fails.
pub fn check_target(head: &Parts) -> Result<(), RequestError> {
    let path = head.uri.path();
    if !path.starts_with('/') {
        return Err(RequestError::InvalidTarget);
    }
    if !is_unambiguous(path) {
        return Err(RequestError::AmbiguousPath);
    }
    let host = single_header(&head.headers, &HOST).map_err(|_| RequestError::InvalidHost)?;
    let host = match host {
        Some(host) => host.to_str().ok().filter(|host| is_valid_host(host)),
        None if head.version == Version::HTTP_10 => return Ok(()), // HTTP/1.0 does not require Host
        None => None,
    };
    let host = host.ok_or(RequestError::InvalidHost)?;
    match head.uri.authority() {
        Some(authority) if normalized_host(authority.as_str()) != normalized_host(host) => {
            Err(RequestError::InvalidHost)
        }
        _ => Ok(()),
    }
}

/// Returns a host in lower case and without the default port.
fn normalized_host(host: &str) -> String {
    host.strip_suffix(":80").unwrap_or(host).to_ascii_lowercase()
}

/// Accepts a name, an IPv4 address or an IPv6 address in brackets, with or without a port.
pub(super) fn is_valid_host(host: &str) -> bool {
    let colon = host.rfind(':').filter(|at| !host[*at..].contains(']'));
    let (name, port) = match colon {
        Some(at) => (&host[..at], Some(&host[at + 1..])),
        None => (host, None),
    };
    let is_valid_name = match name.strip_prefix('[') {
        Some(rest) => rest.strip_suffix(']').is_some_and(|address| address.parse::<Ipv6Addr>().is_ok()),
        None => is_valid_name(name),
    };
    is_valid_name && port.is_none_or(is_valid_port)
}

fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME && name.strip_suffix('.').unwrap_or(name).split('.').all(is_valid_label)
}

fn is_valid_label(label: &str) -> bool {
    !label.is_empty() && label.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}

fn is_valid_port(port: &str) -> bool {
    port.bytes().all(|byte| byte.is_ascii_digit()) && port.parse::<u16>().is_ok()
}
