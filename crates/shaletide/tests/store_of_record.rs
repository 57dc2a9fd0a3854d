//! The program with a store of record: the state and the responses of a key after failures of its attempts, of the store and
//! of the program.

mod harness;

use harness::start::*;
use harness::*;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A temporary folder, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("shaletide-recorded-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }
    fn store(&self) -> PathBuf {
        self.0.join("record.db")
    }
    /// Returns a configuration with a store and a control socket in the folder, and one backend. The wait for a permit and the
    /// classes' latency objectives are long enough for the disk and the store's thread on a busy machine.
    fn file(&self, backend: &BackendServer) -> String {
        let classes = CLASSES.replace("\"3s\"", "\"15s\"").replace("\"900ms\"", "\"15s\"");
        self.file_with(&classes, "10s", backend)
    }
    /// Returns the same configuration with a wait of 200 ms for a permit, after which requests are rejected. On a busy disk any
    /// request may be rejected: see [`expect_served`].
    fn file_with_short_wait(&self, backend: &BackendServer) -> String {
        self.file_with(CLASSES, "200ms", backend)
    }
    fn file_with(&self, classes: &str, wait: &str, backend: &BackendServer) -> String {
        let (store, socket) = (self.store(), self.0.join("control.sock"));
        let record_section = format!(
            "[record]\npath = {:?}\nwait = {wait:?}\n[control]\nsocket = {:?}\n",
            store.display().to_string(),
            socket.display().to_string()
        );
        format!("{classes}{record_section}{}", pool("p", &[(backend.address, "a")]))
    }
    /// Runs `shaletide record`, by way of the control socket if the command changes the record. Returns its status and output.
    fn command(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
        command.arg("record").args(arguments).env_remove("NODE_CONFIG");
        command.arg("--store").arg(self.store());
        if ["resolve", "prune", "correct"].contains(&arguments[0]) {
            command.arg("--control").arg(self.0.join("control.sock"));
        }
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text + &String::from_utf8_lossy(&output.stderr))
    }
    fn resolve(&self, key: &str, ran: &str) -> (Option<i32>, String) {
        self.command(&["resolve", key, "--ran", ran, "--by", "jo", "--note", "looked"])
    }
    fn assert_verified(&self) {
        let (status, output_text) = self.command(&["verify"]);
        assert_eq!(status, Some(0), "{output_text}");
    }
    fn show(&self, key: &str) -> String {
        self.command(&["show", "--key", key]).1
    }
    /// Runs a program that cannot serve with this file, and returns its status and its error output.
    fn failed_serve(&self, file: &str) -> (Option<i32>, String) {
        let (path, listen_address) = (self.0.join("second.toml"), RefusingPort::new());
        std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{file}", listen_address.address()))
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
        let output =
            command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG").output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a keyed request with the longest deadline that its class allows.
fn keyed_pay_request(key: &str) -> String {
    request("/pay", 15.0, &format!("Idempotency-Key: {key}\r\n"))
}

/// Sends requests until the key is served. Until then they may only be rejected with 503, after which a retry is harmless.
fn expect_served(proxy: &ServingProgram, key: &str) {
    let begun = Instant::now();
    loop {
        match proxy.request(&keyed_pay_request(key)).status() {
            200 => return,
            status => assert_eq!(status, 503, "{key}"),
        }
        assert!(begun.elapsed() < WAIT_LIMIT, "{key} is not served in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A tracer that is killed when dropped. Otherwise a failing test would leave it behind and wait forever for the program,
/// whose thread the tracer holds.
struct Tracer(Child);

impl Tracer {
    /// Delays each sync of the proxy's store by this time from now on; returns none if there is no strace. The event loop's
    /// thread is not traced, as each of its system calls would stop it.
    fn slow_syncs(proxy: &ServingProgram, delay: Duration) -> Option<Tracer> {
        let mut strace = Command::new("strace");
        strace.args(["-q", "-e", "trace=fsync,fdatasync", "-e"]);
        strace.arg(format!("inject=fsync,fdatasync:delay_enter={}", delay.as_micros()));
        strace.args(["-o", "/dev/null", "-p", &thread_named(&proxy.child, "store")]);
        strace.stderr(Stdio::null()).spawn().ok().map(Tracer)
    }
    fn has_ended(&mut self) -> bool {
        self.0.try_wait().unwrap().is_some()
    }
}

impl Drop for Tracer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the id of the process's thread with this name.
fn thread_named(process: &Child, name: &str) -> String {
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.id())).unwrap();
    let mut paths = threads.map(|thread| thread.unwrap().path());
    let has_name =
        |path: &PathBuf| std::fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim() == name);
    let path = paths.find(has_name).expect("a thread of that name");
    path.file_name().unwrap().to_string_lossy().into_owned()
}

#[test]
fn served_key_is_sent_once() {
    let folder = Folder::new("served");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file(&backend));
    assert_eq!(proxy.request(&keyed_pay_request("k1")).status(), 200);
    let again = proxy.request(&keyed_pay_request("k1"));
    assert_eq!(again.status(), 409);
    assert_eq!(proxy.request(&keyed_pay_request("k2")).status(), 200);
    assert_eq!(proxy.request(&request("/pay", 2.0, "")).status(), 400, "the class requires a key");
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200);
    assert_eq!(backend.request_count(), 3);
    proxy.signal("TERM");
    assert!(proxy.log.wait(0, |l| l.contains("stopping")).is_some());
    drop(proxy);
    folder.assert_verified();
    let shown = folder.show("k1");
    let parts =
        ["asked: pay", "intent durable before the first byte", "outcome of attempt 0", "answered: served"];
    let mut from = 0;
    for part in parts {
        from += shown[from..].find(part).unwrap_or_else(|| panic!("{part} is not in {shown}"));
    }
}

