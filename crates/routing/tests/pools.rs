//! Several pools on a virtual clock: failover between pools, and the invariants across all pools.

mod simulation;

use proptest::prelude::*;
use shaletide_types::*;
use simulation::*;

#[test]
fn unavailable_pool_is_skipped_at_once() {
    let mut simulation = two_pools();
    for (class, pool) in [(SAFE, 0), (KEYED, 0), (NON_IDEMPOTENT, 0)] {
        let id = simulation.send_request(class, SECOND, &[0, 1]);
        assert_eq!(first_backend(&simulation, id) / 10, pool, "the first pool of the route is preferred");
        simulation.end_attempt(id, 0, Outcome::Ok);
    }
    for id in [0, 1] {
        simulation.set_state(0, id, BackendState::Draining);
    }
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1, "all backends of the first pool are draining");
    simulation.send_snapshot(0, Vec::new());
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1, "the endpoint list of the first pool is empty");
    simulation.send_snapshot(0, vec![backend(2, 1, 0)]);
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id), 2, "the first pool has a ready backend again");
}

#[test]
fn pool_of_ejected_backends_is_skipped_and_probed_later() {
    let mut simulation = two_pools();
    simulation.eject_all(0);
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1);
    simulation.end_attempt(id, 0, Outcome::Ok);
    simulation.advance(8 * SECOND);
    let non_idempotent = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(
        first_backend(&simulation, non_idempotent) / 10,
        1,
        "a non-idempotent request probes no ejected backend"
    );
    let probes: Vec<RequestId> = (0..3).map(|_| simulation.send_request(SAFE, SECOND, &[0, 1])).collect();
    assert_eq!(
        probes.iter().filter(|id| first_backend(&simulation, **id) / 10 == 0).count(),
        2,
        "one probe for each ejected backend"
    );
    for id in probes {
        simulation.end_attempt(id, 0, Outcome::Ok);
    }
    for _ in 0..20 {
        let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
        simulation.end_attempt(id, 0, Outcome::Ok);
    }
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 0, "the pool is available again");
}

#[test]
fn pool_without_capacity_queues_and_is_not_skipped() {
    let mut simulation = two_pools();
    let ids: Vec<RequestId> = (0..30).map(|_| simulation.send_request(SAFE, SECOND, &[0, 1])).collect();
    let dispatched_to = ids.iter().flat_map(|id| simulation.backends_tried(*id));
    assert!(
        dispatched_to.clone().count() < 30 && dispatched_to.clone().all(|b| b < 10),
        "the other requests are queued for capacity"
    );
    simulation.advance(2 * SECOND);
    assert!(ids.iter().all(|id| simulation.answer_of(*id).is_some()));
}

#[test]
fn attempt_not_executed_fails_over_to_the_next_pool() {
    let mut simulation = two_pools();
    simulation.warm_up(40, &[0, 1]);
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    simulation.end_attempt(id, 0, Outcome::ConnectFailed);
    simulation.end_attempt(id, 1, Outcome::Rejected);
    assert_eq!(simulation.backends_tried(id).iter().map(|b| b / 10).collect::<Vec<_>>(), [0, 0, 1]);
    simulation.end_attempt(id, 2, Outcome::Ok);
    assert_eq!(simulation.answer_of(id), Some("served"));
}

#[test]
fn non_idempotent_request_that_may_have_executed_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let mut simulation = two_pools();
        simulation.warm_up(40, &[0, 1]);
        let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
        let sent = first_backend(&simulation, id);
        for other in [0, 1] {
            simulation.set_state(0, other, BackendState::Gone);
        }
        simulation.end_attempt(id, 0, outcome);
        assert_eq!(
            (simulation.backends_tried(id), simulation.answer_of(id)),
            (vec![sent], Some("failed")),
            "{outcome:?}"
        );
    }
}

