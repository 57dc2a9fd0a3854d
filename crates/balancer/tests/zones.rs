//! Unreachable zones and load reports, in fleets so large that each proxy sees little of each backend.

mod common;

use common::*;
use shaletide_balancer::*;

const OWN: u32 = 0;
const FAR: u32 = 1;

/// Creates one of a hundred proxies, in zone `OWN`, with twenty backends in each of two zones.
fn proxy_among_hundred() -> Harness {
    let cfg = Config { proxies: 100, zone: ZoneId(OWN), ..Config::example() };
    let mut harness = Harness::new(cfg, 7);
    harness.update_endpoints(EndpointUpdate::Snapshot, (0..40).map(|id| backend(id, id % 2, 0)).collect());
    harness
}

/// Sends `count` requests, one after the other, whose attempts end with the outcome that `end` returns for their backend.
/// Returns the number of attempts sent to the far zone.
fn send(harness: &mut Harness, count: usize, end: impl Fn(&BackendEntry) -> Outcome) -> usize {
    let mut far = 0;
    for _ in 0..count {
        let id = harness.send_request(0, 900_000);
        for number in 0..harness.cfg.max_attempts as usize {
            let Some(b) = harness.backends_tried(id).get(number).copied() else { break };
            let b = harness.list[&BackendId(b)].clone();
            far += usize::from(b.zone == ZoneId(FAR));
            harness.advance(5_000);
            harness.end(id, number, end(&b));
        }
        harness.advance(20_000);
    }
    far
}

fn far_zone_unreachable(b: &BackendEntry) -> Outcome {
    if b.zone == ZoneId(FAR) {
        Outcome::ConnectFailed
    } else {
        Outcome::Ok
    }
}

#[test]
fn unreachable_zone_gets_no_attempts_and_is_used_again_later() {
    let mut harness = proxy_among_hundred();
    assert!(send(&mut harness, 60, |_| Outcome::Ok) > 10, "the far zone is not in use");
    // Ejecting its twenty backends one by one would take four attempts each.
    let lost = send(&mut harness, 200, far_zone_unreachable);
    assert!((4..=30).contains(&lost), "{lost} attempts to an unreachable zone");
    harness.advance(4_000_000);
    assert!(send(&mut harness, 100, |_| Outcome::Ok) > 10, "the far zone is not in use again");
}

#[test]
fn single_dead_backend_does_not_make_zone_unreachable() {
    let mut harness = proxy_among_hundred();
    send(&mut harness, 60, |_| Outcome::Ok);
    let before = send(&mut harness, 100, |_| Outcome::Ok);
    let mut dead = None;
    for id in (0..40).filter(|id| id % 2 == FAR) {
        dead = dead.or(Some(BackendId(id)));
    }
    let after =
        send(&mut harness, 100, |b| if Some(b.id) == dead { Outcome::ConnectFailed } else { Outcome::Ok });
    assert!(after * 2 > before, "{after} attempts to the far zone, {before} before");
}

#[test]
fn all_zones_stay_in_use_where_none_responds() {
    let mut harness = proxy_among_hundred();
    send(&mut harness, 60, |_| Outcome::Ok);
    let far = send(&mut harness, 40, |_| Outcome::ConnectFailed);
    assert!(far > 10, "{far} attempts to the far zone");
}

/// The number of proxies that use a backend bounds its load: with six proxies and one request of each, it stays fast.
#[test]
fn subsets_are_smaller_and_cover_all_backends_where_load_is_reported() {
    let (proxies, backends) = (300, 60);
    let (mut users, mut pairs) = (vec![0; backends as usize], 0);
    for position in 0..proxies {
        let cfg = Config { proxies, position, weights_report_load: true, ..Config::example() };
        let mut harness = Harness::new(cfg, u64::from(position));
        let list = |weight| {
            (0..backends).map(move |id| BackendEntry { weight, ..backend(id, id % 3, 0) }).collect::<Vec<_>>()
        };
        harness.update_endpoints(EndpointUpdate::Snapshot, list(1_000));
        let mut used = std::collections::BTreeSet::new();
        for round in 0..24 {
            // One request in flight on a core: the list reports load.
            harness.update_endpoints(EndpointUpdate::Delta, list(500 + round % 2));
            let id = harness.send_request(0, 900_000);
            used.extend(harness.backends_tried(id));
            harness.serve_all_in_flight(10_000);
        }
        pairs += used.len();
        used.into_iter().for_each(|id| users[id as usize] += 1);
    }
    assert!(
        pairs < 3 * proxies as usize,
        "{pairs} pairs of a proxy and a backend: 360 and those at the ends of the arcs are enough"
    );
    assert!(users.iter().all(|n| (3..=20).contains(n)), "expected about six each: {users:?}");
}

/// Neither the reduced admitted fraction nor a backend's reduced traffic may outlast the reports that led to them.
#[test]
fn all_requests_are_admitted_again_after_load_reports_end() {
    let cfg = Config { proxies: 100, weights_report_load: true, ..Config::example() };
    let mut harness = Harness::new(cfg, 3);
    let list =
        |weight| (0..40).map(move |id| BackendEntry { weight, ..backend(id, id % 2, 0) }).collect::<Vec<_>>();
    harness.update_endpoints(EndpointUpdate::Snapshot, list(1_000));
    let served = |harness: &mut Harness| {
        (0..50)
            .filter(|_| {
                let id = harness.send_request(0, 900_000);
                harness.serve_all_in_flight(20_000);
                harness.requests[&id].answer == Some("served")
            })
            .count()
    };
    // All backends have nine in flight on a core for five seconds: fewer requests are admitted.
    let mut admitted = 50;
    for round in 0..5 {
        harness.update_endpoints(EndpointUpdate::Delta, list(100 + round % 2));
        admitted = served(&mut harness);
    }
    assert!(admitted < 40, "{admitted} of 50 admitted while all backends are overloaded");
    harness.advance(3_000_000);
    for _ in 0..6 {
        served(&mut harness);
    }
    assert_eq!(served(&mut harness), 50, "about ten seconds after the last report");
}
