//! Measures the cost of the program in front of a server, as ratios within one run. `docs/measurements.md` lists the results.
//!
//! `cargo bench -p shaletide --bench front` runs all parts; arguments such as `-- latency routes record footprint calls load`
//! select some. `footprint`, `calls` and `load` compare with an earlier commit, which is built under `target/measure`:
//! `SHALETIDE_AGAINST` names another commit, or a program file. A part that needs a missing program (valgrind, strace) is
//! skipped, with a line that says so.
#![allow(missing_docs)] // a program; its modules are documented

#[path = "../../tests/harness/mod.rs"]
mod harness;
mod stock;

mod calls;
mod earlier;
mod footprint;
mod latency;
mod load;
mod process;
mod record;
mod routes;

use harness::*;

/// The path of the measured program.
const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_shaletide");

fn main() {
    if cfg!(debug_assertions) {
        return println!("not measured: not a release build; run cargo bench -p shaletide --bench front");
    }
    let selected: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let wanted = |part: &str| selected.is_empty() || selected.iter().any(|name| name == part);
    let cores = process::Cores::own();
    println!("{cores}\n");
    if wanted("latency") {
        latency::measure(&cores);
    }
    if wanted("routes") {
        routes::measure(&cores);
    }
    if wanted("record") {
        record::measure();
    }
    if !["footprint", "calls", "load"].into_iter().any(wanted) {
        return;
    }
    let versions = earlier::versions();
    if wanted("footprint") {
        footprint::measure(&versions);
    }
    if wanted("calls") {
        calls::measure(&versions);
    }
    if wanted("load") {
        load::measure(&cores, &versions);
    }
}

/// Returns a request of the class `read` with a new id.
fn new_read_request() -> String {
    read_request(2.0)
}

/// Returns the median of the figures; 0 if there are none.
fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the value that this fraction of the figures does not exceed.
fn quantile(figures: &[f64], part: f64) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

/// Starts a backend that answers at once, with a thread for each connection, and keeps no records.
fn start_backend() -> std::net::SocketAddr {
    BackendServer::start(|_| ok_reply("x")).address
}

/// Returns an operators' file with one class and one backend.
fn plain_file(at: std::net::SocketAddr, to: std::net::SocketAddr) -> String {
    format!(
        "[[listener]]\naddress = \"{at}\"\n[[class]]\nname = \"read\"\n\
         [[pool]]\nname = \"boxes\"\nboxes = [\"{to}\"]\n"
    )
}
