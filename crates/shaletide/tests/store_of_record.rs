//! The program with a store of record: what a key gets whatever becomes of its attempts, of the store and of the program.

mod harness;

use harness::start::*;
use harness::*;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A folder of its own, gone at the end.
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
    /// A file with a store and a control socket in the folder, and one backend. A permit waits as long as the disk and
    /// the store's thread may take on a busy machine, and no attempt comes too late for its class's aim.
    fn file(&self, backend: &BackendServer) -> String {
        let classes = CLASSES.replace("\"3s\"", "\"15s\"").replace("\"900ms\"", "\"15s\"");
        self.file_with(&classes, "10s", backend)
    }
    /// The same where a permit waits for 200 ms: for what is refused after that. It may be refused before that, too,
    /// where the disk is busy: see [`served`].
    fn file_with_short_wait(&self, backend: &BackendServer) -> String {
        self.file_with(CLASSES, "200ms", backend)
    }
    fn file_with(&self, classes: &str, wait: &str, backend: &BackendServer) -> String {
        let (store, socket) = (self.store(), self.0.join("control.sock"));
        let part = format!(
            "[record]\npath = {:?}\nwait = {wait:?}\n[control]\nsocket = {:?}\n",
            store.display().to_string(),
            socket.display().to_string()
        );
        format!("{classes}{part}{}", pool("p", &[(backend.address, "a")]))
    }
    /// `shaletide record` by way of the control socket.
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
    fn verified(&self) {
        let (status, said) = self.command(&["verify"]);
        assert_eq!(status, Some(0), "{said}");
    }
    fn shown(&self, key: &str) -> String {
        self.command(&["show", "--key", key]).1
    }
    /// What a program says that does not come to serve by that file, and its status.
    fn not_served(&self, file: &str) -> (Option<i32>, String) {
        let (path, door) = (self.0.join("second.toml"), RefusingPort::new());
        std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{file}", door.address())).unwrap();
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

/// A settle whose client waits as long as its class allows.
fn paid(key: &str) -> String {
    request("/pay", 15.0, &format!("Idempotency-Key: {key}\r\n"))
}

/// Asks until the key is served: until then it may only be refused, which promises that a retry is harmless.
fn served(proxy: &ServingProgram, key: &str) {
    let begun = Instant::now();
    loop {
        match proxy.request(&paid(key)).status() {
            200 => return,
            status => assert_eq!(status, 503, "{key}"),
        }
        assert!(begun.elapsed() < WAIT_LIMIT, "{key} is not served");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A tracer that ends with its test: else a test that fails leaves it behind, and waits for ever for its program to
/// end, of which the tracer holds a thread.
struct Tracer(Child);

impl Tracer {
    /// Every sync of that proxy's store takes so long from now on; none where there is no strace. The loop's own thread
    /// is not traced: each of its system calls would stop it.
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

/// The number of a process's thread of that name.
fn thread_named(process: &Child, name: &str) -> String {
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.id())).unwrap();
    let mut paths = threads.map(|thread| thread.unwrap().path());
    let is_it =
        |path: &PathBuf| std::fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim() == name);
    let path = paths.find(is_it).expect("a thread of that name");
    path.file_name().unwrap().to_string_lossy().into_owned()
}

#[test]
fn served_key_is_sent_once() {
    let folder = Folder::new("served");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file(&backend));
    assert_eq!(proxy.request(&paid("k1")).status(), 200);
    let again = proxy.request(&paid("k1"));
    assert_eq!(again.status(), 409);
    assert_eq!(proxy.request(&paid("k2")).status(), 200);
    assert_eq!(proxy.request(&request("/pay", 2.0, "")).status(), 400, "the class wants a key");
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200);
    assert_eq!(backend.request_count(), 3);
    proxy.signal("TERM");
    assert!(proxy.log.wait(0, |l| l.contains("stopping")).is_some());
    drop(proxy);
    folder.verified();
    let shown = folder.shown("k1");
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
    let held = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held.clone()));
    let proxy = program().serve(&folder.file(&backend));
    let mut first = proxy.client();
    first.send(&paid("k"));
    backend.next_request();
    assert_eq!(proxy.request(&paid("k")).status(), 409);
    gate.open();
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(proxy.request(&paid("k")).status(), 409);
    assert_eq!(backend.request_count(), 1);
}

