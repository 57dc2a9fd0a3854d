//! Measures a request with 1 route and with 200 routes, of which the last matches: its time in alternating blocks, and its
//! instructions with callgrind.

use super::process::{is_installed, processor_time, Cores};
use super::{median, new_read_request, program, start_backend, Client, Program, PROGRAM_PATH};
use std::fmt::Write;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Instant;

const MANY: usize = 200;
const ROUNDS: usize = 60;
const BLOCK: usize = 250;
/// Requests in the two runs under callgrind. Their difference is reported, as both include the cost of the start, which depends
/// on hash seeds.
const COUNTED: [usize; 2] = [8_000, 1_000];

pub fn measure(cores: &Cores) {
    let to = start_backend();
    println!(
        "| A request | 1 route | {MANY} routes | ratio | 1 route again / 1 route |\n|---|---|---|---|---|"
    );
    by_time(cores, to);
    if is_installed("valgrind") {
        let [one, again, many] = [1, 1, MANY].map(|routes| instructions(to, routes));
        println!("| instructions | {one:.0} | {many:.0} | {:.4} | {:.4} |", many / one, again / one);
    }
    println!();
}

/// Measures three programs in alternating blocks: medians of the blocks' mean times and of their processor times.
fn by_time(cores: &Cores, to: SocketAddr) {
    let running = [1, MANY, 1].map(|routes| program().serve_file(|at| file(at, to, routes)));
    let mut clients = running.each_ref().map(|proxy| proxy.client());
    let (mut took, mut used) = ([const { Vec::new() }; 3], [const { Vec::new() }; 3]);
    running.iter().for_each(|proxy| cores.pin(proxy.child.id(), 0));
    for round in 0..=ROUNDS {
        for turn in 0..3 {
            let who = (round + turn) % 3;
            let pid = running[who].child.id();
            let (begun, before) = (Instant::now(), processor_time(pid));
            (0..BLOCK).for_each(|_| ask(&mut clients[who]));
            if round > 0 {
                took[who].push(begun.elapsed().as_secs_f64() * 1e6 / BLOCK as f64);
                used[who].push((processor_time(pid) - before) as f64 / 1e3 / BLOCK as f64);
            }
        }
    }
    for (what, figures) in [("time, µs", took), ("processor time, µs", used)] {
        let [one, many, again] = figures.map(median);
        println!("| {what} | {one:.1} | {many:.1} | {:.3} | {:.3} |", many / one, again / one);
    }
}

fn ask(client: &mut Client) {
    assert_eq!(client.request(&new_read_request()).status(), 200);
}

/// Returns the instructions of one request: the difference between a long run and a short run, per request.
fn instructions(to: SocketAddr, routes: usize) -> f64 {
    let [long, short] = COUNTED.map(|requests| counted(to, routes, requests));
    long.saturating_sub(short) as f64 / (COUNTED[0] - COUNTED[1]) as f64
}

fn counted(to: SocketAddr, routes: usize, requests: usize) -> u64 {
    let folder = super::stock::Folder::new();
    let (script, out) = (folder.file("counted"), folder.file("counts"));
    let line = format!(
        "#!/bin/sh\nexec valgrind -q --tool=callgrind --callgrind-out-file={} {PROGRAM_PATH} \"$@\"\n",
        out.display()
    );
    std::fs::write(&script, line).expect("a script");
    std::fs::set_permissions(&script, PermissionsExt::from_mode(0o755)).expect("one that runs");
    let mut proxy = Program::at(&script).serve_file(|at| file(at, to, routes));
    let mut client = proxy.client();
    (0..requests).for_each(|_| ask(&mut client));
    drop(client);
    proxy.signal("TERM");
    let _ = proxy.child.wait();
    total(&out)
}

/// Returns the total at the end of callgrind's output file.
fn total(out: &Path) -> u64 {
    let text = std::fs::read_to_string(out).unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("totals:"));
    total.and_then(|sum| sum.trim().parse().ok()).expect("callgrind's total")
}

/// Returns an operators' file with this many routes. Only the last one matches the request; the others require another class,
/// tenant, path or header. The rest of the file does not depend on the number of routes.
fn file(at: SocketAddr, to: SocketAddr, routes: usize) -> String {
    let mut text = format!(
        "[proxy]\nseed = \"5\"\n[[listener]]\naddress = \"{at}\"\n[[class]]\nname = \"read\"\n\
         [[pool]]\nname = \"boxes\"\nboxes = [\"{to}\"]\n"
    );
    for n in 0..MANY {
        let _ = write!(text, "[[tenant]]\nname = \"t{n}\"\nquota = 1000.0\n");
    }
    for n in 0..MANY / 4 {
        let _ = write!(text, "[[class]]\nname = \"c{n}\"\n");
    }
    for n in 0..routes - 1 {
        let when = match n % 4 {
            0 => format!("class = \"c{}\"", n / 4),
            1 => format!("tenant = \"t{n}\""),
            2 => format!("path = \"/read/r{n}\""),
            _ => format!("header = {{ name = \"X-Kind\", value = \"k{n}\" }}"),
        };
        let _ = write!(text, "[[route]]\nname = \"r{n}\"\n{when}\npools = [\"boxes\"]\n");
    }
    text + "[[route]]\nname = \"rest\"\npools = [\"boxes\"]\n"
}
