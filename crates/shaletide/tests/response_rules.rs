//! What a client gets of what backends answer, by the class of its request and its route, over sockets; and how often
//! the backends saw it.

mod harness;

use harness::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

const PROOF: &str = "X-Unprocessed";
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

/// Effect, class, what a backend answers, and whether that proves that the request was not executed.
type Case = (&'static str, &'static str, u16, bool);

/// What a client has to get and how often the backends may see its request, in words of its own and not of the
/// program's: two backends of one bay, which both answer like that, and three attempts.
fn expected(effect: &str, status: u16, proof: bool, own_words: bool) -> (String, usize) {
    let served = !proof && ![429, 500, 502, 503, 504].contains(&status);
    if served {
        return (status.to_string(), 1);
    }
    let safe = effect == "safe";
    let attempts = if effect == "unsafe" && !proof { 1 } else { 2 };
    let harmless = proof || safe;
    let got = match (own_words, harmless) {
        (true, true) => "503 of the proxy".to_string(),
        (true, false) => "502 of the proxy".to_string(),
        (false, true) if safe || matches!(status, 429 | 503) => status.to_string(),
        (false, true) => "503 of the proxy".to_string(), // 404 or 504 would not say that coming again does no harm
        (false, false) if matches!(status, 429 | 503) => "502 of the proxy".to_string(),
        (false, false) => status.to_string(),
    };
    (got, attempts)
}

/// All cases by one program: a pool of two backends for each, so that none finds backends that another has made ill.
fn outcomes(cases: &[Case], own_words: bool) -> Vec<(String, usize)> {
    let power = CpuCapacity::warm(4, 1.0);
    let specs = (0..=cases.len()).flat_map(|n| [0, 1].map(|b| BackendSpec::new(&format!("b{n}-{b}"), power)));
    let fleet = Fleet::start(specs.collect()).expect("a fleet");
    let of = |n: usize| &fleet.backends()[2 * n..2 * n + 2];
    let (mut text, mut routes) = (String::from(CLASSES), String::new());
    for n in 0..=cases.len() {
        let boxes: Vec<(SocketAddr, &str)> = of(n).iter().map(|b| (b.address, "1")).collect();
        text += &pool(&format!("p{n}"), &boxes);
        let errors = if own_words { "errors = \"own_words\"" } else { "errors = \"as_they_are\"" };
        let proof = match cases.get(n) {
            Some((_, _, status, true)) => {
                format!(", never_ran = [{{ status = {status}, header = \"{PROOF}\", value = \"1\" }}]")
            }
            _ => String::new(),
        };
        let when =
            format!("header = {{ name = \"X-Case\", value = \"{n}\" }}\nanswers = {{ {errors}{proof} }}");
        routes += &route(&format!("r{n}"), &when, &[&format!("p{n}")]);
    }
    let proxy = program().serve(&(text + &routes));
    let mut client = proxy.client();
    let sound = format!("X-Case: {}\r\n", cases.len());
    let outcome = |(n, (_, class, status, proof)): (usize, &Case)| {
        let answer =
            Answer::status(*status).with("X-Box", "1").with("Location", "/elsewhere").body("of the box\n");
        let answer = if *proof { answer.with(PROOF, "1") } else { answer };
        for b in of(n) {
            b.set_fault(Fault::Answer(answer.clone()));
        }
        for _ in 0..12 {
            assert_eq!(client.request(&request("/read/k", 3.0, &sound)).status(), 200);
        }
        let got = client.request(&request(&format!("/{class}/k"), 3.0, &format!("X-Case: {n}\r\n")));
        let of_box = got.header("x-box").is_some();
        if of_box {
            let body: &[u8] = if matches!(status, 204 | 304) { b"" } else { b"of the box\n" };
            assert_eq!((&got.body[..], got.header("location")), (body, Some("/elsewhere")));
        }
        let seen = of(n).iter().map(|b| b.stats().requests).sum::<u64>() as usize;
        (format!("{}{}", got.status(), if of_box { "" } else { " of the proxy" }), seen)
    };
    cases.iter().enumerate().map(outcome).collect()
}

