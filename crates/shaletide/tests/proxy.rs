//! End-to-end tests of the program on loopback sockets, with misbehaving backends, clients and discovery services.

mod harness;

use harness::*;
use std::io::{BufRead, BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn proxy_with_two_backends(a: &BackendServer, b: &BackendServer) -> Proxy {
    Proxy::start(&[endpoint_json("b0", a.address, "SERVING"), endpoint_json("b1", b.address, "SERVING")])
}

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let backend = BackendServer::start(|_| Reply::Answer(200, "Content-Type: text/x", "the body".into()));
    let proxy = proxy_with_one_backend(&backend);
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

/// Sends enough requests that the retry budget allows several further attempts.
fn accrue_retry_budget(proxy: &Proxy) {
    let mut client = proxy.client();
    for _ in 0..25 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
}

/// Starts a backend that serves requests until the returned switch is set, and then replies as `to` does.
fn switchable_backend(to: impl Fn() -> Reply + Send + Sync + 'static) -> (BackendServer, Arc<AtomicBool>) {
    let switch = Arc::new(AtomicBool::new(false));
    let switched = switch.clone();
    let reply = move |_| if switched.load(SeqCst) { to() } else { ok_reply("x") };
    (BackendServer::start(reply), switch)
}

/// For each outcome after which an unsafe request may have executed: it is not retried, and the response does not say that
/// a repeat is harmless.
#[test]
fn unsafe_request_that_may_have_run_is_not_retried() {
    type Make = fn() -> Reply;
    let cases: [(&str, Make, f64); 7] = [
        ("500", || Reply::Answer(500, "", "oops".into()), 3.0),
        ("reset", || Reply::Reset, 3.0),
        ("silence", || Reply::Silence, 0.3),
        ("unlisted", || Reply::Answer(404, "", String::new()), 3.0),
        ("503 without the header", || Reply::Answer(503, "", String::new()), 3.0),
        ("the header on another status", || Reply::Answer(500, "X-Unprocessed: 1", String::new()), 3.0),
        ("too long", || ok_reply(&"x".repeat(64 * 1024 + 1)), 3.0),
    ];
    for (case, reply, left) in cases {
        let ((a, first), (b, second)) = (switchable_backend(reply), switchable_backend(reply));
        let proxy = proxy_with_two_backends(&a, &b);
        accrue_retry_budget(&proxy);
        let before = a.request_count() + b.request_count();
        first.store(true, SeqCst);
        second.store(true, SeqCst);
        let status = proxy.request(&pay_request(left)).status();
        assert!(status == 502 || status == 504, "{case}: {status}");
        assert_eq!(a.request_count() + b.request_count(), before + 1, "{case}");
    }
}

/// For each outcome that proves that a request was not executed: even an unsafe request is retried at another backend.
#[test]
fn unsafe_request_that_was_not_executed_is_retried_elsewhere() {
    for status in [503, 504] {
        let rejecting = move || Reply::Answer(status, "X-Unprocessed: 1", String::new());
        let ((rejecting, switch), good) =
            (switchable_backend(rejecting), BackendServer::start(|_| ok_reply("paid")));
        let proxy = proxy_with_two_backends(&rejecting, &good);
        accrue_retry_budget(&proxy);
        switch.store(true, SeqCst);
        let (rejecting_before, good_before) = (rejecting.request_count(), good.request_count());
        let mut sent = 0;
        while rejecting.request_count() == rejecting_before {
            assert!(sent < 100, "selection never picked the failing backend");
            assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
            sent += 1;
        }
        assert_eq!(good.request_count() - good_before, sent, "each request was served once");
    }
}

/// A request whose connection was refused was not executed either. The refusals cannot be observed, so the test sends
/// enough requests that selection picks the refusing address.
#[test]
fn unsafe_request_is_retried_elsewhere_after_connection_refused() {
    let (refusing, good) = (RefusingPort::new(), BackendServer::start(|_| ok_reply("paid")));
    let proxy = proxy_with_one_backend(&good);
    accrue_retry_budget(&proxy);
    let (_, answer) = proxy.discovery.next_call();
    let both =
        [endpoint_json("b0", good.address, "SERVING"), endpoint_json("b1", refusing.address(), "SERVING")];
    answer.send((200, endpoint_list_json(9, true, &both))).unwrap();
    let _pending = proxy.discovery.next_call(); // the next call shows that the list has been applied
    let before = good.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    }
    assert_eq!(good.request_count() - before, 30);
}

