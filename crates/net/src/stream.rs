//! A TCP stream that hyper reads and writes. Meanwhile the proxy can query how much of a request was written, how much of a
//! message was received, and whether the peer has closed the connection.
//!
//! | Module | Concern |
//! |---|---|
//! | `socket` | the socket: reads, writes, queries of the kernel's state |
//! | `written` | how much of the request was written |
//! | `received` | how much of the message was read |
//! | `head` | the end of a message's head |
//! | `peer_watch` | whether the peer has closed the connection |

mod head;
mod peer_watch;
mod received;
mod socket;
#[cfg(test)]
mod tests;
mod written;

pub use peer_watch::PeerWatch;

use crate::trace::{AttemptEvent, AttemptOutcome, AttemptTrace};
use hyper::rt::{Read, ReadBufCursor, Write};
use received::ReceivedMessage;
use socket::Socket;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use written::WrittenRequest;

/// The maximum number of bytes that a client may send after its request before the request is answered. Beyond that, its
/// connection is closed.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// The maximum number of bytes that are read and discarded before a connection is closed: twice the length of the longest
/// usual body.
const MAX_DRAINED_BYTES: usize = 128 * 1024;

/// How long ago the peer's machine may have been heard for the path to it to count as live. It covers the time in which a
/// busy event loop gets from a handshake to the first write; a path that fails within it is not noticed.
const MAX_PATH_SILENCE: Duration = Duration::from_millis(20);

/// A connection from a client or to a backend, shared by hyper and the proxy. The connection is closed when the last clone
/// is dropped.
#[derive(Clone)]
pub struct Stream(Rc<Inner>);

struct Inner {
    socket: Rc<Socket>,
    written: WrittenRequest,
    received: ReceivedMessage,
    /// Whether the kernel discards undelivered bytes when the connection is closed.
    discards_on_close: Cell<bool>,
    /// The attempt in progress on the connection, if requests are traced.
    attempt: RefCell<Option<AttemptTrace>>,
}

impl Stream {
    /// Returns a stream on a connected socket. Small writes are sent without delay.
    pub fn new(tcp: TcpStream) -> Stream {
        Stream(Rc::new(Inner {
            socket: Rc::new(Socket::new(tcp)),
            written: WrittenRequest::default(),
            received: ReceivedMessage::default(),
            discards_on_close: Cell::new(false),
            attempt: RefCell::new(None),
        }))
    }

    /// Returns a watch that shows whether the peer has closed the connection.
    pub fn watch(&self) -> PeerWatch {
        PeerWatch::new(Rc::downgrade(&self.0.socket))
    }
}

/// Writing.
impl Stream {
    /// Prepares for another request whose length is not known yet: the request counts as unwritten.
    pub fn prepare_request(&self) {
        self.0.written.prepare();
    }

    /// Begins a new request with a body of `body` bytes and counts its bytes from now on. Its first write fails if input is
    /// pending by then.
    pub fn begin_request(&self, body: usize) {
        self.0.written.begin(body);
        self.0.received.begin_request();
    }

    /// Makes every write after the given time fail: a request whose last byte was not written by then is not executed.
    pub fn set_write_deadline(&self, until: Option<Instant>) {
        self.0.written.set_write_deadline(until);
    }

    /// Makes the first write of a request fail after the given time.
    pub fn set_start_deadline(&self, until: Option<Instant>) {
        self.0.written.set_start_deadline(until);
    }

    /// Whether a write of the request fails if nothing was received from the peer's machine for `MAX_PATH_SILENCE`. What
    /// is written then may wait in a partitioned network and arrive much later.
    pub fn require_live_path(&self, required: bool) {
        self.0.written.require_live_path(required);
    }

    /// Whether a write of the request has failed because nothing was received from the peer's machine.
    pub fn path_expired(&self) -> bool {
        self.0.written.path_expired()
    }