#[test]
fn key_in_flight_is_not_sent_again() {
    let folder = Folder::new("flight");
    let gate = Arc::new(Gate::default());
    let gate_of_backend = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(gate_of_backend.clone()));
    let proxy = program().serve(&folder.file(&backend));
    let mut first = proxy.client();
    first.send(&keyed_pay_request("k"));
    backend.next_request();
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 409);
    gate.open();
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 409);
    assert_eq!(backend.request_count(), 1);
}

/// The attempt may have executed: only an operator can resolve the doubt, and it survives a restart.
#[test]
fn key_in_doubt_stays_until_resolved() {
    let folder = Folder::new("doubt");
    let backend = BackendServer::start(|n| if n < 2 { Reply::Reset } else { ok_reply("done") });
    let file = folder.file(&backend);
    let mut proxy = program().serve(&file);
    for key in ["ran", "not"] {
        assert!(
            ![200, 409, 429, 503].contains(&proxy.request(&keyed_pay_request(key)).status()),
            "the status does not say that a retry is harmless"
        );
        assert_eq!(proxy.request(&keyed_pay_request(key)).status(), 409);
    }
    assert_eq!(backend.request_count(), 2);
    proxy.signal("KILL");
    proxy.child.wait().unwrap();
    let proxy = program().serve(&file);
    assert_eq!(proxy.request(&keyed_pay_request("ran")).status(), 409);
    assert_eq!(proxy.request(&keyed_pay_request("not")).status(), 409);
    let (status, output_text) = folder.resolve("ran", "yes");
    assert_eq!(status, Some(0), "{output_text}");
    assert_eq!(proxy.request(&keyed_pay_request("ran")).status(), 409, "the key counts as served");
    let (status, output_text) = folder.resolve("not", "no");
    assert_eq!(status, Some(0), "{output_text}");
    assert_eq!(proxy.request(&keyed_pay_request("not")).status(), 200);
    let (status, output_text) = folder.resolve("not", "no");
    assert_eq!(status, Some(1), "{output_text}");
    assert_eq!(backend.request_count(), 3);
    drop(proxy);
    folder.assert_verified();
}

