//! Reading of request attributes according to the operators' file, and responses from backends that send as common servers
//! do.

mod harness;

use harness::*;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a program with one backend in one pool; `head` is the beginning of its file.
fn program_with_backend(head: &str, backend: &BackendServer) -> ServingProgram {
    program().serve(&(head.to_string() + &pool("p", &[(backend.address, "1")])))
}

/// Returns a request with these header lines and nothing else but `Host` and the length of an empty body.
fn request_with_headers(method: &str, target: &str, lines: &str) -> String {
    let length = if matches!(method, "GET" | "HEAD" | "OPTIONS") { "" } else { "Content-Length: 0\r\n" };
    format!("{method} {target} HTTP/1.1\r\nHost: s\r\n{length}{lines}\r\n")
}

#[test]
fn method_not_allowed_names_the_classes_methods() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let own = "[[class]]\nname = \"own\"\neffect = \"unsafe\"\nmethods = [\"PURGE\", \"GET\"]\n";
    let proxy = program_with_backend(&(CLASSES.to_string() + own), &backend);
    let many = "POST, PUT, PATCH, DELETE";
    let cases = [("/read/k", "GET, HEAD"), ("/settle/k", many), ("/pay/k", many), ("/own/k", "PURGE, GET")];
    for (path, allowed) in cases {
        for method in ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE", "get", "TRACE"] {
            let before = backend.request_count();
            let answer = proxy.request(&request_with_headers(method, path, "Idempotency-Key: 7\r\n"));
            let is_allowed = allowed.split(", ").any(|method_of_class| method_of_class == method);
            let got = (answer.status(), answer.header("allow"), backend.request_count() - before);
            let expected = if is_allowed { (200, None, 1) } else { (405, Some(allowed), 0) };
            assert_eq!(got, expected, "{method} {path}");
        }
    }
}

#[test]
fn class_is_read_from_header_with_default() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let (class_from_header, otherwise) =
        ("[request]\nclass = { header = \"X-Class\" }\n", "otherwise = \"read\"\n");
    for (request_section, without) in
        [(class_from_header.to_string(), 404), (class_from_header.to_string() + otherwise, 200)]
    {
        let proxy = program_with_backend(&(request_section + CLASSES), &backend);
        let status =
            |method, lines: &str| proxy.request(&request_with_headers(method, "/pay/k", lines)).status();
        assert_eq!(status("GET", "X-Class: read\r\n"), 200, "the class is not read from the path");
        assert_eq!(status("POST", "X-Class: pay\r\n"), 200);
        assert_eq!(status("GET", "X-Class: pay\r\n"), 405);
        for lines in ["", "X-Class: none\r\n", "X-Class:\r\n", "X-Class: Read\r\n"] {
            assert_eq!(status("GET", lines), without, "{lines:?}");
        }
        assert_eq!(status("GET", "X-Class: read\r\nX-Class: read\r\n"), 400);
        assert_eq!(status("GET", "X-Class: read\u{e9}\r\n"), 400);
    }
    let proxy = program_with_backend(&(format!("[request]\n{otherwise}") + CLASSES), &backend);
    for path in ["/", "/none", "/none/pay"] {
        assert_eq!(proxy.request(&request_with_headers("GET", path, "")).status(), 200, "{path}");
        assert_eq!(proxy.request(&request_with_headers("POST", path, "")).status(), 405, "{path}");
    }
}

#[test]
fn key_is_read_from_path() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = program_with_backend(&("[request]\nkey = { path = 3 }\n".to_string() + CLASSES), &backend);
    for (path, status) in
        [("/settle/x/k7", 200), ("/settle/x/k7/", 200), ("/settle/x", 400), ("/settle//", 400)]
    {
        let before = backend.request_count();
        let answer = proxy.request(&request_with_headers("POST", path, "Idempotency-Key: 7\r\n"));
        assert_eq!(
            (answer.status(), backend.request_count() - before),
            (status, u32::from(status == 200)),
            "{path}"
        );
    }
    assert_eq!(
        proxy.request(&request_with_headers("POST", "/pay", "")).status(),
        200,
        "other classes need no key"
    );
}

