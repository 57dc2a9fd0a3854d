//! Tests of `http_stream` that need its private items.

use super::*;

fn complete(text: &str, rule: BodyRule) -> Option<(String, usize)> {
    match parse(text.as_bytes(), rule) {
        Parsed::Complete(message, used) => Some((String::from_utf8_lossy(&message.body).into(), used)),
        _ => None,
    }
}

#[test]
fn message_is_complete_at_its_last_byte_and_not_before() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x\r\nde\r\n0\r\n\r\n";
    let plain = "POST /pay/1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde";
    for text in [chunked, plain] {
        for end in 0..text.len() {
            assert!(matches!(parse(&text.as_bytes()[..end], BodyRule::FromHead), Parsed::Partial), "{end}");
        }
        let with_excess = format!("{text}GET");
        assert_eq!(complete(&with_excess, BodyRule::FromHead), Some(("abcde".into(), text.len())));
    }
}

#[test]
fn answers_to_head_and_with_status_304_have_no_body() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(complete(head, BodyRule::Never), Some((String::new(), head.len())));
    let head = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(complete(head, BodyRule::FromHead), Some((String::new(), head.len())));
}

#[test]
fn malformed_message_is_detected() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(MAX_HEAD));
    for text in [
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        &long,
    ] {
        assert!(matches!(parse(text.as_bytes(), BodyRule::FromHead), Parsed::Malformed), "{text:.60}");
    }
}

/// Guards against sending a request on a connection that the peer has closed while the runtime has not noticed it yet.
#[tokio::test]
async fn connection_closed_by_peer_is_not_idle_before_the_runtime_has_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let tcp = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let (peer, _) = listener.accept().expect("the accepted connection");
    let stream = HttpStream::new(tcp);
    assert!(stream.is_idle());
    drop(peer); // on return the close has been received, and the runtime has not run since
    assert!(!stream.is_idle());
}
