//! Tests of `timer` that need its private items.

use super::*;
use crate::response::plain;
use crate::testing::{accepted, PAY};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use shaletide_net::Stream;
use std::cell::Cell;
use std::convert::Infallible;
use std::io::Write;
use std::pin::pin;

/// The event loop is late, and hears of a request and of the timeout of its head at once: the request is served.
#[tokio::test]
async fn received_request_is_served_although_its_head_timeout_has_passed() {
    for asked in [0, 1] {
        let (tcp, mut client) = accepted().await;
        let stream = Stream::new(tcp);
        let calls = Cell::new(0);
        let service = service_fn(|_| async {
            calls.set(calls.get() + 1);
            Ok::<_, Infallible>(plain(StatusCode::OK, "x"))
        });
        let patience = Duration::from_millis(300);
        let mut builder = http1::Builder::new();
        builder.timer(Timer).header_read_timeout(patience);
        let mut conn = pin!(builder.serve_connection(stream.clone(), service));
        (0..asked).for_each(|_| client.write_all(PAY.as_bytes()).unwrap());
        for _ in 0..100 {
            let poll = std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_pending()));
            assert!(poll.await, "it has ended");
            tokio::task::yield_now().await;
        }
        assert_eq!(calls.get(), asked);
        client.write_all(PAY.as_bytes()).unwrap();
        std::thread::sleep(patience * 2); // the loop stands still
        assert!(conn.await.is_err(), "nothing more comes");
        assert_eq!(calls.get(), asked + 1, "after {asked}");
    }
}
