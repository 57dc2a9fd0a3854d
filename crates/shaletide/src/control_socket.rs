//! The control socket: it is optional to the service, so that one which cannot be had for now holds up nothing.

use crate::commands;
use crate::retry::{until_ready, Attempt, RetryPolicy};
use crate::start_error::StartError;
use shaletide_control::{Control, ControlError};
use shaletide_record_service::Record;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::error;

/// How a socket that another process holds is waited for.
const RETRY: RetryPolicy = RetryPolicy { pause: Duration::from_millis(200), patience: None };

/// Serves operators' commands there, from now on or once the socket is to be had. Within a `LocalSet`.
///
/// # Errors
/// Something that is no socket lies in its place.
pub fn begin(socket: PathBuf, record: Option<Rc<Record>>) -> Result<(), StartError> {
    match attempt(&socket) {
        Attempt::Ready(control) => drop(tokio::task::spawn_local(serve(control, record))),
        Attempt::Fatal(error) => return Err(StartError::Control(error)),
        Attempt::WaitFor(_) => drop(tokio::task::spawn_local(serve_later(socket, record))),
    }
    Ok(())
}

fn attempt(socket: &Path) -> Attempt<Control, ControlError> {
    match Control::bind(socket) {
        Ok(control) => Attempt::Ready(control),
        Err(error @ (ControlError::InUse { .. } | ControlError::Io { .. })) => Attempt::WaitFor(error),
        Err(error) => Attempt::Fatal(error),
    }
}

async fn serve_later(socket: PathBuf, record: Option<Rc<Record>>) {
    match until_ready("no control socket yet", RETRY, || attempt(&socket)).await {
        Ok(control) => serve(control, record).await,
        Err(error) => error!("control socket: {error}"),
    }
}

async fn serve(control: Control, record: Option<Rc<Record>>) {
    control.serve(move |command| commands::handle(record.clone(), command)).await;
}
