//! The program as one of 350 proxies for 1,024 backends, with the smallest limits on memory and descriptors under which it is
//! deployed. Idle clients must not use up the descriptors that it needs for backends and discovery.

mod harness;

use harness::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROXIES: usize = 350;
const BACKENDS: usize = 1_024;
const HALF: usize = BACKENDS / 2;
/// The limit on descriptors of the smallest deployment.
const DESCRIPTORS: u32 = 256;
/// The limit on memory of the smallest deployment, in KiB.
const MEMORY_KIB: u64 = 32 << 10;

/// Returns the settings of the last of 350 proxies. They list all proxies as `peers`: the platform does not send this key
/// yet, and a release that does must not break the program.
fn settings(discovery: &str) -> String {
    let peers: Vec<String> =
        (0..PROXIES).map(|n| format!("{{\"name\":\"n{n}\",\"position\":{n}}}")).collect();
    let fleet =
        format!("\"position\":{},\"group_size\":{PROXIES},\"peers\":[{}]", PROXIES - 1, peers.join(","));
    let settings = SETTINGS.replace("\"position\":0,\"group_size\":1", &fleet);
    settings.replace("\"automatic\"", &format!("\"{discovery}\""))
}

/// Returns the pretty-printed entries of the endpoints with these numbers. The first half of all endpoints is at the first
/// address, the second half at the second.
fn entries(addresses: [SocketAddr; 2], numbers: std::ops::Range<usize>, status: &str) -> Vec<String> {
    let entry = |n: usize| {
        let compact = endpoint_json(&format!("backend-{n:04}"), addresses[n / HALF], status);
        let value: serde_json::Value = serde_json::from_str(&compact).unwrap();
        serde_json::to_string_pretty(&value).unwrap()
    };
    numbers.map(entry).collect()
}

/// Answers calls of discovery until a long poll asks for changes after `version`. Returns that call's sender, which keeps
/// the call waiting.
fn publish_list(
    discovery: &DiscoveryServer, version: u64, snapshot: &[String], delta: Option<&[String]>,
) -> impl Sized {
    loop {
        let (target, answer) = discovery.next_call();
        if target.contains(&format!("after={version}&")) && !target.contains("wait_ms=0 ") {
            return answer;
        }
        let body = match delta.filter(|_| target.contains("after=")) {
            Some(delta) => endpoint_list_json(version, false, delta),
            None => endpoint_list_json(version, true, snapshot),
        };
        let _ = answer.send((200, body)); // the call may have been cancelled
    }
}

fn open_descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap().count()
}

fn peak_memory_kib(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM");
    line.trim().trim_end_matches(" kB").trim().parse().unwrap()
}

fn check_limits(proxy: &Proxy) {
    let (descriptors, memory) = (open_descriptors(proxy), peak_memory_kib(proxy));
    println!("{descriptors} descriptors, peak memory {memory} KiB");
    assert!(descriptors < DESCRIPTORS as usize, "{descriptors} descriptors");
    assert!(memory < MEMORY_KIB, "{memory} KiB");
    let shortage = proxy.log.since(0).into_iter().find(|line| line.contains("accept: "));
    assert_eq!(shortage, None, "the proxy ran out of descriptors");
}

/// Sends requests and checks that each is served by one of these backends. A proxy's subset may lie in one half alone.
fn expect_served_by(proxy: &Proxy, backends: &[&str], requests: usize) {
    for n in 0..requests {
        let answer = proxy.request(&if n % 2 == 0 { read_request(3.0) } else { pay_request(3.0) });
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.status() == 200 && backends.contains(&body.as_str()), "{} {body}", answer.status());
    }
}

