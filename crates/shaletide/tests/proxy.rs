//! The program as a whole, on loopback sockets: what it must keep whatever backends, clients and discovery do.

mod harness;

use harness::*;
use std::io::{BufRead, BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn one(backend: &BackendServer) -> Proxy {
    Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")])
}

fn two(a: &BackendServer, b: &BackendServer) -> Proxy {
    Proxy::start(&[endpoint_json("b0", a.address, "SERVING"), endpoint_json("b1", b.address, "SERVING")])
}

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let backend = BackendServer::start(|_| Reply::Answer(200, "Content-Type: text/x", "the body".into()));
    let proxy = one(&backend);
    let answer = proxy.request(
        "POST /vote/k%201?q=%2F HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 00aa\r\nIdempotency-Key: 77\r\n\
         X-Time-Left: 2.5\r\nConnection: x-private\r\nX-Private: 1\r\nContent-Length: 3\r\n\r\nabc",
    );
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"the body"[..]));
    assert_eq!(answer.header("content-type"), Some("text/x"));
    let got = backend.next_request();
    assert_eq!(got.first, "POST /vote/k%201?q=%2F HTTP/1.1");
    assert_eq!((got.header("x-correlation-id"), got.header("idempotency-key")), (Some("00aa"), Some("77")));
    assert_eq!((&got.body[..], got.header("x-private")), (&b"abc"[..], None));
    let left: f64 = got.header("x-time-left").unwrap().parse().unwrap();
    assert!(left > 0.0 && left < 2.5, "{left}");
    assert_eq!(backend.request_count(), 1);
}

/// The module saves up its further attempts from the requests that come: so many pay for several.
fn warm_up(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..25 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
}

/// Serves until the switch is thrown, and does something else from then on.
fn turning(to: impl Fn() -> Reply + Send + Sync + 'static) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let thrown = switch.clone();
    let reply = move |_| if thrown.load(SeqCst) { to() } else { ok_reply("x") };
    (BackendServer::start(reply), switch)
}

/// Each outcome that may have run: an unsafe request is not sent again and is not called harmless.
#[test]
fn unsafe_request_that_may_have_run_is_not_retried() {
    type Make = fn() -> Reply;
    let cases: [(&str, Make, f64); 7] = [
        ("500", || Reply::Answer(500, "", "oops".into()), 3.0),
        ("reset", || Reply::Reset, 3.0),
        ("silence", || Reply::Silence, 0.3),
        ("unlisted", || Reply::Answer(404, "", String::new()), 3.0),
        ("503 without a word on it", || Reply::Answer(503, "", String::new()), 3.0),
        ("the word on another status", || Reply::Answer(500, "X-Unprocessed: 1", String::new()), 3.0),
        ("too long", || ok_reply(&"x".repeat(64 * 1024 + 1)), 3.0),
    ];
    for (what, reply, left) in cases {
        let ((a, first), (b, second)) = (turning(reply), turning(reply));
        let proxy = two(&a, &b);
        warm_up(&proxy);
        let before = a.request_count() + b.request_count();
        first.store(true, SeqCst);
        second.store(true, SeqCst);
        let status = proxy.request(&pay_request(left)).status();
        assert!(status == 502 || status == 504, "{what}: {status}");
        assert_eq!(a.request_count() + b.request_count(), before + 1, "{what}");
    }
}

/// Each outcome that proves that it was not executed: even an unsafe request goes on to another backend.
#[test]
fn unsafe_request_that_was_not_executed_is_retried_elsewhere() {
    for status in [503, 504] {
        let away = move || Reply::Answer(status, "X-Unprocessed: 1", String::new());
        let ((away, switch), good) = (turning(away), BackendServer::start(|_| ok_reply("paid")));
        let proxy = two(&away, &good);
        warm_up(&proxy);
        switch.store(true, SeqCst);
        let (away_before, good_before) = (away.request_count(), good.request_count());
        let mut sent = 0;
        while away.request_count() == away_before {
            assert!(sent < 100, "the draw never met it");
            assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
            sent += 1;
        }
        assert_eq!(good.request_count() - good_before, sent, "every one was served once");
    }
}

