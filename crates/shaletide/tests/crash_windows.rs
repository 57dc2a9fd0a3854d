//! Kills the program under load in each window of a `settle` request. Each test brings the request into the window, shows
//! that it was there by the records of store, backend and client, and checks the response to the same key after the
//! restart.
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

/// How far a `settle` request has come when the program is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Window {
    /// The request is in the program's socket buffer.
    BeforeIntent,
    /// The intent waits for the disk.
    IntentQueued,
    /// The intent is durable; no connection to a backend is established.
    DurableNotSent,
    /// A backend has received a part of the request.
    HalfSent,
    /// A backend has received the whole request.
    Sent,
    /// The response has been read from the backend; the outcome is not on record.
    ReadNotRecorded,
    /// The outcome is on record; the client has received a part of the response.
    RecordedNotAnswered,
    /// The outcome is on record; the client has received the response.
    Answered,
}

use Window::*;

const WINDOWS: [Window; 8] = [
    BeforeIntent,
    IntentQueued,
    DurableNotSent,
    HalfSent,
    Sent,
    ReadNotRecorded,
    RecordedNotAnswered,
    Answered,
];

/// The length of a request or response body that does not fit into the socket buffers on its way.
const LARGE_BODY: usize = 60_000;

/// A backend that counts the executions of each key. The part of a key before `-` selects how its first request is handled.
struct RecordingBackend {
    address: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    /// The keys of received requests, and whether the whole request has been received or only its head.
    received: mpsc::Receiver<(String, bool)>,
    gate: Arc<Mutex<Arc<Gate>>>,
}

impl RecordingBackend {
    fn start() -> RecordingBackend {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // Small segments and a small receive buffer, so that the system does not hold the whole of a request of which the
        // backend reads only a part.
        socket.set_tcp_mss(536).unwrap();
        socket.set_recv_buffer_size(1_024).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(64).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let (sender, received) = mpsc::channel();
        let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let gate = Arc::new(Mutex::new(Arc::new(Gate::default())));
        std::thread::spawn({
            let (runs, gate) = (runs.clone(), gate.clone());
            let known_keys = Arc::new(Mutex::new(BTreeSet::new()));
            move || {
                for tcp in listener.incoming().flatten() {
                    let (runs, gate, known_keys, sender) =
                        (runs.clone(), gate.clone(), known_keys.clone(), sender.clone());
                    std::thread::spawn(move || {
                        let mut tcp = BufReader::new(tcp);
                        while serve_request(&mut tcp, &runs, &gate, &known_keys, &sender).is_some() {}
                    });
                }
            }
        });
        RecordingBackend { address, runs, received, gate }
    }

    fn executions(&self, key: &str) -> u32 {
        self.runs.lock().unwrap().get(key).copied().unwrap_or_default()
    }

    /// Waits until the backend has received the head of the request with this key, or all of it if `whole`.
    fn wait_received(&self, key: &str, whole: bool) {
        let end = Instant::now() + WAIT_LIMIT;
        while self.received.recv_timeout(end - Instant::now()).expect("at the box")
            != (key.to_string(), whole)
        {}
    }
}

/// Serves one request on a connection to the backend; returns `None` when the connection has ended.
fn serve_request(
    tcp: &mut BufReader<TcpStream>, runs: &Mutex<BTreeMap<String, u32>>, gate: &Mutex<Arc<Gate>>,
    known_keys: &Mutex<BTreeSet<String>>, sender: &mpsc::Sender<(String, bool)>,
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
    let first = known_keys.lock().unwrap().insert(key.clone());
    let mode = if first { key.split('-').next().unwrap_or_default() } else { "" };
    if mode == "half" {
        let gate = gate.lock().unwrap().clone();
        sender.send((key.clone(), false)).ok()?;
        gate.wait();
    }
    let mut body = vec![0; length];
    tcp.read_exact(&mut body).ok()?;
    if !key.is_empty() {
        *runs.lock().unwrap().entry(key.clone()).or_default() += 1;
    }
    let response_gate = matches!(mode, "sent" | "read").then(|| gate.lock().unwrap().clone());
    if !mode.is_empty() && !mode.starts_with('k') {
        sender.send((key.clone(), true)).ok()?;
    }
    if let Some(response_gate) = response_gate {
        response_gate.wait();
    }
    let body = "x".repeat(if mode == "slow" { LARGE_BODY } else { 4 });
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    tcp.get_mut().write_all((head + &body).as_bytes()).ok()
}

/// A listener whose accept queue is full, so that no further connection is established.
struct StoppedListener(SocketAddr, #[allow(dead_code)] (socket2::Socket, Vec<TcpStream>));

impl StoppedListener {
    fn new() -> StoppedListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let mut queued = Vec::new();
        while let Ok(tcp) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(tcp);
        }
        StoppedListener(address, (socket, queued))
    }
}

