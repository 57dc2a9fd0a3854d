//! The cost of evicting idle connections for new clients while all connection slots are taken.

mod harness;

use harness::strace::Strace;
use harness::*;

/// Connections that arrive once all slots are taken.
const ARRIVALS: usize = 60;
/// The limit on system calls per arrival that inspect connections: those that could be evicted, and its own.
const PEEKS_PER_ARRIVAL: usize = 10;

/// Each arrival evicts one idle connection. When the proxy inspected every other client's socket for that, 300 clients cost
/// it all of its processor time, and new connections waited in the accept queue for seconds.
#[test]
fn evicting_an_idle_connection_does_not_query_every_client_socket() {
    let backend = BackendServer::start(|_| ok_reply("x"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let mut idle = Vec::new();
    for _ in 0..600 {
        let mut client = proxy.client();
        // The connection is answered or closed; either way it has been accepted.
        client.send("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n");
        client.answer();
        idle.push(client);
    }
    let output = std::env::temp_dir().join(format!("shaletide-eviction-{}", proxy.child.id()));
    let filter = ["-e", "trace=recvfrom,accept4"];
    let Some(strace) = Strace::attach(proxy.child.id(), &output, &filter) else { return };
    for _ in 0..ARRIVALS {
        let mut client = proxy.client();
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
        idle.push(client);
    }
    let calls = strace.finish();
    std::fs::remove_file(&output).unwrap();
    let accepted = calls.iter().filter(|call| call.contains("accept4(") && !call.contains("EAGAIN")).count();
    let peeks = calls.iter().filter(|call| call.contains("MSG_PEEK")).count();
    println!("{peeks} peeks for {accepted} arrivals");
    assert!(accepted >= ARRIVALS, "{accepted} accepted");
    assert!(peeks <= accepted * PEEKS_PER_ARRIVAL, "{peeks} peeks for {accepted} arrivals");
}
