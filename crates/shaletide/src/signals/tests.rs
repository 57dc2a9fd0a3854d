use super::*;
use nix::sys::signal::raise;
use nix::sys::signal::Signal::{SIGHUP, SIGTERM};
use std::rc::Rc;

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Guards against a signal that is lost as it comes before the event loop reads signals.
#[test]
fn signals_raised_before_the_receiver_is_made_are_received() {
    block(&DAEMON_SIGNALS);
    raise(SIGHUP).unwrap(); // to this thread alone
    raise(SIGTERM).unwrap();
    run(async {
        let events = Rc::new(SignalEvents::default());
        let receiver = SignalReceiver::new(&DAEMON_SIGNALS).unwrap();
        tokio::task::spawn_local(events.clone().receive(receiver));
        events.hangup().await;
        events.stop().await;
    });
}

/// Guards against a signal that is lost as the wait for it is dropped.
#[test]
fn hangup_that_comes_between_two_waits_is_remembered() {
    block(&DAEMON_SIGNALS);
    run(async {
        let events = Rc::new(SignalEvents::default());
        tokio::task::spawn_local(events.clone().receive(SignalReceiver::new(&DAEMON_SIGNALS).unwrap()));
        tokio::select! {
            biased;
            () = events.hangup() => panic!("none has come"),
            () = tokio::task::yield_now() => {}
        }
        raise(SIGHUP).unwrap();
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        events.hangup().await;
    });
}
