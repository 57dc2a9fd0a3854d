//! One call to discovery: its connection, its answer, and why there is none.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::Request;
use shaletide_membership::List;
use shaletide_net::timeout::{timeout, timeout_at, TimedOut};
use shaletide_net::{drive_connection, BoxError, Stream};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;

/// The longest body of an answer, in bytes: 4 KiB for each of 1,024 backends, ten times what an indented entry takes.
/// A longer one is an answer that cannot be read, and the list stays as it is.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// Why a call brought no list.
#[derive(Debug)]
pub(crate) enum WatchError {
    Connect(std::io::Error),
    Http(BoxError),
    Status(u16),
    Json(serde_json::Error),
    /// Changes, in answer to a call for the whole list.
    NotWhole,
    Ended,
    Silent,
}

impl std::fmt::Display for WatchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchError::Connect(e) => write!(f, "no connection: {e}"),
            WatchError::Http(e) => write!(f, "call broken: {e}"),
            WatchError::Status(code) => write!(f, "answered {code}"),
            WatchError::Json(e) => write!(f, "answer not understood: {e}"),
            WatchError::NotWhole => write!(f, "answered a call for the whole list with changes"),
            WatchError::Ended => write!(f, "connection ended"),
            WatchError::Silent => write!(f, "silent"),
        }
    }
}

impl std::error::Error for WatchError {}

/// A connection to discovery that is kept between calls.
pub(crate) struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

/// A call for the whole list wants the whole list.
pub(crate) fn fit(list: List, whole: bool) -> Result<List, WatchError> {
    if whole && !list.snapshot {
        return Err(WatchError::NotWhole);
    }
    Ok(list)
}

/// What one call may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    /// From the call to the whole head of its answer.
    pub(crate) head: Duration,
    /// For a connection to come up, as until then no call waits anywhere; and between two pieces of an answer's body.
    pub(crate) piece: Duration,
    /// For the whole body.
    pub(crate) transfer: Duration,
}

/// One call.
pub(crate) async fn fetch(
    link: &mut Option<Link>, at: SocketAddr, uri: &str, times: CallTimes,
) -> Result<List, WatchError> {
    let head_by = tokio::time::Instant::now() + times.head;
    let mut live = match kept(link).await {
        Some(live) => live,
        None => {
            let connected = timeout(times.piece, TcpStream::connect(at)).await;
            let tcp = connected.map_err(Into::into).and_then(|tcp| tcp).map_err(WatchError::Connect)?;
            let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
            Link { sender, conn }
        }
    };
    let request = Request::get(uri).header("host", at.to_string()).body(Empty::new()).map_err(boxed)?;
    let Link { sender, conn } = &mut live;
    let head = async {
        sender.ready().await.map_err(boxed)?;
        sender.send_request(request).await.map_err(boxed)
    };
    let answer = async {
        let answer = timeout_at(head_by, head).await.map_err(silent)??;
        let status = answer.status().as_u16();
        let body = timeout(times.transfer, collected(answer.into_body(), times.piece));
        Ok((status, body.await.map_err(silent)??))
    };
    let (status, body) = drive_connection(conn, answer).await.unwrap_or(Err(WatchError::Ended))?;
    *link = Some(live);
    if status != 200 {
        return Err(WatchError::Status(status));
    }
    List::read(&body).map_err(WatchError::Json)
}

/// The whole body, no two pieces of which may lie further apart.
async fn collected(body: Incoming, apart: Duration) -> Result<Vec<u8>, WatchError> {
    let mut body = Limited::new(body, MAX_LIST);
    let mut bytes = Vec::new();
    while let Some(frame) = timeout(apart, body.frame()).await.map_err(silent)? {
        let frame = frame.map_err(WatchError::Http)?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |piece| piece));
    }
    Ok(bytes)
}

/// The connection of the call before, unless it has ended: an answer may end it, and that shows when it is driven.
async fn kept(link: &mut Option<Link>) -> Option<Link> {
    let mut live = link.take()?;
    let over = poll_fn(|cx| Poll::Ready(Pin::new(&mut live.conn).poll(cx).is_ready())).await;
    (!over && !live.sender.is_closed()).then_some(live)
}

fn silent(_: TimedOut) -> WatchError {
    WatchError::Silent
}

fn boxed(e: impl Into<BoxError>) -> WatchError {
    WatchError::Http(e.into())
}

#[cfg(test)]
mod tests;
