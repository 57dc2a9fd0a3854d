//! Reads signals from a signalfd.

use super::low_level;
use nix::errno::Errno;
use nix::sys::signal::Signal;
use nix::sys::signalfd::{SfdFlags, SignalFd};
use std::io;
use std::time::Duration;
use tokio::io::unix::AsyncFd;
use tracing::warn;

/// The pause after a read that failed with an unexpected error.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A signalfd for blocked signals. Signals of one number that arrive before they are read count as one, as usual on Unix.
pub struct SignalReceiver(AsyncFd<SignalFd>);

impl SignalReceiver {
    /// Receives these signals, which must be blocked in all threads. To be called within the event loop's context.
    ///
    /// # Errors
    /// The errors of the system calls: a shortage of descriptors or memory.
    pub fn new(signals: &[Signal]) -> io::Result<SignalReceiver> {
        let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
        let descriptor = SignalFd::with_flags(&super::set_of(signals), flags)?;
        Ok(SignalReceiver(low_level::watch(descriptor)?))
    }

    /// Returns the next signal. Cancel-safe: dropped before it is ready, it has consumed none. An interrupted read is repeated
    /// at once.
    pub async fn next(&self) -> Signal {
        loop {
            let Ok(mut ready) = self.0.readable().await else {
                std::future::pending::<()>().await; // the event loop is shutting down
                continue;
            };
            match self.0.get_ref().read_signal() {
                Ok(Some(info)) => {
                    if let Ok(signal) = Signal::try_from(info.ssi_signo as i32) {
                        return signal;
                    }
                }
                Ok(None) => ready.clear_ready(),
                Err(Errno::EINTR) => {}
                Err(error) => {
                    warn!("cannot read signals, retrying: {error}");
                    tokio::time::sleep(READ_ERROR_PAUSE).await;
                }
            }
        }
    }
}
