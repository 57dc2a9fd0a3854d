//! Several pools on a made-up clock: what one cannot take the next is asked, and no rule ends at a pool's edge.

mod world;

use proptest::prelude::*;
use shaletide_types::*;
use world::*;

const SECOND: u64 = 1_000_000;

/// Two pools of two, their bays 1 and 2, in realms of their own.
fn two() -> World {
    let pool = |from: u32, realm| vec![backend(from, 1, realm), backend(from + 1, 2, realm)];
    World::new(config(), &[pool(0, 0), pool(10, 1)])
}

fn first(world: &World, id: RequestId) -> u32 {
    world.sent_to(id)[0]
}

#[test]
fn unavailable_pool_is_skipped_at_once() {
    let mut world = two();
    for (class, pool) in [(SAFE, 0), (KEYED, 0), (UNSAFE, 0)] {
        let id = world.arrive(class, SECOND, &[0, 1]);
        assert_eq!(first(&world, id) / 10, pool, "the first of the route is preferred");
        world.end(id, 0, Outcome::Ok);
    }
    for id in [0, 1] {
        world.set(0, id, BackendState::Draining);
    }
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id) / 10, 1, "all drain");
    world.full(0, Vec::new());
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id) / 10, 1, "there is none");
    world.full(0, vec![backend(2, 1, 0)]);
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id), 2, "and back, once one can");
}

#[test]
fn pool_of_ejected_backends_is_skipped_and_probed_later() {
    let mut world = two();
    world.eject_all(0);
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id) / 10, 1);
    world.end(id, 0, Outcome::Ok);
    world.advance(8 * SECOND);
    let pay = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, pay) / 10, 1, "one that may not fail tries nothing out");
    let trials: Vec<RequestId> = (0..3).map(|_| world.arrive(SAFE, SECOND, &[0, 1])).collect();
    assert_eq!(trials.iter().filter(|id| first(&world, **id) / 10 == 0).count(), 2, "one at each");
    for id in trials {
        world.end(id, 0, Outcome::Ok);
    }
    for _ in 0..20 {
        let id = world.arrive(SAFE, SECOND, &[0, 1]);
        world.end(id, 0, Outcome::Ok);
    }
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id) / 10, 0, "and trusted");
}

#[test]
fn pool_without_capacity_queues_and_is_not_skipped() {
    let mut world = two();
    let ids: Vec<RequestId> = (0..30).map(|_| world.arrive(SAFE, SECOND, &[0, 1])).collect();
    let there = ids.iter().flat_map(|id| world.sent_to(*id));
    assert!(there.clone().count() < 30 && there.clone().all(|b| b < 10), "the rest waits for room");
    world.advance(2 * SECOND);
    assert!(ids.iter().all(|id| world.answer(*id).is_some()));
}

#[test]
fn attempt_not_executed_fails_over_to_the_next_pool() {
    let mut world = two();
    world.warm_up(40, &[0, 1]);
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    world.end(id, 0, Outcome::ConnectFailed);
    world.end(id, 1, Outcome::Rejected);
    assert_eq!(world.sent_to(id).iter().map(|b| b / 10).collect::<Vec<_>>(), [0, 0, 1]);
    world.end(id, 2, Outcome::Ok);
    assert_eq!(world.answer(id), Some("served"));
}

#[test]
fn non_idempotent_request_that_may_have_executed_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        let mut world = two();
        world.warm_up(40, &[0, 1]);
        let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
        let sent = first(&world, id);
        for other in [0, 1] {
            world.set(0, other, BackendState::Gone);
        }
        world.end(id, 0, outcome);
        assert_eq!((world.sent_to(id), world.answer(id)), (vec![sent], Some("failed")), "{outcome:?}");
    }
}

