//! Zones that are cut off, and slices where backends say what they hold: at the size at which one proxy sees little.

mod common;

use common::*;
use shaletide_balancer::*;

const OWN: u32 = 0;
const FAR: u32 = 1;

/// One of a hundred proxies in the own zone, before twenty backends of each zone.
fn one_of_a_hundred() -> Host {
    let cfg = Config { proxies: 100, zone: ZoneId(OWN), ..Config::example() };
    let mut host = Host::new(cfg, 7);
    host.members(EndpointUpdate::Snapshot, (0..40).map(|id| backend(id, id % 2, 0)).collect());
    host
}

/// Requests, one each 20 ms, with the given end of an attempt at a backend; how many attempts went to the far zone.
fn ask(host: &mut Host, count: usize, end: impl Fn(&BackendEntry) -> Outcome) -> usize {
    let mut far = 0;
    for _ in 0..count {
        let id = host.arrive(0, 900_000);
        for no in 0..host.cfg.max_attempts as usize {
            let Some(to) = host.sent_to(id).get(no).copied() else { break };
            let to = host.list[&BackendId(to)].clone();
            far += usize::from(to.zone == ZoneId(FAR));
            host.advance(5_000);
            host.end(id, no, end(&to));
        }
        host.advance(20_000);
    }
    far
}

fn cut(to: &BackendEntry) -> Outcome {
    if to.zone == ZoneId(FAR) {
        Outcome::ConnectFailed
    } else {
        Outcome::Ok
    }
}

#[test]
fn a_zone_that_is_cut_off_is_left_as_a_whole_and_asked_again() {
    let mut host = one_of_a_hundred();
    assert!(ask(&mut host, 60, |_| Outcome::Ok) > 10, "the far zone is in use");
    // Each of its backends would cost four attempts before it is ejected: eighty.
    let lost = ask(&mut host, 200, cut);
    assert!((4..=30).contains(&lost), "{lost} attempts to a zone that is cut off");
    host.advance(4_000_000);
    assert!(ask(&mut host, 100, |_| Outcome::Ok) > 10, "the far zone is in use again");
}

#[test]
fn one_dead_box_is_no_zone_that_is_cut_off() {
    let mut host = one_of_a_hundred();
    ask(&mut host, 60, |_| Outcome::Ok);
    let before = ask(&mut host, 100, |_| Outcome::Ok);
    let mut dead = None;
    for id in (0..40).filter(|id| id % 2 == FAR) {
        dead = dead.or(Some(BackendId(id)));
    }
    let after =
        ask(&mut host, 100, |to| if Some(to.id) == dead { Outcome::ConnectFailed } else { Outcome::Ok });
    assert!(after * 2 > before, "{after} attempts to the far zone, {before} before");
}

#[test]
fn where_nothing_comes_back_from_anywhere_no_zone_is_left() {
    let mut host = one_of_a_hundred();
    ask(&mut host, 60, |_| Outcome::Ok);
    let far = ask(&mut host, 40, |_| Outcome::ConnectFailed);
    assert!(far > 10, "{far} attempts to the far zone");
}

/// A backend's room is kept by how many proxies use it: with six each, and one request of each, it never turns slow.
#[test]
fn where_boxes_say_what_they_hold_few_proxies_share_one_and_all_are_covered() {
    let (proxies, boxes) = (300, 60);
    let (mut users, mut pairs) = (vec![0; boxes as usize], 0);
    for position in 0..proxies {
        let cfg = Config { proxies, position, weights_report_load: true, ..Config::example() };
        let mut host = Host::new(cfg, u64::from(position));
        let list = |weight| {
            (0..boxes).map(move |id| BackendEntry { weight, ..backend(id, id % 3, 0) }).collect::<Vec<_>>()
        };
        host.members(EndpointUpdate::Snapshot, list(1_000));
        let mut used = std::collections::BTreeSet::new();
        for round in 0..24 {
            // One held, of a thousandth each: the list speaks.
            host.members(EndpointUpdate::Delta, list(500 + round % 2));
            let id = host.arrive(0, 900_000);
            used.extend(host.sent_to(id));
            host.serve_all(10_000);
        }
        pairs += used.len();
        used.into_iter().for_each(|id| users[id as usize] += 1);
    }
    assert!(pairs < 3 * proxies as usize, "{pairs} pairs of a proxy and a box: 360 and the edges would do");
    assert!(users.iter().all(|n| (3..=20).contains(n)), "some six each expected: {users:?}");
}

/// Found by reading: what was let in by the last news was held on to for ever, and a backend's small part with it.
#[test]
fn where_boxes_fall_silent_what_they_said_last_is_not_held_on_to() {
    let cfg = Config { proxies: 100, weights_report_load: true, ..Config::example() };
    let mut host = Host::new(cfg, 3);
    let list =
        |weight| (0..40).map(move |id| BackendEntry { weight, ..backend(id, id % 2, 0) }).collect::<Vec<_>>();
    host.members(EndpointUpdate::Snapshot, list(1_000));
    let served = |host: &mut Host| {
        (0..50)
            .filter(|_| {
                let id = host.arrive(0, 900_000);
                host.serve_all(20_000);
                host.requests[&id].answer == Some("served")
            })
            .count()
    };
    // All hold nine, for five seconds: fewer are let in.
    let mut full = 50;
    for round in 0..5 {
        host.members(EndpointUpdate::Delta, list(100 + round % 2));
        full = served(&mut host);
    }
    assert!(full < 40, "{full} of 50 let in where all are full");
    host.advance(3_000_000);
    for _ in 0..6 {
        served(&mut host);
    }
    assert_eq!(served(&mut host), 50, "some six seconds after the last word");
}
