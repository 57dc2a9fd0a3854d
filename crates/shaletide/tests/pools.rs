//! Pools: what one cannot take goes on to the next, and no rule ends at a pool's edge; which pool has a backend, and what
//! it may hold there.

mod harness;

use harness::trace::{expect_answered, given_up, longest_indecision_us};
use harness::*;
use shaletide_net::socket_table::Holders;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seconds. A request with this much time is not out of it while the machine gives the proxy no processor. What the proxy
/// does in time is measured in its own time instead, against [`AIM_US`].
const LONG: f64 = 60.0;
/// The aim of the classes, microseconds: a request that no backend has seen is refused by it, ...
const AIM_US: u64 = 900_000;
/// ... or by as much later as the timer and the turn of the event loop take.
const REFUSED_BY_US: u64 = AIM_US + 50_000;

/// The classes with that aim, and time for [`LONG`].
fn patient_classes(aim: &str) -> String {
    CLASSES.replace("900ms", aim).replace("\"3s\"", "\"60s\"")
}

/// Serves until the switch is thrown, and does something else from then on.
fn turning(name: &'static str, to: fn() -> Reply) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let thrown = switch.clone();
    (BackendServer::start(move |_| if thrown.load(SeqCst) { to() } else { ok_reply(name) }), switch)
}

/// How often a backend saw each request that came to it so far.
fn seen(backend: &BackendServer) -> HashMap<String, u32> {
    let mut seen = HashMap::new();
    for message in backend.events.try_iter() {
        if let BackendEvent::Request(message) = message {
            let id = message.header("x-correlation-id").unwrap_or_default();
            *seen.entry(id.to_string()).or_default() += 1;
        }
    }
    seen
}

#[test]
fn requests_are_answered_and_run_once_while_all_pools_fail() {
    for failing in [|| Reply::Reset, || Reply::Answer(500, "", "no".into())] {
        let ((a, first), (b, second)) = (turning("a", failing), turning("b", failing));
        let [p, q] = [("p", &a), ("q", &b)].map(|(name, backend)| pool(name, &[(backend.address, "1")]));
        let proxy = program().log_level("trace").serve(&format!("{}{p}{q}", patient_classes("900ms")));
        fill_retry_budget(&mut proxy.client(), "/read/k");
        let _ = (seen(&a), seen(&b));
        first.store(true, SeqCst);
        second.store(true, SeqCst);
        let mut reads = HashSet::new();
        for path in ["/read/k", "/pay/k", "/settle/k"].repeat(20) {
            let sent = request(path, LONG, "");
            let status = proxy.request(&sent).status();
            expect_answered(&proxy, id_of(&sent));
            let safe = path == "/read/k";
            assert!(matches!(status, 500 | 503) || status == 502 && !safe, "{path}: {status}");
            safe.then(|| reads.insert(id_of(&sent).to_string()));
        }
        let indecision = longest_indecision_us(&proxy);
        assert!((1..AIM_US).contains(&indecision), "{indecision}");
        let (at_a, at_b) = (seen(&a), seen(&b));
        assert!(at_a.values().chain(at_b.values()).all(|times| *times == 1));
        // The pools are no group: only what is safe may have been at both.
        let twice: Vec<&String> = at_a.keys().filter(|id| at_b.contains_key(*id)).collect();
        assert!(!twice.is_empty() && twice.iter().all(|id| reads.contains(*id)), "{twice:?}");
        first.store(false, SeqCst);
        second.store(false, SeqCst);
        let begun = Instant::now();
        let mut well = |path: &str| {
            while proxy.request(&request(path, 1.0, "")).status() != 200 {
                assert!(begun.elapsed() < WAIT_LIMIT, "{path}: it does not come back");
            }
        };
        ["/read/k", "/pay/k", "/settle/k"].into_iter().for_each(&mut well);
    }
}

/// Waits until no process has a socket at that address open. A process that another test is starting has copies of all
/// descriptors of this one until its exec: a connection that is closed here meanwhile is reset only then, and what is
/// sent on it before may have been executed for all that its sender can know.
fn wait_until_sockets_closed(address: std::net::SocketAddr) {
    let begun = Instant::now();
    loop {
        let mut sockets = Holders::of(address).expect("the kernel's table of sockets").0;
        sockets.retain(|socket| socket.local == address && socket.inode != 0);
        if sockets.is_empty() {
            return;
        }
        assert!(begun.elapsed() < WAIT_LIMIT, "still open: {sockets:?}");
    }
}

