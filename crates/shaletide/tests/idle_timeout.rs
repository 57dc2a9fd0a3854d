//! An idle connection whose idle timeout expires at the moment when a request arrives on it.

mod harness;

use harness::*;
use std::time::Duration;

/// The idle time before the suspension. It is shorter than the idle timeout (2.1 s with the platform's settings) by the
/// time that a busy machine needs to suspend the process.
const IDLE_BEFORE_SUSPENSION: Duration = Duration::from_millis(1_800);
/// The length of the suspension, during which the idle timeout expires.
const SUSPENSION: Duration = Duration::from_millis(600);

/// Guards against closing a connection on which a request has arrived. The process is suspended while the request arrives
/// and the idle timeout expires. When it resumes, its wait is interrupted and returns no events, so that timers run before
/// sockets are read.
#[test]
fn request_during_a_suspension_is_answered_on_its_idle_connection() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
    for round in 0..3 {
        let mut client = proxy.client();
        assert_eq!(client.request(&pay_request(3.0)).status(), 200);
        std::thread::sleep(IDLE_BEFORE_SUSPENSION);
        proxy.signal("STOP");
        client.send(&pay_request(3.0));
        std::thread::sleep(SUSPENSION);
        proxy.signal("CONT");
        let status = client.answer().map(|answer| answer.status());
        assert_eq!(status, Some(200), "round {round}: closed although a request had arrived");
    }
    assert_eq!(backend.request_count(), 6);
}
