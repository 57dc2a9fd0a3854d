//! Tests of `call` that need its private items.

use super::*;
use crate::poll_schedule::{PollSchedule, MAX_BODY_TIMEOUT};
use shaletide_testkit::FullBacklogListener;
use std::io::{BufRead, BufReader, Write};
use std::time::Instant;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn with_runtime<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime
        .block_on(async { tokio::time::timeout(TEST_TIMEOUT, work).await })
        .expect("future not ready within the test timeout")
}

fn timeouts(piece: Duration) -> CallTimeouts {
    CallTimeouts { head: TEST_TIMEOUT, body_piece: piece, body: MAX_BODY_TIMEOUT }
}

#[test]
fn connect_timeout_fails_a_long_poll() {
    let unreachable_server = FullBacklogListener::new();
    let uri = "/api/targets?after=1&wait_ms=60000";
    let failed = with_runtime(fetch(
        &mut None,
        unreachable_server.address(),
        uri,
        timeouts(Duration::from_millis(50)),
    ));
    assert!(matches!(failed, Err(PollError::Connect(_))), "{failed:?}");
}

#[test]
fn response_that_closes_its_connection_does_not_fail_next_call() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let served = std::thread::spawn(move || {
        for tcp in listener.incoming().take(5) {
            let mut tcp = tcp.unwrap();
            let lines = BufReader::new(tcp.try_clone().unwrap()).lines();
            lines.map(Result::unwrap).take_while(|line| !line.is_empty()).for_each(drop);
            let body = r#"{"index":7,"snapshot":true,"endpoints":[]}"#;
            let head = format!("HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: {}", body.len());
            tcp.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).unwrap();
        }
    });
    with_runtime(async {
        let mut connection = None;
        for call in 0..5 {
            let answer = fetch(&mut connection, at, "/api/targets", timeouts(TEST_TIMEOUT)).await;
            assert_eq!(answer.map(|list| list.index).map_err(|e| e.to_string()), Ok(7), "call {call}");
        }
    });
    served.join().unwrap();
}

/// A response of any valid form is read, and one of any form does not affect the next call, which uses the same connection or
/// a new one.
#[test]
fn response_of_any_form_does_not_fail_next_call() {
    let list = r#"{"index":7,"snapshot":true,"endpoints":[]}"#.to_string();
    let entry = |n| {
        format!("\n    {{\n      \"name\": \"b{n}\",\n      \"address\": \"10.0.0.1:80\",\n      \"status\": \"SERVING\"\n    }}")
    };
    let long: Vec<String> = (0..30_000).map(entry).collect();
    let long =
        format!("{{\n  \"index\": 7,\n  \"snapshot\": true,\n  \"endpoints\": [{}]\n}}\n", long.join(","));
    let plain = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (a, b) = list.split_at(9);
    let chunks = format!("9\r\n{a}\r\n{:x};x=y\r\n{b}\r\n0\r\nX-Sum: 1\r\n\r\n", b.len());
    let whole = [
        (plain(&list), false),
        (plain(&long), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"), false),
        (
            format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n{}", plain(&list)),
            false,
        ),
        (format!("HTTP/1.0 200 OK\r\n\r\n{list}"), true),
        (format!("HTTP/1.1 200 OK\r\n\r\n{list}"), true),
        (plain(&list).replace("1.1", "1.0"), true),
        (plain(&list) + "HTTP/1.1 200 OK\r\n", false),
    ];
    let cut = plain(&list);
    let broken = [
        cut[..cut.len() - 1].to_string(),
        chunks[..20].to_string(),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", &chunks[..chunks.len() - 2]),
        format!("HTTP/1.0 200 OK\r\n\r\n{}", &list[..list.len() - 1]),
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n".to_string(),
        "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
    ];
    let whole = whole.into_iter().map(|(text, closes)| (text, closes, true));
    let broken = broken.into_iter().map(|text| (text, true, false));
    for (first, closes, is_valid) in whole.chain(broken) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (answer, next) = (first.clone(), plain(&list));
        let served = std::thread::spawn(move || {
            let mut answers = [(answer, closes), (next, true)].into_iter();
            for tcp in listener.incoming() {
                let mut tcp = tcp.unwrap();
                let mut lines = BufReader::new(tcp.try_clone().unwrap()).lines().map_while(Result::ok);
                while lines.by_ref().take_while(|line| !line.is_empty()).count() > 0 {
                    let Some((text, closes)) = answers.next() else { return };
                    let _ = tcp.write_all(text.as_bytes());
                    if closes {
                        break;
                    }
                }
                if answers.len() == 0 {
                    return;
                }
            }
        });
        with_runtime(async {
            let mut connection = None;
            let result = fetch(&mut connection, at, "/api/targets", timeouts(TEST_TIMEOUT)).await;
            assert_eq!(result.is_ok(), is_valid, "{first:.200}: {:?}", result.map(|list| list.index));
            connection = connection.filter(|_| is_valid); // as the caller does after a failed call
            let result = fetch(&mut connection, at, "/api/targets", timeouts(TEST_TIMEOUT)).await;
            assert_eq!(result.map(|list| list.index).map_err(|e| e.to_string()), Ok(7), "{first:.200}");
        });
        served.join().unwrap();
    }
}

