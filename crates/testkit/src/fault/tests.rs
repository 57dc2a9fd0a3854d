//! Tests of `fault` that need its private items.

use super::*;

#[test]
fn head_of_an_answer_without_body_fits_its_status_and_method() {
    let render = |status, method| {
        let (head, body) = Answer::status(status).render(backend_body("b0", "7", 0), method, false);
        (String::from_utf8(head).unwrap(), String::from_utf8(body).unwrap())
    };
    let head = |status: u16, lines: &str| format!("HTTP/1.1 {status} X\r\n{lines}\r\n");
    assert_eq!(render(201, "POST"), (head(201, "Content-Length: 5\r\n"), "b0 7\n".into()));
    assert_eq!(render(200, "HEAD"), (head(200, "Content-Length: 5\r\n"), String::new()));
    assert_eq!(render(204, "GET"), (head(204, ""), String::new()));
    assert_eq!(render(304, "GET"), (head(304, ""), String::new()));
}
