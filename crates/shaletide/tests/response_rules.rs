//! Over sockets: the response that a client gets for each response of the backends, by the class and the route of the
//! request, and the number of attempts.

mod harness;

use harness::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

const PROOF_HEADER: &str = "X-Unprocessed";
const CLASSES_BY_EFFECT: [(&str, &str); 3] = [("safe", "read"), ("keyed", "settle"), ("unsafe", "pay")];
const ANSWERS: [(u16, bool); 16] = [
    (200, false),
    (201, false),
    (204, false),
    (302, false),
    (304, false),
    (404, false),
    (422, false),
    (429, false),
    (500, false),
    (502, false),
    (503, false),
    (504, false),
    (503, true),
    (504, true),
    (429, true),
    (404, true),
];

/// The effect, the class, the status of the backend's response, and whether the response proves that the request was not
/// executed.
type Case = (&'static str, &'static str, u16, bool);

/// Returns the response that the client must get and the number of requests that the backends must get. There are two
/// backends of one deduplication group that both respond like that, and three attempts are allowed. The rule is stated here
/// independently of the program.
fn expected(effect: &str, status: u16, proof: bool, own_responses: bool) -> (String, usize) {
    let served = !proof && ![429, 500, 502, 503, 504].contains(&status);
    if served {
        return (status.to_string(), 1);
    }
    let safe = effect == "safe";
    let attempts = if effect == "unsafe" && !proof { 1 } else { 2 };
    let harmless = proof || safe;
    let received = match (own_responses, harmless) {
        (true, true) => "503 of the proxy".to_string(),
        (true, false) => "502 of the proxy".to_string(),
        (false, true) if safe || matches!(status, 429 | 503) => status.to_string(),
        (false, true) => "503 of the proxy".to_string(), // a 404 or 504 would not show that a repeat is harmless
        (false, false) if matches!(status, 429 | 503) => "502 of the proxy".to_string(),
        (false, false) => status.to_string(),
    };
    (received, attempts)
}

/// Runs all cases with one program. Each case has a pool of two backends of its own, so that no case finds backends that
/// another one has caused to be ejected.
fn outcomes(cases: &[Case], own_responses: bool) -> Vec<(String, usize)> {
    let capacity = CpuCapacity::warm(4, 1.0);
    let specs =
        (0..=cases.len()).flat_map(|n| [0, 1].map(|b| BackendSpec::new(&format!("b{n}-{b}"), capacity)));
    let fleet = Fleet::start(specs.collect()).expect("a fleet");
    let backends_of_case = |n: usize| &fleet.backends()[2 * n..2 * n + 2];
    let (mut text, mut routes) = (String::from(CLASSES), String::new());
    for n in 0..=cases.len() {
        let backends_with_groups: Vec<(SocketAddr, &str)> =
            backends_of_case(n).iter().map(|b| (b.address, "1")).collect();
        text += &pool(&format!("p{n}"), &backends_with_groups);
        let errors = if own_responses { "errors = \"own_words\"" } else { "errors = \"as_they_are\"" };
        let proof = match cases.get(n) {
            Some((_, _, status, true)) => {
                format!(", never_ran = [{{ status = {status}, header = \"{PROOF_HEADER}\", value = \"1\" }}]")
            }
            _ => String::new(),
        };
        let when =
            format!("header = {{ name = \"X-Case\", value = \"{n}\" }}\nanswers = {{ {errors}{proof} }}");
        routes += &route(&format!("r{n}"), &when, &[&format!("p{n}")]);
    }
    let proxy = program().serve(&(text + &routes));
    let mut client = proxy.client();
    let valid_case = format!("X-Case: {}\r\n", cases.len());
    let outcome = |(n, (_, class, status, proof)): (usize, &Case)| {
        let answer =
            Answer::status(*status).with("X-Box", "1").with("Location", "/elsewhere").body("of the box\n");
        let answer = if *proof { answer.with(PROOF_HEADER, "1") } else { answer };
        for b in backends_of_case(n) {
            b.set_fault(Fault::Answer(answer.clone()));
        }
        for _ in 0..12 {
            assert_eq!(client.request(&request("/read/k", 3.0, &valid_case)).status(), 200);
        }
        let received = client.request(&request(&format!("/{class}/k"), 3.0, &format!("X-Case: {n}\r\n")));
        let of_backend = received.header("x-box").is_some();
        if of_backend {
            let body: &[u8] = if matches!(status, 204 | 304) { b"" } else { b"of the box\n" };
            assert_eq!((&received.body[..], received.header("location")), (body, Some("/elsewhere")));
        }
        let attempts_seen = backends_of_case(n).iter().map(|b| b.stats().requests).sum::<u64>() as usize;
        (format!("{}{}", received.status(), if of_backend { "" } else { " of the proxy" }), attempts_seen)
    };
    cases.iter().enumerate().map(outcome).collect()
}

