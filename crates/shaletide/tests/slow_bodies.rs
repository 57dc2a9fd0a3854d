//! Clients whose bodies arrive slowly, stall or never end: other clients do not wait for them, and the memory that they use
//! is bounded. The measurement: `cargo test --locked --release -p shaletide --test slow_bodies -- --ignored --nocapture`.

mod harness;

use harness::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns the head of an unsafe request with a body of this length.
fn head(length: usize) -> String {
    let whole = request("/pay", 3.0, "");
    let (head, _) = whole.split_once("Content-Length").expect("a length");
    format!("{head}Content-Length: {length}\r\n\r\n")
}

/// Starts a proxy with one backend and these limits. Its body time-out is long, so that the other limits apply first.
fn proxy(limits: &str) -> (BackendServer, ServingProgram) {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let classes = CLASSES.replace("deadline = \"3s\"", "deadline = \"20s\"");
    let limits = format!("[limits]\nbody_timeout = \"20s\"\n{limits}\n");
    let file = format!("{limits}{classes}{}", pool("p", &[(backend.address, "a")]));
    let proxy = program().serve(&file);
    (backend, proxy)
}

fn connect_and_send(to: SocketAddr, first: &[u8]) -> TcpStream {
    let mut tcp = TcpStream::connect(to).unwrap();
    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let _ = tcp.write_all(first);
    tcp
}

/// Reads the status of a response; none if the connection ends without one.
fn status(tcp: &mut TcpStream) -> Option<u16> {
    let mut line = [0; 12];
    tcp.read_exact(&mut line).ok()?;
    std::str::from_utf8(&line[9..]).ok()?.parse().ok()
}

