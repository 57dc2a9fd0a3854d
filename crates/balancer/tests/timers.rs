//! Timers and discovery polls.

mod common;

use common::{class, config, fleet, harness, serve, Harness};
use shaletide_balancer::*;

#[test]
fn request_with_short_deadline_after_idle_period_is_answered_in_time() {
    // The timer that was set while the proxy was idle fires much later.
    let mut harness = harness(Config::example(), Vec::new());
    harness.advance(1_000_000);
    let id = harness.send_request(0, 6_000);
    harness.advance(20_000);
    assert_eq!(harness.requests[&id].answer, Some("rejected"));
}

/// With a short timer interval from the configuration file, a timer that fired a millisecond late missed the time to give
/// the request up: the request ran into its deadline, and its answer was 504 instead of 503 or 502.
#[test]
fn request_at_silent_backend_is_given_up_early_enough_for_late_timers() {
    const TICK: u64 = 1_000;
    // The time left of a request, and how long before its deadline it is given up.
    for (time_left, lead) in [(1_000_000, 5_000), (16_000, 2_000), (6_000, TICK)] {
        for (idempotency, expected) in
            [(Idempotency::Safe, "rejected"), (Idempotency::NonIdempotent, "failed")]
        {
            let cfg = Config {
                min_timer_interval: Micros(TICK),
                timer_lateness: Micros(5_000),
                ..config(vec![class(idempotency)])
            };
            let mut harness = harness(cfg, fleet(1));
            serve(&mut harness, 20, 0, |_| TICK);
            let id = harness.send_request(0, time_left);
            assert_eq!(harness.in_flight(), [(id, 0)]);
            harness.advance(time_left - lead - TICK);
            assert_eq!(harness.requests[&id].answer, None, "{time_left}: given up too early");
            harness.advance(TICK);
            assert_eq!(harness.requests[&id].answer, Some(expected), "{time_left}");
        }
    }
}

#[test]
fn idle_proxy_sets_few_timers() {
    // A timer at every interval, at each of a thousand proxies, would saturate the processor.
    let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(100));
    serve(&mut harness, 20, 0, |_| 10_000);
    harness.timers_set = 0;
    harness.advance(10_000_000);
    assert!(harness.timers_set <= 5, "{} timers were set in ten idle seconds", harness.timers_set);
}

#[test]
fn discovery_is_polled_at_start_and_again_after_subscription_is_lost() {
    let cfg = Config { discovery: DiscoveryMode::Subscribe(Micros(10_000_000)), ..Config::example() };
    let mut harness = Harness::new(cfg, 3);
    harness.update_endpoints(EndpointUpdate::Cached, fleet(2));
    assert_eq!(harness.polls, 1);
    harness.update_endpoints(EndpointUpdate::Delta, fleet(3));
    harness.advance(8_000_000);
    assert_eq!(harness.polls, 1, "polled again although the subscription is in place");
    harness.event(Event::EndpointsUpdated { update: EndpointUpdate::SubscriptionLost, backends: Vec::new() });
    harness.advance(400_000);
    assert_eq!(harness.polls, 2);
    harness.advance(6_000_000);
    assert_eq!(harness.polls, 3, "the unanswered poll was not repeated once");
}
