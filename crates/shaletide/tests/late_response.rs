//! What a backend sends some milliseconds after its answer is never the answer to the next request.

mod harness;

use harness::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A backend whose answers carry the id of their request and come twice, the hedged attempt so much later. It holds the copy
/// back until a request is on its way: one that is there before the copy was due finds it in front of its own answer,
/// which is the worst moment for it to come. Its count is of such requests.
fn answers_twice(late: Duration) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let crossed = Arc::new(AtomicU32::new(0));
    let count = crossed.clone();
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp.try_clone().unwrap());
                let mut last: Option<(String, Instant)> = None;
                while let Some(message) = Message::read(&mut reader) {
                    let id = message.header("x-correlation-id").unwrap_or_default();
                    let own = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    if let Some((copy, _)) = last.filter(|(_, at)| at.elapsed() < late) {
                        count.fetch_add(1, SeqCst);
                        let _ = tcp.write_all(copy.as_bytes());
                    }
                    if tcp.write_all(own.as_bytes()).is_err() {
                        return;
                    }
                    last = Some((own, Instant::now()));
                }
            });
        }
    });
    (address, crossed)
}

/// Requests of each effect in turn, the next as soon as the shortest rest is over that was ever kept.
#[test]
fn late_duplicate_response_is_served_to_nobody() {
    let mut found = Vec::new();
    for late in [3, 5, 8] {
        let (address, crossed) = answers_twice(Duration::from_millis(late));
        let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &[(address, "1")])));
        let mut client = proxy.client();
        let mut wrong = 0;
        for n in 0..60 {
            let request = request(["/read/k", "/settle/k", "/pay/k"][n % 3], 3.0, "");
            let answer = client.request(&request);
            assert_eq!(answer.status(), 200);
            wrong += u32::from(answer.body != id_of(&request).as_bytes());
            std::thread::sleep(Duration::from_millis(3)); // how long a client takes before its next
        }
        found.push((late, wrong, crossed.load(SeqCst)));
    }
    assert_eq!(found, [3, 5, 8].map(|late| (late, 0, 0)), "milliseconds, wrong answers of 60, copies met");
}
