//! HTTP/1.1 on a tokio socket, reduced to what the stand-ins need: complete messages, raw bytes, and detection at any time
//! that the peer has stopped sending. No received bytes make it panic.

use crate::Message;
use std::io;
use std::mem::MaybeUninit;
use std::time::Instant;
use tokio::net::TcpStream;

/// Largest head in bytes; a longer one ends the connection.
const MAX_HEAD: usize = 64 * 1024;
/// Largest body in bytes; a longer one ends the connection, and so do as many bytes that were sent ahead of their turn.
const MAX_BODY: usize = 1024 * 1024;

/// A connection with its received and unread bytes, at most about 1.1 MiB.
#[derive(Debug)]
pub(crate) struct HttpStream {
    pub tcp: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte in the buffer was received.
    first_byte_at: Option<Instant>,
    /// Whether Nagle's algorithm is on: small segments wait until the last is acknowledged.
    nagle: bool,
}

impl HttpStream {
    pub fn new(tcp: TcpStream) -> HttpStream {
        let _ = tcp.set_nodelay(true);
        HttpStream { tcp, buffer: Vec::new(), first_byte_at: None, nagle: false }
    }

    /// Returns the next message and when its first byte was received; `None` if the peer closed first or the bytes are
    /// malformed. Cancel safe.
    pub async fn read_message(&mut self, body: BodyRule) -> Option<(Message, Instant)> {
        loop {
            match parse(&self.buffer, body) {
                Parsed::Complete(message, length) => {
                    self.buffer.drain(..length);
                    let first_byte_at = self.first_byte_at.take().unwrap_or_else(Instant::now);
                    self.first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
                    return Some((message, first_byte_at));
                }
                Parsed::Malformed => return None,
                Parsed::Partial => {}
            }
            match self.fill().await {
                Ok(read) if read > 0 => {}
                _ => return None,
            }
        }
    }

    /// Returns whether bytes were received that belong to no message read so far.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether a connection between messages is open and without unread bytes. Asks the kernel, as the runtime
    /// notices a close only when it has run.
    pub fn is_idle(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.tcp).peek(&mut [MaybeUninit::uninit()]);
        let is_empty = matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        is_empty && self.buffer.is_empty()
    }

    /// Waits until the peer has stopped sending, has reset the connection, or has sent too many bytes ahead of their turn.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() <= MAX_HEAD + MAX_BODY && self.fill().await.is_ok_and(|read| read > 0) {}
    }

    /// Writes all bytes. If this is cancelled, a part of them may have been written.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.tcp.writable().await?;
            match self.tcp.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Turns Nagle's algorithm on or off; a new connection has it off.
    pub fn set_nagle(&mut self, nagle: bool) {
        if self.nagle != nagle {
            let _ = self.tcp.set_nodelay(!nagle);
            self.nagle = nagle;
        }
    }

    /// Makes the connection end with a reset when it is closed.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.tcp).set_linger(Some(std::time::Duration::ZERO));
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8 * 1024];
        loop {
            self.tcp.readable().await?;
            match self.tcp.try_read(&mut chunk) {
                Ok(read) => {
                    if read > 0 {
                        self.first_byte_at.get_or_insert_with(Instant::now);
                    }
                    self.buffer.extend_from_slice(&chunk[..read]);
                    return Ok(read);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// Whether a body follows a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRule {
    /// The head determines the body.
    FromHead,
    /// There is no body, whatever the head says: the answer to HEAD.
    Never,
}

enum Parsed {
    Complete(Message, usize),
    Partial,
    Malformed,
}

fn parse(bytes: &[u8], rule: BodyRule) -> Parsed {
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() > MAX_HEAD { Parsed::Malformed } else { Parsed::Partial };
    };
    let Ok(text) = std::str::from_utf8(&bytes[..head]) else { return Parsed::Malformed };
    let mut lines = text.split("\r\n");
    let mut message = Message { first: lines.next().unwrap_or("").to_string(), ..Message::default() };
    for line in lines {
        let Some((name, value)) = line.split_once(':') else { return Parsed::Malformed };
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
    let rest = &bytes[head + 4..];
    let bodiless = message.first.starts_with("HTTP/") && matches!(message.status(), 204 | 304);
    if rule == BodyRule::Never || bodiless {
        return Parsed::Complete(message, head + 4);
    }
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return match decode_chunked(rest) {
            Ok(Some((body, used))) => Parsed::Complete(Message { body, ..message }, head + 4 + used),
            Ok(None) if rest.len() <= 2 * MAX_BODY => Parsed::Partial,
            _ => Parsed::Malformed,
        };
    }
    let length = match message.header("content-length").map(str::parse::<usize>) {
        None => 0,
        Some(Ok(length)) if length <= MAX_BODY => length,
        Some(_) => return Parsed::Malformed,
    };
    if rest.len() < length {
        return Parsed::Partial;
    }
    message.body = rest[..length].to_vec();
    Parsed::Complete(message, head + 4 + length)
}

/// Decodes a chunked body. Returns the body and the number of bytes that it took, or `Ok(None)` if it is incomplete.
fn decode_chunked(mut bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ()> {
    let (total, mut body) = (bytes.len(), Vec::new());
    loop {
        let Some(line) = bytes.windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
        let size = std::str::from_utf8(&bytes[..line]).map_err(drop)?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16).map_err(drop)?;
        if size > MAX_BODY {
            return Err(());
        }
        let end = line + 2 + size + 2;
        if bytes.len() < end {
            return Ok(None);
        }
        if &bytes[end - 2..end] != b"\r\n" {
            return Err(());
        }
        body.extend_from_slice(&bytes[line + 2..end - 2]);
        bytes = &bytes[end..];
        if size == 0 {
            return Ok(Some((body, total - bytes.len())));
        }
    }
}

#[cfg(test)]
mod tests;
