//! Drives hyper's client connections: the future that waits for something on one polls it meanwhile.

use crate::stream::Stream;
use bytes::Bytes;
use hyper::client::conn::http1;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` to its end while driving the connection that it uses. `None`: the connection ended first. As long as the
/// connection's future is kept, hyper does not tell `work` of that end: waiting for the sender to be ready again would never
/// end after a response with which the backend closes. Dropped midway, it has driven the connection as far as it got.
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
            cx.waker().wake_by_ref(); // `work` is polled once more, for what came before the end
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

/// The error of any body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