#[test]
fn keyed_request_that_may_have_executed_stays_in_its_group() {
    for domain in [0, 1] {
        let pool = |from: u32, domain| vec![backend(from, 1, domain), backend(from + 1, 2, domain)];
        let mut simulation = Simulation::new(config(), &[pool(0, 0), pool(10, domain)]);
        simulation.warm_up(40, &[0, 1]);
        let id = simulation.send_request(KEYED, SECOND, &[0, 1]);
        let sent = first_backend(&simulation, id);
        simulation.end_attempt(id, 0, Outcome::Reset);
        let expected = if domain == 0 { vec![sent, sent + 10] } else { vec![sent] };
        assert_eq!(
            simulation.backends_tried(id),
            expected,
            "groups with the same name are equal only within one domain"
        );
        let answer = if domain == 0 { None } else { Some("failed") };
        assert_eq!(simulation.answer_of(id), answer);
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let pool = |from: u32| vec![backend(from, 1, 0)];
    // 20 ms of the window are reserved for the transfer.
    for (after, attempts) in [(WINDOW.0 - 30_000, 2), (WINDOW.0 - 10_000, 1), (WINDOW.0 + 10_000, 1)] {
        let mut simulation = Simulation::new(config(), &[pool(0), pool(10)]);
        simulation.warm_up(40, &[0, 1]);
        let id = simulation.send_request(KEYED, 3 * SECOND, &[0, 1]);
        simulation.advance(after);
        simulation.end_attempt(id, 0, Outcome::Reset);
        assert_eq!(simulation.backends_tried(id).len(), attempts, "after {after} us");
    }
}

#[test]
fn retries_are_limited_over_all_pools() {
    let mut simulation = two_pools();
    let (mut sent_requests, mut sent) = (0, 0);
    for _ in 0..300 {
        let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
        let mut number = 0;
        while number < simulation.requests[&id].attempts.len() {
            simulation.end_attempt(id, number, Outcome::Reset);
            number += 1;
        }
        simulation.disconnect(id);
        simulation.advance(50_000);
        (sent_requests, sent) = (sent_requests + 1, sent + number);
    }
    let retries = sent - sent_requests.min(sent);
    assert!(retries <= sent_requests / 5 + 1, "{retries} retries for {sent_requests} requests");
}

/// Requests to a pool that does not respond are hedged to the next pool, and the first response of either is the answer.
#[test]
fn requests_to_a_hung_pool_are_hedged_to_the_next() {
    let mut simulation = Simulation::new(config(), &[vec![backend(0, 1, 0)], vec![backend(10, 1, 1)]]);
    simulation.warm_up(60, &[0, 1]);
    let ids: Vec<RequestId> = (0..3).map(|_| simulation.send_request(SAFE, 300_000, &[0, 1])).collect();
    simulation.advance(310_000);
    assert!(ids.iter().any(|id| simulation.answer_of(*id).is_some()));
    let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id), 10, "backends without a response are ejected");
}

#[test]
fn all_requests_are_answered_when_both_pools_are_ejected() {
    let mut simulation = two_pools();
    simulation.eject_all(0);
    simulation.eject_all(1);
    let ids: Vec<RequestId> = (0..60).map(|n| simulation.send_request(n % 3, SECOND, &[0, 1])).collect();
    simulation.advance(2 * SECOND);
    assert!(ids.iter().all(|id| simulation.answer_of(*id).is_some()));
}

#[test]
fn requests_queued_for_an_empty_pool_move_to_one_with_a_backend() {
    let mut simulation = Simulation::new(config(), &[Vec::new(), Vec::new()]);
    let ids: Vec<RequestId> = (0..3).map(|class| simulation.send_request(class, SECOND, &[0, 1])).collect();
    assert!(ids.iter().all(|id| simulation.backends_tried(*id).is_empty()));
    simulation.send_snapshot(1, vec![backend(10, 1, 1)]);
    assert!(ids.iter().all(|id| simulation.backends_tried(*id) == [10]));
}

#[test]
fn backend_with_more_cores_has_a_higher_concurrency_limit() {
    let dispatched = |cores| {
        let mut simulation = Simulation::new(config(), &[vec![BackendEntry { cores, ..backend(0, 1, 0) }]]);
        simulation.burst(100, &[0])
    };
    assert_eq!((dispatched(1), dispatched(8)), (4, 32));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, u64, u8),
    EndAttempt(usize, usize),
    Disconnect(usize),
    SetState(u32, u32, usize),
    SendSnapshot(u32, u8),
    Migrate(u32, u32),
    ClosePool(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..3usize, 50_000..3 * SECOND, 0..6u8).prop_map(|(c, left, route)| Step::Arrive(c, left, route)),
        10 => (0..64usize, 0..6usize).prop_map(|(at, outcome_index)| Step::EndAttempt(at, outcome_index)),
        1 => (0..64usize).prop_map(Step::Disconnect),
        2 => (0..3u32, 0..3u32, 0..3usize).prop_map(|(p, b, s)| Step::SetState(p, b, s)),
        1 => (0..3u32, any::<u8>()).prop_map(|(p, which)| Step::SendSnapshot(p, which)),
        1 => (0..3u32, 0..3u32).prop_map(|(from, to)| Step::Migrate(from, to)),
        1 => (0..60u32).prop_map(Step::ClosePool),
        6 => (5_000..400_000u64).prop_map(Step::Advance),
    ]
}

