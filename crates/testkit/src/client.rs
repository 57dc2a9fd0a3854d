//! A client on one blocking connection, and the requests that tests send.

use crate::{Message, WAIT_LIMIT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// A client that holds one connection.
#[derive(Debug)]
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    /// Connects; no read waits longer than [`WAIT_LIMIT`].
    pub fn connect(to: SocketAddr) -> Client {
        let tcp = TcpStream::connect(to).unwrap();
        tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Client(BufReader::new(tcp))
    }
    /// Writes all of it.
    pub fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).unwrap();
    }
    /// The next answer, or `None` when the connection ended first.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    /// Sends a request and waits for its answer.
    pub fn request(&mut self, request: &str) -> Message {
        self.send(request);
        self.answer().expect("a whole answer")
    }
    /// The proxy ended the connection, with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

fn id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// A request that is safe to repeat; its client waits so many seconds.
pub fn read_request(left: f64) -> String {
    format!("GET /read/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {}\r\nX-Time-Left: {left}\r\n\r\n", id())
}

/// A request that is unsafe to repeat.
pub fn pay_request(left: f64) -> String {
    let id = id();
    format!(
        "POST /pay/k1?q=1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\ncash"
    )
}

/// A request with a key.
pub fn vote_request(left: f64) -> String {
    let id = id();
    format!(
        "POST /vote/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: key-{id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\nyeah"
    )
}
