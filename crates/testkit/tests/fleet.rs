//! Tests of the backends of a `Fleet` over sockets: what they serve, how they fail and what they record.

use shaletide_testkit::*;
use shaletide_types::Micros;
use std::io::Read;
use std::time::{Duration, Instant};

fn fleet(backends: Vec<BackendSpec>) -> Fleet {
    Fleet::start(backends).expect("a fleet on loopback")
}

fn single_backend(spec: BackendSpec) -> (Fleet, BackendHandle) {
    let fleet = fleet(vec![spec]);
    let handle = fleet.backends()[0].clone();
    (fleet, handle)
}

fn two_core_spec() -> BackendSpec {
    BackendSpec::new("b0", CpuCapacity::warm(2, 1.0))
}

/// Starts a fleet of one backend whose requests need `work_ms` of work.
fn single_backend_with_work(spec: BackendSpec, work_ms: f64) -> (Fleet, BackendHandle) {
    let services = vec![Service::new("", Distribution::Fixed(work_ms))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(vec![spec]) }).expect("a fleet");
    let handle = fleet.backends()[0].clone();
    (fleet, handle)
}

fn ends(fleet: &Fleet) -> Vec<Option<Ended>> {
    fleet.ledger().records.iter().map(|r| r.ended.map(|(_, how)| how)).collect()
}

#[test]
fn backend_answers_with_its_name_and_the_request_id_and_records_the_request() {
    let (fleet, handle) = single_backend(two_core_spec());
    let mut client = Client::connect(handle.address);
    let answer =
        client.request("POST /pay/k HTTP/1.1\r\nX-Correlation-Id: 7\r\nContent-Length: 4\r\n\r\ncash");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"b0 7\n"[..]));
    client.request("GET /read/k?q HTTP/1.1\r\nX-Correlation-Id: 8\r\n\r\n");
    client.request(
        "POST /vote HTTP/1.1\r\nX-Correlation-Id: 9\r\nIdempotency-Key: k9\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(
        client.request("GET /-/healthy HTTP/1.1\r\n\r\n").status(),
        200,
        "calls under /-/ are not recorded"
    );
    let ledger = fleet.ledger();
    let recorded = ledger.records.iter().map(|r| (&*r.id, &*r.class, r.key.as_deref(), r.repeat));
    let expected = [
        ("7", "pay", None, Repeat::Unsafe),
        ("8", "read", None, Repeat::Safe),
        ("9", "vote", Some("k9"), Repeat::Keyed),
    ];
    assert!(recorded.eq(expected), "{:?}", ledger.records);
    assert_eq!(ledger.count(None, Ended::Served), 3);
    let expected = BackendStats { connections: 1, open: 1, requests: 3, ended: 3 };
    assert_eq!(handle.stats(), expected);
}

/// Four equal requests on one core end together after the time for the work of all four.
#[test]
fn concurrent_requests_share_the_cores() {
    let (_fleet, handle) = single_backend_with_work(BackendSpec::new("b0", CpuCapacity::warm(1, 2.0)), 60.0);
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(handle.address)).collect();
    for client in &mut clients {
        client.send(&read_request(3.0));
    }
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(119) && took < Duration::from_millis(400), "{took:?}");
}

#[test]
fn full_backend_rejects_requests_as_not_executed() {
    let (fleet, handle) =
        single_backend_with_work(BackendSpec { slots: 1, queue: 1, ..two_core_spec() }, 100.0);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(handle.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&pay_request(3.0));
        assert!(handle.wait_for_stats(|stats| stats.requests == n as u64 + 1));
    }
    let rejection = clients[2].answer().expect("an answer");
    assert_eq!((rejection.status(), rejection.header("x-unprocessed")), (503, Some("1")));
    assert_eq!(clients[0].answer().expect("an answer").status(), 200);
    assert_eq!(clients[1].answer().expect("an answer").status(), 200);
    let expected = [Ended::Served, Ended::Served, Ended::TurnedAway].map(Some);
    assert_eq!(ends(&fleet), expected);
}

#[test]
fn work_of_a_new_connection_takes_a_slot() {
    let spec = BackendSpec { slots: 1, queue: 0, handshake_ms: 60_000.0, ..two_core_spec() };
    let (_fleet, handle) = single_backend_with_work(spec, 1.0);
    let mut client = Client::connect(handle.address);
    assert!(handle.wait_for_stats(|stats| stats.connections == 1));
    assert_eq!(client.request("GET /read/k HTTP/1.1\r\n\r\n").status(), 503);
}

