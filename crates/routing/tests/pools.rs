//! Several pools on a virtual clock: failover between them, and the invariants over all of them.

mod simulation;

use proptest::prelude::*;
use shaletide_types::*;
use simulation::*;

const SECOND: u64 = 1_000_000;

/// Two pools of two backends, in groups 1 and 2, each in a deduplication domain of its own.
fn two_pools() -> Simulation {
    let pool = |from: u32, domain| vec![backend(from, 1, domain), backend(from + 1, 2, domain)];
    Simulation::new(config(), &[pool(0, 0), pool(10, 1)])
}

fn first_backend(simulation: &Simulation, id: RequestId) -> u32 {
    simulation.backends_tried(id)[0]
}

#[test]
fn unavailable_pool_is_skipped_at_once() {
    let mut simulation = two_pools();
    for (class, pool) in [(SAFE, 0), (KEYED, 0), (UNSAFE, 0)] {
        let id = simulation.send_request(class, SECOND, &[0, 1]);
        assert_eq!(first_backend(&simulation, id) / 10, pool, "the first of the route is preferred");
        simulation.end_attempt(id, 0, Outcome::Ok);
    }
    for id in [0, 1] {
        simulation.set_state(0, id, BackendState::Draining);
    }
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1, "all are draining");
    simulation.send_snapshot(0, Vec::new());
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1, "the list is empty");
    simulation.send_snapshot(0, vec![backend(2, 1, 0)]);
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id), 2, "and back, once one is ready");
}

#[test]
fn pool_of_ejected_backends_is_skipped_and_probed_later() {
    let mut simulation = two_pools();
    simulation.eject_all(0);
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1);
    simulation.end_attempt(id, 0, Outcome::Ok);
    simulation.advance(8 * SECOND);
    let non_idempotent = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(
        first_backend(&simulation, non_idempotent) / 10,
        1,
        "a non-idempotent request probes no ejected backend"
    );
    let probes: Vec<RequestId> = (0..3).map(|_| simulation.send_request(SAFE, SECOND, &[0, 1])).collect();
    assert_eq!(
        probes.iter().filter(|id| first_backend(&simulation, **id) / 10 == 0).count(),
        2,
        "one probe for each"
    );
    for id in probes {
        simulation.end_attempt(id, 0, Outcome::Ok);
    }
    for _ in 0..20 {
        let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
        simulation.end_attempt(id, 0, Outcome::Ok);
    }
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 0, "and available again");
}

#[test]
fn pool_without_capacity_queues_and_is_not_skipped() {
    let mut simulation = two_pools();
    let ids: Vec<RequestId> = (0..30).map(|_| simulation.send_request(SAFE, SECOND, &[0, 1])).collect();
    let there = ids.iter().flat_map(|id| simulation.backends_tried(*id));
    assert!(there.clone().count() < 30 && there.clone().all(|b| b < 10), "the rest is queued for capacity");
    simulation.advance(2 * SECOND);
    assert!(ids.iter().all(|id| simulation.answer_of(*id).is_some()));
}

#[test]
fn attempt_not_executed_fails_over_to_the_next_pool() {
    let mut simulation = two_pools();
    simulation.warm_up(40, &[0, 1]);
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
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
        let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
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
            "groups of the same name are one only in one domain"
        );
        let answer = if domain == 0 { None } else { Some("failed") };
        assert_eq!(simulation.answer_of(id), answer);
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let pool = |from: u32| vec![backend(from, 1, 0)];
    // 20 ms of it are kept for the transfer.
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
    let (mut asked, mut sent) = (0, 0);
    for _ in 0..300 {
        let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
        let mut no = 0;
        while no < simulation.requests[&id].attempts.len() {
            simulation.end_attempt(id, no, Outcome::Reset);
            no += 1;
        }
        simulation.disconnect(id);
        simulation.advance(50_000);
        (asked, sent) = (asked + 1, sent + no);
    }
    let further = sent - asked.min(sent);
    assert!(further <= asked / 5 + 1, "{further} retries for {asked} requests");
}

