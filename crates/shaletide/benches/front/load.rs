//! Measures throughput and processor time on one core with many clients, each of which sends a request as soon as it has a
//! response; then the latency with one client. The builds are measured alternately.

use super::earlier::Version;
use super::latency::alternating;
use super::process::{processor_time, Cores};
use super::{endpoint_json, median, new_read_request, quantile, start_backend, Program, Proxy};
use std::time::Instant;

const CLIENTS: usize = 32;
const REQUESTS: usize = 300;
const ROUNDS: usize = 15;

#[derive(Clone, Copy)]
struct LoadFigures {
    a_second: f64,
    used_us: f64,
    others: usize,
}

pub fn measure(cores: &Cores, versions: &[Version]) {
    let start = |version: &Version| {
        Program::at(&version.path).start(&[endpoint_json("b0", start_backend(), "SERVING")])
    };
    let proxies: Vec<Proxy> = versions.iter().map(start).collect();
    proxies.iter().for_each(|proxy| cores.pin(proxy.child.id(), 0));
    let mut rounds: Vec<Vec<LoadFigures>> = vec![Vec::new(); versions.len()];
    for round in 0..=ROUNDS {
        for turn in 0..versions.len() {
            let who = (round + turn) % versions.len();
            let figures = run_round(&proxies[who]);
            if round > 0 {
                rounds[who].push(figures); // the first round sets up connections and teaches the proxy the capacity
            }
        }
    }
    println!("| {CLIENTS} clients, median of {ROUNDS} | requests a second | processor time a request, µs | not 200 |");
    println!("|---|---|---|---|");
    for (version, rounds) in versions.iter().zip(&rounds) {
        let [a_second, used] =
            [|r: &LoadFigures| r.a_second, |r: &LoadFigures| r.used_us].map(|of| median_of(rounds, of));
        let (others, all) = (rounds.iter().map(|r| r.others).sum::<usize>(), CLIENTS * REQUESTS * ROUNDS);
        println!("| {} | {a_second:.0} | {used:.1} | {others} of {all} |", version.name);
    }
    if let [now, then] = &rounds[..] {
        let pairs: Vec<(LoadFigures, LoadFigures)> = now.iter().copied().zip(then.iter().copied()).collect();
        let a_second = pairs.iter().map(|(now, then)| now.a_second / then.a_second).collect();
        let used = pairs.iter().map(|(now, then)| now.used_us / then.used_us).collect();
        println!("| ratio, median of pairs | {:.3} | {:.3} | |", median(a_second), median(used));
    }
    println!();
    if let [now, then] = &proxies[..] {
        let [now, then, again] = alternating([now.address, then.address, now.address]);
        println!("| One client | now / {} | now again / now |\n|---|---|---|", versions[1].name);
        for (name, part) in [("p50", 0.5), ("p99", 0.99)] {
            let [now, then, again] = [&now, &then, &again].map(|took| quantile(took, part));
            println!("| {name} | {now:.0} / {then:.0} µs = {:.3} | {:.3} |", now / then, again / now);
        }
        println!();
    }
}

fn median_of(rounds: &[LoadFigures], of: fn(&LoadFigures) -> f64) -> f64 {
    median(rounds.iter().map(of).collect())
}

/// Lets each client send [`REQUESTS`] requests.
fn run_round(proxy: &Proxy) -> LoadFigures {
    let (begun, before) = (Instant::now(), processor_time(proxy.child.id()));
    let clients = (0..CLIENTS).map(|_| {
        let mut client = proxy.client();
        std::thread::spawn(move || {
            (0..REQUESTS).filter(|_| client.request(&new_read_request()).status() != 200).count()
        })
    });
    let clients: Vec<_> = clients.collect();
    let others = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    let (took, used) = (begun.elapsed().as_secs_f64(), processor_time(proxy.child.id()) - before);
    let all = (CLIENTS * REQUESTS) as f64;
    LoadFigures { a_second: all / took, used_us: used as f64 / 1e3 / all, others }
}