#[test]
fn congestion_slows_down_the_requests_that_caused_it() {
    let congestion = Some(CongestionConfig { in_flight_threshold: 3.0, slowdown: 1e6 });
    let (fleet, handle) = single_backend_with_work(BackendSpec { congestion, ..two_core_spec() }, 1_000.0);
    let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(handle.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&pay_request(3.0)));
    assert!(handle.wait_for_stats(|stats| stats.requests == 8));
    // Without congestion all requests would be served after 4 s.
    std::thread::sleep(Duration::from_millis(4_500));
    assert!(ends(&fleet).iter().all(Option::is_none));
}

#[test]
fn request_of_a_closed_connection_is_cancelled() {
    let (fleet, handle) = single_backend_with_work(BackendSpec { slots: 1, ..two_core_spec() }, 60_000.0);
    let mut client = Client::connect(handle.address);
    client.send(&pay_request(3.0));
    assert!(handle.wait_for_stats(|stats| stats.requests == 1));
    drop(client);
    assert!(handle.wait_for_stats(|stats| stats.ended == 1 && stats.open == 0));
    assert_eq!(ends(&fleet), [Some(Ended::Cancelled)]);
}

#[test]
fn faults_fail_or_reset_a_fraction_of_the_requests() {
    let (fleet, handle) = single_backend(two_core_spec());
    handle.set_fault(Fault::Fail(0.5));
    let mut client = Client::connect(handle.address);
    let failed = (0..100).filter(|_| client.request(&read_request(3.0)).status() == 500).count();
    assert!((25..75).contains(&failed), "{failed}");
    handle.set_fault(Fault::Cleared);
    handle.set_fault(Fault::FailClass("pay".into(), 1.0));
    assert_eq!(
        (client.request(&pay_request(3.0)).status(), client.request(&read_request(3.0)).status()),
        (500, 200)
    );
    handle.set_fault(Fault::Reset(1.0));
    client.send(&read_request(3.0));
    assert!(client.answer().is_none() && client.is_closed());
    let ledger = fleet.ledger();
    assert_eq!((ledger.count(None, Ended::Failed), ledger.count(Some(0), Ended::Reset)), (failed + 1, 1));
}

#[test]
fn hung_backend_reads_requests_and_sends_nothing() {
    let (fleet, handle) = single_backend(two_core_spec());
    handle.set_fault(Fault::Hang(1.0));
    let mut client = Client::connect(handle.address);
    client.send(&read_request(3.0));
    assert!(handle.wait_for_stats(|stats| stats.requests == 1));
    client.0.get_ref().set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(client.answer().is_none());
    drop(client);
    assert!(handle.wait_for_stats(|stats| stats.ended == 1));
    assert_eq!(ends(&fleet), [Some(Ended::Hung)]);
}

#[test]
fn backend_refuses_connections_and_accepts_them_again_at_the_same_address() {
    let (_fleet, handle) = single_backend(two_core_spec());
    let mut kept = Client::connect(handle.address);
    assert_eq!(kept.request(&read_request(3.0)).status(), 200);
    for _ in 0..3 {
        handle.set_fault(Fault::Refuse);
        assert!(std::net::TcpStream::connect(handle.address).is_err());
        assert_eq!(
            kept.request(&read_request(3.0)).status(),
            200,
            "established connections are not affected"
        );
        handle.set_fault(Fault::Accept);
        assert_eq!(Client::connect(handle.address).request(&read_request(3.0)).status(), 200);
    }
}