/// A request that is given up is answered at once, not at its deadline, and the response carries Retry-After.
#[test]
fn rejection_is_immediate_with_retry_after() {
    let rejecting = BackendServer::start(|_| Reply::Answer(503, "X-Unprocessed: 1", String::new()));
    let proxy = proxy_with_one_backend(&rejecting);
    for request in [pay_request(3.0), read_request(3.0)] {
        let answer = proxy.request(&request);
        assert_eq!(answer.status(), 503);
        let advice: f64 =
            answer.header("retry-after").expect("a Retry-After header").parse().expect("a number");
        assert!(advice > 0.0 && advice <= 2.0, "{advice}");
    }
}

#[test]
fn request_to_silent_backend_is_answered_before_the_deadline() {
    let backend = BackendServer::start(|_| Reply::Silence);
    let proxy = proxy_with_one_backend(&backend);
    let begun = std::time::Instant::now();
    let status = proxy.request(&pay_request(0.6)).status();
    assert!(status == 502 || status == 504, "{status}");
    assert!(begun.elapsed() < Duration::from_secs(3), "the client's deadline applies, not the class's");
    backend.wait_closed(); // the attempt is cancelled with the request
    assert_eq!(proxy.request(&read_request(0.3)).status(), 503, "a safe request is harmless to repeat");
}

#[test]
fn attempt_is_cancelled_when_client_disconnects() {
    let backend = BackendServer::start(|_| Reply::Silence);
    let proxy = proxy_with_one_backend(&backend);
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
    let proxy = proxy_with_one_backend(&backend);
    let mut client = proxy.client();
    for _ in 0..10 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        // A connection is reused only after a short time without excess bytes.
        std::thread::sleep(Duration::from_millis(40));
    }
    assert_eq!(backend.connections.load(SeqCst), 1);
}

/// A backend may close an idle connection at any time: a request written to it then would fail with a reset.
#[test]
fn connection_closed_by_backend_is_not_reused() {
    let backend = BackendServer::start(|_| Reply::AnswerAndClose(200, "x".into()));
    let proxy = proxy_with_one_backend(&backend);
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
    let proxy = proxy_with_one_backend(&old);
    assert_eq!(proxy.request(&read_request(3.0)).body, b"old");
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    let bad = r#"{"name":7},{"name":"x","address":"nowhere","status":"SERVING"}"#.to_string();
    let unusable = endpoint_json("b9", old.address, "RESTING");
    answer
        .send((
            200,
            endpoint_list_json(9, true, &[bad, unusable, endpoint_json("b0", old.address, "SERVING")]),
        ))
        .unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.starts_with("GET /api/targets?after=9&wait_ms="), "{target}");
    let change = [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
    answer.send((200, endpoint_list_json(10, false, &change))).unwrap();
    let (target, answer) = proxy.discovery.next_call(); // the next call shows that the change has been applied
    assert!(target.contains("after=10&"), "{target}");
    for _ in 0..8 {
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"new", "a draining backend gets no new requests");
    }
    answer.send((503, String::new())).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "a failed call is repeated: {target}");
    answer.send((200, "no list".into())).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("after=10&"), "a call with an invalid answer is repeated: {target}");
    drop(answer); // the connection breaks
    let (_, answer) = proxy.discovery.next_call();
    answer.send((200, endpoint_list_json(3, false, &[]))).unwrap();
    let (target, answer) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1", "a gap is followed by a call for a snapshot");
    answer.send((200, endpoint_list_json(3, true, &[endpoint_json("b0", old.address, "SERVING")]))).unwrap();
    let (target, _pending) = proxy.discovery.next_call();
    assert!(target.contains("after=3&"), "{target}");
    assert_eq!(
        proxy.request(&pay_request(3.0)).body,
        b"old",
        "a backend that the snapshot does not list is removed"
    );
    assert_eq!(old.request_count(), 2);
}

