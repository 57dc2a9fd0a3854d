//! The service terms on lists, restarts and reloads, and on the time left that backends get, each under its worst-case order
//! of events. The table is in docs/terms.md.

mod harness;

use harness::backend_pair::{answer_until_polled, BackendPair};
use harness::ending_backend::{End, EndingBackend};
use harness::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// The time after which a change must be in force, from the moment at which discovery has it and can be reached.
const CHANGE_LIMIT: Duration = Duration::from_secs(6);
/// The time after the signal by which a new discovery address must be in force.
const MOVE_LIMIT: Duration = Duration::from_secs(4);
/// The time that a loaded machine may add to one that a timer of the program bounds.
const SLACK: Duration = Duration::from_millis(400);
/// The time in which a call without a wait must be answered.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

const SNAPSHOT_CALL: &str = "GET /api/targets HTTP/1.1";
const READINESS_PROBE: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Repeats a measurement that returns an error if something was late, and fails if it was late each time. A delay by a stall
/// of the machine does not recur; one that the program causes does.
fn assert_not_late_each_time(measure: impl Fn() -> Result<(), String>) {
    let late: Vec<String> = (0..3).map_while(|_| measure().err()).collect();
    assert!(late.len() < 3, "{late:#?}");
}

/// Returns an error if `took` exceeds `bound`.
fn check_time(event: &str, took: Duration, bound: Duration) -> Result<(), String> {
    if took <= bound {
        return Ok(());
    }
    Err(format!("{event}: {took:?} of {bound:?}"))
}

/// Returns a list with line breaks and indentation.
fn indented(index: u64, snapshot: bool, entries: &[String]) -> String {
    let spaced =
        |text: &str| text.replace("{", "{\n    ").replace(",\"", ",\n    \"").replace("\":", "\" : ");
    format!("\n{}\n", spaced(&endpoint_list_json(index, snapshot, entries)))
}

/// However many calls have failed, the next one comes early enough to be answered within 6 s of the moment at which discovery
/// can be reached again, which is at the earliest right after the last failure; after SIGHUP within 4 s.
#[test]
fn subscribed_discovery_that_failed_for_long_is_called_again_in_time() {
    assert_not_late_each_time(retry_after_failed_calls);
}

fn retry_after_failed_calls() -> Result<(), String> {
    let pair = BackendPair::start();
    let proxy = Proxy::start_with_settings(&[], 1024, &subscribe_settings(300));
    let (_, mut answer) = proxy.discovery.next_call();
    for failure in 0..8 {
        let failed = Instant::now();
        answer.send((503, String::new())).unwrap();
        answer = proxy.discovery.next_call().1;
        let pause = failed.elapsed();
        check_time(
            &format!("retry after failure {failure}"),
            pause,
            MOVE_LIMIT - Duration::from_millis(1500) + SLACK,
        )?;
    }
    // The back-off is at its maximum when the discovery address changes, and the new discovery fails the first call.
    let new_discovery = DiscoveryServer::start();
    proxy.move_discovery(new_discovery.address);
    let signalled = Instant::now();
    proxy.signal("HUP");
    let (target, refused) = new_discovery.next_call();
    assert_eq!(target, SNAPSHOT_CALL);
    refused.send((503, String::new())).unwrap();
    let (target, answer) = new_discovery.next_call();
    assert_eq!(target, SNAPSHOT_CALL);
    check_time("retry after the move", signalled.elapsed(), MOVE_LIMIT - ANSWER_LIMIT)?;
    answer.send((200, endpoint_list_json(7, true, &pair.entries_without_old()))).unwrap();
    let _poll = answer_until_polled(&new_discovery, 7, "");
    pair.assert_only_new_is_used(&proxy, "after the move");
    Ok(())
}

/// A call that was in flight when discovery fell silent is never answered, not even after discovery has recovered. It is
/// abandoned early enough for the next one to be answered within 6 s, also after other abandoned calls.
#[test]
fn subscribed_discovery_that_is_silent_is_called_again_in_time() {
    assert_not_late_each_time(retry_after_silent_calls);
}