/// The attempt may have run: nobody but a person can say, and the doubt outlives the program.
#[test]
fn key_in_doubt_stays_until_resolved() {
    let folder = Folder::new("doubt");
    let backend = BackendServer::start(|n| if n < 2 { Reply::Reset } else { ok_reply("done") });
    let file = folder.file(&backend);
    let mut proxy = program().serve(&file);
    for key in ["ran", "not"] {
        assert!(![200, 409, 429, 503].contains(&proxy.request(&paid(key)).status()), "no promise is made");
        assert_eq!(proxy.request(&paid(key)).status(), 409);
    }
    assert_eq!(backend.request_count(), 2);
    proxy.signal("KILL");
    proxy.child.wait().unwrap();
    let proxy = program().serve(&file);
    assert_eq!(proxy.request(&paid("ran")).status(), 409);
    assert_eq!(proxy.request(&paid("not")).status(), 409);
    let (status, said) = folder.resolve("ran", "yes");
    assert_eq!(status, Some(0), "{said}");
    assert_eq!(proxy.request(&paid("ran")).status(), 409, "it is served now");
    let (status, said) = folder.resolve("not", "no");
    assert_eq!(status, Some(0), "{said}");
    assert_eq!(proxy.request(&paid("not")).status(), 200);
    let (status, said) = folder.resolve("not", "no");
    assert_eq!(status, Some(1), "{said}");
    assert_eq!(backend.request_count(), 3);
    drop(proxy);
    folder.verified();
}

/// Killed while an attempt is out, again and again: whatever was on the wire is never sent a second time.
#[test]
fn attempts_in_flight_at_a_kill_are_not_sent_again() {
    let folder = Folder::new("killed");
    let backend = BackendServer::start(|_| Reply::Silence);
    let file = folder.file(&backend);
    for round in 0..5 {
        let mut proxy = program().serve(&file);
        for earlier in 0..round {
            for one in 0..4 {
                assert_eq!(proxy.request(&paid(&format!("{earlier}-{one}"))).status(), 409);
            }
        }
        let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
        for (one, client) in clients.iter_mut().enumerate() {
            client.send(&paid(&format!("{round}-{one}")));
        }
        for _ in 0..4 {
            backend.next_request();
        }
        proxy.signal("KILL");
        proxy.child.wait().unwrap();
    }
    assert_eq!(backend.request_count(), 20);
    folder.verified();
}

/// A store that takes nothing costs those that need it a refusal in time, and nobody else anything.
#[test]
fn stuck_store_rejects_at_once_and_delays_no_other_class() {
    let folder = Folder::new("stuck");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    served(&proxy, "before");
    let lock = lock_store(&folder.store());
    let mut waits = proxy.client();
    waits.send(&paid("waits"));
    let mut reader = proxy.client();
    for _ in 0..50 {
        assert_eq!(reader.request(&request("/read", 15.0, "")).status(), 200);
    }
    let refused = waits.answer().expect("an answer");
    assert_eq!(refused.status(), 503);
    let again: u64 = refused.header("retry-after").expect("a time").parse().expect("seconds");
    assert!((1..=5).contains(&again));
    assert_eq!(proxy.request(&paid("more")).status(), 503);
    assert_eq!(proxy.request(&paid("before")).status(), 409, "what is known needs no store");
    drop(lock);
    // A refusal promises that a retry is harmless.
    served(&proxy, "waits");
    assert_eq!(proxy.request(&paid("waits")).status(), 409);
    assert_eq!(backend.request_count(), 52);
    drop(proxy);
    folder.verified();
}

/// What is written to a file that nobody finds again is not on record.
#[test]
fn removed_store_is_noticed_and_reopened_without_restart() {
    let folder = Folder::new("away");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    served(&proxy, "before");
    let places: Vec<(PathBuf, PathBuf)> = ["", "-wal", "-shm"]
        .map(|end| (folder.0.join(format!("record.db{end}")), folder.0.join(format!("away{end}"))))
        .into();
    for (here, away) in &places {
        std::fs::rename(here, away).unwrap();
    }
    let mut asked = 0;
    let refused = |asked: &mut u32| {
        *asked += 1;
        proxy.request(&paid(&format!("gone{asked}"))).status() == 503
    };
    let begun = Instant::now();
    while !refused(&mut asked) {
        assert!(begun.elapsed() < WAIT_LIMIT);
    }
    assert_eq!(asked, 1, "none is sent that is not on record where it will be looked for");
    assert!(proxy.log.wait(0, |line| line.contains("store: gone")).is_some());
    assert!(!folder.store().exists(), "no new one is made");
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200);
    for (here, away) in &places {
        std::fs::rename(away, here).unwrap();
    }
    served(&proxy, "after");
    assert_eq!(proxy.request(&paid("before")).status(), 409);
    assert_eq!(backend.request_count(), 3);
    drop(proxy);
    folder.verified();
}

