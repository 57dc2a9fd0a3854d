//! Starts whose standard error accepts no more bytes, because its socket is full and nobody reads.

mod harness;

use harness::start::*;
use harness::*;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

/// The time within which a start that fails has ended.
const END_LIMIT: Duration = Duration::from_secs(6);
/// The time within which a successful start is ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// The interval between checks for readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Guards against a failed start that never exits because its error message is not read: the platform would wait for a
/// process that will never serve.
#[test]
fn start_that_fails_while_standard_error_is_full_ends_with_its_status() {
    let (_reader, writer) = full_socket();
    let mut command = program_command(Some("{}"));
    command.stderr(OwnedFd::from(writer));
    let mut process = KilledOnDrop(command.spawn().unwrap());
    let status = ends_within(&mut process.0, END_LIMIT).expect("the process ends within the limit");
    assert_eq!(status.code(), Some(2));
}

/// Guards against a start that waits for its log to be read.
#[test]
fn start_while_standard_error_is_full_becomes_ready() {
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let configuration = platform_configuration(&discovery, &listener);
    let (_reader, writer) = full_socket();
    let mut command = program_command(Some(&configuration));
    command.stderr(OwnedFd::from(writer));
    let _process = KilledOnDrop(command.spawn().unwrap());
    let begun = Instant::now();
    while std::net::TcpStream::connect(listener.address()).is_err() && begun.elapsed() < READY_LIMIT {
        std::thread::sleep(POLL_INTERVAL);
    }
    let mut client = Client::connect(listener.address());
    assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
}
