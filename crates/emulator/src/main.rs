//! `shaletide-emulator`: runs a scenario under several policies, one after the other.

use clap::Parser;
use shaletide_emulator::scenario::PlannedFault;
use shaletide_emulator::statistics::ENDS;
use shaletide_emulator::{simulation, Policy, Scenario};
use std::process::ExitCode;
use std::time::Instant;

/// Upper bounds of the proxies and backends of one run: each proxy has its own decision module with an entry for each
/// backend, all in the memory of one process.
const MAX_PROXIES: i64 = 2_000;
const MAX_BACKENDS: i64 = 2_000;

/// Emulates a fleet on a virtual clock and shows what clients get under random choice, under the program without and with
/// load reports, and under one module that sees all requests. The exit status is 1 if an invariant is violated.
#[derive(Debug, Parser)]
#[command(name = "shaletide-emulator", version)]
struct Cli {
    /// The scenario: calm, herd, join, split, slow, silent, zone or none; all runs each of them but none.
    #[arg(long = "day", default_value = "calm")]
    scenario: String,
    /// The number of proxies.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=MAX_PROXIES))]
    proxies: u32,
    /// The number of backends.
    #[arg(long = "boxes", default_value_t = 190, value_parser = clap::value_parser!(u32).range(1..=MAX_BACKENDS))]
    backends: u32,
    /// The seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The length of the scenario in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Traffic as a fraction of the capacity of all backends; overrides the scenario's own value.
    #[arg(long, value_parser = parse_load)]
    load: Option<f64>,
    /// The skew of traffic between zones: from 1 minus this value to 1 plus it times an equal share, rising with the
    /// zone's number.
    #[arg(long, value_parser = parse_skew)]
    zone_skew: Option<f64>,
    /// An additional fault: NAME or NAME=NUMBER, @, and its first and last second, as `lists-stop@6-12` or
    /// `burst=1.5@3-9`; may be given several times. With --day none there are no other faults.
    #[arg(long = "trouble")]
    fault: Vec<PlannedFault>,
    /// The policy that selects backends: random, without, program or one; by default each of them in turn.
    #[arg(long = "who")]
    policy: Option<Policy>,
    /// Show for each second what was served, what was rejected and why, and the state of the backends.
    #[arg(long)]
    by_second: bool,
}

fn parse_load(text: &str) -> Result<f64, String> {
    let load: f64 = text.parse().map_err(|_| "expected a number".to_string())?;
    if (0.01..=10.0).contains(&load) {
        Ok(load)
    } else {
        Err("expected a value from 0.01 to 10".into())
    }
}

fn parse_skew(text: &str) -> Result<f64, String> {
    let skew: f64 = text.parse().map_err(|_| "expected a number".to_string())?;
    if (0.0..=0.95).contains(&skew) {
        Ok(skew)
    } else {
        Err("expected a value from 0 to 0.95".into())
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let names: Vec<&str> = if cli.scenario == "all" { Scenario::NAMES.to_vec() } else { vec![&cli.scenario] };
    let mut no_violation = true;
    for name in names {
        let Some(mut scenario) = Scenario::named(name, cli.proxies, cli.backends, cli.seed) else {
            eprintln!(
                "shaletide-emulator: unknown scenario {name:?}; known scenarios: {}",
                Scenario::NAMES.join(", ")
            );
            return ExitCode::from(2);
        };
        scenario.zone_skew = cli.zone_skew.unwrap_or(scenario.zone_skew);
        scenario.load = cli.load.unwrap_or(scenario.load);
        scenario
            .faults
            .extend(cli.fault.iter().map(|planned| (planned.from, planned.to, planned.fault.clone())));
        scenario.length = shaletide_types::Micros(cli.seconds * 1_000_000);
        println!(
            "{name}: {} proxies, {} boxes, seed {}, {} s",
            cli.proxies, cli.backends, cli.seed, cli.seconds
        );
        for policy in Policy::ALL.into_iter().filter(|policy| cli.policy.is_none_or(|only| only == *policy)) {
            let started_at = Instant::now();
            let result = simulation(&scenario, policy);
            let stats = &result.statistics;
            let tries = stats.ends.iter().sum::<u64>().max(1) as f64;
            let ends = ENDS
                .iter()
                .map(|(end, text)| format!("{text} {:.3}", stats.ends[*end as usize] as f64 / tries));
            println!(
                "  {:<18} worth {:.3}, worst class {:.3}, refused {:.3}, p50 {} ms, p99 {} ms, handshakes {:.2} a try, \
                 crowded {}, rules broken {}, coldest at {:.2}, {:.1} s",
                policy.name(),
                stats.served_weight_fraction(),
                stats.worst_class_fraction(),
                stats.rejected_fraction(),
                stats.latency.value_at_quantile(0.5) / 1_000,
                stats.latency.value_at_quantile(0.99) / 1_000,
                stats.handshakes as f64 / tries,
                stats.overloads,
                result.observer.count,
                result.observer.peak_cold_load,
                started_at.elapsed().as_secs_f64(),
            );
            println!("    {}", ends.collect::<Vec<_>>().join(", "));
            if cli.by_second {
                let parts: Vec<String> =
                    stats.by_second().iter().map(|p| format!("{:.0}", p * 100.0)).collect();
                println!("    served by second, %: {}", parts.join(" "));
                for (at, why) in ["at once", "held", "sent"].iter().enumerate() {
                    let all: Vec<String> = stats.rejected.iter().map(|r| r[at].to_string()).collect();
                    println!("    refused {why}, by second: {}", all.join(" "));
                }
                let slow: Vec<String> = stats.backends.iter().map(|b| b.0.to_string()).collect();
                println!("    boxes slow from crowding as each second ends: {}", slow.join(" "));
                let held: Vec<String> = stats.backends.iter().map(|b| format!("{:.1}", b.1)).collect();
                println!("    requests that a box holds then: {}", held.join(" "));
            }
            // Random choice violates the invariants by design, so its violations do not count.
            if policy != Policy::Random && result.observer.count > 0 {
                println!("    broken: {:?}", result.observer.broken);
                no_violation = false;
            }
        }
    }
    ExitCode::from(u8::from(!no_violation))
}
