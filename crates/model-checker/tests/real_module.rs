//! The engine with the real decision module on random event streams: the module meets the assumptions that the engine cannot
//! check, and the engine violates no invariant.

use shaletide_balancer::{Class, Config, Tenant};
use shaletide_engine::monitor::{SlowStartMonitor, SlowStartRules};
use shaletide_engine::{Action, ConnectionLimits, Engine, Event, Policy, RequestSpec};
use shaletide_model_checker::*;
use shaletide_routing::{pools, Pools, ResponseClass};
use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

const MAX_ATTEMPTS: u32 = 4;
/// The maximum number of actions for one event: one retry for each of the 240 requests of a walk, and a margin.
const MAX_ACTIONS_PER_EVENT: usize = 400;

fn config() -> Config {
    let class = |effect| Class {
        latency_objective: Micros(40_000),
        latency_objective_per_work_hint: 0.0,
        idempotency: effect,
        priority_weight: 1.0,
        late_weight_fraction: 0.2,
    };
    Config {
        proxies: 1,
        classes: vec![
            class(Idempotency::Safe),
            class(Idempotency::Keyed(DeduplicationScope::Group, ticks(60))),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![Tenant { quota_per_s: 20.0 }],
        only_deduplication_domain: None,
        has_failover_pool: true,
        max_attempts: MAX_ATTEMPTS,
        min_timer_interval: ticks(5),
        ..Config::example()
    }
}

fn pools(count: u32, seed: u64) -> Pools {
    let mut pools = Pools::new();
    (0..count).for_each(|pool| pools.configure(PoolId(pool), config(), seed).expect("a valid configuration"));
    pools
}

/// The real module, with checks on its events and actions.
#[derive(Clone, Debug)]
struct CheckedPools {
    pools: Pools,
    dispatched: BTreeMap<RequestId, u32>,
    ended: BTreeSet<RequestId>,
}

impl Policy for CheckedPools {
    fn handle(&mut self, now: Time, event: pools::Event, actions: &mut Vec<pools::Action>) {
        match &event {
            pools::Event::AttemptEnded(end) if end.request_answered => drop(self.ended.insert(end.request)),
            pools::Event::ClientDisconnected { request } => drop(self.ended.insert(*request)),
            _ => {}
        }
        let before = actions.len();
        self.pools.handle(now, event, actions);
        assert!(
            actions.len() - before <= MAX_ACTIONS_PER_EVENT,
            "one event causes {} actions",
            actions.len() - before
        );
        for action in &actions[before..] {
            match action {
                pools::Action::Dispatch { request, attempt, .. } => {
                    let next = self.dispatched.entry(*request).or_default();
                    assert_eq!(attempt.0, *next, "attempts are numbered in order");
                    assert!(*next < MAX_ATTEMPTS, "attempts do not exceed the limit");
                    assert!(
                        !self.ended.contains(request),
                        "no attempt is dispatched after the end of its request"
                    );
                    *next += 1;
                }
                pools::Action::Reject { request, retry_after, .. }
                | pools::Action::Fail { request, retry_after, .. } => {
                    assert!(self.ended.insert(*request), "a request is given up once, and not after its end");
                    assert!(*retry_after > Micros(0), "a request that is given up has retry advice");
                }
                _ => {}
            }
        }
    }
}

/// A linear congruential generator, so that a walk is reproducible.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound.max(1)
    }
}

