//! The program is told to end: what it has taken gets its whole answer, and it has ended before it would be killed.

mod harness;

use harness::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// SIGKILL comes so long after SIGTERM where the longest deadline is 3 s or more.
const KILL: Duration = Duration::from_millis(3700);

fn one(backend: &BackendServer) -> Proxy {
    Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")])
}

fn terminate(proxy: &Proxy) -> Instant {
    let at = Instant::now();
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    at
}

fn ends_well(proxy: &mut Proxy) {
    assert!(proxy.child.wait().unwrap().success());
}

/// Where a class may take longer than the platform waits, its requests are answered before that all the same.
#[test]
fn requests_with_long_deadlines_are_answered_before_sigkill() {
    let silent = BackendServer::start(|_| Reply::Silence);
    let settings = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":8000000");
    let mut proxy =
        Proxy::start_with_settings(&[endpoint_json("b0", silent.address, "SERVING")], 1024, &settings);
    let mut clients: Vec<Client> = [pay_request(8.0), read_request(8.0), vote_request(8.0)]
        .map(|request| {
            let mut client = proxy.client();
            client.send(&request);
            silent.next_request();
            client
        })
        .into();
    let mut half = proxy.client();
    let late = pay_request(8.0);
    half.send(&late[..late.len() - 1]);
    assert_eq!(proxy.request(READY).status(), 200);
    let at = terminate(&proxy);
    half.send(&late[late.len() - 1..]);
    clients.push(half);
    let mut statuses = Vec::new();
    for client in &mut clients {
        let answer = client.answer().expect("the answer that is owed");
        statuses.push(answer.status());
    }
    // What may have run is no refusal, and what may be repeated is no failure.
    assert!(matches!(statuses[0], 502 | 504) && matches!(statuses[3], 502 | 504), "{statuses:?}");
    assert_eq!(statuses[1], 503, "{statuses:?}");
    ends_well(&mut proxy);
    assert!(at.elapsed() < KILL, "{:?}", at.elapsed());
}

/// The program gets no core from that many milliseconds after SIGTERM, before it gives up what is open, until after the
/// moment at which it has to have ended: what it holds is answered all the same, and what came to its queue meanwhile.
fn sleeps_over_its_end(from: u64) {
    let silent = BackendServer::start(|_| Reply::Silence);
    let settings = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":8000000");
    let mut proxy =
        Proxy::start_with_settings(&[endpoint_json("b0", silent.address, "SERVING")], 1024, &settings);
    let asking = |request: String| {
        let mut client = proxy.client();
        client.send(&request);
        client
    };
    let requests = || [pay_request(8.0), read_request(8.0), vote_request(8.0)];
    let mut clients: Vec<Client> = requests().map(asking).into();
    (0..3).for_each(|_| drop(silent.next_request()));
    let at = terminate(&proxy);
    let after =
        |ms| std::thread::sleep((at + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    after(from);
    proxy.signal("STOP");
    if from < 400 {
        clients.extend((0..30).flat_map(|_| requests()).map(asking)); // new connections still come
    }
    after(3550);
    proxy.signal("CONT");
    let statuses: Vec<Option<u16>> = clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect();
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    ends_well(&mut proxy);
}

#[test]
fn process_suspended_past_its_stop_answers_before_exit() {
    sleeps_over_its_end(3200);
}

#[test]
fn process_suspended_from_sigterm_on_answers_before_exit() {
    sleeps_over_its_end(50);
}

/// What is idle is closed while connections are still accepted; what has begun to come, or was just accepted, is not.
#[test]
fn shutdown_closes_idle_connections_first_and_partial_requests_last() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let mut proxy = one(&backend);
    let mut idle: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    let mut half = proxy.client();
    for client in idle.iter_mut().chain([&mut half]) {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    let (request, body) = (read_request(3.0), pay_request(3.0));
    half.send(&request[..20]);
    let mut coming = proxy.client();
    coming.send(&body[..body.len() - 2]);
    assert_eq!(proxy.request(READY).status(), 200);
    terminate(&proxy);
    let mut new = proxy.client();
    assert!(idle.iter_mut().all(Client::is_closed));
    assert_eq!(new.request(&pay_request(2.0)).status(), 200, "a new one is waited for");
    assert_eq!(proxy.request(&pay_request(2.0)).status(), 200, "connections are still accepted");
    half.send(&request[20..]);
    coming.send(&body[body.len() - 2..]);
    for client in [&mut half, &mut coming] {
        let answer = client.answer().expect("the answer that is owed");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.is_closed());
    }
    ends_well(&mut proxy);
}

