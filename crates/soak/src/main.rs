//! `shaletide-soak`: runs seeds of the fault soak and prints the violations of invariants.
#![forbid(unsafe_code)]

use clap::Parser;
use shaletide_soak::artifacts::Artifacts;
use shaletide_soak::plan::{FaultKind, Plan, Scale};
use shaletide_soak::run::{run_seed, Report};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of violations printed for one seed.
const PRINTED: usize = 12;

/// Runs the fault soak: real processes, overlapping faults, and checks of the routing invariants. Exits with status 1 if an
/// invariant was violated.
#[derive(Parser)]
#[command(name = "shaletide-soak")]
struct Cli {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time during which clients send requests, in seconds.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Number of proxies, 1 to 40.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=40))]
    proxies: u16,
    /// Number of backends, 1 to 100.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=100))]
    backends: u16,
    /// Number of fault kinds drawn for each seed.
    #[arg(long, default_value_t = 4)]
    faults: usize,
    /// Fault kinds to use instead of drawn ones, by name, such as Stop,Calls.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Prints the plan of each seed without running it.
    #[arg(long)]
    plan: bool,
    /// Program under test; default: the one in the folder of this executable.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn kinds(names: &[String]) -> Result<Vec<FaultKind>, String> {
    let find = |name: &String| {
        FaultKind::named(name).ok_or_else(|| {
            let (drawn, named) = (FaultKind::DRAWN, FaultKind::NAMED);
            format!("unknown fault kind {name}; expected one of {drawn:?} or {named:?}")
        })
    };
    names.iter().map(find).collect()
}

fn print(report: &Report) {
    let Report {
        seed,
        kinds,
        processes,
        requests,
        unsent,
        served,
        disconnects,
        failed_calls,
        violations,
        ..
    } = report;
    println!(
        "seed {seed} {kinds:?}: {processes} processes, {requests} requests, {unsent} unsent, {served} served, {disconnects} left, \
         calls {failed_calls:?}, {} violations",
        violations.len()
    );
    for violation in violations.iter().take(PRINTED) {
        println!("  {:?}: {}", violation.invariant, violation.text);
    }
    for end in &report.ends_by_signal {
        println!("  trace: {end}");
    }
    if !violations.is_empty() {
        println!("  logs in {}", report.folder.display());
    }
}

fn run(cli: &Cli) -> Result<bool, String> {
    let only = kinds(&cli.only)?;
    let scale = Scale {
        proxies: cli.proxies.into(),
        backends: cli.backends.into(),
        length: Duration::from_secs_f64(cli.seconds),
        faults: cli.faults,
    };
    if cli.plan {
        for seed in cli.seed..cli.seed + cli.seeds {
            let plan = Plan::draw(seed, &scale, &only);
            println!("seed {seed} {:?}, clock {} s ahead", plan.kinds, plan.wall_clock_at_start);
            for timed in plan.steps {
                println!("  {:7.3} s {:?}", timed.at.as_secs_f64(), timed.step);
            }
        }
        return Ok(true);
    }
    let mut artifacts = Artifacts::find().map_err(|e| e.to_string())?;
    if let Some(program) = &cli.program {
        artifacts.program = program.clone();
    }
    let (mut violation_count, mut seeds) = (0, 0);
    for seed in cli.seed..cli.seed + cli.seeds {
        let report = run_seed(seed, &scale, &only, &artifacts).map_err(|e| format!("seed {seed}: {e}"))?;
        print(&report);
        violation_count += report.violations.len();
        seeds += u64::from(!report.violations.is_empty());
    }
    println!("{} seeds, {seeds} with violations, {violation_count} violations", cli.seeds);
    Ok(violation_count == 0)
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("shaletide-soak: {error}");
            ExitCode::from(2)
        }
    }
}
