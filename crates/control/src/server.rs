//! The server side of the control socket.

use crate::command::{Command, Reply, MAX_LINE};
use crate::socket_file::{io_error, SocketFile};
use crate::ControlError;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum number of open connections. Further ones wait until one is closed.
const MAX_CONNECTIONS: usize = 8;
/// Time to receive a complete line or to write a reply, after which the connection is closed.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a command is answered with an unknown outcome. The command may still be carried out.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// A socket that this process owns but does not serve yet. Dropping it removes the socket.
#[derive(Debug)]
pub struct BoundSocket {
    listener: std::os::unix::net::UnixListener,
    file: SocketFile,
}

impl BoundSocket {
    /// Creates the socket, with mode 0600 from its creation on. The lock file, whose name is that of the socket with `.lock`
    /// appended, marks the owner and is not removed. Blocks if the disk hangs.
    ///
    /// # Errors
    /// If another process serves the socket, the path is not a socket, or a system call fails.
    pub fn bind(path: &Path) -> Result<BoundSocket, ControlError> {
        let (file, listener) = SocketFile::take(path)?;
        Ok(BoundSocket { listener, file })
    }
}

/// A socket that this process owns and listens on.
#[derive(Debug)]
pub struct ControlServer {
    listener: UnixListener,
    _socket_file: SocketFile,
}

impl ControlServer {
    /// Creates the socket as [`BoundSocket::bind`] does, and listens on it. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// If another process serves the socket, the path is not a socket, or a system call fails.
    pub fn bind(path: &Path) -> Result<ControlServer, ControlError> {
        ControlServer::new(BoundSocket::bind(path)?)
    }

    /// Listens on a bound socket. Must be called within a tokio runtime. Does not access the disk.
    ///
    /// # Errors
    /// If a system call fails.
    pub fn new(bound: BoundSocket) -> Result<ControlServer, ControlError> {
        let listener = UnixListener::from_std(bound.listener);
        let listener = listener.map_err(|error| io_error(bound.file.path(), "listen on", error))?;
        Ok(ControlServer { listener, _socket_file: bound.file })
    }

    /// Serves the socket and never returns. Must be called within a `LocalSet`. Each connection runs one command at a time,
    /// which is carried out even if its client disconnects. Dropping the future removes the socket and drops the commands in
    /// progress.
    pub async fn serve<F: Future<Output = Reply> + 'static>(self, handler: impl Fn(Command) -> F + 'static) {
        let handler = Rc::new(handler);
        let mut open = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept(), if open.len() < MAX_CONNECTIONS => match accepted {
                    Ok((stream, _)) => drop(open.spawn_local(serve_connection(stream, Rc::clone(&handler)))),
                    Err(error) => {
                        tracing::warn!("control: cannot accept a connection: {error}");
                        tokio::time::sleep(ACCEPT_RETRY).await;
                    }
                },
                _ = open.join_next(), if !open.is_empty() => {}
            }
        }
    }
}

async fn serve_connection<F: Future<Output = Reply>>(stream: UnixStream, handler: Rc<impl Fn(Command) -> F>) {
    let mut unparsed = Vec::new();
    loop {
        let Ok(Ok(Some(line))) = timeout(LINE_TIMEOUT, line(&stream, &mut unparsed)).await else { return };
        let (reply, last) = match line {
            Line::Complete(line) => (handle_line(&line, &*handler).await, false),
            Line::TooLong => (Reply::Senseless(format!("the line is longer than {MAX_LINE} bytes")), true),
        };
        let Ok(mut text) = serde_json::to_vec(&reply) else { return };
        text.push(b'\n');
        if !matches!(timeout(LINE_TIMEOUT, write(&stream, &text)).await, Ok(Ok(()))) || last {
            return;
        }
    }
}

async fn handle_line<F: Future<Output = Reply>>(line: &[u8], handler: &impl Fn(Command) -> F) -> Reply {
    let command: Command = match serde_json::from_slice(line) {
        Ok(command) => command,
        Err(error) => return Reply::Senseless(error.to_string()),
    };
    if let Err(error) = command.check() {
        return Reply::Senseless(error.to_string());
    }
    let timed_out = || {
        Reply::Refused(format!(
            "not done within {} s: the outcome of the command is unknown",
            COMMAND_TIMEOUT.as_secs()
        ))
    };
    timeout(COMMAND_TIMEOUT, handler(command)).await.unwrap_or_else(|_| timed_out())
}

/// Returns whether the call must be repeated: the socket is not ready, or a signal interrupted the call.
fn is_transient(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

enum Line {
    Complete(Vec<u8>),
    TooLong,
}

/// Reads the next line, without the line feed. Returns `None` if the client has closed the connection. `unparsed` holds the
/// received bytes that follow the last line.
async fn line(stream: &UnixStream, unparsed: &mut Vec<u8>) -> Result<Option<Line>, Error> {
    let mut searched = 0;
    loop {
        if let Some(end) = unparsed[searched..].iter().position(|byte| *byte == b'\n') {
            let mut line: Vec<u8> = unparsed.drain(..=searched + end).collect();
            line.pop();
            return Ok(Some(Line::Complete(line)));
        }
        searched = unparsed.len();
        if searched >= MAX_LINE {
            return Ok(Some(Line::TooLong));
        }
        stream.readable().await?;
        let mut chunk = [0; 4096];
        let space = chunk.len().min(MAX_LINE - searched);
        match stream.try_read(&mut chunk[..space]) {
            Ok(0) => return Ok(None),
            Ok(count) => unparsed.extend_from_slice(&chunk[..count]),
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

async fn write(stream: &UnixStream, mut text: &[u8]) -> Result<(), Error> {
    while !text.is_empty() {
        stream.writable().await?;
        match stream.try_write(text) {
            Ok(count) => text = &text[count..],
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
