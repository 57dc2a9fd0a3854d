//! The TCP socket of a stream: reads and writes by readiness, and direct queries of the kernel's state, which the event loop
//! may not have been notified of yet.

use crate::io_error::{is_interrupted, uninterrupted};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::AsRawFd;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// The length of the part of the kernel's `struct tcp_info` that is read, in words of 32 bits.
const TCP_INFO_WORDS: usize = 16;
/// The index of the word `tcpi_last_data_recv`, which is in milliseconds and follows eight fields of a byte and eleven of a
/// word.
const LAST_DATA_RECV: usize = 13;
/// The index of the word `tcpi_last_ack_recv`, in milliseconds.
const LAST_ACK_RECV: usize = 14;
/// The maximum number of bytes of one read.
const READ_BUFFER_BYTES: usize = 8192;

thread_local! {
    /// The buffer of a read. It is shared, as zeroing a buffer for each read costs more than the read itself.
    static READ_BUFFER: RefCell<[u8; READ_BUFFER_BYTES]> = const { RefCell::new([0; READ_BUFFER_BYTES]) };
}

/// A connected socket. Dropping it closes the connection.
pub(super) struct Socket {
    tcp: TcpStream,
    /// The first error of the connection. The kernel reports a reset to one call only; to later reads it looks like an end in
    /// order.
    failure: Cell<Option<io::ErrorKind>>,
}

impl Socket {
    /// Returns a socket with Nagle's algorithm disabled, as small writes are complete messages here.
    pub fn new(tcp: TcpStream) -> Socket {
        let _ = tcp.set_nodelay(true); // a failure only delays small writes
        Socket { tcp, failure: Cell::new(None) }
    }

