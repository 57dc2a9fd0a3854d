//! A TCP stream under hyper that can also be looked at from outside: how much of a request was written,
//! and whether the other side has closed or sent anything.

use crate::io_error::{is_interrupted, uninterrupted};
use crate::trace::{AttemptEvent, AttemptOutcome, AttemptTrace};
use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::event::{PollFd, PollFlags, Timespec};
use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client that sends more than so many bytes behind its request before it is answered is not heard any longer.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// And no more of it is read before the connection ends: a body of the longest usual length, and as much again.
const MAX_DRAINED_BYTES: usize = 128 * 1024;

/// So much of the kernel's `struct tcp_info` is read, in words of 32 bits.
const TCP_INFO_WORDS: usize = 16;

/// Where `tcpi_last_data_recv` stands in it, in milliseconds: behind eight fields of a byte and eleven of a word.
const LAST_DATA_RECV: usize = 13;

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
const INTERIM_LINE: &[u8; 10] = b"HTTP/1.? 1";

/// How many bytes of a head's first line are like that; none once one was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InterimLine(Option<u8>);

impl Default for InterimLine {
    fn default() -> InterimLine {
        InterimLine(Some(0))
    }
}

impl InterimLine {
    fn then(self, byte: u8) -> InterimLine {
        let like = |at: u8| match INTERIM_LINE.get(usize::from(at)) {
            None => Some(at), // whatever follows
            Some(b'?') => byte.is_ascii_digit().then_some(at + 1),
            Some(want) => (byte == *want).then_some(at + 1),
        };
        InterimLine(self.0.and_then(like))
    }

    fn is_interim(self) -> bool {
        self.0 == Some(INTERIM_LINE.len() as u8)
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
    unwritten: Cell<bool>,
    /// Requests begun on it.
    begun: Cell<u64>,
    /// Not a byte of it is written from then on.
    write_deadline: Cell<Option<Instant>>,
    /// The connection of the client for whom it is sent.
    client: RefCell<Option<PeerWatch>>,
    /// Bytes came before the last byte of the present request had gone out.
    response_before_request_end: Cell<bool>,
    /// The same of what was read since `mark_idle`, and the bytes that came behind the head.
    came: Cell<Head>,
    bytes_after_head: Cell<usize>,
    /// How far the first line of that head is the one of an answer of status 1xx, and how many of those have come.
    interim_line: Cell<InterimLine>,
    interim_responses: Cell<u64>,
    /// Bytes came behind the last of those.
    final_response_begun: Cell<bool>,
    /// Something was read since the last `mark_idle`.
    received: Cell<bool>,
    /// The last read filled its buffer: more may wait in the kernel. Else there was hardly anything more at that moment.
    full: Cell<bool>,
    /// How often something was read, and told each time.
    reads: Cell<u64>,
    /// The attempt that is on it, where requests are traced.
    attempt: RefCell<Option<AttemptTrace>>,
    more: Notify,
}

impl Stream {
    /// Small writes go out at once on it.
    pub fn new(tcp: TcpStream) -> Stream {
        let _ = tcp.set_nodelay(true); // small writes are whole messages here
        let (out, body_left, received) = (Cell::new(Head::Whole), Cell::new(0), Cell::new(false));
        let (came, bytes_after_head) = (Cell::new(Head::Before), Cell::new(0));
        let (interim_line, interim_responses) = (Cell::new(InterimLine::default()), Cell::new(0));
        let final_response_begun = Cell::new(false);
        let (reads, more, full) = (Cell::new(0), Notify::new(), Cell::new(false));
        let (unwritten, begun, response_before_request_end) =
            (Cell::new(false), Cell::new(0), Cell::new(false));
        let (tcp, write_deadline, client) = (RefCell::new(tcp), Cell::new(None), RefCell::new(None));
        Stream(Rc::new(Inner {
            tcp,
            out,
            body_left,
            unwritten,
            write_deadline,
            client,
            begun,
            response_before_request_end,
            came,
            bytes_after_head,
            interim_line,
            interim_responses,
            final_response_begun,
            received,
            full,
            reads,
            attempt: RefCell::new(None),
            more,
        }))
    }

    /// Its other side, to be asked later whether it is still there.
    pub fn watch(&self) -> PeerWatch {
        PeerWatch(Rc::downgrade(&self.0))
    }

    /// Nothing of a new request is written yet, however long it will be.
    pub fn prepare_request(&self) {
        self.0.out.set(Head::Before);
        self.0.body_left.set(usize::MAX);
        self.0.unwritten.set(true);
    }