/// Signals that come together, again, or while the program stops: it ends once, with everything answered.
#[test]
fn overlapping_signals_change_nothing() {
    for signals in [["TERM", "TERM"], ["TERM", "HUP"], ["HUP", "TERM"], ["TERM", "INT"], ["INT", "HUP"]] {
        let gate = Arc::new(Gate::default());
        let wait = gate.clone();
        let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
        let mut proxy = one(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        backend.next_request();
        // Both are there before the program looks.
        proxy.signal("STOP");
        signals.iter().for_each(|name| proxy.signal(name));
        proxy.signal("CONT");
        proxy.log.expect(0, "stopping");
        signals.iter().for_each(|name| proxy.signal(name));
        gate.open();
        assert_eq!(client.answer().expect("the answer that is owed").body, b"gated", "{signals:?}");
        ends_well(&mut proxy);
    }
}

/// Its list was never got: the program ends like any other, and what it holds is answered.
#[test]
fn process_without_a_list_exits() {
    let mut proxy = Proxy::start(&[]);
    let (_, _silent) = proxy.discovery.next_call();
    let mut client = proxy.client();
    client.send(&pay_request(1.0));
    assert_eq!(proxy.request(READY).status(), 200);
    let at = terminate(&proxy);
    assert!(matches!(client.answer().expect("an answer").status(), 502..=504));
    ends_well(&mut proxy);
    assert!(at.elapsed() < KILL);
}

/// Who holds half of a request, or reads nothing, does not keep the program.
#[test]
fn stalled_clients_do_not_delay_exit() {
    let backend = BackendServer::start(|_| ok_reply(&"x".repeat(60_000)));
    let mut proxy = one(&backend);
    let (mut half, mut deaf) = (proxy.client(), proxy.client());
    half.send(&read_request(3.0)[..30]);
    deaf.send(&read_request(3.0));
    backend.next_request();
    let at = terminate(&proxy);
    ends_well(&mut proxy);
    assert!(at.elapsed() < KILL, "{:?}", at.elapsed());
    assert_eq!(deaf.answer().expect("it is in the kernel").body.len(), 60_000);
}

/// Connections that stood in the kernel's queue as it was told to end.
#[test]
fn requests_in_the_accept_queue_are_answered_at_shutdown() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let mut proxy = one(&backend);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    proxy.signal("STOP");
    proxy.signal("TERM");
    let mut clients: Vec<Client> = (0..50).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&pay_request(2.0)));
    proxy.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    ends_well(&mut proxy);
}

/// Connections that stand in the queue because all places are taken, still as no new ones come any more: each is taken
/// in as a place is free, and none is closed with its request unread.
#[test]
fn requests_waiting_for_a_slot_are_answered_at_shutdown() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let mut proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        80,
        SETTINGS,
        80,
    );
    let asking = |_| {
        let mut client = proxy.client();
        client.send(&read_request(3.0));
        client
    };
    let mut clients: Vec<Client> = (0..120).map(asking).collect();
    backend.next_request();
    let at = terminate(&proxy);
    std::thread::sleep(Duration::from_millis(700)); // by now it would have closed its listener
    gate.open();
    let answers: Vec<Option<u16>> = clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect();
    let none = answers.iter().filter(|answer| answer.is_none()).count();
    assert_eq!(none, 0, "no answer to so many of {}", answers.len());
    ends_well(&mut proxy);
    assert!(at.elapsed() < KILL, "{:?}", at.elapsed());
}

/// Clients go on on every connection that stays open, and open new ones while that works; a third of the requests find
/// a backend that hangs. Whatever was taken is answered whole; only a connection that was answered before may end instead.
#[test]
fn clients_that_keep_sending_get_every_response() {
    let backend = BackendServer::start(|n| if n % 3 == 2 { Reply::Silence } else { ok_reply("x") });
    let mut proxy = one(&backend);
    let (answered, lost) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let address = proxy.address;
    let clients: Vec<_> = (0..16)
        .map(|n| {
            let (answered, lost) = (answered.clone(), lost.clone());
            std::thread::spawn(move || {
                while let Ok(tcp) = TcpStream::connect(address) {
                    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
                    let mut client = Client(BufReader::new(tcp));
                    for before in 0.. {
                        let request = if n % 2 == 0 { pay_request(3.0) } else { read_request(1.0) };
                        let sent = client.0.get_mut().write_all(request.as_bytes()).is_ok();
                        match client.answer() {
                            Some(answer) => {
                                answered.fetch_add(1, SeqCst);
                                if answer.header("connection") == Some("close") {
                                    break;
                                }
                            }
                            None => {
                                lost.fetch_add(u32::from(sent && before == 0), SeqCst);
                                break;
                            }
                        }
                    }
                }
            })
        })
        .collect();
    while answered.load(SeqCst) < 200 {
        std::thread::sleep(Duration::from_millis(1));
    }
    let at = terminate(&proxy);
    ends_well(&mut proxy);
    assert!(at.elapsed() < KILL, "{:?}", at.elapsed());
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert_eq!(lost.load(SeqCst), 0, "of {} answered", answered.load(SeqCst));
}

