//! Two kinds of backends under an open load, without a proxy between: what they take, at which latency, and what it
//! costs to stand in for them. Arguments: requests a second, seconds.

use shaletide_testkit::*;
use shaletide_types::Idempotency;
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let number = |n: usize, usual: f64| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(usual);
    let (rate, seconds) = (number(1, 2_000.0), number(2, 3.0));
    let boxes = vec![
        BackendSpec::new("fast", CpuCapacity::warm(8, 2.0)),
        BackendSpec { kind: "small".into(), ..BackendSpec::new("slow", CpuCapacity::warm(8, 1.0)) },
    ];
    let services = vec![Service::new("read", Distribution::Exponential(2.0))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(boxes) })?;
    for handle in fleet.backends() {
        let class = LoadClass::new("read", Idempotency::Safe, Duration::from_secs(1));
        let spread = measure_sequential(handle.address, &class, 200);
        println!("{handle:?}, one by one: p50 {:?}, p99 {:?}", spread.p50(), spread.p99());
        let load = Load::new(rate, vec![class], Duration::from_secs_f64(seconds));
        let result = load.run_blocking(handle.address)?;
        println!("{handle:?}, {rate} a second: {}", result.total());
        println!("  at most {} µs late by the clients' fault", result.max_arrival_delay.0);
    }
    println!("{} requests in the ledger", fleet.ledger().records.len());
    Ok(())
}