    /// From now on counts the bytes of a new request with a body of that size. Nothing of it is written where
    /// something lies in the kernel by then: the first write fails.
    pub fn begin_request(&self, body: usize) {
        self.prepare_request();
        self.0.body_left.set(body);
        self.0.begun.set(self.0.begun.get() + 1);
        self.0.response_before_request_end.set(false);
    }

    /// From now on not a byte is written any more after that time: a request whose last byte has not gone out by then
    /// never runs.
    pub fn set_write_deadline(&self, until: Option<Instant>) {
        self.0.write_deadline.set(until);
    }

    /// Not a byte is written any more once that client has closed its connection, as long as none has been.
    pub fn set_client(&self, client: Option<PeerWatch>) {
        self.0.client.replace(client);
    }

    /// The client for whom the request is written has closed its connection.
    pub fn client_closed(&self) -> bool {
        self.0.client.borrow().as_ref().is_some_and(PeerWatch::closed)
    }

    /// That time has come.
    pub fn write_deadline_passed(&self) -> bool {
        self.0.write_deadline.get().is_some_and(|until| Instant::now() >= until)
    }

    /// Nothing at all of the request was written.
    pub fn is_unwritten(&self) -> bool {
        self.0.unwritten.get()
    }

    /// What came began before the request's last byte was written, and the connection has carried others: it may be
    /// about one of those.
    pub fn may_answer_previous_request(&self) -> bool {
        self.0.response_before_request_end.get() && self.0.begun.get() > 1
    }

    /// The last byte of the request was written: from then on the backend may run it.
    pub fn request_written(&self) -> bool {
        self.0.out.get() == Head::Whole && self.0.body_left.get() == 0
    }

    /// The attempt that is written from now on, where requests are traced.
    pub(crate) fn begin_trace(&self, attempt: Option<AttemptTrace>) {
        if let Some(attempt) = &attempt {
            attempt.event(AttemptEvent::Dispatched);
        }
        self.0.attempt.replace(attempt);
    }

    /// That attempt has ended.
    pub(crate) fn end_trace(&self, outcome: impl FnOnce() -> AttemptOutcome) {
        if let Some(attempt) = self.0.attempt.take() {
            attempt.event(AttemptEvent::Ended(outcome()));
        }
    }

    fn wrote(&self, bytes: &[u8]) {
        let s = &self.0;
        let before = (s.unwritten.get(), self.request_written());
        s.unwritten.set(s.unwritten.get() && bytes.is_empty());
        s.body_left.set(s.body_left.get().saturating_sub(behind_head(&s.out, bytes)));
        if let Some(attempt) = &*s.attempt.borrow() {
            let (unwritten, written) = before;
            if unwritten && !s.unwritten.get() {
                attempt.event(AttemptEvent::FirstByteWritten);
            }
            if !written && self.request_written() {
                attempt.event(AttemptEvent::Written);
            }
        }
    }

    fn read(&self, bytes: &[u8]) {
        let s = &self.0;
        let mut left = bytes;
        while let [byte, rest @ ..] = left {
            if s.came.get() == Head::Whole {
                s.bytes_after_head.set(s.bytes_after_head.get() + left.len());
                break;
            }
            self.read_of_head(*byte);
            left = rest;
        }
        if !bytes.is_empty() {
            s.received.set(true);
            s.response_before_request_end.set(s.response_before_request_end.get() || !self.request_written());
            s.reads.set(s.reads.get() + 1);
            s.more.notify_waiters();
        }
    }

    fn read_of_head(&self, byte: u8) {
        let s = &self.0;
        let head = s.came.get().then(byte);
        if head != Head::Before {
            s.interim_line.set(s.interim_line.get().then(byte));
        }
        let informs = head == Head::Whole && s.interim_line.get().is_interim();
        if informs {
            s.interim_line.take();
            s.interim_responses.set(s.interim_responses.get() + 1);
        }
        s.came.set(if informs { Head::Before } else { head });
        s.final_response_begun.set(!informs);
    }

    /// Answers of status 1xx that have come: another follows each of them.
    pub fn interim_responses(&self) -> u64 {
        self.0.interim_responses.get()
    }

    /// Something has come since `mark_idle`, and behind the last answer of status 1xx.
    pub fn final_response_begun(&self) -> bool {
        self.0.final_response_begun.get()
    }

    /// More has come than a message with a body of that size. The kernel is asked only where the last read left
    /// something behind: what came after a read that did not is for the next read to find.
    pub fn has_excess_bytes(&self, body: usize) -> bool {
        self.0.bytes_after_head.get() > body || self.0.full.get() && matches!(self.peek(), Ok(n) if n > 0)
    }