/// A call that was in flight when the agent fell silent is never answered. The proxy calls again soon, without a wait.
/// The time-out of a call follows from the time within which requests to a draining backend must stop.
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
            &settings_with_grace(grace),
        );
        let snapshot = [endpoint_json("b0", old.address, "SERVING")];
        let (target, _silent) = answer_until_applied(&proxy.discovery, &snapshot, None);
        let poll_target = |index| format!("GET /api/targets?after={index}&wait_ms={wait} HTTP/1.1");
        assert_eq!(target, poll_target(9), "a call waits for a short time only");
        let (target, answer) = proxy.discovery.next_call();
        assert_eq!(
            target, "GET /api/targets?after=9&wait_ms=0 HTTP/1.1",
            "this call returns at once if the agent answers again"
        );
        let change =
            [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
        let _ = answer.send((200, endpoint_list_json(10, false, &change)));
        let (target, _pending) = answer_until_applied(&proxy.discovery, &snapshot, Some(&change));
        assert_eq!(target, poll_target(10));
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    }
}

/// A subscribed discovery answers calls in order: a call queued behind those of other proxies is answered late, and a
/// call that replaced it would be queued behind it.
#[test]
fn call_queued_at_discovery_is_not_abandoned() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let snapshot = [endpoint_json("b0", old.address, "SERVING")];
    let settings = settings_with_grace(Some(150_000)).replace("\"automatic\"", "\"subscribe\"");
    let proxy = Proxy::start_with_settings(&snapshot, 1024, &settings);
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.contains("&wait_ms=0 "), "the first call after the snapshot does not wait: {target}");
    std::thread::sleep(std::time::Duration::from_millis(1600)); // the time that the call is queued
    let change = [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
    let _ = answer.send((200, endpoint_list_json(10, false, &change)));
    let (target, _pending) = proxy.discovery.next_call(); // the next call shows that the change has been applied
    assert!(
        target.contains("after=10&") && !target.contains("&wait_ms=0 "),
        "one call got the change: {target}"
    );
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
}

/// A request whose connection is not yet established when its backend begins to drain is sent to another backend at once;
/// so is a later request.
#[test]
fn drain_moves_requests_that_wait_for_a_connection() {
    let (full_backlog, good) = (FullBacklogListener::new(), BackendServer::start(|_| ok_reply("x")));
    let settings = SETTINGS
        .replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":60000000")
        .replace("3000000", "30000000");
    let known = [endpoint_json("b0", full_backlog.address(), "SERVING")];
    let proxy = Proxy::start_with_settings(&known, 1024, &settings);
    let (_, answer) = answer_until_applied(&proxy.discovery, &known, None);
    let mut client = proxy.client();
    client.send(&pay_request(30.0));
    // The request above has been read once this one is answered.
    assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    let change = [
        endpoint_json("b0", full_backlog.address(), "DRAINING"),
        endpoint_json("b1", good.address, "SERVING"),
    ];
    let _ = answer.send((200, endpoint_list_json(10, false, &change)));
    let _pending = answer_until_applied(&proxy.discovery, &known, Some(&change));
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    assert_eq!(good.request_count(), 2);
}

/// An invalid field of a list entry hides neither the drain that the entry reports nor the other entries.
#[test]
fn invalid_list_entry_does_not_hide_a_drain() {
    let invalid_fields = [
        ("\"since_ms\":0", "\"since_ms\":1e999"),
        ("\"zone\":\"east\"", "\"zone\":7"),
        ("127.0.0.1", "here"),
    ];
    for (good, bad) in invalid_fields {
        let backends = [(); 3].map(|()| BackendServer::start(|_| ok_reply("x")));
        let entries =
            |status| [0, 1, 2].map(|n: usize| endpoint_json(&format!("b{n}"), backends[n].address, status));
        let proxy = Proxy::start(&entries("SERVING"));
        let (_, answer) = answer_until_applied(&proxy.discovery, &entries("SERVING"), None);
        let mut change = entries("DRAINING");
        change[0] = change[0].replace(good, bad);
        let _ = answer.send((200, endpoint_list_json(10, false, &change[..2])));
        let _pending = answer_until_applied(&proxy.discovery, &entries("SERVING"), Some(&change[..2]));
        for _ in 0..20 {
            assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
        }
        assert_eq!(backends.each_ref().map(|b| b.request_count()), [0, 0, 20], "{bad}");
    }
}

