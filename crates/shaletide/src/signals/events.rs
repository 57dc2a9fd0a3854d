//! Passes received signals to the parts of the daemon that wait for them.

use super::SignalReceiver;
use nix::sys::signal::Signal;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::info;

/// The requests made by signals. Each is kept until it is consumed; several of one kind that were not consumed yet count as
/// one.
#[derive(Default)]
pub struct SignalEvents {
    stop: Notify,
    hangup: Notify,
}

impl SignalEvents {
    /// Passes on signals from the receiver for as long as it is polled.
    pub async fn receive(self: Rc<Self>, receiver: SignalReceiver) {
        loop {
            match receiver.next().await {
                Signal::SIGHUP => self.hangup.notify_one(),
                _ => self.stop.notify_one(),
            }
        }
    }

    /// Waits for a stop signal.
    pub async fn stop(&self) {
        self.stop.notified().await;
        info!("stopping");
    }

    /// Waits for SIGHUP, which requests a reload of the configuration. Cancel-safe: dropped before it is ready, it has consumed
    /// no signal.
    pub async fn hangup(&self) {
        self.hangup.notified().await;
    }
}
