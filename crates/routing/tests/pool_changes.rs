//! Closing of pools and migration of backends between pools, on a virtual clock.

mod simulation;

use shaletide_types::*;
use simulation::*;

#[test]
fn closed_pool_transfers_queued_requests_and_ends_attempts_in_flight() {
    let mut simulation = two_pools();
    let in_flight = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0]);
    let first_pool_only = (0..20).map(|_| simulation.send_request(SAFE, SECOND, &[0])).collect::<Vec<_>>();
    let both_pools = (0..20).map(|_| simulation.send_request(SAFE, SECOND, &[0, 1])).collect::<Vec<_>>();
    let queued_of = |simulation: &Simulation, ids: &[RequestId]| -> Vec<RequestId> {
        ids.iter().copied().filter(|id| simulation.backends_tried(*id).is_empty()).collect()
    };
    let (first_pool_only, both_pools) =
        (queued_of(&simulation, &first_pool_only), queued_of(&simulation, &both_pools));
    assert!(!first_pool_only.is_empty() && !both_pools.is_empty());
    simulation.close_pool(0);
    assert!(
        first_pool_only.iter().all(|id| simulation.answer_of(*id) == Some("rejected")),
        "rejected at once"
    );
    assert!(both_pools.iter().any(|id| simulation.backends_tried(*id).first().is_some_and(|b| *b >= 10)));
    simulation.end_attempt(in_flight, 0, Outcome::Ok);
    assert_eq!(simulation.answer_of(in_flight), Some("served"));
    while let Some((id, number)) = simulation.attempts_in_flight().first().copied() {
        simulation.end_attempt(id, number, Outcome::Ok);
    }
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(first_backend(&simulation, id) / 10, 1);
    assert_eq!(simulation.pools.open_pools().collect::<Vec<_>>(), [PoolId(1)]);
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0]);
    assert_eq!(simulation.answer_of(id), Some("rejected"), "a route without open pools rejects at once");
    assert_eq!(simulation.pools.retained_count(), 1, "no state is kept of a closed pool");
}

/// If no pool is available, a request is queued in the first pool of its route, which may be closed while it waits.
#[test]
fn queued_request_stays_queued_when_its_first_pool_closes() {
    let mut simulation = Simulation::new(config(), &[Vec::new(), Vec::new()]);
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    simulation.close_pool(0);
    assert_eq!(simulation.answer_of(id), None);
    simulation.send_snapshot(1, vec![backend(10, 1, 1)]);
    simulation.advance(20_000);
    assert_eq!(simulation.backends_tried(id), [10]);
    assert_eq!(simulation.pools.retained_count(), 1);
}

/// A backend's attempts in flight and its spent slow start budget migrate with it to the other pool's balancer.
#[test]
fn migrated_backend_keeps_its_in_flight_count_and_slow_start_budget() {
    let starting = |now: Time| BackendEntry { started_at: Some(now), ..backend(0, 1, 0) };
    let now = Time(1_000_000_000);
    let mut simulation = Simulation::new(config(), &[vec![starting(now)], Vec::new()]);
    let before: usize = simulation.burst(40, &[0]);
    assert!(before > 0);
    simulation.migrate(0, 0, 1);
    let after: usize = simulation.burst(40, &[1]);
    assert_eq!(after, 0, "its concurrency limit and its slow start budget are spent");
    for (id, number) in simulation.attempts_in_flight() {
        simulation.end_attempt(id, number, Outcome::Ok);
    }
    assert!(simulation.requests.values().filter(|r| r.answer == Some("served")).count() == before);
}

#[test]
fn queued_request_of_a_closed_pool_moves_to_a_pool_of_its_route() {
    let mut simulation = Simulation::new(config(), &[Vec::new(), Vec::new()]);
    let (alone, transferred) = (
        simulation.send_request(NON_IDEMPOTENT, SECOND, &[0]),
        simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]),
    );
    simulation.close_pool(0);
    assert_eq!((simulation.answer_of(alone), simulation.answer_of(transferred)), (Some("rejected"), None));
    simulation.send_snapshot(1, vec![backend(10, 1, 1)]);
    simulation.advance(SECOND / 50);
    assert_eq!(first_backend(&simulation, transferred), 10);
}

#[test]
fn migrated_backend_gets_requests_queued_in_other_pools() {
    let mut simulation =
        Simulation::new(config(), &[vec![backend(0, 1, 0)], vec![backend(1, 1, 0)], Vec::new()]);
    simulation.set_state(1, 1, BackendState::Draining);
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[1, 2]);
    assert!(simulation.backends_tried(id).is_empty());
    simulation.migrate(0, 0, 2);
    simulation.advance(SECOND / 50);
    assert_eq!(first_backend(&simulation, id), 0);
}

/// A new configuration replaces a pool by one of another deduplication domain. A key that the old pool may have executed is
/// unknown there, so the client must not be asked to retry.
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

/// A reload that moves thousands of backends to another pool is carried out between two requests.
#[test]
fn migrating_6000_backends_takes_under_5_seconds() {
    let backends: Vec<BackendEntry> = (0..6_000).map(|id| backend(id, u64::from(id), 0)).collect();
    let mut simulation = Simulation::new(config(), &[backends.clone(), Vec::new()]);
    let start = std::time::Instant::now();
    for b in &backends {
        let (from, to) = (PoolId(0), PoolId(1));
        simulation.handle(shaletide_routing::pools::Event::BackendMoved { backend: b.id, from, to });
    }
    simulation.send_snapshot(0, Vec::new());
    simulation.send_snapshot(1, backends);
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
    let id = simulation.send_request(NON_IDEMPOTENT, SECOND, &[0, 1]);
    assert_eq!(simulation.backends_tried(id).len(), 1);
}

/// A backend that migrates keeps its attempts in flight. The request waits for them, although it is queued in another pool
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
