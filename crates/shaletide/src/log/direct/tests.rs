//! Tests of lines that are written without the log.

use super::*;
use std::os::unix::net::UnixStream;

/// Writes to this end of a pair or pipe until it is full.
fn fill(mut output: impl Write) {
    while output.write(&[b'x'; MAX_LINE]).is_ok() {}
}

/// Guards against a start that waits for the reader of its standard error, here a pipe.
#[test]
fn full_pipe_has_no_room_until_it_is_read() {
    let (reader, writer) = rustix::pipe::pipe_with(rustix::pipe::PipeFlags::NONBLOCK).unwrap();
    assert!(has_room(writer.as_fd()));
    fill(std::fs::File::from(writer.try_clone().unwrap()));
    assert!(!has_room(writer.as_fd()));
    let mut read = [0; 65_536];
    rustix::io::read(&reader, &mut read).unwrap();
    assert!(has_room(writer.as_fd()));
}

/// Guards against the same failure with a socket as standard error.
#[test]
fn full_socket_has_no_room() {
    let (_reader, writer) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    assert!(has_room(writer.as_fd()));
    fill(&writer);
    assert!(!has_room(writer.as_fd()));
}

/// Guards against a line that a pipe accepts only in two pieces, or that lacks its newline.
#[test]
fn long_line_is_truncated_and_ends_with_newline() {
    let line = line("x".repeat(10_000));
    assert_eq!(line.len(), MAX_LINE);
    assert!(line.starts_with(b"shaletide: xxx") && line.ends_with(b"x\n"));
}
