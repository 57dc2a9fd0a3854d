//! Excess bytes that a backend sends some milliseconds after its response are never taken for the next response.

mod harness;

use harness::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a backend that sends each response twice; the body is the request's id. The copy is due for `delay` after the
/// response. The backend holds it back until the next request: if that arrives within `delay`, the copy is sent directly
/// before its response, which is the worst moment. Returns the address and the number of such requests.
fn start_duplicating_backend(delay: Duration) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let copies_sent = Arc::new(AtomicU32::new(0));
    let count = copies_sent.clone();
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp.try_clone().unwrap());
                let mut previous: Option<(String, Instant)> = None;
                while let Some(message) = Message::read(&mut reader) {
                    let id = message.header("x-correlation-id").unwrap_or_default();
                    let response = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    if let Some((copy, _)) = previous.filter(|(_, at)| at.elapsed() < delay) {
                        count.fetch_add(1, SeqCst);
                        let _ = tcp.write_all(copy.as_bytes());
                    }
                    if tcp.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                    previous = Some((response, Instant::now()));
                }
            });
        }
    });
    (address, copies_sent)
}

/// Sends requests of each effect in turn, each 3 ms after the last response. That is the shortest time for which the proxy
/// ever left a connection unused after a response.
#[test]
fn late_duplicate_response_is_never_forwarded() {
    let mut results = Vec::new();
    for delay_ms in [3, 5, 8] {
        let (address, copies_sent) = start_duplicating_backend(Duration::from_millis(delay_ms));
        let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &[(address, "1")])));
        let mut client = proxy.client();
        let mut wrong = 0;
        for n in 0..60 {
            let request = request(["/read/k", "/settle/k", "/pay/k"][n % 3], 3.0, "");
            let answer = client.request(&request);
            assert_eq!(answer.status(), 200);
            wrong += u32::from(answer.body != id_of(&request).as_bytes());
            std::thread::sleep(Duration::from_millis(3)); // the time until a client's next request
        }
        results.push((delay_ms, wrong, copies_sent.load(SeqCst)));
    }
    assert_eq!(
        results,
        [3, 5, 8].map(|delay_ms| (delay_ms, 0, 0)),
        "delay in ms, wrong responses of 60, copies sent"
    );
}
