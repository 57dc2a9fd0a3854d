//! The control socket. The service does not depend on it, so that a socket that cannot be bound yet delays nothing.

use crate::commands;
use crate::retry::{until_ready, RetryPolicy, StepNames, StepOutcome};
use crate::start_error::StartError;
use shaletide_control::{BoundSocket, ControlError, ControlServer};
use shaletide_net::thread_channel;
use shaletide_record_service::Record;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::error;

const STEP: StepNames = StepNames { waiting: "no control socket yet", done: "control socket opened" };
/// How binding is retried while another process holds the socket.
const RETRY: RetryPolicy = RetryPolicy { pause: Duration::from_millis(200), patience: None };
/// How long a start waits for the first attempt.
const MAX_START_WAIT: Duration = Duration::from_secs(1);

/// Starts serving operators' commands at `socket`, at once or as soon as the socket can be bound. Waits for a hanging disk for
/// at most a second, and blocks nothing else on the event loop. To be called within a `LocalSet`.
///
/// # Errors
/// The path exists and is not a socket.
pub async fn begin(socket: PathBuf, record: Option<Rc<Record>>) -> Result<(), StartError> {
    let first = tokio::time::timeout(MAX_START_WAIT, bind_on_thread(&socket)).await;
    match first.map(outcome) {
        Ok(StepOutcome::Ready(control)) => {
            tokio::task::spawn_local(serve(control, record));
        }
        Ok(StepOutcome::Fatal(error)) => return Err(StartError::Control(error)),
        Ok(StepOutcome::WaitFor(_)) | Err(_) => {
            tokio::task::spawn_local(serve_later(socket, record));
        }
    }
    Ok(())
}

fn outcome(bound: Result<ControlServer, ControlError>) -> StepOutcome<ControlServer, ControlError> {
    match bound {
        Ok(control) => StepOutcome::Ready(control),
        Err(error @ (ControlError::InUse { .. } | ControlError::Io { .. })) => StepOutcome::WaitFor(error),
        Err(error) => StepOutcome::Fatal(error),
    }
}

async fn serve_later(socket: PathBuf, record: Option<Rc<Record>>) {
    match until_ready(STEP, RETRY, async || outcome(bind_on_thread(&socket).await)).await {
        Ok(control) => serve(control, record).await,
        Err(error) => error!("control socket: {error}"),
    }
}

/// Binds on a separate thread, so that signals and requests are handled meanwhile even if the socket's directory is on a hanging
/// disk. If dropped midway, the thread removes the socket once it is bound. To be called within the event loop's context.
async fn bind_on_thread(socket: &Path) -> Result<ControlServer, ControlError> {
    let failed = |error| ControlError::Io { path: socket.into(), operation: "start a thread for", error };
    let (sender, mut receiver) = thread_channel().map_err(failed)?;
    let path = socket.to_path_buf();
    let bind = move || sender.send(BoundSocket::bind(&path));
    // Never joined: a call may block.
    std::thread::Builder::new().name("control-socket".into()).spawn(bind).map_err(failed)?;
    let bound = receiver.recv().await;
    ControlServer::new(bound.unwrap_or_else(|| Err(failed(io::Error::other("the thread failed"))))?)
}

async fn serve(control: ControlServer, record: Option<Rc<Record>>) {
    control.serve(move |command| commands::handle(record.clone(), command)).await;
}
