//! Tests of `errand` that need its private items.

use super::*;
use std::io::{Read, Write};

/// An answer that stalls has begun all the same: only where the configuration says so is it given up.
#[tokio::test]
async fn an_answer_that_stalls_is_spoilt_only_where_a_bound_is_set() {
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
        let call = Rc::new(Call {
            method: Method::POST,
            uri: Uri::from_static("/pay/k"),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"cash"),
            client: None,
            time_left: HeaderName::from_static("x-time-left"),
            answers: Rc::new(Answers::plain()),
            got: RefCell::default(),
        });
        let stream = Stream::new(tokio::net::TcpStream::connect(to).await.unwrap());
        let (attempt, left, max_body) = (AttemptNo(0), Duration::from_secs(20), 64);
        let leg = Leg { attempt, stream: stream.clone(), to, left, stall, max_body };
        let heard = call.clone().run(leg).await;
        assert!(stream.request_written());
        match stall {
            None => {
                assert!(matches!(heard, Heard::Answered { verdict: Verdict::Served, .. }));
                assert_eq!(&call.take(attempt).unwrap().1.body[..], b"cash");
                assert!(call.take(attempt).is_none());
            }
            Some(_) => assert!(matches!(heard, Heard::Spoilt)),
        }
        peer.join().unwrap();
    }
}

fn call(body: impl Into<Bytes>) -> Rc<Call> {
    Rc::new(plain(body))
}

fn plain(body: impl Into<Bytes>) -> Call {
    Call {
        method: Method::POST,
        uri: Uri::from_static("/pay/k"),
        headers: HeaderMap::new(),
        body: body.into(),
        client: None,
        time_left: HeaderName::from_static("x-time-left"),
        answers: Rc::new(Answers::plain()),
        got: RefCell::default(),
    }
}

async fn connected() -> (Stream, SocketAddr, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let stream = Stream::new(tokio::net::TcpStream::connect(to).await.unwrap());
    (stream, to, listener.accept().unwrap().0)
}

fn leg(stream: &Stream, to: SocketAddr, stall: Option<Duration>) -> Leg {
    let (attempt, left) = (AttemptNo(0), Duration::from_secs(20));
    Leg { attempt, stream: stream.clone(), to, left, stall, max_body: 64 }
}

const WHOLE: &[u8] = b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ncash";

/// The event loop has had no chance to hear of it: the kernel has it all the same, and not a byte goes out.
#[tokio::test]
async fn what_lies_in_the_kernel_before_the_first_byte_is_no_answer_to_it() {
    for closes in [false, true] {
        let (stream, to, mut peer) = connected().await;
        match closes {
            false => peer.write_all(WHOLE).unwrap(),
            true => peer.shutdown(std::net::Shutdown::Write).unwrap(),
        }
        let heard = call("cash").run(leg(&stream, to, None)).await;
        assert!(matches!(heard, Heard::Ended | Heard::Spoilt), "{heard:?}");
        assert!(stream.untouched());
        drop(stream);
        peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        assert_eq!(peer.read(&mut [0; 64]).unwrap_or(0), 0, "nothing was written");
    }
}

/// A body that is too long for the kernel, so that its last byte is not out when the answer comes. On a connection
/// that has carried another request that may be about the other one; on a new one it cannot.
#[tokio::test]
async fn an_answer_that_begins_before_its_request_has_ended_may_be_another_requests() {
    for used in [false, true] {
        let (stream, to, mut peer) = connected().await;
        let box_side = std::thread::spawn(move || {
            for _ in 0..=usize::from(used) {
                let _ = peer.read(&mut [0; 1024]);
                peer.write_all(WHOLE).unwrap();
            }
            peer
        });
        if used {
            let first = call("cash").run(leg(&stream, to, None)).await;
            assert!(matches!(first, Heard::Answered { keep: true, .. }), "{first:?}");
        }
        let heard = call(vec![0; 64 << 20]).run(leg(&stream, to, None)).await;
        assert!(!stream.request_written());
        assert_eq!(matches!(heard, Heard::Spoilt), used, "{heard:?}");
        drop(box_side.join().unwrap());
    }
}

