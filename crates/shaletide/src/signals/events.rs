//! The signals that have come, for the parts of the daemon that wait for them.

use super::SignalReceiver;
use nix::sys::signal::Signal;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::info;

/// What signals ask of the daemon. Each is remembered until it is taken; several of one sort that were not taken yet count
/// as one.
#[derive(Default)]
pub struct SignalEvents {
    stop: Notify,
    hangup: Notify,
}

impl SignalEvents {
    /// Takes signals from the receiver for as long as it is polled.
    pub async fn receive(self: Rc<Self>, receiver: SignalReceiver) {
        loop {
            match receiver.next().await {
                Signal::SIGHUP => self.hangup.notify_one(),
                _ => self.stop.notify_one(),
            }
        }
    }

    /// Waits for a signal to stop.
    pub async fn stop(&self) {
        self.stop.notified().await;
        info!("stopping");
    }

    /// Waits for a signal to read the configuration again. Dropped before it is ready, it has taken none.
    pub async fn hangup(&self) {
        self.hangup.notified().await;
    }
}