/// Returns an indented list with one entry of usual length for each status.
fn indented_list(index: u64, snapshot: bool, statuses: impl Iterator<Item = &'static str>) -> String {
    let entry = |(n, status): (usize, &str)| {
        format!(
            "\n    {{\n      \"name\": \"backend-{n:04}\",\n      \"address\": \"10.0.{}.{}:8443\",\n      \
             \"zone\": \"east\",\n      \"type\": \"big\",\n      \"group\": {},\n      \"cores\": 2,\n      \
             \"weight\": 1.0,\n      \"status\": \"{status}\",\n      \"since_ms\": 0\n    }}",
            n >> 8,
            n & 255,
            n / 4
        )
    };
    let entries: Vec<String> = statuses.enumerate().map(entry).collect();
    format!(
        "{{\n  \"index\": {index},\n  \"snapshot\": {snapshot},\n  \"endpoints\": [{}\n  ]\n}}\n",
        entries.join(",")
    )
}

const MANY_BACKENDS: usize = 1_024;

/// Starts a discovery that sends these responses in turn on one connection, in pieces of `size` bytes with a pause after each
/// piece. Returns its address.
fn serve_in_pieces(answers: Vec<String>, size: usize, pause: Duration) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut tcp = listener.accept().unwrap().0;
        let mut lines = BufReader::new(tcp.try_clone().unwrap()).lines().map_while(Result::ok);
        for body in answers {
            if lines.by_ref().take_while(|line| !line.is_empty()).count() == 0 {
                return;
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            for piece in (head + &body).as_bytes().chunks(size) {
                if tcp.write_all(piece).is_err() {
                    return;
                }
                std::thread::sleep(pause);
            }
        }
    });
    at
}

#[test]
fn indented_snapshot_and_delta_of_1024_backends_are_read() {
    let whole = indented_list(7, true, std::iter::repeat_n("SERVING", MANY_BACKENDS));
    let changes = indented_list(8, false, ["DRAINING", "DELETED"].into_iter().cycle().take(MANY_BACKENDS));
    assert!(whole.len() > 200_000, "{}", whole.len());
    let at = serve_in_pieces(vec![whole, changes], usize::MAX, Duration::ZERO);
    with_runtime(async {
        let (mut connection, begun) = (None, Instant::now());
        let list = fetch(&mut connection, at, "/api/targets", timeouts(TEST_TIMEOUT)).await.unwrap();
        let (entries, skipped) = list.entries();
        assert_eq!((list.index, list.snapshot, entries.len(), skipped), (7, true, MANY_BACKENDS, None));
        let list = fetch(&mut connection, at, "/api/targets?after=7", timeouts(TEST_TIMEOUT)).await.unwrap();
        let (entries, skipped) = list.entries();
        assert_eq!((list.index, list.snapshot, entries.len(), skipped), (8, false, MANY_BACKENDS, None));
        let serving = shaletide_balancer::BackendState::Ready;
        assert!(entries.iter().all(|entry| entry.state != serving));
        println!("two lists of {MANY_BACKENDS} read in {:?}", begun.elapsed());
    });
}

