//! Requests that wait in the kernel while the program does not come round to them: that time is part of theirs.

mod harness;

use harness::*;
use std::time::Duration;

/// So long the program stands still while requests wait.
const WAIT: Duration = Duration::from_millis(600);
/// The kernel's clock moves on in steps, and the proxy keeps a little of the time for its answer's way.
const RESOLUTION_S: f64 = 0.05;

fn time_left_told(backend: &BackendServer) -> f64 {
    let request = backend.next_request();
    request.header("x-time-left").expect("time left").parse().expect("a number")
}

/// A connection in the accept queue, and one that has been accepted before.
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
    std::thread::sleep(WAIT);
    proxy.signal("CONT");
    for client in [&mut kept, &mut queued] {
        assert_eq!(client.answer().expect("its answer").status(), 200);
        let told = time_left_told(&backend);
        assert!(told <= 3.0 - WAIT.as_secs_f64() + RESOLUTION_S, "{told} s");
        assert!(told > 1.0, "{told} s: no more than what it waited");
    }
}

/// A request whose time ran out in the queue is answered and not sent: the backend would work for nobody.
#[test]
fn request_that_ran_out_of_time_in_the_accept_queue_is_not_sent() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    proxy.signal("STOP");
    let (mut late, mut in_time) = (proxy.client(), proxy.client());
    late.send(&pay_request(0.3));
    in_time.send(&pay_request(3.0));
    std::thread::sleep(WAIT);
    proxy.signal("CONT");
    assert_eq!(in_time.answer().expect("its answer").status(), 200);
    assert!(late.answer().expect("its answer").status() >= 500);
    assert_eq!(backend.request_count(), 1, "sent for the one in time alone");
}
