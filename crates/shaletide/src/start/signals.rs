//! The signals that the program handles.

use crate::start_error::StartError;
use shaletide_net::retry_shortage;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::info;

/// A wait for the first of the signals to stop.
pub type Stop = Pin<Box<dyn Future<Output = ()>>>;

/// The SIGHUPs from now on. Called before the configuration is read first: without a handler SIGHUP ends the program, and
/// one that comes during that reading has the configuration read again, as the reading may have missed the change.
///
/// # Errors
/// What the kernel says.
pub fn hangups(patience: Option<Duration>) -> Result<Signal, StartError> {
    retry_shortage(patience, || signal(SignalKind::hangup())).map_err(StartError::Signals)
}

/// A wait for the first of the signals to stop, handled from now on: before, one ends the program at once.
///
/// # Errors
/// What the kernel says.
pub fn stops(patience: Option<Duration>) -> Result<Stop, StartError> {
    let on = |kind| retry_shortage(patience, || signal(kind)).map_err(StartError::Signals);
    // A log, or a store of record, that reaches a limit on its file's size is no reason to end: with any handler at all
    // the write fails instead. The handler outlives this.
    drop(on(SignalKind::from_raw(libc::SIGXFSZ))?);
    let mut terminate = on(SignalKind::terminate())?;
    let mut interrupt = on(SignalKind::interrupt())?;
    Ok(Box::pin(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("stopping");
    }))
}