fn real_policy_model() -> Model {
    let kinds = [SAFE, KEYED, NON_IDEMPOTENT].map(|kind| RequestKind { time_left: 150, ..kind });
    let keyed =
        RequestKind { idempotency: Idempotency::Keyed(DeduplicationScope::Group, ticks(60)), ..kinds[1] };
    let requests = [kinds[0], keyed, kinds[2]].into_iter().cycle().take(240).collect();
    let event_budget = EventBudget {
        drains: 12,
        removals: 8,
        returns: 20,
        snapshots: 6,
        subscription_losses: 2,
        address_changes: 4,
        group_changes: 4,
        pool_moves: 4,
        disconnects: 40,
        ..EventBudget::default()
    };
    let backends = (0..6)
        .map(|b| BackendSpec { pool: b % 2, group: u64::from(b / 2), initially_listed: true })
        .collect();
    let connection_events = ConnectionEvents {
        reusable: true,
        excess_bytes: true,
        unusable: true,
        early_responses: true,
        equivalent_events: true,
    };
    let connection_limits =
        ConnectionLimits { max_connections: 16, idle_timeout: ticks(100), reuse_delay: ticks(1) };
    Model {
        backends,
        requests,
        event_budget,
        connection_events,
        connection_limits,
        chooser_acts: false,
        ..base_model(6, 1, 0, 2)
    }
}

/// Runs one random walk and returns the number of attempts that the module dispatched.
fn random_walk(model: &Model, seed: u64) -> u64 {
    let policy = CheckedPools { pools: pools(2, seed), dispatched: BTreeMap::new(), ended: BTreeSet::new() };
    let mut node = Node::with_policy(model, policy);
    let (mut random, mut enabled_transitions) = (Lcg(seed), Vec::new());
    for _ in 0..6_000 {
        enabled(model, &node, &mut enabled_transitions);
        enabled_transitions.retain(
            |m| !matches!(m, Transition::Arrive(id) if u64::from(*id) != node.shell.not_arrived[0].0),
        );
        let tick = enabled_transitions.contains(&Transition::Tick);
        let is_rare = |m: &Transition| {
            matches!(
                m,
                Transition::Drain(_)
                    | Transition::Gone(_)
                    | Transition::FullSnapshot(_)
                    | Transition::SnapshotWithout(_)
                    | Transition::LoseSubscription(_)
                    | Transition::ChangeAddress(_)
                    | Transition::ChangeGroup(_)
                    | Transition::ChangePool(..)
                    | Transition::Leave(_)
                    | Transition::Unfit(_)
            )
        };
        if random.below(20) > 0 {
            enabled_transitions.retain(|m| !is_rare(m) && *m != Transition::Tick);
        }
        let step = match enabled_transitions.len() {
            0 => Transition::Tick,
            _ if tick && random.below(3) == 0 => Transition::Tick,
            count => enabled_transitions[random.below(count)],
        };
        if step == Transition::Tick && !tick {
            continue;
        }
        node.apply(model, step, &mut |_, _| {}).unwrap_or_else(|v| panic!("seed {seed}, {step:?}: {v}"));
        node.check().unwrap_or_else(|v| panic!("seed {seed}, after {step:?}: {v}"));
    }
    // To the end: no request arrives any more, and everything in flight ends.
    node.shell.not_arrived.clear();
    for _ in 0..20_000 {
        enabled(model, &node, &mut enabled_transitions);
        let ends = |m: &&Transition| {
            matches!(
                m,
                Transition::Wake
                    | Transition::ConnectFailed(..)
                    | Transition::Closed(..)
                    | Transition::Ended(_)
            )
        };
        let step = enabled_transitions
            .iter()
            .find(ends)
            .or(enabled_transitions.iter().find(|m| **m == Transition::Tick))
            .copied();
        let Some(step) = step.filter(|_| !node.engine.requests().is_empty()) else { break };
        node.apply(model, step, &mut |_, _| {}).unwrap_or_else(|v| panic!("seed {seed}, {step:?}: {v}"));
    }
    assert!(node.engine.requests().is_empty(), "seed {seed}: all requests are answered and removed");
    assert_eq!(node.monitor.check_quiescent(node.now), Ok(()));
    node.engine.policy().dispatched.values().map(|n| u64::from(*n)).sum()
}

#[test]
fn real_module_violates_no_invariant_and_meets_the_assumptions() {
    let model = real_policy_model();
    let dispatched: u64 = (0..60).map(|seed| random_walk(&model, seed)).sum();
    assert!(dispatched > 3_000, "the walks dispatch too few attempts: {dispatched}");
}

