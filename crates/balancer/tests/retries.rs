//! Retries, hedges and streams.

mod common;

use common::{backend, class, config, fleet, harness, serve};
use shaletide_balancer::*;

/// Where responses are lost, a request would otherwise wait until its deadline.
#[test]
fn old_attempt_is_hedged_only_while_most_attempts_of_its_age_are_lost() {
    for lost in [true, false] {
        let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(6));
        serve(&mut harness, 100, 0, |_| 10_000);
        let mut hedged = Vec::new();
        for n in 0..150 {
            let id = harness.send_request(0, 700_000);
            harness.advance([300_000, 100_000, 100_000].get(n % 10).copied().unwrap_or(10_000));
            if n % 10 == 0 {
                hedged.push(harness.backends_tried(id).len() == 2);
            }
            if n % 10 == 0 && lost && harness.backends_tried(id).len() == 1 {
                harness.advance(400_000);
            } else {
                harness.end(id, harness.backends_tried(id).len() - 1, Outcome::Ok);
            }
        }
        assert!(!hedged[..5].contains(&true), "hedged before any loss was measured: {hedged:?}");
        assert_eq!(
            hedged[10..].contains(&true),
            lost,
            "hedged if and only if old attempts are lost: {hedged:?}"
        );
        assert_eq!(hedged[10..].contains(&false), !lost, "{hedged:?}");
    }
}

#[test]
fn ejection_hedges_or_cancels_other_attempts_at_backend() {
    for hedging in [true, false] {
        let cfg = Config { hedging, proxies: 1, ..config(vec![class(Idempotency::Safe)]) };
        let mut harness = harness(cfg, fleet(1));
        serve(&mut harness, 100, 0, |_| 10_000);
        harness.advance(5_000);
        let ids = [harness.send_request(0, 900_000), harness.send_request(0, 900_000)];
        harness.update_endpoints(EndpointUpdate::Snapshot, fleet(6));
        harness.advance(20_000);
        harness.end(ids[0], 0, Outcome::TimedOut);
        harness.advance(20_000);
        assert_eq!(harness.backends_tried(ids[1]).len(), 2, "hedging {hedging}");
        let cancelled = harness.requests[&ids[1]].attempts[0].outcome == Some(Outcome::Cancelled);
        assert_eq!(cancelled, !hedging, "the first attempt is cancelled only without hedging");
    }
}

#[test]
fn non_idempotent_request_is_retried_only_if_not_executed() {
    let mut harness = harness(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut harness, 60, 0, |_| 10_000);
    let id = harness.send_request(0, 900_000);
    harness.end(id, 0, Outcome::Error);
    assert_eq!(harness.requests[&id].answer, Some("failed"));
    let id = harness.send_request(0, 900_000);
    harness.end(id, 0, Outcome::ConnectFailed);
    assert_eq!(harness.backends_tried(id).len(), 2);
}

#[test]
fn keyed_retry_stays_in_scope_and_deduplication_window() {
    let keyed = class(Idempotency::Keyed(DeduplicationScope::Zone, Micros(200_000)));
    let mut harness = harness(config(vec![keyed]), (0..6).map(|i| backend(i, i % 2, 0)).collect());
    serve(&mut harness, 60, 0, |_| 10_000);
    let id = harness.send_request(0, 900_000);
    harness.end(id, 0, Outcome::Error);
    let sent = harness.backends_tried(id);
    assert!(sent.len() == 2 && sent[0] % 2 == sent[1] % 2, "{sent:?}");
    let id = harness.send_request(0, 900_000);
    harness.advance(175_000);
    harness.end(id, 0, Outcome::Error);
    assert_eq!(harness.backends_tried(id).len(), 2, "not retried 25 ms before the end of the window");
    for at in [185_000, 210_000] {
        let id = harness.send_request(0, 900_000);
        harness.advance(at);
        harness.end(id, 0, Outcome::Error);
        assert_eq!(
            harness.backends_tried(id).len(),
            1,
            "retried after {at} us, too close to the end of the window"
        );
        assert_eq!(harness.requests[&id].answer, Some("failed"));
    }
}

#[test]
fn started_stream_is_neither_hedged_nor_expired() {
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(2));
    let id = harness.send_request(0, 300_000);
    harness.start_stream(id, 0);
    harness.advance(2_000_000);
    assert_eq!(harness.requests[&id].answer, None);
    assert_eq!(harness.backends_tried(id).len(), 1);
}

/// An attempt can end as not sent, for example, because the backend's address changed while the connection was being made.
/// The backend is still listed, and may be the only one.
#[test]
fn attempt_not_sent_is_repeated_at_same_backend_up_to_max_attempts() {
    let mut harness = harness(config(vec![class(Idempotency::NonIdempotent)]), fleet(1));
    let id = harness.send_request(0, 700_000);
    let limit = Config::example().max_attempts;
    for attempt in 0..limit {
        assert_eq!(harness.backends_tried(id).len() as u32, attempt + 1);
        harness.end(id, attempt as usize, Outcome::NotSent);
    }
    assert_eq!(harness.backends_tried(id).len() as u32, limit);
    assert_eq!(harness.requests[&id].answer, Some("rejected"));
}