/// A refused connection was not executed either. Nobody sees it, so the draw gets many chances to meet it.
#[test]
fn unsafe_request_is_retried_elsewhere_after_connection_refused() {
    let (nobody, good) = (RefusingPort::new(), BackendServer::start(|_| ok_reply("paid")));
    let proxy = one(&good);
    warm_up(&proxy);
    let (_, answer) = proxy.discovery.next_call();
    let both =
        [endpoint_json("b0", good.address, "SERVING"), endpoint_json("b1", nobody.address(), "SERVING")];
    answer.send((200, endpoint_list_json(9, true, &both))).unwrap();
    let _hold = proxy.discovery.next_call(); // by now the list is taken in
    let before = good.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    }
    assert_eq!(good.request_count() - before, 30);
}

/// A request that is given up is answered then, not at its deadline, and the client is told when to come back.
#[test]
fn rejection_is_immediate_with_retry_after() {
    let away = BackendServer::start(|_| Reply::Answer(503, "X-Unprocessed: 1", String::new()));
    let proxy = one(&away);
    for request in [pay_request(3.0), read_request(3.0)] {
        let answer = proxy.request(&request);
        assert_eq!(answer.status(), 503);
        let advice: f64 = answer.header("retry-after").expect("advice").parse().expect("a number");
        assert!(advice > 0.0 && advice <= 2.0, "{advice}");
    }
}

#[test]
fn silent_backend_is_answered_for_before_the_deadline() {
    let backend = BackendServer::start(|_| Reply::Silence);
    let proxy = one(&backend);
    let begun = std::time::Instant::now();
    let status = proxy.request(&pay_request(0.6)).status();
    assert!(status == 502 || status == 504, "{status}");
    assert!(begun.elapsed() < Duration::from_secs(3), "the client's time counts, not the class's");
    backend.wait_closed(); // the attempt was given up with it
    assert_eq!(proxy.request(&read_request(0.3)).status(), 503, "a safe one is harmless to repeat");
}

#[test]
fn attempt_is_cancelled_when_client_disconnects() {
    let backend = BackendServer::start(|_| Reply::Silence);
    let proxy = one(&backend);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    backend.next_request();
    drop(client);
    backend.wait_closed();
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn sequential_requests_share_a_connection() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = one(&backend);
    let mut client = proxy.client();
    for _ in 0..10 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        std::thread::sleep(Duration::from_millis(40)); // until it is known to be quiet
    }
    assert_eq!(backend.connections.load(SeqCst), 1);
}

/// A backend may end a kept connection at any time: a request written to it then would count as a reset.
#[test]
fn connection_closed_by_backend_is_not_reused() {
    let backend = BackendServer::start(|_| Reply::AnswerAndClose(200, "x".into()));
    let proxy = one(&backend);
    for round in 1..=5 {
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
        assert_eq!(backend.request_count(), round);
        backend.wait_closed();
    }
}

#[test]
fn connection_is_retired_before_backends_idle_timeout() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let settings = SETTINGS.replace("\"conn_idle_us\":60000000", "\"conn_idle_us\":1000000");
    let proxy =
        Proxy::start_with_settings(&[endpoint_json("b0", backend.address, "SERVING")], 1024, &settings);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    backend.wait_closed();
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    assert_eq!(backend.connections.load(SeqCst), 2);
}

