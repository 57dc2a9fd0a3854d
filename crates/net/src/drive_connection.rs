//! Drives hyper's client connections: a connection is polled by the same task that uses it.

use crate::stream::Stream;
use bytes::Bytes;
use hyper::client::conn::http1;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` to completion while driving the connection that it uses. Returns `None` if the connection ended first. That
/// case is detected here because hyper does not report the end to `work` as long as the connection's future is kept:
/// waiting for the sender to become ready would never end after a response with which the backend closes the connection.
/// If the future is dropped, the connection stays as far as it was driven.
pub async fn drive_connection<T>(
    connection: &mut http1::Connection<
        Stream,
        impl hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut connection_ended = false;
    poll_fn(|cx| {
        if let Poll::Ready(output) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(output));
        }
        if connection_ended {
            return Poll::Ready(None);
        }
        if std::pin::Pin::new(&mut *connection).poll(cx).is_ready() {
            connection_ended = true;
            cx.waker().wake_by_ref(); // poll `work` once more, as input may have arrived before the end
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

/// The error type of a message body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
