//! Killed in each window of a settle, under load: the window is brought about and shown, by what store, backend and client
//! have of it, and what the same key gets at the program that is started again.
//!
//! The long run: `cargo test --locked --release -p shaletide --test crash_windows -- --ignored --nocapture`.

mod harness;

use harness::*;
use shaletide_record::Fact;
use shaletide_store::{Query, SqliteReader, StoreReader};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

/// Where a settle stands when the program is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Window {
    /// It lies at the program's socket.
    BeforeIntent,
    /// Its intent waits for the disk.
    IntentQueued,
    /// Its intent is on record, and no connection to a backend is up.
    DurableNotSent,
    /// A backend has a part of it.
    HalfSent,
    /// A backend has it whole.
    Sent,
    /// Its answer was read, and its outcome is not on record.
    ReadNotRecorded,
    /// Its outcome is on record, and its client has a part of the answer.
    RecordedNotAnswered,
    /// Its client has the answer, and its outcome is on record.
    Answered,
}

use Window::*;

const ALL: [Window; 8] = [
    BeforeIntent,
    IntentQueued,
    DurableNotSent,
    HalfSent,
    Sent,
    ReadNotRecorded,
    RecordedNotAnswered,
    Answered,
];

/// The body of a settle and of an answer that must not fit into what the system holds on the way.
const LARGE: usize = 60_000;

/// A backend that keeps its own record of what it ran, by key, and does what a key's name says of its first request.
struct RecordingBackend {
    address: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Keys as far as the backend has come with them: all of it, or a part.
    seen: mpsc::Receiver<(String, bool)>,
    gate: Arc<Mutex<Arc<Gate>>>,
}

impl RecordingBackend {
    fn start() -> RecordingBackend {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // What a part is read of must lie whole neither here nor on the way.
        socket.set_tcp_mss(536).unwrap();
        socket.set_recv_buffer_size(1_024).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(64).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let (tell, seen) = mpsc::channel();
        let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let gate = Arc::new(Mutex::new(Arc::new(Gate::default())));
        std::thread::spawn({
            let (runs, gate) = (runs.clone(), gate.clone());
            let known = Arc::new(Mutex::new(BTreeSet::new()));
            move || {
                for tcp in listener.incoming().flatten() {
                    let (runs, gate, known, tell) = (runs.clone(), gate.clone(), known.clone(), tell.clone());
                    std::thread::spawn(move || {
                        let mut tcp = BufReader::new(tcp);
                        while one(&mut tcp, &runs, &gate, &known, &tell).is_some() {}
                    });
                }
            }
        });
        RecordingBackend { address, runs, seen, gate }
    }

    fn ran(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or_default()
    }

    /// Until the backend has so much of that key.
    fn has(&self, key: &str, whole: bool) {
        let end = Instant::now() + WAIT_LIMIT;
        while self.seen.recv_timeout(end - Instant::now()).expect("at the box") != (key.to_string(), whole) {}
    }
}

