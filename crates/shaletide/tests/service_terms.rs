//! The service terms on lists, restarts and reloads, and on what backends are told: each under the order of events
//! that is worst for it. docs/terms.md has the table.

mod harness;

use harness::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A change counts so long after discovery had it and could be reached.
const COUNTS_AFTER: Duration = Duration::from_secs(6);
/// After a move of discovery it counts so much later than the signal.
const MOVED: Duration = Duration::from_secs(4);
/// What a loaded machine may add to a time that is bounded by a timer of the program's.
const SLACK: Duration = Duration::from_millis(400);
/// What a call that waits for nothing may take to be answered.
const ANSWER: Duration = Duration::from_millis(900);

const WHOLE_LIST: &str = "GET /api/targets HTTP/1.1";
const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Runs a measurement that says what was late, if anything. A stall of the whole machine is not the program's: what is
/// late by the program is so each time.
fn assert_in_time(measure: impl Fn() -> Result<(), String>) {
    let late: Vec<String> = (0..3).map_while(|_| measure().err()).collect();
    assert!(late.len() < 3, "{late:#?}");
}

/// Says that something was late.
fn in_time(what: &str, took: Duration, bound: Duration) -> Result<(), String> {
    if took <= bound {
        return Ok(());
    }
    Err(format!("{what}: {took:?} of {bound:?}"))
}

/// Settings with that grace in milliseconds, where discovery pushes its lists.
fn pushed(grace_ms: u64) -> String {
    SETTINGS.replace("\"rules\":{", &format!("\"rules\":{{\"stop_sending_within_us\":{grace_ms}000,"))
}

/// The same where it is asked, by proxies that need not ask for a minute.
fn asked(grace_ms: u64) -> String {
    pushed(grace_ms)
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("_in_us\":9000000", "_in_us\":60000000")
}

/// A list as a person would write it.
fn indented(index: u64, snapshot: bool, entries: &[String]) -> String {
    let spaced =
        |text: &str| text.replace("{", "{\n    ").replace(",\"", ",\n    \"").replace("\":", "\" : ");
    format!("\n{}\n", spaced(&endpoint_list_json(index, snapshot, entries)))
}

/// Answers calls with that list until a watch from its version on is out, which is returned.
fn take_in(discovery: &DiscoveryServer, index: u64, body: &str) -> (String, mpsc::Sender<(u16, String)>) {
    loop {
        let (target, answer) = discovery.next_call();
        if target.contains(&format!("after={index}&")) && !target.contains("wait_ms=0 ") {
            return (target, answer);
        }
        let _ = answer.send((200, body.to_string()));
    }
}

/// The draining backend still answers; what comes to it after a whole list without it is counted.
struct BackendPair {
    old: BackendServer,
    new: BackendServer,
}

impl BackendPair {
    fn start() -> BackendPair {
        BackendPair {
            old: BackendServer::start(|_| ok_reply("old")),
            new: BackendServer::start(|_| ok_reply("new")),
        }
    }
    fn both(&self) -> [String; 2] {
        [endpoint_json("b0", self.old.address, "SERVING"), endpoint_json("b1", self.new.address, "SERVING")]
    }
    /// The whole list, which leaves out the backend that drains.
    fn without_old(&self) -> [String; 1] {
        [endpoint_json("b1", self.new.address, "SERVING")]
    }
    fn only_new_is_used(&self, proxy: &Proxy, case: &str) {
        let before = self.old.request_count();
        for _ in 0..10 {
            assert_eq!(proxy.request(&pay_request(3.0)).body, b"new", "{case}");
        }
        assert_eq!(self.old.request_count(), before, "{case}");
    }
}

/// However many calls failed, the next one comes early enough to be answered within 6 s of the moment at which discovery
/// could be reached, which is at the earliest just after the last one failed; after SIGHUP within 4 s.
#[test]
fn asked_discovery_that_failed_for_long_is_asked_again_in_time() {
    assert_in_time(retry_of_asked_discovery_that_failed);
}