#[test]
fn watch_follows_changes_failures_and_gaps() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let proxy = one(&old);
    assert_eq!(proxy.request(&read_request(3.0)).body, b"old");
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    let bad = r#"{"name":7},{"name":"x","address":"nowhere","status":"SERVING"}"#.to_string();
    let odd = endpoint_json("b9", old.address, "RESTING");
    answer
        .send((200, endpoint_list_json(9, true, &[bad, odd, endpoint_json("b0", old.address, "SERVING")])))
        .unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.starts_with("GET /api/targets?after=9&wait_ms="), "{target}");
    let change = [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
    answer.send((200, endpoint_list_json(10, false, &change))).unwrap();
    let (target, answer) = proxy.discovery.next_call(); // by now the change is taken in
    assert!(target.contains("after=10&"), "{target}");
    for _ in 0..8 {
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"new", "nothing new for one that drains");
    }
    answer.send((503, String::new())).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "a failure is asked again: {target}");
    answer.send((200, "no list".into())).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "so is nonsense: {target}");
    drop(answer); // the connection breaks
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, endpoint_list_json(3, false, &[]))).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1", "a gap means the whole list");
    answer.send((200, endpoint_list_json(3, true, &[endpoint_json("b0", old.address, "SERVING")]))).unwrap();
    let (target, _hold) = proxy.discovery.next_call();
    assert!(target.contains("after=3&"), "{target}");
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"old", "what is absent from the whole list is gone");
    assert_eq!(old.request_count(), 2);
}

/// A call that was out as the agent fell silent is never answered: the next one asks soon, and for what is there now.
/// How soon follows from the time within which nothing new may go to a backend that drains.
#[test]
fn agent_that_answers_only_new_calls_is_polled_again_soon() {
    let graces = [
        (None, 700),
        (Some(5_000_000), 1000),
        (Some(2_000_000), 700),
        (Some(1_000_000), 350),
        (Some(300_000), 105),
    ];
    for (grace, wait) in graces {
        let (old, new) =
            (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
        let proxy = Proxy::start_with_settings(
            &[endpoint_json("b0", old.address, "SERVING")],
            1024,
            &granting(grace),
        );
        let whole = [endpoint_json("b0", old.address, "SERVING")];
        let (target, _silent) = tell(&proxy.discovery, &whole, None);
        let waiting = |index| format!("GET /api/targets?after={index}&wait_ms={wait} HTTP/1.1");
        assert_eq!(target, waiting(9), "no call is out for long");
        let (target, answer) = proxy.discovery.next_call();
        assert_eq!(target, "GET /api/targets?after=9&wait_ms=0 HTTP/1.1", "whether it is back shows at once");
        let change =
            [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
        let _ = answer.send((200, endpoint_list_json(10, false, &change)));
        let (target, _hold) = tell(&proxy.discovery, &whole, Some(&change)); // by now the change is taken in
        assert_eq!(target, waiting(10));
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    }
}

/// A discovery that is asked works through calls in turn: one that waits behind others' is answered late, and one made
/// in its place would stand behind it.
#[test]
fn call_queued_at_discovery_is_not_abandoned() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let whole = [endpoint_json("b0", old.address, "SERVING")];
    let settings = granting(Some(150_000)).replace("\"automatic\"", "\"subscribe\"");
    let proxy = Proxy::start_with_settings(&whole, 1024, &settings);
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("&wait_ms=0 "), "what it missed: {target}");
    std::thread::sleep(std::time::Duration::from_millis(1600)); // so long is the line
    let change = [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
    let _ = answer.send((200, endpoint_list_json(10, false, &change)));
    let (target, _hold) = proxy.discovery.next_call(); // by now the change is taken in
    assert!(target.contains("after=10&") && !target.contains("&wait_ms=0 "), "one call for it: {target}");
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
}

/// A request whose connection is still coming up as its backend begins to drain goes to another at once; so does one that
/// comes later.
#[test]
fn drain_takes_back_requests_that_wait_for_a_connection() {
    let (never, good) = (FullBacklogListener::new(), BackendServer::start(|_| ok_reply("x")));
    let settings = SETTINGS
        .replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":60000000")
        .replace("3000000", "30000000");
    let known = [endpoint_json("b0", never.address(), "SERVING")];
    let proxy = Proxy::start_with_settings(&known, 1024, &settings);
    let (_, answer) = tell(&proxy.discovery, &known, None);
    let mut client = proxy.client();
    client.send(&pay_request(30.0));
    assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200); // read before this one
    let change =
        [endpoint_json("b0", never.address(), "DRAINING"), endpoint_json("b1", good.address, "SERVING")];
    let _ = answer.send((200, endpoint_list_json(10, false, &change)));
    let _hold = tell(&proxy.discovery, &known, Some(&change));
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    assert_eq!(good.request_count(), 2);
}

