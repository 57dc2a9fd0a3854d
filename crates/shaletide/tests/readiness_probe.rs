//! Log lines about readiness probes that are rejected or not received.

mod harness;

use harness::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the log line on a probe that was not answered with 200.
const NOT_READY: &str = "readiness probe rejected";
/// The shortest time between two such lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the log line on a start after which no probe was answered.
const UNPROBED: &str = "start: no readiness probe has been answered so far";
/// The time after the start by which that line is written.
const REPORT_LIMIT: Duration = Duration::from_secs(7);
/// A descriptor limit that leaves few places for clients: fewer than half of it.
const FEW_DESCRIPTORS: u32 = 128;
/// The number of probes that are sent one right after the other.
const BURST: usize = 20;

/// Guards against a process that the front end considers not ready while its log gives no reason.
#[test]
fn rejected_readiness_probes_are_logged_once_a_second_with_status_and_reason() {
    let proxy = Proxy::start(&[]);
    let wrong_method = "POST /-/ready HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..BURST {
        assert_eq!(proxy.request(wrong_method).status(), 405);
    }
    let line = proxy.log.expect(0, NOT_READY);
    assert!(line.contains("405") && line.contains("GET"), "{line}");
    let rejections = || proxy.log.since(0).iter().filter(|line| line.contains(NOT_READY)).count();
    std::thread::sleep(LOG_INTERVAL + Duration::from_millis(100));
    assert!(rejections() <= 2, "{} lines", rejections());
    let from = proxy.log.len();
    assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\n\r\n").status(), 400);
    let line = proxy.log.expect(from, NOT_READY);
    assert!(line.contains("400") && line.contains("Host"), "{line}");
}

/// Guards against a log that is filled by successful probes.
#[test]
fn successful_readiness_probes_are_not_logged_as_rejected() {
    let proxy = Proxy::start(&[]);
    for _ in 0..BURST {
        assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
    std::thread::sleep(LOG_INTERVAL);
    assert!(!proxy.log.since(0).iter().any(|line| line.contains(NOT_READY)));
}

/// Guards against a process whose log does not say that probes are not accepted because other clients hold all connection
/// places.
#[test]
fn log_counts_the_connections_that_keep_the_first_probe_from_being_accepted() {
    let gate = Arc::new(Gate::default());
    let gate_of_backend = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(gate_of_backend.clone()));
    let proxy = Proxy::start_with_settings(
        &[endpoint_json("b0", backend.address, "SERVING")],
        FEW_DESCRIPTORS,
        SETTINGS,
    );
    let clients: Vec<Client> = (0..FEW_DESCRIPTORS)
        .map(|_| {
            let mut client = proxy.client();
            client.send(&pay_request(3.0));
            client
        })
        .collect();
    let line = proxy.log.expect(0, "not ready: no connection can be accepted");
    assert!(line.contains("connections are in use, 0 of them without a complete request"), "{line}");
    gate.open();
    drop(clients);
}

/// Guards against a start whose log does not show that no probe arrived or that none was read.
#[test]
fn start_without_a_probe_logs_the_accepted_connections_once_after_five_seconds() {
    let proxy = Proxy::start(&[]);
    let begun = Instant::now();
    let _idle = [proxy.client(), proxy.client()];
    let (at, line) = proxy.log.wait(0, |line| line.contains(UNPROBED)).expect("a line on it");
    assert!(line.contains("2 connections accepted"), "{line}");
    assert!(begun.elapsed() < REPORT_LIMIT, "{:?}", begun.elapsed());
    proxy.log.expect(at, "failed system calls"); // the periodic line of counters, and the next one
    proxy.log.expect(proxy.log.len(), "failed system calls");
    assert!(!proxy.log.since(at + 1).iter().any(|line| line.contains(UNPROBED)));
}
