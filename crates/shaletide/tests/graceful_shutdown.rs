//! Graceful shutdown: every request that the program has accepted gets a complete response, and the program exits before the
//! platform sends SIGKILL.

mod harness;

use harness::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// The time from SIGTERM to the platform's SIGKILL when the longest deadline is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3700);

fn start_proxy(backend: &BackendServer) -> Proxy {
    Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")])
}

fn terminate(proxy: &Proxy) -> Instant {
    let stop = Instant::now();
    proxy.signal("TERM");
    proxy.log.expect(0, "stopping");
    stop
}

fn expect_clean_exit(proxy: &mut Proxy) {
    assert!(proxy.child.wait().unwrap().success());
}

/// Requests whose deadlines lie after the platform's SIGKILL are answered before it.
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
    let mut partial = proxy.client();
    let request = pay_request(8.0);
    partial.send(&request[..request.len() - 1]);
    assert_eq!(proxy.request(READY).status(), 200);
    let stop = terminate(&proxy);
    partial.send(&request[request.len() - 1..]);
    clients.push(partial);
    let mut statuses = Vec::new();
    for client in &mut clients {
        let answer = client.answer().expect("the response that is owed");
        statuses.push(answer.status());
    }
    // A non-idempotent request that may have executed fails; it is not rejected. A safe request is rejected, not failed.
    assert!(matches!(statuses[0], 502 | 504) && matches!(statuses[3], 502 | 504), "{statuses:?}");
    assert_eq!(statuses[1], 503, "{statuses:?}");
    expect_clean_exit(&mut proxy);
    assert!(stop.elapsed() < KILL_DELAY, "{:?}", stop.elapsed());
}

/// Suspends the program `from_ms` milliseconds after SIGTERM, before it gives up its open requests, and resumes it after the
/// time at which it should have exited. Its open requests are answered all the same, and so are those that arrived in the
/// accept queue meanwhile.
fn check_suspension_past_the_stop(from_ms: u64) {
    let silent = BackendServer::start(|_| Reply::Silence);
    let settings = SETTINGS.replace("\"deadline_us\":3000000", "\"deadline_us\":8000000");
    let mut proxy =
        Proxy::start_with_settings(&[endpoint_json("b0", silent.address, "SERVING")], 1024, &settings);
    let send_request = |request: String| {
        let mut client = proxy.client();
        client.send(&request);
        client
    };
    let requests = || [pay_request(8.0), read_request(8.0), vote_request(8.0)];
    let mut clients: Vec<Client> = requests().map(send_request).into();
    (0..3).for_each(|_| drop(silent.next_request()));
    let stop = terminate(&proxy);
    let sleep_until =
        |ms| std::thread::sleep((stop + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    sleep_until(from_ms);
    proxy.signal("STOP");
    if from_ms < 400 {
        clients.extend((0..30).flat_map(|_| requests()).map(send_request)); // connections are still accepted
    }
    sleep_until(3550);
    proxy.signal("CONT");
    let statuses: Vec<Option<u16>> = clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect();
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    expect_clean_exit(&mut proxy);
}

#[test]
fn process_suspended_past_its_stop_time_answers_before_exit() {
    check_suspension_past_the_stop(3200);
}

#[test]
fn process_suspended_after_sigterm_answers_before_exit() {
    check_suspension_past_the_stop(50);
}

/// Idle connections are closed while new ones are still accepted. Connections with a partial request, and those just
/// accepted, stay open.
#[test]
fn shutdown_closes_idle_connections_first_and_partial_requests_last() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let mut proxy = start_proxy(&backend);
    let mut idle: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    let mut partial_head = proxy.client();
    for client in idle.iter_mut().chain([&mut partial_head]) {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    let (read, pay) = (read_request(3.0), pay_request(3.0));
    partial_head.send(&read[..20]);
    let mut partial_body = proxy.client();
    partial_body.send(&pay[..pay.len() - 2]);
    assert_eq!(proxy.request(READY).status(), 200);
    terminate(&proxy);
    let mut new = proxy.client();
    assert!(idle.iter_mut().all(Client::is_closed));
    assert_eq!(new.request(&pay_request(2.0)).status(), 200, "a new connection is served");
    assert_eq!(proxy.request(&pay_request(2.0)).status(), 200, "connections are still accepted");
    partial_head.send(&read[20..]);
    partial_body.send(&pay[pay.len() - 2..]);
    for client in [&mut partial_head, &mut partial_body] {
        let answer = client.answer().expect("the response that is owed");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.is_closed());
    }
    expect_clean_exit(&mut proxy);
}

/// Signals that arrive together, repeatedly or during the shutdown: the program exits once, with all requests answered.
#[test]
fn overlapping_signals_do_not_affect_shutdown() {
    for signals in [["TERM", "TERM"], ["TERM", "HUP"], ["HUP", "TERM"], ["TERM", "INT"], ["INT", "HUP"]] {
        let gate = Arc::new(Gate::default());
        let response_gate = gate.clone();
        let backend = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
        let mut proxy = start_proxy(&backend);
        let mut client = proxy.client();
        client.send(&pay_request(3.0));
        backend.next_request();
        // Both signals are pending before the program handles one.
        proxy.signal("STOP");
        signals.iter().for_each(|name| proxy.signal(name));
        proxy.signal("CONT");
        proxy.log.expect(0, "stopping");
        signals.iter().for_each(|name| proxy.signal(name));
        gate.open();
        assert_eq!(client.answer().expect("the response that is owed").body, b"gated", "{signals:?}");
        expect_clean_exit(&mut proxy);
    }
}

/// The program never received an endpoint list: it exits as usual, and its queued requests are answered.
#[test]
fn process_without_an_endpoint_list_exits() {
    let mut proxy = Proxy::start(&[]);
    let (_, _silent) = proxy.discovery.next_call();
    let mut client = proxy.client();
    client.send(&pay_request(1.0));
    assert_eq!(proxy.request(READY).status(), 200);
    let stop = terminate(&proxy);
    assert!(matches!(client.answer().expect("a response").status(), 502..=504));
    expect_clean_exit(&mut proxy);
    assert!(stop.elapsed() < KILL_DELAY);
}

/// A client that sends only a part of its request, or does not read its response, does not delay the exit.
#[test]
fn stalled_clients_do_not_delay_exit() {
    let backend = BackendServer::start(|_| ok_reply(&"x".repeat(60_000)));
    let mut proxy = start_proxy(&backend);
    let (mut partial, mut unread) = (proxy.client(), proxy.client());
    partial.send(&read_request(3.0)[..30]);
    unread.send(&read_request(3.0));
    backend.next_request();
    let stop = terminate(&proxy);
    expect_clean_exit(&mut proxy);
    assert!(stop.elapsed() < KILL_DELAY, "{:?}", stop.elapsed());
    assert_eq!(unread.answer().expect("the response in the socket buffer").body.len(), 60_000);
}

/// Connections in the accept queue when SIGTERM arrives.
#[test]
fn requests_in_the_accept_queue_are_answered_at_shutdown() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let mut proxy = start_proxy(&backend);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    proxy.signal("STOP");
    proxy.signal("TERM");
    let mut clients: Vec<Client> = (0..50).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&pay_request(2.0)));
    proxy.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.answer().expect("a response").status(), 200);
    }
    expect_clean_exit(&mut proxy);
}