/// The program is killed repeatedly while attempts are in flight: none of these keys is sent a second time.
#[test]
fn attempts_in_flight_at_a_kill_are_not_sent_again() {
    let folder = Folder::new("killed");
    let backend = BackendServer::start(|_| Reply::Silence);
    let file = folder.file(&backend);
    for round in 0..5 {
        let mut proxy = program().serve(&file);
        for earlier in 0..round {
            for index in 0..4 {
                assert_eq!(proxy.request(&keyed_pay_request(&format!("{earlier}-{index}"))).status(), 409);
            }
        }
        let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&keyed_pay_request(&format!("{round}-{index}")));
        }
        for _ in 0..4 {
            backend.next_request();
        }
        proxy.signal("KILL");
        proxy.child.wait().unwrap();
    }
    assert_eq!(backend.request_count(), 20);
    folder.assert_verified();
}

/// If the store accepts no writes, requests that need it are rejected in time and others are not delayed.
#[test]
fn stuck_store_rejects_at_once_and_delays_no_other_class() {
    let folder = Folder::new("stuck");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    expect_served(&proxy, "before");
    let lock = lock_store(&folder.store());
    let mut waiting_client = proxy.client();
    waiting_client.send(&keyed_pay_request("waits"));
    let mut reader = proxy.client();
    for _ in 0..50 {
        assert_eq!(reader.request(&request("/read", 15.0, "")).status(), 200);
    }
    let rejected = waiting_client.answer().expect("an answer");
    assert_eq!(rejected.status(), 503);
    let again: u64 = rejected.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((1..=5).contains(&again));
    assert_eq!(proxy.request(&keyed_pay_request("more")).status(), 503);
    assert_eq!(
        proxy.request(&keyed_pay_request("before")).status(),
        409,
        "a served key is known without the store"
    );
    drop(lock);
    // A rejection with 503 promises that a retry is harmless.
    expect_served(&proxy, "waits");
    assert_eq!(proxy.request(&keyed_pay_request("waits")).status(), 409);
    assert_eq!(backend.request_count(), 52);
    drop(proxy);
    folder.assert_verified();
}

/// Guards against writes to a store file that has been renamed: its facts would not be found again.
#[test]
fn removed_store_is_noticed_and_reopened_without_restart() {
    let folder = Folder::new("away");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    expect_served(&proxy, "before");
    let file_pairs: Vec<(PathBuf, PathBuf)> = ["", "-wal", "-shm"]
        .map(|end| (folder.0.join(format!("record.db{end}")), folder.0.join(format!("away{end}"))))
        .into();
    for (original, moved) in &file_pairs {
        std::fs::rename(original, moved).unwrap();
    }
    let mut sent_keys = 0;
    let rejected = |sent_keys: &mut u32| {
        *sent_keys += 1;
        proxy.request(&keyed_pay_request(&format!("gone{sent_keys}"))).status() == 503
    };
    let begun = Instant::now();
    while !rejected(&mut sent_keys) {
        assert!(begun.elapsed() < WAIT_LIMIT);
    }
    assert_eq!(sent_keys, 1, "a request was sent whose intent is not in the store at the configured path");
    assert!(proxy.log.wait(0, |line| line.contains("store: gone")).is_some());
    assert!(!folder.store().exists(), "a new store was created");
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200);
    for (original, moved) in &file_pairs {
        std::fs::rename(moved, original).unwrap();
    }
    expect_served(&proxy, "after");
    assert_eq!(proxy.request(&keyed_pay_request("before")).status(), 409);
    assert_eq!(backend.request_count(), 3);
    drop(proxy);
    folder.assert_verified();
}

/// The duration of a sync of a slow disk: much longer than the time that a busy machine adds to a wait of 0.2 s or to a
/// response that needs no disk.
const SYNC_DELAY: Duration = Duration::from_secs(5);

