//! Measures the cost of a store of record: a settle with and without it, many settles at once compared with one, and the effect
//! of a locked store on readers. The store is in the system's temporary directory; `SHALETIDE_STORE` names another directory, for
//! example on another disk.

use super::{program, quantile, start_backend, Client};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Requests to each proxy.
const EACH: usize = 2_000;
/// Requests to one proxy before the next one's turn.
const BLOCK: usize = 20;
/// The length of each compared run under load, and how long the store is locked in one of them.
const SPAN: Duration = Duration::from_secs(10);
/// Requests per second in a run under load: readers and settles together.
const RATE: u64 = 300;

static KEYS: AtomicU64 = AtomicU64::new(0);

pub fn measure() {
    let folder = std::env::var_os("SHALETIDE_STORE").map_or_else(std::env::temp_dir, PathBuf::from);
    let store = folder.join(format!("shaletide-bench-{}.db", std::process::id()));
    let to = start_backend();
    let file = |at: SocketAddr, record: &str| {
        let facts = if record.is_empty() { "" } else { "record = \"facts\"\n" };
        format!(
            "[[listener]]\naddress = \"{at}\"\n[request]\nkey = {{ header = \"Idempotency-Key\" }}\n\
             [[class]]\nname = \"read\"\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\ndeadline = \"2s\"\n\
             [[class]]\nname = \"bid\"\neffect = \"keyed\"\nkey_scope = \"all\"\nkey_window = \"1.2s\"\n{facts}{record}[[pool]]\nname = \"boxes\"\nboxes = [\"{to}\"]\n"
        )
    };
    let section = format!("[record]\npath = {:?}\nwait = \"100ms\"\n", store.display().to_string());
    let plain = program().serve_file(|at| file(at, ""));
    let again = program().serve_file(|at| file(at, ""));
    let kept = program().serve_file(|at| file(at, &section));

    let [a, b, c] = in_turns([plain.address, again.address, kept.address]);
    println!("| A settle, one client | p50 | p99 |\n|---|---|---|");
    for (what, took) in [("without a store", &a), ("without, again", &b), ("with a store", &c)] {
        println!("| {what} | {:.0} µs | {:.0} µs |", quantile(took, 0.5), quantile(took, 0.99));
    }
    println!(
        "| added | {:.0} µs | {:.0} µs |\n",
        quantile(&c, 0.5) - quantile(&a, 0.5),
        quantile(&c, 0.99) - quantile(&a, 0.99)
    );

    println!("| Settles a second | 1 client | 64 clients | ratio |\n|---|---|---|---|");
    for (what, at) in [("without a store", plain.address), ("with a store", kept.address)] {
        let [one, many] = [1, 64].map(|clients| settles_a_second(at, clients));
        println!("| {what} | {one:.0} | {many:.0} | {:.1} |", many / one);
    }
    println!();

    println!("| {RATE} requests a second, a third settles | read p50 | read p99 | bid p50 | bid p99 | settles: 200 | 503 | else | slowest settle |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for (what, at, frozen) in [
        ("without a store", plain.address, false),
        ("without, again", again.address, false),
        ("with a store", kept.address, false),
        ("with a store that is frozen", kept.address, true),
        ("with it thawed", kept.address, false),
    ] {
        let lock = frozen.then(|| {
            let db = rusqlite::Connection::open(&store).expect("the store");
            db.busy_timeout(Duration::from_secs(5)).expect("a timeout");
            db.execute_batch("BEGIN IMMEDIATE").expect("the lock");
            db
        });
        let seen = under_load(at);
        drop(lock);
        println!(
            "| {what} | {:.0} µs | {:.0} µs | {:.0} µs | {:.0} µs | {} | {} | {} | {:.0} ms |",
            quantile(&seen.reads, 0.5),
            quantile(&seen.reads, 0.99),
            quantile(&seen.bids, 0.5),
            quantile(&seen.bids, 0.99),
            seen.served,
            seen.refused,
            seen.other,
            seen.slowest / 1e3
        );
        std::thread::sleep(Duration::from_secs(2)); // until the proxy has noticed that the store is unlocked
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", kept.child.id())).unwrap_or_default();
    if let Some(peak) = status.lines().find(|line| line.starts_with("VmHWM")) {
        println!("\nwith a store, at the end: {}", peak.split_whitespace().collect::<Vec<_>>().join(" "));
    }
    drop(kept);
    for end in ["", "-wal", "-shm", ".lock"] {
        let _ = std::fs::remove_file(format!("{}{end}", store.display()));
    }
    println!();
}

fn settle_request() -> String {
    let key = KEYS.fetch_add(1, Ordering::Relaxed);
    format!(
        "POST /pay/1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {key:x}\r\nIdempotency-Key: k{key}\r\n\
         Content-Length: 4\r\n\r\ncash"
    )
}

fn bid_request() -> String {
    settle_request().replace("/pay/", "/bid/")
}

fn get_request() -> String {
    let id = KEYS.fetch_add(1, Ordering::Relaxed);
    format!("GET /read/1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id:x}\r\n\r\n")
}

fn timed_request(client: &mut Client, request: &str) -> (u16, f64) {
    let begun = Instant::now();
    let status = client.request(request).status();
    (status, begun.elapsed().as_secs_f64() * 1e6)
}

/// Sends [`EACH`] settles to each address on a persistent connection, in alternating blocks; returns the durations in µs.
fn in_turns<const N: usize>(to: [SocketAddr; N]) -> [Vec<f64>; N] {
    let mut clients = to.map(Client::connect);
    let mut all = [const { Vec::new() }; N];
    for round in 0..=EACH / BLOCK {
        for turn in 0..N {
            let who = (round + turn) % N;
            for _ in 0..BLOCK {
                let (status, one) = timed_request(&mut clients[who], &settle_request());
                assert_eq!(status, 200);
                if round > 0 {
                    all[who].push(one); // the first round warms up
                }
            }
        }
    }
    all
}

fn settles_a_second(at: SocketAddr, clients: usize) -> f64 {
    let (done, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let span = Duration::from_secs(3);
    std::thread::scope(|scope| {
        for _ in 0..clients {
            scope.spawn(|| {
                let mut client = Client::connect(at);
                while !stop.load(Ordering::Relaxed) {
                    if client.request(&settle_request()).status() == 200 {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        std::thread::sleep(span);
        stop.store(true, Ordering::Relaxed);
    });
    done.load(Ordering::Relaxed) as f64 / span.as_secs_f64()
}

#[derive(Default)]
struct LoadResult {
    reads: Vec<f64>,
    bids: Vec<f64>,
    served: usize,
    refused: usize,
    other: usize,
    slowest: f64,
}

/// Runs an open load: each client has its own schedule, and a late request is timed from when it was due.
fn under_load(at: SocketAddr) -> LoadResult {
    let clients = 30;
    let pause = Duration::from_micros(1_000_000 * clients / RATE);
    let begun = Instant::now() + Duration::from_millis(50);
    let one = |number: u64| {
        let mut client = Client::connect(at);
        let (mut result, mut due) = (LoadResult::default(), begun + pause * number as u32 / clients as u32);
        while due < begun + SPAN {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let new_request = [settle_request, get_request, bid_request][number as usize % 3];
            let settles = number % 3 == 0;
            let (status, _) = timed_request(&mut client, &new_request());
            let late = due.elapsed().as_secs_f64() * 1e6;
            match (settles, status) {
                (false, 200) if number % 3 == 1 => result.reads.push(late),
                (false, 200) => result.bids.push(late),
                (true, 200) => result.served += 1,
                (true, 503) => result.refused += 1,
                _ => result.other += 1,
            }
            if settles {
                result.slowest = result.slowest.max(late);
            }
            due += pause;
        }
        result
    };
    let all = std::thread::scope(|scope| {
        let one = &one;
        let clients: Vec<_> = (0..clients).map(|number| scope.spawn(move || one(number))).collect();
        clients.into_iter().filter_map(|client| client.join().ok()).collect::<Vec<_>>()
    });
    all.into_iter().fold(LoadResult::default(), |mut sum, result| {
        sum.reads.extend(result.reads);
        sum.bids.extend(result.bids);
        sum.served += result.served;
        sum.refused += result.refused;
        sum.other += result.other;
        sum.slowest = sum.slowest.max(result.slowest);
        sum
    })
}
