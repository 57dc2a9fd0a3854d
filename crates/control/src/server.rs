//! The daemon's side.

use crate::command::{Command, Reply, MAX_LINE};
use crate::place::{failed, Place};
use crate::ControlError;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// So many operators at once; more wait until one leaves.
const CONNECTIONS: usize = 8;
/// A line is whole, or an answer taken, after this, or the connection is closed.
const PATIENCE: Duration = Duration::from_secs(5);
/// A command that takes longer is answered as one that nobody can tell of; it goes on.
const COMMAND: Duration = Duration::from_secs(60);
/// After a failed accept, such as for want of descriptors.
const PAUSE: Duration = Duration::from_millis(100);

/// A socket that this process holds.
#[derive(Debug)]
pub struct Control {
    listener: UnixListener,
    _place: Place,
}

impl Control {
    /// Makes the socket, with mode 0600 from the first moment on. To be called within a tokio runtime. What lies
    /// beside it under the name with `.lock` says whose it is, and stays.
    ///
    /// # Errors
    /// If another process serves it, something else lies there, or the system refuses.
    pub fn bind(path: &Path) -> Result<Control, ControlError> {
        let (place, listener) = Place::take(path)?;
        let listener = UnixListener::from_std(listener).map_err(|error| failed(path, "listen at", error))?;
        Ok(Control { listener, _place: place })
    }

    /// Serves for good, within a `LocalSet`. On one connection one command runs at a time, and whoever gave it may
    /// hang up: it is carried out all the same. Dropped, this takes the socket away, and drops what is under way.
    pub async fn serve<F: Future<Output = Reply> + 'static>(self, handler: impl Fn(Command) -> F + 'static) {
        let handler = Rc::new(handler);
        let mut open = JoinSet::new();
        loop {
            tokio::select! {
                taken = self.listener.accept(), if open.len() < CONNECTIONS => match taken {
                    Ok((stream, _)) => drop(open.spawn_local(connection(stream, Rc::clone(&handler)))),
                    Err(error) => {
                        tracing::warn!("control: no connection taken: {error}");
                        tokio::time::sleep(PAUSE).await;
                    }
                },
                _ = open.join_next(), if !open.is_empty() => {}
            }
        }
    }
}

async fn connection<F: Future<Output = Reply>>(stream: UnixStream, handler: Rc<impl Fn(Command) -> F>) {
    let mut read = Vec::new();
    loop {
        let Ok(Ok(Some(line))) = timeout(PATIENCE, line(&stream, &mut read)).await else { return };
        let (reply, last) = match line {
            Line::Whole(line) => (answer(&line, &*handler).await, false),
            Line::TooLong => (Reply::Senseless(format!("a line has at most {MAX_LINE} bytes")), true),
        };
        let Ok(mut text) = serde_json::to_vec(&reply) else { return };
        text.push(b'\n');
        if !matches!(timeout(PATIENCE, write(&stream, &text)).await, Ok(Ok(()))) || last {
            return;
        }
    }
}

async fn answer<F: Future<Output = Reply>>(line: &[u8], handler: &impl Fn(Command) -> F) -> Reply {
    let command: Command = match serde_json::from_slice(line) {
        Ok(command) => command,
        Err(error) => return Reply::Senseless(error.to_string()),
    };
    if let Err(why) = command.check() {
        return Reply::Senseless(why);
    }
    let late = || {
        Reply::Refused(format!("not done within {} s: nobody can tell whether it will be", COMMAND.as_secs()))
    };
    timeout(COMMAND, handler(command)).await.unwrap_or_else(|_| late())
}

/// The socket is not ready, or a signal came first: the same is tried again.
fn is_passing(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

enum Line {
    Whole(Vec<u8>),
    TooLong,
}

/// The next line without its end; none where the other side has closed. `read`: what has come and is not used up.
async fn line(stream: &UnixStream, read: &mut Vec<u8>) -> Result<Option<Line>, Error> {
    let mut looked = 0;
    loop {
        if let Some(end) = read[looked..].iter().position(|byte| *byte == b'\n') {
            let mut line: Vec<u8> = read.drain(..=looked + end).collect();
            line.pop();
            return Ok(Some(Line::Whole(line)));
        }
        looked = read.len();
        if looked >= MAX_LINE {
            return Ok(Some(Line::TooLong));
        }
        stream.readable().await?;
        let mut some = [0; 4096];
        let room = some.len().min(MAX_LINE - looked);
        match stream.try_read(&mut some[..room]) {
            Ok(0) => return Ok(None),
            Ok(count) => read.extend_from_slice(&some[..count]),
            Err(error) if is_passing(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

async fn write(stream: &UnixStream, mut text: &[u8]) -> Result<(), Error> {
    while !text.is_empty() {
        stream.writable().await?;
        match stream.try_write(text) {
            Ok(count) => text = &text[count..],
            Err(error) if is_passing(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
