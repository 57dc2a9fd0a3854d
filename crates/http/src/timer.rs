//! hyper's timer on tokio's clock.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Fires hyper's timeout for reading request heads.
#[derive(Clone, Copy)]
pub(crate) struct Timer;

struct Sleep(Pin<Box<tokio::time::Sleep>>);

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl hyper::rt::Sleep for Sleep {}

impl hyper::rt::Timer for Timer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Box::pin(tokio::time::sleep(span))))
    }
    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Box::pin(tokio::time::sleep_until(at.into()))))
    }
}

#[cfg(test)]
mod tests;
