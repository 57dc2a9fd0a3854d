//! Tests of `wire` that need its private items.

use super::*;

fn whole(text: &str, rule: BodyRule) -> Option<(String, usize)> {
    match parse(text.as_bytes(), rule) {
        Parsed::Whole(message, used) => Some((String::from_utf8_lossy(&message.body).into(), used)),
        _ => None,
    }
}

#[test]
fn a_message_is_whole_at_its_last_byte_and_no_sooner() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\nde\r\n0\r\n\r\n";
    let plain = "POST /pay/1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
    for text in [chunked, plain] {
        for end in 0..text.len() {
            assert!(matches!(parse(&text.as_bytes()[..end], BodyRule::AsSaid), Parsed::Partial), "{end}");
        }
        let more = format!("{text}GET");
        assert_eq!(whole(&more, BodyRule::AsSaid), Some(("abcde".into(), text.len())));
    }
}

#[test]
fn some_answers_have_no_body_whatever_their_head_says() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(whole(head, BodyRule::Never), Some((String::new(), head.len())));
    let head = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(whole(head, BodyRule::AsSaid), Some((String::new(), head.len())));
}

#[test]
fn nonsense_is_known_for_what_it_is() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD));
    for text in [
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        &long,
    ] {
        assert!(matches!(parse(text.as_bytes(), BodyRule::AsSaid), Parsed::Nonsense), "{text:.60}");
    }
}