fn retry_after_silent_calls() -> Result<(), String> {
    let proxy = Proxy::start_with_settings(&[], 1024, &subscribe_settings(300));
    let (_, mut silent) = proxy.discovery.next_call();
    for call in 0..3 {
        let at = Instant::now();
        let (_, next) = proxy.discovery.next_call();
        check_time(&format!("retry after call {call}"), at.elapsed(), CHANGE_LIMIT - ANSWER_LIMIT + SLACK)?;
        silent = next;
    }
    drop(silent);
    Ok(())
}

/// A change that a silent long poll misses must be in force 2 s after the end of the poll's wait, here 8 s after the poll
/// began; a new poll begins before that.
#[test]
fn silent_long_poll_of_subscribed_discovery_is_repeated_in_time() {
    assert_not_late_each_time(retry_of_silent_long_poll);
}

fn retry_of_silent_long_poll() -> Result<(), String> {
    let pair = BackendPair::start();
    let proxy = Proxy::start_with_settings(&pair.serving_entries(), 1024, &subscribe_settings(300));
    let (target, _silent) =
        answer_until_polled(&proxy.discovery, 9, &endpoint_list_json(9, true, &pair.serving_entries()));
    let opened = Instant::now();
    let wait: u64 =
        target.split("wait_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap();
    assert!(wait >= 4000, "{target}");
    let (target, answer) = proxy.discovery.next_call();
    assert!(target.ends_with("after=9&wait_ms=0 HTTP/1.1"), "{target}");
    let in_force_after = Duration::from_millis(wait) + Duration::from_secs(2);
    check_time("retry of the watch", opened.elapsed(), in_force_after - ANSWER_LIMIT)?;
    answer.send((200, indented(10, true, &pair.entries_without_old()))).unwrap();
    let _poll = answer_until_polled(&proxy.discovery, 10, "");
    pair.assert_only_new_is_used(&proxy, "after the silence");
    Ok(())
}

/// An agent that failed for long is called again within the grace, and so is one that fell silent during a call.
#[test]
fn pushing_agent_that_failed_for_long_is_called_again_within_the_grace() {
    assert_not_late_each_time(retry_at_failing_agent);
}

fn retry_at_failing_agent() -> Result<(), String> {
    for grace in [2000, 1000] {
        let grace_ms = Duration::from_millis(grace);
        let proxy = Proxy::start_with_settings(&[], 1024, &push_settings(grace));
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
            check_time(&format!("retry after failure {failure}"), at.elapsed(), grace_ms * 2 / 3)?;
        }
    }
    Ok(())
}

/// Discovery answers several long polls and then falls silent. The missed change is in an indented snapshot without the
/// draining backend, which still answers.
#[test]
fn long_poll_that_falls_silent_late_is_repeated_within_the_grace() {
    assert_not_late_each_time(retry_of_late_silent_long_poll);
}

fn retry_of_late_silent_long_poll() -> Result<(), String> {
    for grace in [2000, 1000] {
        let grace_ms = Duration::from_millis(grace);
        let pair = BackendPair::start();
        let proxy = Proxy::start_with_settings(&pair.serving_entries(), 1024, &push_settings(grace));
        let (_, mut poll) =
            answer_until_polled(&proxy.discovery, 9, &indented(9, true, &pair.serving_entries()));
        for _ in 0..4 {
            poll.send((200, indented(9, false, &[]))).unwrap();
            let (target, next) = proxy.discovery.next_call();
            assert!(target.contains("after=9&"), "{target}");
            poll = next;
        }
        let fell_silent = Instant::now();
        let (_, answer) = proxy.discovery.next_call();
        check_time("retry of the watch", fell_silent.elapsed(), grace_ms * 2 / 3)?;
        let _ = answer.send((200, indented(10, true, &pair.entries_without_old())));
        let _poll =
            answer_until_polled(&proxy.discovery, 10, &indented(10, true, &pair.entries_without_old()));
        pair.assert_only_new_is_used(&proxy, "silent late");
        drop(poll);
    }
    Ok(())
}

