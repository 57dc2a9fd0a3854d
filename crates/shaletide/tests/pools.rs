//! Pools: requests that one pool cannot serve fail over to the next, and the rules on retries hold across pools. Also which
//! pool a backend belongs to, and how many attempts it may have in flight.

mod harness;

use harness::trace::{expect_answered, given_up, longest_indecision_us};
use harness::*;
use shaletide_net::socket_table::SocketHolders;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A time left in seconds that does not run out while the proxy waits for a processor on a busy machine. Whether the proxy
/// is in time is measured in its own time instead, against [`OBJECTIVE_US`].
const LONG_TIME_LEFT: f64 = 60.0;
/// The latency objective of the classes, in microseconds. A request that was sent to no backend is rejected by this time.
const OBJECTIVE_US: u64 = 900_000;
/// The limit for that rejection, in microseconds: [`OBJECTIVE_US`] plus the time that the timer and the turn of the event
/// loop may take.
const REJECTED_BY_US: u64 = OBJECTIVE_US + 50_000;

/// Returns [`CLASSES`] with this latency objective and a deadline that allows [`LONG_TIME_LEFT`].
fn classes_with_long_deadline(objective: &str) -> String {
    CLASSES.replace("900ms", objective).replace("\"3s\"", "\"60s\"")
}

/// Starts a backend that serves until the returned switch is set, and replies with `failure` from then on.
fn start_switchable_backend(name: &'static str, failure: fn() -> Reply) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let failing = switch.clone();
    (BackendServer::start(move |_| if failing.load(SeqCst) { failure() } else { ok_reply(name) }), switch)
}

