//! Tests of `timer` that need its private items.

use super::*;
use crate::response::text_response;
use crate::testing::{accepted, PAY_REQUEST};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use shaletide_net::Stream;
use std::cell::Cell;
use std::convert::Infallible;
use std::io::Write;
use std::pin::pin;

/// If the event loop is late and sees a request and its head timeout in the same turn, the request is served.
#[tokio::test]
async fn received_request_is_served_although_its_head_timeout_has_passed() {
    for answered in [0, 1] {
        let (tcp, mut client) = accepted().await;
        let stream = Stream::new(tcp);
        let calls = Cell::new(0);
        let service = service_fn(|_| async {
            calls.set(calls.get() + 1);
            Ok::<_, Infallible>(text_response(StatusCode::OK, "x"))
        });
        let head_timeout = Duration::from_millis(300);
        let mut builder = http1::Builder::new();
        builder.timer(Timer).header_read_timeout(head_timeout);
        let mut conn = pin!(builder.serve_connection(stream.clone(), service));
        (0..answered).for_each(|_| client.write_all(PAY_REQUEST.as_bytes()).unwrap());
        for _ in 0..100 {
            let poll = std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_pending()));
            assert!(poll.await, "the connection has ended");
            tokio::task::yield_now().await;
        }
        assert_eq!(calls.get(), answered);
        client.write_all(PAY_REQUEST.as_bytes()).unwrap();
        std::thread::sleep(head_timeout * 2); // blocks the event loop
        assert!(conn.await.is_err(), "the head of the next request times out");
        assert_eq!(calls.get(), answered + 1, "after {answered} earlier requests");
    }
}