fn settle_request(key: &str, path: &str, body_length: usize) -> String {
    let id = key.replace(|c: char| !c.is_ascii_hexdigit(), "0");
    let body = "x".repeat(body_length);
    format!(
        "POST {path} HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 2.5\r\nIdempotency-Key: {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn read_status(tcp: TcpStream) -> Option<u16> {
    tcp.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    Message::read(&mut BufReader::new(tcp)).map(|answer| answer.status())
}

fn try_request(to: SocketAddr, key: &str) -> Option<u16> {
    let mut tcp = TcpStream::connect(to).ok()?;
    tcp.write_all(settle_request(key, "/pay", 4).as_bytes()).ok()?;
    read_status(tcp)
}

/// Repeats a request until the status is no longer 503, and returns the status.
fn final_status(to: SocketAddr, key: &str) -> u16 {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let status = try_request(to, key).expect("a response");
        if status != 503 || Instant::now() >= end {
            return status;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns whether the store has the facts `Asked`, `Intent` and `Outcome` of a key.
fn on_record(store: &Path, key: &str) -> (bool, bool, bool) {
    let query = Query { key: Some(key.as_bytes().to_vec()), limit: 100, ..Query::default() };
    let rows = SqliteReader::open(store).and_then(|reader| reader.rows(&query)).expect("rows");
    let facts: Vec<Fact> = rows.iter().map(Fact::of).collect();
    let has = |predicate: fn(&Fact) -> bool| facts.iter().any(predicate);
    (
        has(|f| matches!(f, Fact::Asked { .. })),
        has(|f| matches!(f, Fact::Intent { .. })),
        has(|f| matches!(f, Fact::Outcome { .. })),
    )
}

fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "{description}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

struct TestSite {
    folder: PathBuf,
    configuration: String,
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
        let (backend, stopped_listener) = (RecordingBackend::start(), StoppedListener::new());
        let quoted = |name: &str| format!("{:?}", folder.join(name).display().to_string());
        let configuration = format!(
            "{CLASSES}[record]\npath = {}\nwait = \"800ms\"\n[control]\nsocket = {}\n{}{}{}{}",
            quoted("record.db"),
            quoted("control.sock"),
            pool("till", &[(backend.address, "a")]),
            pool("deaf", &[(stopped_listener.0, "a")]),
            route("deaf", "path = \"/pay/deaf\"", &["deaf"]),
            route("all", "", &["till"]),
        );
        TestSite { folder, configuration, backend, _stopped_listener: stopped_listener }
    }

    fn store(&self) -> PathBuf {
        self.folder.join("record.db")
    }

    fn resolve(&self, key: &str, ran: bool) {
        resolve(&self.folder, key, ran);
    }

    /// Brings a `settle` request with this key into the window, kills the program, and checks that the request was there.
    fn kill_in(&self, window: Window, key: &str, proxy: &mut ServingProgram) {
        let store = self.store();
        *self.backend.gate.lock().unwrap() = Arc::new(Gate::default());
        let kill = |proxy: &mut ServingProgram| {
            proxy.signal("KILL");
            proxy.child.wait().unwrap();
        };
        let (path, body_length) = match window {
            DurableNotSent => ("/pay/deaf", 4),
            HalfSent => ("/pay", LARGE_BODY),
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
        client.write_all(settle_request(key, path, body_length).as_bytes()).unwrap();
        let mut status = None;
        match window {
            BeforeIntent => {}
            // The queue cannot be observed from outside. A request that came later has its response by now.
            IntentQueued => {
                proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
            }
            DurableNotSent => wait_until("the intent", || on_record(&store, key).1),
            HalfSent => self.backend.wait_received(key, false),
            Sent => self.backend.wait_received(key, true),
            ReadNotRecorded => {
                self.backend.wait_received(key, true);
                let lock = lock_store(&store);
                self.backend.gate.lock().unwrap().open();
                status = read_status(client.try_clone().unwrap());
                kill(proxy);
                drop(lock);
            }
            RecordedNotAnswered => wait_until("the outcome", || on_record(&store, key).2),
            Answered => {
                status = read_status(client.try_clone().unwrap());
                wait_until("the outcome", || on_record(&store, key).2);
            }
        }
        if window != ReadNotRecorded {
            kill(proxy);
        }
        drop(lock);
        self.backend.gate.lock().unwrap().open();
        // Reads what was still in the socket buffers.
        let mut rest = Vec::new();
        client.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let _ = client.read_to_end(&mut rest);
        let (_, intent, outcome) = on_record(&store, key);
        let executed = matches!(window, Sent | ReadNotRecorded | RecordedNotAnswered | Answered);
        let in_window = match window {
            BeforeIntent | IntentQueued => !intent && rest.is_empty(),
            DurableNotSent | HalfSent | Sent => intent && !outcome && rest.is_empty(),
            ReadNotRecorded => intent && !outcome && status == Some(200),
            RecordedNotAnswered => outcome && rest.len() < LARGE_BODY,
            Answered => outcome && status == Some(200),
        };
        assert!(
            in_window,
            "{window:?}: {intent} {outcome} {status:?} {}",
            String::from_utf8_lossy(&rest[..rest.len().min(300)])
        );
        assert_eq!(self.backend.executions(key), u32::from(executed), "{window:?}");
    }

    /// Repeats the request at the restarted program. Returns whether an operator had to resolve it.
    fn repeat(&self, window: Window, key: &str, to: SocketAddr) -> bool {
        let status = final_status(to, key);
        match window {
            // No intent is on record, so the key is free without an operator.
            BeforeIntent | IntentQueued => assert_eq!(status, 200, "{window:?}"),
            DurableNotSent | HalfSent => {
                assert_eq!(status, 409, "{window:?}");
                self.resolve(key, false);
                assert_eq!(final_status(to, key), 200, "{window:?}");
            }
            Sent | ReadNotRecorded => {
                assert_eq!(status, 409, "{window:?}");
                self.resolve(key, true);
                assert_eq!(try_request(to, key), Some(409));
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

/// Sends requests with other keys until stopped. Returns the counts (sent, served) of the first second and of the time
/// after it.
fn generate_load(to: SocketAddr, stop: &AtomicBool, next_number: &AtomicU64) -> [(u64, u64); 2] {
    let (start, mut counts) = (Instant::now(), [(0, 0); 2]);
    while !stop.load(Ordering::SeqCst) {
        let later = start.elapsed() >= Duration::from_secs(1);
        let status = try_request(to, &format!("k{:x}", next_number.fetch_add(1, Ordering::SeqCst)));
        if status.is_none() {
            break; // the program was killed
        }
        let slot = &mut counts[usize::from(later)];
        *slot = (slot.0 + 1, slot.1 + u64::from(status == Some(200)));
        std::thread::sleep(Duration::from_millis(2));
    }
    counts
}

/// Stops the load when dropped, also on a panic: the scope joins the threads of the load before it propagates the panic.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

fn check_kills_in_each_window(name: &str, kills_per_window: u64, long_rounds: u64) {
    let site = TestSite::new(name);
    let next_number = AtomicU64::new(0);
    let (mut hits, mut resolved, mut counts) = (BTreeMap::<Window, u64>::new(), 0, [(0, 0); 2]);
    let mut previous: Option<(Window, String)> = None;
    for round in 0..kills_per_window {
        for (index, window) in WINDOWS.into_iter().enumerate() {
            let mut proxy = program().serve(&site.configuration);
            if let Some((window, key)) = previous.take() {
                resolved += u64::from(site.repeat(window, &key, proxy.address));
            }
            let key = key(window, round * 8 + index as u64);
            let (stop, to) = (AtomicBool::new(false), proxy.address);
            let loads: Vec<[(u64, u64); 2]> = std::thread::scope(|scope| {
                let clients: Vec<_> =
                    (0..4).map(|_| scope.spawn(|| generate_load(to, &stop, &next_number))).collect();
                if round < long_rounds && index == 0 {
                    std::thread::sleep(Duration::from_millis(2_500));
                }
                let stop_load = StopOnDrop(&stop);
                site.kill_in(window, &key, &mut proxy);
                drop(stop_load);
                clients.into_iter().map(|c| c.join().unwrap()).collect()
            });
            for load in loads {
                for (sum, (sent, served)) in counts.iter_mut().zip(load) {
                    *sum = (sum.0 + sent, sum.1 + served);
                }
            }
            *hits.entry(window).or_default() += 1;
            previous = Some((window, key));
        }
    }
    let most = site.backend.runs.lock().unwrap().values().max().copied();
    println!(
        "kills by window {hits:?}; resolved by an operator {resolved}; load (sent, served) in the first second of a \
         run {:?}, later {:?}; most executions of a key {most:?}",
        counts[0], counts[1]
    );
    assert_eq!(most, Some(1));
    assert!(WINDOWS.iter().all(|window| hits[window] == kills_per_window));
    let (sent, served) = counts[1];
    assert!(long_rounds == 0 || (sent > 0 && served * 100 >= sent * 99), "{served} of {sent} served");
}

#[test]
fn no_key_runs_twice_over_two_kills_in_each_window() {
    check_kills_in_each_window("twice", 2, 1);
}

#[test]
#[ignore = "some minutes"]
fn no_key_runs_twice_over_75_kills_in_each_window() {
    check_kills_in_each_window("often", 75, 10);
}