    /// Sets whether the kernel discards what the peer has not acknowledged when the connection is closed, by a reset, also if
    /// the process ends; otherwise it goes on sending it. Ends with the response: see [`Stream::mark_idle`].
    ///
    /// # Errors
    /// The socket option could not be set.
    pub fn set_discard_on_close(&self, discards: bool) -> io::Result<()> {
        if self.0.discards_on_close.replace(discards) == discards {
            return Ok(());
        }
        self.0.socket.set_discard_on_close(discards)
    }

    /// Makes the first write of a request fail once the given client has closed its connection.
    pub fn set_client(&self, client: Option<PeerWatch>) {
        self.0.written.set_client(client);
    }

    /// Whether the client of the request has closed its connection.
    pub fn client_closed(&self) -> bool {
        self.0.written.client_closed()
    }

    /// Whether the write deadline has passed, or the start deadline has passed before the first byte was written.
    pub fn write_deadline_passed(&self) -> bool {
        self.0.written.write_deadline_passed()
    }

    /// Whether no byte of the request was written.
    pub fn is_unwritten(&self) -> bool {
        self.0.written.is_unwritten()
    }

    /// Whether the last byte of the request was written. From then on the backend may execute the request.
    pub fn request_written(&self) -> bool {
        self.0.written.is_written()
    }

    /// Sets the trace of the attempt that is written from now on; `None` if requests are not traced.
    pub(crate) fn begin_trace(&self, attempt: Option<AttemptTrace>) {
        if let Some(attempt) = &attempt {
            attempt.event(AttemptEvent::Dispatched);
        }
        self.0.attempt.replace(attempt);
    }

    /// Traces the end of the attempt.
    pub(crate) fn end_trace(&self, outcome: impl FnOnce() -> AttemptOutcome) {
        if let Some(attempt) = self.0.attempt.take() {
            attempt.event(AttemptEvent::Ended(outcome()));
        }
    }

    /// Returns an error if no bytes may be written now.
    fn check_write(&self) -> io::Result<()> {
        if self.is_unwritten() && self.client_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        // If the request were written after a close that has not been read yet, it would be taken for one that may have been
        // executed; unread bytes would be taken for its response.
        if self.is_unwritten() && self.has_pending_input() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        // Checked after the calls above, during which the process may have been suspended.
        if self.write_deadline_passed() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let path_silence = || self.0.socket.since_last_acknowledgement();
        if self.0.written.expire_path(|| path_silence() > MAX_PATH_SILENCE) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Returns the event that the first byte is written now, if the attempt is traced. The time since the backend's machine
    /// was heard has to be read before the write, as that is acknowledged too.
    fn first_byte_event(&self) -> Option<AttemptEvent> {
        if !self.is_unwritten() || self.0.attempt.borrow().is_none() {
            return None;
        }
        let reused = self.0.written.has_predecessor();
        let peer_silent_for = self.0.socket.since_last_acknowledgement();
        Some(AttemptEvent::FirstByteWritten { reused, peer_silent_for })
    }

    fn on_written(&self, bytes: &[u8], first_byte: Option<AttemptEvent>) {
        let progress = self.0.written.advance(bytes);
        if let Some(attempt) = &*self.0.attempt.borrow() {
            if let Some(event) = first_byte.filter(|_| progress.has_first_byte) {
                attempt.event(event);
            }
            if progress.has_last_byte {
                attempt.event(AttemptEvent::Written);
            }
        }
    }
}

/// Reading.
impl Stream {
    /// Marks the connection as idle: further bytes belong to another message. Called when a message and its response are
    /// complete.
    pub fn mark_idle(&self) {
        self.0.received.begin();
        let _ = self.set_discard_on_close(false); // a failure only ends an idle connection by a reset
    }

    fn on_read(&self, bytes: &[u8]) {
        self.0.received.advance(bytes, self.request_written());
    }

    /// Whether the received message may answer an earlier request: it began before the last byte of the current request was
    /// written, and other requests were written on the connection before.
    pub fn may_answer_previous_request(&self) -> bool {
        self.0.received.began_before_request_end() && self.0.written.has_predecessor()
    }

