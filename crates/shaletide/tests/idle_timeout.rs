//! A resting connection whose time is up in the moment in which a request arrives on it.

mod harness;

use harness::*;
use std::time::Duration;

/// A resting connection is closed after this time (2.1 s on the platform), less what a busy machine needs to stop it.
const BEFORE_THE_CLOSE: Duration = Duration::from_millis(1_800);
/// And has been closed by then.
const BEHIND_THE_CLOSE: Duration = Duration::from_millis(600);

/// The process stands still as the request arrives and as the time of its connection passes. As it goes on, its wait for
/// events is interrupted and tells of none, so that timers are looked at before sockets: the request is answered all the
/// same. The bad order is made to happen each time.
#[test]
fn request_during_a_suspension_is_answered_on_its_idle_connection() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    for round in 0..3 {
        let mut client = proxy.client();
        assert_eq!(client.request(&pay_request(3.0)).status(), 200);
        std::thread::sleep(BEFORE_THE_CLOSE);
        proxy.signal("STOP");
        client.send(&pay_request(3.0));
        std::thread::sleep(BEHIND_THE_CLOSE);
        proxy.signal("CONT");
        let answer = client.answer().map(|answer| answer.status());
        assert_eq!(answer, Some(200), "round {round}: closed over a request that had arrived");
    }
    assert_eq!(backend.request_count(), 6);
}