fn retry_of_asked_discovery_that_failed() -> Result<(), String> {
    let pair = BackendPair::start();
    let proxy = Proxy::start_with_settings(&[], 1024, &asked(300));
    let (_, mut answer) = proxy.discovery.next_call();
    for failure in 0..8 {
        let failed = Instant::now();
        answer.send((503, String::new())).unwrap();
        answer = proxy.discovery.next_call().1;
        let pause = failed.elapsed();
        in_time(
            &format!("retry after failure {failure}"),
            pause,
            MOVED - Duration::from_millis(1500) + SLACK,
        )?;
    }
    // The back-off is at its maximum as discovery moves, and the new one fails the first call.
    let elsewhere = DiscoveryServer::start();
    proxy.move_discovery(elsewhere.address);
    let signalled = Instant::now();
    proxy.signal("HUP");
    let (target, refused) = elsewhere.next_call();
    assert_eq!(target, WHOLE_LIST);
    refused.send((503, String::new())).unwrap();
    let (target, answer) = elsewhere.next_call();
    assert_eq!(target, WHOLE_LIST);
    in_time("retry after the move", signalled.elapsed(), MOVED - ANSWER)?;
    answer.send((200, endpoint_list_json(7, true, &pair.without_old()))).unwrap();
    let _watch = take_in(&elsewhere, 7, "");
    pair.only_new_is_used(&proxy, "after the move");
    Ok(())
}

/// A call that was out as discovery fell silent is never answered, not even once it is back: it is given up early enough
/// for the next one to be answered within 6 s, also after others that were given up.
#[test]
fn asked_discovery_that_is_silent_is_asked_again_in_time() {
    assert_in_time(retry_of_asked_discovery_that_is_silent);
}

fn retry_of_asked_discovery_that_is_silent() -> Result<(), String> {
    let proxy = Proxy::start_with_settings(&[], 1024, &asked(300));
    let (_, mut silent) = proxy.discovery.next_call();
    for call in 0..3 {
        let at = Instant::now();
        let (_, next) = proxy.discovery.next_call();
        in_time(&format!("retry after call {call}"), at.elapsed(), COUNTS_AFTER - ANSWER + SLACK)?;
        silent = next;
    }
    drop(silent);
    Ok(())
}

/// What a silent watch misses counts 2 s after its wait is over, here 8 s after it was opened: it is opened anew before.
#[test]
fn asked_watch_that_fell_silent_is_opened_anew_in_time() {
    assert_in_time(retry_of_silent_asked_watch);
}

fn retry_of_silent_asked_watch() -> Result<(), String> {
    let pair = BackendPair::start();
    let proxy = Proxy::start_with_settings(&pair.both(), 1024, &asked(300));
    let (target, _silent) = take_in(&proxy.discovery, 9, &endpoint_list_json(9, true, &pair.both()));
    let opened = Instant::now();
    let wait: u64 =
        target.split("wait_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap();
    assert!(wait >= 4000, "{target}");
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.ends_with("after=9&wait_ms=0 HTTP/1.1"), "{target}");
    let counts = Duration::from_millis(wait) + Duration::from_secs(2);
    in_time("retry of the watch", opened.elapsed(), counts - ANSWER)?;
    answer.send((200, indented(10, true, &pair.without_old()))).unwrap();
    let _watch = take_in(&proxy.discovery, 10, "");
    pair.only_new_is_used(&proxy, "after the silence");
    Ok(())
}

/// An agent that failed for long is asked again within the grace, and so is one that fell silent under its call.
#[test]
fn pushing_agent_that_failed_for_long_is_asked_again_within_the_grace() {
    assert_in_time(retry_of_pushing_agent_that_failed);
}

