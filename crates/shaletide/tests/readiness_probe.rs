//! The readiness probe: what the log says of one that is not answered with 200.

mod harness;

use harness::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the log says of a probe that was not answered with 200.
const NOT_READY: &str = "readiness probe rejected";
/// Such lines are at least this far apart.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// What the log says where no probe was answered.
const UNPROBED: &str = "start: no readiness probe has been answered so far";
/// That line comes by then.
const REPORT_LIMIT: Duration = Duration::from_secs(7);
/// Descriptors of a process that has few places for clients: under half as many.
const FEW_DESCRIPTORS: u32 = 128;
/// Probes that are sent at once.
const BURST: usize = 20;

/// Guards against a process that its front takes for not ready, and whose log does not say why.
#[test]
fn rejected_readiness_probes_leave_one_line_a_second_with_status_and_reason() {
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

/// Guards against a log that is filled by probes which are answered as they should be.
#[test]
fn readiness_probes_that_are_answered_leave_no_line_on_a_rejection() {
    let proxy = Proxy::start(&[]);
    for _ in 0..BURST {
        assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
    std::thread::sleep(LOG_INTERVAL);
    assert!(!proxy.log.since(0).iter().any(|line| line.contains(NOT_READY)));
}

/// Guards against a process whose front's probes are not accepted, as other clients hold all places, and whose log does not
/// say so.
#[test]
fn log_names_the_crowd_that_keeps_the_first_probe_from_being_accepted() {
    let gate = Arc::new(Gate::default());
    let waiting = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(waiting.clone()));
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

/// Guards against a start to which no probe comes, or none that is read, and whose log shows no difference to others.
#[test]
fn start_without_a_probe_says_once_after_five_seconds_which_connections_came() {
    let proxy = Proxy::start(&[]);
    let begun = Instant::now();
    let _idle = [proxy.client(), proxy.client()];
    let (at, line) = proxy.log.wait(0, |line| line.contains(UNPROBED)).expect("a line on it");
    assert!(line.contains("2 connections accepted"), "{line}");
    assert!(begun.elapsed() < REPORT_LIMIT, "{:?}", begun.elapsed());
    proxy.log.expect(at, "failed system calls"); // the line of counts, and the next one
    proxy.log.expect(proxy.log.len(), "failed system calls");
    assert!(!proxy.log.since(at + 1).iter().any(|line| line.contains(UNPROBED)));
}
