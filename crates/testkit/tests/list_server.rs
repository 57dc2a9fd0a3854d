//! Discovery that works, asked over sockets.

use shaletide_testkit::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn server() -> ListServer {
    let address = "127.0.0.1:9".parse().unwrap();
    let entries = ["a", "b"].map(|name| Entry::new(name, address, "east", "big", 1)).to_vec();
    ListServer::start(Clock::start(), &["n0", "n1"], entries).expect("a discovery on loopback")
}

fn call(after: u64, wait_ms: u64) -> String {
    format!("GET /api/targets?after={after}&wait_ms={wait_ms} HTTP/1.1\r\nHost: d\r\n\r\n")
}

const WHOLE: &str = "GET /api/targets HTTP/1.1\r\nHost: d\r\n\r\n";

fn text(answer: Message) -> String {
    assert_eq!(answer.status(), 200);
    String::from_utf8(answer.body).unwrap()
}

#[test]
fn each_watcher_is_told_its_own_addresses_and_calls_are_counted() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let entries = ["a", "b"].map(|name| Entry::new(name, address(9), "east", "big", 1)).to_vec();
    let views = vec![View::from([("a".into(), address(10))]), View::new()];
    let server = ListServer::with_views(Clock::start(), &["n0", "n1"], entries, views).expect("a discovery");
    let said = |watcher| text(Client::connect(server.address(watcher)).request(WHOLE));
    let (first, second) = (said(0), said(1));
    assert!(first.contains("127.0.0.1:10") && first.contains("127.0.0.1:9"), "{first}");
    assert!(!second.contains("127.0.0.1:10"), "{second}");
    assert_eq!(server.calls(), 2);
}

#[test]
fn a_watch_waits_for_a_change_and_the_telling_is_recorded() {
    let server = server();
    let mut client = Client::connect(server.address(0));
    assert!(text(client.request(WHOLE)).contains(r#""snapshot":true"#));
    client.send(&call(1, 60_000));
    let changed = server.drain("a");
    let answer = text(client.answer().expect("the change"));
    assert!(answer.contains("DRAINING") && answer.contains(r#""index":2"#), "{answer}");
    assert_eq!((changed, server.drained().len()), (2, 0), "the other watcher has not asked");
    assert_eq!(text(Client::connect(server.address(1)).request(&call(1, 0))), answer);
    assert!(server.wait_delivered(changed));
    let told = server.deliveries();
    let last = told.last().expect("a telling");
    assert_eq!((last.watcher, &last.name[..], last.status, last.index), (1, "a", Status::Draining, 2));
    let drained = checks::Drained { name: "a".into(), delivered_at: last.at };
    assert_eq!(server.drained(), [drained]);
}

#[test]
fn a_watch_with_no_news_ends_after_its_time() {
    let server = server();
    let begun = Instant::now();
    let answer = text(Client::connect(server.address(0)).request(&call(1, 60)));
    assert!(begun.elapsed() >= Duration::from_millis(60) && answer.contains(r#""endpoints":[]"#), "{answer}");
}

#[test]
fn a_service_that_goes_down_ends_its_watches() {
    let server = server();
    let mut client = Client::connect(server.address(0));
    client.request(WHOLE);
    client.send(&call(1, 60_000));
    server.set_service(ListService::Failing);
    assert_eq!(client.answer().expect("a failure").status(), 503);
    server.set_service(ListService::Silent);
    client.send(&call(1, 60_000));
    let changed = server.delete("b");
    server.set_service(ListService::Up);
    assert!(text(client.answer().expect("the change")).contains("DELETED"));
    assert_eq!(changed, 2);
    server.set_service(ListService::Broken);
    client.send(WHOLE);
    assert!(client.answer().is_none() && client.is_closed());
    assert_eq!(Client::connect(server.address(0)).request("GET /else HTTP/1.1\r\n\r\n").status(), 404);
}

#[test]
fn a_gap_gets_the_whole_list() {
    let server = server();
    server.put(Entry::new("c", server.address(0), "west", "small", 2));
    server.compact();
    let mut client = Client::connect(server.address(0));
    for after in [1, 40] {
        assert!(text(client.request(&call(after, 60_000))).contains(r#""snapshot":true"#), "{after}");
    }
}
