//! Requests that come again under the same id after the first one has ended: none is executed twice.

mod harness;

use harness::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn assert_conflict(proxy: &RunningProgram, request: &str, case: &str) {
    let again = proxy.request(request);
    assert_eq!(
        (again.status(), again.body),
        (409, b"a request of this id may have run\n".to_vec()),
        "{case}"
    );
}

/// Guards against executing a request twice whose client closed its connection and sent it again on a new one, while the
/// first attempt was out or after it.
#[test]
fn request_is_not_executed_again_after_its_client_left() {
    for request in [pay_request(3.0), vote_request(3.0)] {
        let gate = Arc::new(Gate::default());
        let wait = gate.clone();
        let backend = BackendServer::start(move |_| Reply::Gate(wait.clone()));
        let proxy = proxy_with_one_backend(&backend);
        let mut first = proxy.client();
        first.send(&request);
        backend.next_request();
        drop(first);
        // Until the proxy has seen the close, the request is open and its id in use.
        let start = Instant::now();
        while proxy.request(&request).body == b"a request of this id is open\n" {
            assert!(start.elapsed() < WAIT_LIMIT, "the close is not seen");
        }
        assert_conflict(&proxy, &request, "the attempt was cancelled");
        gate.open();
        assert_conflict(&proxy, &request, "the backend has gone on");
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200, "another request");
        assert_eq!(backend.request_count(), 2);
    }
}

#[test]
fn request_that_was_answered_is_not_executed_again() {
    for (answer, status) in [((200, ""), 200), ((500, ""), 502)] {
        let backend = BackendServer::start(move |_| Reply::Answer(answer.0, answer.1, "x".into()));
        let proxy = proxy_with_one_backend(&backend);
        let request = pay_request(3.0);
        assert_eq!(proxy.request(&request).status(), status);
        assert_conflict(&proxy, &request, "answered");
        assert_eq!(backend.request_count(), 1);
    }
}

/// An id whose request is known not to have been executed may come again, and so may that of a safe request.
#[test]
fn request_that_was_not_executed_or_is_safe_may_come_again() {
    let gone = RefusingPort::new();
    let proxy = Proxy::start(&[endpoint_json("b0", gone.address(), "SERVING")]);
    let request = pay_request(0.3);
    for _ in 0..2 {
        assert_eq!(proxy.request(&request).status(), 503, "no connection");
    }
    let backend = BackendServer::start(|_| Reply::Answer(503, "X-Unprocessed: 1", "full".into()));
    let proxy = proxy_with_one_backend(&backend);
    for _ in 0..2 {
        assert_eq!(proxy.request(&request).status(), 503, "turned away");
    }
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = proxy_with_one_backend(&backend);
    let request = read_request(3.0);
    for _ in 0..2 {
        assert_eq!(proxy.request(&request).status(), 200, "safe");
    }
}

/// The id is free again once no client can still wait for the request: after the class's deadline. A reload keeps it.
#[test]
fn id_is_kept_over_a_reload_and_free_after_the_class_deadline() {
    let deadline = Duration::from_secs(2);
    let backend = BackendServer::start(|_| ok_reply("x"));
    let file = |deadline: &str| CLASSES.replace("3s", deadline) + &pool("p", &[(backend.address, "bay")]);
    let proxy = program().serve(&file("2s"));
    let request = request("/pay/k", 1.0, "");
    assert_eq!(proxy.request(&request).status(), 200);
    let answered_at = Instant::now();
    proxy.reload_accepted(&file("2500ms"));
    assert_conflict(&proxy, &request, "after a reload");
    std::thread::sleep(deadline.saturating_sub(answered_at.elapsed()));
    assert_eq!(proxy.request(&request).status(), 200, "after the deadline");
}
