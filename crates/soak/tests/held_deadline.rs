//! The time that a request has, where its proxy is held still while it works that out.

mod rig;

use rig::held_process::{hold_still, let_go};
use rig::*;
use shaletide_soak::call_faults::CallFault;
use shaletide_soak::control::FaultControl;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the client waits for its answer.
const CLIENT_WAITS: Duration = Duration::from_secs(1);
/// The proxy is held still for so long, and goes on well before the client's deadline.
const SHORT_HOLD: Duration = Duration::from_millis(500);
/// The proxy is held still for so long, and goes on after the client's deadline.
const LONG_HOLD: Duration = Duration::from_secs(3);
/// An answer comes this late at most, and a backend is told so much more than is left at most.
const SLACK: Duration = Duration::from_millis(150);
/// The longest wait until the proxy makes the call on which it is held up.
const CALL_WAIT: Duration = Duration::from_secs(5);
/// Connections that were just used rest for less than this.
const REST: Duration = Duration::from_millis(50);

/// What became of a request whose proxy was held still on its way.
#[derive(Debug)]
struct HeldRequest {
    status: u16,
    /// From the sending of the request to the end of the client's wait.
    answered_after: Duration,
    /// From the sending of the request to the end of the time that each backend was told.
    told_until: Vec<Duration>,
}

/// Waits until the proxy is held up on a call.
fn wait_until_held(control: &FaultControl, fault: CallFault) {
    let until = Instant::now() + CALL_WAIT;
    while control.count(fault).unwrap() == 0 {
        assert!(Instant::now() < until, "{fault:?}: the call is not made");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Sends a request that no backend answers, and holds the proxy still on that call for so long.
fn held_request(fault: CallFault, hold: Duration) -> HeldRequest {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let came = Arc::new(Mutex::new(Vec::new()));
    let noted = came.clone();
    let backend = BackendServer::start(move |number| {
        noted.lock().unwrap().push(Instant::now());
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
    hold_still(pid);
    control.clear().unwrap();
    std::thread::sleep(hold);
    let_go(pid);
    let status = client.answer().expect("an answer").status();
    let answered_after = sent_at.elapsed();
    let came: Vec<Instant> = came.lock().unwrap().drain(..).skip(1).collect();
    let told_until = came
        .into_iter()
        .map(|at| {
            let told = backend.next_request().header("x-time-left").expect("the time left").parse().unwrap();
            at.duration_since(sent_at) + Duration::from_secs_f64(told)
        })
        .collect();
    HeldRequest { status, answered_after, told_until }
}

/// The answer comes by the client's deadline, or at once where the proxy goes on after it, and refuses only what was not
/// sent; no backend is told more than what is left.
fn assert_deadline_holds(fault: CallFault, holds: &[Duration]) {
    for &hold in holds {
        let request = held_request(fault, hold);
        println!("{fault:?}, {hold:?}: {request:?}");
        let latest = CLIENT_WAITS.max(hold) + SLACK;
        assert!(request.answered_after <= latest, "{fault:?}, {hold:?}: answered late, {request:?}");
        let is_right = |told: &Duration| *told <= CLIENT_WAITS + SLACK;
        assert!(request.told_until.iter().all(is_right), "{fault:?}, {hold:?}: told too much, {request:?}");
        let is_sent = !request.told_until.is_empty();
        let statuses: &[u16] = if is_sent { &[502, 504] } else { &[503, 504] };
        assert!(statuses.contains(&request.status), "{fault:?}, {hold:?}: {request:?}");
    }
}

/// Guards against a deadline that is late by as long as the proxy is held still between its questions how long ago the
/// request came and what time it is.
#[test]
fn deadline_is_the_clients_where_the_proxy_stands_still_after_it_asked_for_the_receipt() {
    assert_deadline_holds(CallFault::HeldReceiptAge, &[SHORT_HOLD, LONG_HOLD]);
}

/// Guards against a deadline that is set anew from a later reading of the clock.
#[test]
fn deadline_is_the_clients_where_the_proxy_stands_still_before_it_submits_the_request() {
    assert_deadline_holds(CallFault::HeldClientPeek, &[SHORT_HOLD, LONG_HOLD]);
}

/// Guards against a time left that was worked out before the proxy stood still and is written after it. No long hold: the
/// engine has the request by then, and the self-check reports any answer after its deadline.
#[test]
fn backend_is_told_the_time_left_where_the_proxy_stands_still_before_it_writes() {
    assert_deadline_holds(CallFault::HeldUpstreamPeek, &[SHORT_HOLD]);
}
