//! HTTP messages read from a blocking stream.

use std::io::BufRead;

/// A request or a response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Header names as received, values trimmed.
    pub headers: Vec<(String, String)>,
    /// The body, of the length in `Content-Length`; empty without that header.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }
    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    /// Reads a message. Returns `None` if the peer closed the connection first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        let bodiless = matches!(message.status(), 204 | 304);
        let length = message.header("content-length").and_then(|n| n.parse().ok()).filter(|_| !bodiless);
        message.body = vec![0; length.unwrap_or(0)];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }
    /// Reads a message up to the empty line. A response to HEAD has no body, whatever its `Content-Length` is.
    pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            let read = from.read_line(&mut text).ok()?;
            (read > 0).then(|| text.trim_end().to_string())
        };
        let mut message = Message { first: line()?, ..Message::default() };
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            message.headers.push((name.into(), value.trim().into()));
        }
        Some(message)
    }
}