/// Receives `calls` calls and leaves them unanswered; each lasts at least as long as a call's time-out at a grace of 0.3 s.
fn leave_unanswered(discovery: &DiscoveryServer, calls: usize) -> Vec<impl Sized> {
    (0..calls).map(|_| discovery.next_call()).collect()
}

/// The target of a call and the sender for its answer.
type PendingCall = (String, std::sync::mpsc::Sender<(u16, String)>);

/// Answers calls until version 9 is applied, or version 10 if `change` is given, and returns the first call after that
/// unanswered. On a busy machine a call may have timed out before its answer; the proxy then calls again.
fn answer_until_applied(
    discovery: &DiscoveryServer, snapshot: &[String], change: Option<&[String]>,
) -> PendingCall {
    let applied = if change.is_some() { "after=10&" } else { "after=9&" };
    loop {
        let (target, answer) = discovery.next_call();
        if target.contains(applied) {
            return (target, answer);
        }
        let body = match change {
            Some(change) if target.contains("after=9&") => endpoint_list_json(10, false, change),
            _ => endpoint_list_json(9, true, snapshot),
        };
        let _ = answer.send((200, body));
    }
}

/// The list from before a restart is used for no longer than the grace, counted from the start of the process. Its backends
/// are used again as soon as the agent lists them.
#[test]
fn cached_list_expires_after_the_grace() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let known = [endpoint_json("b0", old.address, "SERVING"), endpoint_json("b1", new.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&known, 1024, &settings_with_grace(Some(300_000)));
    let silent = leave_unanswered(&proxy.discovery, 12);
    let before = old.request_count() + new.request_count();
    for request in [read_request(3.0), pay_request(3.0)] {
        assert_eq!(proxy.request(&request).status(), 503);
    }
    assert_eq!(old.request_count() + new.request_count(), before);
    let now = [endpoint_json("b0", old.address, "DRAINING"), endpoint_json("b1", new.address, "SERVING")];
    let _pending = answer_until_applied(&proxy.discovery, &now, None);
    for _ in 0..10 {
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    }
    drop(silent);
}

/// A list that the agent has sent since the start stays in use while the agent is silent.
#[test]
fn received_list_holds_while_the_agent_is_silent() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let backends = [endpoint_json("b0", backend.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&backends, 1024, &settings_with_grace(Some(300_000)));
    let _pending = answer_until_applied(&proxy.discovery, &backends, None);
    let _silent = leave_unanswered(&proxy.discovery, 12);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
}

/// A new discovery address is in force 4 s after the signal; the old discovery's list is used until the grace after that.
#[test]
fn list_of_old_discovery_expires_after_the_switch_to_a_new_one() {
    let (old, new) = (BackendServer::start(|_| ok_reply("old")), BackendServer::start(|_| ok_reply("new")));
    let backends = [endpoint_json("b0", old.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&backends, 1024, &settings_with_grace(Some(300_000)));
    let _old_call = answer_until_applied(&proxy.discovery, &backends, None);
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"old");
    let new_discovery = DiscoveryServer::start();
    proxy.move_discovery(new_discovery.address);
    proxy.signal("HUP");
    let _silent = leave_unanswered(&new_discovery, 64);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 503);
    let _pending = answer_until_applied(&new_discovery, &[endpoint_json("b1", new.address, "SERVING")], None);
    assert_eq!(proxy.request(&pay_request(3.0)).body, b"new");
    assert_eq!(old.request_count(), 1);
}