/// The loop does other things while the rest of an answer comes: what the kernel has by then is read before the
/// time is looked at. A drip gets no more than the time from its first byte on.
#[tokio::test]
async fn a_late_loop_takes_no_honest_answer_for_spoilt_and_no_drip_for_honest() {
    let stall = Some(Duration::from_millis(40));
    let (stream, to, mut peer) = connected().await;
    let run = tokio::task::LocalSet::new();
    let mut heard = run
        .run_until(async {
            let task = tokio::task::spawn_local(call("cash").run(leg(&stream, to, stall)));
            tokio::task::yield_now().await; // it is written
            let _ = peer.read(&mut [0; 1024]);
            peer.write_all(&WHOLE[..WHOLE.len() - 2]).unwrap();
            while !stream.final_begun() {
                stream.next_bytes().await;
            }
            for _ in 0..4 {
                tokio::task::yield_now().await; // its time runs
            }
            std::thread::sleep(Duration::from_millis(80));
            peer.write_all(&WHOLE[WHOLE.len() - 2..]).unwrap();
            task.await.unwrap()
        })
        .await;
    assert!(matches!(heard, Heard::Answered { .. }), "{heard:?}");
    let (stream, to, mut peer) = connected().await;
    std::thread::spawn(move || {
        for byte in WHOLE.chunks(1) {
            std::thread::sleep(Duration::from_millis(30));
            let _ = peer.write_all(byte);
        }
    });
    heard = call("cash").run(leg(&stream, to, stall)).await;
    assert!(matches!(heard, Heard::Spoilt), "{heard:?}");
}

/// However they come: of what is only announced the time is the box's own, and what has begun gets no more than its
/// time. That ran from the announcement, and the rest of the answer was not seen any more.
#[tokio::test]
async fn half_an_answer_behind_one_of_status_1xx_is_spoilt_as_any_other() {
    const EARLY: &str = "HTTP/1.1 103 X\r\n\r\n";
    const HALF: &str = "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nca";
    let stall = Some(Duration::from_millis(40));
    for parts in
        [vec![[EARLY, HALF].concat()], vec![EARLY.into(), HALF.into()], vec![EARLY.repeat(2), HALF.into()]]
    {
        let (stream, to, mut peer) = connected().await;
        let box_side = std::thread::spawn(move || {
            let _ = peer.read(&mut [0; 1024]);
            for part in parts {
                peer.write_all(part.as_bytes()).unwrap();
                std::thread::sleep(Duration::from_millis(5)); // it may come as one all the same
            }
            let _ = peer.read(&mut [0; 1]); // until the proxy gives it up
        });
        let mut heard = call("cash").run(leg(&stream, to, stall));
        let found = tokio::time::timeout(Duration::from_secs(20), &mut heard).await;
        assert!(matches!(found, Ok(Heard::Spoilt)), "{found:?}");
        drop((heard, stream));
        box_side.join().unwrap();
    }
    // What is announced alone has no such bound.
    let (stream, to, mut peer) = connected().await;
    let box_side = std::thread::spawn(move || {
        let _ = peer.read(&mut [0; 1024]);
        peer.write_all(EARLY.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(120));
        peer.write_all(WHOLE).unwrap();
        peer
    });
    let heard = call("cash").run(leg(&stream, to, stall)).await;
    assert!(matches!(heard, Heard::Answered { verdict: Verdict::Served, .. }), "{heard:?}");
    drop(box_side.join().unwrap());
}

/// Of two that differ the first was believed: an unsafe request went out again that may have run.
#[tokio::test]
async fn a_proof_that_contradicts_itself_proves_nothing() {
    for (said, verdict) in [
        ("X-Unprocessed: 1\r\n", Verdict::NeverRan),
        ("X-Unprocessed: 1\r\nX-Unprocessed: 1\r\n", Verdict::NeverRan),
        ("X-Unprocessed: 1\r\nx-unprocessed: 0\r\n", Verdict::Error),
        ("X-Unprocessed: 0\r\nX-Unprocessed: 1\r\n", Verdict::Error),
        ("X-Unprocessed: 0\r\n", Verdict::Error),
        ("X-Unprocessed: \r\n", Verdict::Error),
        ("", Verdict::Error),
    ] {
        let (stream, to, mut peer) = connected().await;
        let box_side = std::thread::spawn(move || {
            let _ = peer.read(&mut [0; 1024]);
            write!(peer, "HTTP/1.1 503 X\r\n{said}Content-Length: 0\r\n\r\n").unwrap();
            peer
        });
        let asked = Rc::new(Call { answers: Rc::new(Answers::platform()), ..plain("cash") });
        let heard = asked.run(leg(&stream, to, None)).await;
        assert!(matches!(heard, Heard::Answered { verdict: v, .. } if v == verdict), "{said:?}: {heard:?}");
        drop(box_side.join().unwrap());
    }
}
