//! A TCP stream under hyper that can also be looked at from outside: how much of a request was written,
//! and whether the other side has closed or sent anything.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// Shared by hyper's side of the stream and the proxy's.
#[derive(Clone)]
pub struct Stream(Rc<Inner>);

struct Inner {
    tcp: TcpStream,
    /// Bytes of the head's end (CRLF CRLF) matched so far in what was written; 4: the head is out.
    matched: Cell<u8>,
    /// Bytes of the body still to be written after the head.
    body_left: Cell<usize>,
    /// Something was read since the last `mark_idle`.
    heard: Cell<bool>,
}

impl Stream {
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are whole messages here
        let (matched, body_left, heard) = (Cell::new(4), Cell::new(0), Cell::new(false));
        Stream(Rc::new(Inner { tcp, matched, body_left, heard }))
    }

    /// From now on counts the bytes of a new request with a body of that size.
    pub fn begin_request(&self, body: usize) {
        self.0.matched.set(0);
        self.0.body_left.set(body);
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub fn request_written(&self) -> bool {
        self.0.matched.get() == 4 && self.0.body_left.get() == 0
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        for (at, byte) in bytes.iter().enumerate() {
            if s.matched.get() == 4 {
                s.body_left.set(s.body_left.get().saturating_sub(bytes.len() - at));
                return;
            }
            s.matched.set(match (s.matched.get(), byte) {
                (n @ (0 | 2), b'\r') | (n @ (1 | 3), b'\n') => n + 1,
                (_, b'\r') => 1,
                _ => 0,
            });
        }
    }

    pub fn mark_idle(&self) {
        self.0.heard.set(false);
    }

    /// Bytes came since `mark_idle`, or wait in the kernel, or the other side has closed. Asks the kernel
    /// itself: the event loop may not have come round to it yet.
    pub fn stirred(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let quiet = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.0.heard.get() || !socket2::SockRef::from(&self.0.tcp).peek(&mut byte).is_err_and(quiet)
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0u8; 8192];
        let room = buf.remaining().min(chunk.len());
        loop {
            ready!(self.0.tcp.poll_read_ready(cx))?;
            match self.0.tcp.try_read(&mut chunk[..room]) {
                Ok(n) => {
                    self.0.heard.set(self.0.heard.get() || n > 0);
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.tcp.poll_write_ready(cx))?;
            match self.0.tcp.try_write(buf) {
                Ok(n) => {
                    self.wrote(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.tcp).shutdown(std::net::Shutdown::Write))
    }
}