/// The grace counts from the start of the process, however long the start takes: here the configuration is a pipe that is
/// written late.
#[test]
fn cached_list_expires_at_once_after_a_start_longer_than_the_grace() {
    let (backend, discovery) = (BackendServer::start(|_| ok_reply("x")), DiscoveryServer::start());
    let path = std::env::temp_dir().join(format!("shaletide-proxy-{}.json", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut child = program_command(None).env("NODE_CONFIG", &path).spawn().unwrap();
    let mut pipe = std::fs::File::create(&path).unwrap(); // returns once the program has opened the pipe, too
    std::thread::sleep(Duration::from_secs(1)); // the grace has to pass; there is no event to wait for
    let known = endpoint_list_json(4, true, &[endpoint_json("b0", backend.address, "SERVING")]);
    let listener = RefusingPort::new();
    let text = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":1,"known":{known},"settings":{}}}"#,
        listener.address(),
        discovery.address,
        settings_with_grace(Some(1_000_000))
    );
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(log.any(|line| line.contains("listens on ")));
    let status = Client::connect(listener.address()).request(&pay_request(0.4)).status();
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!((status, backend.request_count()), (503, 0));
}

/// Each failed call to a polled discovery is followed by a random pause that doubles. This includes the first call, although
/// the engine has requested one by then, and calls for a snapshot that are answered with a delta.
#[test]
fn polled_discovery_gets_backoff_after_each_failure() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let (unavailable, unusable) = (0, 1);
    let change = endpoint_list_json(9, false, &[endpoint_json("b0", backend.address, "SERVING")]);
    let answers = [(503, String::new()), (200, change)];
    for row in [[unavailable, unavailable, unusable, unusable], [unusable, unusable, unavailable, unusable]] {
        let proxy = Proxy::start_with_settings(&[], 1024, &polled_settings());
        let mut call = proxy.discovery.next_call();
        assert_eq!(
            proxy.request(&read_request(0.3)).status(),
            503,
            "the engine has requested a call by then"
        );
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

/// A discovery that does not know the version of a call is called for a snapshot.
#[test]
fn rejected_call_is_followed_by_one_for_a_snapshot() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let backends = [endpoint_json("b0", backend.address, "SERVING")];
    for settings in [polled_settings(), settings_with_grace(Some(10_000_000))] {
        for refusal in [400, 404, 302] {
            let proxy = Proxy::start_with_settings(&backends, 1024, &settings);
            let (_, answer) = answer_until_applied(&proxy.discovery, &backends, None);
            let _ = answer.send((refusal, String::new()));
            assert_eq!(proxy.discovery.next_call().0, "GET /api/targets HTTP/1.1", "{refusal}");
        }
    }
}

/// A discovery that goes back to an earlier version each time, such as two servers behind one address, is not called as fast
/// as it answers.
#[test]
fn discovery_whose_index_goes_back_is_polled_with_pauses() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let backends = [endpoint_json("b0", backend.address, "SERVING")];
    let proxy = Proxy::start_with_settings(&backends, 1024, &settings_with_grace(Some(2_000_000)));
    let at = Instant::now();
    let mut regressions = 0;
    while regressions < 10 {
        let (target, answer) = proxy.discovery.next_call();
        let snapshot = target == "GET /api/targets HTTP/1.1";
        regressions += u32::from(!snapshot);
        let _ = answer.send((
            200,
            if snapshot { endpoint_list_json(9, true, &backends) } else { endpoint_list_json(3, false, &[]) },
        ));
    }
    let (target, _pending) = proxy.discovery.next_call();
    assert_eq!(target, "GET /api/targets HTTP/1.1");
    assert!(at.elapsed() >= Duration::from_millis(10 * 40), "{:?}", at.elapsed());
}

/// Returns settings with which discovery is subscribed to.
fn polled_settings() -> String {
    SETTINGS.replace("\"automatic\"", "\"subscribe\"")
}

/// Returns settings that allow `grace` microseconds until requests to a draining backend stop.
fn settings_with_grace(grace: Option<u64>) -> String {
    let rule = grace.map(|us| format!("\"rules\":{{\"stop_sending_within_us\":{us},"));
    rule.map_or(SETTINGS.into(), |rule| SETTINGS.replace("\"rules\":{", &rule))
}

#[test]
fn unusual_requests_get_their_own_responses() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = proxy_with_one_backend(&backend);
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
        // The proxy may answer and close before it has read the whole request.
        let _ = client.0.get_mut().write_all(request.as_bytes());
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to {request:.80}"));
        assert_eq!(answer.status(), status, "{request:.80}");
    }
    assert_eq!(backend.request_count(), 0);
    for left in ["", "X-Time-Left: 1e300\r\n"] {
        let request = format!("GET /read/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\n{left}\r\n");
        assert_eq!(proxy.request(&request).status(), 200, "{left}");
        let forwarded: f64 = backend.next_request().header("x-time-left").unwrap().parse().unwrap();
        assert!(forwarded > 1.0 && forwarded <= 3.0, "the class's deadline: {forwarded}");
    }
}