#[test]
fn routes_match_by_group_and_zone_of_request() {
    let names = ["bay", "zone", "tenant", "header", "path", "rest"];
    let backends = names.map(|name| BackendServer::start(move |_| ok_reply(name)));
    let when = [
        "bay = [1, \"annex\"]",
        "zone = \"north\"",
        "tenant = \"milford\"",
        "header = [{ name = \"X-Kind\", value = \"eu\" }, { name = \"X-Deep\" }]",
        "path = \"/read/deep\"\nmethod = \"HEAD\"",
        "class = \"read\"",
    ];
    let request_section =
        "[request]\nbay = { path = 2 }\nzone = { header = \"X-Zone\" }\n[proxy]\nzone = \"south\"\n";
    let pools: String =
        names.iter().zip(&backends).map(|(name, backend)| pool(name, &[(backend.address, "1")])).collect();
    let routes: String = names.iter().zip(when).map(|(name, when)| route(name, when, &[name])).collect();
    let tenant = "[[tenant]]\nname = \"milford\"\nquota = 9\n";
    let proxy = program().serve(&format!("{request_section}{CLASSES}{tenant}{pools}{routes}"));
    let cases = [
        ("GET", "/read/1/x", "", "bay"),
        ("GET", "/read/annex", "X-Zone: north\r\n", "bay"),
        ("GET", "/read/11", "", "rest"),
        ("GET", "/read", "", "rest"),
        ("GET", "/read/2", "X-Zone: north\r\n", "zone"),
        ("GET", "/read/2", "X-Zone: South\r\n", "rest"),
        ("GET", "/read/2", "X-Account: milford\r\n", "tenant"),
        ("GET", "/read/2", "X-Account: whitby\r\n", "rest"),
        ("GET", "/read/2", "x-kind: eu\r\nX-DEEP:\r\n", "header"),
        ("GET", "/read/2", "X-Kind: EU\r\nX-Deep: 1\r\n", "rest"),
        ("GET", "/read/2", "X-Kind: eu\r\n", "rest"),
        ("GET", "/read/deep/x", "", "rest"),
        ("GET", "/read/deeper", "", "rest"),
    ];
    for (method, path, lines, expected) in cases {
        let answer = proxy.request(&request_with_headers(method, path, lines));
        assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{path} {lines:?}");
    }
    let mut client = proxy.client();
    client.send(&request_with_headers("HEAD", "/read/deep/x", ""));
    assert_eq!(Message::read_head(&mut client.0).expect("an answer").status(), 200);
    assert_eq!(backends[4].request_count(), 1);
    let before: u32 = backends.iter().map(BackendServer::request_count).sum();
    assert_eq!(proxy.request(&request_with_headers("POST", "/pay/2", "")).status(), 404, "no route matches");
    assert_eq!(proxy.request(&request_with_headers("POST", "/pay/1", "")).status(), 200, "one route matches");
    assert_eq!(backends.iter().map(BackendServer::request_count).sum::<u32>(), before + 1);
}

#[test]
fn request_without_id_gets_one() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let request_section = "[request]\nid = \"X-Request-Id\"\ntime_left = \"X-Left\"\n";
    let proxy = program_with_backend(&(request_section.to_string() + CLASSES), &backend);
    let mut client = proxy.client();
    let mut given = HashSet::new();
    for _ in 0..300 {
        assert_eq!(
            client.request(&request_with_headers("POST", "/pay/k", "X-Correlation-Id: 5\r\n")).status(),
            200
        );
        let got = backend.next_request();
        let id = got.header("x-request-id").expect("an id").to_string();
        assert!(id.len() == 16 && id.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')), "{id}");
        assert!(given.insert(id), "each id is new");
        assert_eq!(got.header("x-correlation-id"), Some("5"), "this file does not read the header");
        let left: f64 = got.header("x-left").expect("the time left").parse().expect("a number");
        assert!(left > 0.0 && left <= 3.0, "{left}");
        assert_eq!(got.header("x-time-left"), None);
    }
    assert_eq!(
        client
            .request(&request_with_headers("POST", "/pay/k", "X-Request-Id: mine\r\nX-Left: 0.5\r\n"))
            .status(),
        200
    );
    let got = backend.next_request();
    assert_eq!(got.header("x-request-id"), Some("mine"));
    assert!(got.header("x-left").is_some_and(|left| left.parse::<f64>().is_ok_and(|left| left <= 0.5)));
    for lines in ["X-Request-Id:\r\n", "X-Request-Id: 1\r\nX-Request-Id: 2\r\n", "X-Left: soon\r\n"] {
        assert_eq!(proxy.request(&request_with_headers("POST", "/pay/k", lines)).status(), 400, "{lines:?}");
    }
    proxy.reload_accepted(&format!(
        "{request_section}id_required = true\n{CLASSES}{}",
        pool("p", &[(backend.address, "1")])
    ));
    assert_eq!(proxy.request(&request_with_headers("POST", "/pay/k", "")).status(), 400);
    assert_eq!(backend.request_count(), 301);
}