    /// Returns the number of responses of status 1xx received so far. Another response follows each of them.
    pub fn interim_responses(&self) -> u64 {
        self.0.received.interim_responses()
    }

    /// Whether bytes of the final response were received: bytes since `mark_idle` that follow the last response of status
    /// 1xx.
    pub fn final_response_begun(&self) -> bool {
        self.0.received.final_response_begun()
    }

    /// Whether more was received than a message with a body of `body` bytes. Checks the kernel's buffer only if the last
    /// read may have left bytes there; bytes that arrived later are left to the next read.
    pub fn has_excess_bytes(&self, body: usize) -> bool {
        let received = &self.0.received;
        received.bytes_after_head.get() > body
            || received.last_read_was_full() && self.0.socket.has_unread_bytes()
    }

    /// Waits until the peer, having sent excess bytes after a message with a body of `body` bytes, has closed the connection
    /// or has sent more than the limit. hyper detects a close only as long as no bytes follow the message. Once there are
    /// excess bytes, hyper no longer reads the stream, and this function reads and discards the input. The caller then has
    /// to close the connection, as part of a later message may have been discarded: [`Stream::has_excess_bytes`] stays true.
    pub async fn closed_after_excess(&self, body: usize) {
        let received = &self.0.received;
        received.excess_bytes(body).await;
        // hyper and this future are polled in the same task, so that the waker that was registered last wakes both.
        self.0.socket.discard(&received.bytes_after_head, body + MAX_PIPELINED_BYTES).await;
    }

    /// Reads and discards further input, until the peer has closed the connection too or has sent more than the limit. Used
    /// before a connection is closed: closing a socket with unread bytes resets the connection, which may discard bytes that
    /// were written before.
    pub async fn drain(&self) {
        self.0.socket.discard(&Cell::new(0), MAX_DRAINED_BYTES).await;
    }

    /// Waits for the next read that returns bytes.
    pub async fn next_bytes(&self) {
        self.0.received.next_bytes().await;
    }

    /// Makes TCP acknowledge the received bytes without delay.
    pub fn acknowledge(&self) {
        self.0.socket.acknowledge();
    }

    /// Whether bytes were received since `mark_idle` or are unread, or the peer has closed, by the kernel's current state.
    pub fn has_pending_input(&self) -> bool {
        self.0.received.is_received() || self.0.socket.has_input()
    }

    /// The same as [`Stream::has_pending_input`], by the readiness that the event loop has cached: makes no system call if
    /// the event loop has reported no readiness since the input was last found empty.
    pub fn has_pending_input_as_polled(&self) -> bool {
        let has_input = self.0.socket.has_input_as_polled();
        self.0.received.is_received() || has_input
    }

    /// Whether there are unread bytes, by the kernel's current state.
    pub fn has_unread_bytes(&self) -> bool {
        self.0.socket.has_unread_bytes()
    }

    /// Whether the peer has closed the connection or its sending side, or has reset it, by the kernel's current state.
    pub fn peer_closed(&self) -> bool {
        self.0.socket.peer_closed()
    }

    /// Returns the time since the last bytes arrived at this machine, whether read or not; zero if the kernel does not
    /// provide it.
    pub fn since_last_received(&self) -> Duration {
        self.0.socket.since_last_received()
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let max = buf.remaining();
        self.0.socket.poll_read(cx, max, |bytes, was_full| {
            self.0.received.set_last_read_was_full(was_full);
            self.on_read(bytes);
            buf.put_slice(bytes);
        })
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.socket.poll_write_ready(cx))?;
            self.check_write()?;
            let first_byte = self.first_byte_event();
            if let Some(written) = self.0.socket.try_write(buf)? {
                self.on_written(&buf[..written], first_byte);
                return Poll::Ready(Ok(written));
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.socket.shutdown_write())
    }
}