/// Guards against a call that times out while its list still arrives: on a loaded machine, discovery writes a list of 1,024
/// backends in pieces, which together take longer than the time limit for the head.
#[test]
fn list_in_pieces_is_awaited_while_pieces_arrive() {
    let schedule = PollSchedule::pushing(Duration::from_secs(2));
    let (size, pause) = (16 << 10, schedule.response_timeout / 5);
    let whole = indented_list(7, true, std::iter::repeat_n("SERVING", MANY_BACKENDS));
    let pieces = whole.len().div_ceil(size) as u32;
    assert!(pause * pieces > schedule.response_timeout * 2, "{pieces} pieces");
    let at = serve_in_pieces(vec![whole], size, pause);
    with_runtime(async {
        let timeouts = CallTimeouts {
            head: schedule.immediate_timeout(false),
            body_piece: schedule.response_timeout,
            body: schedule.body_timeout(1),
        };
        let list = fetch(&mut None, at, "/api/targets", timeouts).await;
        assert_eq!(list.map(|list| list.endpoints.len()).map_err(|e| e.to_string()), Ok(MANY_BACKENDS));
    });
}

#[test]
fn list_that_stops_midway_times_out() {
    let schedule = PollSchedule::pushing(Duration::from_secs(2));
    let whole = indented_list(7, true, std::iter::repeat_n("SERVING", MANY_BACKENDS));
    let at = serve_in_pieces(vec![whole], 16 << 10, TEST_TIMEOUT);
    with_runtime(async {
        let timeouts = CallTimeouts {
            head: schedule.immediate_timeout(false),
            body_piece: schedule.response_timeout,
            body: schedule.body_timeout(1),
        };
        let begun = Instant::now();
        let list = fetch(&mut None, at, "/api/targets", timeouts).await;
        assert!(matches!(list, Err(PollError::Incomplete(ref cause)) if cause.is_timeout()));
        assert!(begun.elapsed() < MAX_BODY_TIMEOUT, "{:?}", begun.elapsed());
    });
}

/// Guards against a call that never ends because the server keeps sending a byte from time to time.
#[test]
fn endless_list_times_out_after_max_body_timeout() {
    let at = serve_in_pieces(vec!["[".repeat(1 << 20)], 1, Duration::from_millis(20));
    with_runtime(async {
        let begun = Instant::now();
        let list = fetch(&mut None, at, "/api/targets", timeouts(Duration::from_millis(500))).await;
        assert!(matches!(list, Err(PollError::Incomplete(ref cause)) if cause.is_timeout()));
        assert!(begun.elapsed() >= MAX_BODY_TIMEOUT, "{:?}", begun.elapsed());
    });
}

#[test]
fn list_over_max_body_size_fails_its_call() {
    let list = r#"{"index":7,"snapshot":true,"endpoints":[]}"#;
    for (over, is_valid) in [(0, true), (1, false)] {
        let padded = format!("{list}{}", " ".repeat(MAX_BODY_BYTES + over - list.len()));
        let at = serve_in_pieces(vec![padded], usize::MAX, Duration::ZERO);
        let result = with_runtime(fetch(&mut None, at, "/api/targets", timeouts(TEST_TIMEOUT)));
        assert_eq!(result.is_ok(), is_valid, "{over}");
    }
}
