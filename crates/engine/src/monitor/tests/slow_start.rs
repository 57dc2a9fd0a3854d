//! The slow start budget of a backend that has just started.

use super::*;

#[test]
fn work_over_the_slow_start_budget_breaks_slow_start_budget() {
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
        let mut monitor = SlowStartMonitor::new(rules);
        let now = Time(100_000_000);
        let started = Some(now - Micros(age));
        let (id, state) = (BackendId(0), BackendState::Ready);
        let entry = BackendEntry { id, started_at: started, cores: 1, state, ..BackendEntry::default() };
        let (pool, update) = (PoolId(0), EndpointUpdate::Snapshot);
        monitor.observe_event(now, &Event::EndpointsUpdated { pool, update, backends: vec![entry] });
        let all = (0..count).map(|number| {
            monitor
                .observe_action(now, &open(number, 0))
                .and_then(|()| monitor.observe_action(now, &send(number, number)))
                .map_err(|v| v.rule)
        });
        all.filter(Result::is_err).count()
    };
    // The backend can do 0.2 s of work in the window, and its budget is three times that: six requests of 0.1 s.
    assert_eq!((sent(0, 6), sent(0, 7)), (0, 1));
    assert_eq!(sent(20_000_000, 50), 0, "no budget applies after the slow start");
    let mut small = SlowStartMonitor::new(SlowStartRules { overload_multiple: 0.1, ..rules });
    let entry =
        BackendEntry { started_at: Some(Time(0)), state: BackendState::Ready, ..BackendEntry::default() };
    small.observe_event(
        Time(0),
        &Event::EndpointsUpdated { pool: PoolId(0), update: EndpointUpdate::Snapshot, backends: vec![entry] },
    );
    assert!(small.observe_action(Time(0), &open(0, 0)).is_ok());
    assert!(small.observe_action(Time(0), &send(0, 0)).is_ok(), "one request may always be sent");
}
