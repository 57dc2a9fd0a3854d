//! What the program costs in front of a server, as ratios within one run. `docs/measurements.md` says what was
//! measured and when.
//!
//! `cargo bench -p shaletide --bench front` for all, or with `-- latency routes record footprint calls load` for some.
//! `footprint`, `calls` and `load` stand beside an earlier commit, which is built under `target/measure`:
//! `SHALETIDE_AGAINST` names another, or the file of a program. What needs a program that is not there (valgrind, strace) is passed over, with a line that says so.
#![allow(missing_docs)] // a program; its modules say what they do

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

/// The path of the program that is measured.
const HERE: &str = env!("CARGO_BIN_EXE_shaletide");

fn main() {
    if cfg!(debug_assertions) {
        return println!("not measured: this is no release build; cargo bench -p shaletide --bench front");
    }
    let asked: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let wanted = |part: &str| asked.is_empty() || asked.iter().any(|name| name == part);
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

/// A request of the class `read`, with an id of its own.
fn a_read() -> String {
    read_request(2.0)
}

/// The median of some figures; 0 of none.
fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

/// The value that this part of the figures does not exceed.
fn quantile(figures: &[f64], part: f64) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

/// A stand-in that answers at once, each connection on a thread, and remembers nothing.
fn quick() -> std::net::SocketAddr {
    BackendServer::start(|_| ok_reply("x")).address
}

/// An operators' file with one class and one backend.
fn plain_file(at: std::net::SocketAddr, to: std::net::SocketAddr) -> String {
    format!(
        "[[listener]]\naddress = \"{at}\"\n[[class]]\nname = \"read\"\n\
         [[pool]]\nname = \"boxes\"\nboxes = [\"{to}\"]\n"
    )
}
