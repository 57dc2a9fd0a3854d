//! Runs two server types of backends under an open load without a proxy in between, and prints how many requests they
//! serve, with which latency, and the delay that the load clients add. Arguments: requests per second, seconds.

use shaletide_testkit::*;
use shaletide_types::Idempotency;
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let argument =
        |n: usize, default: f64| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(default);
    let (rate, seconds) = (argument(1, 2_000.0), argument(2, 3.0));
    let backends = vec![
        BackendSpec::new("fast", CpuCapacity::warm(8, 2.0)),
        BackendSpec { kind: "small".into(), ..BackendSpec::new("slow", CpuCapacity::warm(8, 1.0)) },
    ];
    let services = vec![Service::new("read", Distribution::Exponential(2.0))];
    let fleet = Fleet::with(FleetSpec { services, ..FleetSpec::new(backends) })?;
    for handle in fleet.backends() {
        let class = LoadClass::new("read", Idempotency::Safe, Duration::from_secs(1));
        let latencies = measure_sequential(handle.address, &class, 200);
        println!("{handle:?}, one by one: p50 {:?}, p99 {:?}", latencies.p50(), latencies.p99());
        let load = Load::new(rate, vec![class], Duration::from_secs_f64(seconds));
        let result = load.run_blocking(handle.address)?;
        println!("{handle:?}, {rate} requests per second: {}", result.total());
        println!("  arrivals delayed by at most {} µs by the load clients", result.max_arrival_delay.0);
    }
    println!("{} requests in the ledger", fleet.ledger().records.len());
    Ok(())
}