/// The work takes 20 ms on a warm backend and ten times as long at a tenth of the speed.
#[test]
fn killed_backend_restarts_cold_at_the_same_address() {
    let cpu_capacity =
        CpuCapacity { cores: 1, speed: 1.0, initial_capacity_fraction: 0.1, ramp: Micros(60_000_000) };
    let (fleet, handle) = single_backend_with_work(BackendSpec::new("b0", cpu_capacity), 20.0);
    let mut client = Client::connect(handle.address);
    assert_eq!(client.request(&read_request(3.0)).status(), 200);
    handle.set_fault(Fault::Slow(1e6));
    client.send(&pay_request(3.0));
    assert!(handle.wait_for_stats(|stats| stats.requests == 2));
    let died = handle.kill();
    assert!(matches!(client.0.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset));
    assert_eq!(handle.kill(), died);
    handle.set_fault(Fault::Cleared);
    assert!(std::net::TcpStream::connect(handle.address).is_err(), "clearing faults restarts no backend");
    let restarted = handle.restart();
    let start = Instant::now();
    assert_eq!(Client::connect(handle.address).request(&read_request(3.0)).status(), 200);
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(180) && took < Duration::from_secs(2), "{took:?}");
    let mut client = Client::connect(handle.address);
    handle.set_fault(Fault::Slow(1e6));
    client.send(&read_request(3.0));
    assert!(handle.wait_for_stats(|stats| stats.requests == 4));
    drop(client);
    assert!(handle.wait_for_stats(|stats| stats.ended == 4));
    let ledger = fleet.ledger();
    let expected = [Ended::Served, Ended::BoxDied, Ended::Served, Ended::Cancelled];
    assert_eq!(ends(&fleet), expected.map(Some));
    let boots = [Boot { at: None, died: Some(died) }, Boot { at: Some(restarted), died: None }];
    assert_eq!(ledger.backends[0].boots, boots);
    assert_eq!(ledger.records.iter().map(|r| r.boot).collect::<Vec<_>>(), [0, 0, 1, 1]);
}

#[test]
fn slow_backend_is_slow_until_the_fault_is_changed() {
    let (_fleet, handle) = single_backend_with_work(two_core_spec(), 5.0);
    let mut client = Client::connect(handle.address);
    handle.set_fault(Fault::Slow(20.0));
    let start = Instant::now();
    client.request(&read_request(3.0));
    assert!(start.elapsed() >= Duration::from_millis(99));
    handle.set_fault(Fault::Slow(1e6));
    client.send(&read_request(3.0));
    assert!(handle.wait_for_stats(|stats| stats.requests == 2));
    handle.set_fault(Fault::Slow(1.0));
    assert_eq!(client.answer().expect("an answer, as the slowdown has ended").status(), 200);
}

#[test]
fn draining_backend_takes_requests_during_its_grace_and_rejects_them_after_it() {
    let (fleet, handle) = single_backend_with_work(
        BackendSpec { drain_grace: Duration::from_millis(400), ..two_core_spec() },
        1.0,
    );
    let since = handle.drain();
    let mut client = Client::connect(handle.address);
    assert_eq!(client.request(&pay_request(3.0)).status(), 200);
    while fleet.clock().now() <= since + Micros(401_000) {
        std::thread::yield_now();
    }
    assert_eq!(client.request(&pay_request(3.0)).status(), 503);
    let ledger = fleet.ledger();
    assert_eq!(ends(&fleet), [Ended::Served, Ended::TurnedAway].map(Some));
    assert!(ledger.records.iter().all(|r| r.draining == Some(since)));
    let drained = [checks::Drained { name: "b0".into(), delivered_at: since }];
    assert_eq!(checks::no_requests_after_drain(&ledger, &drained, Micros(400_000)).len(), 1);
    handle.set_fault(Fault::Cleared);
    assert_eq!(client.request(&pay_request(3.0)).status(), 200);
}

#[test]
fn answers_have_the_status_headers_and_body_that_were_set() {
    let (_fleet, handle) = single_backend(two_core_spec());
    let mut client = Client::connect(handle.address);
    for status in [201, 302, 404, 422, 204, 304] {
        handle.set_fault(Fault::Answer(Answer::status(status).with("Location", "/x").body("told")));
        let answer = client.request(&read_request(3.0));
        let body = if matches!(status, 204 | 304) { "" } else { "told" };
        assert_eq!((answer.status(), answer.header("location")), (status, Some("/x")));
        assert_eq!(answer.body, body.as_bytes());
    }
    handle.set_fault(Fault::Cleared);
    handle.set_fault(Fault::Close(false));
    client.send("HEAD /read/k HTTP/1.1\r\nX-Correlation-Id: 1\r\n\r\n");
    let mut text = String::new();
    client.0.read_to_string(&mut text).unwrap();
    assert_eq!(text, "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n");
}

