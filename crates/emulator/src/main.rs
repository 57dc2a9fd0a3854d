//! `shaletide-emulator`: a scenario played by several deciders, side by side.

use clap::Parser;
use shaletide_emulator::scenario::PlannedFault;
use shaletide_emulator::statistics::ENDS;
use shaletide_emulator::{simulation, Policy, Scenario};
use std::process::ExitCode;
use std::time::Instant;

/// Proxies and backends of one run: each proxy has a module of its own that knows each backend, in the memory of one
/// process.
const MAX_PROXIES: i64 = 2_000;
const MAX_BACKENDS: i64 = 2_000;

/// A fleet on a virtual clock: what clients get of random choice, of the program without and with reports, and of one
/// module that sees all. Status 1 where a rule broke.
#[derive(Debug, Parser)]
#[command(name = "shaletide-emulator", version)]
struct Cli {
    /// The scenario: calm, herd, join, split, slow, silent, zone or none; or all.
    #[arg(long = "day", default_value = "calm")]
    scenario: String,
    /// Proxies.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=MAX_PROXIES))]
    proxies: u32,
    /// Backends.
    #[arg(long = "boxes", default_value_t = 190, value_parser = clap::value_parser!(u32).range(1..=MAX_BACKENDS))]
    backends: u32,
    /// The seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the scenario lasts.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Traffic as a part of what all backends can do, in place of the scenario's own.
    #[arg(long, value_parser = parse_load)]
    load: Option<f64>,
    /// How uneven the zones' traffic is: from 1 less this to 1 and this times an even part, by the zones' numbers.
    #[arg(long, value_parser = parse_skew)]
    zone_skew: Option<f64>,
    /// A further fault, as NAME or NAME=NUMBER, @, and from which second to which, as `lists-stop@6-12` or
    /// `burst=1.5@3-9`; may be given several times. With --day none there is no other.
    #[arg(long = "trouble")]
    fault: Vec<PlannedFault>,
    /// Which policy decides: random, without, program or one; by default each of them, one after the other.
    #[arg(long = "who")]
    policy: Option<Policy>,
    /// Show second by second what was served, what was rejected and why, and how the backends are.
    #[arg(long)]
    by_second: bool,
}

fn parse_load(text: &str) -> Result<f64, String> {
    let load: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if (0.01..=10.0).contains(&load) {
        Ok(load)
    } else {
        Err("not from 0.01 to 10".into())
    }
}

fn parse_skew(text: &str) -> Result<f64, String> {
    let skew: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if (0.0..=0.95).contains(&skew) {
        Ok(skew)
    } else {
        Err("not from 0 to 0.95".into())
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let names: Vec<&str> = if cli.scenario == "all" { Scenario::NAMES.to_vec() } else { vec![&cli.scenario] };
    let mut sound = true;
    for name in names {
        let Some(mut scenario) = Scenario::named(name, cli.proxies, cli.backends, cli.seed) else {
            eprintln!("shaletide-emulator: no day {name:?}; there are {}", Scenario::NAMES.join(", "));
            return ExitCode::from(2);
        };
        scenario.zone_skew = cli.zone_skew.unwrap_or(scenario.zone_skew);
        scenario.load = cli.load.unwrap_or(scenario.load);
        scenario.faults.extend(cli.fault.iter().map(|t| (t.from, t.to, t.fault.clone())));
        scenario.length = shaletide_types::Micros(cli.seconds * 1_000_000);
        println!(
            "{name}: {} proxies, {} boxes, seed {}, {} s",
            cli.proxies, cli.backends, cli.seed, cli.seconds
        );
        for policy in Policy::ALL.into_iter().filter(|policy| cli.policy.is_none_or(|only| only == *policy)) {
            let begun = Instant::now();
            let played = simulation(&scenario, policy);
            let a = &played.statistics;
            let tries = a.ends.iter().sum::<u64>().max(1) as f64;
            let ends =
                ENDS.iter().map(|(end, text)| format!("{text} {:.3}", a.ends[*end as usize] as f64 / tries));
            println!(
                "  {:<18} worth {:.3}, worst class {:.3}, refused {:.3}, p50 {} ms, p99 {} ms, handshakes {:.2} a try, \
                 crowded {}, rules broken {}, coldest at {:.2}, {:.1} s",
                policy.name(),
                a.served_worth(),
                a.worst_class(),
                a.refused_part(),
                a.latency.value_at_quantile(0.5) / 1_000,
                a.latency.value_at_quantile(0.99) / 1_000,
                a.handshakes as f64 / tries,
                a.crowdings,
                played.watch.count,
                played.watch.fullest,
                begun.elapsed().as_secs_f64(),
            );
            println!("    {}", ends.collect::<Vec<_>>().join(", "));
            if cli.by_second {
                let parts: Vec<String> = a.by_second().iter().map(|p| format!("{:.0}", p * 100.0)).collect();
                println!("    served by second, %: {}", parts.join(" "));
                for (at, why) in ["at once", "held", "sent"].iter().enumerate() {
                    let all: Vec<String> = a.rejected.iter().map(|r| r[at].to_string()).collect();
                    println!("    refused {why}, by second: {}", all.join(" "));
                }
                let slow: Vec<String> = a.backends.iter().map(|b| b.0.to_string()).collect();
                println!("    boxes slow from crowding as each second ends: {}", slow.join(" "));
                let held: Vec<String> = a.backends.iter().map(|b| format!("{:.1}", b.1)).collect();
                println!("    requests that a box holds then: {}", held.join(" "));
            }
            // Random choice keeps no rule but by luck.
            if policy != Policy::Random && played.watch.count > 0 {
                println!("    broken: {:?}", played.watch.broken);
                sound = false;
            }
        }
    }
    ExitCode::from(u8::from(!sound))
}
