//! A TCP stream under hyper that can also be looked at from outside: how much of a request was written,
//! and whether the other side has closed or sent anything.

use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Instant;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client that sends more than so many bytes behind its request before it is answered is not heard any longer.
const MOST_BEHIND: usize = 64 * 1024;

/// And no more of it is read before the connection ends: a body of the longest usual length, and as much again.
const MOST_DRAINED: usize = 128 * 1024;

/// How far a message's head has got. It ends where hyper lets it end: with the first line that is empty, whether
/// lines end in CRLF or in a bare LF. Empty lines before it count as nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Head {
    /// Not a byte of it has come.
    Before,
    /// Within a line that is not empty.
    Line,
    /// Such a line has just ended.
    LineEnd,
    /// And a CR came after it.
    LineEndCr,
    Whole,
}

impl Head {
    fn then(self, byte: u8) -> Head {
        match (self, byte) {
            (Head::Whole, _) | (Head::LineEnd | Head::LineEndCr, b'\n') => Head::Whole,
            (Head::Before, b'\r' | b'\n') => Head::Before,
            (Head::Line, b'\n') => Head::LineEnd,
            (Head::LineEnd, b'\r') => Head::LineEndCr,
            _ => Head::Line,
        }
    }
}

/// What the first line of an answer of status 1xx begins with, but for the digit at the seventh place. No request's does: a
/// method has no slash.
const EARLY_LINE: &[u8; 10] = b"HTTP/1.? 1";

/// How many bytes of a head's first line are like that; none once one was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EarlyLine(Option<u8>);

impl Default for EarlyLine {
    fn default() -> EarlyLine {
        EarlyLine(Some(0))
    }
}

impl EarlyLine {
    fn then(self, byte: u8) -> EarlyLine {
        let like = |at: u8| match EARLY_LINE.get(usize::from(at)) {
            None => Some(at), // whatever follows
            Some(b'?') => byte.is_ascii_digit().then_some(at + 1),
            Some(want) => (byte == *want).then_some(at + 1),
        };
        EarlyLine(self.0.and_then(like))
    }

    fn is_early(self) -> bool {
        self.0 == Some(EARLY_LINE.len() as u8)
    }
}

/// Shared by hyper's side of the stream and the proxy's.
#[derive(Clone)]
pub struct Stream(Rc<Inner>);

/// The other side of a connection, looked at without keeping that open.
#[derive(Clone)]
pub struct PeerWatch(Weak<Inner>);

impl PeerWatch {
    /// The connection has ended, or its other side has closed it by what the kernel has at this moment.
    pub fn closed(&self) -> bool {
        self.0.upgrade().is_none_or(|inner| Stream(inner).peer_closed())
    }
}

struct Inner {
    /// Borrowed for the time of one call only.
    tcp: RefCell<TcpStream>,
    /// How far the head of what is written has got.
    out: Cell<Head>,
    /// Bytes of the body still to be written after the head.
    body_left: Cell<usize>,
    /// Not a byte of the present request has gone out.
    untouched: Cell<bool>,
    /// Requests begun on it.
    begun: Cell<u64>,
    /// Not a byte of it is written from then on.
    until: Cell<Option<Instant>>,
    /// The connection of the client for whom it is sent.
    client: RefCell<Option<PeerWatch>>,
    /// Bytes came before the last byte of the present request had gone out.
    early: Cell<bool>,
    /// The same of what was read since `mark_idle`, and the bytes that came behind the head.
    came: Cell<Head>,
    behind: Cell<usize>,
    /// How far the first line of that head is the one of an answer of status 1xx, and how many of those have come.
    early_line: Cell<EarlyLine>,
    informed: Cell<u64>,
    /// Bytes came behind the last of those.
    final_begun: Cell<bool>,
    /// Something was read since the last `mark_idle`.
    heard: Cell<bool>,
    /// The last read filled its buffer: more may wait in the kernel. Else there was nothing more at that moment.
    full: Cell<bool>,
    /// How often something was read, and told each time.
    reads: Cell<u64>,
    more: Notify,
}

