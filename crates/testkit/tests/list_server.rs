//! Tests of `ListServer` over sockets.

use shaletide_testkit::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn server() -> ListServer {
    let address = "127.0.0.1:9".parse().unwrap();
    let entries = ["a", "b"].map(|name| Entry::new(name, address, "east", "big", 1)).to_vec();
    ListServer::start(Clock::start(), &["n0", "n1"], entries).expect("a discovery on loopback")
}

fn long_poll(after: u64, wait_ms: u64) -> String {
    format!("GET /api/targets?after={after}&wait_ms={wait_ms} HTTP/1.1\r\nHost: d\r\n\r\n")
}

const LIST_REQUEST: &str = "GET /api/targets HTTP/1.1\r\nHost: d\r\n\r\n";

fn body_text(answer: Message) -> String {
    assert_eq!(answer.status(), 200);
    String::from_utf8(answer.body).unwrap()
}

#[test]
fn each_watcher_receives_its_own_addresses_and_calls_are_counted() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let entries = ["a", "b"].map(|name| Entry::new(name, address(9), "east", "big", 1)).to_vec();
    let views = vec![View::from([("a".into(), address(10))]), View::new()];
    let server = ListServer::with_views(Clock::start(), &["n0", "n1"], entries, views).expect("a discovery");
    let list_for = |watcher| body_text(Client::connect(server.address(watcher)).request(LIST_REQUEST));
    let (first, second) = (list_for(0), list_for(1));
    assert!(first.contains("127.0.0.1:10") && first.contains("127.0.0.1:9"), "{first}");
    assert!(!second.contains("127.0.0.1:10"), "{second}");
    assert_eq!(server.calls(), 2);
}

#[test]
fn long_poll_waits_for_a_change_and_its_delivery_is_recorded() {
    let server = server();
    let mut client = Client::connect(server.address(0));
    assert!(body_text(client.request(LIST_REQUEST)).contains(r#""snapshot":true"#));
    client.send(&long_poll(1, 60_000));
    let changed = server.drain("a");
    let answer = body_text(client.answer().expect("the change"));
    assert!(answer.contains("DRAINING") && answer.contains(r#""index":2"#), "{answer}");
    assert_eq!((changed, server.drained().len()), (2, 0), "the other watcher has not received it");
    assert_eq!(body_text(Client::connect(server.address(1)).request(&long_poll(1, 0))), answer);
    assert!(server.wait_delivered(changed));
    let deliveries = server.deliveries();
    let last = deliveries.last().expect("a delivery");
    assert_eq!((last.watcher, &last.name[..], last.status, last.index), (1, "a", Status::Draining, 2));
    let drained = checks::Drained { name: "a".into(), delivered_at: last.at };
    assert_eq!(server.drained(), [drained]);
}

#[test]
fn long_poll_without_a_change_ends_after_its_wait() {
    let server = server();
    let start = Instant::now();
    let answer = body_text(Client::connect(server.address(0)).request(&long_poll(1, 60)));
    assert!(start.elapsed() >= Duration::from_millis(60) && answer.contains(r#""endpoints":[]"#), "{answer}");
}

#[test]
fn failing_service_ends_waiting_long_polls() {
    let server = server();
    let mut client = Client::connect(server.address(0));
    client.request(LIST_REQUEST);
    client.send(&long_poll(1, 60_000));
    server.set_service(ListService::Failing);
    assert_eq!(client.answer().expect("a failure").status(), 503);
    server.set_service(ListService::Silent);
    client.send(&long_poll(1, 60_000));
    let changed = server.delete("b");
    server.set_service(ListService::Up);
    assert!(body_text(client.answer().expect("the change")).contains("DELETED"));
    assert_eq!(changed, 2);
    server.set_service(ListService::Broken);
    client.send(LIST_REQUEST);
    assert!(client.answer().is_none() && client.is_closed());
    assert_eq!(Client::connect(server.address(0)).request("GET /else HTTP/1.1\r\n\r\n").status(), 404);
}

#[test]
fn compacted_or_unknown_version_gets_a_snapshot() {
    let server = server();
    server.put(Entry::new("c", server.address(0), "west", "small", 2));
    server.compact();
    let mut client = Client::connect(server.address(0));
    for after in [1, 40] {
        assert!(
            body_text(client.request(&long_poll(after, 60_000))).contains(r#""snapshot":true"#),
            "{after}"
        );
    }
}