/// A long poll ends by a closed connection, the next one with a truncated answer; the first answer after that is a snapshot.
#[test]
fn change_after_failed_long_polls_is_taken_from_a_snapshot() {
    for settings in [push_settings(2000), subscribe_settings(2000)] {
        let pair = BackendPair::start();
        let proxy = Proxy::start_with_settings(&pair.serving_entries(), 1024, &settings);
        let (_, poll) =
            answer_until_polled(&proxy.discovery, 9, &endpoint_list_json(9, true, &pair.serving_entries()));
        drop(poll);
        let (target, answer) = proxy.discovery.next_call();
        assert!(target.contains("after=9&"), "{target}");
        answer.send((200, "{\"index\":10,\"snapshot\":true,\"endpoi".into())).unwrap();
        let (_, answer) = proxy.discovery.next_call();
        answer.send((200, endpoint_list_json(10, true, &pair.entries_without_old()))).unwrap();
        let _poll = answer_until_polled(&proxy.discovery, 10, "");
        pair.assert_only_new_is_used(&proxy, "the watch ended");
    }
}

/// A drain right after SIGHUP: the new discovery's first list leaves out a backend of the old list, and the old discovery's
/// answer to the call in flight arrives after that list.
#[test]
fn drain_right_after_a_reload_is_taken_from_the_new_discovery() {
    for settings in [push_settings(2000), subscribe_settings(2000)] {
        let pair = BackendPair::start();
        let proxy = Proxy::start_with_settings(&pair.serving_entries(), 1024, &settings);
        let (_, poll) = answer_until_polled(
            &proxy.discovery,
            900,
            &endpoint_list_json(900, true, &pair.serving_entries()),
        );
        let new_discovery = DiscoveryServer::start();
        proxy.move_discovery(new_discovery.address);
        let signalled = Instant::now();
        proxy.signal("HUP");
        let (target, answer) = new_discovery.next_call();
        assert_eq!(target, SNAPSHOT_CALL);
        assert!(signalled.elapsed() < MOVE_LIMIT / 2, "{:?}", signalled.elapsed());
        answer.send((200, indented(3, true, &pair.entries_without_old()))).unwrap();
        let _ = poll.send((200, endpoint_list_json(901, true, &pair.serving_entries())));
        let _poll = answer_until_polled(&new_discovery, 3, "");
        pair.assert_only_new_is_used(&proxy, "after the move");
    }
}

/// A process is ready whatever the state of its discovery: connections are refused or not established, or calls are not
/// answered or answered with a delta first. It serves requests as soon as it has a snapshot.
#[test]
fn restarted_process_is_ready_whatever_the_state_of_discovery() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let endpoints = [endpoint_json("b0", backend.address, "SERVING")];
    let (refusing, full_backlog, silent) =
        (RefusingPort::new(), FullBacklogListener::new(), DiscoveryServer::start());
    for settings in [push_settings(2000), subscribe_settings(2000)] {
        for known in [&[][..], &endpoints[..]] {
            for at in [refusing.address(), full_backlog.address(), silent.address] {
                let begun = Instant::now();
                let proxy = program().start_with_discovery(at, known, &settings);
                assert_eq!(proxy.request(READINESS_PROBE).status(), 200);
                assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
                if !known.is_empty() {
                    assert_eq!(
                        proxy.request(&read_request(3.0)).status(),
                        200,
                        "the list from before the restart is used within the grace"
                    );
                }
            }
        }
        // A late answer, then a delta, then a snapshot.
        let proxy = Proxy::start_with_settings(&[], 1024, &settings);
        let (target, answer) = proxy.discovery.next_call();
        assert_eq!((target.as_str(), proxy.request(READINESS_PROBE).status()), (SNAPSHOT_CALL, 200));
        let _ = answer.send((200, endpoint_list_json(5, false, &[])));
        let (target, answer) = proxy.discovery.next_call();
        assert_eq!(target, SNAPSHOT_CALL, "a delta is followed by a call for a snapshot");
        let _ = answer.send((200, endpoint_list_json(5, true, &[])));
        let (_, answer) = answer_until_polled(&proxy.discovery, 5, &endpoint_list_json(5, true, &[]));
        let _ = answer.send((200, endpoint_list_json(6, true, &endpoints)));
        let _poll = answer_until_polled(&proxy.discovery, 6, &endpoint_list_json(6, true, &endpoints));
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
}