impl Stream {
    /// Small writes go out at once on it.
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are whole messages here
        let (out, body_left, heard) = (Cell::new(Head::Whole), Cell::new(0), Cell::new(false));
        let (came, behind) = (Cell::new(Head::Before), Cell::new(0));
        let (early_line, informed) = (Cell::new(EarlyLine::default()), Cell::new(0));
        let final_begun = Cell::new(false);
        let (reads, more, full) = (Cell::new(0), Notify::new(), Cell::new(false));
        let (untouched, begun, early) = (Cell::new(false), Cell::new(0), Cell::new(false));
        let (tcp, until, client) = (RefCell::new(tcp), Cell::new(None), RefCell::new(None));
        Stream(Rc::new(Inner {
            tcp,
            out,
            body_left,
            untouched,
            until,
            client,
            begun,
            early,
            came,
            behind,
            early_line,
            informed,
            final_begun,
            heard,
            full,
            reads,
            more,
        }))
    }

    /// Its other side, to be asked later whether it is still there.
    pub fn watch(&self) -> PeerWatch {
        PeerWatch(Rc::downgrade(&self.0))
    }

    /// Nothing of a new request is written yet, however long it will be.
    pub fn begin_nothing(&self) {
        self.0.out.set(Head::Before);
        self.0.body_left.set(usize::MAX);
        self.0.untouched.set(true);
    }

    /// From now on counts the bytes of a new request with a body of that size. Nothing of it is written where
    /// something lies in the kernel by then: the first write fails.
    pub fn begin_request(&self, body: usize) {
        self.begin_nothing();
        self.0.body_left.set(body);
        self.0.begun.set(self.0.begun.get() + 1);
        self.0.early.set(false);
    }

    /// From now on not a byte is written any more after that time: a request whose last byte has not gone out by then
    /// never runs.
    pub fn write_until(&self, until: Option<Instant>) {
        self.0.until.set(until);
    }

    /// Not a byte is written any more once that client has closed its connection, as long as none has been.
    pub fn write_for(&self, client: Option<PeerWatch>) {
        self.0.client.replace(client);
    }

    /// The client for whom the request is written has closed its connection.
    pub fn client_closed(&self) -> bool {
        self.0.client.borrow().as_ref().is_some_and(PeerWatch::closed)
    }

    /// That time has come.
    pub fn overdue(&self) -> bool {
        self.0.until.get().is_some_and(|until| Instant::now() >= until)
    }

    /// Nothing at all of the request was written.
    pub fn untouched(&self) -> bool {
        self.0.untouched.get()
    }

    /// What came began before the request's last byte was written, and the connection has carried others: it may be
    /// about one of those.
    pub fn is_about_another(&self) -> bool {
        self.0.early.get() && self.0.begun.get() > 1
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub fn request_written(&self) -> bool {
        self.0.out.get() == Head::Whole && self.0.body_left.get() == 0
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        s.untouched.set(s.untouched.get() && bytes.is_empty());
        s.body_left.set(s.body_left.get().saturating_sub(behind_head(&s.out, bytes)));
    }

    fn read(&self, bytes: &[u8]) {
        let s = &self.0;
        let mut left = bytes;
        while let [byte, rest @ ..] = left {
            if s.came.get() == Head::Whole {
                s.behind.set(s.behind.get() + left.len());
                break;
            }
            self.read_of_head(*byte);
            left = rest;
        }
        if !bytes.is_empty() {
            s.heard.set(true);
            s.early.set(s.early.get() || !self.request_written());
            s.reads.set(s.reads.get() + 1);
            s.more.notify_waiters();
        }
    }

    fn read_of_head(&self, byte: u8) {
        let s = &self.0;
        let head = s.came.get().then(byte);
        if head != Head::Before {
            s.early_line.set(s.early_line.get().then(byte));
        }
        let informs = head == Head::Whole && s.early_line.get().is_early();
        if informs {
            s.early_line.take();
            s.informed.set(s.informed.get() + 1);
        }
        s.came.set(if informs { Head::Before } else { head });
        s.final_begun.set(!informs);
    }

    /// Answers of status 1xx that have come: another follows each of them.
    pub fn informed(&self) -> u64 {
        self.0.informed.get()
    }

    /// Something has come since `mark_idle`, and behind the last answer of status 1xx.
    pub fn final_begun(&self) -> bool {
        self.0.final_begun.get()
    }

    /// More has come than a message with a body of that size. The kernel is asked only where the last read left
    /// something behind: what came after a read that did not is for the next read to find.
    pub fn surplus(&self, body: usize) -> bool {
        self.0.behind.get() > body || self.0.full.get() && matches!(self.peek(), Ok(n) if n > 0)
    }

    /// Until the other side has gone that had sent a message with a body of that size and then more of it, or has sent
    /// far too much. Whoever reads it by hyper hears of the end only as long as nothing came behind the message: from
    /// then on hyper leaves the stream alone, and what comes is read here and thrown away. It is [`Stream::surplus`]
    /// all the same, after which the connection ends: nothing of it may pass for a message.
    pub async fn deserted(&self, body: usize) {
        let s = &self.0;
        while s.behind.get() <= body {
            s.more.notified().await;
        }
        // hyper and this are polled in one task, and the last to ask wakes it for both.
        self.discard(&s.behind, body + MOST_BEHIND).await;
    }

    /// Reads what still comes and throws it away, until the other side has ended too or has sent far too much. Only
    /// where nobody reads any more. A stream that is dropped with bytes unread is reset, and that may take along what
    /// was written to it before.
    pub async fn drained(&self) {
        self.discard(&Cell::new(0), MOST_DRAINED).await;
    }

    /// Reads and throws away until the other side has ended, or more has come when the count is over `most`: it goes up
    /// by what was read. Dropped midway it leaves what came since in the kernel.
    async fn discard(&self, count: &Cell<usize>, most: usize) {
        std::future::poll_fn(|cx| {
            CHUNK.with_borrow_mut(|chunk| loop {
                let tcp = self.0.tcp.borrow();
                if ready!(tcp.poll_read_ready(cx)).is_err() {
                    return Poll::Ready(());
                }
                match tcp.try_read(chunk) {
                    Ok(n) if n > 0 && count.get() <= most => count.set(count.get() + n),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    _ => return Poll::Ready(()),
                }
            })
        })
        .await;
    }

    /// From now on what comes is a message of its own.
    pub fn mark_idle(&self) {
        self.0.heard.set(false);
        self.0.came.set(Head::Before);
        self.0.behind.set(0);
        self.0.early_line.take();
        self.0.final_begun.set(false);
    }

    /// Until something is read from now on.
    pub async fn next_bytes(&self) {
        let seen = self.0.reads.get();
        while self.0.reads.get() == seen {
            self.0.more.notified().await;
        }
    }

    /// Acknowledges now what has come. The kernel would wait 40 ms for something to send along with it, and a
    /// peer with Nagle's algorithm holds the next part of its message back until then.
    pub fn acknowledge(&self) {
        let _ = socket2::SockRef::from(&*self.0.tcp.borrow()).set_tcp_quickack(true);
        // only a matter of time
    }

    /// Bytes came since `mark_idle`, or wait in the kernel, or the other side has closed.
    pub fn stirred(&self) -> bool {
        self.0.heard.get() || !self.peek().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Bytes wait in the kernel: nobody knows yet what they are.
    pub fn unread(&self) -> bool {
        matches!(self.peek(), Ok(n) if n > 0)
    }

    /// The same as [`Stream::stirred`], as far as the event loop has heard of it: no call to the kernel where it has heard of nothing.
    /// Only for a stream on which nobody waits for bytes: whoever did would not be woken any more.
    pub fn stirred_as_told(&self) -> bool {
        let told = self.0.tcp.borrow().poll_read_ready(&mut Context::from_waker(Waker::noop()));
        self.0.heard.get() || told.is_ready() && self.stirred()
    }

    /// The other side has closed its connection, or its sending on it, or has reset it, by what the kernel has at this
    /// moment. A client that ends its sending counts as gone, as the platform's protocol has it.
    pub fn peer_closed(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => self.closed_behind_bytes(),
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// The same where bytes are unread, which hide the end behind them from a read.
    fn closed_behind_bytes(&self) -> bool {
        let tcp = self.0.tcp.borrow();
        let mut polled = [PollFd::new(&*tcp, PollFlags::RDHUP)];
        let asked = rustix::event::poll(&mut polled, Some(&Timespec::default()));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        asked.is_ok() && polled[0].revents().intersects(closed)
    }

    /// Asks the kernel itself: the event loop may not have come round to it yet.
    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&*self.0.tcp.borrow()).peek(&mut [std::mem::MaybeUninit::uninit()])
    }
}

