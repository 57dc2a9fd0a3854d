//! Slow start: backends that have just started are not overloaded.

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
    // A warm backend serves about 50 + 17 a second: a tenth of that, doubled, over two seconds is at most 27.
    assert!((1..=14).contains(&sent), "{sent} of 100 were sent to the warming backend");
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
        let dispatched = harness.in_flight();
        sent += dispatched.len();
        dispatched.into_iter().for_each(|(id, no)| harness.end(id, no, Outcome::Ok));
    }
    // At 20 ms a backend serves at most 100 a second. A tenth of that, doubled, over two seconds, divided by three proxies,
    // times 0.8 is 11 for each backend.
    let sent_attempts =
        || harness.requests.values().flat_map(|r| &r.attempts).filter(|t| Some(t.at) >= started_at);
    let max_sent = (0..12).map(|b| sent_attempts().filter(|t| t.backend == BackendId(b)).count()).max();
    assert!(sent >= 1 && max_sent <= Some(11), "{sent} sent, {max_sent:?} to one warming backend");
}

/// The latency at a backend with many cores does not grow until most of them are in use: under load it still shows the full
/// speed, while that of a single shared core shows only half of it.
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
    let run_rounds = |harness: &mut Harness, count: usize| {
        for _ in 0..count {
            harness.send_requests(64, 0, 900_000);
            harness.advance(20_000);
            harness.in_flight().into_iter().for_each(|(id, no)| harness.end(id, no, Outcome::Ok));
        }
    };
    run_rounds(&mut harness, 100);
    let started_at = Some(harness.now);
    harness.update_endpoints(EndpointUpdate::Snapshot, list(2, started_at));
    run_rounds(&mut harness, 50);
    let sent_attempts =
        || harness.requests.values().flat_map(|r| &r.attempts).filter(|t| Some(t.at) >= started_at);
    let max_sent = (2..4).map(|b| sent_attempts().filter(|t| t.backend == BackendId(b)).count()).max();
    // Eight cores at 20 ms serve at most 400 a second. A tenth of that, doubled, over two seconds is 160.
    assert!(max_sent >= Some(1) && max_sent <= Some(160), "{max_sent:?} to one warming backend");
}
