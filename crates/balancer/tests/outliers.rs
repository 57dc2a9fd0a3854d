//! Outlier detection: silent, failing, rejecting and dead backends.

mod common;

use common::{class, config, fleet, harness, serve, Harness};
use shaletide_balancer::*;

#[test]
fn silent_backend_gets_no_new_requests() {
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(6));
    serve(&mut harness, 100, 0, |_| 10_000);
    let ids = harness.send_requests(6, 0, 900_000);
    let silent = harness.backends_tried(ids[0])[0];
    assert!(ids.iter().all(|id| harness.backends_tried(*id).len() == 1));
    // A lost attempt does not count against capacity: the backend receives another one.
    let mut unanswered = 0;
    for id in ids {
        let is_at_silent = harness.backends_tried(id)[0] == silent;
        unanswered += usize::from(is_at_silent);
        if !is_at_silent {
            harness.end(id, 0, Outcome::Ok);
        }
    }
    harness.advance(100_000);
    for _ in 0..100 {
        let id = harness.send_request(0, 900_000);
        if harness.backends_tried(id)[0] == silent {
            unanswered += 1;
            harness.advance(100_000);
            assert_eq!(harness.backends_tried(id).len(), 1, "hedged because of its age alone");
        } else {
            harness.advance(5_000);
            harness.end(id, 0, Outcome::Ok);
        }
    }
    assert_eq!(unanswered, 2, "one unanswered attempt may be lost, two make the backend silent");
}

/// Silence is counted for each class: responses to other classes do not end it.
#[test]
fn backend_silent_for_one_class_gets_requests_of_others() {
    let mut harness = harness(config(vec![class(Idempotency::Safe), class(Idempotency::Safe)]), fleet(4));
    serve(&mut harness, 100, 0, |_| 10_000);
    serve(&mut harness, 100, 1, |_| 10_000);
    let (mut unanswered, mut served) = (0, 0);
    for n in 0..120 {
        let id = harness.send_request(n % 2, 900_000);
        let is_at_silent = harness.backends_tried(id)[0] == 2;
        if is_at_silent && n % 2 == 1 {
            unanswered += 1;
            harness.advance(100_000);
        } else {
            served += usize::from(is_at_silent);
            harness.advance(1_000);
            harness.end(id, 0, Outcome::Ok);
        }
    }
    assert!(
        (2..=4).contains(&unanswered),
        "two make it silent, and more when it is tried again: {unanswered}"
    );
    assert!(served > 10, "requests of the other class that the backend served: {served}");
}

#[test]
fn rejecting_backend_is_backed_off_and_not_ejected() {
    // An ejection would move the backend's load to the others until they are overloaded, too.
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(4));
    serve(&mut harness, 60, 0, |_| 10_000);
    let id = harness.send_request(0, 900_000);
    let overloaded = harness.backends_tried(id)[0];
    harness.end(id, 0, Outcome::Rejected);
    let retried = harness.backends_tried(id).len();
    harness.end(id, retried - 1, Outcome::Ok);
    assert!(!serve(&mut harness, 2, 0, |_| 5_000).contains(&overloaded), "used again at once");
    assert!(harness.logs.iter().all(|l| !l.contains("ejected")), "{:?}", harness.logs);
    assert!(
        serve(&mut harness, 60, 0, |_| 5_000).contains(&overloaded),
        "not used again after a service time"
    );
    // The backoff starts short, as the backend may soon have capacity again, and grows.
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        let mut backoff = 0;
        loop {
            let id = harness.send_request(0, 900_000);
            let last = *harness.backends_tried(id).last().unwrap();
            harness.advance(10_000);
            backoff += 10_000;
            harness.end(id, 0, if last == overloaded { Outcome::Rejected } else { Outcome::Ok });
            if last == overloaded {
                let again = harness.backends_tried(id).len();
                harness.end(id, again - 1, Outcome::Ok);
                break;
            }
        }
        backoffs.push(backoff);
    }
    assert!(
        backoffs[5] >= 80_000 && backoffs[1] < 80_000,
        "the backoff does not grow as expected: {backoffs:?}"
    );
}

/// Sends requests, of which backend 3 fails all, until it is ejected. Returns its number.
fn eject_failing_backend(harness: &mut Harness) -> u32 {
    serve(harness, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = harness.send_request(0, 900_000);
        let failing = harness.backends_tried(id)[0] == 3;
        harness.advance(5_000);
        harness.end(id, 0, if failing { Outcome::Error } else { Outcome::Ok });
        let again = harness.requests[&id].attempts.len();
        harness.end(id, again - 1, Outcome::Ok);
        if harness.logs.iter().any(|l| l.contains("ejected")) {
            return 3;
        }
    }
    panic!("the failing backend was not ejected");
}

#[test]
fn failing_backend_is_ejected_and_probed_by_safe_requests_only() {
    let mut harness =
        harness(config(vec![class(Idempotency::Safe), class(Idempotency::NonIdempotent)]), fleet(6));
    let failing = eject_failing_backend(&mut harness);
    assert!(!serve(&mut harness, 40, 0, |_| 5_000).contains(&failing), "used during its ejection");
    harness.advance(2_000_000);
    assert!(
        !serve(&mut harness, 40, 1, |_| 5_000).contains(&failing),
        "a non-idempotent request was the probe"
    );
    assert!(serve(&mut harness, 40, 0, |_| 5_000).contains(&failing), "no safe request was a probe");
    assert!(harness.logs.iter().any(|l| l.contains("restored")));
}

#[test]
fn failing_backends_are_used_where_most_are_ejected() {
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(4));
    serve(&mut harness, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = harness.send_request(0, 900_000);
        let failing = harness.backends_tried(id).first().is_some_and(|b| *b != 0);
        harness.advance(5_000);
        harness.end(id, 0, if failing { Outcome::Error } else { Outcome::Ok });
        let number = harness.requests[&id].attempts.len().saturating_sub(1);
        harness.end(id, number, Outcome::Ok);
    }
    let chosen = serve(&mut harness, 80, 0, |_| 5_000);
    assert!(chosen.iter().any(|b| *b != 0), "all requests were sent to the only backend that does not fail");
}

#[test]
fn dead_backend_fails_no_request_at_low_rate() {
    // One of three backends is dead and still listed, at 1.5 requests a second: the retry budget must not run out.
    let mut harness = harness(Config { proxies: 1, ..Config::example() }, fleet(3));
    for _ in 0..30 {
        let id = harness.send_request(0, 900_000);
        for number in 0..3 {
            let Some(to) = harness.backends_tried(id).get(number).copied() else { break };
            harness.end(id, number, if to == 0 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        assert_eq!(harness.requests[&id].answer, Some("served"), "{:?}", harness.backends_tried(id));
        harness.advance(666_000);
    }
}