/// All attempts of a request carry the same assigned id.
#[test]
fn assigned_id_is_the_same_in_each_attempt() {
    let full = || Reply::Answer(503, "X-Unprocessed: 1", String::new());
    let backends = [BackendServer::start(move |_| full()), BackendServer::start(move |_| full())];
    let never_ran_rule = "[answers]\nnever_ran = [{ status = 503, header = \"X-Unprocessed\" }]\n";
    let good = BackendServer::start(|_| ok_reply("x"));
    let backends_with_groups = backends.each_ref().map(|b| (b.address, "1"));
    let routes = route("pays", "class = \"pay\"", &["p"]) + &route("rest", "", &["q"]);
    let pools = pool("p", &backends_with_groups) + &pool("q", &[(good.address, "1")]);
    let proxy = program().serve(&format!("{never_ran_rule}{CLASSES}{pools}{routes}"));
    fill_retry_budget(&mut proxy.client(), "/read/k");
    assert_eq!(proxy.request(&request_with_headers("POST", "/pay/k", "")).status(), 503);
    let ids = backends.each_ref().map(|b| b.next_request().header("x-correlation-id").map(String::from));
    assert!(ids[0].is_some() && ids[0] == ids[1], "{ids:?}");
}

#[test]
fn attributes_of_a_request_are_forwarded_once() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let request_section = "[request]\nclass = { header = \"X-Class\" }\ntenant = { header = \"X-Who\" }\nkey = { header = \"X-Key\" }\n\
                bay = { header = \"X-Bay\" }\nzone = { header = \"X-Zone\" }\nid = \"X-Id\"\ntime_left = \"X-Left\"\n";
    let kind = "header = { name = \"X-Kind\" }";
    let routes = route("kind", kind, &["p"]) + &route("rest", "", &["p"]);
    let proxy = program()
        .serve(&format!("{request_section}{CLASSES}{}{routes}", pool("p", &[(backend.address, "1")])));
    let usual = "X-Class: settle\r\nX-Who: milford\r\nX-Key: 7\r\nX-Bay: 1\r\nX-Zone: z\r\nX-Left: 2\r\n";
    let status =
        |lines: &str| proxy.request(&request_with_headers("POST", "/k", &format!("{usual}{lines}"))).status();
    for name in ["X-Class", "x-who", "X-KEY", "X-Bay", "X-Zone", "X-Id", "X-Left", "X-Kind", "Host"] {
        assert_eq!(status(&format!("Connection: keep-alive, {name}\r\n")), 400, "{name}");
    }
    for name in ["X-Class", "X-Who", "X-Key", "X-Bay", "X-Zone", "X-Left"] {
        assert_eq!(status(&format!("{name}: 7\r\n")), 400, "{name} twice");
    }
    assert_eq!(status("X-Id: 1\r\nX-Id: 1\r\n"), 400);
    assert_eq!(backend.request_count(), 0);
    // Headers that the file does not read may be repeated or listed in `Connection`.
    assert_eq!(
        status("X-Id: 1\r\nConnection: X-Account, Idempotency-Key\r\nX-Account: 1\r\nX-Account: 2\r\n"),
        200
    );
    let got = backend.next_request();
    assert_eq!((got.header("x-key"), got.header("x-account")), (Some("7"), None));
}

#[test]
fn retry_after_is_whole_seconds_of_at_least_one() {
    let refusing = RefusingPort::new();
    for (configured_limit, bound) in [("10ms", 1), ("1500ms", 2), ("1h", 3600)] {
        let limits = format!("[limits]\nmax_retry_after = \"{configured_limit}\"\n{CLASSES}");
        let proxy = program().serve(&(limits + &pool("p", &[(refusing.address(), "1")])));
        for path in ["/read/k", "/settle/k", "/pay/k"] {
            let answer = proxy.request(&request(path, 1.0, ""));
            let advice = answer.header("retry-after").and_then(|advice| advice.parse::<u32>().ok());
            assert_eq!(answer.status(), 503, "{path}");
            assert!(
                advice.is_some_and(|s| (1..=bound).contains(&s)),
                "{path}: {:?}",
                answer.header("retry-after")
            );
        }
    }
}

#[test]
fn body_length_is_limited_by_the_file() {
    let too_long = Arc::new(AtomicBool::new(false));
    let switched = too_long.clone();
    let backend = BackendServer::start(move |n| {
        let size = 1024 + usize::from(switched.load(SeqCst));
        let body = "y".repeat(size);
        let chunked =
            format!("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n");
        if n % 2 == 0 {
            ok_reply(&body)
        } else {
            Reply::Pieces(vec![chunked])
        }
    });
    let proxy = program_with_backend(&format!("[limits]\nmax_body = \"1KiB\"\n{CLASSES}"), &backend);
    let post = |size: usize| {
        format!("POST /pay/k HTTP/1.1\r\nHost: s\r\nContent-Length: {size}\r\n\r\n{}", "x".repeat(size))
    };
    assert_eq!(proxy.request(&post(1024)).status(), 200);
    let with_chunked_response = proxy.request(&post(0));
    assert_eq!(
        (
            with_chunked_response.status(),
            with_chunked_response.body.len(),
            with_chunked_response.header("transfer-encoding")
        ),
        (200, 1024, None)
    );
    let answer = proxy.request(&post(1025));
    assert_eq!((answer.status(), &answer.body[..]), (413, &b"the body is over 1024 bytes\n"[..]));
    too_long.store(true, SeqCst);
    assert_eq!(
        (proxy.request(&post(0)).status(), backend.request_count()),
        (502, 3),
        "the request may have executed"
    );
    assert_eq!(
        (proxy.request(&post(0)).status(), backend.request_count()),
        (502, 4),
        "a chunked body that is too long is rejected, too"
    );
    proxy.reload_accepted(&format!(
        "[limits]\nmax_body = \"2KiB\"\n{CLASSES}{}",
        pool("p", &[(backend.address, "1")])
    ));
    assert_eq!(proxy.request(&post(2048)).status(), 200);
    assert_eq!(proxy.request(&post(2049)).status(), 413);
}