/// A backend that starts under load is not overloaded, although each request is half of what it can serve at a time.
#[test]
fn real_module_keeps_the_slow_start_budget_of_a_new_backend() {
    let cfg = Config { slow_start_window: Micros(4_000_000), overload_window: Micros(500_000), ..config() };
    let rules = SlowStartRules {
        initial_capacity_fraction: cfg.initial_capacity_fraction,
        slow_start_window: cfg.slow_start_window,
        overload_multiple: cfg.overload_multiple,
        overload_window: cfg.overload_window,
        proxies: cfg.proxies,
        work_per_core_second: 1.0,
        default_work: ticks(20),
    };
    let mut policy = Pools::new();
    policy.configure(PoolId(0), cfg, 3).expect("a valid configuration");
    let connection_limits =
        ConnectionLimits { max_connections: 256, idle_timeout: Micros(1_000_000), reuse_delay: Micros(0) };
    let mut engine = Engine::new(policy, connection_limits);
    let (mut cold, mut strict) = (
        SlowStartMonitor::new(rules),
        SlowStartMonitor::new(SlowStartRules { overload_multiple: 0.2, ..rules }),
    );
    let mut now = Time(1_000_000_000);
    let mut due: VecDeque<(Time, ConnectionId)> = VecDeque::new();
    let (mut sent_to_cold, mut strict_violations, mut backend_of) = (0, 0, BTreeMap::new());
    let mut events = VecDeque::from([list(3, None)]);
    for tick in 0..6_000u64 {
        now = now + TICK;
        if tick == 2_000 {
            events.push_back(list(4, Some(now)));
        }
        if tick % 6 == 0 {
            events.push_back(arrival(tick));
        }
        if engine.wake_at().is_some_and(|at| at <= now) {
            events.push_back(Event::Wake);
        }
        while due.front().is_some_and(|d| d.0 <= now) {
            let Some((_, connection)) = due.pop_front() else { break };
            let (verdict, keep, behind) = (ResponseClass::Served, true, false);
            events.extend([
                Event::RequestWritten { connection },
                Event::ResponseReceived {
                    connection,
                    class: verdict,
                    reusable: keep,
                    has_excess_bytes: behind,
                },
            ]);
        }
        while let Some(event) = events.pop_front() {
            cold.observe_event(now, &event);
            strict.observe_event(now, &event);
            let mut out = Vec::new();
            engine.handle(now, event, &mut out);
            for action in &out {
                cold.observe_action(now, action).unwrap_or_else(|v| panic!("at tick {tick}: {v}"));
                strict_violations += u32::from(strict.observe_action(now, action).is_err());
                match action {
                    Action::Connect { connection, backend, .. } => {
                        backend_of.insert(*connection, *backend);
                        events.push_back(Event::Connected { connection: *connection });
                    }
                    Action::Send { connection, .. } => {
                        sent_to_cold += u32::from(backend_of.get(connection) == Some(&BackendId(3)));
                        due.push_back((now + ticks(20), *connection));
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(sent_to_cold > 20, "the backend that started gets too few attempts: {sent_to_cold}");
    assert!(strict_violations > 0, "the monitor with a smaller budget reports no violation");
}

fn list(count: u32, started_at: Option<Time>) -> Event {
    let row = |id: u32| BackendEntry {
        id: BackendId(id),
        stable_hash: u64::from(id),
        state: BackendState::Ready,
        started_at: started_at.filter(|_| id == 3),
        ..BackendEntry::default()
    };
    let backends = (0..count).map(row).collect();
    Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Snapshot, backends }
}

fn arrival(number: u64) -> Event {
    let arrival = shaletide_balancer::Arrival {
        request: RequestId(number),
        class: ClassId(0),
        tenant: None,
        time_left: Micros(400_000),
        work_hint: None,
        is_client_retry: false,
        may_fail_over: false,
    };
    let pools: Rc<[PoolId]> = Rc::new([PoolId(0)]);
    Event::Request(RequestSpec {
        arrival,
        idempotency: Idempotency::Safe,
        pools,
        requires_intent: false,
        recorded: false,
    })
}