/// One request on a connection of the till's.
fn one(
    tcp: &mut BufReader<TcpStream>, runs: &Mutex<BTreeMap<String, u32>>, gate: &Mutex<Arc<Gate>>,
    known: &Mutex<BTreeSet<String>>, tell: &mpsc::Sender<(String, bool)>,
) -> Option<()> {
    let (mut key, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if tcp.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(": ").unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "idempotency-key" => key = value.to_string(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let first = known.lock().unwrap().insert(key.clone());
    let mode = if first { key.split('-').next().unwrap_or_default() } else { "" };
    if mode == "half" {
        let gate = gate.lock().unwrap().clone();
        tell.send((key.clone(), false)).ok()?;
        gate.wait();
    }
    let mut body = vec![0; length];
    tcp.read_exact(&mut body).ok()?;
    if !key.is_empty() {
        *runs.lock().unwrap().entry(key.clone()).or_default() += 1;
    }
    let opens = matches!(mode, "sent" | "read").then(|| gate.lock().unwrap().clone());
    if !mode.is_empty() && !mode.starts_with('k') {
        tell.send((key.clone(), true)).ok()?;
    }
    if let Some(opens) = opens {
        opens.wait();
    }
    let body = "x".repeat(if mode == "slow" { LARGE } else { 4 });
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    tcp.get_mut().write_all((head + &body).as_bytes()).ok()
}

/// A place where no connection comes up: the queue of its listener is full.
struct StoppedListener(SocketAddr, #[allow(dead_code)] (socket2::Socket, Vec<TcpStream>));

impl StoppedListener {
    fn new() -> StoppedListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let mut held = Vec::new();
        while let Ok(tcp) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            held.push(tcp);
        }
        StoppedListener(address, (socket, held))
    }
}

fn settle(key: &str, path: &str, body: usize) -> String {
    let id = key.replace(|c: char| !c.is_ascii_hexdigit(), "0");
    let body = "x".repeat(body);
    format!(
        "POST {path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 2.5\r\nIdempotency-Key: {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn status_of(tcp: TcpStream) -> Option<u16> {
    tcp.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    Message::read(&mut BufReader::new(tcp)).map(|answer| answer.status())
}

fn try_one(to: SocketAddr, key: &str) -> Option<u16> {
    let mut tcp = TcpStream::connect(to).ok()?;
    tcp.write_all(settle(key, "/pay", 4).as_bytes()).ok()?;
    status_of(tcp)
}

/// Asked until it is no longer told to come again.
fn finally(to: SocketAddr, key: &str) -> u16 {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let status = try_one(to, key).expect("an answer");
        if status != 503 || Instant::now() >= end {
            return status;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// What the store has of a key: asked, intent, outcome.
fn on_record(store: &Path, key: &str) -> (bool, bool, bool) {
    let query = Query { key: Some(key.as_bytes().to_vec()), limit: 100, ..Query::default() };
    let rows = SqliteReader::open(store).and_then(|reader| reader.rows(&query)).expect("rows");
    let facts: Vec<Fact> = rows.iter().map(Fact::of).collect();
    let has = |is: fn(&Fact) -> bool| facts.iter().any(is);
    (
        has(|f| matches!(f, Fact::Asked { .. })),
        has(|f| matches!(f, Fact::Intent { .. })),
        has(|f| matches!(f, Fact::Outcome { .. })),
    )
}

fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !is() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

struct TestSite {
    folder: PathBuf,
    file: String,
    backend: RecordingBackend,
    _stopped_listener: StoppedListener,
}

impl Drop for TestSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl TestSite {
    fn new(name: &str) -> TestSite {
        let folder = std::env::temp_dir().join(format!("shaletide-windows-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir(&folder).unwrap();
        let (backend, deaf) = (RecordingBackend::start(), StoppedListener::new());
        let quoted = |name: &str| format!("{:?}", folder.join(name).display().to_string());
        let file = format!(
            "{CLASSES}[record]\npath = {}\nwait = \"800ms\"\n[control]\nsocket = {}\n{}{}{}{}",
            quoted("record.db"),
            quoted("control.sock"),
            pool("till", &[(backend.address, "a")]),
            pool("deaf", &[(deaf.0, "a")]),
            route("deaf", "path = \"/pay/deaf\"", &["deaf"]),
            route("all", "", &["till"]),
        );
        TestSite { folder, file, backend, _stopped_listener: deaf }
    }

    fn store(&self) -> PathBuf {
        self.folder.join("record.db")
    }

    fn resolve(&self, key: &str, ran: bool) {
        resolve(&self.folder, key, ran);
    }

    /// Brings a settle of that key into the window, kills the program there, and shows that it was there.
    fn kill_in(&self, window: Window, key: &str, proxy: &mut ServingProgram) {
        let store = self.store();
        *self.backend.gate.lock().unwrap() = Arc::new(Gate::default());
        let kill = |proxy: &mut ServingProgram| {
            proxy.signal("KILL");
            proxy.child.wait().unwrap();
        };
        let (path, body) = match window {
            DurableNotSent => ("/pay/deaf", 4),
            HalfSent => ("/pay", LARGE),
            _ => ("/pay", 4),
        };
        let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        if window == RecordedNotAnswered {
            client.set_tcp_mss(536).unwrap();
            client.set_recv_buffer_size(1_024).unwrap();
        }
        client.connect(&proxy.address.into()).unwrap();
        let mut client = TcpStream::from(client);
        if window == BeforeIntent {
            proxy.signal("STOP");
        }
        let lock = (window == IntentQueued).then(|| lock_store(&store));
        client.write_all(settle(key, path, body).as_bytes()).unwrap();
        let mut status = None;
        match window {
            BeforeIntent => {}
            // Its place in the queue cannot be seen from outside: whoever came later has an answer by now.
            IntentQueued => {
                proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
            }
            DurableNotSent => until("the intent", || on_record(&store, key).1),
            HalfSent => self.backend.has(key, false),
            Sent => self.backend.has(key, true),
            ReadNotRecorded => {
                self.backend.has(key, true);
                let lock = lock_store(&store);
                self.backend.gate.lock().unwrap().open();
                status = status_of(client.try_clone().unwrap());
                kill(proxy);
                drop(lock);
            }
            RecordedNotAnswered => until("the outcome", || on_record(&store, key).2),
            Answered => {
                status = status_of(client.try_clone().unwrap());
                until("the outcome", || on_record(&store, key).2);
            }
        }
        if window != ReadNotRecorded {
            kill(proxy);
        }
        drop(lock);
        self.backend.gate.lock().unwrap().open();
        // All that the system still held is delivered by now, or never will be.
        let mut rest = Vec::new();
        client.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let _ = client.read_to_end(&mut rest);
        let (_, intent, outcome) = on_record(&store, key);
        let ran = matches!(window, Sent | ReadNotRecorded | RecordedNotAnswered | Answered);
        let shown = match window {
            BeforeIntent | IntentQueued => !intent && rest.is_empty(),
            DurableNotSent | HalfSent | Sent => intent && !outcome && rest.is_empty(),
            ReadNotRecorded => intent && !outcome && status == Some(200),
            RecordedNotAnswered => outcome && rest.len() < LARGE,
            Answered => outcome && status == Some(200),
        };
        assert!(
            shown,
            "{window:?}: {intent} {outcome} {status:?} {}",
            String::from_utf8_lossy(&rest[..rest.len().min(300)])
        );
        assert_eq!(self.backend.ran(key), u32::from(ran), "{window:?}");
    }

    /// The key again, at the program that was started again; whether an operator was wanted.
    fn again(&self, window: Window, key: &str, to: SocketAddr) -> bool {
        let status = finally(to, key);
        match window {
            // Nothing is on record of it: it is free by itself.
            BeforeIntent | IntentQueued => assert_eq!(status, 200, "{window:?}"),
            DurableNotSent | HalfSent => {
                assert_eq!(status, 409, "{window:?}");
                self.resolve(key, false);
                assert_eq!(finally(to, key), 200, "{window:?}");
            }
            Sent | ReadNotRecorded => {
                assert_eq!(status, 409, "{window:?}");
                self.resolve(key, true);
                assert_eq!(try_one(to, key), Some(409));
            }
            RecordedNotAnswered | Answered => assert_eq!(status, 409, "{window:?}"),
        }
        matches!(window, DurableNotSent | HalfSent | Sent | ReadNotRecorded)
    }
}

fn key(window: Window, number: u64) -> String {
    let mode = match window {
        HalfSent => "half",
        Sent => "sent",
        ReadNotRecorded => "read",
        RecordedNotAnswered => "slow",
        _ => "once",
    };
    format!("{mode}-{number:x}")
}

/// Settles of others while it goes on: (asked, served) by whether a second has passed since the start.
fn load(to: SocketAddr, stop: &AtomicBool, numbers: &AtomicU64) -> [(u64, u64); 2] {
    let (begun, mut count) = (Instant::now(), [(0, 0); 2]);
    while !stop.load(Ordering::SeqCst) {
        let later = begun.elapsed() >= Duration::from_secs(1);
        let status = try_one(to, &format!("k{:x}", numbers.fetch_add(1, Ordering::SeqCst)));
        if status.is_none() {
            break; // it was killed
        }
        let slot = &mut count[usize::from(later)];
        *slot = (slot.0 + 1, slot.1 + u64::from(status == Some(200)));
        std::thread::sleep(Duration::from_millis(2));
    }
    count
}

/// Stops the load as it is dropped, also by a panic: the scope waits for the load's threads before it passes that on.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn killed_in_each_window(name: &str, each: u64, long: u64) {
    let site = TestSite::new(name);
    let numbers = AtomicU64::new(0);
    let (mut hits, mut resolved, mut count) = (BTreeMap::<Window, u64>::new(), 0, [(0, 0); 2]);
    let mut before: Option<(Window, String)> = None;
    for round in 0..each {
        for (at, window) in ALL.into_iter().enumerate() {
            let mut proxy = program().serve(&site.file);
            if let Some((window, key)) = before.take() {
                resolved += u64::from(site.again(window, &key, proxy.address));
            }
            let key = key(window, round * 8 + at as u64);
            let (stop, to) = (AtomicBool::new(false), proxy.address);
            let found: Vec<[(u64, u64); 2]> = std::thread::scope(|scope| {
                let clients: Vec<_> = (0..4).map(|_| scope.spawn(|| load(to, &stop, &numbers))).collect();
                if round < long && at == 0 {
                    std::thread::sleep(Duration::from_millis(2_500));
                }
                let load = StopOnDrop(&stop);
                site.kill_in(window, &key, &mut proxy);
                drop(load);
                clients.into_iter().map(|c| c.join().unwrap()).collect()
            });
            for each in found {
                for (sum, (asked, served)) in count.iter_mut().zip(each) {
                    *sum = (sum.0 + asked, sum.1 + served);
                }
            }
            *hits.entry(window).or_default() += 1;
            before = Some((window, key));
        }
    }
    let most = site.backend.runs.lock().unwrap().values().max().copied();
    println!(
        "hits by window {hits:?}; resolved by an operator {resolved}; others' settles (asked, served) in the first \
         second of a run {:?}, later {:?}; most runs of a key {most:?}",
        count[0], count[1]
    );
    assert_eq!(most, Some(1));
    assert!(ALL.iter().all(|window| hits[window] == each));
    let (asked, served) = count[1];
    assert!(long == 0 || (asked > 0 && served * 100 >= asked * 99), "{served} of {asked} served");
}

#[test]
fn no_key_runs_twice_over_two_kills_in_each_window() {
    killed_in_each_window("twice", 2, 1);
}

#[test]
#[ignore = "some minutes"]
fn no_key_runs_twice_over_75_kills_in_each_window() {
    killed_in_each_window("often", 75, 10);
}
