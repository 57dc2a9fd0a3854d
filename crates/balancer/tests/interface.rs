//! The interface: configurations out of range, events with unknown ids.

mod common;

use common::{class, config, fleet, harness, serve};
use shaletide_balancer::*;

#[test]
fn configuration_out_of_range_returns_field_in_error() {
    let rejected_field = |change: fn(&mut Config)| {
        let mut cfg = Config::example();
        change(&mut cfg);
        Balancer::new(cfg, 1).err().map(|e| e.field)
    };
    assert_eq!(rejected_field(|c| c.proxies = 0), Some("proxies"));
    assert_eq!(rejected_field(|c| c.classes.clear()), Some("classes"));
    assert_eq!(rejected_field(|c| c.classes[0].latency_objective = Micros(0)), Some("aim"));
    assert_eq!(rejected_field(|c| c.classes[0].priority_weight = f64::NAN), Some("worth"));
    assert_eq!(rejected_field(|c| c.classes[0].late_weight_fraction = 1.5), Some("late_worth"));
    assert_eq!(rejected_field(|c| c.tenants.push(Tenant { quota_per_s: -1.0 })), Some("quota_per_s"));
    assert_eq!(rejected_field(|c| c.max_attempts = 0), Some("max_attempts"));
    assert_eq!(rejected_field(|c| c.min_timer_interval = Micros(0)), Some("tick"));
    assert_eq!(rejected_field(|c| c.initial_capacity_fraction = -0.1), Some("cold_from"));
    assert_eq!(rejected_field(|c| c.overload_multiple = f64::INFINITY), Some("fall_multiple"));
    assert_eq!(rejected_field(|_| ()), None);
}

#[test]
fn events_with_unknown_ids_change_nothing() {
    let run = |with_unknown_ids: bool| {
        let mut harness = harness(config(vec![class(Idempotency::Safe)]), fleet(3));
        if with_unknown_ids {
            harness.send_events_with_unknown_ids(RequestId(77), AttemptNumber(3), TimerToken(u64::MAX));
        }
        serve(&mut harness, 50, 0, |_| 10_000)
    };
    assert_eq!(run(false), run(true));
}