#[test]
fn not_executed_request_fails_over_whatever_its_class() {
    let power = CpuCapacity::warm(4, 1.0);
    let fleet =
        Fleet::start((0..4).map(|n| BackendSpec::new(&format!("b{n}"), power)).collect()).expect("a fleet");
    let at = |n: usize| (fleet.backends()[n].address, "1");
    let pools = pool("p", &[at(0), at(1)]) + &pool("q", &[at(2), at(3)]);
    // No aim: a request that waits for a processor between two pools is not refused by it.
    let proxy = program().log_level("trace").serve(&format!("{}{pools}", patient_classes("60s")));
    // Each of the two has to fail four times before it is out of use.
    let mut client = proxy.client();
    (0..4).for_each(|_| fill_retry_budget(&mut client, "/read/k"));
    let count = || fleet.backends().iter().map(|b| b.stats().requests).collect::<Vec<u64>>();
    let before = count();
    assert_eq!(before[2] + before[3], 0, "the first is preferred");
    fleet.backends()[..2].iter().for_each(|b| {
        b.kill();
        wait_until_sockets_closed(b.address);
    });
    for path in ["/pay/k", "/settle/k", "/read/k"].repeat(10) {
        let sent = request(path, LONG, "");
        assert_eq!(proxy.request(&sent).status(), 200, "{path}");
        expect_answered(&proxy, id_of(&sent));
    }
    let indecision = longest_indecision_us(&proxy);
    assert!((1..AIM_US).contains(&indecision), "{indecision}");
    let after = count();
    assert_eq!((after[0] + after[1], after[2] + after[3]), (before[0] + before[1], 30));
}