/// A sync of a slow disk: far above what a busy machine adds to a wait of 0.2 s, or to an answer that needs no disk.
const SYNC: Duration = Duration::from_secs(5);

/// A disk that is slow below the program, by strace where it is and may trace.
#[test]
fn slow_sync_rejects_in_time_and_withdraws_late_intents() {
    let folder = Folder::new("slow");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    served(&proxy, "before");
    let Some(mut tracer) = Tracer::slow_syncs(&proxy, SYNC) else {
        return eprintln!("skipped: no strace here");
    };
    // Refused as long as a sync takes: it is attached.
    let begun = Instant::now();
    let mut refused = Vec::new();
    for n in 0.. {
        let key = format!("late{n}");
        let asked = Instant::now();
        let status = proxy.request(&paid(&key)).status();
        if status == 503 {
            assert!(asked.elapsed() < SYNC / 2, "it waits no longer than it may");
            refused.push(key);
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
        let asked = Instant::now();
        assert_eq!(reader.request(&request("/read", 15.0, "")).status(), 200);
        assert!(asked.elapsed() < SYNC / 2, "nobody else waits for the disk");
    }
    assert!(!tracer.has_ended(), "it traced all the while");
    drop(tracer);
    // The refusal's promise: the intent that came late was withdrawn, and the key is free by itself.
    refused.iter().for_each(|key| served(&proxy, key));
    assert_eq!(backend.request_count(), sent + 51, "the reads, and the settle once");
    drop(proxy);
    folder.verified();
}

/// What a backend may be sent is asked again after the permit: a drain that was told meanwhile holds.
#[test]
fn drain_during_intent_writes_is_respected() {
    let came_about = (0..20).any(|_| drained_while_permits_are_waited_for());
    assert!(came_about, "the store was in trouble each time");
}

/// Whether the permits were waited for all the while. A lock of 250 ms is trouble of the store's, and refused: on a
/// busy machine the drain may come too late for that. Nothing goes to the backend that has gone in either case.
fn drained_while_permits_are_waited_for() -> bool {
    let folder = Folder::new("drain");
    let [goes, stays] = [0; 2].map(|_| BackendServer::start(|_| ok_reply("done")));
    let both = [(goes.address, "a"), (stays.address, "b")];
    let file = folder.file(&stays);
    let alone = pool("p", &both[1..]);
    let proxy = program().serve(&file.replace(&pool("p", &[(stays.address, "a")]), &pool("p", &both)));
    assert_eq!(proxy.request(&paid("before")).status(), 200);
    let before = goes.request_count();
    // Ready beforehand, as the lock may not last.
    proxy.replace_file(0, proxy.file_text(&file.replace(&pool("p", &[(stays.address, "a")]), &alone)));
    let from = proxy.log.len();
    let lock = lock_store(&folder.store());
    // Fewer than the backends hold, so that the read behind them does not wait for room.
    let mut clients: Vec<Client> = (0..6).map(|_| proxy.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&paid(&format!("k{n}")));
    }
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200); // by now they are taken
    let read = goes.request_count();
    proxy.signal("HUP");
    assert!(proxy.log.wait(from, |line| line.contains("SIGHUP: taken")).is_some());
    drop(lock);
    let mut statuses = Vec::new();
    for client in &mut clients {
        statuses.push(client.answer().expect("an answer").status());
    }
    let in_trouble = proxy.log.since(from).iter().any(|line| line.contains("store: busy"));
    assert!(statuses.iter().all(|status| *status == 200 || in_trouble && *status == 503), "{statuses:?}");
    assert!(read <= before + 1);
    assert_eq!(goes.request_count(), read, "nothing new for a box that has gone");
    drop(proxy);
    folder.verified();
    !in_trouble
}