/// Requests at a hung pool are hedged to the next, and the response of either is the answer.
#[test]
fn requests_of_a_hung_pool_are_hedged_to_the_next() {
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
fn closed_pool_transfers_queued_requests_and_ends_attempts_in_flight() {
    let mut simulation = two_pools();
    let out = simulation.send_request(UNSAFE, SECOND, &[0]);
    let only = (0..20).map(|_| simulation.send_request(SAFE, SECOND, &[0])).collect::<Vec<_>>();
    let more = (0..20).map(|_| simulation.send_request(SAFE, SECOND, &[0, 1])).collect::<Vec<_>>();
    let held = |simulation: &Simulation, ids: &[RequestId]| -> Vec<RequestId> {
        ids.iter().copied().filter(|id| simulation.backends_tried(*id).is_empty()).collect()
    };
    let (only, more) = (held(&simulation, &only), held(&simulation, &more));
    assert!(!only.is_empty() && !more.is_empty());
    simulation.close_pool(0);
    assert!(only.iter().all(|id| simulation.answer_of(*id) == Some("rejected")), "at once");
    assert!(more.iter().any(|id| simulation.backends_tried(*id).first().is_some_and(|b| *b >= 10)));
    simulation.end_attempt(out, 0, Outcome::Ok);
    assert_eq!(simulation.answer_of(out), Some("served"));
    while let Some((id, no)) = simulation.attempts_in_flight().first().copied() {
        simulation.end_attempt(id, no, Outcome::Ok);
    }
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1);
    assert_eq!(simulation.pools.open().collect::<Vec<_>>(), [PoolId(1)]);
    let id = simulation.send_request(UNSAFE, SECOND, &[0]);
    assert_eq!(simulation.answer_of(id), Some("rejected"), "a route without pools rejects at once");
    assert_eq!(simulation.pools.retained_count(), 1, "nothing is kept of a closed pool");
}

/// Where no pool is available a request is queued in the first, which may be closed meanwhile.
#[test]
fn queued_request_stays_queued_when_its_first_pool_closes() {
    let mut simulation = Simulation::new(config(), &[Vec::new(), Vec::new()]);
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    simulation.close_pool(0);
    assert_eq!(simulation.answer_of(id), None);
    simulation.send_snapshot(1, vec![backend(10, 1, 1)]);
    simulation.advance(20_000);
    assert_eq!(simulation.backends_tried(id), [10]);
    assert_eq!(simulation.pools.retained_count(), 1);
}

/// Its attempts in flight and its spent slow start budget go with it to the other pool's balancer.
#[test]
fn migrated_backend_keeps_its_in_flight_count_and_slow_start_budget() {
    let cold = |now: Time| BackendEntry { started_at: Some(now), ..backend(0, 1, 0) };
    let now = Time(1_000_000_000);
    let mut simulation = Simulation::new(config(), &[vec![cold(now)], Vec::new()]);
    let before: usize = simulation.burst(40, &[0]);
    assert!(before > 0);
    simulation.migrate(0, 0, 1);
    let after: usize = simulation.burst(40, &[1]);
    assert_eq!(after, 0, "its concurrency limit and its slow start budget are spent");
    for (id, no) in simulation.attempts_in_flight() {
        simulation.end_attempt(id, no, Outcome::Ok);
    }
    assert!(simulation.requests.values().filter(|r| r.answer == Some("served")).count() == before);
}

#[test]
fn backend_with_more_cores_has_a_higher_concurrency_limit() {
    let held = |cores| {
        let mut simulation = Simulation::new(config(), &[vec![BackendEntry { cores, ..backend(0, 1, 0) }]]);
        simulation.burst(100, &[0])
    };
    assert_eq!((held(1), held(8)), (4, 32));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, u64, u8),
    End(usize, usize),
    Leave(usize),
    Set(u32, u32, usize),
    Full(u32, u8),
    Shift(u32, u32),
    Close(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..3usize, 50_000..3 * SECOND, 0..6u8).prop_map(|(c, left, route)| Step::Arrive(c, left, route)),
        10 => (0..64usize, 0..6usize).prop_map(|(at, how)| Step::End(at, how)),
        1 => (0..64usize).prop_map(Step::Leave),
        2 => (0..3u32, 0..3u32, 0..3usize).prop_map(|(p, b, s)| Step::Set(p, b, s)),
        1 => (0..3u32, any::<u8>()).prop_map(|(p, which)| Step::Full(p, which)),
        1 => (0..3u32, 0..3u32).prop_map(|(from, to)| Step::Shift(from, to)),
        1 => (0..60u32).prop_map(Step::Close),
        6 => (5_000..400_000u64).prop_map(Step::Advance),
    ]
}

