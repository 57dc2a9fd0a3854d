//! Memory, threads and descriptors on the platform, idle and after many requests, and the binary's size. How much of
//! a program's file the kernel maps differs from start to start, so each figure is the median of some.

use super::earlier::Version;
use super::process::{descriptors, size, status};
use super::{a_read, endpoint_json, median, quick, Program};
use std::time::Duration;

const REQUESTS: usize = 20_000;
const CLIENTS: usize = 8;
const STARTS: usize = 5;
/// A client waits so long between requests: a faster build would else keep more connections, and their memory.
const PAUSE: Duration = Duration::from_millis(1);

pub fn measure(versions: &[Version]) {
    println!("| Build | when | VmHWM, kB | VmRSS, kB | RssAnon, kB | threads | descriptors | binary, kB |");
    println!("|---|---|---|---|---|---|---|---|");
    let mut starts: Vec<Vec<[Vec<f64>; 2]>> = vec![Vec::new(); versions.len()];
    for _ in 0..STARTS {
        versions.iter().zip(&mut starts).for_each(|(version, starts)| starts.push(one(version)));
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

/// Peak, memory, what of it is its own, threads and descriptors, idle and after the requests.
fn one(version: &Version) -> [Vec<f64>; 2] {
    let proxy = Program::at(&version.path).start(&[endpoint_json("b0", quick(), "SERVING")]);
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
                assert_eq!(client.request(&a_read()).status(), 200);
                std::thread::sleep(PAUSE);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    [idle, figures()]
}