#[test]
fn keyed_request_that_may_have_executed_stays_in_its_group() {
    for realm in [0, 1] {
        let pool = |from: u32, realm| vec![backend(from, 1, realm), backend(from + 1, 2, realm)];
        let mut world = World::new(config(), &[pool(0, 0), pool(10, realm)]);
        world.warm_up(40, &[0, 1]);
        let id = world.arrive(KEYED, SECOND, &[0, 1]);
        let sent = first(&world, id);
        world.end(id, 0, Outcome::Reset);
        let expected = if realm == 0 { vec![sent, sent + 10] } else { vec![sent] };
        assert_eq!(world.sent_to(id), expected, "bays are one group only where they are of one realm");
        let answer = if realm == 0 { None } else { Some("failed") };
        assert_eq!(world.answer(id), answer);
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let pool = |from: u32| vec![backend(from, 1, 0)];
    // 20 ms of it are kept for the way.
    for (after, tries) in [(WINDOW.0 - 30_000, 2), (WINDOW.0 - 10_000, 1), (WINDOW.0 + 10_000, 1)] {
        let mut world = World::new(config(), &[pool(0), pool(10)]);
        world.warm_up(40, &[0, 1]);
        let id = world.arrive(KEYED, 3 * SECOND, &[0, 1]);
        world.advance(after);
        world.end(id, 0, Outcome::Reset);
        assert_eq!(world.sent_to(id).len(), tries, "after {after} us");
    }
}

#[test]
fn retries_are_limited_over_all_pools() {
    let mut world = two();
    let (mut asked, mut sent) = (0, 0);
    for _ in 0..300 {
        let id = world.arrive(SAFE, SECOND, &[0, 1]);
        let mut no = 0;
        while no < world.requests[&id].tries.len() {
            world.end(id, no, Outcome::Reset);
            no += 1;
        }
        world.leave(id);
        world.advance(50_000);
        (asked, sent) = (asked + 1, sent + no);
    }
    let further = sent - asked.min(sent);
    assert!(further <= asked / 5 + 1, "{further} further attempts for {asked} requests");
}

/// A copy of what a hung pool holds goes to the next, and the answer of either is the answer.
#[test]
fn requests_of_a_hung_pool_are_hedged_to_the_next() {
    let mut world = World::new(config(), &[vec![backend(0, 1, 0)], vec![backend(10, 1, 1)]]);
    world.warm_up(60, &[0, 1]);
    let ids: Vec<RequestId> = (0..3).map(|_| world.arrive(SAFE, 300_000, &[0, 1])).collect();
    world.advance(310_000);
    assert!(ids.iter().any(|id| world.answer(*id).is_some()));
    let id = world.arrive(SAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id), 10, "silence ejects");
}

#[test]
fn all_requests_are_answered_when_both_pools_are_ejected() {
    let mut world = two();
    world.eject_all(0);
    world.eject_all(1);
    let ids: Vec<RequestId> = (0..60).map(|n| world.arrive(n % 3, SECOND, &[0, 1])).collect();
    world.advance(2 * SECOND);
    assert!(ids.iter().all(|id| world.answer(*id).is_some()));
}

#[test]
fn requests_queued_for_an_empty_pool_move_to_one_with_a_backend() {
    let mut world = World::new(config(), &[Vec::new(), Vec::new()]);
    let ids: Vec<RequestId> = (0..3).map(|class| world.arrive(class, SECOND, &[0, 1])).collect();
    assert!(ids.iter().all(|id| world.sent_to(*id).is_empty()));
    world.full(1, vec![backend(10, 1, 1)]);
    assert!(ids.iter().all(|id| world.sent_to(*id) == [10]));
}

#[test]
fn closed_pool_transfers_queued_requests_and_ends_attempts_in_flight() {
    let mut world = two();
    let out = world.arrive(UNSAFE, SECOND, &[0]);
    let only = (0..20).map(|_| world.arrive(SAFE, SECOND, &[0])).collect::<Vec<_>>();
    let more = (0..20).map(|_| world.arrive(SAFE, SECOND, &[0, 1])).collect::<Vec<_>>();
    let held = |world: &World, ids: &[RequestId]| -> Vec<RequestId> {
        ids.iter().copied().filter(|id| world.sent_to(*id).is_empty()).collect()
    };
    let (only, more) = (held(&world, &only), held(&world, &more));
    assert!(!only.is_empty() && !more.is_empty());
    world.close(0);
    assert!(only.iter().all(|id| world.answer(*id) == Some("refused")), "at once");
    assert!(more.iter().any(|id| world.sent_to(*id).first().is_some_and(|b| *b >= 10)));
    world.end(out, 0, Outcome::Ok);
    assert_eq!(world.answer(out), Some("served"));
    while let Some((id, no)) = world.out().first().copied() {
        world.end(id, no, Outcome::Ok);
    }
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(first(&world, id) / 10, 1);
    assert_eq!(world.pools.open().collect::<Vec<_>>(), [PoolId(1)]);
    let id = world.arrive(UNSAFE, SECOND, &[0]);
    assert_eq!(world.answer(id), Some("refused"), "a route to nowhere refuses at once");
    assert_eq!(world.pools.retained_count(), 1, "nothing is left of one that is no more");
}

/// Where no pool can take anything a request waits in the first. That one may be taken away meanwhile.
#[test]
fn queued_request_stays_queued_when_its_first_pool_closes() {
    let mut world = World::new(config(), &[Vec::new(), Vec::new()]);
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    world.close(0);
    assert_eq!(world.answer(id), None);
    world.full(1, vec![backend(10, 1, 1)]);
    world.advance(20_000);
    assert_eq!(world.sent_to(id), [10]);
    assert_eq!(world.pools.retained_count(), 1);
}

