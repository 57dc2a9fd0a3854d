//! Admission control, quotas and the dispatch order.

mod common;

use common::{class, config, fleet, harness};
use shaletide_balancer::*;

#[test]
fn pool_without_backends_rejects_within_half_of_time_left() {
    let mut harness =
        harness(config(vec![class(Idempotency::Safe), class(Idempotency::NonIdempotent)]), Vec::new());
    let ids = [harness.send_request(0, 700_000), harness.send_request(1, 700_000)];
    // The clients still have time to try elsewhere.
    harness.advance(345_000);
    assert!(ids.iter().all(|id| harness.requests[id].answer == Some("rejected")));
}

#[test]
fn tenant_with_few_requests_within_quota_is_not_rejected() {
    // A proxy's part of a quota may be below one request a second, while two requests arrive together by chance.
    let tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut harness = harness(Config { proxies: 100, tenants, ..Config::example() }, fleet(20));
    let mut rejected = 0;
    for _ in 0..30 {
        // Two requests together every nine seconds are 0.22 a second, of a quota of 0.5 a second for this proxy.
        let ids: Vec<RequestId> =
            (0..2).map(|_| harness.send_request_of(0, 8_000_000, Some(TenantId(0)))).collect();
        harness.advance(7_000_000);
        rejected += ids.iter().filter(|id| harness.requests[id].answer == Some("rejected")).count();
        ids.iter().for_each(|id| harness.end(*id, 0, Outcome::Ok));
        harness.advance(2_000_000);
    }
    assert!(rejected <= 3, "{rejected} of 60 were rejected");
}

#[test]
fn large_fleet_rejects_low_priority_first_and_at_once_when_overloaded() {
    // With a concurrency limit below one at each backend, a proxy decides by its average requests in flight.
    let mut cfg = Config { proxies: 100, tenants: vec![Tenant { quota_per_s: 1e6 }], ..Config::example() };
    cfg.tenants.push(Tenant { quota_per_s: 1e-3 });
    let mut harness = harness(cfg, fleet(20));
    let mut answer = |busy_time: u64, tenant: usize| {
        // One attempt is in flight for `busy_time` of every second. All 100 proxies together then have 100 times that
        // fraction in flight, on 20 backends.
        for _ in 0..20 {
            let id = harness.send_request_of(0, 990_000, Some(TenantId(0)));
            harness.advance(busy_time);
            harness.end(id, 0, Outcome::Ok);
            harness.advance(1_000_000 - busy_time);
        }
        let id = harness.send_request_of(0, 990_000, Some(TenantId(tenant)));
        let answer = harness.requests[&id].answer;
        harness.end(id, 0, Outcome::Ok);
        answer
    };
    assert_eq!(answer(300_000, 1), None, "1.5 in flight on each backend: the quota's first token");
    assert_eq!(answer(300_000, 1), None, "1.5 in flight on each backend");
    assert_eq!(answer(600_000, 1), Some("rejected"), "3 in flight on each backend, over quota");
    assert_eq!(answer(600_000, 0), None, "3 in flight on each backend, within quota");
}

#[test]
fn low_priority_is_admitted_while_latency_is_low_and_no_reports_are_expected() {
    // A proxy with more traffic than others overestimates the fleet's traffic; its latencies show that backends are idle.
    let tenants = vec![Tenant { quota_per_s: 1e-3 }];
    let cfg = Config { proxies: 100, tenants, classes: vec![class(Idempotency::Safe)], ..Config::example() };
    let rejections = |weights_report_load: bool, latency_objective: u64, latency: u64| {
        let mut cfg = Config { weights_report_load, ..cfg.clone() };
        cfg.classes[0].latency_objective = Micros(latency_objective);
        let mut harness = harness(cfg, fleet(20));
        let mut rejected = 0;
        for _ in 0..100 {
            // In flight for 60 % of the time: three on each backend, if all 100 proxies have the same traffic.
            let id = harness.send_request_of(0, 2_000_000, Some(TenantId(0)));
            rejected += u32::from(harness.requests[&id].answer == Some("rejected"));
            harness.advance(latency);
            harness.end(id, 0, Outcome::Ok);
            harness.advance(latency * 2 / 3);
        }
        rejected
    };
    assert_eq!(rejections(false, 400_000, 60_000), 0, "60 ms of an objective of 400 ms: little is in flight");
    assert!(rejections(false, 400_000, 330_000) > 10, "330 ms of an objective of 400 ms: at the target");
    assert!(rejections(true, 400_000, 60_000) > 10, "latencies do not count where lists report load");
}

#[test]
fn client_retry_waits_behind_new_requests() {
    // If retries were served first as the newest requests, all requests would be late.
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(1));
    let occupying = harness.send_requests(8, 0, 900_000);
    harness.advance(5_000);
    let first = harness.send_request(0, 900_000);
    harness.is_client_retry = true;
    let client_retry = harness.send_request(0, 900_000);
    harness.advance(15_000);
    occupying.iter().for_each(|id| harness.end(*id, 0, Outcome::Ok));
    let at = |id: &RequestId| harness.requests[id].attempts.first().map(|t| t.at);
    assert!(at(&first).is_some());
    assert!(at(&client_retry).is_none_or(|t| t >= at(&first).unwrap()), "the client's retry was sent first");
}

#[test]
fn traffic_over_quota_leaves_capacity_for_other_tenants() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1_000.0 }];
    let mut harness = harness(Config { proxies: 1, tenants, ..Config::example() }, fleet(2));
    let over_quota: Vec<RequestId> =
        (0..30).map(|_| harness.send_request_of(0, 900_000, Some(TenantId(0)))).collect();
    let sent_over_quota = over_quota.iter().filter(|id| !harness.backends_tried(**id).is_empty()).count();
    let other = harness.send_request_of(0, 900_000, Some(TenantId(1)));
    assert!(sent_over_quota <= 6, "{sent_over_quota} requests over quota were sent");
    assert_eq!(harness.backends_tried(other).len(), 1, "the other tenant waits behind requests over quota");
}

#[test]
fn overload_serves_highest_priority_weight_first() {
    let high = Class { priority_weight: 8.0, ..class(Idempotency::Safe) };
    let mut harness =
        harness(Config { proxies: 1, ..config(vec![class(Idempotency::Safe), high]) }, fleet(1));
    let ids: Vec<RequestId> = (0..60).map(|n| harness.send_request(n % 2, 900_000)).collect();
    for _ in 0..6 {
        harness.serve_all_in_flight(60_000);
    }
    harness.advance(900_000);
    let served =
        |c: usize| ids.iter().skip(c).step_by(2).filter(|i| harness.requests[i].answer == Some("served"));
    let (low, high) = (served(0).count(), served(1).count());
    assert!(high > low, "served: {high} requests of high priority weight, {low} of low");
}
