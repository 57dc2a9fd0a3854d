//! Checks the deadline of a request while its proxy is stopped during the computation of that deadline.

mod rig;

use rig::held_process::{continue_process, stop_process};
use rig::*;
use shaletide_soak::call_faults::CallFault;
use shaletide_soak::control::FaultControl;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that the client waits for its answer.
const CLIENT_WAITS: Duration = Duration::from_secs(1);
/// Stop of the proxy that ends well before the client's deadline.
const SHORT_HOLD: Duration = Duration::from_millis(500);
/// Stop of the proxy that ends after the client's deadline.
const LONG_HOLD: Duration = Duration::from_secs(3);
/// Tolerance for late answers, and for the excess of the time left that a backend receives.
const SLACK: Duration = Duration::from_millis(150);
/// Maximum wait until the proxy makes the call on which it blocks.
const CALL_WAIT: Duration = Duration::from_secs(5);
/// Rest of a connection after which it no longer counts as just used.
const REST: Duration = Duration::from_millis(50);

/// The result of a request whose proxy was stopped while handling it.
#[derive(Debug)]
struct HeldRequest {
    status: u16,
    /// From the sending of the request to the end of the client's wait.
    answered_after: Duration,
    /// For each backend, from the sending of the request to the end of the time left that it received.
    time_left_until: Vec<Duration>,
}

/// Waits until the proxy is blocked on a call.
fn wait_until_held(control: &FaultControl, fault: CallFault) {
    let until = Instant::now() + CALL_WAIT;
    while control.count(fault).unwrap() == 0 {
        assert!(Instant::now() < until, "{fault:?}: the call is not made");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Sends a request that no backend answers, and stops the proxy on this call for `hold`.
fn held_request(fault: CallFault, hold: Duration) -> HeldRequest {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let recorded_arrivals = arrivals.clone();
    let backend = BackendServer::start(move |number| {
        recorded_arrivals.lock().unwrap().push(Instant::now());
        if number == 0 {
            ok_reply("done")
        } else {
            Reply::Silence
        }
    });
    let proxy = program.start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let mut client = proxy.client();
    assert_eq!(client.request(&pay_request(3.0)).status(), 200);
    backend.next_request();
    std::thread::sleep(REST);
    control.set(fault, 1.0).unwrap();
    let sent_at = Instant::now();
    client.send(&pay_request(CLIENT_WAITS.as_secs_f64()));
    wait_until_held(&control, fault);
    let pid = proxy.child.id();
    stop_process(pid);
    control.clear().unwrap();
    std::thread::sleep(hold);
    continue_process(pid);
    let status = client.answer().expect("an answer").status();
    let answered_after = sent_at.elapsed();
    let arrivals: Vec<Instant> = arrivals.lock().unwrap().drain(..).skip(1).collect();
    let time_left_until = arrivals
        .into_iter()
        .map(|at| {
            let time_left =
                backend.next_request().header("x-time-left").expect("the time left").parse().unwrap();
            at.duration_since(sent_at) + Duration::from_secs_f64(time_left)
        })
        .collect();
    HeldRequest { status, answered_after, time_left_until }
}

/// Asserts that the answer arrives by the client's deadline, or at once if the proxy continues after it, that only requests
/// which were not sent are rejected with 503, and that no backend receives a time left that is too long.
fn assert_deadline_holds(fault: CallFault, holds: &[Duration]) {
    for &hold in holds {
        let request = held_request(fault, hold);
        println!("{fault:?}, {hold:?}: {request:?}");
        let latest = CLIENT_WAITS.max(hold) + SLACK;
        assert!(request.answered_after <= latest, "{fault:?}, {hold:?}: answered late, {request:?}");
        let is_right = |time_left: &Duration| *time_left <= CLIENT_WAITS + SLACK;
        assert!(
            request.time_left_until.iter().all(is_right),
            "{fault:?}, {hold:?}: time left too long, {request:?}"
        );
        let is_sent = !request.time_left_until.is_empty();
        let statuses: &[u16] = if is_sent { &[502, 504] } else { &[503, 504] };
        assert!(statuses.contains(&request.status), "{fault:?}, {hold:?}: {request:?}");
    }
}

/// Guards against a deadline that is late by the time for which the proxy is stopped between reading the age of the request
/// and reading the clock.
#[test]
fn deadline_is_the_clients_where_the_proxy_stands_still_after_it_asked_for_the_receipt() {
    assert_deadline_holds(CallFault::HeldReceiptAge, &[SHORT_HOLD, LONG_HOLD]);
}

/// Guards against a deadline that is computed again from a later reading of the clock.
#[test]
fn deadline_is_the_clients_where_the_proxy_stands_still_before_it_submits_the_request() {
    assert_deadline_holds(CallFault::HeldClientPeek, &[SHORT_HOLD, LONG_HOLD]);
}

/// Guards against a time left that was computed before the proxy was stopped and is written afterwards. There is no long
/// stop: the engine already has the request, and the self-check reports any answer after its deadline.
#[test]
fn backend_is_told_the_time_left_where_the_proxy_stands_still_before_it_writes() {
    assert_deadline_holds(CallFault::HeldUpstreamPeek, &[SHORT_HOLD]);
}