#[test]
fn responses_and_attempts_by_class_and_route() {
    let cases: Vec<Case> = CLASSES_BY_EFFECT
        .iter()
        .flat_map(|(effect, class)| ANSWERS.map(|(status, proof)| (*effect, *class, status, proof)))
        .collect();
    let (as_they_are, own_words) = std::thread::scope(|scope| {
        let own = scope.spawn(|| outcomes(&cases, true));
        (outcomes(&cases, false), own.join().expect("the other program's outcomes"))
    });
    let mut table = String::from(
        "| Class | A box answers | The client gets | In own words | Boxes see it |\n|---|---|---|---|---|\n",
    );
    let mut wrong = Vec::new();
    for (n, (effect, _, status, proof)) in cases.iter().enumerate() {
        let proves = if *proof { ", which proves that it never ran" } else { "" };
        let (got, own) = (&as_they_are[n], &own_words[n]);
        let times = if got.1 == 1 { "once" } else { "twice" };
        table += &format!("| {effect} | {status}{proves} | {} | {} | {times} |\n", got.0, own.0);
        for (own_words, found) in [(false, got), (true, own)] {
            if *found != expected(effect, *status, *proof, own_words) {
                wrong.push(format!("{effect} {status}{proves}, in own words {own_words}: {found:?}"));
            }
        }
    }
    println!("{table}");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// What the backends do with the first two requests that come to either.
type Responses = [fn() -> Reply; 2];

/// Two backends of one bay whose answers go by how often the two together were asked since the switch was thrown.
fn in_turn(replies: Responses) -> ([BackendServer; 2], Arc<AtomicU32>) {
    let turn = Arc::new(AtomicU32::new(u32::MAX / 2));
    let one = || {
        let turn = turn.clone();
        BackendServer::start(move |_| match turn.fetch_add(1, SeqCst) {
            n @ (0 | 1) => replies[n as usize](),
            _ => ok_reply("x"),
        })
    };
    ([one(), one()], turn)
}

/// The answer that a client gets is that of the last attempt or none: an earlier one's says nothing of what came of
/// the request after it.
#[test]
fn earlier_attempts_response_is_not_returned_after_a_later_error() {
    let no = || Reply::Answer(500, "", "first".into());
    let full = || Reply::Answer(503, "X-Unprocessed: 1", "full".into());
    let cases: [(&str, Responses, &str, u32); 6] = [
        ("/read/k", [no, || Reply::Reset], "503 refused\n", 2),
        ("/settle/k", [no, || Reply::Reset], "502 failed\n", 2),
        // The second attempt was not executed, but the first may have.
        ("/settle/k", [no, full], "502 failed\n", 2),
        ("/read/k", [no, full], "503 full", 2),
        ("/settle/k", [full, no], "500 first", 2),
        ("/pay/k", [full, no], "500 first", 2),
    ];
    for (path, replies, expected, seen) in cases {
        let ([a, b], turn) = in_turn(replies);
        let answers = "[answers]\nnever_ran = [{ status = 503, header = \"X-Unprocessed\" }]\n";
        let boxes = [(a.address, "1"), (b.address, "1")];
        let proxy = program().serve(&(answers.to_string() + CLASSES + &pool("p", &boxes)));
        let mut client = proxy.client();
        fill_retry_budget(&mut client, "/read/k");
        turn.store(0, SeqCst);
        let answer = client.request(&request(path, 3.0, ""));
        let got = format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body));
        assert_eq!((got.as_str(), turn.load(SeqCst)), (expected, seen), "{path}");
    }
}

/// Nor is it where the last attempt is out still when the client's time is up.
#[test]
fn earlier_attempts_response_is_not_returned_after_a_timeout() {
    for path in ["/read/k", "/settle/k"] {
        let ([a, b], turn) = in_turn([|| Reply::Answer(500, "", "first".into()), || Reply::Silence]);
        let boxes = [(a.address, "1"), (b.address, "1")];
        let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &boxes)));
        let mut client = proxy.client();
        fill_retry_budget(&mut client, "/read/k");
        turn.store(0, SeqCst);
        let answer = client.request(&request(path, 0.6, ""));
        let own = matches!(&answer.body[..], b"refused\n" | b"failed\n" | b"timed out\n");
        assert!(own && answer.status() != 500, "{path}: {answer:?}");
        assert_eq!(turn.load(SeqCst), 2, "{path}");
    }
}

fn raw(status: u16, more: &str, body: &str) -> Reply {
    Reply::Pieces(vec![format!("HTTP/1.1 {status} X\r\n{more}\r\n{body}")])
}

/// On one connection at either side: nothing of a length that stands for no body is taken for one, and what comes
/// next is the answer to the next request.
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
        // A connection is used again only after a moment's quiet.
        std::thread::sleep(Duration::from_millis(40));
    }
    assert_eq!(backend.request_count(), 20);
}

/// Statuses that a route serves pass in one attempt whatever they are; one that it does not serve is an error there
/// and is served on the next route.
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
            let mut ask = |kind| {
                let before = backend.request_count();
                let answer = client.request(&request(
                    &format!("/{class}/k"),
                    3.0,
                    &format!("X-Case: {status}-{kind}\r\n"),
                ));
                (answer.status(), backend.request_count() - before)
            };
            assert_eq!(ask("all"), (*status, 1), "{class} {status}");
            let expected = if class == "read" { 200 } else { *status };
            assert_eq!(ask("few"), (expected, 1), "{class} {status}");
        }
    }
}
