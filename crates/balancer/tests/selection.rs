//! Selection of a backend: shares, concurrency limits, subsets, zone affinity.

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
    assert!(fast >= 95, "{fast} of 100 went to the fast type");
}

#[test]
fn selection_within_server_type_is_even() {
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(4));
    let chosen = serve(&mut harness, 800, 0, |_| 20_000);
    for b in 0..4 {
        let part = chosen.iter().filter(|c| **c == b).count();
        assert!((150..=250).contains(&part), "backend {b} got {part} of 800");
    }
}

#[test]
fn concurrency_limits_of_all_proxies_add_up_to_target() {
    // Limits that each proxy rounds by a random number of its own would overload some backends.
    let mut in_flight = [0; 6];
    for position in 0..3 {
        let mut harness = harness(Config { proxies: 3, position, ..Config::example() }, fleet(6));
        harness.send_requests(40, 0, 900_000);
        let tries = harness.requests.values().flat_map(|r| &r.attempts);
        tries.for_each(|t| in_flight[t.backend.0 as usize] += 1);
    }
    assert_eq!(in_flight, [4; 6]);
}

/// A list may have weights and no cores: the limit goes by half of the weight, as cores may be fast.
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
    assert_eq!(limit([8_000, 8_000], true, false), 16, "four a core, of which there are four at least");
    assert_eq!(limit([2_500, 3_900], true, false), 4, "this may be one fast core");
    assert_eq!(limit([8_000, 8_000], false, false), 4, "a weight that is not a size");
    assert_eq!(limit([8_000, 2_000], true, true), 16, "live: it was larger when the backend was idle");
}

#[test]
fn subsets_of_many_proxies_are_small_and_cover_all_backends_evenly() {
    // A backend takes few connections: not every proxy can keep one.
    let mut sent = [0; 30];
    for position in 0..300 {
        let mut harness = harness(Config { proxies: 300, position, ..Config::example() }, fleet(30));
        let used_by_proxy = serve(&mut harness, 20, 0, |_| 10_000);
        let used: std::collections::BTreeSet<u32> = used_by_proxy.iter().copied().collect();
        assert!(used.len() <= 3, "proxy {position} uses {} backends, two and an edge would do", used.len());
        used_by_proxy.iter().for_each(|b| sent[*b as usize] += 1);
    }
    assert!(sent.iter().all(|n| (140..=260).contains(n)), "200 each expected: {sent:?}");
}

#[test]
fn requests_over_concurrency_limit_wait_and_use_freed_capacity_at_once() {
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(2));
    harness.send_requests(20, 0, 900_000);
    let out = harness.in_flight();
    assert!((8..=10).contains(&out.len()), "{} out on two backends", out.len());
    let (id, no) = out[0];
    harness.advance(20_000);
    let before = harness.in_flight().len();
    harness.end(id, no, Outcome::Ok);
    assert_eq!(harness.in_flight().len(), before, "freed capacity is used at once");
}

fn zones(cost: f64) -> usize {
    let cfg = Config { cross_zone_cost: cost, ..Config::example() };
    let mut harness = harness(cfg, (0..9).map(|i| backend(i, i % 3, 0)).collect());
    serve(&mut harness, 300, 0, |_| 10_000).iter().filter(|b| *b % 3 == 0).count()
}

#[test]
fn traffic_stays_in_zone_where_crossing_zones_costs() {
    assert!(zones(0.05) >= 270, "{} of 300 stayed", zones(0.05));
    assert!((70..=130).contains(&zones(0.0)), "{} of 300 stayed without a cost", zones(0.0));
}

#[test]
fn zone_with_few_backends_sends_surplus_to_other_zones() {
    // Own zone holds one of seven backends; three zones' proxies bring a third each: 3/7 may stay.
    let cfg = Config { cross_zone_cost: 0.05, ..Config::example() };
    let list = (0..7).map(|i| backend(i, if i == 0 { 0 } else { 1 + i % 2 }, 0)).collect();
    let mut harness = harness(cfg, list);
    let near = serve(&mut harness, 400, 0, |_| 10_000).iter().filter(|b| **b == 0).count();
    assert!((120..=220).contains(&near), "{near} of 400 stayed on the one near backend");
}
