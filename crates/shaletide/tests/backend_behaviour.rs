//! Odd habits of servers, as modes of the stand-in backends behind `shaletide serve`: what they answer passes unchanged,
//! and no request comes to them twice.

mod harness;

use harness::*;
use std::time::Duration;

const IN_TURN: usize = 300;

fn fleet(idle: Duration) -> Fleet {
    let spec = BackendSpec { idle_timeout: idle, ..BackendSpec::new("odd", CpuCapacity::warm(4, 1.0)) };
    Fleet::start(vec![spec]).expect("a box")
}

fn before(fleet: &Fleet, more: &str) -> ServingProgram {
    let text = format!(
        "{more}[[class]]\nname = \"read\"\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n[[pool]]\nname = \"odd\"\n\
         boxes = [\"{}\"]\n",
        fleet.backends()[0].address
    );
    program().serve(&text)
}

fn ask(client: &mut Client, what: &str, id: usize, body: &str, bodiless: bool) -> Message {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    client.send(&format!("{what} HTTP/1.1\r\nHost: odd\r\nX-Correlation-Id: h{id}\r\n{length}\r\n{body}"));
    let answer = if bodiless { Message::read_head(&mut client.0) } else { client.answer() };
    answer.unwrap_or_else(|| panic!("no whole answer to {what}"))
}

/// So many GETs in turn, each served with the backend's own body and come there once.
fn served_in_turn(fleet: &Fleet, proxy: &RunningProgram) {
    let mut client = proxy.client();
    for id in 0..IN_TURN {
        let answer = ask(&mut client, "GET /read/1", id, "", false);
        assert_eq!(answer.status(), 200, "at {id}");
        assert!(answer.body.starts_with(format!("odd h{id}\n").as_bytes()), "at {id}: a wrong body");
    }
    assert_eq!(fleet.backends()[0].stats().requests, IN_TURN as u64);
}

#[test]
fn fragmented_responses_are_served_once() {
    for sending in [Sending::TwoSegments, Sending::Drip(Duration::from_millis(2))] {
        let fleet = fleet(Duration::from_secs(60));
        fleet.backends()[0].set_fault(Fault::Send(sending));
        served_in_turn(&fleet, &before(&fleet, ""));
    }
}

#[test]
fn connections_closed_after_each_response_are_served_from() {
    for says_so in [true, false] {
        let fleet = fleet(Duration::from_secs(60));
        fleet.backends()[0].set_fault(Fault::Close(says_so));
        served_in_turn(&fleet, &before(&fleet, ""));
    }
}

#[test]
fn bodyless_responses_and_unusual_statuses_are_forwarded_unchanged() {
    let fleet = fleet(Duration::from_secs(60));
    let proxy = before(&fleet, "");
    let mut client = proxy.client();
    for (n, status) in [204, 304, 206, 404, 422].into_iter().enumerate() {
        fleet.backends()[0].set_fault(Fault::Answer(Answer::status(status).with("X-Odd", "so")));
        let answer = ask(&mut client, "GET /read/1", n, "", matches!(status, 204 | 304));
        assert_eq!((answer.status(), answer.header("x-odd")), (status, Some("so")));
    }
    fleet.backends()[0].set_fault(Fault::Answer(Answer::status(200)));
    let head = ask(&mut client, "HEAD /read/1", 90, "", true);
    assert!(head.status() == 200 && head.header("content-length").is_some());
    for (n, status) in [201, 422].into_iter().enumerate() {
        fleet.backends()[0].set_fault(Fault::Answer(Answer::status(status).body("got cash")));
        let answer = ask(&mut client, "POST /pay/1", 100 + n, "cash", false);
        assert_eq!((answer.status(), &answer.body[..]), (status, &b"got cash"[..]));
    }
    assert_eq!(fleet.backends()[0].stats().requests, 8, "none came twice");
}

/// Where `idle_timeout` says what the backend's time is, no connection is used that may be about to end.
#[test]
fn connections_near_backends_idle_timeout_are_not_used() {
    let fleet = fleet(Duration::from_millis(200));
    let proxy = before(&fleet, "[limits]\nidle_timeout = \"200ms\"\n");
    let mut client = proxy.client();
    for (id, pause) in (0..15).map(|n| (n, 100 + 10 * n as u64)) {
        let answer = ask(&mut client, "POST /pay/1", id, "cash", false);
        assert_eq!(answer.status(), 200, "before {pause} ms");
        std::thread::sleep(Duration::from_millis(pause));
    }
    assert_eq!(fleet.backends()[0].stats().requests, 15);
}
