//! The last response on a connection is delivered complete, whatever its client sent behind the request: the connection is
//! closed in order and not reset before the response has been read.

mod harness;

use harness::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

/// Connects a client with a small receive buffer, so that a response stays in transit while the client does not read.
fn connect_with_small_buffer(to: std::net::SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&to.into()).unwrap();
    let tcp: TcpStream = socket.into();
    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    tcp
}

/// Reads until the connection is closed; panics if it is reset.
fn read_to_close(tcp: &mut TcpStream, scenario: &str) -> Vec<u8> {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match tcp.read(&mut chunk) {
            Ok(0) => return bytes,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => panic!("{scenario}: {e} after {} bytes", bytes.len()),
        }
    }
}

/// The length of a response body that does not fit into the client's receive buffer.
const BODY_LENGTH: usize = 60_000;

/// Excess bytes behind the request arrive before the response is sent, or while it is in transit.
#[test]
fn response_is_complete_with_excess_bytes_behind_the_request() {
    for round in 0..10 {
        let gate = Arc::new(Gate::default());
        let response_gate = gate.clone();
        let backend = BackendServer::start(move |_| {
            response_gate.wait();
            ok_reply(&"x".repeat(BODY_LENGTH))
        });
        let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
        let mut client = connect_with_small_buffer(proxy.address);
        client.write_all(pay_request(3.0).as_bytes()).unwrap();
        backend.next_request();
        client.write_all(read_request(3.0).as_bytes()).unwrap();
        gate.open();
        let mut first = [0; 1];
        client.read_exact(&mut first).unwrap();
        client.write_all(&[b'y'; 20_000]).unwrap(); // the response is in transit
        let received = read_to_close(&mut client, "excess bytes");
        assert!(
            received.ends_with(&[b'x'; BODY_LENGTH]) && received.len() < BODY_LENGTH + 1000,
            "round {round}: {}",
            received.len()
        );
        assert_eq!(backend.request_count(), 1);
    }
}

/// A body that is too long is rejected before all of it has been received.
#[test]
fn rejection_reaches_client_that_still_sends_its_body() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    for _ in 0..20 {
        let mut client = connect_with_small_buffer(proxy.address);
        let head = "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 100000\r\n\r\n";
        client.write_all(head.as_bytes()).unwrap();
        client.write_all(&[b'y'; 50_000]).unwrap();
        client.write_all(&[b'y'; 50_000]).expect("no reset while the client sends");
        let received = read_to_close(&mut client, "body too long");
        assert!(received.starts_with(b"HTTP/1.1 413"), "{}", String::from_utf8_lossy(&received));
    }
}

/// A slow reader's connection is evicted while its response is in transit: the rest of the response is still delivered.
#[test]
fn response_in_transit_is_complete_when_its_connection_is_evicted() {
    let backend = BackendServer::start(|_| ok_reply(&"x".repeat(BODY_LENGTH)));
    let proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        80,
        SETTINGS,
        80,
    );
    for round in 0..2 {
        let mut slow: Vec<TcpStream> = (0..4).map(|_| connect_with_small_buffer(proxy.address)).collect();
        for client in &mut slow {
            client.write_all(pay_request(3.0).as_bytes()).unwrap();
            client.read_exact(&mut [0; 1]).unwrap();
        }
        // The proxy has eight connection slots.
        let mut others: Vec<Client> = Vec::new();
        for _ in 0..30 {
            let mut client = proxy.client();
            assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
            others.push(client);
        }
        for client in &mut slow {
            let received = read_to_close(client, "evicted");
            assert!(
                received.ends_with(&[b'x'; BODY_LENGTH]) && received.len() < BODY_LENGTH + 1000,
                "round {round}: {}",
                received.len()
            );
        }
    }
}

/// The program shuts down before or after it received the request, and closes idle connections every few milliseconds.
#[test]
fn response_in_transit_is_complete_during_shutdown() {
    let backend = BackendServer::start(|_| ok_reply(&"x".repeat(BODY_LENGTH)));
    let mut proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let send_request = |n: u32| {
        let mut client = connect_with_small_buffer(proxy.address);
        client.write_all((if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) }).as_bytes()).unwrap();
        client.read_exact(&mut [0; 1]).unwrap();
        client
    };
    let mut slow: Vec<TcpStream> = (0..10).map(send_request).collect();
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    slow.extend((0..10).map(send_request));
    for client in &mut slow {
        let received = read_to_close(client, "stopping");
        assert!(
            received.ends_with(&[b'x'; BODY_LENGTH]) && received.len() < BODY_LENGTH + 1000,
            "{}",
            received.len()
        );
    }
    assert!(proxy.child.wait().unwrap().success());
}

/// Connections that are being closed hold no connection slot, and their number is limited: other clients are served
/// without delay.
#[test]
fn slowly_closing_connections_do_not_block_new_clients() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        80,
        SETTINGS,
        80,
    );
    let mut closing: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut client = TcpStream::connect(proxy.address).unwrap();
            client.write_all(b"GET /read/k HTTP/1.1\r\nwhat\r\n\r\n").unwrap();
            client
        })
        .collect();
    for _ in 0..50 {
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    for client in &mut closing {
        client.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let _ = client.read(&mut [0; 256]);
    }
}
