//! Measures memory, threads and descriptors with the platform's configuration, idle and after many requests, and the binary's
//! size. The part of a program's file that the kernel maps differs between starts, so that each figure is a median.

use super::earlier::Version;
use super::process::{descriptors, size, status};
use super::{endpoint_json, median, new_read_request, start_backend, Program};
use std::time::Duration;

const REQUESTS: usize = 20_000;
const CLIENTS: usize = 8;
const STARTS: usize = 5;
/// The pause between a client's requests. Without it a faster build would keep more connections, and their memory.
const PAUSE: Duration = Duration::from_millis(1);

pub fn measure(versions: &[Version]) {
    println!("| Build | when | VmHWM, kB | VmRSS, kB | RssAnon, kB | threads | descriptors | binary, kB |");
    println!("|---|---|---|---|---|---|---|---|");
    let mut starts: Vec<Vec<[Vec<f64>; 2]>> = vec![Vec::new(); versions.len()];
    for _ in 0..STARTS {
        versions.iter().zip(&mut starts).for_each(|(version, starts)| starts.push(measure_start(version)));
    }
    let mut peaks = Vec::new();
    for (version, starts) in versions.iter().zip(&starts) {
        for (at, when) in ["idle", "after the requests"].into_iter().enumerate() {
            let column = |number: usize| median(starts.iter().map(|start| start[at][number]).collect());
            let figures: Vec<String> = (0..5).map(|number| format!("{:.0}", column(number))).collect();
            let bytes = size(&version.path) / 1_000;
            println!("| {} | {when} | {} | {bytes} |", version.name, figures.join(" | "));
            peaks.push(column(0));
        }
    }
    if let [idle, after, idle_then, after_then] = peaks[..] {
        println!(
            "| more now, kB | | {:.0} idle, {:.0} after | | | | | |",
            idle - idle_then,
            after - after_then
        );
    }
    println!();
}

/// Returns peak memory, resident memory, anonymous memory, threads and descriptors, idle and after the requests.
fn measure_start(version: &Version) -> [Vec<f64>; 2] {
    let proxy = Program::at(&version.path).start(&[endpoint_json("b0", start_backend(), "SERVING")]);
    let pid = proxy.child.id();
    let figures = || {
        let memory = ["VmHWM", "VmRSS", "RssAnon", "Threads"].map(|name| status(pid, name) as f64);
        memory.into_iter().chain([descriptors(pid) as f64]).collect()
    };
    assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    let idle = figures();
    let clients = (0..CLIENTS).map(|_| {
        let mut client = proxy.client();
        std::thread::spawn(move || {
            for _ in 0..REQUESTS / CLIENTS {
                assert_eq!(client.request(&new_read_request()).status(), 200);
                std::thread::sleep(PAUSE);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    [idle, figures()]
}
