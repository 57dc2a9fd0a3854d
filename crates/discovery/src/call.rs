//! A call to discovery: its connection, its response and its errors.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::Request;
use shaletide_membership::List;
use shaletide_net::timeout::{timeout, timeout_at, TimedOut};
use shaletide_net::{drive_connection, BoxError, Stream};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;

/// The maximum length of a response's body, in bytes: 4 KiB for each of 1,024 backends, which is ten times the length of an
/// indented entry. A call with a longer body fails, and the list stays unchanged.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a call returned no list.
#[derive(Debug)]
pub(crate) enum PollError {
    Connect(std::io::Error),
    Http(BoxError),
    Status(u16),
    InvalidBody(serde_json::Error),
    /// A response began and did not arrive as a whole.
    Incomplete(Box<PollError>),
    /// The response to a call for a snapshot was a delta.
    NotASnapshot,
    ConnectionClosed,
    TimedOut,
}

impl PollError {
    /// Whether the call ended by one of its time limits.
    pub(crate) fn is_timeout(&self) -> bool {
        match self {
            PollError::TimedOut => true,
            PollError::Incomplete(cause) => cause.is_timeout(),
            _ => false,
        }
    }
}

impl std::fmt::Display for PollError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PollError::Connect(error) => write!(f, "cannot connect: {error}"),
            PollError::Http(error) => write!(f, "HTTP error: {error}"),
            PollError::Status(status) => write!(f, "response status {status}"),
            PollError::InvalidBody(error) => write!(f, "invalid response body: {error}"),
            PollError::Incomplete(error) => write!(f, "response began and was not completed: {error}"),
            PollError::NotASnapshot => write!(f, "response has a delta, expected a snapshot"),
            PollError::ConnectionClosed => write!(f, "connection closed before the response was complete"),
            PollError::TimedOut => write!(f, "response timed out"),
        }
    }
}

impl std::error::Error for PollError {}

/// A connection to discovery that is reused between calls.
pub(crate) struct Connection {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

impl Connection {
    async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Connection, PollError> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        let tcp = connected.map_err(Into::into).and_then(|tcp| tcp).map_err(PollError::Connect)?;
        let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(http_error)?;
        Ok(Connection { sender, conn })
    }

    /// Whether the connection can be used for another call. The previous response may have closed it, which is detected only
    /// when the connection is driven.
    async fn is_open(&mut self) -> bool {
        let is_done = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.conn).poll(cx).is_ready())).await;
        !is_done && !self.sender.is_closed()
    }
}

/// The timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// The time from the call to the end of the response's head.
    pub(crate) head: Duration,
    /// The time between two pieces of a response's body. It also limits the connect, as no call is queued in discovery before
    /// the connection is established.
    pub(crate) body_piece: Duration,
    /// The time for the complete body.
    pub(crate) body: Duration,
}

/// Makes a call, on the connection of the previous call if that is still open. Stores the connection in `reusable` after a
/// complete response. If the future is dropped, `reusable` has no connection.
///
/// # Errors
/// Returns an error if there is no response, or no valid list in it.
pub(crate) async fn fetch(
    reusable: &mut Option<Connection>, address: SocketAddr, uri: &str, timeouts: CallTimeouts,
) -> Result<List, PollError> {
    let head_deadline = tokio::time::Instant::now() + timeouts.head;
    let mut connection = match take_open(reusable).await {
        Some(connection) => connection,
        None => Connection::open(address, timeouts.body_piece).await?,
    };
    let request =
        Request::get(uri).header("host", address.to_string()).body(Empty::new()).map_err(http_error)?;
    let Connection { sender, conn } = &mut connection;
    let head = async {
        sender.ready().await.map_err(http_error)?;
        sender.send_request(request).await.map_err(http_error)
    };
    let has_begun = Cell::new(false);
    let response = async {
        let response = timeout_at(head_deadline, head).await.map_err(timed_out)??;
        let status = response.status().as_u16();
        has_begun.set(status == 200);
        let body = timeout(timeouts.body, read_body(response.into_body(), timeouts.body_piece));
        Ok((status, body.await.map_err(timed_out)??))
    };
    let driven = drive_connection(conn, response).await;
    let (status, body) = driven.unwrap_or(Err(PollError::ConnectionClosed)).map_err(|error| {
        match has_begun.get() && !is_too_long(&error) {
            true => PollError::Incomplete(Box::new(error)),
            false => error,
        }
    })?;
    *reusable = Some(connection);
    if status != 200 {
        return Err(PollError::Status(status));
    }
    List::read(&body).map_err(PollError::InvalidBody)
}

/// Reads the complete body. The time between two of its pieces is limited to `max_gap`.
async fn read_body(body: Incoming, max_gap: Duration) -> Result<Vec<u8>, PollError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut bytes = Vec::new();
    while let Some(frame) = timeout(max_gap, body.frame()).await.map_err(timed_out)? {
        let frame = frame.map_err(PollError::Http)?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |piece| piece));
    }
    Ok(bytes)
}

/// Takes the connection of the previous call, unless it has been closed.
async fn take_open(reusable: &mut Option<Connection>) -> Option<Connection> {
    let mut connection = reusable.take()?;
    connection.is_open().await.then_some(connection)
}

/// Whether a response was given up because its body is longer than [`MAX_BODY_BYTES`].
fn is_too_long(error: &PollError) -> bool {
    matches!(error, PollError::Http(cause) if cause.is::<LengthLimitError>())
}

fn timed_out(_: TimedOut) -> PollError {
    PollError::TimedOut
}

fn http_error(error: impl Into<BoxError>) -> PollError {
    PollError::Http(error.into())
}

#[cfg(test)]
mod tests;
