//! Clients whose bodies come slowly, stall or never end: nobody else waits behind them, and they hold no more than the
//! bound. The measurement: `cargo test --locked --release -p shaletide --test slow_bodies -- --ignored --nocapture`.

mod harness;

use harness::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A head that promises a body of that length, for a class that is unsafe to repeat.
fn head(length: usize) -> String {
    let whole = request("/pay", 3.0, "");
    let (head, _) = whole.split_once("Content-Length").expect("a length");
    format!("{head}Content-Length: {length}\r\n\r\n")
}

/// A proxy before one backend, with these limits; time enough for a body that nothing else ends.
fn proxy(limits: &str) -> (BackendServer, ServingProgram) {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let classes = CLASSES.replace("deadline = \"3s\"", "deadline = \"20s\"");
    let limits = format!("[limits]\nbody_timeout = \"20s\"\n{limits}\n");
    let file = format!("{limits}{classes}{}", pool("p", &[(backend.address, "a")]));
    let proxy = program().serve(&file);
    (backend, proxy)
}

fn connected(to: SocketAddr, first: &[u8]) -> TcpStream {
    let mut tcp = TcpStream::connect(to).unwrap();
    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let _ = tcp.write_all(first);
    tcp
}

/// The status of what comes, or none where the connection ends without a word.
fn status(tcp: &mut TcpStream) -> Option<u16> {
    let mut line = [0; 12];
    tcp.read_exact(&mut line).ok()?;
    std::str::from_utf8(&line[9..]).ok()?.parse().ok()
}

#[test]
fn body_below_the_rate_gets_408_and_single_stall_is_served() {
    let (backend, proxy) = proxy("body_rate = \"1KiB\"\nbody_grace = \"400ms\"");
    let mut trickles = connected(proxy.address, (head(10_000).replace("3.0", "20.0") + "x").as_bytes());
    // Keeps to the rate with a stall of half its grace in the middle.
    let mut stalls = connected(proxy.address, (head(3_000) + &"x".repeat(1_500)).as_bytes());
    std::thread::sleep(Duration::from_millis(200));
    stalls.write_all(&[b'x'; 1_000]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    stalls.write_all(&[b'x'; 500]).unwrap();
    assert_eq!(status(&mut stalls), Some(200));
    assert_eq!(backend.next_request().body.len(), 3_000);
    let begun = Instant::now();
    assert_eq!(status(&mut trickles), Some(408));
    assert!(begun.elapsed() < Duration::from_secs(10), "long before its time is up");
    let mut rest = Vec::new();
    let _ = trickles.read_to_end(&mut rest); // it ends
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn slow_bodies_do_not_block_a_complete_request() {
    // A grace beyond the test's patience: only those who need a place push others out.
    let (backend, proxy) = proxy("descriptors = 128\nbody_grace = \"1m\"");
    let mut slow: Vec<TcpStream> =
        (0..150).map(|_| connected(proxy.address, (head(1_000) + "x").as_bytes())).collect();
    for _ in 0..10 {
        let answer = proxy.request(&request("/read", 3.0, ""));
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(backend.request_count(), 10);
    // Those that had to go were told so, and whoever stays is served when the rest comes.
    let last = slow.last_mut().unwrap();
    last.write_all(&[b'x'; 999]).unwrap();
    assert_eq!(status(last), Some(200));
    assert_eq!(status(&mut slow[0]), Some(408));
}

#[test]
fn bodies_are_bounded_and_a_fast_one_is_admitted() {
    let (backend, proxy) = proxy("held_bodies = \"1MiB\"\nbody_grace = \"1m\"");
    let stuck = head(60_000) + &"x".repeat(59_000);
    // Seventeen fit; the others are not read, and push one after the other out.
    let slow: Vec<TcpStream> = (0..120).map(|_| connected(proxy.address, stuck.as_bytes())).collect();
    for _ in 0..5 {
        let whole = head(50_000) + &"x".repeat(50_000);
        assert_eq!(proxy.request(&whole).status(), 200);
        assert_eq!(backend.next_request().body.len(), 50_000);
    }
    let peak = peak(proxy.child.id());
    assert!(peak < 24 << 10, "{peak} KiB with 120 bodies of 60 KB begun, and 1 MiB let in");
    drop(slow);
}

#[test]
fn body_not_admitted_in_time_is_rejected() {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held.clone()));
    let classes = CLASSES.replace("deadline = \"3s\"", "deadline = \"20s\"");
    let limits = "[limits]\nbody_timeout = \"300ms\"\nheld_bodies = \"64KiB\"\n";
    let proxy = program().serve(&format!("{limits}{classes}{}", pool("p", &[(backend.address, "a")])));
    // What was taken keeps its room until it has its answer.
    let mut taken = connected(proxy.address, (head(60_000) + &"x".repeat(60_000)).as_bytes());
    backend.next_request();
    let refused = proxy.request(&(head(10_000) + &"x".repeat(10_000)));
    assert_eq!((refused.status(), refused.header("retry-after").is_some()), (503, true));
    assert_eq!(proxy.request(&(head(6_000) + &"x".repeat(6_000))).status(), 503);
    gate.open();
    assert_eq!(status(&mut taken), Some(200));
    assert_eq!(proxy.request(&(head(10_000) + &"x".repeat(10_000))).status(), 200);
    assert_eq!(backend.request_count(), 2);
}

/// The most memory that a process had, in KiB.
fn peak(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number")
}

/// Latencies of a client that asks every 20 ms on a connection of its own each time, sorted, in ms; those that were not
/// served are none.
fn good(to: SocketAddr, span: Duration) -> Vec<Option<f64>> {
    let end = Instant::now() + span;
    let mut took = Vec::new();
    while Instant::now() < end {
        let begun = Instant::now();
        let mut tcp = connected(to, request("/read", 3.0, "").as_bytes());
        let served = status(&mut tcp) == Some(200);
        took.push(served.then(|| begun.elapsed().as_secs_f64() * 1e3));
        std::thread::sleep(Duration::from_millis(20).saturating_sub(begun.elapsed()));
    }
    took.sort_by(|a, b| a.partial_cmp(b).expect("numbers"));
    took
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
        let took = std::thread::scope(|scope| {
            let stop = &stop;
            for _ in 0..4 {
                let first = &first;
                scope.spawn(move || {
                    let mut slow: Vec<TcpStream> = Vec::new();
                    while !stop.load(Ordering::Relaxed) && count > 0 {
                        // Whoever was let go comes again.
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
            let took = good(to, Duration::from_secs(4));
            stop.store(true, Ordering::Relaxed);
            took
        });
        let served: Vec<f64> = took.iter().flatten().copied().collect();
        let at =
            |part: f64| served.get(((served.len() - 1) as f64 * part) as usize).copied().unwrap_or_default();
        let (p50, p99, peak) = (at(0.5), at(0.99), peak(proxy.child.id()));
        println!("| {name} ({count}) | {} of {} | {p50:.2} | {p99:.2} | {peak} |", served.len(), took.len());
    }
}
