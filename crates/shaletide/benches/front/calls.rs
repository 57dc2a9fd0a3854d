//! Counts the system calls of a request on a persistent connection, with strace.

use super::earlier::Version;
use super::process::is_installed;
use super::stock::{Folder, Stock};
use super::{endpoint_json, new_read_request, start_backend, Client, Program};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;

const REQUESTS: usize = 2_000;
/// System calls with fewer calls per request than this in all columns are not printed.
const MIN_CALLS_SHOWN: f64 = 0.005;

pub fn measure(versions: &[Version]) {
    if !is_installed("strace") {
        return;
    }
    let (quick_backend, apart) = (start_backend(), Stock::new(true));
    let mut columns: Vec<(String, BTreeMap<String, f64>)> = Vec::new();
    for version in versions {
        columns.push((version.name.clone(), counted(version, quick_backend, &new_read_request)));
    }
    if let Some(now) = versions.first() {
        let get = || new_read_request().replace("/read/k1", "/read/1");
        columns.push(("now, head and body apart".into(), counted(now, apart.address, &get)));
    }
    let mut names: Vec<&String> = columns.iter().flat_map(|column| column.1.keys()).collect();
    names.sort();
    names.dedup();
    let heads: Vec<&str> = columns.iter().map(|column| column.0.as_str()).collect();
    println!("| Calls a request | {} |\n|---{}|", heads.join(" | "), "|---".repeat(heads.len()));
    for name in names {
        let each = columns.iter().map(|column| column.1.get(name).copied().unwrap_or(0.0));
        let each: Vec<f64> = each.collect();
        if each.iter().any(|calls| *calls >= MIN_CALLS_SHOWN) {
            let each: Vec<String> = each.iter().map(|calls| format!("{calls:.2}")).collect();
            println!("| {name} | {} |", each.join(" | "));
        }
    }
    println!();
}

/// Returns how often each system call is made per request, by name, with a client that sends one request at a time.
fn counted(version: &Version, to: SocketAddr, request: &dyn Fn() -> String) -> BTreeMap<String, f64> {
    let proxy = Program::at(&version.path).start(&[endpoint_json("b0", to, "SERVING")]);
    let mut client = proxy.client();
    let mut ask = |count: usize| (0..count).for_each(|_| send_request(&mut client, request));
    ask(100);
    let folder = Folder::new();
    let out = folder.file("calls");
    let pid = proxy.child.id();
    let mut strace = Command::new("strace");
    strace.args(["-c", "-f", "-o"]).arg(&out).args(["-p", &pid.to_string()]);
    let mut strace = strace.stderr(std::process::Stdio::null()).spawn().expect("strace");
    // strace is attached once the kernel names a tracer.
    while super::process::status(pid, "TracerPid") == 0
        && strace.try_wait().is_ok_and(|ended| ended.is_none())
    {
        std::thread::yield_now();
    }
    ask(REQUESTS);
    let _ = Command::new("kill").args(["-s", "INT", &strace.id().to_string()]).status();
    let _ = strace.wait();
    let text = std::fs::read_to_string(&out).unwrap_or_default();
    let counts = text.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let calls: f64 = fields.get(3)?.parse().ok()?;
        let name = fields.last().filter(|name| **name != "total")?;
        Some((name.to_string(), calls / REQUESTS as f64))
    });
    counts.collect()
}

fn send_request(client: &mut Client, request: &dyn Fn() -> String) {
    assert_eq!(client.request(&request()).status(), 200);
}
