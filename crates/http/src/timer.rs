//! Implements hyper's timer on tokio's clock. hyper uses it for the timeout for reading request heads, after which it closes
//! the connection. The timer fires only after the sockets were polled, so that hyper reads the received bytes before it
//! checks the time.

use shaletide_net::timeout;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The timer for hyper's timeout for reading request heads.
#[derive(Clone, Copy)]
pub(crate) struct Timer;

/// A sleep that is `Send` and `Sync`, as hyper requires.
struct Sleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl hyper::rt::Sleep for Sleep {}

impl hyper::rt::Timer for Timer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep_until(Instant::now() + span)
    }
    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Box::pin(timeout::sleep_until(at.into()))))
    }
}

#[cfg(test)]
mod tests;