/// Starts two backends that send responses in this manner; returns them and a file with one pool of both.
fn start_fleet(sending: Sending) -> (Fleet, String) {
    let capacity = CpuCapacity::warm(4, 1.0);
    let fleet = Fleet::start((0..2).map(|n| BackendSpec::new(&format!("b{n}"), capacity)).collect())
        .expect("a fleet");
    fleet.backends().iter().for_each(|b| {
        b.set_fault(Fault::Send(sending.clone()));
    });
    let backends_with_groups: Vec<_> = fleet.backends().iter().map(|b| (b.address, "1")).collect();
    let text = CLASSES.to_string() + &pool("p", &backends_with_groups);
    (fleet, text)
}

/// Head and body are sent in two segments, the second of which the backend's kernel holds back until the first is
/// acknowledged; or the response is sent in pieces with a pause. All requests are served, each in one attempt.
#[test]
fn responses_in_parts_are_served_in_one_attempt() {
    for (sending, count) in [(Sending::TwoSegments, 60), (Sending::Drip(Duration::from_millis(150)), 6)] {
        let (fleet, text) = start_fleet(sending);
        let proxy = program().serve(&text);
        let mut client = proxy.client();
        for _ in 0..count {
            for path in ["/read/k", "/settle/k", "/pay/k"] {
                let sent = request(path, 3.0, "");
                let answer = client.request(&sent);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                assert!(answer.status() == 200 && body.contains(id_of(&sent)), "{path}: {body}");
            }
        }
        let ledger = fleet.ledger();
        assert_eq!(ledger.records.len(), 3 * count, "one attempt for each request");
        let connections: u64 = fleet.backends().iter().map(|b| b.stats().connections).sum();
        assert!(connections < 3 * count as u64 / 2, "connections are reused: {connections}");
    }
}

/// If a stall limit is set, a response that stalls for longer is invalid, and its request may have executed.
#[test]
fn stall_limit_is_applied_and_removed_by_reload() {
    let (fleet, text) = start_fleet(Sending::Drip(Duration::from_millis(600)));
    let proxy = program().serve(&format!("[limits]\nanswer_stall = \"50ms\"\n{text}"));
    assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).status(), 502);
    proxy.reload_accepted(&text);
    let begun = Instant::now();
    assert_eq!(proxy.request(&request("/pay/k", 3.0, "")).status(), 200);
    assert!(begun.elapsed() > Duration::from_millis(500), "the proxy waited for the response");
    assert_eq!(fleet.ledger().records.len(), 2, "no request was sent twice");
}

/// If many responses stall forever, a safe request is hedged at another backend while there is time; an unsafe request is
/// not.
#[test]
fn stalled_responses_hedge_safe_requests_only() {
    let part = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nca".to_string();
    let stalling = |name: &'static str| {
        let part = part.clone();
        BackendServer::start(
            move |n| if n % 4 == 3 { Reply::Pieces(vec![part.clone()]) } else { ok_reply(name) },
        )
    };
    let backends = ["a", "b", "c"].map(stalling);
    let backends_with_groups = backends.each_ref().map(|b| (b.address, "1"));
    let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &backends_with_groups)));
    let count = || backends.iter().map(BackendServer::request_count).sum::<u32>();
    let stalled = || backends.iter().map(|b| b.request_count() / 4).sum::<u32>();
    let lost = |reads: u32| {
        (0..reads).filter(|_| proxy.request(&request("/read/k", 0.4, "")).status() != 200).count()
    };
    lost(50); // the proxy learns from these that responses stall
    let before = stalled();
    let lost = lost(60) as u32;
    let stalled = stalled() - before;
    assert!(stalled > 10 && 2 * lost < stalled, "{lost} of {stalled} were lost");
    for _ in 0..12 {
        let before = count();
        let status = proxy.request(&request("/pay/k", 0.4, "")).status();
        assert!(matches!(status, 200 | 502 | 503 | 504), "{status}");
        assert_eq!(count() - before, u32::from(status != 503), "{status}");
    }
}