/// What is wrong with an entry hides neither what it says of its own backend nor what others say.
#[test]
fn invalid_list_entry_does_not_hide_a_drain() {
    let spoilt = [
        ("\"since_ms\":0", "\"since_ms\":1e999"),
        ("\"zone\":\"east\"", "\"zone\":7"),
        ("127.0.0.1", "here"),
    ];
    for (good, bad) in spoilt {
        let boxes = [(); 3].map(|()| BackendServer::start(|_| ok_reply("x")));
        let entries =
            |status| [0, 1, 2].map(|n: usize| endpoint_json(&format!("b{n}"), boxes[n].address, status));
        let proxy = Proxy::start(&entries("SERVING"));
        let (_, answer) = tell(&proxy.discovery, &entries("SERVING"), None);
        let mut change = entries("DRAINING");
        change[0] = change[0].replace(good, bad);
        let _ = answer.send((200, endpoint_list_json(10, false, &change[..2])));
        let _hold = tell(&proxy.discovery, &entries("SERVING"), Some(&change[..2]));
        for _ in 0..20 {
            assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
        }
        assert_eq!(boxes.each_ref().map(|b| b.request_count()), [0, 0, 20], "{bad}");
    }
}

/// Holds so many calls, of which each takes at least the time that an answer has at 0.3 s of grace.
fn hold(discovery: &DiscoveryServer, calls: usize) -> Vec<impl Sized> {
    (0..calls).map(|_| discovery.next_call()).collect()
}

/// Where an answer goes, and what for.
type PendingCall = (String, std::sync::mpsc::Sender<(u16, String)>);

/// Answers until version 9 is taken in, or 10 where a change to it is given. The first call from there on is held. A
/// call that was given up by the time it is answered, as on a busy machine, is followed by another.
fn tell(discovery: &DiscoveryServer, whole: &[String], change: Option<&[String]>) -> PendingCall {
    let taken_in = if change.is_some() { "after=10&" } else { "after=9&" };
    loop {
        let (target, answer) = discovery.next_call();
        if target.contains(taken_in) {
            return (target, answer);
        }
        let body = match change {
            Some(change) if target.contains("after=9&") => endpoint_list_json(10, false, change),
            _ => endpoint_list_json(9, true, whole),
        };
        let _ = answer.send((200, body));
    }
}

/// What an agent has counts from the first moment of a process: the list of before a restart is gone by only as long
/// as the grace allows, and its backends are back in use as soon as the agent says so.
#[test]
fn cached_list_expires_after_the_grace() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let known = [endpoint_json("b0", old.address, "SERVING"), endpoint_json("b1", new.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&known, 1024, &granting(Some(300_000)));
    let silent = hold(&proxy.discovery, 12);
    let before = old.request_count() + new.request_count();
    for request in [read_request(3.0), pay_request(3.0)] {
        assert_eq!(proxy.request(&request).status(), 503);
    }
    assert_eq!(old.request_count() + new.request_count(), before);
    let now = [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
    let _hold = tell(&proxy.discovery, &now, None);
    for _ in 0..10 {
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    }
    drop(silent);
}

/// An agent that was heard and falls silent learns nothing meanwhile: what it has said holds.
#[test]
fn received_list_holds_while_the_agent_is_silent() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let boxes = [endpoint_json("b0", backend.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&boxes, 1024, &granting(Some(300_000)));
    let _hold = tell(&proxy.discovery, &boxes, None);
    let _silent = hold(&proxy.discovery, 12);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
}

/// What the new discovery has counts 4 s after the signal, and the grace after that nothing goes by the old one's list.
#[test]
fn old_discoverys_list_expires_once_the_new_ones_counts() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let boxes = [endpoint_json("b0", old.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&boxes, 1024, &granting(Some(300_000)));
    let _waits = tell(&proxy.discovery, &boxes, None);
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"old");
    let elsewhere = DiscoveryServer::start();
    proxy.move_discovery(elsewhere.address);
    proxy.signal("HUP");
    let _silent = hold(&elsewhere, 64);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 503);
    let _hold = tell(&elsewhere, &[endpoint_json("b1", new.address, "SERVING")], None);
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    assert_eq!(old.request_count(), 1);
}

