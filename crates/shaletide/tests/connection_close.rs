//! The last answer on a connection comes whole, whatever its client sent behind its request: the connection ends, and is
//! not reset before the answer was read.

mod harness;

use harness::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

/// A client whose kernel takes little, so that an answer is on its way for as long as nobody reads it.
fn narrow(to: std::net::SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&to.into()).unwrap();
    let tcp: TcpStream = socket.into();
    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    tcp
}

/// All that comes until the end, which has to be one.
fn all(tcp: &mut TcpStream, what: &str) -> Vec<u8> {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match tcp.read(&mut chunk) {
            Ok(0) => return bytes,
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => panic!("{what}: {e} after {} bytes", bytes.len()),
        }
    }
}

const LENGTH: usize = 60_000;

/// What comes behind the request is there as its answer goes out, or comes after that.
#[test]
fn response_is_complete_with_excess_bytes_behind_the_request() {
    for round in 0..10 {
        let gate = Arc::new(Gate::default());
        let wait = gate.clone();
        let backend = BackendServer::start(move |_| {
            wait.wait();
            ok_reply(&"x".repeat(LENGTH))
        });
        let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
        let mut client = narrow(proxy.address);
        client.write_all(pay_request(3.0).as_bytes()).unwrap();
        backend.next_request();
        client.write_all(read_request(3.0).as_bytes()).unwrap();
        gate.open();
        let mut first = [0; 1];
        client.read_exact(&mut first).unwrap();
        client.write_all(&[b'y'; 20_000]).unwrap(); // its answer is on its way
        let got = all(&mut client, "after its answer");
        assert!(got.ends_with(&[b'x'; LENGTH]) && got.len() < LENGTH + 1000, "round {round}: {}", got.len());
        assert_eq!(backend.request_count(), 1);
    }
}

/// A body that is too long is answered before all of it came.
#[test]
fn rejection_reaches_client_that_still_sends_its_body() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    for _ in 0..20 {
        let mut client = narrow(proxy.address);
        let head = "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 100000\r\n\r\n";
        client.write_all(head.as_bytes()).unwrap();
        client.write_all(&[b'y'; 50_000]).unwrap();
        client.write_all(&[b'y'; 50_000]).expect("it is not reset as it sends");
        let got = all(&mut client, "too long");
        assert!(got.starts_with(b"HTTP/1.1 413"), "{}", String::from_utf8_lossy(&got));
    }
}

/// Its reader takes its time, and its place is wanted meanwhile: the rest is waited for.
#[test]
fn response_in_transit_is_complete_when_its_connection_is_evicted() {
    let backend = BackendServer::start(|_| ok_reply(&"x".repeat(LENGTH)));
    let proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        80,
        SETTINGS,
        80,
    );
    for round in 0..2 {
        let mut slow: Vec<TcpStream> = (0..4).map(|_| narrow(proxy.address)).collect();
        for client in &mut slow {
            client.write_all(pay_request(3.0).as_bytes()).unwrap();
            client.read_exact(&mut [0; 1]).unwrap();
        }
        // There are eight places.
        let mut others: Vec<Client> = Vec::new();
        for _ in 0..30 {
            let mut client = proxy.client();
            assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
            others.push(client);
        }
        for client in &mut slow {
            let got = all(client, "wanted");
            assert!(
                got.ends_with(&[b'x'; LENGTH]) && got.len() < LENGTH + 1000,
                "round {round}: {}",
                got.len()
            );
        }
    }
}

/// Or the program stops, before or after it was asked, and closes what is at rest every few milliseconds.
#[test]
fn response_in_transit_is_complete_during_shutdown() {
    let backend = BackendServer::start(|_| ok_reply(&"x".repeat(LENGTH)));
    let mut proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let ask = |n: u32| {
        let mut client = narrow(proxy.address);
        client.write_all((if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) }).as_bytes()).unwrap();
        client.read_exact(&mut [0; 1]).unwrap();
        client
    };
    let mut slow: Vec<TcpStream> = (0..10).map(ask).collect();
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    slow.extend((0..10).map(ask));
    for client in &mut slow {
        let got = all(client, "stopping");
        assert!(got.ends_with(&[b'x'; LENGTH]) && got.len() < LENGTH + 1000, "{}", got.len());
    }
    assert!(proxy.child.wait().unwrap().success());
}

/// They hold no place, and there are never many of them: others are served as if they were not there.
#[test]
fn slowly_closing_connections_do_not_block_new_clients() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        80,
        SETTINGS,
        80,
    );
    let mut ending: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut client = TcpStream::connect(proxy.address).unwrap();
            client.write_all(b"GET /read/k HTTP/1.1\r\nwhat\r\n\r\n").unwrap();
            client
        })
        .collect();
    for _ in 0..50 {
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    for client in &mut ending {
        client.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let _ = client.read(&mut [0; 256]);
    }
}
