//! Tests of `run` that need its private items.

use super::*;

#[test]
fn advice_is_followed_up_to_the_longest() {
    let retry = Retry { longest: Duration::from_secs(1), usual: Duration::from_millis(50) };
    for (advice, expected) in [("0.2", 200), ("7", 1000), ("-1", 50), ("soon", 50), ("inf", 50)] {
        let headers = vec![("Retry-After".to_string(), advice.to_string())];
        let refusal = Message { headers, ..Message::default() };
        assert_eq!(pause(&refusal, retry), Duration::from_millis(expected), "{advice}");
    }
}

#[test]
fn a_body_that_names_another_request_is_anothers() {
    let answer =
        |body: &str| Message { first: "HTTP/1.1 200 X".into(), body: body.into(), ..Message::default() };
    assert!(is_anothers(&answer("b0 8\n..."), "7"));
    assert!(!is_anothers(&answer("b0 7\n..."), "7"));
    assert!(!is_anothers(&answer("other"), "7"), "not a box's own");
}
