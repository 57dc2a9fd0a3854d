//! Where a backend's response ends: a response without a length ends with its connection, if that ends in order. A reset ends
//! no response.

mod harness;

use harness::ending_backend::{End, EndingBackend};
use harness::*;

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
        let backend = EndingBackend::start(&[form], End::InOrder);
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
        let backend = EndingBackend::start(pieces, End::InOrder);
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
    let whole = WHOLE_FORMS.iter().map(std::slice::from_ref);
    for pieces in whole.chain(FORMS_IN_PIECES) {
        let backend = EndingBackend::start(pieces, End::Reset);
        let proxy = backend.proxy();
        let answer = proxy.request(&pay_request(3.0));
        assert_eq!(answer.status(), 502, "{}", pieces.concat());
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
        let backend = EndingBackend::start(&[response], End::InOrder);
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
        let backend = EndingBackend::start(&[response], End::InOrder);
        let answer = backend.proxy().request(&pay_request(3.0));
        assert_eq!(answer.status(), status, "{length}");
        assert!(status != 200 || answer.body == vec![b'y'; length], "{length}");
    }
}

/// A rejection without a length proves as much as one with a length: the request was not executed and goes elsewhere.
#[test]
fn rejection_without_a_length_proves_that_the_request_was_not_executed() {
    let rejection = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\n\r\nfull";
    let full = EndingBackend::start(&[rejection], End::InOrder);
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