#[test]
fn missing_or_invalid_configuration_ends_the_program_with_a_message() {
    let incomplete =
        r#"{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"zz","settings":{}}"#;
    for (config, expected) in
        [(None, "NODE_CONFIG is not set"), (Some("{}"), "name"), (Some(incomplete), "settings")]
    {
        let out = program_command(config).output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{config:?}");
        assert!(text.contains(expected) && !text.contains("panicked"), "{config:?}: {text}");
    }
}

/// With more clients than the descriptors allow, idle connections are closed, no client is rejected, and the program goes
/// on.
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
    assert!(idle[0].is_closed(), "the connection that was idle longest is closed first");
}

/// The connections of a machine that was cut off stay open: none that was idle in the meantime is reused.
#[test]
fn idle_connections_to_silent_backend_are_closed() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend = BackendServer::start(move |n| match n {
        0 | 1 => Reply::Gate(wait.clone()),
        2 => Reply::Silence,
        _ => ok_reply("x"),
    });
    let proxy = proxy_with_one_backend(&backend);
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
    // A connection is reused only after a short time without excess bytes.
    std::thread::sleep(Duration::from_millis(40));
    assert_eq!(proxy.request(&read_request(0.3)).status(), 503);
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
    assert_eq!(backend.connections.load(SeqCst), 3, "a new connection, although an idle one was left");
}

/// The kernel may run out of descriptors before the configured bound is reached: idle connections are closed then, too.
#[test]
fn idle_connections_are_evicted_when_the_kernel_has_no_descriptor() {
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

/// When descriptors run out, accepted requests are answered, although connections to backends fail at times, too. So are
/// requests whose connections wait in the accept queue until there is a descriptor for them.
#[test]
fn accepted_requests_are_answered_when_descriptors_run_out() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    for descriptors in [40, 100] {
        let known = [endpoint_json("b0", backend.address, "SERVING")];
        let proxy = Proxy::start_with_descriptor_limit(&known, 1024, SETTINGS, descriptors);
        let send_nth = |n: u32| {
            let mut client = proxy.client();
            client.send(&if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) });
            client
        };
        // No client closes before all have sent their request: the proxy closes connections whose request is answered.
        let mut clients: Vec<Client> = (0..300).map(send_nth).collect();
        let answers: Vec<Option<u16>> = clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect();
        let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
        assert_eq!(unanswered, 0, "unanswered requests of {}", answers.len());
        println!("{} served of {}", answers.iter().filter(|a| **a == Some(200)).count(), answers.len());
    }
}

/// A connection with an incomplete head is not idle; such connections are closed all the same when others need the places.
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

/// After SIGTERM, requests in flight are answered, and so are requests that clients send before they notice the stop.
#[test]
fn graceful_shutdown_answers_all_requests_and_exits() {
    let gate = Arc::new(Gate::default());
    let wait = gate.clone();
    let backend =
        BackendServer::start(move |n| if n == 0 { Reply::Gate(wait.clone()) } else { ok_reply("late") });
    let mut proxy = proxy_with_one_backend(&backend);
    let (mut busy, mut kept, mut idle) = (proxy.client(), proxy.client(), proxy.client());
    for client in [&mut kept, &mut idle] {
        assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
    // A keep-alive connection stays open if the beginning of its next request has been received.
    let next = pay_request(2.0);
    kept.send(&next[..20]);
    busy.send(&pay_request(3.0));
    backend.next_request();
    proxy.signal("TERM");
    // The first answer with `Connection: close` shows that the signal has arrived.
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
    assert_eq!(busy.answer().expect("the answer to the request in flight").body, b"gated");
    assert!(busy.is_closed());
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn keyed_requests_are_retried_under_the_same_key() {
    let ((bad, switch), good) =
        (switchable_backend(|| Reply::Reset), BackendServer::start(|_| ok_reply("counted")));
    let proxy = proxy_with_two_backends(&bad, &good);
    accrue_retry_budget(&proxy);
    while bad.events.try_recv().is_ok() || good.events.try_recv().is_ok() {}
    switch.store(true, SeqCst);
    let before = bad.request_count();
    for sent in 0.. {
        assert!(sent < 100, "selection never picked the failing backend");
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