/// It keeps what it holds and what it was sent while cold: another pool's module does not start afresh with it.
#[test]
fn migrated_backend_keeps_its_in_flight_count_and_slow_start_budget() {
    let cold = |now: Time| BackendEntry { started_at: Some(now), ..backend(0, 1, 0) };
    let now = Time(1_000_000_000);
    let mut world = World::new(config(), &[vec![cold(now)], Vec::new()]);
    let before: usize = world.burst(40, &[0]);
    assert!(before > 0);
    world.shift(0, 0, 1);
    let after: usize = world.burst(40, &[1]);
    assert_eq!(after, 0, "its room and its budget are spent");
    for (id, no) in world.out() {
        world.end(id, no, Outcome::Ok);
    }
    assert!(world.requests.values().filter(|r| r.answer == Some("served")).count() == before);
}

#[test]
fn backend_with_more_cores_has_a_higher_concurrency_limit() {
    let held = |cores| {
        let mut world = World::new(config(), &[vec![BackendEntry { cores, ..backend(0, 1, 0) }]]);
        world.burst(100, &[0])
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

    /// Whatever happens in whichever order: the world panics at the first broken rule, and all is answered.
    #[test]
    fn random_events_break_no_invariant_over_all_pools(steps in proptest::collection::vec(step(), 1..150)) {
        let list = |pool: u32| -> Vec<BackendEntry> {
            (0..3).map(|n| backend(pool * 10 + n, u64::from(n % 2), u32::from(pool == 2))).collect()
        };
        let mut world = World::new(config(), &[list(0), list(1), list(2)]);
        world.warm_up(20, &[0, 1]);
        let states = [BackendState::Ready, BackendState::Draining, BackendState::Gone];
        let outcomes = [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset, Outcome::NotSent];
        for step in steps {
            match step {
                Step::Arrive(class, left, route) => drop(world.arrive(class, left, ROUTES[usize::from(route)])),
                Step::End(at, how) => {
                    let out = world.out();
                    if let Some((id, no)) = out.get(at % out.len().max(1)) {
                        world.end(*id, *no, outcomes[how]);
                    }
                }
                Step::Leave(at) => {
                    let id = RequestId(at as u64 + 1);
                    if world.requests.contains_key(&id) {
                        world.leave(id);
                    }
                }
                Step::Set(pool, n, state) => {
                    let known = world.lists.get(&PoolId(pool)).and_then(|l| l.keys().nth(n as usize).copied());
                    if let Some(id) = known {
                        world.set(pool, id.0, states[state]);
                    }
                }
                Step::Full(pool, which) if world.lists.contains_key(&PoolId(pool)) => {
                    let here: Vec<BackendEntry> = list(pool).into_iter().enumerate()
                        .filter(|(at, b)| which & (1 << at) != 0
                            && world.lists.iter().all(|(p, l)| p.0 == pool || !l.contains_key(&b.id)))
                        .map(|(_, b)| b).collect();
                    world.full(pool, here);
                }
                Step::Shift(from, to) if from != to && world.lists.contains_key(&PoolId(to)) => {
                    let some = world.lists.get(&PoolId(from)).and_then(|l| l.keys().next().copied());
                    if let Some(id) = some {
                        world.shift(id.0, from, to);
                    }
                }
                Step::Close(pool) if world.lists.contains_key(&PoolId(pool)) => world.close(pool),
                Step::Advance(span) => world.advance(span),
                _ => {}
            }
        }
        world.advance(4 * SECOND);
        for r in world.requests.values() {
            prop_assert!(r.left || r.answer.is_some());
        }
        prop_assert_eq!(world.pools.pending_requests(), 0);
        prop_assert_eq!(world.pools.retained_count(), world.pools.open().count());
    }
}

#[test]
fn queued_request_of_a_closed_pool_moves_to_a_pool_of_its_route() {
    let mut world = World::new(config(), &[Vec::new(), Vec::new()]);
    let (alone, moves) = (world.arrive(UNSAFE, SECOND, &[0]), world.arrive(UNSAFE, SECOND, &[0, 1]));
    world.close(0);
    assert_eq!((world.answer(alone), world.answer(moves)), (Some("refused"), None));
    world.full(1, vec![backend(10, 1, 1)]);
    world.advance(SECOND / 50);
    assert_eq!(first(&world, moves), 10);
}

#[test]
fn migrated_backend_gets_requests_queued_in_other_pools() {
    let mut world = World::new(config(), &[vec![backend(0, 1, 0)], vec![backend(1, 1, 0)], Vec::new()]);
    world.set(1, 1, BackendState::Draining);
    let id = world.arrive(UNSAFE, SECOND, &[1, 2]);
    assert!(world.sent_to(id).is_empty());
    world.shift(0, 0, 2);
    world.advance(SECOND / 50);
    assert_eq!(first(&world, id), 0);
}

/// A new file puts a pool of another group in the old one's place: a key that the old one may have seen is not known
/// there, and the client must not be told to come again.
#[test]
fn keyed_request_that_may_have_executed_in_a_removed_group_fails() {
    for route in [&[0][..], &[0, 1]] {
        let mut cfg = config();
        cfg.classes[KEYED].idempotency = Idempotency::Keyed(DeduplicationScope::All, WINDOW);
        cfg.only_deduplication_domain = Some(0);
        let mut world = World::new(cfg, &[vec![backend(0, 1, 0)], Vec::new()]);
        world.warm_up(20, &[0]);
        let id = world.arrive(KEYED, SECOND, route);
        assert_eq!(world.sent_to(id), [0]);
        world.cfg.only_deduplication_domain = Some(1);
        world.open(1);
        world.full(1, vec![backend(10, 1, 1)]);
        world.close(0);
        world.end(id, 0, Outcome::Reset);
        world.advance(SECOND);
        assert_eq!(world.answer(id), Some("failed"), "{route:?}");
    }
}

/// A reload that puts thousands of backends into another pool is carried out between two requests.
#[test]
fn migrating_6000_backends_takes_under_5_seconds() {
    let many: Vec<BackendEntry> = (0..6_000).map(|id| backend(id, u64::from(id), 0)).collect();
    let mut world = World::new(config(), &[many.clone(), Vec::new()]);
    let start = std::time::Instant::now();
    for b in &many {
        let (from, to) = (PoolId(0), PoolId(1));
        world.event(shaletide_routing::pools::Event::BackendMoved { backend: b.id, from, to });
    }
    world.full(0, Vec::new());
    world.full(1, many);
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
    let id = world.arrive(UNSAFE, SECOND, &[0, 1]);
    assert_eq!(world.sent_to(id).len(), 1);
}

/// An operator may well name a kind for each backend.
#[test]
fn a_server_type_per_backend_costs_under_4_seconds() {
    let one = |id| BackendEntry { server_type: ServerTypeId(id), ..backend(id, u64::from(id), 0) };
    let mut world = World::new(config(), &[(0..3_000).map(one).collect()]);
    world.arrive(SAFE, SECOND, &[0]);
    let start = std::time::Instant::now();
    let sent = world.burst(200, &[0]);
    assert!(sent == 200 && start.elapsed().as_secs() < 4, "{sent} in {:?}", start.elapsed());
}

/// A backend that moves out takes the attempt along, which is as good as it was: the request waits for it, though it is
/// held for another one meanwhile and its pools close.
#[test]
fn attempt_in_flight_is_awaited_when_its_pools_close() {
    let mut world = World::new(config(), &[vec![backend(0, 1, 0)], vec![backend(10, 1, 0)], Vec::new()]);
    world.warm_up(20, &[0]);
    world.eject_all(1);
    let id = world.arrive(SAFE, 3 * SECOND, &[0, 1]);
    assert_eq!(world.sent_to(id), [0]);
    world.shift(0, 0, 2);
    world.advance(SECOND / 50);
    world.close(0);
    world.close(1);
    world.advance(SECOND / 50);
    assert_eq!((world.answer(id), world.out().len()), (None, 1));
    world.end(id, 0, Outcome::Ok);
    assert_eq!(world.answer(id), Some("served"));
}

/// A request is handed on from one pool of 512 backends to another, whatever their number.
#[test]
fn two_pools_of_512_backends_are_one_route() {
    let pool = |from: u32, realm| (from..from + 512).map(|id| backend(id, 1, realm)).collect::<Vec<_>>();
    let mut world = World::new(config(), &[pool(0, 0), pool(512, 1)]);
    let ask = |world: &mut World| {
        let id = world.arrive(SAFE, SECOND, &[0, 1]);
        world.end(id, 0, Outcome::Ok);
        first(world, id)
    };
    let preferred: Vec<u32> = (0..50).map(|_| ask(&mut world)).collect();
    assert!(preferred.iter().all(|id| *id < 512), "{preferred:?}");
    (0..512).for_each(|id| world.set(0, id, BackendState::Draining));
    let next: Vec<u32> = (0..50).map(|_| ask(&mut world)).collect();
    assert!(next.iter().all(|id| *id >= 512), "{next:?}");
}