#[test]
fn one_of_350_proxies_serves_from_1024_backends_by_snapshot_and_delta() {
    for mode in ["automatic", "subscribe"] {
        let (low, high) =
            (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
        let addresses = [low.address, high.address];
        let all = entries(addresses, 0..BACKENDS, "SERVING");
        let program = program().log_level("debug");
        let proxy = program.start_with_limits(&all, DESCRIPTORS, &settings(mode), DESCRIPTORS);
        proxy.log.expect(0, &format!("{BACKENDS} new, {BACKENDS} ready"));
        proxy.log.expect(0, &format!("{BACKENDS} backends known"));
        expect_served_by(&proxy, &["low", "high"], 100);

        let long_poll = publish_list(&proxy.discovery, 7, &all, None);
        expect_served_by(&proxy, &["low", "high"], 100);
        drop(long_poll);

        let draining = entries(addresses, 0..HALF, "DRAINING");
        let half_draining = [draining.clone(), entries(addresses, HALF..BACKENDS, "SERVING")].concat();
        let long_poll = publish_list(&proxy.discovery, 8, &half_draining, Some(&draining));
        expect_served_by(&proxy, &["high"], 100);
        drop(long_poll);

        let other_half =
            [entries(addresses, 0..HALF, "SERVING"), entries(addresses, HALF..BACKENDS, "DRAINING")].concat();
        let _long_poll = publish_list(&proxy.discovery, 9, &other_half, Some(&other_half));
        expect_served_by(&proxy, &["low"], 100);

        let logged = proxy
            .log
            .since(0)
            .iter()
            .filter(|line| line.contains(": backend ") && line.contains(" at 127."))
            .count();
        assert!(logged >= BACKENDS, "{logged} backends have a line in the log");
        check_limits(&proxy);
    }
}

/// Opens a connection every few milliseconds and keeps them all open until dropped. Half of the connections send nothing,
/// half begin a request that they never complete.
struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl IdleClients {
    fn start(to: SocketAddr, initial: usize) -> IdleClients {
        let connect = move |n: usize| {
            let mut tcp = TcpStream::connect(to).unwrap();
            if n % 2 == 0 {
                let _ = tcp.write_all(b"GET /read/k1 HTTP/1.1\r\nHost: s\r\n");
            }
            tcp
        };
        let mut connections: Vec<TcpStream> = (0..initial).map(connect).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                connections.push(connect(connections.len()));
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        IdleClients { stop, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

/// Idle clients take every connection slot and fill the accept queue while discovery closes each call. The proxy can still
/// open a connection for each next call, for another discovery after a reload and, once it has a list, to a backend.
#[test]
fn idle_clients_leave_descriptors_for_discovery_reload_and_backends() {
    for mode in ["automatic", "subscribe"] {
        let (low, high) =
            (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
        let addresses = [low.address, high.address];
        let proxy = Proxy::start_with_descriptor_limit(&[], DESCRIPTORS, &settings(mode), DESCRIPTORS);
        let _idle = IdleClients::start(proxy.address, 400);
        for _ in 0..6 {
            drop(proxy.discovery.next_call()); // closes the connection
        }
        let open = open_descriptors(&proxy);
        let backend_reserve = 96;
        assert!(
            open + backend_reserve <= DESCRIPTORS as usize,
            "{open} descriptors are open, those of clients included"
        );
        assert!(open >= 96, "not all connection slots are taken: {open}");

        let other_discovery = DiscoveryServer::start();
        proxy.move_discovery(other_discovery.address);
        proxy.signal("HUP");
        let _long_poll = publish_list(&other_discovery, 7, &entries(addresses, 0..BACKENDS, "SERVING"), None);
        expect_served_by(&proxy, &["low", "high"], 40);
        check_limits(&proxy);
    }
}

/// The system's limit on descriptors is lower than the configured one: the reserve is taken from the system's limit.
#[test]
fn idle_clients_leave_descriptors_for_backends_under_a_lower_system_limit() {
    let (low, high) = (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
    let addresses = [low.address, high.address];
    let proxy = Proxy::start_with_descriptor_limit(&[], 1_024, &settings("automatic"), DESCRIPTORS);
    let reported =
        proxy.log.since(0).into_iter().any(|line| line.contains("1024 descriptors, the system grants 256"));
    assert!(reported, "the log does not report the lower limit");
    let _idle = IdleClients::start(proxy.address, 400);
    for _ in 0..6 {
        drop(proxy.discovery.next_call());
    }
    let _long_poll = publish_list(&proxy.discovery, 7, &entries(addresses, 0..BACKENDS, "SERVING"), None);
    expect_served_by(&proxy, &["low", "high"], 40);
    check_limits(&proxy);
}

/// The log has a line for each of 1,024 backends, more than a pipe holds, and nothing reads the pipe.
#[test]
fn unread_log_delays_neither_start_nor_requests_nor_shutdown() {
    let (low, high) = (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
    let (discovery, listener) = (DiscoveryServer::start(), RefusingPort::new());
    let known = endpoint_list_json(4, true, &entries([low.address, high.address], 0..BACKENDS, "SERVING"));
    let config = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":1,"limits":{{"sockets":{DESCRIPTORS}}},"known":{known},
        "settings":{}}}"#,
        listener.address(),
        discovery.address,
        settings("automatic")
    );
    let mut child = program_command(Some(&config)).spawn().unwrap();
    let start = std::time::Instant::now();
    while TcpStream::connect(listener.address()).is_err() {
        assert!(start.elapsed() < WAIT_LIMIT, "the program does not listen");
        std::thread::sleep(Duration::from_millis(5));
    }
    for n in 0..20 {
        let answer = Client::connect(listener.address()).request(&read_request(3.0));
        assert_eq!(answer.status(), 200, "request {n}");
    }
    let pid = child.id().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    let status = loop {
        match child.try_wait().unwrap() {
            Some(status) => break status,
            None if start.elapsed() < WAIT_LIMIT => std::thread::sleep(Duration::from_millis(5)),
            None => panic!("the program does not end"),
        }
    };
    assert!(status.success());
}