const ROUTES: [&[u32]; 6] = [&[0], &[0, 1], &[1, 0], &[2, 0, 1], &[0, 1, 2], &[2]];

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// The simulation panics at the first broken invariant; in the end all is answered.
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
                Step::End(at, how) => {
                    let out = simulation.attempts_in_flight();
                    if let Some((id, no)) = out.get(at % out.len().max(1)) {
                        simulation.end_attempt(*id, *no, outcomes[how]);
                    }
                }
                Step::Leave(at) => {
                    let id = RequestId(at as u64 + 1);
                    if simulation.requests.contains_key(&id) {
                        simulation.disconnect(id);
                    }
                }
                Step::Set(pool, n, state) => {
                    let known = simulation.lists.get(&PoolId(pool)).and_then(|l| l.keys().nth(n as usize).copied());
                    if let Some(id) = known {
                        simulation.set_state(pool, id.0, states[state]);
                    }
                }
                Step::Full(pool, which) if simulation.lists.contains_key(&PoolId(pool)) => {
                    let here: Vec<BackendEntry> = list(pool).into_iter().enumerate()
                        .filter(|(at, b)| which & (1 << at) != 0
                            && simulation.lists.iter().all(|(p, l)| p.0 == pool || !l.contains_key(&b.id)))
                        .map(|(_, b)| b).collect();
                    simulation.send_snapshot(pool, here);
                }
                Step::Shift(from, to) if from != to && simulation.lists.contains_key(&PoolId(to)) => {
                    let some = simulation.lists.get(&PoolId(from)).and_then(|l| l.keys().next().copied());
                    if let Some(id) = some {
                        simulation.migrate(id.0, from, to);
                    }
                }
                Step::Close(pool) if simulation.lists.contains_key(&PoolId(pool)) => simulation.close_pool(pool),
                Step::Advance(span) => simulation.advance(span),
                _ => {}
            }
        }
        simulation.advance(4 * SECOND);
        for r in simulation.requests.values() {
            prop_assert!(r.disconnected || r.answer.is_some());
        }
        prop_assert_eq!(simulation.pools.pending_requests(), 0);
        prop_assert_eq!(simulation.pools.retained_count(), simulation.pools.open().count());
    }
}

#[test]
fn queued_request_of_a_closed_pool_moves_to_a_pool_of_its_route() {
    let mut simulation = Simulation::new(config(), &[Vec::new(), Vec::new()]);
    let (alone, moves) =
        (simulation.send_request(UNSAFE, SECOND, &[0]), simulation.send_request(UNSAFE, SECOND, &[0, 1]));
    simulation.close_pool(0);
    assert_eq!((simulation.answer_of(alone), simulation.answer_of(moves)), (Some("rejected"), None));
    simulation.send_snapshot(1, vec![backend(10, 1, 1)]);
    simulation.advance(SECOND / 50);
    assert_eq!(first_backend(&simulation, moves), 10);
}

#[test]
fn migrated_backend_gets_requests_queued_in_other_pools() {
    let mut simulation =
        Simulation::new(config(), &[vec![backend(0, 1, 0)], vec![backend(1, 1, 0)], Vec::new()]);
    simulation.set_state(1, 1, BackendState::Draining);
    let id = simulation.send_request(UNSAFE, SECOND, &[1, 2]);
    assert!(simulation.backends_tried(id).is_empty());
    simulation.migrate(0, 0, 2);
    simulation.advance(SECOND / 50);
    assert_eq!(first_backend(&simulation, id), 0);
}