    /// Until the other side has gone that had sent a message with a body of that size and then more of it, or has sent
    /// far too much. Whoever reads it by hyper hears of the end only as long as nothing came behind the message: from
    /// then on hyper leaves the stream alone, and what comes is read here and thrown away. It is [`Stream::has_excess_bytes`]
    /// all the same, after which the connection ends: nothing of it may pass for a message.
    pub async fn closed_after_excess(&self, body: usize) {
        let s = &self.0;
        while s.bytes_after_head.get() <= body {
            s.more.notified().await;
        }
        // hyper and this are polled in one task, and the last to ask wakes it for both.
        self.discard(&s.bytes_after_head, body + MAX_PIPELINED_BYTES).await;
    }

    /// Reads what still comes and throws it away, until the other side has ended too or has sent far too much. Only
    /// where nobody reads any more. A stream that is dropped with bytes unread is reset, and that may take along what
    /// was written to it before.
    pub async fn drain(&self) {
        self.discard(&Cell::new(0), MAX_DRAINED_BYTES).await;
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
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_interrupted(&e) => {}
                    _ => return Poll::Ready(()),
                }
            })
        })
        .await;
    }

    /// From now on what comes is a message of its own.
    pub fn mark_idle(&self) {
        self.0.received.set(false);
        self.0.came.set(Head::Before);
        self.0.bytes_after_head.set(0);
        self.0.interim_line.take();
        self.0.final_response_begun.set(false);
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
    pub fn has_pending_input(&self) -> bool {
        self.0.received.get() || !self.peek().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Bytes wait in the kernel: nobody knows yet what they are.
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek(), Ok(n) if n > 0)
    }

    /// The same as [`Stream::has_pending_input`], as far as the event loop has heard of it: no call to the kernel where
    /// it has heard of nothing since the kernel was last found empty.
    pub fn has_pending_input_as_polled(&self) -> bool {
        let tcp = self.0.tcp.borrow();
        let peeked = tcp.try_io(Interest::READABLE, || self.peek());
        self.0.received.get() || !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
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
        let asked = uninterrupted(|| Ok(rustix::event::poll(&mut polled, Some(&Timespec::default()))?));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        asked.is_ok() && polled[0].revents().intersects(closed)
    }

    /// How long ago the last bytes came to this machine, whether or not they have been read; zero where the kernel does
    /// not tell. Its clock moves on in steps of some milliseconds.
    pub fn since_last_received(&self) -> Duration {
        let fd = self.0.tcp.borrow().as_raw_fd();
        let mut info = [0u32; TCP_INFO_WORDS];
        match uapi::getsockopt(fd, uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO, &mut info[..]) {
            Ok(read) if read >= (LAST_DATA_RECV + 1) * size_of::<u32>() => {
                Duration::from_millis(info[LAST_DATA_RECV].into())
            }
            _ => Duration::ZERO,
        }
    }

    /// Reads what is there. Only a read that finds nothing waits for the event loop: one that brings less than it could
    /// may have left something behind, of which the event loop, which hears of each arrival once, would say nothing.
    fn poll_read_into(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let tcp = self.0.tcp.borrow();
        loop {
            ready!(tcp.poll_read_ready(cx))?;
            match tcp.try_read(into) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_interrupted(&e) => {}
                done => return Poll::Ready(done),
            }
        }
    }

    /// Asks the kernel itself: the event loop may not have come round to it yet.
    fn peek(&self) -> io::Result<usize> {
        let tcp = self.0.tcp.borrow();
        uninterrupted(|| socket2::SockRef::from(&*tcp).peek(&mut [std::mem::MaybeUninit::uninit()]))
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
        CHUNK.with_borrow_mut(|chunk| {
            let room = buf.remaining().min(chunk.len());
            let read = ready!(self.poll_read_into(cx, &mut chunk[..room]))?;
            let bytes = &chunk[..read];
            self.0.full.set(read == room);
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
            if self.write_deadline_passed() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            if self.0.unwritten.get() && self.client_closed() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            // A close that lies unread there would make of this a request that may have run, and an answer its own.
            if self.0.unwritten.get() && self.has_pending_input() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            match tcp.try_write(buf) {
                Ok(n) => {
                    self.wrote(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let tcp = self.0.tcp.borrow();
        let socket = socket2::SockRef::from(&*tcp);
        Poll::Ready(uninterrupted(|| socket.shutdown(std::net::Shutdown::Write)))
    }
}

#[cfg(test)]
mod tests;
