//! Checks the ordinary load of the soak while its proxy is stopped.

mod rig;

use rig::*;
use shaletide_testkit::{End, Load, LoadClass};
use shaletide_types::Idempotency;
use std::time::Duration;
use tokio::sync::watch;

const STOPS: usize = 12;
/// Rate at which several connections have a request at the moment of their close, requests per second.
const RATE_PER_S: f64 = 3_000.0;
/// Time from the start of the load to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(150);
/// Time after SIGTERM during which clients still open connections.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// Runs one load across a stop. Returns the number of requests that were sent a second time, and of those without an answer.
fn load_across_a_stop(seed: u64) -> (usize, usize) {
    let folder = Folder::new();
    let (program, _control) = faulty(&folder, None);
    let backends: Vec<BackendServer> = (0..3).map(|_| BackendServer::start(|_| ok_reply("done"))).collect();
    let known: Vec<String> = (0..)
        .zip(&backends)
        .map(|(n, backend)| endpoint_json(&format!("b{n}"), backend.address, "SERVING"))
        .collect();
    let proxy = program.start(&known);
    let (existing_only, no_new) = watch::channel(false);
    let class = LoadClass {
        headers: vec![("X-Account".into(), "north".into())],
        ..LoadClass::new("read", Idempotency::Safe, Duration::from_secs(3))
    };
    let load = Load {
        seed,
        existing_connections_only: Some(no_new),
        ..Load::new(RATE_PER_S, vec![class], STOP_AFTER + STOP_NOTICE)
    };
    let at = proxy.address;
    let clients = std::thread::spawn(move || load.run_blocking(at).unwrap());
    std::thread::sleep(STOP_AFTER);
    proxy.signal("TERM");
    std::thread::sleep(STOP_NOTICE);
    existing_only.send_replace(true);
    let result = clients.join().unwrap();
    let broken = result.sent.iter().filter(|sent| matches!(sent.end, End::Broken | End::GaveUp)).count();
    (result.resent as usize, broken)
}

/// Guards against reporting a request as unanswered that crossed the close of its connection and was retried on another
/// connection that was being closed too (seed 93037).
#[test]
fn request_that_crosses_a_close_is_answered_on_a_new_connection() {
    let (mut resent, mut broken) = (0, 0);
    for seed in 0..STOPS {
        let stop = load_across_a_stop(seed as u64);
        resent += stop.0;
        broken += stop.1;
    }
    println!("{resent} sent again, {broken} without an answer");
    assert_eq!(broken, 0, "{resent} sent again");
}