/// A new configuration replaces a pool by one of another domain: a key that the old one may have seen is unknown there,
/// and the client must not be told to retry.
#[test]
fn keyed_request_that_may_have_executed_in_a_removed_group_fails() {
    for route in [&[0][..], &[0, 1]] {
        let mut cfg = config();
        cfg.classes[KEYED].idempotency = Idempotency::Keyed(DeduplicationScope::All, WINDOW);
        cfg.only_deduplication_domain = Some(0);
        let mut simulation = Simulation::new(cfg, &[vec![backend(0, 1, 0)], Vec::new()]);
        simulation.warm_up(20, &[0]);
        let id = simulation.send_request(KEYED, SECOND, route);
        assert_eq!(simulation.backends_tried(id), [0]);
        simulation.cfg.only_deduplication_domain = Some(1);
        simulation.add_pool(1);
        simulation.send_snapshot(1, vec![backend(10, 1, 1)]);
        simulation.close_pool(0);
        simulation.end_attempt(id, 0, Outcome::Reset);
        simulation.advance(SECOND);
        assert_eq!(simulation.answer_of(id), Some("failed"), "{route:?}");
    }
}

/// A reload that puts thousands of backends into another pool is carried out between two requests.
#[test]
fn migrating_6000_backends_takes_under_5_seconds() {
    let many: Vec<BackendEntry> = (0..6_000).map(|id| backend(id, u64::from(id), 0)).collect();
    let mut simulation = Simulation::new(config(), &[many.clone(), Vec::new()]);
    let start = std::time::Instant::now();
    for b in &many {
        let (from, to) = (PoolId(0), PoolId(1));
        simulation.handle(shaletide_routing::pools::Event::BackendMoved { backend: b.id, from, to });
    }
    simulation.send_snapshot(0, Vec::new());
    simulation.send_snapshot(1, many);
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
    let id = simulation.send_request(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(simulation.backends_tried(id).len(), 1);
}

/// An operator may name a server type for each backend.
#[test]
fn a_server_type_per_backend_costs_under_4_seconds() {
    let one = |id| BackendEntry { server_type: ServerTypeId(id), ..backend(id, u64::from(id), 0) };
    let mut simulation = Simulation::new(config(), &[(0..3_000).map(one).collect()]);
    simulation.send_request(SAFE, SECOND, &[0]);
    let start = std::time::Instant::now();
    let sent = simulation.burst(200, &[0]);
    assert!(sent == 200 && start.elapsed().as_secs() < 4, "{sent} in {:?}", start.elapsed());
}

/// A backend that migrates takes its attempts along: the request waits for them, though it is queued in another pool
/// meanwhile and its pools close.
#[test]
fn attempt_in_flight_is_awaited_when_its_pools_close() {
    let mut simulation =
        Simulation::new(config(), &[vec![backend(0, 1, 0)], vec![backend(10, 1, 0)], Vec::new()]);
    simulation.warm_up(20, &[0]);
    simulation.eject_all(1);
    let id = simulation.send_request(SAFE, 3 * SECOND, &[0, 1]);
    assert_eq!(simulation.backends_tried(id), [0]);
    simulation.migrate(0, 0, 2);
    simulation.advance(SECOND / 50);
    simulation.close_pool(0);
    simulation.close_pool(1);
    simulation.advance(SECOND / 50);
    assert_eq!((simulation.answer_of(id), simulation.attempts_in_flight().len()), (None, 1));
    simulation.end_attempt(id, 0, Outcome::Ok);
    assert_eq!(simulation.answer_of(id), Some("served"));
}

/// A request fails over from one pool of 512 backends to another.
#[test]
fn two_pools_of_512_backends_are_one_route() {
    let pool = |from: u32, domain| (from..from + 512).map(|id| backend(id, 1, domain)).collect::<Vec<_>>();
    let mut simulation = Simulation::new(config(), &[pool(0, 0), pool(512, 1)]);
    let ask = |simulation: &mut Simulation| {
        let id = simulation.send_request(SAFE, SECOND, &[0, 1]);
        simulation.end_attempt(id, 0, Outcome::Ok);
        first_backend(simulation, id)
    };
    let preferred: Vec<u32> = (0..50).map(|_| ask(&mut simulation)).collect();
    assert!(preferred.iter().all(|id| *id < 512), "{preferred:?}");
    (0..512).for_each(|id| simulation.set_state(0, id, BackendState::Draining));
    let next: Vec<u32> = (0..50).map(|_| ask(&mut simulation)).collect();
    assert!(next.iter().all(|id| *id >= 512), "{next:?}");
}
