//! The budget of a cold backend, for classes whose work differs.

mod common;
use common::{backend, class, Host};
use shaletide_balancer::*;

const LIGHT: usize = 0;
const HEAVY: usize = 1;

/// One of so many proxies, that has learned on warm backends that one class takes three times as long as the other,
/// and then sees only backends that have just started.
fn host_before_cold_backends(proxies: u32) -> Host {
    let classes = vec![class(Effect::Free), class(Effect::Free)];
    let cfg = Config { proxies, classes, cold_from: 0.1, fall_multiple: 3.0, ..Config::example() };
    let mut host = Host::new(cfg, 11);
    host.members(ListUpdate::Full, (0..4).map(|i| backend(i, 0, 0)).collect());
    for _ in 0..60 {
        for (class, time) in [(LIGHT, 20_000), (HEAVY, 60_000)] {
            let id = host.arrive(class, 900_000);
            host.advance(time);
            host.end(id, 0, Outcome::Ok);
        }
    }
    host.advance(20_000_000); // what it held then counts no more
    let booted = Some(host.now);
    let cold = (10..14).map(|i| Backend { booted, ..backend(i, 0, 0) }).collect();
    host.members(ListUpdate::Full, cold);
    host
}

#[test]
fn class_above_mean_work_is_sent_to_cold_backends_among_many_proxies() {
    for proxies in [30, 350] {
        let mut host = host_before_cold_backends(proxies);
        let id = host.arrive(HEAVY, 900_000);
        assert_eq!(host.requests[&id].tries.len(), 1, "{proxies} proxies");
    }
}

#[test]
fn cold_backend_gets_nothing_after_a_heavy_request_in_the_same_fall_window() {
    for second in [HEAVY, LIGHT] {
        let mut host = host_before_cold_backends(30);
        let booted = host.now;
        for class in [HEAVY, HEAVY, HEAVY, HEAVY, second, second] {
            let id = host.arrive(class, 900_000);
            host.advance(1_000);
            if !host.requests[&id].tries.is_empty() {
                host.end(id, 0, Outcome::Ok);
            }
        }
        let tries = || host.requests.values().flat_map(|r| &r.tries).filter(|t| t.at >= booted);
        let sent: Vec<usize> =
            (10..14).map(|b| tries().filter(|t| t.backend == BackendId(b)).count()).collect();
        assert_eq!(sent, [1; 4], "class {second} after it");
    }
}
