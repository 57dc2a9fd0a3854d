//! Measures the latency through the program relative to direct requests to the server. A second series of direct requests
//! shows the noise.

use super::process::Cores;
use super::stock::Stock;
use super::{plain_file, program, quantile, Client, Message};
use std::io::Read;
use std::net::SocketAddr;
use std::time::Instant;

/// Requests to each address.
const EACH: usize = 1_000;
/// Requests to one address before the next one's turn. Few enough that no server or proxy closes the other connections
/// meanwhile.
const BLOCK: usize = 10;

pub fn measure(cores: &Cores) {
    println!("| Server | direct p50, p99 | through p50, p99 | through / direct | direct again / direct |");
    println!("|---|---|---|---|---|");
    for stock in [Stock::new(false), Stock::new(true)] {
        let proxy = program().serve_file(|at| plain_file(at, stock.address));
        cores.pin(proxy.child.id(), 0);
        let [direct, through, again] = alternating([stock.address, proxy.address, stock.address]);
        line(stock.name, &direct, &through, &again);
        if stock.name != "at once" {
            // This server writes head and body apart: a client with delayed acknowledgements waits longer for the body.
            let [direct, through, again] =
                blocks([stock.address, proxy.address, stock.address], ask_acknowledging);
            line("apart, acknowledged at once", &direct, &through, &again);
        }
    }
    println!();
}

fn line(name: &str, direct: &[f64], through: &[f64], again: &[f64]) {
    let [d, t, a] = [direct, through, again].map(|took| [quantile(took, 0.5), quantile(took, 0.99)]);
    println!(
        "| {name} | {:.0}, {:.0} µs | {:.0}, {:.0} µs | {:.2}, {:.2} | {:.2}, {:.2} |",
        d[0],
        d[1],
        t[0],
        t[1],
        t[0] / d[0],
        t[1] / d[1],
        a[0] / d[0],
        a[1] / d[1]
    );
}

/// Sends [`EACH`] requests to each address on a persistent connection, in alternating blocks whose order rotates; returns the
/// durations in µs.
pub fn alternating<const N: usize>(to: [SocketAddr; N]) -> [Vec<f64>; N] {
    blocks(to, ask)
}

fn blocks<const N: usize>(to: [SocketAddr; N], ask: fn(&mut Client, usize) -> f64) -> [Vec<f64>; N] {
    let mut clients = to.map(Client::connect);
    for client in &mut clients {
        let _ = client.0.get_ref().set_nodelay(true);
    }
    let mut took = [const { Vec::new() }; N];
    for round in 0..=EACH / BLOCK {
        for turn in 0..N {
            let who = (round + turn) % N;
            for number in 0..BLOCK {
                let one = ask(&mut clients[who], round * BLOCK + number);
                if round > 0 {
                    took[who].push(one); // the first round warms up
                }
            }
        }
    }
    took
}

fn request(number: usize) -> String {
    format!("GET /read/1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: l{number}\r\n\r\n")
}

fn ask(client: &mut Client, number: usize) -> f64 {
    let begun = Instant::now();
    let answer = client.request(&request(number));
    let took = begun.elapsed();
    assert_eq!(answer.status(), 200, "request {number}");
    took.as_secs_f64() * 1e6
}

fn ask_acknowledging(client: &mut Client, number: usize) -> f64 {
    let begun = Instant::now();
    client.send(&request(number));
    let head = Message::read_head(&mut client.0).expect("a head");
    let _ = socket2::SockRef::from(client.0.get_ref()).set_tcp_quickack(true);
    let length = head.header("content-length").and_then(|n| n.parse().ok()).expect("its length");
    let body = client.0.read_exact(&mut vec![0; length]);
    let took = begun.elapsed();
    assert!(head.status() == 200 && body.is_ok(), "request {number}");
    took.as_secs_f64() * 1e6
}