/// Of two requests of one key at the same moment one goes, however their writes fall together.
#[test]
fn one_of_two_concurrent_requests_of_a_key_is_sent() {
    let folder = Folder::new("twice");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file(&backend));
    for round in 0..20 {
        let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
        let one = paid(&format!("k{round}"));
        for (n, client) in clients.iter_mut().enumerate() {
            let id = id_of(&one).to_string();
            client.send(&one.replace(&id, &format!("{id}{n}"))); // each under an id of its own
        }
        let got: Vec<u16> = clients.iter_mut().map(|c| c.answer().expect("an answer").status()).collect();
        let count = |status| got.iter().filter(|s| **s == status).count();
        // Refused as long as the other may still be withdrawn, a conflict once it may not.
        assert_eq!((count(200), count(409) + count(503)), (1, 3), "{got:?}");
        assert_eq!(backend.request_count(), round + 1);
    }
}

/// What ended before the program was told to end is on record when it has ended, though the store was busy.
#[test]
fn last_writes_wait_for_a_busy_store() {
    let folder = Folder::new("last");
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held.clone()));
    let file = folder.file(&backend);
    let mut proxy = program().serve(&file);
    let mut client = proxy.client();
    client.send(&paid("k"));
    backend.next_request();
    let lock = lock_store(&folder.store());
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    proxy.signal("TERM");
    assert!(proxy.log.wait(0, |line| line.contains("store: busy")).is_some());
    drop(lock);
    assert!(proxy.child.wait().unwrap().success());
    assert!(folder.shown("k").contains("answered: served"), "{}", folder.shown("k"));
    drop(proxy);
    let proxy = program().serve(&file);
    assert_eq!(proxy.request(&paid("k")).status(), 409);
    assert_eq!(backend.request_count(), 1);
}

/// A log without its database says that there was one, with keys that nobody knows any more.
#[test]
fn incomplete_store_is_not_created_anew() {
    let folder = Folder::new("part");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let file = folder.file(&backend);
    let mut proxy = program().serve(&file);
    assert_eq!(proxy.request(&paid("k")).status(), 200);
    proxy.signal("KILL");
    proxy.child.wait().unwrap();
    drop(proxy);
    std::fs::remove_file(folder.store()).unwrap();
    let (status, said) = folder.not_served(&file);
    assert_eq!(status, Some(1), "{said}");
    assert!(said.contains("store of record") && said.contains("removed or replaced"), "{said}");
    assert!(!folder.store().exists());
}

/// A client's words on a line that is meant to be pasted into a shell are words.
#[test]
fn client_input_is_quoted_for_shells_and_bounded() {
    let folder = Folder::new("words");
    let backend = BackendServer::start(|_| Reply::Reset);
    let proxy = program().serve(&folder.file(&backend));
    let of = |tenant: &str, key: &str| {
        request("/pay", 15.0, &format!("Idempotency-Key: {key}\r\nX-Account: {tenant}\r\n"))
    };
    assert_eq!(proxy.request(&of("$(touch x); 'b", "k")).status(), 502);
    let (status, said) = folder.command(&["list", "--in-doubt"]);
    assert_eq!(status, Some(0), "{said}");
    assert!(said.contains("--tenant '$(touch x); '\\''b' --class pay"), "{said}");
    assert_eq!(proxy.request(&of(&"t".repeat(257), "k")).status(), 400, "nobody could resolve it");
    assert_eq!(backend.request_count(), 1);
    // One key of two tenants, the first of them on more rows than a page has: whose is meant has to be said.
    let mut client = proxy.client();
    for _ in 0..1_100 {
        assert_eq!(client.request(&of("$(touch x); 'b", "k")).status(), 409);
    }
    assert_eq!(proxy.request(&of("other", "k")).status(), 502);
    let (status, said) = folder.resolve("k", "no");
    assert_eq!(status, Some(2), "{said}");
    assert!(said.contains("several keys match"), "{said}");
}

/// A disk without room, as a limit on the size of files: what needs the store is refused, and is served again once
/// there is room.
#[test]
fn full_disk_rejects_until_there_is_space() {
    let folder = Folder::new("full");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file_with_short_wait(&backend));
    served(&proxy, "before");
    let limit = |bytes: &str| {
        let pid = proxy.child.id().to_string();
        let done =
            Command::new("prlimit").args(["--pid", &pid, &format!("--fsize={bytes}:unlimited")]).status();
        assert!(done.expect("prlimit of util-linux").success());
    };
    limit("4096");
    assert_eq!(proxy.request(&paid("full")).status(), 503);
    assert_eq!(proxy.request(&request("/read", 15.0, "")).status(), 200);
    limit("unlimited");
    served(&proxy, "full");
    assert_eq!(proxy.request(&paid("full")).status(), 409);
    assert_eq!(backend.request_count(), 3);
    drop(proxy);
    folder.verified();
}