/// The disk is slow; strace simulates it, so the test is skipped if strace is missing or may not trace.
#[test]
fn slow_sync_rejects_in_time_and_withdraws_late_intents() {
    let folder = Folder::new("slow");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    expect_served(&proxy, "before");
    let Some(mut tracer) = Tracer::slow_syncs(&proxy, SYNC_DELAY) else {
        return eprintln!("skipped: no strace here");
    };
    // The first rejection shows that strace is attached.
    let begun = Instant::now();
    let mut rejected = Vec::new();
    for n in 0.. {
        let key = format!("late{n}");
        let requested_at = Instant::now();
        let status = proxy.request(&keyed_pay_request(&key)).status();
        if status == 503 {
            assert!(requested_at.elapsed() < SYNC_DELAY / 2, "the request waited longer than the limit");
            rejected.push(key);
            break;
        }
        assert_eq!(status, 200);
        if tracer.has_ended() || begun.elapsed() > WAIT_LIMIT {
            return eprintln!("skipped: strace may not trace here");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let sent = backend.request_count();
    let mut reader = proxy.client();
    for _ in 0..50 {
        let requested_at = Instant::now();
        assert_eq!(reader.request(&request("/read", 15.0, "")).status(), 200);
        assert!(requested_at.elapsed() < SYNC_DELAY / 2, "a request that needs no store waited for the disk");
    }
    assert!(!tracer.has_ended(), "strace ended during the test");
    drop(tracer);
    // The late intent was withdrawn, so the key is free without an operator, as the rejection promises.
    rejected.iter().for_each(|key| expect_served(&proxy, key));
    assert_eq!(backend.request_count(), sent + 51, "each read once and the rejected key once");
    drop(proxy);
    folder.assert_verified();
}

/// A drain that is reported while a request waits for its permit applies to that request.
#[test]
fn drain_during_intent_writes_is_respected() {
    let completed = (0..20).any(|_| drain_while_permits_are_pending());
    assert!(completed, "the store was reported busy each time");
}

/// Returns whether the requests waited for their permits until after the drain. If the lock lasts 250 ms, the store counts as
/// busy and the requests are rejected, which happens on a busy machine when the drain is late. In neither case does the
/// removed backend get new requests.
fn drain_while_permits_are_pending() -> bool {
    let folder = Folder::new("drain");
    let [removed, remaining] = [0; 2].map(|_| BackendServer::start(|_| ok_reply("done")));
    let both_endpoints = [(removed.address, "a"), (remaining.address, "b")];
    let file = folder.file(&remaining);
    let remaining_pool = pool("p", &both_endpoints[1..]);
    let proxy =
        program().serve(&file.replace(&pool("p", &[(remaining.address, "a")]), &pool("p", &both_endpoints)));
    assert_eq!(proxy.request(&keyed_pay_request("before")).status(), 200);
    let before = removed.request_count();
    // The file is written before the lock is taken, so that the lock is short.
    proxy.replace_file(
        0,
        proxy.file_text(&file.replace(&pool("p", &[(remaining.address, "a")]), &remaining_pool)),
    );
    let from = proxy.log.len();
    let lock = lock_store(&folder.store());
    // Fewer requests than the backends' concurrency limits allow, so that the read after them is not queued.
    let mut clients: Vec<Client> = (0..6).map(|_| proxy.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&keyed_pay_request(&format!("k{n}")));
    }
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200); // the requests above have been accepted by then
    let read = removed.request_count();
    proxy.signal("HUP");
    assert!(proxy.log.wait(from, |line| line.contains("SIGHUP: taken")).is_some());
    drop(lock);
    let mut statuses = Vec::new();
    for client in &mut clients {
        statuses.push(client.answer().expect("an answer").status());
    }
    let store_busy = proxy.log.since(from).iter().any(|line| line.contains("store: busy"));
    assert!(statuses.iter().all(|status| *status == 200 || store_busy && *status == 503), "{statuses:?}");
    assert!(read <= before + 1);
    assert_eq!(removed.request_count(), read, "a removed backend gets no new requests");
    drop(proxy);
    folder.assert_verified();
    !store_busy
}

