//! Tests of `upstream` that need its private items.

use super::*;
use std::io::{Read, Write};

/// A stalled response is given up only if a stall timeout is set.
#[tokio::test]
async fn stalled_response_is_invalid_only_when_a_stall_timeout_is_set() {
    for stall in [None, Some(Duration::from_millis(40))] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let to = listener.local_addr().unwrap();
        let peer = std::thread::spawn(move || {
            let mut peer = listener.accept().unwrap().0;
            let _ = peer.read(&mut [0; 1024]);
            peer.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nca").unwrap();
            std::thread::sleep(Duration::from_millis(150));
            let _ = peer.write_all(b"sh");
            peer
        });
        let forwarded = Rc::new(ForwardedRequest {
            method: Method::POST,
            uri: Uri::from_static("/pay/k"),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"cash"),
            client: None,
            trace: None,
            time_left_header: HeaderName::from_static("x-time-left"),
            response_rules: Rc::new(ResponseRules::operator_default()),
            responses: RefCell::default(),
            executed_attempts: Cell::new(0),
        });
        let stream = Stream::new(tokio::net::TcpStream::connect(to).await.unwrap());
        let (attempt, deadline, max_body) = (AttemptNumber(0), Instant::now() + Duration::from_secs(20), 64);
        let spec =
            ExchangeSpec { attempt, stream: stream.clone(), to, deadline, stall_timeout: stall, max_body };
        let outcome = forwarded.clone().run_attempt(spec).await;
        assert!(stream.request_written());
        match stall {
            None => {
                assert!(matches!(outcome, ExchangeOutcome::Response { class: ResponseClass::Served, .. }));
                assert_eq!(&forwarded.take(attempt).unwrap().1.body[..], b"cash");
                assert!(forwarded.take(attempt).is_none());
            }
            Some(_) => assert!(matches!(outcome, ExchangeOutcome::InvalidResponse)),
        }
        peer.join().unwrap();
    }
}

fn request(body: impl Into<Bytes>) -> Rc<ForwardedRequest> {
    Rc::new(forwarded_request(body))
}

fn forwarded_request(body: impl Into<Bytes>) -> ForwardedRequest {
    ForwardedRequest {
        method: Method::POST,
        uri: Uri::from_static("/pay/k"),
        headers: HeaderMap::new(),
        body: body.into(),
        client: None,
        trace: None,
        time_left_header: HeaderName::from_static("x-time-left"),
        response_rules: Rc::new(ResponseRules::operator_default()),
        responses: RefCell::default(),
        executed_attempts: Cell::new(0),
    }
}

async fn connect_pair() -> (Stream, SocketAddr, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let stream = Stream::new(tokio::net::TcpStream::connect(to).await.unwrap());
    (stream, to, listener.accept().unwrap().0)
}

fn spec(stream: &Stream, to: SocketAddr, stall: Option<Duration>) -> ExchangeSpec {
    let (attempt, deadline) = (AttemptNumber(0), Instant::now() + Duration::from_secs(20));
    ExchangeSpec { attempt, stream: stream.clone(), to, deadline, stall_timeout: stall, max_body: 64 }
}

const COMPLETE_RESPONSE: &[u8] = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ncash";

/// The bytes, or the end of the stream, are in the kernel, and the event loop has not been notified of them yet. The exchange
/// fails before a byte is written.
#[tokio::test]
async fn bytes_received_before_the_request_is_written_are_not_its_response() {
    for closes in [false, true] {
        let (stream, to, mut peer) = connect_pair().await;
        match closes {
            false => peer.write_all(COMPLETE_RESPONSE).unwrap(),
            true => peer.shutdown(std::net::Shutdown::Write).unwrap(),
        }
        let outcome = request("cash").run_attempt(spec(&stream, to, None)).await;
        assert!(
            matches!(outcome, ExchangeOutcome::ConnectionClosed | ExchangeOutcome::InvalidResponse),
            "{outcome:?}"
        );
        assert!(stream.is_unwritten());
        drop(stream);
        peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        assert_eq!(peer.read(&mut [0; 64]).unwrap_or(0), 0, "no byte was written");
    }
}

