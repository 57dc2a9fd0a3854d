//! Clients that close between the event loop's wait and the turn in which their requests are read: the program is
//! delayed there, so that what the loop was told is older than the close each time.

mod harness;

use harness::strace::Strace;
use harness::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// How long each wait of the event loop is held back after the kernel has answered it.
const HELD_BACK: Duration = Duration::from_millis(300);
/// A client closes so long after its request, well within that.
const STAYS: Duration = Duration::from_millis(20);
/// What begins so long after the close was not on its way by then.
const BEGUN_BEFORE: Duration = Duration::from_millis(100);
/// Clients of one run, at moments that are spread over more than one wait.
const CLIENTS: usize = 24;

/// What a client has sent before it closes.
#[derive(Clone, Copy, Debug)]
enum SentParts {
    Whole,
    /// Head and body in two parts; the end comes behind the second.
    InParts,
}

/// The requests that come to a backend, each with its time.
fn arrivals(backend: BackendServer) -> mpsc::Receiver<(String, Instant)> {
    let (tell, arrivals) = mpsc::channel();
    std::thread::spawn(move || {
        while let Ok(seen) = backend.events.recv() {
            let at = Instant::now();
            if let BackendEvent::Request(message) = seen {
                let id = message.header("x-correlation-id").unwrap_or_default().to_string();
                let _ = tell.send((id, at));
            }
        }
    });
    arrivals
}

/// Sends a request, closes, and returns the request's id and when it closed.
fn ask_and_close(proxy: SocketAddr, sent: SentParts) -> (String, Instant) {
    let request = pay_request(3.0);
    let mut client = Client::connect(proxy);
    match sent {
        SentParts::Whole => client.send(&request),
        SentParts::InParts => {
            let (head, body) = request.split_at(request.len() - 2);
            client.send(head);
            std::thread::sleep(HELD_BACK * 2); // the head has been read
            client.send(body);
        }
    }
    std::thread::sleep(STAYS);
    drop(client);
    (id_of(&request).into(), Instant::now())
}

#[test]
fn request_is_not_sent_when_its_client_closes_before_the_loop_reads_it() {
    for sent in [SentParts::Whole, SentParts::InParts] {
        let backend = BackendServer::start(|_| ok_reply("x"));
        let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
        let arrivals = arrivals(backend);
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200); // a connection to the backend is at hand
        let output = std::env::temp_dir().join(format!("shaletide-client-gone-{}", proxy.child.id()));
        let delay = format!("inject=epoll_wait:delay_exit={}", HELD_BACK.as_micros());
        let filter = ["-e", "trace=epoll_wait", "-e", &delay];
        let Some(strace) = Strace::attach(proxy.child.id(), &output, &filter) else { return };
        let left: HashMap<String, Instant> = std::thread::scope(|scope| {
            let ask = |n: usize| {
                let proxy = proxy.address;
                scope.spawn(move || {
                    std::thread::sleep(HELD_BACK * n as u32 / 8);
                    ask_and_close(proxy, sent)
                })
            };
            let asked: Vec<_> = (0..CLIENTS).map(ask).collect();
            asked.into_iter().map(|client| client.join().unwrap()).collect()
        });
        std::thread::sleep(HELD_BACK * 3); // what was read goes on its way
        drop(strace);
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
        let _ = std::fs::remove_file(&output);
        let late: Vec<_> = arrivals
            .try_iter()
            .filter_map(|(id, at)| Some(at.saturating_duration_since(*left.get(&id)?)))
            .filter(|after| *after > BEGUN_BEFORE)
            .collect();
        println!("{sent:?}: {} of {CLIENTS} sent after their clients had closed", late.len());
        assert!(late.is_empty(), "{sent:?}: {late:?}");
    }
}
