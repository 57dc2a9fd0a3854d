//! Idle clients hold all connection slots, and new ones keep coming: what it costs to make room for them.

mod harness;

use harness::strace::Strace;
use harness::*;

/// Connections that arrive once all slots are taken.
const ARRIVALS: usize = 60;
/// Calls to the kernel that an arrival may cost for looking at connections that could make room, or at its own.
const PEEKS_PER_ARRIVAL: usize = 10;

/// Each arrival evicts one idle connection. Asking the kernel about every other client for that cost a proxy with 300
/// clients all of its processor time, so that new connections waited in the accept queue for seconds.
#[test]
fn evicting_an_idle_connection_does_not_query_every_client_socket() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let mut idle = Vec::new();
    for _ in 0..600 {
        let mut client = proxy.client();
        // Answered once, or closed again: either way it has been accepted.
        client.send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
        client.answer();
        idle.push(client);
    }
    let folder = std::env::temp_dir().join(format!("shaletide-eviction-{}", proxy.child.id()));
    let filter = ["-e", "trace=recvfrom,accept4"];
    let Some(strace) = Strace::attach(proxy.child.id(), &folder, &filter) else { return };
    for _ in 0..ARRIVALS {
        let mut client = proxy.client();
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        idle.push(client);
    }
    let calls = strace.finish();
    std::fs::remove_file(&folder).unwrap();
    let accepted = calls.iter().filter(|call| call.contains("accept4(") && !call.contains("EAGAIN")).count();
    let peeks = calls.iter().filter(|call| call.contains("MSG_PEEK")).count();
    println!("{peeks} peeks for {accepted} arrivals");
    assert!(accepted >= ARRIVALS, "{accepted} accepted");
    assert!(peeks <= accepted * PEEKS_PER_ARRIVAL, "{peeks} peeks for {accepted} arrivals");
}
