//! Slow start of backends that have just started.

mod common;

use common::{backend, fleet, harness, serve, Harness};
use shaletide_balancer::*;

#[test]
fn warming_backend_gets_less_than_slow_start_budget() {
    let cfg =
        Config { proxies: 1, initial_capacity_fraction: 0.1, overload_multiple: 2.0, ..Config::example() };
    let mut harness = harness(cfg, fleet(3));
    serve(&mut harness, 200, 0, |_| 20_000);
    let warming = BackendEntry { started_at: Some(harness.now), ..backend(9, 0, 0) };
    harness.update_endpoints(EndpointUpdate::Delta, vec![warming]);
    let chosen = serve(&mut harness, 100, 0, |_| 20_000); // two seconds, one overload window
    let sent = chosen.iter().filter(|b| **b == 9).count();
    // A warm backend serves about 50 + 17 a second: a tenth of it, doubled, over two seconds are 27 at most.
    assert!((1..=14).contains(&sent), "{sent} of 100 went to the warming backend");
}

#[test]
fn burst_does_not_overload_warming_backend() {
    let cfg =
        Config { proxies: 3, initial_capacity_fraction: 0.1, overload_multiple: 2.0, ..Config::example() };
    let mut harness = harness(cfg, fleet(12));
    serve(&mut harness, 100, 0, |_| 20_000);
    let started_at = Some(harness.now);
    let list = (0..12).map(|i| BackendEntry { started_at, ..backend(i, 0, 0) }).collect();
    harness.update_endpoints(EndpointUpdate::Snapshot, list);
    let mut sent = 0;
    for _ in 0..25 {
        harness.send_requests(4, 0, 900_000);
        harness.advance(20_000);
        let out = harness.in_flight();
        sent += out.len();
        out.into_iter().for_each(|(id, no)| harness.end(id, no, Outcome::Ok));
    }
    // Served in 20 ms: 100 a second at most; a tenth of it, doubled, over two seconds, a third, times 0.8: 11 each.
    let tries = || harness.requests.values().flat_map(|r| &r.attempts).filter(|t| Some(t.at) >= started_at);
    let most = (0..12).map(|b| tries().filter(|t| t.backend == BackendId(b)).count()).max();
    assert!(sent >= 1 && most <= Some(11), "{sent} sent, {most:?} to one warming backend");
}

/// Latency at a backend of many cores does not grow until most of them are in use: it shows the whole speed, where that
/// of one shared core shows half of it.
#[test]
fn burst_does_not_overload_warming_backend_with_many_cores() {
    let cfg = Config {
        proxies: 1,
        initial_capacity_fraction: 0.1,
        overload_multiple: 2.0,
        weights_report_cores: true,
        ..Config::example()
    };
    let list = |first, started_at| {
        (first..first + 2).map(|i| BackendEntry { started_at, weight: 16_000, ..backend(i, 0, 0) }).collect()
    };
    let mut harness = harness(cfg, list(0, None));
    let rounds = |harness: &mut Harness, count: usize| {
        for _ in 0..count {
            harness.send_requests(64, 0, 900_000);
            harness.advance(20_000);
            harness.in_flight().into_iter().for_each(|(id, no)| harness.end(id, no, Outcome::Ok));
        }
    };
    rounds(&mut harness, 100);
    let started_at = Some(harness.now);
    harness.update_endpoints(EndpointUpdate::Snapshot, list(2, started_at));
    rounds(&mut harness, 50);
    let tries = || harness.requests.values().flat_map(|r| &r.attempts).filter(|t| Some(t.at) >= started_at);
    let most = (2..4).map(|b| tries().filter(|t| t.backend == BackendId(b)).count()).max();
    // Eight cores and 20 ms: 400 a second at the most. At a tenth, doubled, over two seconds: 160.
    assert!(most >= Some(1) && most <= Some(160), "{most:?} to one warming backend");
}