/// The body is longer than the kernel's buffers, so that its last byte is not written when the response arrives. On a reused
/// connection the response may belong to the earlier request; on a new connection it cannot.
#[tokio::test]
async fn response_begun_before_the_request_is_written_is_invalid_on_a_reused_connection() {
    for used in [false, true] {
        let (stream, to, mut peer) = connect_pair().await;
        let backend = std::thread::spawn(move || {
            for _ in 0..=usize::from(used) {
                let _ = peer.read(&mut [0; 1024]);
                peer.write_all(COMPLETE_RESPONSE).unwrap();
            }
            peer
        });
        if used {
            let first = request("cash").run_attempt(spec(&stream, to, None)).await;
            assert!(matches!(first, ExchangeOutcome::Response { reusable: true, .. }), "{first:?}");
        }
        let outcome = request(vec![0; 64 << 20]).run_attempt(spec(&stream, to, None)).await;
        assert!(!stream.request_written());
        assert_eq!(matches!(outcome, ExchangeOutcome::InvalidResponse), used, "{outcome:?}");
        drop(backend.join().unwrap());
    }
}

/// If the event loop is busy while the rest of a response arrives, the bytes in the kernel are read before the timeout is
/// checked. A response that arrives byte by byte has no more than the timeout, counted from its first byte.
#[tokio::test]
async fn stall_timeout_is_checked_after_reading_what_the_kernel_has() {
    let stall = Some(Duration::from_millis(40));
    let (stream, to, mut peer) = connect_pair().await;
    let run = tokio::task::LocalSet::new();
    let mut outcome = run
        .run_until(async {
            let task = tokio::task::spawn_local(request("cash").run_attempt(spec(&stream, to, stall)));
            tokio::task::yield_now().await; // writes the request
            let _ = peer.read(&mut [0; 1024]);
            peer.write_all(&COMPLETE_RESPONSE[..COMPLETE_RESPONSE.len() - 2]).unwrap();
            while !stream.final_response_begun() {
                stream.next_bytes().await;
            }
            for _ in 0..4 {
                tokio::task::yield_now().await; // starts the timeout
            }
            std::thread::sleep(Duration::from_millis(80));
            peer.write_all(&COMPLETE_RESPONSE[COMPLETE_RESPONSE.len() - 2..]).unwrap();
            task.await.unwrap()
        })
        .await;
    assert!(matches!(outcome, ExchangeOutcome::Response { .. }), "{outcome:?}");
    let (stream, to, mut peer) = connect_pair().await;
    std::thread::spawn(move || {
        for byte in COMPLETE_RESPONSE.chunks(1) {
            std::thread::sleep(Duration::from_millis(30));
            let _ = peer.write_all(byte);
        }
    });
    outcome = request("cash").run_attempt(spec(&stream, to, stall)).await;
    assert!(matches!(outcome, ExchangeOutcome::InvalidResponse), "{outcome:?}");
}