#[test]
fn responses_and_attempts_by_class_and_route() {
    let cases: Vec<Case> = CLASSES_BY_EFFECT
        .iter()
        .flat_map(|(effect, class)| ANSWERS.map(|(status, proof)| (*effect, *class, status, proof)))
        .collect();
    let (as_they_are, own_responses) = std::thread::scope(|scope| {
        let is_own_response = scope.spawn(|| outcomes(&cases, true));
        (
            outcomes(&cases, false),
            is_own_response.join().expect("the outcomes with the proxy's own error responses"),
        )
    });
    let mut table = String::from(
        "| Class | A box answers | The client gets | In own words | Boxes see it |\n|---|---|---|---|---|\n",
    );
    let mut differences = Vec::new();
    for (n, (effect, _, status, proof)) in cases.iter().enumerate() {
        let proof_text = if *proof { ", which proves that it never ran" } else { "" };
        let (received, is_own_response) = (&as_they_are[n], &own_responses[n]);
        let times = if received.1 == 1 { "once" } else { "twice" };
        table += &format!(
            "| {effect} | {status}{proof_text} | {} | {} | {times} |\n",
            received.0, is_own_response.0
        );
        for (own_responses, found) in [(false, received), (true, is_own_response)] {
            if *found != expected(effect, *status, *proof, own_responses) {
                differences
                    .push(format!("{effect} {status}{proof_text}, in own words {own_responses}: {found:?}"));
            }
        }
    }
    println!("{table}");
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

/// The replies to the first two requests that reach either backend.
type Responses = [fn() -> Reply; 2];

/// Starts two backends of one deduplication group. They give these replies once the test has set the returned count of their
/// requests to zero.
fn backends_with_replies(replies: Responses) -> ([BackendServer; 2], Arc<AtomicU32>) {
    let requests_since_switch = Arc::new(AtomicU32::new(u32::MAX / 2));
    let start_backend = || {
        let requests_since_switch = requests_since_switch.clone();
        BackendServer::start(move |_| match requests_since_switch.fetch_add(1, SeqCst) {
            n @ (0 | 1) => replies[n as usize](),
            _ => ok_reply("x"),
        })
    };
    ([start_backend(), start_backend()], requests_since_switch)
}

/// The client gets the response of the last attempt or the proxy's own: an earlier attempt's response does not show what
/// became of the request later.
#[test]
fn earlier_attempts_response_is_not_returned_after_a_later_error() {
    let server_error = || Reply::Answer(500, "", "first".into());
    let full = || Reply::Answer(503, "X-Unprocessed: 1", "full".into());
    let cases: [(&str, Responses, &str, u32); 6] = [
        ("/read/k", [server_error, || Reply::Reset], "503 refused\n", 2),
        ("/settle/k", [server_error, || Reply::Reset], "502 failed\n", 2),
        // The second attempt was not executed, but the first one may have executed.
        ("/settle/k", [server_error, full], "502 failed\n", 2),
        ("/read/k", [server_error, full], "503 full", 2),
        ("/settle/k", [full, server_error], "500 first", 2),
        ("/pay/k", [full, server_error], "500 first", 2),
    ];
    for (path, replies, expected, attempts_seen) in cases {
        let ([a, b], requests_since_switch) = backends_with_replies(replies);
        let answers = "[answers]\nnever_ran = [{ status = 503, header = \"X-Unprocessed\" }]\n";
        let backends_with_groups = [(a.address, "1"), (b.address, "1")];
        let proxy = program().serve(&(answers.to_string() + CLASSES + &pool("p", &backends_with_groups)));
        let mut client = proxy.client();
        fill_retry_budget(&mut client, "/read/k");
        requests_since_switch.store(0, SeqCst);
        let answer = client.request(&request(path, 3.0, ""));
        let received = format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body));
        assert_eq!(
            (received.as_str(), requests_since_switch.load(SeqCst)),
            (expected, attempts_seen),
            "{path}"
        );
    }
}

