//! A client connection for one request at a time, in async code.

use crate::http_stream::{BodyRule, HttpStream};
use crate::Message;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The outcome of sending a request once.
#[derive(Debug)]
pub enum Exchange {
    /// A complete answer was received.
    Answer(Message),
    /// The connection ended before a complete answer.
    Broken {
        /// Whether any byte of an answer had been received.
        began: bool,
    },
    /// The time of the client had run out.
    GaveUp,
}

/// A client connection that can be reused.
#[derive(Debug)]
pub struct Connection {
    stream: HttpStream,
    /// Whether a request was sent on it before.
    pub used: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The connection was refused, or was not established by `until`.
    pub async fn open(to: SocketAddr, until: Instant) -> io::Result<Connection> {
        let tcp = tokio::time::timeout_at(until, TcpStream::connect(to)).await??;
        Ok(Connection { stream: HttpStream::new(tcp), used: false })
    }

    /// Returns the client's address.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.stream.tcp.local_addr().ok()
    }

    /// Returns whether the connection is open and without unread bytes.
    pub fn is_idle(&self) -> bool {
        self.stream.is_idle()
    }

    /// Returns whether bytes beyond the answers were received.
    pub fn has_excess_bytes(&self) -> bool {
        self.stream.has_unread_bytes()
    }

    /// Sends a request and waits for its answer until `until`. After any outcome but an answer the connection is unusable.
    pub async fn send_request(&mut self, request: &[u8], method: &str, until: Instant) -> Exchange {
        let rule = if method == "HEAD" { BodyRule::Never } else { BodyRule::FromHead };
        self.used = true;
        let exchange = async {
            // A proxy may answer and close before it has read the complete request, so the answer is read even if the write
            // fails.
            let _ = self.stream.write(request).await;
            loop {
                match self.stream.read_message(rule).await {
                    Some((message, _)) if (100..200).contains(&message.status()) => {}
                    other => return other,
                }
            }
        };
        match tokio::time::timeout_at(until, exchange).await {
            Ok(Some((message, _))) => Exchange::Answer(message),
            Ok(None) => Exchange::Broken { began: self.stream.has_unread_bytes() },
            Err(_) => Exchange::GaveUp,
        }
    }
}