/// Of concurrent requests with one key only one is sent, whatever the order of their writes.
#[test]
fn one_of_two_concurrent_requests_of_a_key_is_sent() {
    let folder = Folder::new("twice");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file(&backend));
    for round in 0..20 {
        let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
        let request_text = keyed_pay_request(&format!("k{round}"));
        for (n, client) in clients.iter_mut().enumerate() {
            let id = id_of(&request_text).to_string();
            client.send(&request_text.replace(&id, &format!("{id}{n}"))); // each with an id of its own
        }
        let received: Vec<u16> =
            clients.iter_mut().map(|c| c.answer().expect("an answer").status()).collect();
        let count = |status| received.iter().filter(|s| **s == status).count();
        // The others are rejected while the intent of the first may still be withdrawn, and conflict afterwards.
        assert_eq!((count(200), count(409) + count(503)), (1, 3), "{received:?}");
        assert_eq!(backend.request_count(), round + 1);
    }
}

/// A request that was answered before the stop signal is on record after the stop, although the store was busy.
#[test]
fn last_writes_wait_for_a_busy_store() {
    let folder = Folder::new("last");
    let gate = Arc::new(Gate::default());
    let gate_of_backend = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(gate_of_backend.clone()));
    let file = folder.file(&backend);
    let mut proxy = program().serve(&file);
    let mut client = proxy.client();
    client.send(&keyed_pay_request("k"));
    backend.next_request();
    let lock = lock_store(&folder.store());
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    proxy.signal("TERM");
    assert!(proxy.log.wait(0, |line| line.contains("store: busy")).is_some());
    drop(lock);
    assert!(proxy.child.wait().unwrap().success());
    assert!(folder.show("k").contains("answered: served"), "{}", folder.show("k"));
    drop(proxy);
    let proxy = program().serve(&file);
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 409);
    assert_eq!(backend.request_count(), 1);
}

/// A write-ahead log without its database shows that a store was lost, and with it the state of its keys.
#[test]
fn incomplete_store_is_not_created_anew() {
    let folder = Folder::new("part");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let file = folder.file(&backend);
    let mut proxy = program().serve(&file);
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 200);
    proxy.signal("KILL");
    proxy.child.wait().unwrap();
    drop(proxy);
    std::fs::remove_file(folder.store()).unwrap();
    let (status, output_text) = folder.failed_serve(&file);
    assert_eq!(status, Some(1), "{output_text}");
    assert!(
        output_text.contains("store of record") && output_text.contains("removed or replaced"),
        "{output_text}"
    );
    assert!(!folder.store().exists());
}

/// Client input in a printed command is quoted, so that an operator can paste the command into a shell.
#[test]
fn client_input_is_quoted_for_shells_and_bounded() {
    let folder = Folder::new("words");
    let backend = BackendServer::start(|_| Reply::Reset);
    let proxy = program().serve(&folder.file(&backend));
    let request_of_tenant = |tenant: &str, key: &str| {
        request("/pay", 15.0, &format!("Idempotency-Key: {key}\r\nX-Account: {tenant}\r\n"))
    };
    assert_eq!(proxy.request(&request_of_tenant("$(touch x); 'b", "k")).status(), 502);
    let (status, output_text) = folder.command(&["list", "--in-doubt"]);
    assert_eq!(status, Some(0), "{output_text}");
    assert!(output_text.contains("--tenant '$(touch x); '\\''b' --class pay"), "{output_text}");
    assert_eq!(
        proxy.request(&request_of_tenant(&"t".repeat(257), "k")).status(),
        400,
        "an operator could not resolve the key"
    );
    assert_eq!(backend.request_count(), 1);
    // One key of two tenants, where the first tenant has more rows than a page: the command must name the tenant.
    let mut client = proxy.client();
    for _ in 0..1_100 {
        assert_eq!(client.request(&request_of_tenant("$(touch x); 'b", "k")).status(), 409);
    }
    assert_eq!(proxy.request(&request_of_tenant("other", "k")).status(), 502);
    let (status, output_text) = folder.resolve("k", "no");
    assert_eq!(status, Some(2), "{output_text}");
    assert!(output_text.contains("several keys match"), "{output_text}");
}

