//! Reads signals from a signalfd.

use super::low_level;
use nix::errno::Errno;
use nix::sys::signal::Signal;
use nix::sys::signalfd::{SfdFlags, SignalFd};
use std::io;
use std::time::Duration;
use tokio::io::unix::AsyncFd;
use tracing::warn;

/// The pause after a read that failed in a way that this descriptor is not known to have.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The descriptor of blocked signals. Signals of one number that come before they are read count as one, as everywhere on
/// Unix.
pub struct SignalReceiver(AsyncFd<SignalFd>);

impl SignalReceiver {
    /// Receives these signals, which are blocked in all threads. Within the event loop's context.
    ///
    /// # Errors
    /// Those of the system calls: a shortage of descriptors or memory.
    pub fn new(signals: &[Signal]) -> io::Result<SignalReceiver> {
        let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
        let descriptor = SignalFd::with_flags(&super::set_of(signals), flags)?;
        Ok(SignalReceiver(low_level::watch(descriptor)?))
    }

    /// The next signal. Dropped midway, it has taken none. A read that is interrupted is repeated at once.
    pub async fn next(&self) -> Signal {
        loop {
            let Ok(mut ready) = self.0.readable().await else {
                std::future::pending::<()>().await; // the event loop ends
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
                    warn!("signals cannot be read, and are read again: {error}");
                    tokio::time::sleep(READ_ERROR_PAUSE).await;
                }
            }
        }
    }
}
