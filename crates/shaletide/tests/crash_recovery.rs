//! Kills the program under load and restarts it, many times: no keyed request is executed twice, and no key of a request
//! that was not executed stays blocked.
//!
//! The long run: `cargo test --locked --release -p shaletide --test crash_recovery -- --ignored --nocapture`.

mod harness;

use harness::*;
use shaletide_record::Fact;
use shaletide_store::{Query, SqliteReader, StoreReader};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;

/// How far an attempt had come when the program was killed, by the records of the store, the backend and the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Window {
    /// The store has no intent.
    NotOnRecord,
    /// The store has the intent; the backend has not received the whole request.
    DurableNotSent,
    /// The backend has received the whole request; the store has no outcome.
    SentNotRecorded,
    /// The store has the outcome; the client has no response.
    RecordedNotAnswered,
}

/// The number of executions by key, as counted by the backend.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

fn pay_request_with_key(key: &str) -> String {
    request("/pay", 2.0, &format!("Idempotency-Key: {key}\r\n"))
}

fn key_of(message: &Message) -> String {
    message.header("idempotency-key").expect("an idempotency key").to_string()
}

/// Sends a request on a new connection, which may break at any moment. Returns the status, or `None` without a response.
fn try_request(to: SocketAddr, key: &str) -> Option<u16> {
    let mut tcp = TcpStream::connect(to).ok()?;
    tcp.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    tcp.write_all(pay_request_with_key(key).as_bytes()).ok()?;
    Message::read(&mut BufReader::new(tcp)).map(|answer| answer.status())
}

fn window(store: &Path, key: &str, executions: u32) -> Window {
    let query = Query { key: Some(key.as_bytes().to_vec()), limit: 100, ..Query::default() };
    let rows = SqliteReader::open(store).and_then(|reader| reader.rows(&query)).expect("rows");
    let facts: Vec<Fact> = rows.iter().map(Fact::of).collect();
    let ended = facts.iter().any(|f| matches!(f, Fact::Outcome { .. }));
    let intended = facts.iter().any(|f| matches!(f, Fact::Intent { .. }));
    match (intended, executions > 0, ended) {
        (_, _, true) => Window::RecordedNotAnswered,
        (_, true, false) => Window::SentNotRecorded,
        (true, false, false) => Window::DurableNotSent,
        (false, false, false) => Window::NotOnRecord,
    }
}

struct TestFolder(PathBuf);

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn check_kills_under_load(name: &str, kills: u64) {
    let folder =
        TestFolder(std::env::temp_dir().join(format!("shaletide-kills-{}-{name}", std::process::id())));
    let _ = std::fs::remove_dir_all(&folder.0);
    std::fs::create_dir(&folder.0).unwrap();
    let (store, socket) = (folder.0.join("record.db"), folder.0.join("control.sock"));
    let backend = BackendServer::start(|n| match n % 8 {
        0 => Reply::Reset, // executed, but without a response
        _ => ok_reply("done"),
    });
    let runs = Runs::default();
    let address = backend.address;
    std::thread::spawn({
        let runs = runs.clone();
        move || loop {
            let key = match backend.events.recv() {
                Ok(BackendEvent::Request(message)) => key_of(&message),
                Ok(_) => continue,
                Err(_) => return,
            };
            *runs.lock().unwrap().entry(key).or_default() += 1;
        }
    });
    let quoted = |path: &Path| format!("{:?}", path.display().to_string());
    let file = format!(
        "{CLASSES}[record]\npath = {}\nwait = \"500ms\"\n[control]\nsocket = {}\n{}",
        quoted(&store),
        quoted(&socket),
        pool("p", &[(address, "a")])
    );
    let executions = |key: &str| runs.lock().unwrap().get(key).copied().unwrap_or_default();
    // The backend reports a request before it responds; the thread that counts may lag a little behind.
    let has_run_once = |key: &str| {
        let start = Instant::now();
        while executions(key) == 0 && start.elapsed() < WAIT_LIMIT {
            std::thread::sleep(Duration::from_millis(1));
        }
        executions(key) == 1
    };
    let next_number = AtomicU64::new(0);
    let mut windows: BTreeMap<Window, u64> = BTreeMap::new();
    let (mut requests, mut served, mut in_doubt, mut retried, mut resolved) = (0u64, 0u64, 0u64, 0u64, 0u64);
    let mut unanswered: Vec<String> = Vec::new();
    for round in 0..=kills {
        let mut proxy = program().serve(&file);
        // Clients without a response repeat their requests at the restarted program.
        for key in std::mem::take(&mut unanswered) {
            let mut status = try_request(proxy.address, &key).expect("a response");
            let start = Instant::now();
            while status == 503 && start.elapsed() < WAIT_LIMIT {
                std::thread::sleep(Duration::from_millis(5));
                status = try_request(proxy.address, &key).expect("a response");
            }
            match status {
                200 => retried += 1,
                409 => {
                    in_doubt += 1;
                    if executions(&key) == 0 {
                        resolve(&folder.0, &key, false);
                        resolved += 1;
                        let status = try_request(proxy.address, &key).expect("a response");
                        assert!(status == 200 || has_run_once(&key), "{key}: {status}, not executed");
                    }
                }
                // The backend's reset: the request was executed now, without a response.
                _ => assert!(has_run_once(&key), "{key}: {status}"),
            }
        }
        if round == kills {
            break;
        }
        let (stop, to) = (AtomicBool::new(false), proxy.address);
        let pause = Duration::from_micros(2_000 + round * 7_919 % 40_000);
        let results: Vec<(String, Option<u16>)> = std::thread::scope(|scope| {
            let client = || {
                let mut results = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let key = format!("k{}", next_number.fetch_add(1, Ordering::SeqCst));
                    let status = try_request(to, &key);
                    results.push((key, status));
                    if status.is_none() {
                        break;
                    }
                }
                results
            };
            let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
            std::thread::sleep(pause);
            proxy.signal("KILL");
            proxy.child.wait().unwrap();
            stop.store(true, Ordering::SeqCst);
            clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
        });
        std::thread::sleep(Duration::from_millis(5)); // the backend has counted all requests that it received by now
        for (key, status) in results {
            requests += 1;
            match status {
                Some(200) => served += 1,
                None => {
                    *windows.entry(window(&store, &key, executions(&key))).or_default() += 1;
                    unanswered.push(key);
                }
                Some(503) => unanswered.push(key),
                Some(_) => assert!(has_run_once(&key), "{key}: only a reset may fail"),
            }
        }
    }
    let runs = runs.lock().unwrap();
    let most = runs.values().max().copied().unwrap_or_default();
    println!(
        "kills {kills}, requests {requests}, served {served}; unanswered at a kill, by window: {windows:?}; \
         repeated: served at once {retried}, 409 {in_doubt}, of which resolved as not executed {resolved}; \
         keys executed {}, most executions of a key {most}",
        runs.len()
    );
    assert_eq!(most, 1, "{:?}", runs.iter().filter(|(_, n)| **n > 1).collect::<Vec<_>>());
    let output = Command::new(env!("CARGO_BIN_EXE_shaletide"))
        .args(["record", "verify", "--store"])
        .arg(&store)
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn no_key_runs_twice_over_fifty_kills() {
    check_kills_under_load("fifty", 50);
}

#[test]
#[ignore = "a few minutes"]
fn no_key_runs_twice_over_a_thousand_kills() {
    check_kills_under_load("thousand", 1_000);
}
