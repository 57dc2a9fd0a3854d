//! Makes requests at a stop and determines how each ended for its client.

use shaletide_soak::call_faults::CallFault;
use shaletide_testkit::{pay_request, read_request, WAIT_LIMIT};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Pause between two segments of a request.
const SEGMENT_PAUSE: Duration = Duration::from_millis(2);
/// Time within which the reset follows the end of a stream.
const RESET_WAIT: Duration = Duration::from_millis(30);

/// Kinds of failing calls, one at a time.
pub const FAULTS: [Option<CallFault>; 8] = [
    None,
    Some(CallFault::ShortRead),
    Some(CallFault::ShortWrite),
    Some(CallFault::InterruptedRead),
    Some(CallFault::InterruptedWrite),
    Some(CallFault::InterruptedWait),
    Some(CallFault::SocketOption),
    Some(CallFault::InterruptedSignalRead),
];

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With 200.
    Answered,
    /// With 503: a rejection, which is an answer too.
    Refused,
    /// The connection was closed before the request, which was not sent.
    ClosedBefore,
    /// The connection was closed while the request arrived, with the request unread.
    Crossed,
    /// The proxy has read the request, or left it unread for long, and has closed the connection without an answer.
    Lost(String),
}

/// Returns the request of a connection, in the segments in which it is written.
pub fn segments(connection: u32) -> Vec<Vec<u8>> {
    let request = if connection % 2 == 0 { read_request(3.0) } else { pay_request(3.0) };
    let request = request.into_bytes();
    let cut = match connection % 4 {
        0 => request.len(),
        1 => request.len() - 2,
        2 => 1,
        _ => request.len() / 2,
    };
    [&request[..cut], &request[cut..]]
        .iter()
        .filter(|part| !part.is_empty())
        .map(|part| part.to_vec())
        .collect()
}

/// Returns whether a connection is open without unread bytes, as far as its client knows.
fn is_at_rest(tcp: &TcpStream) -> bool {
    tcp.set_nonblocking(true).unwrap();
    let peeked = tcp.peek(&mut [0]);
    tcp.set_nonblocking(false).unwrap();
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Limit that decides whether an unread request on a closed connection has crossed the close.
#[derive(Clone, Copy, Debug)]
pub struct CrossingLimit {
    /// The time from which the proxy could read the request.
    pub readable_from: Instant,
    /// Maximum time unread. A request that was unread for longer did not cross the close.
    pub longest: Duration,
}

/// A request whose first segment is written.
#[derive(Debug)]
pub struct BegunRequest {
    tcp: TcpStream,
    /// The segments that are not written yet.
    rest: Vec<Vec<u8>>,
    begun_at: Instant,
}

/// Writes the first segment of a request; `None` if the connection is already closed.
pub fn begin(mut tcp: TcpStream, mut segments: Vec<Vec<u8>>) -> Option<BegunRequest> {
    if !is_at_rest(&tcp) {
        return None;
    }
    let rest = segments.split_off(1);
    let begun_at = Instant::now();
    let _ = tcp.write_all(&segments[0]); // after a reset the result of the read counts
    Some(BegunRequest { tcp, rest, begun_at })
}

impl BegunRequest {
    /// Writes the remaining segments, and waits for the request's end.
    pub fn finish(mut self, limit: CrossingLimit) -> RequestEnd {
        for segment in std::mem::take(&mut self.rest) {
            std::thread::sleep(SEGMENT_PAUSE);
            if self.tcp.write_all(&segment).is_err() {
                break; // as above
            }
        }
        await_end(self.tcp, limit.readable_from.max(self.begun_at), limit.longest)
    }
}

/// Sends a request on a connection and waits for its end.
pub fn exchange(tcp: TcpStream, segments: Vec<Vec<u8>>, limit: CrossingLimit) -> RequestEnd {
    begin(tcp, segments).map_or(RequestEnd::ClosedBefore, |begun| begun.finish(limit))
}

/// Waits for the end of a request that is written.
fn await_end(mut tcp: TcpStream, readable_from: Instant, longest_unread: Duration) -> RequestEnd {
    let mut answer = Vec::new();
    let read = loop {
        let mut bytes = [0; 4096];
        match tcp.read(&mut bytes) {
            Ok(length) if length > 0 => answer.extend(&bytes[..length]),
            end => break end,
        }
        if answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"done") {
            return RequestEnd::Answered;
        }
        if answer.starts_with(b"HTTP/1.1 503") && answer.ends_with(b"refused\n") {
            return RequestEnd::Refused;
        }
    };
    if !answer.is_empty() {
        return RequestEnd::Lost(format!("after {:?}", String::from_utf8_lossy(&answer)));
    }
    let end = match read {
        // If the request is unread, a reset follows the end of the stream.
        Ok(_) => {
            let unread_for = readable_from.elapsed();
            std::thread::sleep(RESET_WAIT);
            let is_reset = matches!(tcp.take_error(), Ok(Some(_))) || tcp.write_all(b"x").is_err();
            (is_reset, unread_for)
        }
        Err(error) => {
            let is_reset = matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe);
            (is_reset, readable_from.elapsed())
        }
    };
    match end {
        (true, unread_for) if unread_for < longest_unread => RequestEnd::Crossed,
        (is_reset, after) => RequestEnd::Lost(format!("closed after {after:?}, reset: {is_reset}")),
    }
}

/// Opens a new connection to the proxy.
pub fn open(proxy: SocketAddr) -> TcpStream {
    let tcp = TcpStream::connect(proxy).expect("a connection");
    tcp.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    tcp
}
