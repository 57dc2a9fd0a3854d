//! A client with one blocking connection, and the requests that tests send.

use crate::{Message, WAIT_LIMIT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A client that holds one connection.
#[derive(Debug)]
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    /// Connects. A read times out after [`WAIT_LIMIT`].
    pub fn connect(to: SocketAddr) -> Client {
        let tcp = TcpStream::connect(to).unwrap();
        tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        Client(BufReader::new(tcp))
    }
    /// Writes the complete request.
    pub fn send(&mut self, request: &str) {
        self.0.get_mut().write_all(request.as_bytes()).unwrap();
    }
    /// Returns the next answer, or `None` if the connection was closed first.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    /// Sends a request and waits for its answer.
    pub fn request(&mut self, request: &str) -> Message {
        self.send(request);
        self.answer().expect("a whole answer")
    }
    /// Returns whether the proxy closes the connection without further bytes.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

fn unique_id() -> String {
    format!("{:016x}", NEXT_NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// Returns a safe request with a time left of `left` seconds.
pub fn read_request(left: f64) -> String {
    format!(
        "GET /read/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {}\r\nX-Time-Left: {left}\r\n\r\n",
        unique_id()
    )
}

/// Returns a non-idempotent request with a time left of `left` seconds.
pub fn pay_request(left: f64) -> String {
    let id = unique_id();
    format!(
        "POST /pay/k1?q=1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\ncash"
    )
}

/// Returns a request with an idempotency key and a time left of `left` seconds.
pub fn vote_request(left: f64) -> String {
    let id = unique_id();
    format!(
        "POST /vote/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: key-{id}\r\nX-Time-Left: {left}\r\nContent-Length: 4\r\n\r\nyeah"
    )
}