fn retry_of_pushing_agent_that_failed() -> Result<(), String> {
    for grace in [2000, 1000] {
        let grace_ms = Duration::from_millis(grace);
        let proxy = Proxy::start_with_settings(&[], 1024, &pushed(grace));
        let (_, mut answer) = proxy.discovery.next_call();
        let mut silent = Vec::new();
        for failure in 0..10 {
            let at = Instant::now();
            match failure % 5 {
                0 => drop(answer),
                4 => silent.push(answer),
                _ => answer.send((503, String::new())).unwrap(),
            }
            answer = proxy.discovery.next_call().1;
            in_time(&format!("retry after failure {failure}"), at.elapsed(), grace_ms * 2 / 3)?;
        }
    }
    Ok(())
}

/// The watch answers several times and falls silent then; the change that it misses is in a whole list, indented, which
/// leaves out the backend that drains and still answers.
#[test]
fn pushing_watch_that_falls_silent_late_is_opened_anew_within_the_grace() {
    assert_in_time(retry_of_silent_pushing_watch);
}

fn retry_of_silent_pushing_watch() -> Result<(), String> {
    for grace in [2000, 1000] {
        let grace_ms = Duration::from_millis(grace);
        let pair = BackendPair::start();
        let proxy = Proxy::start_with_settings(&pair.both(), 1024, &pushed(grace));
        let (_, mut watch) = take_in(&proxy.discovery, 9, &indented(9, true, &pair.both()));
        for _ in 0..4 {
            watch.send((200, indented(9, false, &[]))).unwrap();
            let (target, next) = proxy.discovery.next_call();
            assert!(target.contains("after=9&"), "{target}");
            watch = next;
        }
        let fell_silent = Instant::now();
        let (_, answer) = proxy.discovery.next_call();
        in_time("retry of the watch", fell_silent.elapsed(), grace_ms * 2 / 3)?;
        let _ = answer.send((200, indented(10, true, &pair.without_old())));
        let _watch = take_in(&proxy.discovery, 10, &indented(10, true, &pair.without_old()));
        pair.only_new_is_used(&proxy, "silent late");
        drop(watch);
    }
    Ok(())
}

/// The watch ends, by its connection or with half of an answer; the first answer after that is the whole list.
#[test]
fn watch_that_ends_instead_of_answering_is_followed_by_the_whole_list() {
    for settings in [pushed(2000), asked(2000)] {
        let pair = BackendPair::start();
        let proxy = Proxy::start_with_settings(&pair.both(), 1024, &settings);
        let (_, watch) = take_in(&proxy.discovery, 9, &endpoint_list_json(9, true, &pair.both()));
        drop(watch);
        let (target, answer) = proxy.discovery.next_call();
        assert!(target.contains("after=9&"), "{target}");
        answer.send((200, "{\"index\":10,\"snapshot\":true,\"endpoi".into())).unwrap();
        let (_, answer) = proxy.discovery.next_call();
        answer.send((200, endpoint_list_json(10, true, &pair.without_old()))).unwrap();
        let _watch = take_in(&proxy.discovery, 10, "");
        pair.only_new_is_used(&proxy, "the watch ended");
    }
}

/// SIGHUP, and a drain at once: the new discovery's first list leaves out the backend that the old one had, and the old
/// one's answer to the call that was out comes after it.
#[test]
fn reload_followed_at_once_by_a_drain_takes_the_drain_from_the_new_discovery() {
    for settings in [pushed(2000), asked(2000)] {
        let pair = BackendPair::start();
        let proxy = Proxy::start_with_settings(&pair.both(), 1024, &settings);
        let (_, watch) = take_in(&proxy.discovery, 900, &endpoint_list_json(900, true, &pair.both()));
        let elsewhere = DiscoveryServer::start();
        proxy.move_discovery(elsewhere.address);
        let signalled = Instant::now();
        proxy.signal("HUP");
        let (target, answer) = elsewhere.next_call();
        assert_eq!(target, WHOLE_LIST);
        assert!(signalled.elapsed() < MOVED / 2, "{:?}", signalled.elapsed());
        answer.send((200, indented(3, true, &pair.without_old()))).unwrap();
        let _ = watch.send((200, endpoint_list_json(901, true, &pair.both())));
        let _watch = take_in(&elsewhere, 3, "");
        pair.only_new_is_used(&proxy, "after the move");
    }
}