    /// Records the failure of a call on the connection.
    fn recorded<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Some(error) = result.as_ref().err().filter(|error| !is_retried(error)) {
            self.failure.set(self.failure.get().or(Some(error.kind())));
        }
        result
    }

    /// Reads once. The end of the input is an error if a call on the connection has failed before.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match (self.recorded(self.tcp.try_read(buffer))?, self.failure.get()) {
            (0, Some(failure)) if !buffer.is_empty() => Err(failure.into()),
            (read, _) => Ok(read),
        }
    }

    /// Reads at most `max` bytes and passes them to `take`, together with whether they filled the buffer.
    pub fn poll_read(
        &self, cx: &mut Context<'_>, max: usize, take: impl FnOnce(&[u8], bool),
    ) -> Poll<io::Result<()>> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let length = max.min(buffer.len());
            let read = ready!(self.poll_read_into(cx, &mut buffer[..length]))?;
            take(&buffer[..read], read == length);
            Poll::Ready(Ok(()))
        })
    }

    /// Waits for the event loop only after a read that found nothing. After a read of fewer bytes than the buffer holds,
    /// unread bytes may remain, and the event loop, which is notified once of each arrival (edge-triggered), would not
    /// report them again.
    fn poll_read_into(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_read_ready(cx))?;
            match self.try_read(buffer) {
                Err(error) if is_retried(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Waits until bytes can be written.
    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tcp.poll_write_ready(cx)
    }

    /// Writes as many bytes as the kernel accepts. Returns `Ok(None)` if it accepts none now; the caller has to wait for
    /// readiness again.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<Option<usize>> {
        match self.recorded(self.tcp.try_write(bytes)) {
            Ok(written) => Ok(Some(written)),
            Err(error) if is_retried(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Sets whether the kernel discards what the peer has not acknowledged when the socket is closed.
    pub fn set_discard_on_close(&self, discards: bool) -> io::Result<()> {
        let socket = socket2::SockRef::from(&self.tcp);
        uninterrupted(|| socket.set_linger(discards.then_some(Duration::ZERO)))
    }

    /// Closes the sending side of the connection.
    pub fn shutdown_write(&self) -> io::Result<()> {
        let socket = socket2::SockRef::from(&self.tcp);
        uninterrupted(|| socket.shutdown(std::net::Shutdown::Write))
    }

    /// Reads and discards input, and adds its length to `count`, until the peer has closed its sending side, or input arrives
    /// after `count` has exceeded `max`. If the future is dropped, further input stays in the kernel.
    pub async fn discard(&self, count: &Cell<usize>, max: usize) {
        std::future::poll_fn(|cx| {
            READ_BUFFER.with_borrow_mut(|buffer| loop {
                if ready!(self.tcp.poll_read_ready(cx)).is_err() {
                    return Poll::Ready(());
                }
                match self.try_read(buffer) {
                    Ok(read) if read > 0 && count.get() <= max => count.set(count.get() + read),
                    Err(error) if is_retried(&error) => {}
                    _ => return Poll::Ready(()),
                }
            })
        })
        .await;
    }

    /// Returns the number of bytes that a read of one byte would return; 0 if the peer has closed its sending side.
    pub fn peek(&self) -> io::Result<usize> {
        let socket = socket2::SockRef::from(&self.tcp);
        self.recorded(uninterrupted(|| socket.peek(&mut [std::mem::MaybeUninit::uninit()])))
    }

    /// Whether bytes are unread, or the peer has closed.
    pub fn has_input(&self) -> bool {
        !is_empty(&self.peek())
    }

    /// The same as [`Socket::has_input`], by the readiness that the event loop has cached: makes no system call if the event
    /// loop has reported no readiness since the input was last found empty.
    pub fn has_input_as_polled(&self) -> bool {
        !is_empty(&self.tcp.try_io(Interest::READABLE, || self.peek()))
    }

    /// Whether bytes are unread.
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek(), Ok(length) if length > 0)
    }

    /// Whether the peer has closed the connection or its sending side, or has reset it. By the platform's protocol, a client
    /// that closes its sending side counts as disconnected.
    pub fn peer_closed(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => self.closed_behind_bytes(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// The same as [`Socket::peer_closed`] while bytes are unread, which hide a later close from a peek.
    fn closed_behind_bytes(&self) -> bool {
        let mut polled = [PollFd::new(&self.tcp, PollFlags::RDHUP)];
        let result = uninterrupted(|| Ok(rustix::event::poll(&mut polled, Some(&Timespec::default()))?));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        result.is_ok() && polled[0].revents().intersects(closed)
    }

    /// Returns the time since the last bytes arrived at this machine, whether read or not; zero if the kernel does not
    /// provide it. The kernel's clock has a resolution of some milliseconds.
    pub fn since_last_received(&self) -> Duration {
        self.tcp_info_age(LAST_DATA_RECV)
    }

    /// Returns the time since this machine received the last acknowledgement, of data or of the handshake. Each segment from
    /// the peer has one. Zero if the kernel does not provide it; the resolution is that of its clock, some milliseconds.
    pub fn since_last_acknowledgement(&self) -> Duration {
        self.tcp_info_age(LAST_ACK_RECV)
    }

    /// Returns a word of the kernel's `struct tcp_info` that is an age in milliseconds; zero if the kernel does not provide it.
    fn tcp_info_age(&self, word: usize) -> Duration {
        let mut info = [0u32; TCP_INFO_WORDS];
        let fd = self.tcp.as_raw_fd();
        match uapi::getsockopt(fd, uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO, &mut info[..]) {
            Ok(read) if read >= (word + 1) * size_of::<u32>() => Duration::from_millis(info[word].into()),
            _ => Duration::ZERO,
        }
    }

    /// Acknowledges the received bytes. Otherwise the kernel would wait 40 ms for data to send along with the
    /// acknowledgement, and a peer with Nagle's algorithm delays the next part of its message until then.
    pub fn acknowledge(&self) {
        let _ = socket2::SockRef::from(&self.tcp).set_tcp_quickack(true); // a failure only delays that part
    }
}

/// Whether a call is repeated: at once after a signal, otherwise when the socket is ready.
fn is_retried(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || is_interrupted(error)
}

/// Whether a peek found no bytes on an open connection.
fn is_empty(peeked: &io::Result<usize>) -> bool {
    peeked.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
