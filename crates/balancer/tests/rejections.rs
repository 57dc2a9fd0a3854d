//! No proxy rejects everything for long: while its backends are listed it goes on sending attempts, whatever they did.

mod common;
use common::{backend, class, Harness};
use shaletide_balancer::*;

/// A proxy that made no attempt for so long while requests came has rejected all of them.
const MAX_GAP: Micros = Micros(4_000_000);
/// The time between two requests, and the time for which they come, in microseconds.
const INTERVAL: u64 = 100_000;
const SPAN: u64 = 20_000_000;
/// The latency of a backend that answers, in microseconds.
const LATENCY: u64 = 30_000;

const IDEMPOTENCIES: [Idempotency; 4] = [
    Idempotency::Safe,
    Idempotency::NonIdempotent,
    Idempotency::Keyed(DeduplicationScope::Group, Micros(1_000_000)),
    Idempotency::Keyed(DeduplicationScope::All, Micros(1_000_000)),
];

/// What a bad backend does with each attempt; with the last, nothing until the deadline.
const BAD: [Option<Outcome>; 5] = [
    Some(Outcome::ConnectFailed),
    Some(Outcome::Rejected),
    Some(Outcome::Error),
    Some(Outcome::NotSent),
    None,
];

#[derive(Clone, Copy, Debug)]
struct Fleet {
    proxies: u32,
    backends: u32,
    /// So many of the backends are bad.
    bad: u32,
    /// So many have just started, beginning with the good ones.
    warming: u32,
}

fn harness(fleet: Fleet, idempotency: Idempotency) -> Harness {
    let cfg = Config { proxies: fleet.proxies, classes: vec![class(idempotency)], ..Config::example() };
    let mut harness = Harness::new(cfg, 7);
    let started = |id| (id + fleet.warming >= fleet.backends).then_some(harness.now);
    let list =
        (0..fleet.backends).map(|id| BackendEntry { started_at: started(id), ..backend(id, 0, 0) }).collect();
    harness.update_endpoints(EndpointUpdate::Snapshot, list);
    harness
}

/// Ends the attempts in flight at backends which answer at once: good ones serve.
fn answer(harness: &mut Harness, fleet: Fleet, bad: Option<Outcome>) {
    loop {
        let out = harness.in_flight();
        let to = |(id, no): &(RequestId, usize)| harness.requests[id].attempts[*no].backend.0;
        let ends = out.into_iter().map(|attempt| (attempt, to(&attempt) < fleet.bad));
        let ends: Vec<_> = ends.filter(|(_, is_bad)| !is_bad || bad.is_some()).collect();
        if ends.is_empty() {
            return;
        }
        for ((id, no), is_bad) in ends {
            harness.end(id, no, if is_bad { bad.unwrap_or(Outcome::TimedOut) } else { Outcome::Ok });
        }
    }
}

/// The longest time without the start of an attempt.
fn longest_gap(fleet: Fleet, idempotency: Idempotency, bad: Option<Outcome>) -> Micros {
    let mut harness = harness(fleet, idempotency);
    let (begun, mut last, mut longest) = (harness.now, harness.now, Micros(0));
    while harness.now < begun + Micros(SPAN) {
        harness.send_request(0, 900_000);
        harness.advance(LATENCY);
        answer(&mut harness, fleet, bad);
        harness.advance(INTERVAL - LATENCY);
        answer(&mut harness, fleet, bad);
        let starts = harness.requests.values().flat_map(|r| r.attempts.iter().map(|attempt| attempt.at));
        last = starts.max().map_or(last, |latest| latest.max(last));
        longest = longest.max(harness.now - last);
        harness.requests.retain(|_, r| r.answer.is_none() || r.attempts.iter().any(|t| t.outcome.is_none()));
    }
    longest
}

fn assert_attempts(fleet: Fleet) {
    for idempotency in IDEMPOTENCIES {
        for bad in BAD {
            let gap = longest_gap(fleet, idempotency, bad);
            assert!(gap < MAX_GAP, "{fleet:?}, {idempotency:?}, {bad:?}: no attempt for {gap:?}");
        }
    }
}

/// Some backends hang, fail or reject, and up to half of them have just been replaced. Fewer backends for as many
/// proxies are beyond this: a proxy's part of the good ones is too small there (docs/terms.md has the figures).
#[test]
fn proxy_with_some_good_backends_makes_an_attempt_within_four_seconds() {
    let half = [2, 4, 8, 20, 40].map(|backends| (backends, backends / 2));
    for proxies in [1, 6] {
        assert_attempts_up_to(proxies, &half);
    }
    for proxies in [20, 30] {
        assert_attempts_up_to(proxies, &half[1..]);
    }
    assert_attempts_up_to(300, &[(8, 2), (20, 10), (40, 20)]);
}

/// Fleets of so many backends, each with the most of them that are bad.
fn assert_attempts_up_to(proxies: u32, fleets: &[(u32, u32)]) {
    for (backends, most) in fleets {
        for bad in [0, most / 2, *most] {
            for warming in [0, backends / 2] {
                assert_attempts(Fleet { proxies, backends: *backends, bad, warming });
            }
        }
    }
}

/// Where all of them are bad they get attempts all the same, unless hundreds of proxies share a handful.
#[test]
fn proxy_whose_backends_are_all_bad_makes_an_attempt_within_four_seconds() {
    for (proxies, least) in [(1, 1), (20, 1), (300, 40)] {
        for backends in [1, 2, 3, 8, 40].into_iter().filter(|backends| *backends >= least) {
            for warming in [0, backends] {
                assert_attempts(Fleet { proxies, backends, bad: backends, warming });
            }
        }
    }
}
