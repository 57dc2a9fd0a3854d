//! Tests of `call` that need its private items.

use super::*;
use crate::poll_schedule::{PollSchedule, MAX_BODY_TIMEOUT};
use shaletide_testkit::NeverUp;
use std::io::{BufRead, BufReader, Write};
use std::time::Instant;

const PATIENCE: Duration = Duration::from_secs(20);

fn with_runtime<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(PATIENCE, work).await }).expect("an end")
}

fn timeouts(piece: Duration) -> CallTimeouts {
    CallTimeouts { head: PATIENCE, body_piece: piece, body: MAX_BODY_TIMEOUT }
}

#[test]
fn connect_timeout_fails_a_long_poll() {
    let nobody = NeverUp::new();
    let uri = "/api/targets?after=1&wait_ms=60000";
    let failed = with_runtime(fetch(&mut None, nobody.address(), uri, timeouts(Duration::from_millis(50))));
    assert!(matches!(failed, Err(PollError::Connect(_))), "{failed:?}");
}

#[test]
fn response_that_closes_its_connection_does_not_fail_the_next_call() {
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
            let answer = fetch(&mut connection, at, "/api/targets", timeouts(PATIENCE)).await;
            assert_eq!(answer.map(|list| list.index).map_err(|e| e.to_string()), Ok(7), "call {call}");
        }
    });
    served.join().unwrap();
}

/// Whatever form an answer has: it is read, and so is the next, on the same connection or another.
#[test]
fn response_of_any_form_does_not_fail_the_next_call() {
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
    let whole = whole.into_iter().map(|(text, ends)| (text, ends, true));
    let broken = broken.into_iter().map(|text| (text, true, false));
    for (first, ends, sound) in whole.chain(broken) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (answer, next) = (first.clone(), plain(&list));
        let served = std::thread::spawn(move || {
            let mut answers = [(answer, ends), (next, true)].into_iter();
            for tcp in listener.incoming() {
                let mut tcp = tcp.unwrap();
                let mut lines = BufReader::new(tcp.try_clone().unwrap()).lines().map_while(Result::ok);
                while lines.by_ref().take_while(|line| !line.is_empty()).count() > 0 {
                    let Some((text, ends)) = answers.next() else { return };
                    let _ = tcp.write_all(text.as_bytes());
                    if ends {
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
            let got = fetch(&mut connection, at, "/api/targets", timeouts(PATIENCE)).await;
            assert_eq!(got.is_ok(), sound, "{first:.200}: {:?}", got.map(|list| list.index));
            connection = connection.filter(|_| sound); // as whoever follows does
            let got = fetch(&mut connection, at, "/api/targets", timeouts(PATIENCE)).await;
            assert_eq!(got.map(|list| list.index).map_err(|e| e.to_string()), Ok(7), "{first:.200}");
        });
        served.join().unwrap();
    }
}

/// An indented list of so many entries, of ordinary length.
fn indented(index: u64, snapshot: bool, statuses: impl Iterator<Item = &'static str>) -> String {
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

/// A discovery that gives these answers in turn on one connection, each in pieces of so many bytes with a pause behind
/// each.
fn in_pieces(answers: Vec<String>, size: usize, pause: Duration) -> SocketAddr {
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
    let whole = indented(7, true, std::iter::repeat_n("SERVING", MANY_BACKENDS));
    let changes = indented(8, false, ["DRAINING", "DELETED"].into_iter().cycle().take(MANY_BACKENDS));
    assert!(whole.len() > 200_000, "{}", whole.len());
    let at = in_pieces(vec![whole, changes], usize::MAX, Duration::ZERO);
    with_runtime(async {
        let (mut connection, begun) = (None, Instant::now());
        let list = fetch(&mut connection, at, "/api/targets", timeouts(PATIENCE)).await.unwrap();
        let (entries, skipped) = list.entries();
        assert_eq!((list.index, list.snapshot, entries.len(), skipped), (7, true, MANY_BACKENDS, None));
        let list = fetch(&mut connection, at, "/api/targets?after=7", timeouts(PATIENCE)).await.unwrap();
        let (entries, skipped) = list.entries();
        assert_eq!((list.index, list.snapshot, entries.len(), skipped), (8, false, MANY_BACKENDS, None));
        let serving = shaletide_balancer::BackendState::Ready;
        assert!(entries.iter().all(|entry| entry.state != serving));
        println!("two lists of {MANY_BACKENDS} read in {:?}", begun.elapsed());
    });
}

/// A discovery of 1,024 backends on a loaded machine writes its list in pieces, and all of them together take longer
/// than it may take to begin. It is not silent.
#[test]
fn list_in_pieces_is_awaited_while_pieces_arrive() {
    let schedule = PollSchedule::pushing(Duration::from_secs(2));
    let (size, pause) = (16 << 10, schedule.response_timeout / 5);
    let whole = indented(7, true, std::iter::repeat_n("SERVING", MANY_BACKENDS));
    let pieces = whole.len().div_ceil(size) as u32;
    assert!(pause * pieces > schedule.response_timeout * 2, "{pieces} pieces");
    let at = in_pieces(vec![whole], size, pause);
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
fn list_that_stops_midway_times_out_like_one_that_never_begins() {
    let schedule = PollSchedule::pushing(Duration::from_secs(2));
    let whole = indented(7, true, std::iter::repeat_n("SERVING", MANY_BACKENDS));
    let at = in_pieces(vec![whole], 16 << 10, PATIENCE);
    with_runtime(async {
        let timeouts = CallTimeouts {
            head: schedule.immediate_timeout(false),
            body_piece: schedule.response_timeout,
            body: schedule.body_timeout(1),
        };
        let begun = Instant::now();
        let list = fetch(&mut None, at, "/api/targets", timeouts).await;
        assert!(matches!(list, Err(PollError::TimedOut)));
        assert!(begun.elapsed() < MAX_BODY_TIMEOUT, "{:?}", begun.elapsed());
    });
}

/// Whoever sends a byte now and then for ever holds no call for ever.
#[test]
fn endless_list_times_out_after_the_longest_transfer() {
    let at = in_pieces(vec!["[".repeat(1 << 20)], 1, Duration::from_millis(20));
    with_runtime(async {
        let begun = Instant::now();
        let list = fetch(&mut None, at, "/api/targets", timeouts(Duration::from_millis(500))).await;
        assert!(matches!(list, Err(PollError::TimedOut)));
        assert!(begun.elapsed() >= MAX_BODY_TIMEOUT, "{:?}", begun.elapsed());
    });
}

#[test]
fn list_beyond_the_size_bound_fails_its_call() {
    let list = r#"{"index":7,"snapshot":true,"endpoints":[]}"#;
    for (over, sound) in [(0, true), (1, false)] {
        let padded = format!("{list}{}", " ".repeat(MAX_BODY_BYTES + over - list.len()));
        let at = in_pieces(vec![padded], usize::MAX, Duration::ZERO);
        let got = with_runtime(fetch(&mut None, at, "/api/targets", timeouts(PATIENCE)));
        assert_eq!(got.is_ok(), sound, "{over}");
    }
}
