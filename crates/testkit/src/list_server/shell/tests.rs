//! Tests of `shell` that need its private items.

use super::*;

#[test]
fn calls_are_told_from_watches_and_from_anything_else() {
    let read = |target: &str| Call::read(&format!("GET {target} HTTP/1.1"));
    let call = |after, ms| Some(Call { after, wait: Duration::from_millis(ms) });
    assert_eq!(read("/api/targets"), call(None, 0));
    assert_eq!(read("/api/targets?after=41&wait_ms=20000"), call(Some(41), 20_000));
    assert_eq!(read("/api/targets?wait_ms=999999999"), call(None, 60_000));
    assert_eq!(read("/api/target"), None);
    assert_eq!(Call::read("POST /api/targets HTTP/1.1"), None);
}