#[test]
fn connections_close_after_an_answer_with_or_without_announcement() {
    let (_fleet, handle) = single_backend(two_core_spec());
    for announced in [true, false] {
        handle.set_fault(Fault::Close(announced));
        let mut client = Client::connect(handle.address);
        let answer = client.request(&read_request(3.0));
        assert_eq!(answer.header("connection").is_some(), announced);
        assert!(client.is_closed());
    }
    handle.set_fault(Fault::Keep);
    let mut client = Client::connect(handle.address);
    assert_eq!(
        (client.request(&read_request(3.0)).status(), client.request(&read_request(3.0)).status()),
        (200, 200)
    );
    assert_eq!(handle.stats().connections, 3);
}

/// An answer without a length ends with its connection: whole and in order, or in part and by a reset.
#[test]
fn answers_without_a_length_end_with_their_connection() {
    let (fleet, handle) = single_backend(two_core_spec());
    for (sending, ends_in_order) in [(Sending::UntilClose, true), (Sending::UntilReset, false)] {
        handle.set_fault(Fault::Send(sending));
        let mut client = Client::connect(handle.address);
        client.send(&read_request(3.0));
        let head = Message::read_head(&mut client.0).expect("a head");
        assert_eq!((head.status(), head.header("content-length")), (200, None));
        let mut body = Vec::new();
        assert_eq!(client.0.read_to_end(&mut body).is_ok(), ends_in_order);
        assert_eq!(body.ends_with(b"\n"), ends_in_order, "the own body ends with a line break");
    }
    assert_eq!(ends(&fleet), [Ended::ServedUntilClose, Ended::Reset].map(Some));
}

#[test]
fn answers_are_sent_in_the_form_that_was_set() {
    let (fleet, handle) = single_backend(two_core_spec());
    let mut client = Client::connect(handle.address);
    handle.set_fault(Fault::Send(Sending::TwoSegments));
    for _ in 0..3 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    handle.set_fault(Fault::Send(Sending::Drip(Duration::from_millis(120))));
    let start = Instant::now();
    assert_eq!(client.request(&read_request(3.0)).status(), 200);
    assert!(start.elapsed() >= Duration::from_millis(120));
    handle.set_fault(Fault::Send(Sending::Raw(vec![b"\x01 no".to_vec(), b" answer".to_vec()])));
    client.send(&read_request(3.0));
    let mut received = [0; 11];
    client.0.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"\x01 no answer");
    assert_eq!(fleet.ledger().records[4].ended.map(|(_, how)| how), Some(Ended::InvalidResponse));
}

#[test]
fn malformed_request_ends_its_connection_only() {
    let (_fleet, handle) = single_backend(BackendSpec {
        idle_timeout: Duration::from_millis(50),
        max_connections: 2,
        ..two_core_spec()
    });
    let mut kept = Client::connect(handle.address);
    for text in ["\u{1}\u{2}\r\nno head\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "GET / HT"]
    {
        let mut client = Client::connect(handle.address);
        client.send(text);
        assert!(client.is_closed(), "{text}");
    }
    assert!(kept.is_closed(), "it exceeded the idle timeout");
    assert!(handle.wait_for_stats(|stats| stats.open == 0));
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(handle.address)).collect();
    assert!(clients[2].is_closed(), "two connections are allowed");
    assert_eq!(clients[0].request(&read_request(3.0)).status(), 200);
}

/// Guards against backends that differ by more than their speed.
#[test]
fn request_needs_the_same_work_at_every_backend() {
    let backends = ["b0", "b1"].map(|name| BackendSpec::new(name, CpuCapacity::warm(1, 1.0))).to_vec();
    let services = vec![Service::new("read", Distribution::Exponential(2.0))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(backends) }).expect("a fleet");
    for id in 0..5 {
        for handle in fleet.backends() {
            let request = format!("GET /read/k HTTP/1.1\r\nX-Correlation-Id: {id}\r\n\r\n");
            assert_eq!(Client::connect(handle.address).request(&request).status(), 200);
        }
    }
    let work: Vec<f64> = fleet.ledger().records.iter().map(|r| r.work_ms).collect();
    assert!(work.chunks(2).all(|pair| pair[0] == pair[1]), "{work:?}");
    assert!(work[0] != work[2], "{work:?}");
}

#[test]
fn dropped_fleet_ends_and_its_handles_have_no_effect() {
    let (fleet, handle) = single_backend(two_core_spec());
    drop(fleet);
    assert!(std::net::TcpStream::connect(handle.address).is_err());
    handle.set_fault(Fault::Cleared);
    handle.kill();
}
