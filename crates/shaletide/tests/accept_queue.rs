//! Requests that wait in the kernel's accept queue or socket buffers: the wait counts against their time left.

mod harness;

use harness::*;
use std::time::Duration;

/// How long the program is suspended while requests wait.
const SUSPENSION: Duration = Duration::from_millis(600);
/// Tolerance on the time left, in seconds: the kernel's clock has a coarse resolution. The proxy also reserves a little
/// of the time for the way of its response, which lowers the time left further.
const RESOLUTION_S: f64 = 0.05;

fn forwarded_time_left(backend: &BackendServer) -> f64 {
    let request = backend.next_request();
    request.header("x-time-left").expect("x-time-left").parse().expect("a number")
}

/// Guards against a wait that is not subtracted, on a connection in the accept queue and on one that was accepted before.
#[test]
fn time_in_the_accept_queue_counts_against_the_time_left() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let mut kept = proxy.client();
    assert_eq!(kept.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    proxy.signal("STOP");
    let mut queued = proxy.client();
    for client in [&mut kept, &mut queued] {
        client.send(&pay_request(3.0));
    }
    std::thread::sleep(SUSPENSION);
    proxy.signal("CONT");
    for client in [&mut kept, &mut queued] {
        assert_eq!(client.answer().expect("a response").status(), 200);
        let time_left = forwarded_time_left(&backend);
        assert!(time_left <= 3.0 - SUSPENSION.as_secs_f64() + RESOLUTION_S, "{time_left} s");
        assert!(time_left > 1.0, "{time_left} s: more than the wait was subtracted");
    }
}

/// Guards against sending a request whose time ran out in the queue: the backend's work would be wasted.
#[test]
fn request_that_expires_in_the_accept_queue_is_not_sent() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    proxy.signal("STOP");
    let (mut late, mut in_time) = (proxy.client(), proxy.client());
    late.send(&pay_request(0.3));
    in_time.send(&pay_request(3.0));
    std::thread::sleep(SUSPENSION);
    proxy.signal("CONT");
    assert_eq!(in_time.answer().expect("a response").status(), 200);
    assert!(late.answer().expect("a response").status() >= 500);
    assert_eq!(backend.request_count(), 1, "only the request with time left is sent");
}