/// The same holds if the last attempt is still in flight at the client's deadline.
#[test]
fn earlier_attempts_response_is_not_returned_after_a_timeout() {
    for path in ["/read/k", "/settle/k"] {
        let ([a, b], requests_since_switch) =
            backends_with_replies([|| Reply::Answer(500, "", "first".into()), || Reply::Silence]);
        let backends_with_groups = [(a.address, "1"), (b.address, "1")];
        let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &backends_with_groups)));
        let mut client = proxy.client();
        fill_retry_budget(&mut client, "/read/k");
        requests_since_switch.store(0, SeqCst);
        let answer = client.request(&request(path, 0.6, ""));
        let is_own_response = matches!(&answer.body[..], b"refused\n" | b"failed\n" | b"timed out\n");
        assert!(is_own_response && answer.status() != 500, "{path}: {answer:?}");
        assert_eq!(requests_since_switch.load(SeqCst), 2, "{path}");
    }
}

fn raw(status: u16, more: &str, body: &str) -> Reply {
    Reply::Pieces(vec![format!("HTTP/1.1 {status} X\r\n{more}\r\n{body}")])
}

/// With one connection on either side: a `Content-Length` of a response without a body is not taken for a body, and the next
/// bytes are the response to the next request.
#[test]
fn responses_without_body_keep_connections_usable() {
    let backend = BackendServer::start(|n| match n % 5 {
        0 => raw(204, "", ""),
        1 => raw(304, "ETag: \"7\"\r\nContent-Length: 9\r\n", ""),
        2 => raw(200, "Content-Length: 11\r\n", ""), // to a HEAD
        3 => raw(404, "Content-Length: 5\r\n", ""),  // to a HEAD
        _ => ok_reply("whole"),
    });
    let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &[(backend.address, "1")])));
    let mut client = proxy.client();
    let head = || request("/read/k", 3.0, "").replace("GET ", "HEAD ");
    for _ in 0..4 {
        let answer = client.request(&request("/pay/k", 3.0, ""));
        assert_eq!((answer.status(), answer.header("content-length")), (204, None));
        let answer = client.request(&request("/read/k", 3.0, ""));
        assert_eq!((answer.status(), answer.header("etag")), (304, Some("\"7\"")));
        for (status, length) in [(200, "11"), (404, "5")] {
            client.send(&head());
            let answer = Message::read_head(&mut client.0).expect("an answer");
            assert_eq!((answer.status(), answer.header("content-length")), (status, Some(length)));
        }
        let answer = client.request(&request("/read/k", 3.0, ""));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"whole"[..]));
        // A connection is reused only after a short time without excess bytes.
        std::thread::sleep(Duration::from_millis(40));
    }
    assert_eq!(backend.request_count(), 20);
}

/// A response whose status is in a route's `served` list is passed on after one attempt. Any other status is an error of that
/// pool, and a safe request is retried at the next one.
#[test]
fn each_route_classifies_responses_by_its_own_rules() {
    let backends: HashMap<u16, BackendServer> = [404, 500, 504]
        .into_iter()
        .map(|status| (status, BackendServer::start(move |_| Reply::Answer(status, "", "so".into()))))
        .collect();
    let good = BackendServer::start(|_| ok_reply("x"));
    let mut text = CLASSES.to_string() + &pool("good", &[(good.address, "1")]);
    let mut routes = String::new();
    for (status, backend) in &backends {
        text += &pool(&format!("p{status}"), &[(backend.address, "1")]);
        for (kind, answers) in [("all", "[\"200-428\", \"430-502\", \"504-599\"]"), ("few", "[\"200-299\"]")]
        {
            let when = format!("header = {{ name = \"X-Case\", value = \"{status}-{kind}\" }}\nanswers = {{ served = {answers} }}");
            routes += &route(&format!("r{status}{kind}"), &when, &[&format!("p{status}"), "good"]);
        }
    }
    let proxy = program().serve(&(text + &routes + &route("rest", "", &["good"])));
    let mut client = proxy.client();
    for (status, backend) in &backends {
        for class in ["read", "settle", "pay"] {
            fill_retry_budget(&mut client, "/read/k");
            let mut request_of_kind = |kind| {
                let before = backend.request_count();
                let answer = client.request(&request(
                    &format!("/{class}/k"),
                    3.0,
                    &format!("X-Case: {status}-{kind}\r\n"),
                ));
                (answer.status(), backend.request_count() - before)
            };
            assert_eq!(request_of_kind("all"), (*status, 1), "{class} {status}");
            let expected = if class == "read" { 200 } else { *status };
            assert_eq!(request_of_kind("few"), (expected, 1), "{class} {status}");
        }
    }
}
