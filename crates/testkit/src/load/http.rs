//! One request on a connection, from an async client.

use crate::wire::{BodyRule, Wire};
use crate::Message;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What came of one sending.
#[derive(Debug)]
pub enum Exchange {
    /// A whole answer.
    Answer(Message),
    /// The connection ended first; whether any byte had come by then.
    Broken {
        /// Whether any had.
        began: bool,
    },
    /// The client's time was up.
    GaveUp,
}

/// A connection that may be used again.
#[derive(Debug)]
pub struct Link {
    wire: Wire,
    /// It has carried a request before.
    pub used: bool,
}

impl Link {
    /// Opens one.
    ///
    /// # Errors
    /// It was not taken, or not by then.
    pub async fn open(to: SocketAddr, until: Instant) -> io::Result<Link> {
        let tcp = tokio::time::timeout_at(until, TcpStream::connect(to)).await??;
        Ok(Link { wire: Wire::new(tcp), used: false })
    }

    /// The client's own address.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.wire.tcp.local_addr().ok()
    }

    /// Whether it is still up, with nothing on it.
    pub fn is_idle(&self) -> bool {
        self.wire.at_rest()
    }

    /// Whether more came than answers.
    pub fn has_excess_bytes(&self) -> bool {
        self.wire.has_more()
    }

    /// Sends a request and waits for its answer until then. After anything but an answer it is of no more use.
    pub async fn send_request(&mut self, request: &[u8], method: &str, until: Instant) -> Exchange {
        let rule = if method == "HEAD" { BodyRule::Never } else { BodyRule::AsSaid };
        self.used = true;
        let exchange = async {
            // A proxy may answer before it has read all, and close: what it said is read all the same.
            let _ = self.wire.write(request).await;
            loop {
                match self.wire.message(rule).await {
                    Some((message, _)) if (100..200).contains(&message.status()) => {}
                    other => return other,
                }
            }
        };
        match tokio::time::timeout_at(until, exchange).await {
            Ok(Some((message, _))) => Exchange::Answer(message),
            Ok(None) => Exchange::Broken { began: self.wire.has_more() },
            Err(_) => Exchange::GaveUp,
        }
    }
}
