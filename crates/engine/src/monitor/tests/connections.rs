//! Which backends and connections an attempt may use.

use super::*;

#[test]
fn attempt_to_draining_backend_after_the_grace_breaks_draining() {
    let snapshot = |backends: Vec<BackendEntry>| Event::EndpointsUpdated {
        pool: PoolId(0),
        update: EndpointUpdate::Snapshot,
        backends,
    };
    let drains: [&dyn Fn(&mut Stream); 4] = [
        &|s| s.list(0, 0, BackendState::Draining),
        &|s| s.list(0, 0, BackendState::Gone),
        &|s| s.step(snapshot(vec![]), &[]),
        &|s| s.step(Event::PoolClosed { pool: PoolId(0) }, &[]),
    ];
    for drain in drains {
        let after = |wait: u64| {
            move |s: &mut Stream| {
                drain(s);
                s.now = s.now + Micros(wait);
                s.sent(0, 0);
            }
        };
        let grace = Rules { drain_grace: Micros(250), ..RULES };
        assert_eq!(broken_rules(Idempotency::Safe, RULES, after(0)), [Rule::Draining]);
        assert_eq!(broken_rules(Idempotency::Safe, grace, after(249)), []);
        assert_eq!(broken_rules(Idempotency::Safe, grace, after(250)), [Rule::Draining]);
    }
    let ready_again = |s: &mut Stream| {
        s.list(0, 0, BackendState::Draining);
        s.list(0, 0, BackendState::Ready);
        s.sent(0, 0);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, ready_again), []);
    let moved = |s: &mut Stream| {
        s.step(Event::BackendMoved { backend: BackendId(0), from: PoolId(0), to: PoolId(1) }, &[]);
        s.step(snapshot(vec![]), &[]);
        s.sent(0, 0);
    };
    assert_eq!(
        broken_rules(Idempotency::Safe, RULES, moved),
        [],
        "the previous pool's list does not remove it"
    );
}

#[test]
fn reuse_of_an_unclean_connection_breaks_clean_connection() {
    let after = |reusable: bool, has_excess_bytes: bool, written: bool, wait: u64| {
        broken_rules(Idempotency::Safe, RULES, |s| {
            s.sent(0, 0);
            if written {
                s.step(Event::RequestWritten { connection: connection(0) }, &[]);
            }
            let verdict = ResponseClass::Error;
            s.step(
                Event::ResponseReceived {
                    connection: connection(0),
                    class: verdict,
                    reusable,
                    has_excess_bytes,
                },
                &[],
            );
            s.now = s.now + Micros(wait);
            s.act(&[send(0, 1)]);
        })
    };
    assert_eq!(after(true, false, true, 500), []);
    assert_eq!(after(true, false, true, 499), [Rule::CleanConnection], "the reuse delay has not passed");
    assert_eq!(after(true, true, true, 500), [Rule::CleanConnection]);
    assert_eq!(after(false, false, true, 500), [Rule::CleanConnection]);
    assert_eq!(
        after(true, false, false, 500),
        [Rule::CleanConnection],
        "the request is not completely written"
    );
    let not_connected = |s: &mut Stream| s.act(&[open(0, 0), send(0, 0)]);
    assert_eq!(broken_rules(Idempotency::Safe, RULES, not_connected), [Rule::CleanConnection]);
    let busy = |s: &mut Stream| {
        s.sent(0, 0);
        s.act(&[send(0, 1)]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, busy), [Rule::CleanConnection]);
    let outdated = |s: &mut Stream| {
        s.act(&[open(0, 0)]);
        s.step(Event::AddressChanged { backend: BackendId(0) }, &[]);
        s.step(Event::Connected { connection: connection(0) }, &[send(0, 0)]);
    };
    assert_eq!(broken_rules(Idempotency::Safe, RULES, outdated), [Rule::CleanConnection]);
}