/// A process is ready whatever its list does: nobody listens there, no connection comes up, calls are never answered, or
/// are answered with part of the list first. It serves as soon as the list is whole.
#[test]
fn restarted_process_is_ready_whatever_its_list_does() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let whole = [endpoint_json("b0", backend.address, "SERVING")];
    let (refusing, never, silent) =
        (RefusingPort::new(), FullBacklogListener::new(), DiscoveryServer::start());
    for settings in [pushed(2000), asked(2000)] {
        for known in [&[][..], &whole[..]] {
            for at in [refusing.address(), never.address(), silent.address] {
                let begun = Instant::now();
                let proxy = program().start_with_discovery(at, known, &settings);
                assert_eq!(proxy.request(READY).status(), 200);
                assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
                if !known.is_empty() {
                    assert_eq!(
                        proxy.request(&read_request(3.0)).status(),
                        200,
                        "by the list of before, within the grace"
                    );
                }
            }
        }
        // Late, then in part, then whole.
        let proxy = Proxy::start_with_settings(&[], 1024, &settings);
        let (target, answer) = proxy.discovery.next_call();
        assert_eq!((target.as_str(), proxy.request(READY).status()), (WHOLE_LIST, 200));
        let _ = answer.send((200, endpoint_list_json(5, false, &[])));
        let (target, answer) = proxy.discovery.next_call();
        assert_eq!(target, WHOLE_LIST, "changes are no whole list");
        let _ = answer.send((200, endpoint_list_json(5, true, &[])));
        let (_, answer) = take_in(&proxy.discovery, 5, &endpoint_list_json(5, true, &[]));
        let _ = answer.send((200, endpoint_list_json(6, true, &whole)));
        let _watch = take_in(&proxy.discovery, 6, &endpoint_list_json(6, true, &whole));
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
}

/// Killed with connections just accepted, of which some have sent nothing, some half a request and some a whole one: the
/// next process listens at the same address at once, serves, and is asked nothing of the old one's.
#[test]
fn process_killed_right_after_accepts_is_replaced_at_the_same_address() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let whole = [endpoint_json("b0", backend.address, "SERVING")];
    let discovery = DiscoveryServer::start();
    let door = RefusingPort::new();
    let text = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":1,"known":{},"settings":{}}}"#,
        door.address(),
        discovery.address,
        endpoint_list_json(4, true, &whole),
        pushed(10_000)
    );
    for round in 0..3 {
        let begun = Instant::now();
        let mut proxy = program().start_with_config(&text, 1024);
        assert!(begun.elapsed() < Duration::from_secs(5), "{round}: {:?}", begun.elapsed());
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200, "{round}");
        let mut clients: Vec<Client> = (0..30).map(|_| proxy.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let request = pay_request(3.0);
            client.send(&request[..[0, request.len() / 2, request.len()][n % 3]]);
        }
        proxy.signal("KILL");
        proxy.child.wait().unwrap();
        for client in &mut clients {
            if let Some(answer) = client.answer() {
                assert_eq!((answer.status(), &answer.body[..]), (200, &b"x"[..]), "whole or none");
            }
        }
    }
}

