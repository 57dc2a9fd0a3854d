//! Checks system calls that fail in ways that Linux documents: every accepted request is answered, and none runs twice.

mod rig;

use rig::*;
use shaletide_soak::call_faults::CallFault;
use std::io::ErrorKind;

/// Starts a backend that answers every request, and returns it with its list entry.
fn backend() -> (BackendServer, Vec<String>) {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let known = vec![endpoint_json("b0", backend.address, "SERVING")];
    (backend, known)
}

/// Each read returns a few bytes and leaves the rest in the kernel, which does not notify again. Heads and bodies of requests
/// and answers must still be read completely.
#[test]
fn short_reads_leave_no_request_unanswered() {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let (backend, known) = backend();
    let proxy = program.start(&known);
    control.set(CallFault::ShortRead, 1.0).expect("the control file");
    let mut client = proxy.client();
    for n in 0..5 {
        assert_eq!(client.request(&pay_request(3.0)).status(), 200, "request {n}");
    }
    assert_eq!(backend.request_count(), 5);
    assert!(control.count(CallFault::ShortRead).expect("the control file") > 100);
}

/// Half of all reads, peeks and writes are interrupted without effect: no connection is closed because of it, no request is
/// sent twice, and each receives its own answer.
#[test]
fn interrupted_reads_and_writes_end_no_connection() {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let (backend, known) = backend();
    let proxy = program.start(&known);
    let mut client = proxy.client();
    assert_eq!(client.request(&pay_request(3.0)).status(), 200);
    control.set(CallFault::InterruptedRead, 0.5).expect("the control file");
    control.set(CallFault::InterruptedWrite, 0.5).expect("the control file");
    for n in 0..20 {
        for request in [read_request(3.0), pay_request(3.0), vote_request(3.0)] {
            assert_eq!(client.request(&request).status(), 200, "round {n}");
        }
    }
    assert_eq!(backend.request_count(), 61);
    for fault in [CallFault::InterruptedRead, CallFault::InterruptedWrite] {
        assert!(control.count(fault).expect("the control file") > 20, "{fault:?}");
    }
}

/// Accepts fail with network errors that the kernel passes on, while slots and descriptors are free: idle connections stay
/// open, and new ones are served.
#[test]
fn accept_errors_evict_no_client_while_slots_are_free() {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let (_backend, known) = backend();
    let proxy = program.start(&known);
    let mut idle: Vec<Client> = (0..20).map(|_| proxy.client()).collect();
    for client in &mut idle {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    control.set(CallFault::Accept, 0.5).expect("the control file");
    for _ in 0..40 {
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    assert!(control.count(CallFault::Accept).expect("the control file") > 10);
    for (n, client) in idle.iter_mut().enumerate() {
        let tcp = client.0.get_ref();
        tcp.set_nonblocking(true).expect("a socket");
        let peeked = tcp.peek(&mut [0]);
        assert!(matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock), "client {n}: {peeked:?}");
    }
}
