//! Tests of `eviction` that need its private items.

use super::*;
use crate::testing::{connect_client, read_to_end, server_without_backends, PAY_REQUEST};
use std::io::Write;

/// A request that arrives after its connection was chosen for eviction and before the connection's task runs is answered,
/// however long that takes. The connection ends after the response.
#[tokio::test]
async fn request_that_arrives_during_eviction_is_answered() {
    let run = async {
        let (server, lengths) = (server_without_backends(2), [0, 30]);
        let mut clients = Vec::new();
        for sent in lengths {
            let mut client = connect_client(&server).await;
            client.write_all(&PAY_REQUEST.as_bytes()[..sent]).unwrap();
            clients.push(client);
        }
        for _ in 0..100 {
            tokio::task::yield_now().await; // the partial requests are read
        }
        server.clients.borrow().values().for_each(|c| c.idle_since.set(Time(0))); // no longer new
        assert!(server.evict_one() && server.evict_one(), "no unread bytes: both can be evicted");
        for (client, sent) in clients.iter_mut().zip(lengths) {
            let id = format!("Id: {sent}");
            client.write_all(&PAY_REQUEST.replace("Id: 1", &id[..5]).as_bytes()[sent..]).unwrap();
        }
        for client in clients {
            let answer = read_to_end(client).await;
            assert!(answer.starts_with("HTTP/1.1 50"), "{answer:?}");
            assert!(answer.contains("connection: close"), "{answer:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(run).await;
}

const NOW: Time = Time(10_000_000);

/// An idle connection that has sent complete requests and was last answered `millis` milliseconds ago.
fn idle(key: u8, millis: u64) -> Candidate<u8> {
    let idle_since = Time(NOW.0 - millis * 1_000);
    Candidate { key, busy: false, proven: true, slot_released: false, idle_since, body_since: None }
}

/// A connection that was accepted `millis` milliseconds ago and has sent no complete request.
fn unproven(key: u8, millis: u64) -> Candidate<u8> {
    Candidate { proven: false, ..idle(key, millis) }
}

/// A connection whose request body has been read for `millis` milliseconds.
fn sending(key: u8, proven: bool, millis: u64) -> Candidate<u8> {
    let body_since = Some(Time(NOW.0 - millis * 1_000));
    Candidate { busy: true, proven, body_since, ..idle(key, 5_000) }
}

fn order(too_many_unproven: bool, candidates: &[Candidate<u8>]) -> Vec<u8> {
    let order = eviction_order(NOW, too_many_unproven, candidates.iter().copied());
    order.into_iter().map(|c| c.key).collect()
}

#[test]
fn longest_idle_connection_is_first_in_eviction_order() {
    assert_eq!(order(false, &[idle(1, 300), idle(2, 900), idle(3, 600)]), [2, 3, 1]);
}

#[test]
fn busy_and_evicted_connections_are_not_in_eviction_order() {
    let busy = Candidate { busy: true, ..idle(1, 900) };
    let evicted = Candidate { slot_released: true, ..idle(2, 900) };
    assert_eq!(order(false, &[busy, evicted, idle(3, 1)]), [3]);
    assert!(order(true, &[busy, evicted]).is_empty());
}

#[test]
fn unproven_connection_is_evicted_before_idle_ones_once_past_the_minimum_age() {
    let all = [idle(1, 900), unproven(2, 100), unproven(3, 99)];
    assert_eq!(order(false, &all), [2, 1, 3]);
}

#[test]
fn unproven_connections_are_evicted_first_at_any_age_while_they_hold_too_many_slots() {
    let all = [idle(1, 900), unproven(2, 100), unproven(3, 0)];
    assert_eq!(order(true, &all), [2, 3, 1]);
}

#[test]
fn connection_sending_a_body_is_evicted_after_the_minimum_age_or_at_once_if_too_many_are_unproven() {
    let all = [sending(1, true, 99), sending(2, true, 100), sending(3, false, 99), idle(4, 900)];
    assert_eq!(order(false, &all), [2, 4]);
    assert_eq!(order(true, &all), [2, 3, 4]);
}

#[test]
fn unread_input_protects_proven_and_new_connections() {
    assert!(idle(1, 900).is_protected_by_input(NOW));
    assert!(unproven(1, 99).is_protected_by_input(NOW));
    assert!(!unproven(1, 100).is_protected_by_input(NOW));
}
