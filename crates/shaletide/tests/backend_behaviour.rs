//! Unusual but valid behaviour of backends behind `shaletide serve`: their responses are forwarded unchanged, and no
//! request is sent twice.

mod harness;

use harness::*;
use std::time::Duration;

const REQUESTS: usize = 300;

fn fleet(idle: Duration) -> Fleet {
    let spec = BackendSpec { idle_timeout: idle, ..BackendSpec::new("odd", CpuCapacity::warm(4, 1.0)) };
    Fleet::start(vec![spec]).expect("a backend")
}

fn start_proxy(fleet: &Fleet, settings: &str) -> ServingProgram {
    let text = format!(
        "{settings}[[class]]\nname = \"read\"\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n[[pool]]\nname = \"odd\"\n\
         boxes = [\"{}\"]\n",
        fleet.backends()[0].address
    );
    program().serve(&text)
}

fn send_request(client: &mut Client, request_line: &str, id: usize, body: &str, bodiless: bool) -> Message {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    client.send(&format!(
        "{request_line} HTTP/1.1\r\nHost: odd\r\nX-Correlation-Id: h{id}\r\n{length}\r\n{body}"
    ));
    let answer = if bodiless { Message::read_head(&mut client.0) } else { client.answer() };
    answer.unwrap_or_else(|| panic!("no complete response to {request_line}"))
}

/// Sends [`REQUESTS`] GETs one after the other. Checks that each response has the body of its own request, and that the
/// backend received each request once.
fn check_sequential_requests(fleet: &Fleet, proxy: &RunningProgram) {
    let mut client = proxy.client();
    for id in 0..REQUESTS {
        let answer = send_request(&mut client, "GET /read/1", id, "", false);
        assert_eq!(answer.status(), 200, "request {id}");
        assert!(answer.body.starts_with(format!("odd h{id}\n").as_bytes()), "request {id}: wrong body");
    }
    assert_eq!(fleet.backends()[0].stats().requests, REQUESTS as u64);
}

#[test]
fn fragmented_responses_are_served_once() {
    for sending in [Sending::TwoSegments, Sending::Drip(Duration::from_millis(2))] {
        let fleet = fleet(Duration::from_secs(60));
        fleet.backends()[0].set_fault(Fault::Send(sending));
        check_sequential_requests(&fleet, &start_proxy(&fleet, ""));
    }
}

#[test]
fn backend_that_closes_after_each_response_serves_each_request_once() {
    for announced in [true, false] {
        let fleet = fleet(Duration::from_secs(60));
        fleet.backends()[0].set_fault(Fault::Close(announced));
        check_sequential_requests(&fleet, &start_proxy(&fleet, ""));
    }
}

#[test]
fn bodyless_responses_and_unusual_statuses_are_forwarded_unchanged() {
    let fleet = fleet(Duration::from_secs(60));
    let proxy = start_proxy(&fleet, "");
    let mut client = proxy.client();
    for (n, status) in [204, 304, 206, 404, 422].into_iter().enumerate() {
        fleet.backends()[0].set_fault(Fault::Answer(Answer::status(status).with("X-Odd", "so")));
        let answer = send_request(&mut client, "GET /read/1", n, "", matches!(status, 204 | 304));
        assert_eq!((answer.status(), answer.header("x-odd")), (status, Some("so")));
    }
    fleet.backends()[0].set_fault(Fault::Answer(Answer::status(200)));
    let head = send_request(&mut client, "HEAD /read/1", 90, "", true);
    assert!(head.status() == 200 && head.header("content-length").is_some());
    for (n, status) in [201, 422].into_iter().enumerate() {
        fleet.backends()[0].set_fault(Fault::Answer(Answer::status(status).body("got cash")));
        let answer = send_request(&mut client, "POST /pay/1", 100 + n, "cash", false);
        assert_eq!((answer.status(), &answer.body[..]), (status, &b"got cash"[..]));
    }
    assert_eq!(fleet.backends()[0].stats().requests, 8, "each request is sent once");
}

/// Guards against a failed request on a connection that its backend closes: with `idle_timeout` set to the backend's own
/// idle timeout, no connection is used that may be about to close.
#[test]
fn connections_near_backends_idle_timeout_are_not_used() {
    let fleet = fleet(Duration::from_millis(200));
    let proxy = start_proxy(&fleet, "[limits]\nidle_timeout = \"200ms\"\n");
    let mut client = proxy.client();
    for (id, pause) in (0..15).map(|n| (n, 100 + 10 * n as u64)) {
        let answer = send_request(&mut client, "POST /pay/1", id, "cash", false);
        assert_eq!(answer.status(), 200, "before a pause of {pause} ms");
        std::thread::sleep(Duration::from_millis(pause));
    }
    assert_eq!(fleet.backends()[0].stats().requests, 15);
}