/// A connection that comes up late: its backend is told no more than the client has left by then.
#[test]
fn time_left_on_a_late_connection_is_current() {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let listener: TcpListener = listener.into();
    let address = listener.local_addr().unwrap();
    let short = Duration::from_millis(100);
    let full: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok()).collect();
    let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":2900000");
    let proxy = Proxy::start_with_settings(&[endpoint_json("b0", address, "SERVING")], 1024, &settings);
    let mut clients: Vec<(Client, Instant, String)> = Vec::new();
    for make in [read_request, pay_request, vote_request] {
        let (mut client, request) = (proxy.client(), make(3.0));
        let sent = Instant::now();
        client.send(&request);
        clients.push((client, sent, id_of(&request).to_string()));
    }
    assert_eq!(proxy.request(READY).status(), 200, "by now they are taken");
    std::thread::sleep(Duration::from_millis(500)); // how late they come up
    let (tell, told) = mpsc::channel();
    let freed = Instant::now();
    std::thread::spawn(move || {
        let mut served = Vec::new();
        for tcp in listener.incoming().flatten().skip(full.len()) {
            let tell = tell.clone();
            served.push(std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp);
                while let Some(message) = Message::read(&mut reader) {
                    let _ = tell.send(message);
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx");
                }
            }));
        }
    });
    for _ in 0..clients.len() {
        let message = told.recv_timeout(WAIT_LIMIT).expect("a request on the late connection");
        let id = message.header("x-correlation-id").unwrap();
        let (_, sent, _) = clients.iter().find(|(_, _, own)| own == id).expect("one of these");
        assert_told(&message, freed - *sent);
    }
    for (client, _, id) in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200, "{id}");
    }
}

/// Each further attempt tells what is left at its own time, as does one that had to wait for a backend.
#[test]
fn time_left_of_retries_and_queued_attempts_is_current() {
    let pause = Duration::from_millis(300);
    let full = move || {
        std::thread::sleep(pause);
        Reply::Answer(503, "X-Unprocessed: 1", String::new())
    };
    let backends = [(); 3].map(|()| BackendServer::start(move |_| full()));
    let known = [0, 1, 2].map(|n: usize| endpoint_json(&format!("b{n}"), backends[n].address, "SERVING"));
    let proxy = Proxy::start(&known);
    let (mut client, sent) = (proxy.client(), Instant::now());
    client.send(&pay_request(3.0));
    let answered = client.answer().expect("an answer");
    assert!([503, 502].contains(&answered.status()), "{}", answered.status());
    assert!(sent.elapsed() >= pause * 2, "two attempts at the least, one after another");
    let mut left: Vec<f64> = Vec::new();
    for backend in &backends {
        while let Ok(seen) = backend.events.try_recv() {
            if let BackendEvent::Request(message) = seen {
                left.push(time_told(&message));
            }
        }
    }
    left.sort_by(|a, b| b.total_cmp(a));
    assert!(left.len() >= 2, "{left:?}");
    for (before, told) in left.iter().enumerate() {
        assert!(*told <= 3.0 - before as f64 * pause.as_secs_f64(), "{left:?}");
    }
    // Held until the list comes.
    let late = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_settings(&[], 1024, &pushed(2000));
    let (_, answer) = proxy.discovery.next_call();
    let (mut client, sent) = (proxy.client(), Instant::now());
    client.send(&pay_request(3.0));
    assert_eq!(proxy.request(READY).status(), 200, "by now it is held");
    std::thread::sleep(Duration::from_millis(100));
    let listed = Instant::now();
    let whole = endpoint_list_json(9, true, &[endpoint_json("b0", late.address, "SERVING")]);
    let _ = answer.send((200, whole.clone()));
    let _watch = take_in(&proxy.discovery, 9, &whole);
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_told(&late.next_request(), listed - sent);
}

fn time_told(message: &Message) -> f64 {
    message.header("x-time-left").and_then(|left| left.parse().ok()).expect("a time")
}

/// Of 3 s, so much was over before the attempt began.
fn assert_told(message: &Message, over: Duration) {
    let (told, left) = (time_told(message), 3.0 - over.as_secs_f64());
    assert!(told <= left, "told {told} s of {left} s");
}

