//! Invariants over generated sequences of events; `common::Harness` checks each action.

mod common;
use common::{backend, class, Harness};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use shaletide_balancer::*;

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, u64, Option<usize>),
    End(usize, Outcome),
    Stream(usize),
    Disconnect(usize),
    Advance(u64),
    UpdateOne(u32, BackendState, bool),
    UpdateAll(u32, EndpointUpdate),
    UnknownIds(u64, u32, u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        8 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        3 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        1 => Just(BackendState::Gone)
    ];
    let update = prop_oneof![
        Just(EndpointUpdate::Snapshot),
        Just(EndpointUpdate::Cached),
        Just(EndpointUpdate::SubscriptionLost)
    ];
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64, proptest::option::of(0..2usize)).prop_map(|(c, l, t)| Step::Arrive(c, l, t)),
        8 => (0..64usize, outcome()).prop_map(|(n, o)| Step::End(n, o)),
        1 => (0..64usize).prop_map(Step::Stream),
        1 => (0..64usize).prop_map(Step::Disconnect),
        8 => (0..150_000u64).prop_map(Step::Advance),
        2 => (0..8u32, state, any::<bool>()).prop_map(|(b, s, r)| Step::UpdateOne(b, s, r)),
        1 => (0..256u32, update).prop_map(|(m, u)| Step::UpdateAll(m, u)),
        1 => (0..200u64, 0..9u32, any::<u64>()).prop_map(|(r, a, t)| Step::UnknownIds(r, a, t)),
    ]
}

fn config(bits: u32) -> Config {
    let window = Micros(300_000);
    let mut cfg = Config::example();
    cfg.classes = vec![
        class(Idempotency::Safe),
        Class { late_weight_fraction: 0.3, priority_weight: 5.0, ..class(Idempotency::NonIdempotent) },
        class(Idempotency::Keyed(DeduplicationScope::Zone, window)),
        class(Idempotency::Keyed(DeduplicationScope::Group, window)),
        class(Idempotency::Keyed(DeduplicationScope::All, window)),
        Class { latency_objective: Micros(100_000), ..class(Idempotency::Safe) },
    ];
    cfg.tenants = vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 5.0 }];
    cfg.worst_class_objective_weight = 0.3;
    cfg.hedging = bits & 1 == 0;
    cfg.proxies = if bits & 2 == 0 { 3 } else { 40 };
    cfg.may_cancel_attempts = bits & 4 == 0;
    cfg.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 8 == 0 {
        cfg.discovery = DiscoveryMode::Subscribe(Micros(2_000_000));
    }
    cfg
}

/// Runs the steps and returns the actions of each as text, for the test of determinism.
fn run_steps(bits: u32, seed: u64, steps: &[Step]) -> Vec<String> {
    let mut harness = Harness::new(config(bits), seed);
    let mut trace = Vec::new();
    let fleet = |mask: u32| (0..8).filter(|i| mask >> i & 1 == 1).map(|i| backend(i, i % 3, i % 2)).collect();
    harness.update_endpoints(EndpointUpdate::Cached, fleet(0b0111_1011));
    for step in steps {
        match *step {
            Step::Arrive(c, remaining, t) => {
                harness.send_request_of(c, remaining, t.map(TenantId));
            }
            Step::End(n, o) => {
                if let Some((id, number)) = nth(&harness.in_flight(), n) {
                    harness.end(id, number, o);
                }
            }
            Step::Stream(n) => {
                if let Some((id, number)) = nth(&harness.in_flight(), n) {
                    harness.start_stream(id, number);
                }
            }
            Step::Disconnect(n) => {
                let open: Vec<RequestId> =
                    harness.requests.iter().filter(|(_, r)| r.answer.is_none()).map(|(id, _)| *id).collect();
                if let Some(id) = nth(&open, n) {
                    harness.requests.get_mut(&id).unwrap().answer = Some("client disconnected");
                    harness.event(Event::ClientDisconnected { request: id });
                }
            }
            Step::Advance(span) => harness.advance(span),
            Step::UpdateOne(b, state, restarted) => {
                let started_at = restarted.then_some(harness.now);
                harness.update_endpoints(
                    EndpointUpdate::Delta,
                    vec![BackendEntry { state, started_at, ..backend(b, b % 3, b % 2) }],
                );
            }
            Step::UpdateAll(_, EndpointUpdate::SubscriptionLost) => {
                harness.update_endpoints(EndpointUpdate::SubscriptionLost, Vec::new())
            }
            Step::UpdateAll(mask, update) => harness.update_endpoints(update, fleet(mask)),
            Step::UnknownIds(r, a, t) => {
                harness.send_events_with_unknown_ids(
                    RequestId(1_000_000 + r),
                    AttemptNumber(a),
                    TimerToken(t),
                );
            }
        }
        trace.push(format!("{:?}", harness.last_actions));
    }
    harness.advance(3_000_000);
    let answered = |r: &common::OpenRequest| r.answer.is_some() || r.streaming;
    assert!(harness.requests.values().all(answered), "a request has no answer");
    trace
}

/// Returns the item at `n` modulo the list's length, if the list is not empty.
fn nth<T: Copy>(list: &[T], n: usize) -> Option<T> {
    list.get(n % list.len().max(1)).copied()
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn invariants_hold_for_generated_events() {
    let all = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..250));
    let run = runner(300).run(&all, |(bits, seed, steps)| {
        run_steps(bits, seed, &steps);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn same_events_give_same_actions() {
    let all = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..120));
    let run = runner(40).run(&all, |(bits, seed, steps)| {
        prop_assert_eq!(run_steps(bits, seed, &steps), run_steps(bits, seed, &steps));
        Ok(())
    });
    run.unwrap();
}
