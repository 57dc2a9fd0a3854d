//! Hop-by-hop headers, which apply to a single connection and are not forwarded.

use hyper::header::*;

/// Returns the header names that are listed in the `Connection` headers.
pub fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok()).collect()
}

/// Removes the hop-by-hop headers, and `Content-Length`, which hyper sets from the body.
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
