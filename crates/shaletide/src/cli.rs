//! The command-line arguments.

use clap::{Args, Parser, Subcommand};
use shaletide_config::operator::{OperatorConfig, PoolSource};
use std::path::PathBuf;

/// Printed if neither `NODE_CONFIG` nor a command is given.
pub const USAGE_HINT: &str = "NODE_CONFIG is not set, and no command is given.
  shaletide demo                 run stand-in backends, load and faults in one process
  shaletide serve --config FILE  serve by an operators' file, such as deploy/operator.example.toml
  shaletide check FILE           list all errors in an operators' file
  shaletide --help               list all commands
On the platform NODE_CONFIG names the configuration.";

/// A reverse proxy and load balancer that routes by HALB.
///
/// Without a command it serves by the platform's configuration, which NODE_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "shaletide", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// An operators' file with settings that NODE_CONFIG cannot express: pools, routes, answers, some time limits.
    #[arg(long, value_name = "FILE")]
    pub with: Option<PathBuf>,
    /// Check every request, attempt and connection against the rules at run time: each violation is logged as an error,
    /// and the exit status is 1.
    #[arg(long, global = true)]
    pub self_check: bool,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve by an operators' file; SIGHUP reloads it, SIGTERM stops.
    Serve {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// List all errors in an operators' file: status 0 if there is none, 2 otherwise.
    Check {
        /// The operators' file.
        file: PathBuf,
    },
    /// Run stand-in backends, load and faults in one process: status 0 if all rules held, 1 otherwise.
    Demo(Demo),
    /// Read, verify, copy and maintain the store of record: what the proxy knew and did.
    Record(crate::record::args::Record),
    /// Print the route and pools that a request would get, and why it gets no other route.
    Explain(Explain),
    /// Check the engine exhaustively in a small world: every order of events and every outcome, under any policy. Status 0 if
    /// no rule is broken, 1 with a shortest counterexample, 3 if a limit was reached before all states were explored.
    Explore(Explore),
}

/// A small world and the limits of its exploration.
#[derive(Args, Debug)]
pub struct Explore {
    /// The name of a world, or "all"; an unknown name lists the worlds. By default a world is built from the sizes below.
    #[arg(long, value_name = "NAME", conflicts_with_all = ["boxes", "requests", "drains", "pools"])]
    pub world: Option<String>,
    /// The number of backends, each in its own cell.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=4))]
    pub boxes: u8,
    /// The number of requests: safe, keyed, unsafe, and so on in turn.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=6))]
    pub requests: u8,
    /// The number of drains.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(0..=4))]
    pub drains: u8,
    /// The number of pools, among which the backends are divided.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=4))]
    pub pools: u8,
    /// Check the engine with the store of record, killed N times: two requests of one key, a store that fails once.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u8).range(1..=3))]
    #[arg(conflicts_with_all = ["world", "boxes", "requests", "drains", "pools", "cover", "threads"])]
    pub restarts: Option<u8>,
    /// The time limit for each world, in seconds.
    #[arg(long, default_value_t = 600)]
    pub seconds: u64,
    /// The number of threads.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=64))]
    pub threads: u8,
    /// Print which transitions of the engine were reached, and why each of the others was not.
    #[arg(long)]
    pub cover: bool,
}

/// The options of the demo.
#[derive(Args, Debug)]
pub struct Demo {
    /// How long the load lasts, in seconds.
    #[arg(long, value_name = "N", default_value_t = 12, value_parser = clap::value_parser!(u64).range(5..=120))]
    pub seconds: u64,
    /// Print the operators' file that the proxy uses.
    #[arg(long)]
    pub show_config: bool,
}

/// A hypothetical request.
#[derive(Args, Debug)]
pub struct Explain {
    /// The operators' file.
    pub file: PathBuf,
    /// The class; by default that of the path, else the default class.
    #[arg(long)]
    pub class: Option<String>,
    /// The tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// The zone that the request comes from; by default the proxy's.
    #[arg(long)]
    pub zone: Option<String>,
    /// The bay that the request concerns.
    #[arg(long)]
    pub bay: Option<String>,
    /// The path; by default that of the class.
    #[arg(long)]
    pub path: Option<String>,
    /// The method; by default the first of the class.
    #[arg(long)]
    pub method: Option<String>,
    /// A header, as NAME=VALUE; may be given several times.
    #[arg(long = "header", value_name = "NAME=VALUE")]
    pub headers: Vec<String>,
}

/// Returns a one-line summary of a valid file.
pub fn summary(operator: &OperatorConfig) -> String {
    let static_backends: usize =
        operator.pools.iter().map(|p| if let PoolSource::Static(b) = &p.source { b.len() } else { 0 }).sum();
    let many =
        |count: usize, one: &str, more: &str| format!("{count} {}", if count == 1 { one } else { more });
    format!(
        "valid: {}, {}, {}, {}, {}, {}",
        many(operator.listeners.len(), "listener", "listeners"),
        many(operator.classes.len(), "class", "classes"),
        many(operator.tenants.len(), "tenant", "tenants"),
        many(operator.pools.len(), "pool", "pools"),
        many(static_backends, "static backend", "static backends"),
        many(operator.routes.len(), "route", "routes"),
    )
}