/// A keyed request that may have run goes on in the next pool only where that drops what this one has seen: in a
/// common group, inside the scope of its key, within its window.
#[test]
fn keyed_request_that_may_have_run_fails_over_only_inside_its_domain() {
    let (bay, all, zone) = ("\"bay\"", "\"all\"", "\"zone\"");
    // The key's scope, the groups of the two pools, bay and zone of the backend in the second, and whether it goes on.
    let cases = [
        (bay, "g", "g", "1", "east", true),
        (bay, "g", "g", "2", "east", false),
        (bay, "p", "q", "1", "east", false),
        (bay, "p", "p", "1", "east", true), // a pool's own name is a group that others may join
        (bay, "g", "h", "1", "east", false),
        (all, "g", "g", "2", "west", true),
        (all, "p", "q", "1", "east", false),
        (zone, "g", "g", "2", "east", true),
        (zone, "g", "g", "1", "west", false),
        (zone, "p", "q", "1", "east", false),
    ];
    for (scope, first, second, other, in_zone, goes_on) in cases {
        let ((a, ill), b) = (turning("a", || Reply::Reset), BackendServer::start(|_| ok_reply("b")));
        let one = |name: &str, group: &str, at: &BackendServer, bay: &str, zone: &str| {
            pool_in_domain(name, group, &[(at.address, bay)])
                .replace("bay =", &format!("zone = \"{zone}\", bay ="))
        };
        let pools = one("p", first, &a, "1", "east") + &one("q", second, &b, other, in_zone);
        let proxy = program().serve(&(CLASSES.replace(bay, scope) + &pools));
        fill_retry_budget(&mut proxy.client(), "/settle/k");
        let case = format!("{scope} {first} {second} {other} {in_zone}");
        assert_eq!(b.request_count(), 0, "{case}");
        ill.store(true, SeqCst);
        let sent = request("/settle/k", 3.0, "");
        let answer = proxy.request(&sent);
        if goes_on {
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
    let slow = || {
        std::thread::sleep(Duration::from_millis(400));
        Reply::Reset
    };
    let ((a, ill), b) = (turning("a", slow), BackendServer::start(|_| ok_reply("b")));
    let pools =
        pool_in_domain("p", "g", &[(a.address, "1")]) + &pool_in_domain("q", "g", &[(b.address, "1")]);
    let proxy = program().serve(&(CLASSES.replace("10s", "300ms") + &pools));
    fill_retry_budget(&mut proxy.client(), "/settle/k");
    ill.store(true, SeqCst);
    assert_eq!(proxy.request(&request("/settle/k", 3.0, "")).status(), 502);
    assert_eq!(b.request_count(), 0);
}

/// With 8 cores a backend may hold eight times as many as with one.
#[test]
fn backend_has_as_many_in_flight_as_its_cores_allow() {
    for (cores, holds) in [(1, 4), (2, 8), (8, 32)] {
        let gate = Arc::new(Gate::default());
        let wait = gate.clone();
        let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
        let boxes = pool("p", &[(backend.address, "1")]).replace("bay =", &format!("cores = {cores}, bay ="));
        // Attempts are not taken for lost in the time of this, however slow the machine.
        let classes = CLASSES.replace("900ms", "10s").replace("3s", "60s");
        let proxy = program().serve(&(classes + &boxes));
        let mut clients: Vec<Client> = (0..40).map(|_| proxy.client()).collect();
        clients.iter_mut().for_each(|client| client.send(&request("/pay/k", 5.0, "")));
        while (backend.request_count() as usize) < holds {
            std::thread::yield_now();
        }
        // What finds no room is refused at half of its time, and the rest is out still.
        let mut statuses = Vec::new();
        while statuses.len() < 40 - holds {
            let (number, status) = first_answer(&mut clients);
            drop(clients.remove(number));
            statuses.push(status);
        }
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
        assert_eq!(backend.request_count() as usize, holds, "{cores} cores");
        gate.open();
        assert!(clients
            .iter_mut()
            .all(|client| client.answer().is_some_and(|answer| answer.status() == 200)));
    }
}

/// The first of these clients that has an answer, and its status.
fn first_answer(clients: &mut [Client]) -> (usize, u16) {
    let begun = Instant::now();
    loop {
        for (number, client) in clients.iter_mut().enumerate() {
            client.0.get_ref().set_nonblocking(true).unwrap();
            let there = client.0.get_ref().peek(&mut [0]).is_ok_and(|read| read > 0);
            client.0.get_ref().set_nonblocking(false).unwrap();
            if there {
                return (number, client.answer().expect("an answer").status());
            }
        }
        assert!(begun.elapsed() < WAIT_LIMIT, "no answer");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A backend that a file brings anew is cold: here it gets one request in an hour. One that was there, in whichever
/// pool, is as warm as it was.
#[test]
fn new_backend_starts_cold_and_moved_one_does_not() {
    let [a, b, c] = ["a", "b", "c"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let rules = "[rules]\nramp = \"1h\"\nfall_window = \"1h\"\nfall_multiple = 0.0000001\n";
    let routes = route("p", "class = \"pay\"", &["p"]) + &route("rest", "", &["q"]);
    let file = |p: &[&BackendServer], q: &[&BackendServer]| {
        let boxes = |of: &[&BackendServer]| of.iter().map(|b| (b.address, "1")).collect::<Vec<_>>();
        format!("{rules}{CLASSES}{}{}{routes}", pool("p", &boxes(p)), pool("q", &boxes(q)))
    };
    let proxy = program().serve(&file(&[&a], &[&b]));
    let mut client = proxy.client();
    let mut pays = |count: usize| {
        let before = [&a, &b, &c].map(BackendServer::request_count);
        for _ in 0..count {
            assert_eq!(client.request(&request("/pay/k", 3.0, "")).status(), 200);
        }
        let after = [&a, &b, &c].map(BackendServer::request_count);
        [0, 1, 2].map(|n| (after[n] - before[n]) as usize)
    };
    assert_eq!(pays(30), [30, 0, 0]);
    proxy.reload_accepted(&file(&[&a, &c], &[&b]));
    assert_eq!(pays(100), [99, 0, 1], "the new one is cold");
    proxy.reload_accepted(&file(&[&a, &c, &b], &[&c]).replacen(
        &format!("{{ address = \"{}\", bay = \"1\" }}, ", c.address),
        "",
        1,
    ));
    let [at_a, at_b, at_c] = pays(100);
    assert!(at_a > 20 && at_b > 20 && at_c == 0, "the one that moved is warm: {at_a} {at_b} {at_c}");
    // The cold one went to the other pool, with what it was sent, and comes back with it.
    proxy.reload_accepted(&file(&[&a, &c], &[&b]));
    assert_eq!(pays(100), [100, 0, 0], "it has had its one request in the hour");
}

/// What a backend holds goes along to another pool, and so does its drain.
#[test]
fn moved_backend_keeps_its_in_flight_attempts() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let moved = BackendServer::start(move |_| Reply::Gate(wait.clone()));
    let stays = BackendServer::start(|_| ok_reply("stays"));
    let classes = CLASSES.replace("900ms", "20s").replace("3s", "60s");
    let (one, other) = (pool("q", &[(moved.address, "1")]), pool("p", &[(stays.address, "1")]));
    let routes = route("pays", "class = \"pay\"", &["q"]) + &route("rest", "", &["p"]);
    let proxy = program().serve(&format!("{classes}{other}{one}{routes}"));
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("/pay/k", 60.0, "")));
    while moved.request_count() < 4 {
        std::thread::yield_now();
    }
    let swapped = |state: &str| {
        let p = pool("p", &[(moved.address, "1")]).replace("bay =", &format!("state = \"{state}\", bay ="));
        format!("{classes}{p}{}{routes}", pool("q", &[(stays.address, "1")]))
    };
    proxy.reload_accepted(&swapped("serving"));
    assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).body, b"stays");
    assert_eq!(proxy.request(&request("/read/k", 1.0, "")).status(), 503, "it holds all that it may");
    assert_eq!(moved.request_count(), 4);
    proxy.reload_accepted(&swapped("draining"));
    gate.open();
    assert!(clients.iter_mut().all(|client| client.answer().is_some_and(|answer| answer.body == b"gated")));
    assert_eq!(proxy.request(&request("/read/k", 1.0, "")).status(), 503, "it drains");
    assert_eq!(moved.request_count(), 4);
    proxy.reload_accepted(&swapped("serving"));
    assert_eq!(proxy.request(&request("/read/k", 3.0, "")).body, b"gated");
}