#[test]
fn shutdown_is_in_time_while_the_store_is_stuck() {
    let folder = Folder::new("ends");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let mut proxy = program().serve(&folder.file_with_short_wait(&backend));
    served(&proxy, "before");
    let lock = lock_store(&folder.store());
    let mut waits = proxy.client();
    waits.send(&paid("waits"));
    std::thread::sleep(Duration::from_millis(50)); // until it is taken
    proxy.signal("TERM");
    assert_eq!(waits.answer().expect("an answer").status(), 503);
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

/// The store is stuck to the end: the program has ended before it would be killed, and what its record does not know of
/// is in doubt, not free.
#[test]
fn unwritten_facts_at_shutdown_are_logged_and_stay_in_doubt() {
    let folder = Folder::new("left");
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(held.clone()));
    // On a busy machine what goes on record first may take long.
    let file = folder.file_with(CLASSES, "2500ms", &backend);
    let mut proxy = program().serve(&file);
    let mut client = proxy.client();
    client.send(&paid("k"));
    backend.next_request();
    let lock = lock_store(&folder.store());
    gate.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    // Until its last word: how long a busy machine takes to begin the signal's command or to clear a process away is
    // not the program's. 3.6 s by its own clock, and SIGKILL comes after 3.7 s; where nothing bounds it, 5 s at the least.
    let at = Instant::now();
    proxy.log.expect(0, "shaletide: stopped");
    assert!(at.elapsed() < Duration::from_millis(4500), "{:?}", at.elapsed());
    assert!(proxy.child.wait().unwrap().success());
    assert!(at.elapsed() < Duration::from_secs(5), "its process has not ended: {:?}", at.elapsed());
    let left = proxy.log.expect(0, "the store did not take its last writes in time");
    assert!(left.contains("1 keys unsettled"), "{left}");
    drop((lock, proxy));
    let proxy = program().serve(&file);
    assert_eq!(proxy.request(&paid("k")).status(), 409);
    assert_eq!(backend.request_count(), 1);
}

/// A proxy that stops while a key waits for its backend and a store for its lock, and whose classes have other deadlines by the
/// file that it reads again meanwhile: the key is answered, and what its record does not know is in the store's hands.
fn stopping_with_other_deadlines(
    file: &str, other: &str, folder: &Folder, slow: &(Arc<Gate>, BackendServer),
) -> (ServingProgram, rusqlite::Connection, Instant) {
    let (gate, backend) = slow;
    let proxy = program().serve(file);
    let mut client = proxy.client();
    client.send(&paid("k"));
    backend.next_request();
    let lock = lock_store(&folder.store());
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    let stopping = Instant::now();
    proxy.reload_accepted(other);
    gate.open();
    assert_eq!(client.answer().expect("the answer that is owed").status(), 200);
    (proxy, lock, stopping)
}

/// A backend whose answers wait for a gate.
fn gated_backend() -> (Arc<Gate>, BackendServer) {
    let gate = Arc::new(Gate::default());
    let held = gate.clone();
    (gate, BackendServer::start(move |_| Reply::Gate(held.clone())))
}

/// Guards against a SIGHUP during the stop that gives the store more time than the platform gives the program.
#[test]
fn longer_deadlines_read_during_a_stop_do_not_prolong_it() {
    let folder = Folder::new("prolonged");
    let slow = gated_backend();
    let file = |deadline: &str| folder.file_with(&CLASSES.replace("\"3s\"", deadline), "2500ms", &slow.1);
    let (mut proxy, _lock, stopping) =
        stopping_with_other_deadlines(&file("\"3s\""), &file("\"15s\""), &folder, &slow);
    // 3.6 s by its own clock, and SIGKILL comes after 3.7 s; 15.6 s by the new deadline.
    proxy.log.expect(0, "shaletide: stopped");
    assert!(stopping.elapsed() < Duration::from_millis(4500), "{:?}", stopping.elapsed());
    assert!(proxy.child.wait().unwrap().success());
    proxy.log.expect(0, "the store did not take its last writes in time");
}