/// How an answer ends in its middle.
#[derive(Clone, Copy, Debug)]
enum Truncation {
    Reset,
    Close,
}

/// A backend that begins each answer with these bytes and ends its connection in the midst of it.
fn truncating_backend(begin: &'static str, how: Truncation) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let mut reader = BufReader::new(tcp.try_clone().unwrap());
            if Message::read(&mut reader).is_none() {
                continue;
            }
            let mut tcp = tcp;
            tcp.write_all(begin.as_bytes()).unwrap();
            // The proxy has acknowledged what there is: a reset that overtook it would be none in the midst.
            std::thread::sleep(Duration::from_millis(20));
            if let Truncation::Reset = how {
                socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

/// A reset is no end of an answer, whatever its form; nor is a close where no length says so.
#[test]
fn truncated_response_is_never_served_as_complete() {
    let begins = [
        "HTTP/1.1 200 OK\r\n\r\nhalf of a bo",
        "HTTP/1.0 200 OK\r\n\r\nhalf of a bo",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of a bo",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhalf of a bo\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of a bo",
    ];
    for begin in begins {
        for how in [Truncation::Reset, Truncation::Close] {
            let proxy = Proxy::start(&[endpoint_json("b0", truncating_backend(begin, how), "SERVING")]);
            for make in [read_request, pay_request, vote_request] {
                let mut tcp = TcpStream::connect(proxy.address).unwrap();
                tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
                let request = make(0.8);
                tcp.write_all(request.as_bytes()).unwrap();
                let mut reader = BufReader::new(tcp);
                let answer = Message::read(&mut reader).expect("an answer");
                assert_ne!(answer.status(), 200, "{how:?} {begin}");
                assert!(!answer.body.starts_with(b"half"), "{how:?} {begin}");
            }
        }
    }
}

/// Requests that come byte by byte, in each form that the protocol has, are the ones that go on; what a client sends
/// behind one before its answer came is passed on to nobody.
#[test]
fn fragmented_requests_are_forwarded_complete_and_pipelined_ones_are_not() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let forms = [
        read_request(3.0),
        pay_request(3.0),
        vote_request(3.0),
        read_request(3.0).replace("X-Time-Left: 3", "x-time-LEFT:3"),
        pay_request(3.0).replace("Host: s", "Host:  s  ").replace("Content-Length", "content-length"),
        read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"),
        format!("\r\n{}", read_request(3.0)),
    ];
    for form in &forms {
        let mut client = proxy.client();
        client.0.get_ref().set_nodelay(true).unwrap();
        for byte in form.as_bytes() {
            client.0.get_mut().write_all(&[*byte]).unwrap();
        }
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to {form:?}"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"x"[..]), "{form:?}");
        let message = backend.next_request();
        let body: &[u8] = if form.contains("cash") { b"cash" } else { b"" };
        let body = if form.contains("/vote/") { b"yeah" } else { body };
        assert_eq!(message.body, body, "{form:?}");
        assert_eq!(message.header("x-correlation-id"), Some(id_of(form)), "{form:?}");
    }
    let before = backend.request_count();
    for behind in [read_request(3.0), pay_request(3.0), "GET /".to_string()] {
        let (mut client, first) = (proxy.client(), read_request(3.0));
        client.send(&(first.clone() + &behind));
        let mut all = String::new();
        client.0.read_to_string(&mut all).unwrap_or_default();
        assert!(all.matches("HTTP/1.1 ").count() <= 1, "one answer at most: {all}");
    }
    assert!(backend.request_count() - before <= 3, "{}", backend.request_count() - before);
    let ids: Vec<String> = std::iter::from_fn(|| backend.events.try_recv().ok())
        .filter_map(|seen| match seen {
            BackendEvent::Request(message) => message.header("x-correlation-id").map(String::from),
            _ => None,
        })
        .collect();
    assert!(ids.len() <= 3, "{ids:?}");
}
