//! The request's target and its host: both have to be read by everybody alike.

use super::attributes::single_header;
use super::path::is_plain;
use crate::request_error::RequestError;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::Version;
use std::net::Ipv6Addr;

/// The longest name of a host, in bytes.
const MAX_NAME: usize = 254;

/// Checks that the target has a path that all backends read alike, and that there is one valid host, the target's where
/// that has one.
///
/// # Errors
/// The first check that fails.
pub fn check_target(head: &Parts) -> Result<(), RequestError> {
    let path = head.uri.path();
    if !path.starts_with('/') {
        return Err(RequestError::InvalidTarget);
    }
    if !is_plain(path) {
        return Err(RequestError::AmbiguousPath);
    }
    let host = single_header(&head.headers, &HOST).map_err(|_| RequestError::InvalidHost)?;
    let host = match host {
        Some(host) => host.to_str().ok().filter(|host| is_valid_host(host)),
        None if head.version == Version::HTTP_10 => return Ok(()), // Host is optional there
        None => None,
    };
    let host = host.ok_or(RequestError::InvalidHost)?;
    match head.uri.authority() {
        Some(authority) if comparable(authority.as_str()) != comparable(host) => {
            Err(RequestError::InvalidHost)
        }
        _ => Ok(()),
    }
}

/// A host in lower case, without the default port.
fn comparable(host: &str) -> String {
    host.strip_suffix(":80").unwrap_or(host).to_ascii_lowercase()
}

/// A name, an IPv4 address or an IPv6 address in brackets, with a port or without.
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
