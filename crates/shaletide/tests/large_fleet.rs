//! The program as one of 350 proxies before 1,024 backends, with the least memory and the fewest descriptors that it is
//! ever given; and what idle clients cannot take from it.

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
/// Descriptors of the smallest process, and its memory in KiB.
const DESCRIPTORS: u32 = 256;
const MEMORY_KIB: u64 = 32 << 10;

/// The settings of the last of 350 proxies. The platform does not name the others; a release that does harms nobody.
fn settings(discovery: &str) -> String {
    let peers: Vec<String> =
        (0..PROXIES).map(|n| format!("{{\"name\":\"n{n}\",\"position\":{n}}}")).collect();
    let fleet =
        format!("\"position\":{},\"group_size\":{PROXIES},\"peers\":[{}]", PROXIES - 1, peers.join(","));
    let settings = SETTINGS.replace("\"position\":0,\"group_size\":1", &fleet);
    settings.replace("\"automatic\"", &format!("\"{discovery}\""))
}

/// Entries of these numbers, indented: those of the first half are at the first address, the others at the second.
fn entries(at: [SocketAddr; 2], numbers: std::ops::Range<usize>, status: &str) -> Vec<String> {
    let one = |n: usize| {
        let compact = endpoint_json(&format!("backend-{n:04}"), at[n / HALF], status);
        let value: serde_json::Value = serde_json::from_str(&compact).unwrap();
        serde_json::to_string_pretty(&value).unwrap()
    };
    numbers.map(one).collect()
}

/// Answers calls to discovery until one asks for what follows that version. Returns what keeps that call waiting.
fn tell(
    discovery: &DiscoveryServer, version: u64, whole: &[String], changes: Option<&[String]>,
) -> impl Sized {
    loop {
        let (target, answer) = discovery.next_call();
        if target.contains(&format!("after={version}&")) && !target.contains("wait_ms=0 ") {
            return answer;
        }
        let body = match changes.filter(|_| target.contains("after=")) {
            Some(changes) => endpoint_list_json(version, false, changes),
            None => endpoint_list_json(version, true, whole),
        };
        let _ = answer.send((200, body)); // the call may have been given up
    }
}

fn open_descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap().count()
}

fn peak_memory_kib(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").trim().parse().unwrap()
}

fn holds_its_limits(proxy: &Proxy) {
    let (descriptors, memory) = (open_descriptors(proxy), peak_memory_kib(proxy));
    println!("{descriptors} descriptors, {memory} KiB at the most");
    assert!(descriptors < DESCRIPTORS as usize, "{descriptors} descriptors");
    assert!(memory < MEMORY_KIB, "{memory} KiB");
    let short = proxy.log.since(0).into_iter().find(|line| line.contains("accept: "));
    assert_eq!(short, None, "it ran out of descriptors");
}

/// So many requests, all of which are served, by no backends but these. A proxy's slice may be of one half only.
fn served_by(proxy: &Proxy, backends: &[&str], requests: usize) {
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
        let at = [low.address, high.address];
        let all = entries(at, 0..BACKENDS, "SERVING");
        let program = program().log_level("debug");
        let proxy = program.start_with_limits(&all, DESCRIPTORS, &settings(mode), DESCRIPTORS);
        proxy.log.expect(0, &format!("{BACKENDS} new, {BACKENDS} ready"));
        proxy.log.expect(0, &format!("{BACKENDS} backends known"));
        served_by(&proxy, &["low", "high"], 100);

        let waits = tell(&proxy.discovery, 7, &all, None);
        served_by(&proxy, &["low", "high"], 100);
        drop(waits);

        let drains = entries(at, 0..HALF, "DRAINING");
        let half_drains = [drains.clone(), entries(at, HALF..BACKENDS, "SERVING")].concat();
        let waits = tell(&proxy.discovery, 8, &half_drains, Some(&drains));
        served_by(&proxy, &["high"], 100);
        drop(waits);

        let other_half = [entries(at, 0..HALF, "SERVING"), entries(at, HALF..BACKENDS, "DRAINING")].concat();
        let _waits = tell(&proxy.discovery, 9, &other_half, Some(&other_half));
        served_by(&proxy, &["low"], 100);

        let named = proxy
            .log
            .since(0)
            .iter()
            .filter(|line| line.contains(": backend ") && line.contains(" at 127."))
            .count();
        assert!(named >= BACKENDS, "{named} backends have a line in the log");
        holds_its_limits(&proxy);
    }
}

