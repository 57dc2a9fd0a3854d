//! The links on loopback sockets: what each fault does at the other end, by counts and order, never by speed.

mod datagrams;
mod mesh;
mod streams;

use shaletide_lab::links::{Fault, Links};
use shaletide_testkit::{Clock, WAIT_LIMIT};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};

/// An address of the tests' own, besides 127.0.0.1.
const HERE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 7, 0, 1));

fn links() -> Links {
    Links::start(Clock::start(), 7).unwrap()
}

fn lossy() -> Fault {
    Fault { loss: 0.2, ..Fault::default() }
}

/// Asks until it is so; ends a test that would hang.
fn until(what: &str, mut so: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !so() {
        assert!(began.elapsed() < WAIT_LIMIT, "never came: {what}");
        std::thread::yield_now();
    }
}

fn udp() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((HERE, 0)).unwrap();
    socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((HERE, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A connection through a link: its end at the client and its end at the target.
fn connect(link: SocketAddr, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(link).unwrap();
    let (target, _) = listener.accept().unwrap();
    for stream in [&client, &target] {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    }
    (client, target)
}

#[test]
fn round_trips_are_measured_by_turns_and_none_takes_no_time() {
    let added = shaletide_lab::links::measure::added(100).unwrap();
    assert_eq!(
        added.iter().map(|line| line.kind).collect::<Vec<_>>(),
        ["TCP, clean link", "UDP, clean link"]
    );
    for line in added {
        assert!(line.direct.p50_us > 0.0 && line.link.p50_us > 0.0, "{line:?}");
        assert!(line.link.p99_us >= line.link.p50_us, "{line:?}");
    }
}