/// Guards against a SIGHUP during the stop that takes time from the store, whose last writes would be lost.
#[test]
fn shorter_deadlines_read_during_a_stop_leave_the_store_its_time() {
    let folder = Folder::new("shortened");
    let slow = gated_backend();
    let file = |deadline: &str| folder.file_with(&CLASSES.replace("\"3s\"", deadline), "2500ms", &slow.1);
    let (mut proxy, lock, stopping) =
        stopping_with_other_deadlines(&file("\"15s\""), &file("\"3s\""), &folder, &slow);
    // The store has 3.6 s by the new deadline, and 15.6 s by the one in force as the stop began.
    std::thread::sleep(Duration::from_secs(5).saturating_sub(stopping.elapsed()));
    drop(lock);
    assert!(proxy.child.wait().unwrap().success());
    assert!(folder.shown("k").contains("answered: served"), "{}", folder.shown("k"));
}

/// Two proxies on one store would each think that they know all keys.
#[test]
fn store_is_held_by_one_proxy() {
    let folder = Folder::new("one");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let file = folder.file(&backend);
    let proxy = program().serve(&file);
    let (status, said) = folder.not_served(&file);
    assert_ne!(status, Some(0));
    assert!(said.contains("store of record"), "{said}");
    assert_eq!(proxy.request(&paid("k")).status(), 200);
}

#[test]
fn control_socket_carries_commands() {
    let folder = Folder::new("commands");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = program().serve(&folder.file(&backend));
    assert_eq!(proxy.request(&paid("k")).status(), 200);
    let (status, said) = folder.resolve("k", "yes");
    assert_eq!(status, Some(1), "it was served: {said}");
    let (status, said) = folder.command(&["correct", "2", "--by", "jo", "--text", "of another buyer"]);
    assert_eq!(status, Some(0), "{said}");
    let (status, said) = folder.command(&["correct", "999", "--by", "jo", "--text", "x"]);
    assert_eq!(status, Some(1), "{said}");
    drop(proxy);
    folder.verified();
}

/// A signal to stop has ended a start by then, on a loaded machine too.
const STOP_LIMIT: Duration = Duration::from_secs(1);
/// A start goes on without its store after 6 s, and no sooner than this.
const MIN_START_WAIT: Duration = Duration::from_secs(5);

/// A start with a store of record.
struct StoreStart {
    process: KilledOnDrop,
    log: Log,
    listener: RefusingPort,
}

impl StoreStart {
    /// Starts the program by that file, and waits until its store is being opened.
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
            assert!(begun.elapsed() < WAIT_LIMIT, "no store is opened");
            std::thread::sleep(Duration::from_millis(2));
        }
        start
    }

    /// Sends that signal, at which the start has to end at once and in order.
    fn expect_end(mut self, signal: &str) {
        send_signal(&self.process.0, signal);
        let status = ends_within(&mut self.process.0, STOP_LIMIT);
        let status = status.unwrap_or_else(|| panic!("SIG{signal}: it has not ended within {STOP_LIMIT:?}"));
        assert!(status.success(), "SIG{signal}: {status}");
    }
}

/// Makes the opening of a store hang, as on a disk that does not answer: its lock is a pipe that nobody reads.
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

/// Guards against a start that cannot be stopped while it waits for the store's other owner.
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

/// Guards against a start that, while its store hangs, listens too early, drops a SIGHUP, or waits without end.
#[test]
fn start_whose_store_hangs_listens_after_its_wait_and_takes_a_hangup() {
    let folder = Folder::new("hangs");
    let backend = BackendServer::start(|_| ok_reply("done"));
    let lock = hang_opening(&folder);
    let begun = Instant::now();
    let start = StoreStart::opening(&folder, &folder.file(&backend));
    send_signal(&start.process.0, "HUP");
    while begun.elapsed() < MIN_START_WAIT {
        assert!(std::net::TcpStream::connect(start.listener.address()).is_err(), "it listens too early");
        std::thread::sleep(Duration::from_millis(50));
    }
    start.log.expect(0, "store: not open after 6s: requests that need the record are rejected");
    start.log.expect(0, "SIGHUP: taken");
    let mut client = Client::connect(start.listener.address());
    assert_eq!(client.request(&request("/read", 15.0, "")).status(), 200);
    let refused = client.request(&paid("k"));
    assert_eq!((refused.status(), refused.header("retry-after")), (503, Some("1")));
    assert_eq!(backend.request_count(), 1);
    let _reader = std::fs::File::open(&lock).unwrap();
    start.log.expect(0, "store: open, requests that need the record are accepted again");
    assert_eq!(Client::connect(start.listener.address()).request(&paid("k")).status(), 200);
}
