//! The TCP socket under a stream: reads and writes by readiness, and questions to the kernel itself, whose answers the
//! event loop may not have heard of yet.

use crate::io_error::{is_interrupted, uninterrupted};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::AsRawFd;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How much of the kernel's `struct tcp_info` is read, in words of 32 bits.
const TCP_INFO_WORDS: usize = 16;
/// The word of `tcpi_last_data_recv`, in milliseconds: behind eight fields of a byte and eleven of a word.
const LAST_DATA_RECV: usize = 13;
/// The most bytes of one read.
const READ_BUFFER_BYTES: usize = 8192;

thread_local! {
    /// Holds the bytes of one read; shared, as zeroing a buffer for each read costs more than the read itself.
    static READ_BUFFER: RefCell<[u8; READ_BUFFER_BYTES]> = const { RefCell::new([0; READ_BUFFER_BYTES]) };
}

/// A connected socket. Dropping it closes the connection.
pub(super) struct Socket(TcpStream);

impl Socket {
    /// Small writes are sent at once from now on: here they are whole messages.
    pub fn new(tcp: TcpStream) -> Socket {
        let _ = tcp.set_nodelay(true); // without it, they are only late
        Socket(tcp)
    }

    /// Reads at most `max` bytes and hands them to `take`, with whether they filled the buffer.
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

    /// Only a read that finds nothing waits for the event loop: one that brings less than it could may have left bytes
    /// behind, and the event loop, which hears of each arrival once, would not tell of them.
    fn poll_read_into(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buffer) {
                Err(error) if is_retried(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Waits until bytes can be written.
    pub fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_write_ready(cx)
    }

    /// Writes what the kernel takes. `Ok(None)`: nothing now; wait for it again.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<Option<usize>> {
        match self.0.try_write(bytes) {
            Ok(written) => Ok(Some(written)),
            Err(error) if is_retried(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Ends the sending.
    pub fn shutdown_write(&self) -> io::Result<()> {
        let socket = socket2::SockRef::from(&self.0);
        uninterrupted(|| socket.shutdown(std::net::Shutdown::Write))
    }

    /// Reads and throws away until the other side has ended its sending, or more has come when `count` is over `max`; it
    /// goes up by what is read. Dropped midway, it leaves what came since in the kernel.
    pub async fn discard(&self, count: &Cell<usize>, max: usize) {
        std::future::poll_fn(|cx| {
            READ_BUFFER.with_borrow_mut(|buffer| loop {
                if ready!(self.0.poll_read_ready(cx)).is_err() {
                    return Poll::Ready(());
                }
                match self.0.try_read(buffer) {
                    Ok(read) if read > 0 && count.get() <= max => count.set(count.get() + read),
                    Err(error) if is_retried(&error) => {}
                    _ => return Poll::Ready(()),
                }
            })
        })
        .await;
    }

    /// How many bytes a read would find, one at most; 0: the other side has ended its sending.
    pub fn peek(&self) -> io::Result<usize> {
        let socket = socket2::SockRef::from(&self.0);
        uninterrupted(|| socket.peek(&mut [std::mem::MaybeUninit::uninit()]))
    }

    /// Bytes are unread, or the other side has closed.
    pub fn has_input(&self) -> bool {
        !is_empty(&self.peek())
    }

    /// The same as far as the event loop has heard of it: no system call where it has heard of nothing since the kernel
    /// was last found empty.
    pub fn has_input_as_polled(&self) -> bool {
        !is_empty(&self.0.try_io(Interest::READABLE, || self.peek()))
    }

    /// Bytes are unread.
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek(), Ok(length) if length > 0)
    }

    /// The other side has closed the connection or its sending on it, or has reset it. A client that ends its sending
    /// counts as gone: so the platform's protocol has it.
    pub fn peer_closed(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => self.closed_behind_bytes(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// The same where bytes are unread, which hide the end behind them from a read.
    fn closed_behind_bytes(&self) -> bool {
        let mut polled = [PollFd::new(&self.0, PollFlags::RDHUP)];
        let result = uninterrupted(|| Ok(rustix::event::poll(&mut polled, Some(&Timespec::default()))?));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        result.is_ok() && polled[0].revents().intersects(closed)
    }

    /// How long ago the last bytes came to this machine, read or not; zero where the kernel does not tell. Its clock has
    /// steps of some milliseconds.
    pub fn since_last_received(&self) -> Duration {
        let mut info = [0u32; TCP_INFO_WORDS];
        let fd = self.0.as_raw_fd();
        match uapi::getsockopt(fd, uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO, &mut info[..]) {
            Ok(read) if read >= (LAST_DATA_RECV + 1) * size_of::<u32>() => {
                Duration::from_millis(info[LAST_DATA_RECV].into())
            }
            _ => Duration::ZERO,
        }
    }

    /// Acknowledges what has come. The kernel would wait 40 ms for something to send along with it, and a peer with
    /// Nagle's algorithm holds the next part of its message back until then.
    pub fn acknowledge(&self) {
        let _ = socket2::SockRef::from(&self.0).set_tcp_quickack(true); // without it, that part is only late
    }
}

/// The call is made again: at once after a signal, otherwise when the socket is ready.
fn is_retried(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || is_interrupted(error)
}

/// There is nothing to be read and the connection is open.
fn is_empty(peeked: &io::Result<usize>) -> bool {
    peeked.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
