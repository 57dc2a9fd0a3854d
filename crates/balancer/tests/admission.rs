//! Admission control, quotas and the order of dispatch.

mod common;

use common::{class, config, fleet, harness};
use shaletide_balancer::*;

#[test]
fn pool_without_backends_rejects_within_half_of_time_left() {
    let mut harness =
        harness(config(vec![class(Idempotency::Safe), class(Idempotency::NonIdempotent)]), Vec::new());
    let ids = [harness.send_request(0, 700_000), harness.send_request(1, 700_000)];
    // Its client can still turn elsewhere.
    harness.advance(345_000);
    assert!(ids.iter().all(|id| harness.requests[id].answer == Some("rejected")));
}

#[test]
fn tenant_with_few_requests_within_quota_is_not_rejected() {
    // A proxy's part of a quota may be below one request a second, and two come at once by chance.
    let tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut harness = harness(Config { proxies: 100, tenants, ..Config::example() }, fleet(20));
    let mut rejected = 0;
    for _ in 0..30 {
        // Two at once each nine seconds, 0.22 a second of 0.5 due, with about five places for each.
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
    // A proxy with less than one place at a backend goes by what it has in flight on average.
    let mut cfg = Config { proxies: 100, tenants: vec![Tenant { quota_per_s: 1e6 }], ..Config::example() };
    cfg.tenants.push(Tenant { quota_per_s: 1e-3 });
    let mut harness = harness(cfg, fleet(20));
    let mut answer = |proxied: u64, tenant: usize| {
        // One attempt in flight for so long of every second: all hundred have so many in flight on twenty backends.
        for _ in 0..20 {
            let id = harness.send_request_of(0, 990_000, Some(TenantId(0)));
            harness.advance(proxied);
            harness.end(id, 0, Outcome::Ok);
            harness.advance(1_000_000 - proxied);
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
    // A proxy with more traffic than others takes all for like itself; latencies show that backends are idle.
    let tenants = vec![Tenant { quota_per_s: 1e-3 }];
    let cfg = Config { proxies: 100, tenants, classes: vec![class(Idempotency::Safe)], ..Config::example() };
    let rejections = |weights_report_load: bool, latency_objective: u64, latency: u64| {
        let mut cfg = Config { weights_report_load, ..cfg.clone() };
        cfg.classes[0].latency_objective = Micros(latency_objective);
        let mut harness = harness(cfg, fleet(20));
        let mut rejected = 0;
        for _ in 0..100 {
            // In flight for six tenths of the time: three on each backend, if all hundred proxies have as much.
            let id = harness.send_request_of(0, 2_000_000, Some(TenantId(0)));
            rejected += u32::from(harness.requests[&id].answer == Some("rejected"));
            harness.advance(latency);
            harness.end(id, 0, Outcome::Ok);
            harness.advance(latency * 2 / 3);
        }
        rejected
    };
    assert_eq!(rejections(false, 400_000, 60_000), 0, "60 ms of an objective of 400: little is in flight");
    assert!(rejections(false, 400_000, 330_000) > 10, "330 ms of an objective of 400: at the target");
    assert!(rejections(true, 400_000, 60_000) > 10, "where lists report load, reports are waited for");
}

#[test]
fn client_retry_waits_behind_new_requests() {
    // Served newest first, retries would make everyone late.
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(1));
    let fill = harness.send_requests(8, 0, 900_000);
    harness.advance(5_000);
    let first = harness.send_request(0, 900_000);
    harness.is_client_retry = true;
    let repeat = harness.send_request(0, 900_000);
    harness.advance(15_000);
    fill.iter().for_each(|id| harness.end(*id, 0, Outcome::Ok));
    let at = |id: &RequestId| harness.requests[id].attempts.first().map(|t| t.at);
    assert!(at(&first).is_some());
    assert!(at(&repeat).is_none_or(|t| t >= at(&first).unwrap()), "the repeat went first");
}

#[test]
fn traffic_over_quota_leaves_capacity_for_other_tenants() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1_000.0 }];
    let mut harness = harness(Config { proxies: 1, tenants, ..Config::example() }, fleet(2));
    let flood: Vec<RequestId> =
        (0..30).map(|_| harness.send_request_of(0, 900_000, Some(TenantId(0)))).collect();
    let flooded = flood.iter().filter(|id| !harness.backends_tried(**id).is_empty()).count();
    let other = harness.send_request_of(0, 900_000, Some(TenantId(1)));
    assert!(flooded <= 6, "{flooded} of the flood went out");
    assert_eq!(harness.backends_tried(other).len(), 1, "the other tenant waits behind the flood");
}

#[test]
fn overload_serves_highest_priority_weight_first() {
    let rich = Class { priority_weight: 8.0, ..class(Idempotency::Safe) };
    let mut harness =
        harness(Config { proxies: 1, ..config(vec![class(Idempotency::Safe), rich]) }, fleet(1));
    let ids: Vec<RequestId> = (0..60).map(|n| harness.send_request(n % 2, 900_000)).collect();
    for _ in 0..6 {
        harness.serve_all_in_flight(60_000);
    }
    harness.advance(900_000);
    let served =
        |c: usize| ids.iter().skip(c).step_by(2).filter(|i| harness.requests[i].answer == Some("served"));
    let (poor, rich) = (served(0).count(), served(1).count());
    assert!(rich > poor, "{rich} rich and {poor} poor requests were served");
}