const ROUTES: [&[u32]; 6] = [&[0], &[0, 1], &[1, 0], &[2, 0, 1], &[0, 1, 2], &[2]];

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// The simulation panics at the first broken invariant. At the end every request is answered or its client has
    /// disconnected.
    #[test]
    fn random_events_break_no_invariant_over_all_pools(steps in proptest::collection::vec(step(), 1..150)) {
        let list = |pool: u32| -> Vec<BackendEntry> {
            (0..3).map(|n| backend(pool * 10 + n, u64::from(n % 2), u32::from(pool == 2))).collect()
        };
        let mut simulation = Simulation::new(config(), &[list(0), list(1), list(2)]);
        simulation.warm_up(20, &[0, 1]);
        let states = [BackendState::Ready, BackendState::Draining, BackendState::Gone];
        let outcomes = [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset, Outcome::NotSent];
        for step in steps {
            match step {
                Step::Arrive(class, left, route) => drop(simulation.send_request(class, left, ROUTES[usize::from(route)])),
                Step::EndAttempt(at, outcome_index) => {
                    let out = simulation.attempts_in_flight();
                    if let Some((id, number)) = out.get(at % out.len().max(1)) {
                        simulation.end_attempt(*id, *number, outcomes[outcome_index]);
                    }
                }
                Step::Disconnect(at) => {
                    let id = RequestId(at as u64 + 1);
                    if simulation.requests.contains_key(&id) {
                        simulation.disconnect(id);
                    }
                }
                Step::SetState(pool, n, state) => {
                    let known = simulation.lists.get(&PoolId(pool)).and_then(|l| l.keys().nth(n as usize).copied());
                    if let Some(id) = known {
                        simulation.set_state(pool, id.0, states[state]);
                    }
                }
                Step::SendSnapshot(pool, which) if simulation.lists.contains_key(&PoolId(pool)) => {
                    let here: Vec<BackendEntry> = list(pool).into_iter().enumerate()
                        .filter(|(at, b)| which & (1 << at) != 0
                            && simulation.lists.iter().all(|(p, l)| p.0 == pool || !l.contains_key(&b.id)))
                        .map(|(_, b)| b).collect();
                    simulation.send_snapshot(pool, here);
                }
                Step::Migrate(from, to) if from != to && simulation.lists.contains_key(&PoolId(to)) => {
                    let some = simulation.lists.get(&PoolId(from)).and_then(|l| l.keys().next().copied());
                    if let Some(id) = some {
                        simulation.migrate(id.0, from, to);
                    }
                }
                Step::ClosePool(pool) if simulation.lists.contains_key(&PoolId(pool)) => simulation.close_pool(pool),
                Step::Advance(span) => simulation.advance(span),
                _ => {}
            }
        }
        simulation.advance(4 * SECOND);
        for r in simulation.requests.values() {
            prop_assert!(r.disconnected || r.answer.is_some());
        }
        prop_assert_eq!(simulation.pools.pending_requests(), 0);
        prop_assert_eq!(simulation.pools.retained_count(), simulation.pools.open_pools().count());
    }
}

/// Guards against costs that grow with the number of server types: an operator may name one for each backend.
#[test]
fn burst_to_3000_server_types_takes_under_4_seconds() {
    let one = |id| BackendEntry { server_type: ServerTypeId(id), ..backend(id, u64::from(id), 0) };
    let mut simulation = Simulation::new(config(), &[(0..3_000).map(one).collect()]);
    simulation.send_request(SAFE, SECOND, &[0]);
    let start = std::time::Instant::now();
    let sent = simulation.burst(200, &[0]);
    assert!(sent == 200 && start.elapsed().as_secs() < 4, "{sent} in {:?}", start.elapsed());
}

/// Requests prefer the first of two pools of 512 backends, and fail over to the second once the first is draining.
#[test]
fn requests_fail_over_between_two_pools_of_512_backends() {
    let pool = |from: u32, domain| (from..from + 512).map(|id| backend(id, 1, domain)).collect::<Vec<_>>();
    let mut simulation = Simulation::new(config(), &[pool(0, 0), pool(512, 1)]);
    let first_backend_of_request = |simulation: &mut Simulation| {
        let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
        simulation.end_attempt(id, 0, Outcome::Ok);
        first_backend(simulation, id)
    };
    let preferred: Vec<u32> = (0..50).map(|_| first_backend_of_request(&mut simulation)).collect();
    assert!(preferred.iter().all(|id| *id < 512), "{preferred:?}");
    (0..512).for_each(|id| simulation.set_state(0, id, BackendState::Draining));
    let next: Vec<u32> = (0..50).map(|_| first_backend_of_request(&mut simulation)).collect();
    assert!(next.iter().all(|id| *id >= 512), "{next:?}");
}