/// A full disk, simulated by a limit on the size of files: requests that need the store are rejected, and served again once
/// there is space.
#[test]
fn full_disk_rejects_until_there_is_space() {
    let folder = Folder::new("full");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    expect_served(&proxy, "before");
    let limit_file_size = |bytes: &str| {
        let pid = proxy.child.id().to_string();
        let done =
            Command::new("prlimit").args(["--pid", &pid, &format!("--fsize={bytes}:unlimited")]).status();
        assert!(done.expect("prlimit of util-linux").success());
    };
    limit_file_size("4096");
    assert_eq!(proxy.request(&keyed_pay_request("full")).status(), 503);
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200);
    limit_file_size("unlimited");
    expect_served(&proxy, "full");
    assert_eq!(proxy.request(&keyed_pay_request("full")).status(), 409);
    assert_eq!(backend.request_count(), 3);
    drop(proxy);
    folder.assert_verified();
}

#[test]
fn shutdown_is_in_time_while_the_store_is_stuck() {
    let folder = Folder::new("ends");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let mut proxy = program().serve(&folder.file_with_short_wait(&backend));
    expect_served(&proxy, "before");
    let lock = lock_store(&folder.store());
    let mut waiting_client = proxy.client();
    waiting_client.send(&keyed_pay_request("waits"));
    std::thread::sleep(Duration::from_millis(50)); // until the request is accepted
    proxy.signal("TERM");
    assert_eq!(waiting_client.answer().expect("an answer").status(), 503);
    let begun = Instant::now();
    let status = loop {
        if let Some(status) = proxy.child.try_wait().unwrap() {
            break status;
        }
        assert!(begun.elapsed() < WAIT_LIMIT);
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success(), "{status}");
    assert_eq!(backend.request_count(), 1);
    drop(lock);
}

/// The store accepts no writes until the end: the program ends before the platform would kill it, and a key whose outcome was
/// not written is in doubt, not free.
#[test]
fn unwritten_facts_at_shutdown_are_logged_and_stay_in_doubt() {
    let folder = Folder::new("left");
    let gate = Arc::new(Gate::default());
    let gate_of_backend = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(gate_of_backend.clone()));
    // On a busy machine the write of the intent may take long.
    let file = folder.file_with(CLASSES, "2500ms", &backend);
    let mut proxy = program().serve(&file);
    let mut client = proxy.client();
    client.send(&keyed_pay_request("k"));
    backend.next_request();
    let lock = lock_store(&folder.store());
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    // Measured from the first to the last log line of the stop, as the time in which a busy machine runs the signal's command
    // or removes the process is not the program's. The stop takes 3.6 s by the program's clock, and SIGKILL comes after 3.7 s;
    // without a bound it would take at least 5 s.
    let at = Instant::now();
    proxy.log.expect(0, "shaletide: stopped");
    assert!(at.elapsed() < Duration::from_millis(4500), "{:?}", at.elapsed());
    assert!(proxy.child.wait().unwrap().success());
    assert!(at.elapsed() < Duration::from_secs(5), "the process ended after {:?}", at.elapsed());
    let unsettled_line = proxy.log.expect(0, "the store did not take its last writes in time");
    assert!(unsettled_line.contains("1 keys unsettled"), "{unsettled_line}");
    drop((lock, proxy));
    let proxy = program().serve(&file);
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 409);
    assert_eq!(backend.request_count(), 1);
}