/// That holds from the program's first moment, however long it takes to start: here its configuration comes late, by a
/// pipe.
#[test]
fn cached_list_expires_at_once_when_the_start_took_the_grace() {
    let (backend, discovery) = (BackendServer::start(|_| ok_reply("x")), DiscoveryServer::start());
    let path = std::env::temp_dir().join(format!("shaletide-proxy-{}.json", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut child = program_command(None).env("NODE_CONFIG", &path).spawn().unwrap();
    let mut pipe = std::fs::File::create(&path).unwrap(); // it has opened it, too
    std::thread::sleep(Duration::from_secs(1)); // what has to pass is time itself
    let known = endpoint_list_json(4, true, &[endpoint_json("b0", backend.address, "SERVING")]);
    let door = RefusingPort::new();
    let text = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":1,"known":{known},"settings":{}}}"#,
        door.address(),
        discovery.address,
        granting(Some(1_000_000))
    );
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("listens on ")));
    let status = Client::connect(door.address()).request(&pay_request(0.4)).status();
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!((status, backend.request_count()), (503, 0));
}

/// Where a call is dear: each that fails is followed by a pause, which the module draws and which doubles. So it is with
/// the first call, before which the module has asked for one too, and with changes in answer to a call for the whole list.
#[test]
fn polled_discovery_gets_backoff_after_each_failure() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let (down, odd) = (0, 1);
    let change = endpoint_list_json(9, false, &[endpoint_json("b0", backend.address, "SERVING")]);
    let answers = [(503, String::new()), (200, change)];
    for row in [[down, down, odd, odd], [odd, odd, down, odd]] {
        let proxy = Proxy::start_with_settings(&[], 1024, &asking());
        let mut call = proxy.discovery.next_call();
        assert_eq!(proxy.request(&read_request(0.3)).status(), 503, "by now the module has asked");
        for (n, answer) in row.into_iter().enumerate() {
            let (target, to) = call;
            assert_eq!(target, "GET /api/targets HTTP/1.1");
            let at = Instant::now();
            to.send(answers[answer].clone()).unwrap();
            call = proxy.discovery.next_call();
            assert!(at.elapsed() >= Duration::from_millis(50 << n), "{row:?} {n}: {:?}", at.elapsed());
        }
    }
}

/// A discovery that does not know a version any more, or never did, is asked for the whole list.
#[test]
fn rejected_call_is_followed_by_one_for_a_snapshot() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let boxes = [endpoint_json("b0", backend.address, "SERVING")];
    for settings in [asking(), granting(Some(10_000_000))] {
        for refusal in [400, 404, 302] {
            let proxy = Proxy::start_with_settings(&boxes, 1024, &settings);
            let (_, answer) = tell(&proxy.discovery, &boxes, None);
            let _ = answer.send((refusal, String::new()));
            assert_eq!(proxy.discovery.next_call().0, "GET /api/targets HTTP/1.1", "{refusal}");
        }
    }
}

/// One that goes back to an earlier version each time, say two that take turns, is not asked as fast as it answers.
#[test]
fn discovery_whose_index_goes_back_is_polled_with_pauses() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let boxes = [endpoint_json("b0", backend.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&boxes, 1024, &granting(Some(2_000_000)));
    let at = Instant::now();
    let mut back = 0;
    while back < 10 {
        let (target, answer) = proxy.discovery.next_call();
        let whole = target == "GET /api/targets HTTP/1.1";
        back += u32::from(!whole);
        let _ = answer.send((
            200,
            if whole { endpoint_list_json(9, true, &boxes) } else { endpoint_list_json(3, false, &[]) },
        ));
    }
    let (target, _hold) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    assert!(at.elapsed() >= Duration::from_millis(10 * 40), "{:?}", at.elapsed());
}

