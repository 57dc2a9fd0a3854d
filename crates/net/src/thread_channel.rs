//! A channel from other threads to the event loop. The runtime's own wake-up ends the process where its write is
//! interrupted by a signal; the one here repeats it.

use crate::io_error::{is_interrupted, uninterrupted};
use std::io::{self, ErrorKind, Write};
use std::sync::mpsc::{self, TryRecvError};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tracing::warn;

/// Wake-ups that are read in one call.
const MAX_WAKEUPS_READ: usize = 64;
/// The pause before a wake-up that the system has no memory for is written again.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(1);
/// How often it is written again.
const MAX_SHORTAGES: u32 = 1_000;
/// The pause before values are looked for again where the event loop cannot wait for a wake-up.
const WAIT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A channel without a bound: the sender's side has to bound what it sends. Within the event loop's context.
///
/// # Errors
/// No descriptors: it takes two, until both sides are dropped.
pub fn thread_channel<T>() -> io::Result<(ThreadSender<T>, ThreadReceiver<T>)> {
    let (wake_tx, wake_rx) = std::os::unix::net::UnixStream::pair()?;
    wake_tx.set_nonblocking(true)?;
    wake_rx.set_nonblocking(true)?;
    let (values_tx, values_rx) = mpsc::channel();
    let sender = ThreadSender { values: values_tx, wake: Arc::new(wake_tx) };
    let receiver = ThreadReceiver { values: values_rx, wake: UnixStream::from_std(wake_rx)? };
    Ok((sender, receiver))
}

/// The side of the other threads.
#[derive(Debug)]
pub struct ThreadSender<T> {
    // Dropped before `wake`, whose end wakes the receiver: it then finds that no sender is left.
    values: mpsc::Sender<T>,
    wake: Arc<std::os::unix::net::UnixStream>,
}

impl<T> Clone for ThreadSender<T> {
    fn clone(&self) -> ThreadSender<T> {
        ThreadSender { values: self.values.clone(), wake: self.wake.clone() }
    }
}

impl<T> ThreadSender<T> {
    /// Sends a value and wakes the event loop; the value is dropped where the receiver has ended.
    pub fn send(&self, value: T) {
        if self.values.send(value).is_ok() {
            self.wake();
        }
    }

    fn wake(&self) {
        let mut wake = &*self.wake;
        for _ in 0..MAX_SHORTAGES {
            match uninterrupted(|| wake.write(&[0])) {
                Ok(_) => return,
                // So many wake-ups are unread that the next one finds no room.
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The receiver has ended.
                Err(error) if error.kind() == ErrorKind::BrokenPipe => return,
                Err(_) => std::thread::sleep(SHORTAGE_PAUSE), // ENOBUFS, ENOMEM
            }
        }
        warn!("the event loop could not be woken in {MAX_SHORTAGES} attempts, and hears of it later");
    }
}

/// The side of the event loop.
#[derive(Debug)]
pub struct ThreadReceiver<T> {
    values: mpsc::Receiver<T>,
    wake: UnixStream,
}

impl<T> ThreadReceiver<T> {
    /// The next value; `None` once no sender is left. Dropped midway, it has taken none.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            match self.values.try_recv() {
                Ok(value) => return Some(value),
                Err(TryRecvError::Disconnected) => return None,
                Err(TryRecvError::Empty) => self.woken().await,
            }
        }
    }

    /// Waits for a wake-up, or for the end of the last sender.
    async fn woken(&self) {
        let mut wakeups = [0; MAX_WAKEUPS_READ];
        loop {
            if self.wake.readable().await.is_err() {
                tokio::time::sleep(WAIT_ERROR_PAUSE).await;
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
