//! hyper's connections, drive_connection by whoever waits for something on them.

use crate::stream::Stream;
use bytes::Bytes;
use hyper::client::conn::http1;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` to its end while driving the connection that it is on. `None`: the connection ended first.
/// hyper does not tell `work` of that end by itself as long as the connection's future is kept: a wait for
/// the sender to be ready again would last for ever after an answer with which the backend closed.
pub async fn drive_connection<T>(
    connection: &mut http1::Connection<
        Stream,
        impl hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut over = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        if over {
            return Poll::Ready(None);
        }
        if std::pin::Pin::new(&mut *connection).poll(cx).is_ready() {
            over = true;
            cx.waker().wake_by_ref(); // once more for what it brought before it ended
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

/// Any error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