/// Settings by which discovery is asked.
fn asking() -> String {
    SETTINGS.replace("\"automatic\"", "\"subscribe\"")
}

/// Settings that allow so many microseconds for the news of a drain.
fn granting(grace: Option<u64>) -> String {
    let rule = grace.map(|us| format!("\"rules\":{{\"stop_sending_within_us\":{us},"));
    rule.map_or(SETTINGS.into(), |rule| SETTINGS.replace("\"rules\":{", &rule))
}

#[test]
fn unusual_requests_get_their_own_responses() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = one(&backend);
    let long = 64 * 1024 + 1;
    let body = "y".repeat(long);
    let cases = [
        (404, "GET /none/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (404, "GET / HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (404, "GET /-/load HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
        (400, "GET /read/k\r\nwhat\r\n\r\n".to_string()),
        (400, "GET /read/k HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
        (405, "GET /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n\r\n".to_string()),
        (400, "POST /vote/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 0\r\n\r\n".to_string()),
        (
            413,
            format!(
                "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: {long}\r\n\r\n{body}"
            ),
        ),
        (200, "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n".to_string()),
    ];
    for (status, request) in cases {
        let mut client = proxy.client();
        // The proxy may answer and close before it has read all of it.
        let _ = client.0.get_mut().write_all(request.as_bytes());
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to {request:.80}"));
        assert_eq!(answer.status(), status, "{request:.80}");
    }
    assert_eq!(backend.request_count(), 0);
    for left in ["", "X-Time-Left: 1e300\r\n"] {
        let request = format!("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n{left}\r\n");
        assert_eq!(proxy.request(&request).status(), 200, "{left}");
        let told: f64 = backend.next_request().header("x-time-left").unwrap().parse().unwrap();
        assert!(told > 1.0 && told <= 3.0, "the class's deadline: {told}");
    }
}

#[test]
fn missing_or_invalid_configuration_ends_the_program_with_a_message() {
    let sound = r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"zz","settings":{}}"#;
    for (config, expected) in
        [(None, "NODE_CONFIG is not set"), (Some("{}"), "name"), (Some(sound), "settings")]
    {
        let out = program_command(config).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{config:?}");
        assert!(text.contains(expected) && !text.contains("panicked"), "{config:?}: {text}");
    }
}

/// More clients than descriptors allow: the idle make way, and nobody is rejected or crashes it.
#[test]
fn idle_connections_are_evicted_at_the_limit() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_settings(&[endpoint_json("b0", backend.address, "SERVING")], 80, SETTINGS);
    let mut idle: Vec<Client> = (0..8)
        .map(|_| {
            let mut client = proxy.client();
            assert_eq!(client.request(&read_request(3.0)).status(), 200);
            client
        })
        .collect();
    for _ in 0..100 {
        let mut client = proxy.client();
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        idle.push(client);
    }
    assert!(idle[0].is_closed(), "the one that was idle longest went first");
}

/// A machine that was cut off leaves its connections open: none that was idle meanwhile is trusted again.
#[test]
fn idle_connections_to_silent_backend_are_closed() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| match n {
        0 | 1 => Reply::Gate(wait.clone()),
        2 => Reply::Silence,
        _ => ok_reply("x"),
    });
    let proxy = one(&backend);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    for client in [&mut first, &mut second] {
        client.send(&read_request(3.0));
        backend.next_request();
    }
    gate.open();
    for client in [&mut first, &mut second] {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    assert_eq!(backend.connections.load(SeqCst), 2, "both are idle now");
    std::thread::sleep(Duration::from_millis(40)); // and known to be quiet
    assert_eq!(proxy.request(&read_request(0.3)).status(), 503);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    assert_eq!(backend.connections.load(SeqCst), 3, "a new one, though one was left");
}

