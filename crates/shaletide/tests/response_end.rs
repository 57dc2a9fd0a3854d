//! Where a backend's response ends: a response without a length ends with its connection, if that ends in order. A reset ends
//! no response.

mod harness;

use harness::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// The pause between the pieces of a response, in which the proxy reads each piece by itself.
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// How a backend ends the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    InOrder,
    Reset,
}

/// A backend that answers one request on each connection with these pieces, and then ends the connection.
struct EndingBackend {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl EndingBackend {
    fn start(pieces: Vec<Vec<u8>>, end: End) -> EndingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = requests.clone();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let mut reader = BufReader::new(tcp.try_clone().unwrap());
                if Message::read(&mut reader).is_none() {
                    continue;
                }
                counted.fetch_add(1, SeqCst);
                for (number, piece) in pieces.iter().enumerate() {
                    if number > 0 {
                        std::thread::sleep(PIECE_PAUSE);
                    }
                    let _ = tcp.write_all(piece);
                }
                if end == End::Reset {
                    std::thread::sleep(PIECE_PAUSE); // a reset that overtook the bytes would not cut the response off
                    socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO)).unwrap();
                }
            }
        });
        EndingBackend { address, requests }
    }

    fn proxy(&self) -> Proxy {
        Proxy::start(&[endpoint_json("b0", self.address, "SERVING")])
    }

    fn request_count(&self) -> usize {
        self.requests.load(SeqCst)
    }
}

fn bytes(pieces: &[&str]) -> Vec<Vec<u8>> {
    pieces.iter().map(|piece| piece.as_bytes().to_vec()).collect()
}

/// The forms of a response without a length whose body is `the body`, written at once.
const WHOLE_FORMS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe body",
    "HTTP/1.1 200 OK\r\n\r\nthe body",
    "HTTP/1.0 200 OK\r\n\r\nthe body",
];
/// The same in pieces.
const FORMS_IN_PIECES: [&[&str]; 3] = [
    &["HTTP/1.1 200 OK\r\n\r\n", "the body"],
    &["HTTP/1.1 200", " OK\r\n\r\nthe", " body", ""],
    &["HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nthe body"],
];

fn assert_served(answer: &Message, form: &str) {
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"the body"[..]), "{form}");
    assert_eq!(answer.header("content-length"), Some("8"), "the client is told the length");
}

/// Guards against answering 502 to a request that its backend has run and answered whole: a response without a length is
/// complete when its connection ends in order.
#[test]
fn response_without_a_length_is_served_when_its_connection_ends_in_order() {
    for form in WHOLE_FORMS {
        let backend = EndingBackend::start(bytes(&[form]), End::InOrder);
        let proxy = backend.proxy();
        let mut client = proxy.client();
        for (sent, new_request) in [read_request, pay_request, vote_request, pay_request].iter().enumerate() {
            assert_served(&client.request(&new_request(3.0)), form);
            assert_eq!(backend.request_count(), sent + 1, "one attempt each: {form}");
        }
    }
}

/// The end may come later than the head and the body. An operators' file sets no time for a whole response.
#[test]
fn response_without_a_length_is_served_when_it_comes_in_pieces() {
    for pieces in FORMS_IN_PIECES {
        let backend = EndingBackend::start(bytes(pieces), End::InOrder);
        let proxy = program().serve(&(CLASSES.to_string() + &pool("p", &[(backend.address, "1")])));
        for sent in 1..=2 {
            assert_served(&proxy.request(&request("/pay/k", 3.0, "")), &pieces.concat());
            assert_eq!(backend.request_count(), sent, "one attempt each");
        }
    }
}

/// Guards against taking a reset for the end of a response without a length: nothing of it may be served.
#[test]
fn response_without_a_length_is_not_served_when_its_connection_is_reset() {
    let forms = WHOLE_FORMS.iter().map(|form| bytes(&[form]));
    for pieces in forms.chain(FORMS_IN_PIECES.map(bytes)) {
        let backend = EndingBackend::start(pieces.clone(), End::Reset);
        let proxy = backend.proxy();
        let answer = proxy.request(&pay_request(3.0));
        assert_eq!(answer.status(), 502, "{}", String::from_utf8_lossy(&pieces.concat()));
        assert_eq!(backend.request_count(), 1, "it may have been executed");
    }
}

/// A length or a last chunk that is announced and does not come is missing, however the connection ends; so is the end of a
/// coding that the proxy cannot remove.
#[test]
fn announced_end_is_not_replaced_by_the_end_of_the_connection() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nthe body",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nthe body",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nTransfer-Encoding: gzip\r\n\r\nthe body",
    ] {
        let backend = EndingBackend::start(bytes(&[response]), End::InOrder);
        let answer = backend.proxy().request(&pay_request(3.0));
        assert_eq!((answer.status(), backend.request_count()), (502, 1), "{response}");
    }
}

/// A body without a length may be as long as one with a length, and no longer.
#[test]
fn body_without_a_length_has_the_limit_of_other_bodies() {
    let longest = 64 * 1024;
    for (length, status) in [(0, 200), (longest, 200), (longest + 1, 502)] {
        let response = [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'y'; length]].concat();
        let backend = EndingBackend::start(vec![response], End::InOrder);
        let answer = backend.proxy().request(&pay_request(3.0));
        assert_eq!(answer.status(), status, "{length}");
        assert!(status != 200 || answer.body == vec![b'y'; length], "{length}");
    }
}

/// A rejection without a length proves as much as one with a length: the request was not executed and goes elsewhere.
#[test]
fn rejection_without_a_length_proves_that_the_request_was_not_executed() {
    let full = bytes(&["HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\n\r\nfull"]);
    let full = EndingBackend::start(full, End::InOrder);
    let good = BackendServer::start(|_| ok_reply("good"));
    let proxy = Proxy::start(&[
        endpoint_json("b0", full.address, "SERVING"),
        endpoint_json("b1", good.address, "SERVING"),
    ]);
    let mut sent = 0;
    while full.request_count() == 0 {
        assert_eq!(proxy.request(&pay_request(3.0)).body, b"good");
        sent += 1;
        assert!(sent < 200, "selection never picked the backend that is full");
    }
    assert_eq!(good.request_count(), sent);
}