thread_local! {
    /// Where bytes lie between the socket and hyper's buffer; shared, as zeroing one for each read costs more than the
    /// read's own work.
    static CHUNK: RefCell<[u8; 8192]> = const { RefCell::new([0; 8192]) };
}

/// How many of these bytes lie behind the head, which had got so far before them.
fn behind_head(head: &Cell<Head>, bytes: &[u8]) -> usize {
    for (at, byte) in bytes.iter().enumerate() {
        if head.get() == Head::Whole {
            return bytes.len() - at;
        }
        head.set(head.get().then(*byte));
    }
    0
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let tcp = &self.0.tcp;
        CHUNK.with_borrow_mut(|chunk| {
            let room = buf.remaining().min(chunk.len());
            let mut into = ReadBuf::new(&mut chunk[..room]);
            // A read that does not fill its buffer tells tokio that nothing more is there: it saves the next, vain one.
            ready!(Pin::new(&mut *tcp.borrow_mut()).poll_read(cx, &mut into))?;
            let bytes = into.filled();
            self.0.full.set(bytes.len() == room);
            self.read(bytes);
            buf.put_slice(bytes);
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            let tcp = self.0.tcp.borrow();
            ready!(tcp.poll_write_ready(cx))?;
            if self.overdue() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            if self.0.untouched.get() && self.client_closed() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            // A close that lies unread there would make of this a request that may have run, and an answer its own.
            if self.0.untouched.get() && self.stirred() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            match tcp.try_write(buf) {
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
        let tcp = self.0.tcp.borrow();
        Poll::Ready(socket2::SockRef::from(&*tcp).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