/// The kernel may run out of descriptors before the bound is reached: then too the idle make way.
#[test]
fn descriptor_exhaustion_ends_nothing() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_descriptor_limit(
        &[endpoint_json("b0", backend.address, "SERVING")],
        1024,
        SETTINGS,
        40,
    );
    let mut idle = Vec::new();
    for _ in 0..60 {
        let mut client = proxy.client();
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        idle.push(client);
    }
    assert!(idle[0].is_closed());
}

/// And there what was taken is answered, though connections to backends cannot be had at times either; so is each request
/// that waits in the queue until there is a descriptor for its client.
#[test]
fn accepted_requests_are_answered_when_descriptors_run_out() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    for descriptors in [40, 100] {
        let known = [endpoint_json("b0", backend.address, "SERVING")];
        let proxy = Proxy::start_with_descriptor_limit(&known, 1024, SETTINGS, descriptors);
        let asking = |n: u32| {
            let mut client = proxy.client();
            client.send(&if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) });
            client
        };
        // None leaves before all have asked: whoever was answered makes way.
        let mut clients: Vec<Client> = (0..300).map(asking).collect();
        let answers: Vec<Option<u16>> = clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect();
        let none = answers.iter().filter(|answer| answer.is_none()).count();
        assert_eq!(none, 0, "no answer to so many of {}", answers.len());
        println!("{} served of {}", answers.iter().filter(|a| **a == Some(200)).count(), answers.len());
    }
}

/// Where every connection holds half of a head, none is idle: after a while they make way all the same.
#[test]
fn endless_heads_do_not_block_other_clients() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_settings(&[endpoint_json("b0", backend.address, "SERVING")], 80, SETTINGS);
    let mut slow: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = proxy.client();
            client.send("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr");
            client
        })
        .collect();
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    assert!(slow[0].is_closed());
}

/// On SIGTERM what is under way is answered, and so is what comes while clients do not know of it yet.
#[test]
fn graceful_shutdown_answers_all_requests_and_exits() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend =
        BackendServer::start(move |n| if n == 0 { Reply::Gate(wait.clone()) } else { ok_reply("late") });
    let mut proxy = one(&backend);
    let (mut busy, mut kept, mut idle) = (proxy.client(), proxy.client(), proxy.client());
    for client in [&mut kept, &mut idle] {
        assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
    // A kept connection stays where the next request on it has begun to come.
    let next = pay_request(2.0);
    kept.send(&next[..20]);
    busy.send(&pay_request(3.0));
    backend.next_request();
    proxy.signal("TERM");
    // Until the signal has arrived there is nothing to see of it: the first answer that says so shows it.
    loop {
        let answer = proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assert_eq!(answer.status(), 200, "connections are still accepted");
        if answer.header("connection") == Some("close") {
            break;
        }
    }
    assert!(idle.is_closed(), "an idle connection is closed");
    for (client, request) in [(&mut kept, &next[20..]), (&mut proxy.client(), &pay_request(2.0))] {
        let answer = client.request(request);
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    gate.open();
    assert_eq!(busy.answer().expect("the answer that was owed").body, b"gated");
    assert!(busy.is_closed());
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn keyed_requests_are_retried_under_the_same_key() {
    let ((bad, switch), good) = (turning(|| Reply::Reset), BackendServer::start(|_| ok_reply("counted")));
    let proxy = two(&bad, &good);
    warm_up(&proxy);
    while bad.events.try_recv().is_ok() || good.events.try_recv().is_ok() {}
    switch.store(true, SeqCst);
    let before = bad.request_count();
    for sent in 0.. {
        assert!(sent < 100, "the draw never met it");
        assert_eq!(proxy.request(&vote_request(3.0)).status(), 200);
        let served = good.next_request();
        if bad.request_count() > before {
            let reset = bad.next_request();
            assert_eq!(reset.header("idempotency-key"), served.header("idempotency-key"));
            assert_eq!(reset.header("x-correlation-id"), served.header("x-correlation-id"));
            return;
        }
    }
}