/// Connections that wait in the accept queue because all connection slots are taken, beyond the time at which the program
/// stops accepting new ones: each is accepted when a slot is free, and none is closed with its request unread.
#[test]
fn requests_waiting_for_a_slot_are_answered_at_shutdown() {
    let gate = Arc::new(Gate::default());
    let response_gate = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
    let mut proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        80,
        SETTINGS,
        80,
    );
    let send_request = |_| {
        let mut client = proxy.client();
        client.send(&read_request(3.0));
        client
    };
    let mut clients: Vec<Client> = (0..120).map(send_request).collect();
    backend.next_request();
    let stop = terminate(&proxy);
    std::thread::sleep(Duration::from_millis(700)); // without waiting connections its listener would be closed by now
    gate.open();
    let answers: Vec<Option<u16>> = clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect();
    let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
    assert_eq!(unanswered, 0, "unanswered requests of {}", answers.len());
    expect_clean_exit(&mut proxy);
    assert!(stop.elapsed() < KILL_DELAY, "{:?}", stop.elapsed());
}

/// Clients keep sending on open connections and open new ones for as long as they can; the backend does not respond to a
/// third of the requests. Every accepted request gets a complete response. Only a connection that has had a response may
/// be closed instead.
#[test]
fn clients_that_keep_sending_get_every_response() {
    let backend = BackendServer::start(|n| if n % 3 == 2 { Reply::Silence } else { ok_reply("x") });
    let mut proxy = start_proxy(&backend);
    let (answered, unanswered) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let address = proxy.address;
    let clients: Vec<_> = (0..16)
        .map(|n| {
            let (answered, unanswered) = (answered.clone(), unanswered.clone());
            std::thread::spawn(move || {
                while let Ok(tcp) = TcpStream::connect(address) {
                    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
                    let mut client = Client(BufReader::new(tcp));
                    for answered_before in 0.. {
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
                                unanswered.fetch_add(u32::from(sent && answered_before == 0), SeqCst);
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
    let stop = terminate(&proxy);
    expect_clean_exit(&mut proxy);
    assert!(stop.elapsed() < KILL_DELAY, "{:?}", stop.elapsed());
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert_eq!(unanswered.load(SeqCst), 0, "of {} answered", answered.load(SeqCst));
}

/// Guards against a SIGHUP that ends the program before its configuration has been read: the reload follows once the program
/// serves. The configuration is a named pipe, so that the read blocks until the test writes it.
#[test]
fn sighup_before_the_configuration_is_read_is_handled() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let listener = RefusingPort::new();
    let path = std::env::temp_dir().join(format!("shaletide-stop-{}.toml", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG");
    let mut child = command.stderr(std::process::Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut pipe = std::fs::File::create(&path).unwrap(); // returns once the program has opened the pipe
    let id = child.id().to_string();
    let signal = |name: &str| {
        assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    };
    signal("HUP");
    let file = format!(
        "[[listener]]\naddress = \"{}\"\n{CLASSES}{}",
        listener.address(),
        pool("p", &[(backend.address, "a")])
    );
    pipe.write_all(file.as_bytes()).unwrap();
    drop(pipe);
    assert!(log.any(|line| line.contains("listens on ")), "the program has ended");
    assert!(log.any(|line| line.contains("SIGHUP: "))); // the reload was tried, though a pipe is not read twice
    assert_eq!(Client::connect(listener.address()).request(&request("/read/k", 3.0, "")).status(), 200);
    signal("TERM");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// The reader of the log has gone, so writes fail as on a full disk: log lines are lost, and nothing else fails.
#[test]
fn unwritable_log_does_not_end_the_program() {
    let gate = Arc::new(Gate::default());
    let response_gate = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
    let listener = RefusingPort::new();
    let path = std::env::temp_dir().join(format!("shaletide-log-{}.toml", std::process::id()));
    let pool = pool("p", &[(backend.address, "a")]);
    std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{CLASSES}{pool}", listener.address()))
        .unwrap();
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletide"));
    command.args(["serve", "--config"]).arg(&path).env_remove("NODE_CONFIG");
    let mut child = command.stderr(std::process::Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("listens on ")), "the program has ended");
    drop(log);
    let mut client = Client::connect(listener.address());
    client.send(&request("/pay/k", 3.0, ""));
    backend.next_request();
    for name in ["HUP", "TERM"] {
        let id = child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }
    gate.open();
    assert_eq!(client.answer().expect("the response that is owed").body, b"gated");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// The log is on a full disk, or has reached the limit on file sizes, from its first line on: the program still serves.
#[test]
fn full_log_does_not_end_the_program() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let name = std::env::temp_dir().join(format!("shaletide-full-{}", std::process::id()));
    let (path, full) = (name.with_extension("toml"), name.with_extension("log"));
    std::fs::write(&full, [b'x'; 8192]).unwrap();
    for log in [std::path::Path::new("/dev/full"), &full] {
        let listener = RefusingPort::new();
        let pool = pool("p", &[(backend.address, "a")]);
        std::fs::write(&path, format!("[[listener]]\naddress = \"{}\"\n{CLASSES}{pool}", listener.address()))
            .unwrap();
        let mut command = std::process::Command::new("sh");
        command.args(["-c", "ulimit -f 1; exec \"$0\" serve --config \"$1\""]);
        command.arg(env!("CARGO_BIN_EXE_shaletide")).arg(&path).env_remove("NODE_CONFIG");
        let log_file = std::fs::OpenOptions::new().append(true).open(log).unwrap();
        let mut child = command.stderr(log_file).spawn().unwrap();
        while TcpStream::connect(listener.address()).is_err() {
            assert!(child.try_wait().unwrap().is_none(), "{}: the program has ended", log.display());
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut client = Client::connect(listener.address());
        for name in ["HUP", "TERM"] {
            assert_eq!(client.request(&request("/read/k", 3.0, "")).status(), 200, "{}", log.display());
            client = Client::connect(listener.address());
            let id = child.id().to_string();
            assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
        }
        assert!(child.wait().unwrap().success(), "{}", log.display());
    }
    std::fs::remove_file(&path).unwrap();
    std::fs::remove_file(&full).unwrap();
}
