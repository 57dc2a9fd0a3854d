//! The slow start budget.

use super::*;

#[test]
fn work_over_the_slow_start_budget_breaks_cold_budget() {
    let rules = SlowStartRules {
        initial_capacity_fraction: 0.2,
        slow_start_window: Micros(10_000_000),
        overload_multiple: 3.0,
        overload_window: Micros(1_000_000),
        proxies: 1,
        work_per_core_second: 1.0,
        default_work: Micros(100_000),
    };
    let sent = |age: u64, count: u32| {
        let mut cold = SlowStartMonitor::new(rules);
        let now = Time(100_000_000);
        let booted = Some(now - Micros(age));
        let (id, state) = (BackendId(0), BackendState::Ready);
        let row = BackendEntry { id, started_at: booted, cores: 1, state, ..BackendEntry::default() };
        let (pool, update) = (PoolId(0), EndpointUpdate::Snapshot);
        cold.observe_event(now, &Event::EndpointsUpdated { pool, update, backends: vec![row] });
        let all = (0..count).map(|number| {
            cold.observe_action(now, &open(number, 0))
                .and_then(|()| cold.observe_action(now, &send(number, number)))
                .map_err(|v| v.rule)
        });
        all.filter(Result::is_err).count()
    };
    // It can do 0.2 s of work in the window and takes three times that: six requests.
    assert_eq!((sent(0, 6), sent(0, 7)), (0, 1));
    assert_eq!(sent(20_000_000, 50), 0, "warm ones take what they can");
    let mut small = SlowStartMonitor::new(SlowStartRules { overload_multiple: 0.1, ..rules });
    let row =
        BackendEntry { started_at: Some(Time(0)), state: BackendState::Ready, ..BackendEntry::default() };
    small.observe_event(
        Time(0),
        &Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Snapshot, backends: vec![row] },
    );
    assert!(small.observe_action(Time(0), &open(0, 0)).is_ok());
    assert!(small.observe_action(Time(0), &send(0, 0)).is_ok(), "one always may go");
}