/// Starts a proxy and stops it while a keyed request is in flight and the store is locked. During the stop it reads a file
/// with other deadlines; then the request is answered, while its outcome still has to be written.
fn stopping_with_other_deadlines(
    file: &str, other: &str, folder: &Folder, gated: &(Arc<Gate>, BackendServer),
) -> (ServingProgram, rusqlite::Connection, Instant) {
    let (gate, backend) = gated;
    let proxy = program().serve(file);
    let mut client = proxy.client();
    client.send(&keyed_pay_request("k"));
    backend.next_request();
    let lock = lock_store(&folder.store());
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    let stopping = Instant::now();
    proxy.reload_accepted(other);
    gate.open();
    assert_eq!(client.answer().expect("the response to the request in flight").status(), 200);
    (proxy, lock, stopping)
}

/// Starts a backend that responds once the returned gate is open.
fn gated_backend() -> (Arc<Gate>, BackendServer) {
    let gate = Arc::new(Gate::default());
    let gate_of_backend = gate.clone();
    (gate, BackendServer::start(move |_| Reply::Gate(gate_of_backend.clone())))
}

/// Guards against a SIGHUP during the stop that extends the store's time beyond the platform's limit for the program.
#[test]
fn longer_deadlines_read_during_a_stop_do_not_prolong_it() {
    let folder = Folder::new("prolonged");
    let gated = gated_backend();
    let file = |deadline: &str| folder.file_with(&CLASSES.replace("\"3s\"", deadline), "2500ms", &gated.1);
    let (mut proxy, _lock, stopping) =
        stopping_with_other_deadlines(&file("\"3s\""), &file("\"15s\""), &folder, &gated);
    // The stop takes 3.6 s by the program's clock, and SIGKILL comes after 3.7 s; by the new deadline it would take 15.6 s.
    proxy.log.expect(0, "shaletide: stopped");
    assert!(stopping.elapsed() < Duration::from_millis(4500), "{:?}", stopping.elapsed());
    assert!(proxy.child.wait().unwrap().success());
    proxy.log.expect(0, "the store did not take its last writes in time");
}

/// Guards against a SIGHUP during the stop that shortens the store's time, so that its last writes would be lost.
#[test]
fn shorter_deadlines_read_during_a_stop_leave_the_store_its_time() {
    let folder = Folder::new("shortened");
    let gated = gated_backend();
    let file = |deadline: &str| folder.file_with(&CLASSES.replace("\"3s\"", deadline), "2500ms", &gated.1);
    let (mut proxy, lock, stopping) =
        stopping_with_other_deadlines(&file("\"15s\""), &file("\"3s\""), &folder, &gated);
    // The store has 3.6 s by the new deadline, and 15.6 s by the one that was in force when the stop began.
    std::thread::sleep(Duration::from_secs(5).saturating_sub(stopping.elapsed()));
    drop(lock);
    assert!(proxy.child.wait().unwrap().success());
    assert!(folder.show("k").contains("answered: served"), "{}", folder.show("k"));
}

/// Guards against two proxies with one store: neither would know all keys.
#[test]
fn store_is_held_by_one_proxy() {
    let folder = Folder::new("one");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let file = folder.file(&backend);
    let proxy = program().serve(&file);
    let (status, output_text) = folder.failed_serve(&file);
    assert_ne!(status, Some(0));
    assert!(output_text.contains("store of record"), "{output_text}");
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 200);
}

#[test]
fn control_socket_carries_commands() {
    let folder = Folder::new("commands");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file(&backend));
    assert_eq!(proxy.request(&keyed_pay_request("k")).status(), 200);
    let (status, output_text) = folder.resolve("k", "yes");
    assert_eq!(status, Some(1), "it was served: {output_text}");
    let (status, output_text) = folder.command(&["correct", "2", "--by", "jo", "--text", "of another buyer"]);
    assert_eq!(status, Some(0), "{output_text}");
    let (status, output_text) = folder.command(&["correct", "999", "--by", "jo", "--text", "x"]);
    assert_eq!(status, Some(1), "{output_text}");
    drop(proxy);
    folder.assert_verified();
}

