//! Headers that concern one connection only, and are not forwarded.

use hyper::header::*;

/// The header names that the `Connection` headers list.
pub fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

/// Removes the headers that concern one connection only, and `Content-Length`, which hyper sets by the body.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_names(headers) {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