#[test]
fn body_below_the_rate_gets_408_and_single_stall_is_served() {
    let (backend, proxy) = proxy("body_rate = \"1KiB\"\nbody_grace = \"400ms\"");
    let mut trickling =
        connect_and_send(proxy.address, (head(10_000).replace("3.0", "20.0") + "x").as_bytes());
    // Keeps to the rate, with one stall of half the grace.
    let mut stalling = connect_and_send(proxy.address, (head(3_000) + &"x".repeat(1_500)).as_bytes());
    std::thread::sleep(Duration::from_millis(200));
    stalling.write_all(&[b'x'; 1_000]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    stalling.write_all(&[b'x'; 500]).unwrap();
    assert_eq!(status(&mut stalling), Some(200));
    assert_eq!(backend.next_request().body.len(), 3_000);
    let begun = Instant::now();
    assert_eq!(status(&mut trickling), Some(408));
    assert!(begun.elapsed() < Duration::from_secs(10), "rejected long before its deadline");
    let mut rest = Vec::new();
    let _ = trickling.read_to_end(&mut rest); // returns when the connection is closed
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn slow_bodies_do_not_block_a_complete_request() {
    // A grace longer than the test: connections are evicted only for others that need a place.
    let (backend, proxy) = proxy("descriptors = 128\nbody_grace = \"1m\"");
    let mut slow: Vec<TcpStream> =
        (0..150).map(|_| connect_and_send(proxy.address, (head(1_000) + "x").as_bytes())).collect();
    for _ in 0..10 {
        let answer = proxy.request(&request("/read", 3.0, ""));
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(backend.request_count(), 10);
    // Evicted clients get a 408; the others are served when the rest of their body arrives.
    let last = slow.last_mut().unwrap();
    last.write_all(&[b'x'; 999]).unwrap();
    assert_eq!(status(last), Some(200));
    assert_eq!(status(&mut slow[0]), Some(408));
}

#[test]
fn bodies_are_bounded_and_a_fast_one_is_admitted() {
    let (backend, proxy) = proxy("held_bodies = \"1MiB\"\nbody_grace = \"1m\"");
    let incomplete = head(60_000) + &"x".repeat(59_000);
    // Seventeen bodies fit; the other connections are not read, and evict each other one by one.
    let slow: Vec<TcpStream> =
        (0..120).map(|_| connect_and_send(proxy.address, incomplete.as_bytes())).collect();
    for _ in 0..5 {
        let whole = head(50_000) + &"x".repeat(50_000);
        assert_eq!(proxy.request(&whole).status(), 200);
        assert_eq!(backend.next_request().body.len(), 50_000);
    }
    let peak = peak(proxy.child.id());
    assert!(peak < 24 << 10, "{peak} KiB with 120 bodies of 60 KB begun and 1 MiB admitted");
    drop(slow);
}

#[test]
fn body_not_admitted_in_time_is_rejected() {
    let gate = Arc::new(Gate::default());
    let held_gate = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held_gate.clone()));
    let classes = CLASSES.replace("deadline = \"3s\"", "deadline = \"20s\"");
    let limits = "[limits]\nbody_timeout = \"300ms\"\nheld_bodies = \"64KiB\"\n";
    let proxy = program().serve(&format!("{limits}{classes}{}", pool("p", &[(backend.address, "a")])));
    // An admitted body counts towards the limit until its request is answered.
    let mut admitted = connect_and_send(proxy.address, (head(60_000) + &"x".repeat(60_000)).as_bytes());
    backend.next_request();
    let rejected = proxy.request(&(head(10_000) + &"x".repeat(10_000)));
    assert_eq!((rejected.status(), rejected.header("retry-after").is_some()), (503, true));
    assert_eq!(proxy.request(&(head(6_000) + &"x".repeat(6_000))).status(), 503);
    gate.open();
    assert_eq!(status(&mut admitted), Some(200));
    assert_eq!(proxy.request(&(head(10_000) + &"x".repeat(10_000))).status(), 200);
    assert_eq!(backend.request_count(), 2);
}

/// Returns the peak resident memory of a process, in KiB.
fn peak(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number")
}

/// Sends a request every 20 ms, each on a connection of its own. Returns their latencies in ms, sorted; none for requests that
/// were not served.
fn latencies_of_fast_client(to: SocketAddr, span: Duration) -> Vec<Option<f64>> {
    let end = Instant::now() + span;
    let mut latencies = Vec::new();
    while Instant::now() < end {
        let begun = Instant::now();
        let mut tcp = connect_and_send(to, request("/read", 3.0, "").as_bytes());
        let served = status(&mut tcp) == Some(200);
        latencies.push(served.then(|| begun.elapsed().as_secs_f64() * 1e3));
        std::thread::sleep(Duration::from_millis(20).saturating_sub(begun.elapsed()));
    }
    latencies.sort_by(|a, b| a.partial_cmp(b).expect("numbers"));
    latencies
}

#[test]
#[ignore = "a measurement, half a minute"]
fn latency_of_a_fast_client_beside_a_thousand_slow_ones() {
    println!("| load | served | p50 ms | p99 ms | peak KiB |\n|---|--:|--:|--:|--:|");
    let cases: [(&str, usize, String); 6] = [
        ("calm", 0, String::new()),
        ("calm, again", 0, String::new()),
        ("a body, a byte a second", 1_000, head(1_000)),
        ("65 KB of a body and no end", 400, head(65_000) + &"x".repeat(64_000)),
        ("a head, a byte a second", 1_000, "POST /pay HTTP/1.1\r\nX-A: ".into()),
        ("silent", 1_000, String::new()),
    ];
    for (name, count, first) in cases {
        let backend = BackendServer::start(|_| ok_reply("done"));
        let limits = "[limits]\ndescriptors = 256\n";
        let proxy = program().serve(&format!("{limits}{CLASSES}{}", pool("p", &[(backend.address, "a")])));
        let (to, stop) = (proxy.address, AtomicBool::new(false));
        let latencies = std::thread::scope(|scope| {
            let stop = &stop;
            for _ in 0..4 {
                let first = &first;
                scope.spawn(move || {
                    let mut slow: Vec<TcpStream> = Vec::new();
                    while !stop.load(Ordering::Relaxed) && count > 0 {
                        // Clients whose connections were closed connect again.
                        slow.retain_mut(|tcp| {
                            tcp.set_nonblocking(true).unwrap();
                            tcp.read(&mut [0; 512]).is_err() && tcp.write_all(b"x").is_ok()
                        });
                        while slow.len() < count / 4 && !stop.load(Ordering::Relaxed) {
                            let address = socket2::SockAddr::from(to);
                            let socket =
                                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
                                    .unwrap();
                            if socket.connect_timeout(&address, Duration::from_millis(200)).is_err() {
                                break;
                            }
                            let mut tcp = TcpStream::from(socket);
                            let _ = tcp.set_write_timeout(Some(Duration::from_millis(200)));
                            let _ = tcp.write_all(first.as_bytes());
                            slow.push(tcp);
                        }
                        std::thread::sleep(Duration::from_millis(250));
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(500));
            let latencies = latencies_of_fast_client(to, Duration::from_secs(4));
            stop.store(true, Ordering::Relaxed);
            latencies
        });
        let served: Vec<f64> = latencies.iter().flatten().copied().collect();
        let at =
            |part: f64| served.get(((served.len() - 1) as f64 * part) as usize).copied().unwrap_or_default();
        let (p50, p99, peak) = (at(0.5), at(0.99), peak(proxy.child.id()));
        println!(
            "| {name} ({count}) | {} of {} | {p50:.2} | {p99:.2} | {peak} |",
            served.len(),
            latencies.len()
        );
    }
}