/// The time within which a stop signal ends a start, even on a loaded machine.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// The shortest time after which a start may continue without its store; it does so after 6 s.
const MIN_START_WAIT: Duration = Duration::from_secs(5);

/// A start with a store of record.
struct StoreStart {
    process: KilledOnDrop,
    log: Log,
    listener: RefusingPort,
}

impl StoreStart {
    /// Starts the program with this file, and waits until it opens its store.
    fn opening(folder: &Folder, file: &str) -> StoreStart {
        let (path, listener) = (folder.0.join("start.toml"), RefusingPort::new());
        std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{file}", listener.address())).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
        command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG");
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let log = Log::follow(child.stderr.take().unwrap());
        let start = StoreStart { process: KilledOnDrop(child), log, listener };
        start.log.expect(0, "start: configuration complete");
        let begun = Instant::now();
        while !thread_names(&start.process.0).contains(&"store-open".to_string()) {
            assert!(begun.elapsed() < WAIT_LIMIT, "the program does not open its store");
            std::thread::sleep(Duration::from_millis(2));
        }
        start
    }

    /// Sends the signal and expects the start to end at once with success.
    fn expect_end(mut self, signal: &str) {
        send_signal(&self.process.0, signal);
        let status = ends_within(&mut self.process.0, STOP_LIMIT);
        let status =
            status.unwrap_or_else(|| panic!("SIG{signal}: the start has not ended within {STOP_LIMIT:?}"));
        assert!(status.success(), "SIG{signal}: {status}");
    }
}

/// Makes the opening of the store hang, as on a disk that does not respond: its lock file is a pipe that nobody reads.
fn hang_opening(folder: &Folder) -> PathBuf {
    let lock = folder.0.join("record.db.lock");
    make_fifo(&lock);
    lock
}

/// Guards against a start that cannot be stopped while the disk of its store hangs.
#[test]
fn stop_signal_ends_a_start_whose_store_hangs() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for signal in ["TERM", "INT"] {
        let folder = Folder::new(&format!("hangs-{signal}"));
        hang_opening(&folder);
        StoreStart::opening(&folder, &folder.file(&backend)).expect_end(signal);
    }
}

/// Guards against a start that cannot be stopped while another process owns its store.
#[test]
fn stop_signal_ends_a_start_whose_store_has_another_owner() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for signal in ["TERM", "INT"] {
        let folder = Folder::new(&format!("owned-{signal}"));
        let lock = std::fs::File::create(folder.0.join("record.db.lock")).unwrap();
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive).unwrap();
        StoreStart::opening(&folder, &folder.file(&backend)).expect_end(signal);
    }
}

/// Guards against a start that, while its store hangs, listens too early, drops a SIGHUP, or waits forever.
#[test]
fn start_whose_store_hangs_listens_after_its_wait_and_handles_sighup() {
    let folder = Folder::new("hangs");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let lock = hang_opening(&folder);
    let begun = Instant::now();
    let start = StoreStart::opening(&folder, &folder.file(&backend));
    send_signal(&start.process.0, "HUP");
    while begun.elapsed() < MIN_START_WAIT {
        assert!(
            std::net::TcpStream::connect(start.listener.address()).is_err(),
            "the program listens too early"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    start.log.expect(0, "store: not open after 6s: requests that need the record are rejected");
    start.log.expect(0, "SIGHUP: taken");
    let mut client = Client::connect(start.listener.address());
    assert_eq!(client.request(&request("/read", 15.0, "")).status(), 200);
    let rejected = client.request(&keyed_pay_request("k"));
    assert_eq!((rejected.status(), rejected.header("retry-after")), (503, Some("1")));
    assert_eq!(backend.request_count(), 1);
    let _reader = std::fs::File::open(&lock).unwrap();
    start.log.expect(0, "store: open, requests that need the record are accepted again");
    assert_eq!(Client::connect(start.listener.address()).request(&keyed_pay_request("k")).status(), 200);
}
