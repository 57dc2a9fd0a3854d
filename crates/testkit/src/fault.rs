//! Faults that can be set on a running backend.

use std::time::Duration;

/// A change of a backend's behaviour. Each kind holds until it is set again; kinds add up.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// This fraction of the requests gets status 500 at once, without work.
    Fail(f64),
    /// The same as [`Fault::Fail`], for one class only.
    FailClass(String, f64),
    /// This fraction of the requests is read and never answered.
    Hang(f64),
    /// This fraction of the requests ends with a reset of its connection, without work.
    Reset(f64),
    /// Work takes this many times as long; 1 is normal.
    Slow(f64),
    /// Sets the answer to served requests.
    Answer(Answer),
    /// Sets how that answer is sent.
    Send(Sending),
    /// Closes every connection after its next answer; `true` announces it with `Connection: close`.
    Close(bool),
    /// Keeps connections open again after [`Fault::Close`].
    Keep,
    /// Refuses new connections; established ones are not affected.
    Refuse,
    /// Accepts new connections again after [`Fault::Refuse`].
    Accept,
    /// Clears all faults: the backend behaves normally, accepts connections and does not drain.
    Cleared,
}

/// The answer to a served request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status. No body is sent with 204 and 304, nor in answer to HEAD.
    pub status: u16,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body. `None` is the backend's own body with its name and the id of the request, see [`backend_body`].
    pub body: Option<Vec<u8>>,
}

impl Default for Answer {
    fn default() -> Answer {
        Answer { status: 200, headers: Vec::new(), body: None }
    }
}

impl Answer {
    /// Returns an answer with that status and the backend's own body.
    pub fn status(status: u16) -> Answer {
        Answer { status, ..Answer::default() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Answer {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Answer {
        self.body = Some(body.into());
        self
    }

    /// Returns head and body as they are sent with a length.
    pub(crate) fn render(
        &self, default_body: Vec<u8>, method: &str, announces_close: bool,
    ) -> (Vec<u8>, Vec<u8>) {
        self.render_with(Length::Stated, default_body, method, announces_close)
    }

    /// Returns head and body as they are sent without a length.
    pub(crate) fn render_without_length(&self, default_body: Vec<u8>, method: &str) -> (Vec<u8>, Vec<u8>) {
        self.render_with(Length::Unstated, default_body, method, true)
    }

    fn render_with(
        &self, length: Length, default_body: Vec<u8>, method: &str, announces_close: bool,
    ) -> (Vec<u8>, Vec<u8>) {
        let mut head = format!("HTTP/1.1 {} X\r\n", self.status);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if announces_close {
            head += "Connection: close\r\n";
        }
        let body = self.body.clone().unwrap_or(default_body);
        let bodiless = matches!(self.status, 204 | 304);
        if !bodiless && length == Length::Stated {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let body = if bodiless || method == "HEAD" { Vec::new() } else { body };
        (head.into_bytes(), body)
    }
}

/// Whether an answer's head states the length of its body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Length {
    Stated,
    Unstated,
}

/// How an answer is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sending {
    /// Head and body in one write.
    #[default]
    Whole,
    /// The head, then the body, on a socket that delays small segments (Nagle's algorithm).
    TwoSegments,
    /// Byte by byte, the last one after this time.
    Drip(Duration),
    /// Without a length: the answer ends with its connection, which is closed in order.
    UntilClose,
    /// Without a length and only in part; the connection is reset.
    UntilReset,
    /// These bytes instead of an answer, each piece in its own segment; the connection stays open.
    Raw(Vec<Vec<u8>>),
}

/// Returns the body of a backend's own answer: its name, a space and the id of the request, padded with dots to `size`
/// bytes.
pub fn backend_body(name: &str, id: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{name} {id}\n").into_bytes();
    if body.len() < size {
        body.resize(size, b'.');
    }
    body
}

/// The present behaviour of a backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    pub fail: f64,
    pub fail_class: Option<(String, f64)>,
    pub hang: f64,
    pub reset: f64,
    pub answer: Answer,
    pub sending: Sending,
    /// Connections close after an answer; `true` announces it. `None` keeps them open.
    pub close: Option<bool>,
}

impl Behaviour {
    /// Applies a fault. Faults of the listener and of the processor are handled elsewhere.
    pub fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Fail(fraction) => self.fail = fraction,
            Fault::FailClass(class, fraction) => self.fail_class = Some((class, fraction)),
            Fault::Hang(fraction) => self.hang = fraction,
            Fault::Reset(fraction) => self.reset = fraction,
            Fault::Answer(answer) => self.answer = answer,
            Fault::Send(sending) => self.sending = sending,
            Fault::Close(announced) => self.close = Some(announced),
            Fault::Keep => self.close = None,
            Fault::Cleared => *self = Behaviour::default(),
            Fault::Slow(_) | Fault::Refuse | Fault::Accept => {}
        }
    }

    /// Returns the fraction of the requests of a class that fail.
    pub fn failing_fraction(&self, class: &str) -> f64 {
        let class_fault = self.fail_class.as_ref().filter(|(name, _)| name == class);
        self.fail.max(class_fault.map_or(0.0, |(_, fraction)| *fraction))
    }
}

#[cfg(test)]
mod tests;
