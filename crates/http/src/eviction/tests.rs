//! Tests of `eviction` that need its private items.

use super::*;
use crate::testing::{connect_client, read_to_end, server_without_backends, PAY};
use std::io::Write;

/// Its request comes after it was chosen for eviction and before its task was woken: it is answered, however long that takes,
/// and the connection ends then.
#[tokio::test]
async fn request_that_arrives_during_eviction_is_answered() {
    let run = async {
        let (server, parts) = (server_without_backends(2), [0, 30]);
        let mut clients = Vec::new();
        for part in parts {
            let mut client = connect_client(&server).await;
            client.write_all(&PAY.as_bytes()[..part]).unwrap();
            clients.push(client);
        }
        for _ in 0..100 {
            tokio::task::yield_now().await; // so much of them is read
        }
        server.clients.borrow().values().for_each(|c| c.idle_since.set(Time(0))); // they are no new ones
        assert!(server.evict_one() && server.evict_one(), "nothing of them is unread");
        for (client, part) in clients.iter_mut().zip(parts) {
            let id = format!("Id: {part}");
            client.write_all(&PAY.replace("Id: 1", &id[..5]).as_bytes()[part..]).unwrap();
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

/// An idle connection that has sent complete requests, and was answered so many milliseconds ago.
fn idle(key: u8, millis: u64) -> Candidate<u8> {
    let idle_since = Time(NOW.0 - millis * 1_000);
    Candidate { key, busy: false, proven: true, slot_released: false, idle_since, body_since: None }
}

/// One that was accepted so long ago and has sent none.
fn unproven(key: u8, millis: u64) -> Candidate<u8> {
    Candidate { proven: false, ..idle(key, millis) }
}

/// One whose request's body is being read for so long.
fn sending(key: u8, proven: bool, millis: u64) -> Candidate<u8> {
    let body_since = Some(Time(NOW.0 - millis * 1_000));
    Candidate { busy: true, proven, body_since, ..idle(key, 5_000) }
}

fn order(crowded_by_unproven: bool, candidates: &[Candidate<u8>]) -> Vec<u8> {
    let order = eviction_order(NOW, crowded_by_unproven, candidates.iter().copied());
    order.into_iter().map(|c| c.key).collect()
}

#[test]
fn eviction_order_names_the_longest_idle_connection_first() {
    assert_eq!(order(false, &[idle(1, 300), idle(2, 900), idle(3, 600)]), [2, 3, 1]);
}

#[test]
fn eviction_order_leaves_out_busy_and_evicted_connections() {
    let busy = Candidate { busy: true, ..idle(1, 900) };
    let evicted = Candidate { slot_released: true, ..idle(2, 900) };
    assert_eq!(order(false, &[busy, evicted, idle(3, 1)]), [3]);
    assert!(order(true, &[busy, evicted]).is_empty());
}

#[test]
fn unproven_connection_goes_before_idle_ones_once_its_first_request_is_overdue() {
    let all = [idle(1, 900), unproven(2, 100), unproven(3, 99)];
    assert_eq!(order(false, &all), [2, 1, 3]);
}

#[test]
fn unproven_connections_go_first_at_any_age_while_they_hold_too_many_slots() {
    let all = [idle(1, 900), unproven(2, 100), unproven(3, 0)];
    assert_eq!(order(true, &all), [2, 3, 1]);
}

#[test]
fn connection_that_sends_a_body_may_go_after_its_patience_or_at_once_while_crowded_and_unproven() {
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