/// A hang-up that comes before the configuration is read ends nothing: it is read again once the program serves. Its
/// configuration comes by a pipe, which holds the reading until the test lets go.
#[test]
fn sighup_before_the_configuration_is_read_is_handled() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let door = RefusingPort::new();
    let path = std::env::temp_dir().join(format!("shaletide-stop-{}.toml", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG");
    let mut child = command.stderr(std::process::Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut pipe = std::fs::File::create(&path).unwrap(); // it has opened it, too
    let id = child.id().to_string();
    let signal = |name: &str| {
        assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    };
    signal("HUP");
    let file = format!(
        "[[listener]]\naddress = \"{}\"\n{CLASSES}{}",
        door.address(),
        pool("p", &[(backend.address, "a")])
    );
    pipe.write_all(file.as_bytes()).unwrap();
    drop(pipe);
    assert!(log.any(|line| line.contains("listens on ")), "it has ended");
    assert!(log.any(|line| line.contains("SIGHUP: "))); // a pipe is not read again, but it was looked at
    assert_eq!(Client::connect(door.address()).request(&request("/read/k", 3.0, "")).status(), 200);
    signal("TERM");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// Whoever reads its log has gone, as on a disk that is full: lines are lost, and nothing else.
#[test]
fn unwritable_log_ends_nothing() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let door = RefusingPort::new();
    let path = std::env::temp_dir().join(format!("shaletide-log-{}.toml", std::process::id()));
    let pool = pool("p", &[(backend.address, "a")]);
    std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{CLASSES}{pool}", door.address()))
        .unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG");
    let mut child = command.stderr(std::process::Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("listens on ")), "it has ended");
    drop(log);
    let mut client = Client::connect(door.address());
    client.send(&request("/pay/k", 3.0, ""));
    backend.next_request();
    for name in ["HUP", "TERM"] {
        let id = child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }
    gate.open();
    assert_eq!(client.answer().expect("the answer that is owed").body, b"gated");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// Its log is on a disk that is full, or has reached the limit on files' sizes, from its first line on: it serves.
#[test]
fn full_log_ends_nothing() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let name = std::env::temp_dir().join(format!("shaletide-full-{}", std::process::id()));
    let (path, full) = (name.with_extension("toml"), name.with_extension("log"));
    std::fs::write(&full, [b'x'; 8192]).unwrap();
    for log in [std::path::Path::new("/dev/full"), &full] {
        let door = RefusingPort::new();
        let pool = pool("p", &[(backend.address, "a")]);
        std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{CLASSES}{pool}", door.address()))
            .unwrap();
        let mut command = std::process::Command::new("sh");
        command.args(["-c", "ulimit -f 1; exec \"$0\" serve --config \"$1\""]);
        command.arg(env!("CARGO_BIN_EXE_shaletide")).arg(&path).env_remove("NODE_CONFIG");
        let log_file = std::fs::OpenOptions::new().append(true).open(log).unwrap();
        let mut child = command.stderr(log_file).spawn().unwrap();
        while TcpStream::connect(door.address()).is_err() {
            assert!(child.try_wait().unwrap().is_none(), "{}: it has ended", log.display());
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut client = Client::connect(door.address());
        for name in ["HUP", "TERM"] {
            assert_eq!(client.request(&request("/read/k", 3.0, "")).status(), 200, "{}", log.display());
            client = Client::connect(door.address());
            let id = child.id().to_string();
            assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
        }
        assert!(child.wait().unwrap().success(), "{}", log.display());
    }
    std::fs::remove_file(&path).unwrap();
    std::fs::remove_file(&full).unwrap();
}
