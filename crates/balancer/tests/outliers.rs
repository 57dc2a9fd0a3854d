//! Outlier detection: silent, failing, rejecting and dead backends.

mod common;

use common::{class, config, fleet, harness, serve, Harness};
use shaletide_balancer::*;

#[test]
fn silent_backend_gets_no_new_requests() {
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(6));
    serve(&mut harness, 100, 0, |_| 10_000);
    let ids = harness.send_requests(6, 0, 900_000);
    let hung = harness.backends_tried(ids[0])[0];
    assert!(ids.iter().all(|id| harness.backends_tried(*id).len() == 1));
    // A lost attempt occupies no capacity: the backend gets another one.
    let mut unanswered = 0;
    for id in ids {
        let there = harness.backends_tried(id)[0] == hung;
        unanswered += usize::from(there);
        if !there {
            harness.end(id, 0, Outcome::Ok);
        }
    }
    harness.advance(100_000);
    for _ in 0..100 {
        let id = harness.send_request(0, 900_000);
        if harness.backends_tried(id)[0] == hung {
            unanswered += 1;
            harness.advance(100_000);
            assert_eq!(harness.backends_tried(id).len(), 1, "hedged for its age alone");
        } else {
            harness.advance(5_000);
            harness.end(id, 0, Outcome::Ok);
        }
    }
    assert_eq!(unanswered, 2, "one may be lost, two are silence");
}

/// Silence is counted for each class: responses to others do not end it.
#[test]
fn backend_silent_for_one_class_gets_requests_of_others() {
    let mut harness = harness(config(vec![class(Idempotency::Safe), class(Idempotency::Safe)]), fleet(4));
    serve(&mut harness, 100, 0, |_| 10_000);
    serve(&mut harness, 100, 1, |_| 10_000);
    let (mut unanswered, mut served) = (0, 0);
    for n in 0..120 {
        let id = harness.send_request(n % 2, 900_000);
        let there = harness.backends_tried(id)[0] == 2;
        if there && n % 2 == 1 {
            unanswered += 1;
            harness.advance(100_000);
        } else {
            served += usize::from(there);
            harness.advance(1_000);
            harness.end(id, 0, Outcome::Ok);
        }
    }
    assert!((2..=4).contains(&unanswered), "two are silence, and again at each trial: {unanswered}");
    assert!(served > 10, "the other class goes on there: {served}");
}

#[test]
fn rejecting_backend_is_backed_off_and_not_ejected() {
    // An ejection would move its load to the others until they are overloaded, too.
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(4));
    serve(&mut harness, 60, 0, |_| 10_000);
    let id = harness.send_request(0, 900_000);
    let full = harness.backends_tried(id)[0];
    harness.end(id, 0, Outcome::Rejected);
    let retried = harness.backends_tried(id).len();
    harness.end(id, retried - 1, Outcome::Ok);
    assert!(!serve(&mut harness, 2, 0, |_| 5_000).contains(&full), "used at once again");
    assert!(harness.logs.iter().all(|l| !l.contains("ejected")), "{:?}", harness.logs);
    assert!(serve(&mut harness, 60, 0, |_| 5_000).contains(&full), "not used after a service time");
    // The backoff begins short, as the backend may have capacity again at once, and grows.
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let mut waited = 0;
        loop {
            let id = harness.send_request(0, 900_000);
            let last = *harness.backends_tried(id).last().unwrap();
            harness.advance(10_000);
            waited += 10_000;
            harness.end(id, 0, if last == full { Outcome::Rejected } else { Outcome::Ok });
            if last == full {
                let again = harness.backends_tried(id).len();
                harness.end(id, again - 1, Outcome::Ok);
                break;
            }
        }
        pauses.push(waited);
    }
    assert!(pauses[5] >= 80_000 && pauses[1] < 80_000, "backed off longer each time: {pauses:?}");
}

/// Serves on all but the failing backend until that is ejected; gives its number.
fn eject_one(harness: &mut Harness) -> u32 {
    serve(harness, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = harness.send_request(0, 900_000);
        let bad = harness.backends_tried(id)[0] == 3;
        harness.advance(5_000);
        harness.end(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
        let again = harness.requests[&id].attempts.len();
        harness.end(id, again - 1, Outcome::Ok);
        if harness.logs.iter().any(|l| l.contains("ejected")) {
            return 3;
        }
    }
    panic!("never ejected");
}

#[test]
fn failing_backend_is_ejected_and_probed_by_safe_requests_only() {
    let mut harness =
        harness(config(vec![class(Idempotency::Safe), class(Idempotency::NonIdempotent)]), fleet(6));
    let bad = eject_one(&mut harness);
    assert!(!serve(&mut harness, 40, 0, |_| 5_000).contains(&bad), "used during its term");
    harness.advance(2_000_000);
    assert!(!serve(&mut harness, 40, 1, |_| 5_000).contains(&bad), "a non-idempotent request probed it");
    assert!(serve(&mut harness, 40, 0, |_| 5_000).contains(&bad), "no safe request probed it");
    assert!(harness.logs.iter().any(|l| l.contains("restored")));
}

#[test]
fn failing_backends_are_used_where_most_are_ejected() {
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(4));
    serve(&mut harness, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = harness.send_request(0, 900_000);
        let bad = harness.backends_tried(id).first().is_some_and(|b| *b != 0);
        harness.advance(5_000);
        harness.end(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
        let no = harness.requests[&id].attempts.len().saturating_sub(1);
        harness.end(id, no, Outcome::Ok);
    }
    let chosen = serve(&mut harness, 80, 0, |_| 5_000);
    assert!(chosen.iter().any(|b| *b != 0), "all load went to the one backend left");
}

#[test]
fn dead_backend_fails_no_request_at_low_rate() {
    // One of three is dead and still listed, at 1.5 requests a second: the retry budget must not run out.
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(3));
    for _ in 0..30 {
        let id = harness.send_request(0, 900_000);
        for no in 0..3 {
            let Some(to) = harness.backends_tried(id).get(no).copied() else { break };
            harness.end(id, no, if to == 0 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        assert_eq!(harness.requests[&id].answer, Some("served"), "{:?}", harness.backends_tried(id));
        harness.advance(666_000);
    }
}
