//! Tests of `connections` that need its private items.

use super::*;

#[test]
fn request_line_is_parsed_as_poll_or_long_poll() {
    let parse = |target: &str| Call::parse(&format!("GET {target} HTTP/1.1"));
    let call = |after, ms| Some(Call { after, wait: Duration::from_millis(ms) });
    assert_eq!(parse("/api/targets"), call(None, 0));
    assert_eq!(parse("/api/targets?after=41&wait_ms=20000"), call(Some(41), 20_000));
    assert_eq!(parse("/api/targets?wait_ms=999999999"), call(None, 60_000));
    assert_eq!(parse("/api/target"), None);
    assert_eq!(Call::parse("POST /api/targets HTTP/1.1"), None);
}
