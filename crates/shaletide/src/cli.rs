//! The arguments.

use clap::{Args, Parser, Subcommand};
use shaletide_config::operator::{OperatorConfig, PoolSource};
use std::path::PathBuf;

/// Printed where neither `NODE_CONFIG` nor a command is given.
pub const WHAT_NEXT: &str = "NODE_CONFIG is not set, and no command says what to do.
  shaletide demo                 stand-in backends, load and faults, in this one process
  shaletide serve --config FILE  serve by an operators' file; deploy/operator.example.toml shows one
  shaletide check FILE           all that is wrong with such a file
  shaletide --help               the rest
On the platform NODE_CONFIG names the configuration.";

/// A reverse proxy and load balancer that routes by HALB.
///
/// Without a command it runs as on the platform, by the configuration that NODE_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "shaletide", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// An operators' file that adds to NODE_CONFIG what that has no word for: pools, routes, answers, some times.
    #[arg(long, value_name = "FILE")]
    pub with: Option<PathBuf>,
    /// Hold every request, attempt and connection against the rules while it runs: what breaks one is logged as an
    /// error, and the status at the end is 1.
    #[arg(long, global = true)]
    pub self_check: bool,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve by an operators' file; SIGHUP has it read again, SIGTERM ends.
    Serve {
        /// The operators' file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Say all that is wrong with an operators' file: status 0 where nothing is, 2 where something is.
    Check {
        /// The operators' file.
        file: PathBuf,
    },
    /// Stand-in backends, load and faults in this one process: status 0 where all rules held, 1 where one did not.
    Demo(Demo),
    /// What the proxy knew and did: read, check, copy and keep the store of record.
    Record(crate::record::args::Record),
    /// Say which route and pools a request would get, and why no other route.
    Explain(Explain),
    /// Exhaust the engine in a small world: every order of events, every outcome, under any policy. Status 0 where
    /// no rule is broken, 1 with a shortest counterexample, 3 where a limit was hit before all was looked at.
    Explore(Explore),
}

/// A small world and how long to look.
#[derive(Args, Debug)]
pub struct Explore {
    /// A world by name, or "all"; an unknown name lists them. Without it the sizes below make one.
    #[arg(long, value_name = "NAME", conflicts_with_all = ["boxes", "requests", "drains", "pools"])]
    pub world: Option<String>,
    /// Backends, each in a cell of its own.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=4))]
    pub boxes: u8,
    /// Requests: free, keyed, unsafe, and from the beginning.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=6))]
    pub requests: u8,
    /// Drains.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(0..=4))]
    pub drains: u8,
    /// Pools; the backends are dealt out to them.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=4))]
    pub pools: u8,
    /// The store of record with the engine, killed so often: two requests of one key, a store that fails once.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u8).range(1..=3))]
    #[arg(conflicts_with_all = ["world", "boxes", "requests", "drains", "pools", "cover", "threads"])]
    pub restarts: Option<u8>,
    /// Look for so long at most, a world.
    #[arg(long, default_value_t = 600)]
    pub seconds: u64,
    /// On so many threads.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=64))]
    pub threads: u8,
    /// Say which transitions of the engine were met, and why each of the others was not.
    #[arg(long)]
    pub cover: bool,
}

/// How the demo runs.
#[derive(Args, Debug)]
pub struct Demo {
    /// How long the load lasts.
    #[arg(long, value_name = "N", default_value_t = 12, value_parser = clap::value_parser!(u64).range(5..=120))]
    pub seconds: u64,
    /// Print the operators' file that the proxy runs by.
    #[arg(long)]
    pub show_config: bool,
}

/// A request that might come.
#[derive(Args, Debug)]
pub struct Explain {
    /// The operators' file.
    pub file: PathBuf,
    /// Its class; else that of the path, or the one for all others.
    #[arg(long)]
    pub class: Option<String>,
    /// Its tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// The zone that it comes from; else the proxy's own.
    #[arg(long)]
    pub zone: Option<String>,
    /// The bay that it is about.
    #[arg(long)]
    pub bay: Option<String>,
    /// Its path; else that of its class.
    #[arg(long)]
    pub path: Option<String>,
    /// Its method; else the first of its class.
    #[arg(long)]
    pub method: Option<String>,
    /// A header that it carries, as NAME=VALUE; may be given several times.
    #[arg(long = "header", value_name = "NAME=VALUE")]
    pub headers: Vec<String>,
}

/// One line about a sound file.
pub fn summary(operator: &OperatorConfig) -> String {
    let boxes: usize =
        operator.pools.iter().map(|p| if let PoolSource::Static(b) = &p.source { b.len() } else { 0 }).sum();
    let many =
        |count: usize, one: &str, more: &str| format!("{count} {}", if count == 1 { one } else { more });
    format!(
        "makes sense: {}, {}, {}, {}, {}, {}",
        many(operator.listeners.len(), "listener", "listeners"),
        many(operator.classes.len(), "class", "classes"),
        many(operator.tenants.len(), "tenant", "tenants"),
        many(operator.pools.len(), "pool", "pools"),
        many(boxes, "static box", "static boxes"),
        many(operator.routes.len(), "route", "routes"),
    )
}
