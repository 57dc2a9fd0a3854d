//! Selection of a backend: traffic shares, concurrency limits, subsets, zone affinity.

mod common;

use common::{backend, fleet, harness, serve, Harness};
use shaletide_balancer::*;

#[test]
fn faster_server_type_gets_nearly_all_requests_at_light_load() {
    let list = (0..6).map(|i| backend(i, 0, i % 2)).collect();
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, list);
    let time = |b: u32| if b % 2 == 0 { 20_000 } else { 80_000 };
    serve(&mut harness, 150, 0, time);
    let chosen = serve(&mut harness, 100, 0, time);
    let fast = chosen.iter().filter(|b| *b % 2 == 0).count();
    assert!(fast >= 95, "{fast} of 100 were sent to the fast type");
}

#[test]
fn selection_within_server_type_is_even() {
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(4));
    let chosen = serve(&mut harness, 800, 0, |_| 20_000);
    for b in 0..4 {
        let part = chosen.iter().filter(|c| **c == b).count();
        assert!((150..=250).contains(&part), "backend {b} received {part} of 800");
    }
}

#[test]
fn concurrency_limits_of_all_proxies_add_up_to_target() {
    // If each proxy rounded its limits by an independent random number, some backends would be overloaded.
    let mut in_flight = [0; 6];
    for position in 0..3 {
        let mut harness = harness(Config { proxies: 3, position, ..Config::example() }, fleet(6));
        harness.send_requests(40, 0, 900_000);
        let sent_attempts = harness.requests.values().flat_map(|r| &r.attempts);
        sent_attempts.for_each(|t| in_flight[t.backend.0 as usize] += 1);
    }
    assert_eq!(in_flight, [4; 6]);
}

/// A list may have weights but no numbers of cores. The limit follows half of the weight then, as cores may be fast.
#[test]
fn concurrency_limit_follows_weight_where_list_has_no_cores() {
    let limit = |weights: [u32; 2], weights_report_cores: bool, weights_report_load: bool| {
        let list = weights.map(|weight| BackendEntry { weight, ..backend(0, 0, 0) });
        let mut harness = Harness::new(
            Config { proxies: 1, weights_report_cores, weights_report_load, ..Config::example() },
            11,
        );
        list.into_iter().for_each(|b| harness.update_endpoints(EndpointUpdate::Snapshot, vec![b]));
        let ids: Vec<RequestId> = (0..60).map(|_| harness.send_request(0, 900_000)).collect();
        ids.into_iter().filter(|id| !harness.backends_tried(*id).is_empty()).count()
    };
    assert_eq!(limit([8_000, 8_000], true, false), 16, "four on each of at least four cores");
    assert_eq!(limit([2_500, 3_900], true, false), 4, "the weight may be that of one fast core");
    assert_eq!(limit([8_000, 8_000], false, false), 4, "the weight is not a size");
    assert_eq!(limit([8_000, 2_000], true, true), 16, "the live weight was larger when the backend was idle");
}

#[test]
fn subsets_of_many_proxies_are_small_and_cover_all_backends_evenly() {
    // A backend accepts few connections: not every proxy can keep one to it.
    let mut sent = [0; 30];
    for position in 0..300 {
        let mut harness = harness(Config { proxies: 300, position, ..Config::example() }, fleet(30));
        let used_by_proxy = serve(&mut harness, 20, 0, |_| 10_000);
        let used: std::collections::BTreeSet<u32> = used_by_proxy.iter().copied().collect();
        assert!(used.len() <= 3, "proxy {position} uses {} backends instead of two or three", used.len());
        used_by_proxy.iter().for_each(|b| sent[*b as usize] += 1);
    }
    assert!(sent.iter().all(|n| (140..=260).contains(n)), "expected about 200 each: {sent:?}");
}

#[test]
fn requests_over_concurrency_limit_wait_and_use_freed_capacity_at_once() {
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(2));
    harness.send_requests(20, 0, 900_000);
    let dispatched = harness.in_flight();
    assert!((8..=10).contains(&dispatched.len()), "{} in flight at two backends", dispatched.len());
    let (id, no) = dispatched[0];
    harness.advance(20_000);
    let before = harness.in_flight().len();
    harness.end(id, no, Outcome::Ok);
    assert_eq!(harness.in_flight().len(), before, "freed capacity was not used at once");
}

fn requests_kept_in_zone(cost: f64) -> usize {
    let cfg = Config { cross_zone_cost: cost, ..Config::example() };
    let mut harness = harness(cfg, (0..9).map(|i| backend(i, i % 3, 0)).collect());
    serve(&mut harness, 300, 0, |_| 10_000).iter().filter(|b| *b % 3 == 0).count()
}

#[test]
fn traffic_stays_in_zone_where_crossing_zones_costs() {
    assert!(requests_kept_in_zone(0.05) >= 270, "{} of 300 stayed in the zone", requests_kept_in_zone(0.05));
    assert!(
        (70..=130).contains(&requests_kept_in_zone(0.0)),
        "{} of 300 stayed in the zone without a cost",
        requests_kept_in_zone(0.0)
    );
}

#[test]
fn zone_with_few_backends_sends_surplus_to_other_zones() {
    // The own zone has one of seven backends, and the proxies of each of three zones bring a third of the traffic: 3/7
    // of the own zone's traffic can stay.
    let cfg = Config { cross_zone_cost: 0.05, ..Config::example() };
    let list = (0..7).map(|i| backend(i, if i == 0 { 0 } else { 1 + i % 2 }, 0)).collect();
    let mut harness = harness(cfg, list);
    let in_own_zone = serve(&mut harness, 400, 0, |_| 10_000).iter().filter(|b| **b == 0).count();
    assert!(
        (120..=220).contains(&in_own_zone),
        "{in_own_zone} of 400 stayed at the only backend of the zone"
    );
}
