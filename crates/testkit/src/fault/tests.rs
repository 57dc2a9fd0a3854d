//! Tests of `fault` that need its private items.

use super::*;

#[test]
fn answers_without_a_body_have_the_head_that_goes_with_that() {
    let render = |status, method| {
        let (head, body) = Answer::status(status).render(backend_body("b0", "7", 0), method, false);
        (String::from_utf8(head).unwrap(), String::from_utf8(body).unwrap())
    };
    let of = |status: u16, more: &str| format!("HTTP/1.1 {status} X\r\n{more}\r\n");
    assert_eq!(render(201, "POST"), (of(201, "Content-Length: 5\r\n"), "b0 7\n".into()));
    assert_eq!(render(200, "HEAD"), (of(200, "Content-Length: 5\r\n"), String::new()));
    assert_eq!(render(204, "GET"), (of(204, ""), String::new()));
    assert_eq!(render(304, "GET"), (of(304, ""), String::new()));
}
