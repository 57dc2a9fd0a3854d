//! Tests of `run` that need its private items.

use super::super::LoadClass;
use super::*;

#[test]
fn retry_after_is_followed_up_to_the_largest_delay() {
    let retry = Retry { max_delay: Duration::from_secs(1), default_delay: Duration::from_millis(50) };
    for (retry_after, expected) in [("0.2", 200), ("7", 1000), ("-1", 50), ("soon", 50), ("inf", 50)] {
        let headers = vec![("Retry-After".to_string(), retry_after.to_string())];
        let rejection = Message { headers, ..Message::default() };
        assert_eq!(retry_delay(&rejection, retry), Duration::from_millis(expected), "{retry_after}");
    }
}

#[test]
fn body_that_names_another_request_is_detected() {
    let answer =
        |body: &str| Message { first: "HTTP/1.1 200 X".into(), body: body.into(), ..Message::default() };
    assert!(names_other_request(&answer("b0 8\n..."), "7"));
    assert!(!names_other_request(&answer("b0 7\n..."), "7"));
    assert!(!names_other_request(&answer("other"), "7"), "not a backend's own body");
}

/// Serves as a proxy that closes each connection when a second request arrives on it, without reading that request. The
/// first two answers wait for each other, so that the client keeps two connections.
fn closes_kept_connections(listener: std::net::TcpListener) {
    use std::io::{Read, Write};
    let barrier = Arc::new(std::sync::Barrier::new(2));
    for (number, tcp) in listener.incoming().flatten().enumerate() {
        let barrier = barrier.clone();
        let mut tcp = tcp;
        std::thread::spawn(move || {
            let _ = tcp.read(&mut [0; 4096]);
            if number < 2 {
                barrier.wait();
            }
            let _ = tcp.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            let _ = tcp.peek(&mut [0]);
        });
    }
}

/// Guards against sending a request again on a kept connection after its first connection was closed. A stopping proxy
/// closes both in the same moment (soak seed 93037).
#[test]
fn request_on_a_closed_kept_connection_is_sent_again_on_a_new_connection() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    std::thread::spawn(move || closes_kept_connections(listener));
    let class = LoadClass::new("read", shaletide_types::Idempotency::Safe, Duration::from_secs(5));
    let load = Load::new(100.0, vec![class], Duration::from_millis(300));
    let result = load.run_blocking(to).unwrap();
    let ends: Vec<End> = result.sent.iter().map(|sent| sent.end).collect();
    assert!(ends.iter().all(|end| *end == End::Status(200)), "{ends:?}");
    assert!(result.resent > 0 && result.sent.iter().any(|sent| sent.resent), "{ends:?}");
}
