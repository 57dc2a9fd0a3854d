//! A channel from other threads to the event loop. The wake-up of the async runtime ends the process if its write is
//! interrupted by a signal; the wake-up of this channel retries the write.

use crate::io_error::{is_interrupted, uninterrupted};
use std::io::{self, ErrorKind, Write};
use std::sync::mpsc::{self, TryRecvError};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tracing::warn;

/// The maximum number of wake-ups that one call reads.
const MAX_WAKEUPS_READ: usize = 64;
/// The delay before the write of a wake-up is retried after it failed for lack of memory.
const WAKE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The maximum number of attempts to write a wake-up.
const MAX_WAKE_ATTEMPTS: u32 = 1_000;
/// The delay before the receiver checks for values again after waiting for a wake-up has failed.
const WAIT_ERROR_DELAY: Duration = Duration::from_millis(20);

/// Creates an unbounded channel: the senders have to bound the number of values. Must be called within the event loop's
/// context.
///
/// # Errors
/// Returns an error if there are no descriptors left. A channel takes two, until both of its sides are dropped.
pub fn thread_channel<T>() -> io::Result<(ThreadSender<T>, ThreadReceiver<T>)> {
    let (wake_tx, wake_rx) = std::os::unix::net::UnixStream::pair()?;
    wake_tx.set_nonblocking(true)?;
    wake_rx.set_nonblocking(true)?;
    let (values_tx, values_rx) = mpsc::channel();
    let sender = ThreadSender { values: values_tx, wake: Arc::new(wake_tx) };
    let receiver = ThreadReceiver { values: values_rx, wake: UnixStream::from_std(wake_rx)? };
    Ok((sender, receiver))
}

/// The sending side, used by other threads.
#[derive(Debug)]
pub struct ThreadSender<T> {
    // Dropped before `wake`, whose close wakes the receiver, which then finds that no sender is left.
    values: mpsc::Sender<T>,
    wake: Arc<std::os::unix::net::UnixStream>,
}

impl<T> Clone for ThreadSender<T> {
    fn clone(&self) -> ThreadSender<T> {
        ThreadSender { values: self.values.clone(), wake: self.wake.clone() }
    }
}

impl<T> ThreadSender<T> {
    /// Sends a value and wakes the event loop. The value is dropped if the receiver has been dropped.
    pub fn send(&self, value: T) {
        if self.values.send(value).is_ok() {
            self.wake();
        }
    }

    fn wake(&self) {
        let mut wake = &*self.wake;
        for _ in 0..MAX_WAKE_ATTEMPTS {
            match uninterrupted(|| wake.write(&[0])) {
                Ok(_) => return,
                // The socket's buffer is full of unread wake-ups, so that the receiver will wake anyway.
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The receiver has been dropped.
                Err(error) if error.kind() == ErrorKind::BrokenPipe => return,
                Err(_) => std::thread::sleep(WAKE_RETRY_DELAY), // ENOBUFS, ENOMEM
            }
        }
        warn!("could not wake the event loop in {MAX_WAKE_ATTEMPTS} attempts; the value is received at the next wake-up");
    }
}

/// The receiving side, used by the event loop.
#[derive(Debug)]
pub struct ThreadReceiver<T> {
    values: mpsc::Receiver<T>,
    wake: UnixStream,
}

impl<T> ThreadReceiver<T> {
    /// Receives the next value; `None` once no sender is left. Cancel safe: a dropped future has received no value.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            match self.values.try_recv() {
                Ok(value) => return Some(value),
                Err(TryRecvError::Disconnected) => return None,
                Err(TryRecvError::Empty) => self.wait_for_wakeup().await,
            }
        }
    }

    /// Waits for a wake-up, or until the last sender is dropped.
    async fn wait_for_wakeup(&self) {
        let mut wakeups = [0; MAX_WAKEUPS_READ];
        loop {
            if self.wake.readable().await.is_err() {
                tokio::time::sleep(WAIT_ERROR_DELAY).await;
                return;
            }
            match self.wake.try_read(&mut wakeups) {
                Err(error) if error.kind() == ErrorKind::WouldBlock || is_interrupted(&error) => {}
                _ => return,
            }
        }
    }
}

#[cfg(test)]
mod tests;