/// An interim response does not start the timeout, and a final response that has begun has no more than the timeout, however
/// the bytes are split. Guards against a fault in which the timeout ran from the interim response and the rest of the final
/// response was not read.
#[tokio::test]
async fn stall_timeout_covers_a_response_after_interim_responses() {
    const INTERIM: &str = "HTTP/1.1 103 X\r\n\r\n";
    const INCOMPLETE: &str = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nca";
    let stall = Some(Duration::from_millis(40));
    for parts in [
        vec![[INTERIM, INCOMPLETE].concat()],
        vec![INTERIM.into(), INCOMPLETE.into()],
        vec![INTERIM.repeat(2), INCOMPLETE.into()],
    ] {
        let (stream, to, mut peer) = connect_pair().await;
        let backend = std::thread::spawn(move || {
            let _ = peer.read(&mut [0; 1024]);
            for part in parts {
                peer.write_all(part.as_bytes()).unwrap();
                std::thread::sleep(Duration::from_millis(5)); // the parts may still arrive together
            }
            let _ = peer.read(&mut [0; 1]); // until the proxy closes the connection
        });
        let mut outcome = request("cash").run_attempt(spec(&stream, to, stall));
        let found = tokio::time::timeout(Duration::from_secs(20), &mut outcome).await;
        assert!(matches!(found, Ok(ExchangeOutcome::InvalidResponse)), "{found:?}");
        drop((outcome, stream));
        backend.join().unwrap();
    }
    // An interim response alone does not start the timeout.
    let (stream, to, mut peer) = connect_pair().await;
    let backend = std::thread::spawn(move || {
        let _ = peer.read(&mut [0; 1024]);
        peer.write_all(INTERIM.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(120));
        peer.write_all(COMPLETE_RESPONSE).unwrap();
        peer
    });
    let outcome = request("cash").run_attempt(spec(&stream, to, stall)).await;
    assert!(matches!(outcome, ExchangeOutcome::Response { class: ResponseClass::Served, .. }), "{outcome:?}");
    drop(backend.join().unwrap());
}

/// Guards against a fault in which the first of two contradicting headers was used: a non-idempotent request that may have
/// been executed was sent again.
#[tokio::test]
async fn contradicting_unprocessed_headers_are_ignored() {
    for (header, class) in [
        ("X-Unprocessed: 1\r\n", ResponseClass::NotExecuted),
        ("X-Unprocessed: 1\r\nX-Unprocessed: 1\r\n", ResponseClass::NotExecuted),
        ("X-Unprocessed: 1\r\nx-unprocessed: 0\r\n", ResponseClass::Error),
        ("X-Unprocessed: 0\r\nX-Unprocessed: 1\r\n", ResponseClass::Error),
        ("X-Unprocessed: 0\r\n", ResponseClass::Error),
        ("X-Unprocessed: \r\n", ResponseClass::Error),
        ("", ResponseClass::Error),
    ] {
        let (stream, to, mut peer) = connect_pair().await;
        let backend = std::thread::spawn(move || {
            let _ = peer.read(&mut [0; 1024]);
            write!(peer, "HTTP/1.1 503 X\r\n{header}Content-Length: 0\r\n\r\n").unwrap();
            peer
        });
        let forwarded = Rc::new(ForwardedRequest {
            response_rules: Rc::new(ResponseRules::platform()),
            ..forwarded_request("cash")
        });
        let outcome = forwarded.run_attempt(spec(&stream, to, None)).await;
        assert!(
            matches!(outcome, ExchangeOutcome::Response { class: c, .. } if c == class),
            "{header:?}: {outcome:?}"
        );
        drop(backend.join().unwrap());
    }
}

/// The event loop may be late between the decision to send and the write: the backend must get the time left at the write.
#[tokio::test]
async fn time_left_header_is_computed_when_the_request_is_written() {
    let (stream, to, mut peer) = connect_pair().await;
    let run = request("cash").run_attempt(spec(&stream, to, None)); // the deadline is 20 s away
    std::thread::sleep(Duration::from_millis(300));
    let served = std::thread::spawn(move || {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\ncash") {
            let mut byte = [0];
            peer.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        peer.write_all(COMPLETE_RESPONSE).unwrap();
        String::from_utf8(head).unwrap()
    });
    assert!(matches!(run.await, ExchangeOutcome::Response { class: ResponseClass::Served, .. }));
    let head = served.join().unwrap().to_ascii_lowercase();
    let time_left = head.split("x-time-left: ").nth(1).and_then(|rest| rest.split('\r').next()).unwrap();
    assert!(time_left.parse::<f64>().unwrap() <= 19.7, "{time_left}");
}
