//! Tests of `proxy` that need its private items.

use super::*;
use crate::testing::{connect_client, read_to_end, server_without_backends, DEADLINE, PAY_REQUEST};
use shaletide_net::to_duration;
use std::io::Write;

/// A request whose body waits for memory that another request has reserved is answered by the end of the shutdown, and not
/// only at the deadline of its body.
#[tokio::test]
async fn request_waiting_for_body_space_is_answered_before_shutdown_ends() {
    let run = async {
        let server = server_without_backends(2);
        let other_body = server.bodies.borrow_mut().add(server.driver.clock.now(), 64);
        server.bodies.borrow_mut().take_admitted();
        server.bodies.borrow_mut().on_complete(other_body); // its request is still open
        let mut client = connect_client(&server).await;
        server.stop_deadline.set(Some(server.driver.clock.now() + Micros(300_000)));
        client.write_all(PAY_REQUEST.as_bytes()).unwrap();
        let late = tokio::time::sleep(to_duration(DEADLINE) / 2);
        tokio::select! {
            answer = read_to_end(client) => assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}"),
            () = late => panic!("the request still waits for room at half of its deadline"),
        }
        server.bodies.borrow_mut().remove(server.driver.clock.now(), other_body);
    };
    tokio::task::LocalSet::new().run_until(run).await;
}
