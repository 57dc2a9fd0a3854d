//! Tests of `serve` that need its private items.

use super::*;
use crate::response::text_response;
use crate::testing::{accepted, DEADLINE, PAY_REQUEST};
use hyper::StatusCode;
use shaletide_net::Stream;
use std::cell::Cell;
use std::future::Future;
use std::io::Write;
use std::task::Poll;

/// Closes an idle connection in the same way as `serve`. A request that arrives between the start of the close and its end is
/// not read, on a new connection or on one with an answered request, and whether or not the event loop has been notified.
#[tokio::test]
async fn request_that_arrives_during_close_of_an_idle_connection_is_not_read() {
    for (answered, notified) in [(0, false), (0, true), (1, false), (1, true)] {
        let (tcp, mut client) = accepted().await;
        let stream = Stream::new(tcp);
        let calls = Cell::new(0);
        let service = service_fn(|_| async {
            calls.set(calls.get() + 1);
            stream.mark_idle();
            Ok::<_, Infallible>(text_response(StatusCode::OK, "x"))
        });
        let mut builder = http1::Builder::new();
        builder.timer(Timer).header_read_timeout(to_duration(DEADLINE));
        let mut conn = pin!(builder.serve_connection(stream.clone(), service));
        (0..answered).for_each(|_| client.write_all(PAY_REQUEST.as_bytes()).unwrap());
        for _ in 0..100 {
            let poll = std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_pending()));
            assert!(poll.await, "the connection has ended");
            tokio::task::yield_now().await;
        }
        assert_eq!((calls.get(), stream.has_pending_input()), (answered, false), "the connection is idle");
        conn.as_mut().graceful_shutdown();
        client.write_all(PAY_REQUEST.as_bytes()).unwrap();
        for _ in 0..if notified { 100 } else { 0 } {
            tokio::task::yield_now().await;
        }
        conn.await.unwrap();
        assert_eq!(
            (calls.get(), stream.has_unread_bytes()),
            (answered, true),
            "after {answered} earlier requests"
        );
    }
}