/// A process is killed right after it has accepted connections, some with no, some with half a request and some with a
/// complete one. The next process listens at the same address at once and serves requests.
#[test]
fn process_killed_right_after_accepts_is_replaced_at_the_same_address() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let endpoints = [endpoint_json("b0", backend.address, "SERVING")];
    let discovery = DiscoveryServer::start();
    let listen_address = RefusingPort::new();
    let text = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":1,"known":{},"settings":{}}}"#,
        listen_address.address(),
        discovery.address,
        endpoint_list_json(4, true, &endpoints),
        push_settings(10_000)
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
                assert_eq!(
                    (answer.status(), &answer.body[..]),
                    (200, &b"x"[..]),
                    "a complete response or none"
                );
            }
        }
    }
}

/// On a connection that is established late, the time left that the backend gets is not more than the client's at that time.
#[test]
fn time_left_on_a_late_connection_is_current() {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let listener: TcpListener = listener.into();
    let address = listener.local_addr().unwrap();
    let short_timeout = Duration::from_millis(100);
    let blocking: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, short_timeout).ok()).collect();
    let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":2900000");
    let proxy = Proxy::start_with_settings(&[endpoint_json("b0", address, "SERVING")], 1024, &settings);
    let mut clients: Vec<(Client, Instant, String)> = Vec::new();
    for new_request in [read_request, pay_request, vote_request] {
        let (mut client, request) = (proxy.client(), new_request(3.0));
        let sent = Instant::now();
        client.send(&request);
        clients.push((client, sent, id_of(&request).to_string()));
    }
    assert_eq!(proxy.request(READINESS_PROBE).status(), 200, "the requests have been accepted by then");
    std::thread::sleep(Duration::from_millis(500)); // the delay of the connections
    let (messages, received) = mpsc::channel();
    let freed = Instant::now();
    std::thread::spawn(move || {
        let mut served = Vec::new();
        for tcp in listener.incoming().flatten().skip(blocking.len()) {
            let messages = messages.clone();
            served.push(std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp);
                while let Some(message) = Message::read(&mut reader) {
                    let _ = messages.send(message);
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx");
                }
            }));
        }
    });
    for _ in 0..clients.len() {
        let message = received.recv_timeout(WAIT_LIMIT).expect("a request on the late connection");
        let id = message.header("x-correlation-id").unwrap();
        let (_, sent, _) = clients.iter().find(|(_, _, own_id)| own_id == id).expect("one of these");
        assert_time_left(&message, freed - *sent);
    }
    for (client, _, id) in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200, "{id}");
    }
}

/// Each retry carries the time left when it is sent, and so does an attempt that was queued until there was a backend.
#[test]
fn time_left_of_retries_and_queued_attempts_is_current() {
    let pause = Duration::from_millis(300);
    let rejection = move || {
        std::thread::sleep(pause);
        Reply::Answer(503, "X-Unprocessed: 1", String::new())
    };
    let backends = [(); 3].map(|()| BackendServer::start(move |_| rejection()));
    let known = [0, 1, 2].map(|n: usize| endpoint_json(&format!("b{n}"), backends[n].address, "SERVING"));
    let proxy = Proxy::start(&known);
    let (mut client, sent) = (proxy.client(), Instant::now());
    client.send(&pay_request(3.0));
    let answered = client.answer().expect("an answer");
    assert!([503, 502].contains(&answered.status()), "{}", answered.status());
    assert!(sent.elapsed() >= pause * 2, "at least two attempts, one after the other");
    let mut left: Vec<f64> = Vec::new();
    for backend in &backends {
        while let Ok(seen) = backend.events.try_recv() {
            if let BackendEvent::Request(message) = seen {
                left.push(time_left_sent(&message));
            }
        }
    }
    left.sort_by(|a, b| b.total_cmp(a));
    assert!(left.len() >= 2, "{left:?}");
    for (before, sent_s) in left.iter().enumerate() {
        assert!(*sent_s <= 3.0 - before as f64 * pause.as_secs_f64(), "{left:?}");
    }
    // Queued until the list arrives.
    let late = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start_with_settings(&[], 1024, &push_settings(2000));
    let (_, answer) = proxy.discovery.next_call();
    let (mut client, sent) = (proxy.client(), Instant::now());
    client.send(&pay_request(3.0));
    assert_eq!(proxy.request(READINESS_PROBE).status(), 200, "the request is queued by then");
    std::thread::sleep(Duration::from_millis(100));
    let listed = Instant::now();
    let snapshot = endpoint_list_json(9, true, &[endpoint_json("b0", late.address, "SERVING")]);
    let _ = answer.send((200, snapshot.clone()));
    let _poll = answer_until_polled(&proxy.discovery, 9, &snapshot);
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_time_left(&late.next_request(), listed - sent);
}

