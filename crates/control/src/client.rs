//! The client side of the control socket, for the command line. All calls block.

use crate::command::{Command, Reply, MAX_LINE};
use crate::socket_file::io_error;
use crate::ControlError;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Time to wait for a reply; somewhat longer than the server's timeout for a command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(65);

/// Sends a command to a running proxy and waits about a minute for its reply.
///
/// # Errors
/// If no proxy listens on the socket, or no valid reply arrives. Each error states whether the command may have been carried
/// out.
pub fn send_command(path: &Path, command: &Command) -> Result<Reply, ControlError> {
    send_command_with_timeout(path, command, REPLY_TIMEOUT)
}

/// Sends a command to a running proxy and waits for its reply. Each read and write takes at most `wait`.
///
/// # Errors
/// The same as for [`send_command`].
pub fn send_command_with_timeout(
    path: &Path, command: &Command, wait: Duration,
) -> Result<Reply, ControlError> {
    command.check().map_err(|error| ControlError::Command(error.to_string()))?;
    let mut line = serde_json::to_vec(command).map_err(|error| ControlError::Command(error.to_string()))?;
    line.push(b'\n');
    if line.len() > MAX_LINE {
        return Err(ControlError::Command(format!("the command is longer than {MAX_LINE} bytes")));
    }
    let mut stream = UnixStream::connect(path).map_err(|error| match error.kind() {
        ErrorKind::NotFound | ErrorKind::ConnectionRefused => ControlError::Absent { path: path.into() },
        _ => io_error(path, "connect to", error),
    })?;
    let set = stream.set_read_timeout(Some(wait)).and_then(|()| stream.set_write_timeout(Some(wait)));
    set.map_err(|error| io_error(path, "set timeouts on", error))?;
    stream.write_all(&line).map_err(|error| no_reply(&error))?;
    let mut answer = Vec::new();
    let mut limited = BufReader::new(&stream).take(MAX_LINE as u64);
    limited.read_until(b'\n', &mut answer).map_err(|error| no_reply(&error))?;
    serde_json::from_slice(&answer).map_err(|error| ControlError::NoReply(error.to_string()))
}

fn no_reply(error: &std::io::Error) -> ControlError {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => ControlError::TimedOut,
        _ => ControlError::NoReply(error.to_string()),
    }
}
