//! Killed under load and started again, over and over: no key runs twice, and none that was not executed stays taken.
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

/// Where an attempt stood as the program was killed, by the store, the backend and the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Window {
    /// Nothing of its intent is on record.
    NotOnRecord,
    /// Its intent is, and the backend has not seen the whole of it.
    DurableNotSent,
    /// The backend has it whole, and no end is on record.
    SentNotRecorded,
    /// Its end is on record, and the client has no answer.
    RecordedNotAnswered,
}

/// What the backends ran, by key: their own record.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

fn paid(key: &str) -> String {
    request("/pay", 2.0, &format!("Idempotency-Key: {key}\r\n"))
}

fn key_of(message: &Message) -> String {
    message.header("idempotency-key").expect("a key").to_string()
}

/// One request on a connection that may break at any moment.
fn try_one(to: SocketAddr, key: &str) -> Option<u16> {
    let mut tcp = TcpStream::connect(to).ok()?;
    tcp.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    tcp.write_all(paid(key).as_bytes()).ok()?;
    Message::read(&mut BufReader::new(tcp)).map(|answer| answer.status())
}

fn window(store: &Path, key: &str, ran: u32) -> Window {
    let query = Query { key: Some(key.as_bytes().to_vec()), limit: 100, ..Query::default() };
    let rows = SqliteReader::open(store).and_then(|reader| reader.rows(&query)).expect("rows");
    let facts: Vec<Fact> = rows.iter().map(Fact::of).collect();
    let ended = facts.iter().any(|f| matches!(f, Fact::Outcome { .. }));
    let meant = facts.iter().any(|f| matches!(f, Fact::Intent { .. }));
    match (meant, ran > 0, ended) {
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

fn killed_under_load(name: &str, kills: u64) {
    let place =
        TestFolder(std::env::temp_dir().join(format!("shaletide-kills-{}-{name}", std::process::id())));
    let _ = std::fs::remove_dir_all(&place.0);
    std::fs::create_dir(&place.0).unwrap();
    let (store, socket) = (place.0.join("record.db"), place.0.join("control.sock"));
    let backend = BackendServer::start(|n| match n % 8 {
        0 => Reply::Reset, // it ran, and nobody is told
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
    let ran = |key: &str| runs.lock().unwrap().get(key).copied().unwrap_or_default();
    // A backend tells of a request before it answers; whoever counts may be a little behind.
    let has_run = |key: &str| {
        let begun = Instant::now();
        while ran(key) == 0 && begun.elapsed() < WAIT_LIMIT {
            std::thread::sleep(Duration::from_millis(1));
        }
        ran(key) == 1
    };
    let numbers = AtomicU64::new(0);
    let mut windows: BTreeMap<Window, u64> = BTreeMap::new();
    let (mut asked, mut served, mut doubts, mut freed, mut resolved) = (0u64, 0u64, 0u64, 0u64, 0u64);
    let mut left: Vec<String> = Vec::new();
    for round in 0..=kills {
        let mut proxy = program().serve(&file);
        // Whoever has no answer asks again at the one that was started.
        for key in std::mem::take(&mut left) {
            let mut status = try_one(proxy.address, &key).expect("an answer");
            let begun = Instant::now();
            while status == 503 && begun.elapsed() < WAIT_LIMIT {
                std::thread::sleep(Duration::from_millis(5));
                status = try_one(proxy.address, &key).expect("an answer");
            }
            match status {
                200 => freed += 1,
                409 => {
                    doubts += 1;
                    if ran(&key) == 0 {
                        resolve(&place.0, &key, false);
                        resolved += 1;
                        let status = try_one(proxy.address, &key).expect("an answer");
                        assert!(status == 200 || has_run(&key), "{key}: {status}, never ran");
                    }
                }
                // The reset above: it ran now, and nobody was told.
                _ => assert!(has_run(&key), "{key}: {status}"),
            }
        }
        if round == kills {
            break;
        }
        let (stop, to) = (AtomicBool::new(false), proxy.address);
        let pause = Duration::from_micros(2_000 + round * 7_919 % 40_000);
        let found: Vec<(String, Option<u16>)> = std::thread::scope(|scope| {
            let client = || {
                let mut seen = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let key = format!("k{}", numbers.fetch_add(1, Ordering::SeqCst));
                    let status = try_one(to, &key);
                    seen.push((key, status));
                    if status.is_none() {
                        break;
                    }
                }
                seen
            };
            let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
            std::thread::sleep(pause);
            proxy.signal("KILL");
            proxy.child.wait().unwrap();
            stop.store(true, Ordering::SeqCst);
            clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
        });
        std::thread::sleep(Duration::from_millis(5)); // until the box has counted what it has
        for (key, status) in found {
            asked += 1;
            match status {
                Some(200) => served += 1,
                None => {
                    *windows.entry(window(&store, &key, ran(&key))).or_default() += 1;
                    left.push(key);
                }
                Some(503) => left.push(key),
                Some(_) => assert!(has_run(&key), "{key}: only a reset was to fail"),
            }
        }
    }
    let runs = runs.lock().unwrap();
    let most = runs.values().max().copied().unwrap_or_default();
    println!(
        "kills {kills}, asked {asked}, served {served}; without an answer at a kill, by window: {windows:?}; \
         asked again: served at once {freed}, 409 {doubts}, of which resolved as not run {resolved}; \
         keys that ran {}, most runs of a key {most}",
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
    killed_under_load("fifty", 50);
}

#[test]
#[ignore = "a few minutes"]
fn no_key_runs_twice_over_a_thousand_kills() {
    killed_under_load("thousand", 1_000);
}
