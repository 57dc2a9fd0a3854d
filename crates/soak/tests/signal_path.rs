//! Checks signals whose delivery is interrupted by EINTR: none is lost, none ends the process, and every request is answered.

mod rig;

use rig::*;
use shaletide_soak::call_faults::CallFault;
use shaletide_soak::control::FaultControl;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Minimum number of interrupted calls.
const INTERRUPTIONS: u32 = 3;
/// Time from SIGTERM to SIGKILL with the deadlines of these settings.
const KILL: Duration = Duration::from_millis(3700);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy with the shim and one backend that answers after 0.3 s.
struct Testbed {
    proxy: Proxy,
    control: FaultControl,
    backend: BackendServer,
    _folder: Folder,
}

impl Testbed {
    fn start() -> Testbed {
        let folder = Folder::new();
        let (program, control) = faulty(&folder, None);
        let backend = BackendServer::start(|_| {
            std::thread::sleep(Duration::from_millis(300));
            ok_reply("done")
        });
        let proxy = program.start(&[endpoint_json("b0", backend.address, "SERVING")]);
        Testbed { proxy, control, backend, _folder: folder }
    }

    /// Returns a client whose request is in flight.
    fn client_in_flight(&self) -> Client {
        let mut client = self.proxy.client();
        client.send(&pay_request(3.0));
        self.backend.next_request();
        client
    }

    /// Sends a signal while this call is interrupted, until that has happened a few times or a time-out expires.
    fn signal_while_interrupted(&mut self, signal: &str, fault: CallFault) {
        let before = self.control.count(fault).unwrap();
        self.control.set(fault, 1.0).unwrap();
        self.proxy.signal(signal);
        let until = Instant::now() + Duration::from_secs(1);
        while self.control.count(fault).unwrap() - before < INTERRUPTIONS && Instant::now() < until {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.control.set(fault, 0.0).unwrap();
    }

    /// Waits until the process has ended; `None` if it has not ended when SIGKILL would be due.
    fn end(&mut self) -> Option<ExitStatus> {
        let until = Instant::now() + KILL;
        while Instant::now() < until {
            if let Some(status) = self.proxy.child.try_wait().unwrap() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    fn is_answered_and_ends(&mut self, mut client: Client) {
        let answer = client.answer().map(|answer| answer.status());
        assert_eq!(answer, Some(200), "the request in flight");
        drop(client);
        let status = self.end().expect("an end before the kill");
        assert!(status.success(), "{status}");
    }
}

/// Guards against a process that aborts at SIGTERM with unanswered requests because a read of the signal is interrupted.
#[test]
fn interrupted_read_of_stop_signal_leaves_no_request_unanswered() {
    for signal in ["TERM", "INT"] {
        let mut testbed = Testbed::start();
        let client = testbed.client_in_flight();
        testbed.signal_while_interrupted(signal, CallFault::InterruptedSignalRead);
        testbed.is_answered_and_ends(client);
    }
}

/// Guards against a process that aborts at SIGHUP because a read of the signal is interrupted.
#[test]
fn interrupted_read_of_hangup_ends_no_process() {
    let mut testbed = Testbed::start();
    let client = testbed.client_in_flight();
    let from = testbed.proxy.log.len();
    testbed.signal_while_interrupted("HUP", CallFault::InterruptedSignalRead);
    testbed.proxy.log.expect(from, "SIGHUP: taken");
    testbed.proxy.signal("TERM");
    testbed.is_answered_and_ends(client);
}

/// Guards against a SIGTERM that is lost, so that the process is killed, because the write of its handler is interrupted.
#[test]
fn interrupted_report_of_stop_signal_loses_no_signal() {
    let mut testbed = Testbed::start();
    let client = testbed.client_in_flight();
    testbed.signal_while_interrupted("TERM", CallFault::InterruptedSignalWrite);
    testbed.is_answered_and_ends(client);
}

/// Guards against a reload that is lost because the write of the SIGHUP handler is interrupted.
#[test]
fn interrupted_report_of_hangup_loses_no_reload() {
    let mut testbed = Testbed::start();
    let client = testbed.client_in_flight();
    let from = testbed.proxy.log.len();
    testbed.signal_while_interrupted("HUP", CallFault::InterruptedSignalWrite);
    testbed.proxy.log.expect(from, "SIGHUP: taken");
    testbed.proxy.signal("TERM");
    testbed.is_answered_and_ends(client);
}

/// Guards against a process that aborts because its event loop is interrupted while it wakes itself for an earlier timer.
#[test]
fn interrupted_wake_for_a_timer_ends_no_process() {
    let mut testbed = Testbed::start();
    testbed.control.set(CallFault::InterruptedWake, 0.9).unwrap();
    let until = Instant::now() + Duration::from_secs(2);
    while testbed.control.count(CallFault::InterruptedWake).unwrap() < INTERRUPTIONS && Instant::now() < until
    {
        assert_eq!(testbed.proxy.request(&read_request(3.0)).status(), 200);
    }
    assert!(testbed.control.count(CallFault::InterruptedWake).unwrap() >= INTERRUPTIONS);
    let client = testbed.client_in_flight();
    testbed.proxy.signal("TERM");
    testbed.is_answered_and_ends(client);
}

/// Guards against a process that aborts at a reload because the thread that has read the configuration is interrupted while
/// it wakes the event loop.
#[test]
fn interrupted_wake_after_reload_ends_no_process() {
    let mut testbed = Testbed::start();
    let client = testbed.client_in_flight();
    let from = testbed.proxy.log.len();
    testbed.signal_while_interrupted("HUP", CallFault::InterruptedWake);
    testbed.proxy.log.expect(from, "SIGHUP: taken");
    testbed.proxy.signal("TERM");
    testbed.is_answered_and_ends(client);
}