fn time_left_sent(message: &Message) -> f64 {
    message.header("x-time-left").and_then(|left| left.parse().ok()).expect("a time")
}

/// Checks the time left in `message`: of 3 s, `over` had passed before the attempt began.
fn assert_time_left(message: &Message, elapsed_before: Duration) {
    let (sent_s, left) = (time_left_sent(message), 3.0 - elapsed_before.as_secs_f64());
    assert!(sent_s <= left, "the request carries {sent_s} s, but {left} s are left");
}

/// A reset never completes a response, whatever its framing; nor does a close of the connection before the declared length or
/// the last chunk. Without either, a close in order is the end (RFC 9112, section 6.3): see `response_end.rs`.
#[test]
fn truncated_response_is_never_served_as_complete() {
    let prefixes = [
        ("HTTP/1.1 200 OK\r\n\r\nhalf of a bo", &[End::Reset][..]),
        ("HTTP/1.0 200 OK\r\n\r\nhalf of a bo", &[End::Reset]),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of a bo", &[End::Reset]),
        ("HTTP/1.1 200 O", &[End::Reset, End::InOrder]),
        ("HTTP/1.1 200 OK\r\nX: half of a he", &[End::Reset, End::InOrder]),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhalf of a bo\r\n",
            &[End::Reset, End::InOrder],
        ),
        ("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of a bo", &[End::Reset, End::InOrder]),
    ];
    for (prefix, ends) in prefixes {
        for end in ends.iter().copied() {
            let backend = EndingBackend::start(&[prefix], end);
            let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
            for new_request in [read_request, pay_request, vote_request] {
                let mut tcp = TcpStream::connect(proxy.address).unwrap();
                tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
                let request = new_request(0.8);
                tcp.write_all(request.as_bytes()).unwrap();
                let mut reader = BufReader::new(tcp);
                let answer = Message::read(&mut reader).expect("an answer");
                assert_ne!(answer.status(), 200, "{end:?} {prefix}");
                assert!(!answer.body.starts_with(b"half"), "{end:?} {prefix}");
            }
        }
    }
}

/// Requests that arrive byte by byte, in each form that the protocol allows, are forwarded complete. Bytes that a client
/// sends after a request and before its response are not forwarded.
#[test]
fn fragmented_requests_are_forwarded_complete_and_pipelined_ones_are_not() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let request_forms = [
        read_request(3.0),
        pay_request(3.0),
        vote_request(3.0),
        read_request(3.0).replace("X-Time-Left: 3", "x-time-LEFT:3"),
        pay_request(3.0).replace("Host: s", "Host:  s  ").replace("Content-Length", "content-length"),
        read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"),
        format!("\r\n{}", read_request(3.0)),
    ];
    for request_form in &request_forms {
        let mut client = proxy.client();
        client.0.get_ref().set_nodelay(true).unwrap();
        for byte in request_form.as_bytes() {
            client.0.get_mut().write_all(&[*byte]).unwrap();
        }
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to {request_form:?}"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"x"[..]), "{request_form:?}");
        let message = backend.next_request();
        let body: &[u8] = if request_form.contains("cash") { b"cash" } else { b"" };
        let body = if request_form.contains("/vote/") { b"yeah" } else { body };
        assert_eq!(message.body, body, "{request_form:?}");
        assert_eq!(message.header("x-correlation-id"), Some(id_of(request_form)), "{request_form:?}");
    }
    let before = backend.request_count();
    for trailing in [read_request(3.0), pay_request(3.0), "GET /".to_string()] {
        let (mut client, first) = (proxy.client(), read_request(3.0));
        client.send(&(first.clone() + &trailing));
        let mut received_text = String::new();
        client.0.read_to_string(&mut received_text).unwrap_or_default();
        assert!(received_text.matches("HTTP/1.1 ").count() <= 1, "more than one response: {received_text}");
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