/// An address that two lists bring stays with the pool that had it first. It is told as long as that is so.
#[test]
fn address_in_two_lists_stays_with_its_first_pool() {
    let [shared, own] = ["shared", "own"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let entry = |name: &str, at: &BackendServer| Entry::new(name, at.address, "east", "big", 1);
    let clock = Clock::start();
    let first = ListServer::start(clock, &["n0"], vec![entry("x", &shared)]).expect("a discovery");
    let second = ListServer::start(clock, &["n0"], vec![entry("y", &own)]).expect("a discovery");
    let told = |name: &str, by: &ListServer| {
        format!("[[pool]]\nname = \"{name}\"\ndiscovery = \"{}\"\n", by.address(0))
    };
    let routes = route("pays", "class = \"pay\"", &["p"]) + &route("rest", "", &["q"]);
    let lists = told("p", &first) + &told("q", &second);
    let proxy = program().log_level("trace").serve(&(patient_classes("900ms") + &lists + &routes));
    let until = |path: &str, wanted: &dyn Fn(&Message) -> bool| {
        let begun = Instant::now();
        while !wanted(&proxy.request(&request(path, 3.0, ""))) {
            assert!(begun.elapsed() < WAIT_LIMIT, "{path}");
        }
    };
    until("/pay/k", &|answer| answer.body == b"shared");
    until("/settle/k", &|answer| answer.body == b"own");
    let from = proxy.log.len();
    let version = second.put(entry("x too", &shared));
    assert!(second.wait_delivered(version));
    proxy.log.expect(from, &format!("{} is in the lists of pools p and q, and stays with p", shared.address));
    let before = shared.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&request("/settle/k", 3.0, "")).body, b"own");
    }
    assert_eq!(shared.request_count(), before);
    let said = proxy.log.expect(from, "brought by several lists");
    assert!(said.contains(&shared.address.to_string()), "{said}");
    let version = first.delete("x");
    assert!(first.wait_delivered(version));
    until("/settle/k", &|answer| answer.body == b"shared");
    let sent = request("/pay/k", LONG, "");
    assert_eq!(proxy.request(&sent).status(), 503, "it is the other pool's now");
    let (given_up_us, reason) = given_up(&proxy, id_of(&sent));
    assert!(given_up_us < REFUSED_BY_US && reason == "out of time", "{given_up_us} {reason}");
    let from = proxy.log.len();
    proxy.log.expect(from, "open requests"); // the line of counts, behind which it would be told
    assert!(proxy.reload_files().accepted);
    assert!(
        !proxy.log.since(from).iter().any(|line| line.contains("several lists")),
        "it is told though cleared"
    );
}

/// Where a pool's backends come from may change while it serves: it keeps those that it has until others are told.
#[test]
fn pool_moves_between_static_list_and_discoveries() {
    let [a, b, c] = ["a", "b", "c"].map(|name| BackendServer::start(move |_| ok_reply(name)));
    let list = |at: &BackendServer| {
        let entry = Entry::new("x", at.address, "east", "big", 1);
        ListServer::start(Clock::start(), &["n0"], vec![entry]).expect("a discovery")
    };
    let (first, second) = (list(&b), list(&c));
    // A backend that is new may be sent as much as any other.
    let warm = format!("[rules]\ncold_from = 1.0\n{CLASSES}");
    let in_file = warm.clone() + &pool("p", &[(a.address, "1")]);
    let told = |by: &ListServer, mode: &str| {
        let mode = format!("discovery_mode = \"{mode}\"");
        format!("{warm}[[pool]]\nname = \"p\"\ndiscovery = \"{}\"\n{mode}\n", by.address(0))
    };
    let proxy = program().serve(&in_file);
    let steps = [
        (told(&first, "push"), "b"),
        (in_file.clone(), "a"),
        (told(&first, "subscribe"), "b"),
        (told(&second, "subscribe"), "c"),
        (told(&first, "push"), "b"),
        (in_file, "a"),
    ];
    for (file, expected) in steps {
        proxy.reload_accepted(&file);
        let begun = Instant::now();
        loop {
            let answer = proxy.request(&request("/pay/k", 3.0, ""));
            assert_eq!(answer.status(), 200, "on the way to {expected}");
            if answer.body == expected.as_bytes() {
                break;
            }
            assert!(begun.elapsed() < WAIT_LIMIT, "{expected} does not come");
        }
        for _ in 0..5 {
            assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).body, expected.as_bytes());
        }
    }
}
