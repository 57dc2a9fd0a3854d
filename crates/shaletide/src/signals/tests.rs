use super::*;
use nix::sys::signal::raise;
use nix::sys::signal::Signal::{SIGHUP, SIGTERM};
use std::rc::Rc;

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Guards against losing a signal that arrives before the event loop reads signals.
#[test]
fn signals_raised_before_the_receiver_is_made_are_received() {
    block(&DAEMON_SIGNALS);
    raise(SIGHUP).unwrap(); // for this thread only
    raise(SIGTERM).unwrap();
    run(async {
        let events = Rc::new(SignalEvents::default());
        let receiver = SignalReceiver::new(&DAEMON_SIGNALS).unwrap();
        tokio::task::spawn_local(events.clone().receive(receiver));
        events.hangup().await;
        events.stop().await;
    });
}

/// Guards against losing a signal when the wait for it is dropped.
#[test]
fn hangup_between_two_waits_is_kept_for_the_second() {
    block(&DAEMON_SIGNALS);
    run(async {
        let events = Rc::new(SignalEvents::default());
        tokio::task::spawn_local(events.clone().receive(SignalReceiver::new(&DAEMON_SIGNALS).unwrap()));
        tokio::select! {
            biased;
            () = events.hangup() => panic!("no SIGHUP was raised"),
            () = tokio::task::yield_now() => {}
        }
        raise(SIGHUP).unwrap();
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        events.hangup().await;
    });
}

/// Returns for each signal whether the calling thread blocks it.
fn are_blocked(signals: &[Signal]) -> Vec<bool> {
    let blocked = SigSet::thread_get_mask().unwrap();
    signals.iter().map(|signal| blocked.contains(*signal)).collect()
}

/// Guards against stop signals that stay unblocked after the call panics: a later one would end a serving program.
#[test]
fn stop_signals_are_blocked_again_after_a_stoppable_call_that_panics() {
    block(&DAEMON_SIGNALS);
    let failed = std::panic::catch_unwind(|| {
        stoppable(|| {
            assert_eq!(are_blocked(&STOP_SIGNALS), [false, false]);
            assert_eq!(are_blocked(&[SIGHUP]), [true]);
            panic!("the call fails");
        })
    });
    let failure = failed.unwrap_err();
    assert_eq!(failure.downcast_ref::<&str>(), Some(&"the call fails"));
    assert_eq!(are_blocked(&DAEMON_SIGNALS), [true, true, true]);
}

/// Guards against an inner stoppable call that blocks the stop signals for the rest of the outer one.
#[test]
fn stop_signals_stay_unblocked_after_an_inner_stoppable_call() {
    block(&DAEMON_SIGNALS);
    stoppable(|| {
        stoppable(|| {});
        assert_eq!(are_blocked(&STOP_SIGNALS), [false, false]);
    });
    assert_eq!(are_blocked(&DAEMON_SIGNALS), [true, true, true]);
}