/// Opens a connection every few milliseconds and keeps them all, until it is dropped: half of them say nothing, half
/// begin a request that they never end.
struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl IdleClients {
    fn start(to: SocketAddr, at_once: usize) -> IdleClients {
        let connect = move |n: usize| {
            let mut tcp = TcpStream::connect(to).unwrap();
            if n % 2 == 0 {
                let _ = tcp.write_all(b"GET /read/k1 HTTP/1.1\r\nHost: s\r\n");
            }
            tcp
        };
        let mut held: Vec<TcpStream> = (0..at_once).map(connect).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                held.push(connect(held.len()));
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

/// Idle clients hold every slot and stand in the queue while discovery breaks each call off. Each next call has a
/// connection of its own all the same; so has the one to another discovery after a reload; and as the list is there, a
/// connection to a backend comes up.
#[test]
fn idle_clients_leave_descriptors_for_discovery_reload_and_backends() {
    for mode in ["automatic", "subscribe"] {
        let (low, high) =
            (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
        let at = [low.address, high.address];
        let proxy = Proxy::start_with_descriptor_limit(&[], DESCRIPTORS, &settings(mode), DESCRIPTORS);
        let _idle = IdleClients::start(proxy.address, 400);
        for _ in 0..6 {
            drop(proxy.discovery.next_call()); // it breaks the connection
        }
        let most = open_descriptors(&proxy);
        let upstreams = 96;
        assert!(
            most + upstreams <= DESCRIPTORS as usize,
            "clients hold {most} descriptors with what else is open"
        );
        assert!(most >= 96, "all slots are taken: {most}");

        let elsewhere = DiscoveryServer::start();
        proxy.move_discovery(elsewhere.address);
        proxy.signal("HUP");
        let _waits = tell(&elsewhere, 7, &entries(at, 0..BACKENDS, "SERVING"), None);
        served_by(&proxy, &["low", "high"], 40);
        holds_its_limits(&proxy);
    }
}

/// The system may grant less than the configuration says: the reserve is kept out of what it grants.
#[test]
fn idle_clients_leave_descriptors_for_backends_under_a_lower_system_limit() {
    let (low, high) = (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
    let at = [low.address, high.address];
    let proxy = Proxy::start_with_descriptor_limit(&[], 1_024, &settings("automatic"), DESCRIPTORS);
    let said =
        proxy.log.since(0).into_iter().any(|line| line.contains("1024 descriptors, the system grants 256"));
    assert!(said, "it says so");
    let _idle = IdleClients::start(proxy.address, 400);
    for _ in 0..6 {
        drop(proxy.discovery.next_call());
    }
    let _waits = tell(&proxy.discovery, 7, &entries(at, 0..BACKENDS, "SERVING"), None);
    served_by(&proxy, &["low", "high"], 40);
    holds_its_limits(&proxy);
}

/// A line for each of 1,024 backends is more than a pipe takes. Whoever collects the log may be slow, or gone.
#[test]
fn unread_log_delays_neither_start_nor_requests_nor_shutdown() {
    let (low, high) = (BackendServer::start(|_| ok_reply("low")), BackendServer::start(|_| ok_reply("high")));
    let (discovery, door) = (DiscoveryServer::start(), RefusingPort::new());
    let known = endpoint_list_json(4, true, &entries([low.address, high.address], 0..BACKENDS, "SERVING"));
    let config = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":1,"limits":{{"sockets":{DESCRIPTORS}}},"known":{known},
        "settings":{}}}"#,
        door.address(),
        discovery.address,
        settings("automatic")
    );
    let mut child = program_command(Some(&config)).spawn().unwrap();
    let begun = std::time::Instant::now();
    while TcpStream::connect(door.address()).is_err() {
        assert!(begun.elapsed() < WAIT_LIMIT, "it does not listen");
        std::thread::sleep(Duration::from_millis(5));
    }
    for n in 0..20 {
        let answer = Client::connect(door.address()).request(&read_request(3.0));
        assert_eq!(answer.status(), 200, "request {n}");
    }
    let pid = child.id().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    let ended = loop {
        match child.try_wait().unwrap() {
            Some(ended) => break ended,
            None if begun.elapsed() < WAIT_LIMIT => std::thread::sleep(Duration::from_millis(5)),
            None => panic!("it does not end"),
        }
    };
    assert!(ended.success());
}