/// Returns how often a backend has received each request, by id, since the last call.
fn take_request_counts(backend: &BackendServer) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for message in backend.events.try_iter() {
        if let BackendEvent::Request(message) = message {
            let id = message.header("x-correlation-id").unwrap_or_default();
            *counts.entry(id.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn requests_are_answered_and_run_once_while_all_pools_fail() {
    for failure in [|| Reply::Reset, || Reply::Answer(500, "", "no".into())] {
        let ((a, a_fails), (b, b_fails)) =
            (start_switchable_backend("a", failure), start_switchable_backend("b", failure));
        let [p, q] = [("p", &a), ("q", &b)].map(|(name, backend)| pool(name, &[(backend.address, "1")]));
        let proxy =
            program().log_level("trace").serve(&format!("{}{p}{q}", classes_with_long_deadline("900ms")));
        fill_retry_budget(&mut proxy.client(), "/read/k");
        let _ = (take_request_counts(&a), take_request_counts(&b));
        a_fails.store(true, SeqCst);
        b_fails.store(true, SeqCst);
        let mut reads = HashSet::new();
        for path in ["/read/k", "/pay/k", "/settle/k"].repeat(20) {
            let sent = request(path, LONG_TIME_LEFT, "");
            let status = proxy.request(&sent).status();
            expect_answered(&proxy, id_of(&sent));
            let safe = path == "/read/k";
            assert!(matches!(status, 500 | 503) || status == 502 && !safe, "{path}: {status}");
            safe.then(|| reads.insert(id_of(&sent).to_string()));
        }
        let indecision = longest_indecision_us(&proxy);
        assert!((1..OBJECTIVE_US).contains(&indecision), "{indecision}");
        let (at_a, at_b) = (take_request_counts(&a), take_request_counts(&b));
        assert!(at_a.values().chain(at_b.values()).all(|count| *count == 1));
        // The pools share no deduplication group: only a safe request may be sent to both.
        let twice: Vec<&String> = at_a.keys().filter(|id| at_b.contains_key(*id)).collect();
        assert!(!twice.is_empty() && twice.iter().all(|id| reads.contains(*id)), "{twice:?}");
        a_fails.store(false, SeqCst);
        b_fails.store(false, SeqCst);
        let start = Instant::now();
        let mut wait_recovered = |path: &str| {
            while proxy.request(&request(path, 1.0, "")).status() != 200 {
                assert!(start.elapsed() < WAIT_LIMIT, "{path}: the pools do not recover");
            }
        };
        ["/read/k", "/pay/k", "/settle/k"].into_iter().for_each(&mut wait_recovered);
    }
}

/// Waits until no process has a socket at this address open. A process that another test is starting holds copies of all
/// descriptors of this process until its exec. A connection that is closed here in that time is reset only at the exec, and
/// a request that is sent on it before may have been executed as far as its sender can know.
fn wait_until_sockets_closed(address: std::net::SocketAddr) {
    let start = Instant::now();
    loop {
        let mut sockets = SocketHolders::at_address(address).expect("the kernel's table of sockets").0;
        sockets.retain(|socket| socket.local == address && socket.inode != 0);
        if sockets.is_empty() {
            return;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "still open: {sockets:?}");
    }
}

#[test]
fn not_executed_request_fails_over_whatever_its_class() {
    let capacity = CpuCapacity::warm(4, 1.0);
    let fleet = Fleet::start((0..4).map(|n| BackendSpec::new(&format!("b{n}"), capacity)).collect())
        .expect("a fleet");
    let member = |n: usize| (fleet.backends()[n].address, "1");
    let pools = pool("p", &[member(0), member(1)]) + &pool("q", &[member(2), member(3)]);
    // The latency objective is the deadline, so that a request that waits for a processor between two pools is not rejected.
    let proxy = program().log_level("trace").serve(&format!("{}{pools}", classes_with_long_deadline("60s")));
    // Each of the two backends has to fail four times before it is ejected.
    let mut client = proxy.client();
    (0..4).for_each(|_| fill_retry_budget(&mut client, "/read/k"));
    let request_counts = || fleet.backends().iter().map(|b| b.stats().requests).collect::<Vec<u64>>();
    let before = request_counts();
    assert_eq!(before[2] + before[3], 0, "the first pool is preferred");
    fleet.backends()[..2].iter().for_each(|b| {
        b.kill();
        wait_until_sockets_closed(b.address);
    });
    for path in ["/pay/k", "/settle/k", "/read/k"].repeat(10) {
        let sent = request(path, LONG_TIME_LEFT, "");
        assert_eq!(proxy.request(&sent).status(), 200, "{path}");
        expect_answered(&proxy, id_of(&sent));
    }
    let indecision = longest_indecision_us(&proxy);
    assert!((1..OBJECTIVE_US).contains(&indecision), "{indecision}");
    let after = request_counts();
    assert_eq!((after[0] + after[1], after[2] + after[3]), (before[0] + before[1], 30));
}

/// A keyed request that may have executed fails over only to a pool that deduplicates it: one in the same deduplication group
/// and inside the scope of the key, and only within the deduplication window.
#[test]
fn keyed_request_that_may_have_run_fails_over_only_inside_its_domain() {
    let (bay, all, zone) = ("\"bay\"", "\"all\"", "\"zone\"");
    // The key's scope, the groups of the two pools, bay and zone of the second pool's backend, and whether the request fails
    // over.
    let cases = [
        (bay, "g", "g", "1", "east", true),
        (bay, "g", "g", "2", "east", false),
        (bay, "p", "q", "1", "east", false),
        (bay, "p", "p", "1", "east", true), // a pool's name is also a group that others may join
        (bay, "g", "h", "1", "east", false),
        (all, "g", "g", "2", "west", true),
        (all, "p", "q", "1", "east", false),
        (zone, "g", "g", "2", "east", true),
        (zone, "g", "g", "1", "west", false),
        (zone, "p", "q", "1", "east", false),
    ];
    for (scope, first, second, other, in_zone, fails_over) in cases {
        let ((a, a_fails), b) =
            (start_switchable_backend("a", || Reply::Reset), BackendServer::start(|_| ok_reply("b")));
        let pool_in_zone = |name: &str, group: &str, backend: &BackendServer, bay: &str, zone: &str| {
            pool_in_domain(name, group, &[(backend.address, bay)])
                .replace("bay =", &format!("zone = \"{zone}\", bay ="))
        };
        let pools =
            pool_in_zone("p", first, &a, "1", "east") + &pool_in_zone("q", second, &b, other, in_zone);
        let proxy = program().serve(&(CLASSES.replace(bay, scope) + &pools));
        fill_retry_budget(&mut proxy.client(), "/settle/k");
        let case = format!("{scope} {first} {second} {other} {in_zone}");
        assert_eq!(b.request_count(), 0, "{case}");
        a_fails.store(true, SeqCst);
        let sent = request("/settle/k", 3.0, "");
        let answer = proxy.request(&sent);
        if fails_over {
            assert_eq!((answer.status(), &answer.body[..], b.request_count()), (200, &b"b"[..], 1), "{case}");
            let key = b.next_request().header("idempotency-key").map(String::from);
            assert!(key.is_some_and(|key| sent.contains(&format!("Idempotency-Key: {key}\r\n"))), "{case}");
        } else {
            assert_eq!((answer.status(), b.request_count()), (502, 0), "{case}");
        }
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let slow_reset = || {
        std::thread::sleep(Duration::from_millis(400));
        Reply::Reset
    };
    let ((a, a_fails), b) =
        (start_switchable_backend("a", slow_reset), BackendServer::start(|_| ok_reply("b")));
    let pools =
        pool_in_domain("p", "g", &[(a.address, "1")]) + &pool_in_domain("q", "g", &[(b.address, "1")]);
    let proxy = program().serve(&(CLASSES.replace("10s", "300ms") + &pools));
    fill_retry_budget(&mut proxy.client(), "/settle/k");
    a_fails.store(true, SeqCst);
    assert_eq!(proxy.request(&request("/settle/k", 3.0, "")).status(), 502);
    assert_eq!(b.request_count(), 0);
}

/// The limit on attempts in flight is proportional to a backend's cores.
#[test]
fn backend_has_as_many_in_flight_as_its_cores_allow() {
    for (cores, limit) in [(1, 4), (2, 8), (8, 32)] {
        let gate = Arc::new(Gate::default());
        let response_gate = gate.clone();
        let backend = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
        let section =
            pool("p", &[(backend.address, "1")]).replace("bay =", &format!("cores = {cores}, bay ="));
        // Long enough that no attempt counts as lost during the test, on a slow machine too.
        let classes = CLASSES.replace("900ms", "10s").replace("3s", "60s");
        let proxy = program().serve(&(classes + &section));
        let mut clients: Vec<Client> = (0..40).map(|_| proxy.client()).collect();
        clients.iter_mut().for_each(|client| client.send(&request("/pay/k", 5.0, "")));
        while (backend.request_count() as usize) < limit {
            std::thread::yield_now();
        }
        // Requests beyond the limit are rejected at half of their time; the others are still in flight.
        let mut statuses = Vec::new();
        while statuses.len() < 40 - limit {
            let (index, status) = first_response(&mut clients);
            drop(clients.remove(index));
            statuses.push(status);
        }
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
        assert_eq!(backend.request_count() as usize, limit, "{cores} cores");
        gate.open();
        assert!(clients
            .iter_mut()
            .all(|client| client.answer().is_some_and(|answer| answer.status() == 200)));
    }
}

/// Waits for the first response to one of these clients; returns the client's index and the status.
fn first_response(clients: &mut [Client]) -> (usize, u16) {
    let start = Instant::now();
    loop {
        for (index, client) in clients.iter_mut().enumerate() {
            client.0.get_ref().set_nonblocking(true).unwrap();
            let readable = client.0.get_ref().peek(&mut [0]).is_ok_and(|read| read > 0);
            client.0.get_ref().set_nonblocking(false).unwrap();
            if readable {
                return (index, client.answer().expect("a response").status());
            }
        }
        assert!(start.elapsed() < WAIT_LIMIT, "no response");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A backend that a reload adds starts cold: with the rules of this test it gets one request in an hour. A backend that
/// moves between pools stays as warm as it was.
#[test]
fn new_backend_starts_cold_and_moved_one_does_not() {
    let [a, b, c] = ["a", "b", "c"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let rules = "[rules]\nramp = \"1h\"\nfall_window = \"1h\"\nfall_multiple = 0.0000001\n";
    let routes = route("p", "class = \"pay\"", &["p"]) + &route("rest", "", &["q"]);
    let file = |p: &[&BackendServer], q: &[&BackendServer]| {
        let members =
            |backends: &[&BackendServer]| backends.iter().map(|b| (b.address, "1")).collect::<Vec<_>>();
        format!("{rules}{CLASSES}{}{}{routes}", pool("p", &members(p)), pool("q", &members(q)))
    };
    let proxy = program().serve(&file(&[&a], &[&b]));
    let mut client = proxy.client();
    let mut send_pays = |count: usize| {
        let before = [&a, &b, &c].map(BackendServer::request_count);
        for _ in 0..count {
            assert_eq!(client.request(&request("/pay/k", 3.0, "")).status(), 200);
        }
        let after = [&a, &b, &c].map(BackendServer::request_count);
        [0, 1, 2].map(|n| (after[n] - before[n]) as usize)
    };
    assert_eq!(send_pays(30), [30, 0, 0]);
    proxy.reload_accepted(&file(&[&a, &c], &[&b]));
    assert_eq!(send_pays(100), [99, 0, 1], "the new backend is cold");
    proxy.reload_accepted(&file(&[&a, &c, &b], &[&c]).replacen(
        &format!("{{ address = \"{}\", bay = \"1\" }}, ", c.address),
        "",
        1,
    ));
    let [at_a, at_b, at_c] = send_pays(100);
    assert!(at_a > 20 && at_b > 20 && at_c == 0, "the moved backend is not warm: {at_a} {at_b} {at_c}");
    // The cold backend moved to the other pool and back, and its count of requests moved with it.
    proxy.reload_accepted(&file(&[&a, &c], &[&b]));
    assert_eq!(send_pays(100), [100, 0, 0], "the cold backend has had its one request of the hour");
}

/// A backend that moves to another pool keeps its attempts in flight, and drains there.
#[test]
fn moved_backend_keeps_its_in_flight_attempts() {
    let gate = Arc::new(Gate::default());
    let response_gate = gate.clone();
    let moved = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
    let other = BackendServer::start(|_| ok_reply("stays"));
    let classes = CLASSES.replace("900ms", "20s").replace("3s", "60s");
    let (pool_q, pool_p) = (pool("q", &[(moved.address, "1")]), pool("p", &[(other.address, "1")]));
    let routes = route("pays", "class = \"pay\"", &["q"]) + &route("rest", "", &["p"]);
    let proxy = program().serve(&format!("{classes}{pool_p}{pool_q}{routes}"));
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("/pay/k", 60.0, "")));
    while moved.request_count() < 4 {
        std::thread::yield_now();
    }
    let swapped = |state: &str| {
        let p = pool("p", &[(moved.address, "1")]).replace("bay =", &format!("state = \"{state}\", bay ="));
        format!("{classes}{p}{}{routes}", pool("q", &[(other.address, "1")]))
    };
    proxy.reload_accepted(&swapped("serving"));
    assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).body, b"stays");
    assert_eq!(proxy.request(&request("/read/k", 1.0, "")).status(), 503, "the backend is at its limit");
    assert_eq!(moved.request_count(), 4);
    proxy.reload_accepted(&swapped("draining"));
    gate.open();
    assert!(clients.iter_mut().all(|client| client.answer().is_some_and(|answer| answer.body == b"gated")));
    assert_eq!(proxy.request(&request("/read/k", 1.0, "")).status(), 503, "the backend is draining");
    assert_eq!(moved.request_count(), 4);
    proxy.reload_accepted(&swapped("serving"));
    assert_eq!(proxy.request(&request("/read/k", 3.0, "")).body, b"gated");
}

/// An address in two endpoint lists stays with the pool that had it first, and the log reports it for as long as both have it.
#[test]
fn address_in_two_lists_stays_with_its_first_pool() {
    let [shared, own] = ["shared", "own"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let entry = |name: &str, backend: &BackendServer| Entry::new(name, backend.address, "east", "big", 1);
    let clock = Clock::start();
    let first = ListServer::start(clock, &["n0"], vec![entry("x", &shared)]).expect("a discovery");
    let second = ListServer::start(clock, &["n0"], vec![entry("y", &own)]).expect("a discovery");
    let discovered_pool = |name: &str, list: &ListServer| {
        format!("[[pool]]\nname = \"{name}\"\ndiscovery = \"{}\"\n", list.address(0))
    };
    let routes = route("pays", "class = \"pay\"", &["p"]) + &route("rest", "", &["q"]);
    let pools = discovered_pool("p", &first) + &discovered_pool("q", &second);
    let proxy = program().log_level("trace").serve(&(classes_with_long_deadline("900ms") + &pools + &routes));
    let wait_until = |path: &str, expected: &dyn Fn(&Message) -> bool| {
        let start = Instant::now();
        while !expected(&proxy.request(&request(path, 3.0, ""))) {
            assert!(start.elapsed() < WAIT_LIMIT, "{path}");
        }
    };
    wait_until("/pay/k", &|answer| answer.body == b"shared");
    wait_until("/settle/k", &|answer| answer.body == b"own");
    let from = proxy.log.len();
    let version = second.put(entry("x too", &shared));
    assert!(second.wait_delivered(version));
    proxy.log.expect(from, &format!("{} is in the lists of pools p and q, and stays with p", shared.address));
    let before = shared.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&request("/settle/k", 3.0, "")).body, b"own");
    }
    assert_eq!(shared.request_count(), before);
    let line = proxy.log.expect(from, "brought by several lists");
    assert!(line.contains(&shared.address.to_string()), "{line}");
    let version = first.delete("x");
    assert!(first.wait_delivered(version));
    wait_until("/settle/k", &|answer| answer.body == b"shared");
    let sent = request("/pay/k", LONG_TIME_LEFT, "");
    assert_eq!(proxy.request(&sent).status(), 503, "the address belongs to the other pool now");
    let (given_up_us, reason) = given_up(&proxy, id_of(&sent));
    assert!(given_up_us < REJECTED_BY_US && reason == "out of time", "{given_up_us} {reason}");
    let from = proxy.log.len();
    proxy.log.expect(from, "open requests"); // the line of counts, which would be followed by the report
    assert!(proxy.reload_files().accepted);
    assert!(
        !proxy.log.since(from).iter().any(|line| line.contains("several lists")),
        "a cleared duplicate is still reported"
    );
}

/// The source of a pool's backends may change at a reload: the pool keeps its backends until the new source lists others.
#[test]
fn pool_moves_between_static_list_and_discoveries() {
    let [a, b, c] = ["a", "b", "c"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let list = |backend: &BackendServer| {
        let entry = Entry::new("x", backend.address, "east", "big", 1);
        ListServer::start(Clock::start(), &["n0"], vec![entry]).expect("a discovery")
    };
    let (first, second) = (list(&b), list(&c));
    // A new backend gets its full share at once.
    let settings = format!("[rules]\ncold_from = 1.0\n{CLASSES}");
    let static_list = settings.clone() + &pool("p", &[(a.address, "1")]);
    let discovered = |list: &ListServer, mode: &str| {
        let mode = format!("discovery_mode = \"{mode}\"");
        format!("{settings}[[pool]]\nname = \"p\"\ndiscovery = \"{}\"\n{mode}\n", list.address(0))
    };
    let proxy = program().serve(&static_list);
    let steps = [
        (discovered(&first, "push"), "b"),
        (static_list.clone(), "a"),
        (discovered(&first, "subscribe"), "b"),
        (discovered(&second, "subscribe"), "c"),
        (discovered(&first, "push"), "b"),
        (static_list, "a"),
    ];
    for (file, expected) in steps {
        proxy.reload_accepted(&file);
        let start = Instant::now();
        loop {
            let answer = proxy.request(&request("/pay/k", 3.0, ""));
            assert_eq!(answer.status(), 200, "before {expected} serves");
            if answer.body == expected.as_bytes() {
                break;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "{expected} does not serve");
        }
        for _ in 0..5 {
            assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).body, expected.as_bytes());
        }
    }
}
