//! What a backend may be told to do instead of its work, while it runs.

use std::time::Duration;

/// A change in a backend's behaviour. Each kind holds until it is told otherwise; kinds add up.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// This part of the requests gets 500 at once, without work.
    Fail(f64),
    /// Of one class only.
    FailClass(String, f64),
    /// This part of the requests is read and never answered.
    Hang(f64),
    /// This part of the requests ends in a reset of its connection, without work.
    Reset(f64),
    /// Work takes so many times as long; 1 is as usual.
    Slow(f64),
    /// What a served request is answered.
    Answer(Answer),
    /// How that is sent.
    Send(Sending),
    /// Every connection ends after its answer; `true` says so with `Connection: close`.
    Close(bool),
    /// Connections are kept again.
    Keep,
    /// New connections are refused; those that are up go on.
    Refuse,
    /// New connections are taken again.
    Accept,
    /// Everything is as usual again, connections are taken, and the backend does not drain.
    Cleared,
}

/// What a served request is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status; with 204 and 304 no body is sent, nor one to HEAD.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body; none is the backend's own: its name and the request's id, see [`backend_body`].
    pub body: Option<Vec<u8>>,
}

impl Default for Answer {
    fn default() -> Answer {
        Answer { status: 200, headers: Vec::new(), body: None }
    }
}

impl Answer {
    /// That status with the backend's own body.
    pub fn status(status: u16) -> Answer {
        Answer { status, ..Answer::default() }
    }

    /// With a header more.
    pub fn with(mut self, name: &str, value: &str) -> Answer {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// With that body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Answer {
        self.body = Some(body.into());
        self
    }

    /// Head and body as they are sent.
    pub(crate) fn render(&self, own: Vec<u8>, method: &str, says_close: bool) -> (Vec<u8>, Vec<u8>) {
        let mut head = format!("HTTP/1.1 {} X\r\n", self.status);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if says_close {
            head += "Connection: close\r\n";
        }
        let body = self.body.clone().unwrap_or(own);
        let bodiless = matches!(self.status, 204 | 304);
        if !bodiless {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let body = if bodiless || method == "HEAD" { Vec::new() } else { body };
        (head.into_bytes(), body)
    }
}

/// How an answer is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sending {
    /// Head and body at once.
    #[default]
    Whole,
    /// The head, then the body, on a socket that holds small segments back (Nagle).
    TwoSegments,
    /// Byte by byte, the last one after so long.
    Drip(Duration),
    /// These bytes instead of an answer, each piece in a segment of its own; the connection stays open.
    Raw(Vec<Vec<u8>>),
}

/// The body of a backend's own answer: its name, a space, the request's id, and stops up to `size` bytes.
pub fn backend_body(name: &str, id: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{name} {id}\n").into_bytes();
    if body.len() < size {
        body.resize(size, b'.');
    }
    body
}

/// What a backend does at present.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behaviour {
    pub fail: f64,
    pub fail_class: Option<(String, f64)>,
    pub hang: f64,
    pub reset: f64,
    pub answer: Answer,
    pub sending: Sending,
    /// Connections end after an answer, and whether it says so.
    pub close: Option<bool>,
}

impl Behaviour {
    /// Takes a fault in; those of the listener and the processor are not its business.
    pub fn take(&mut self, fault: Fault) {
        match fault {
            Fault::Fail(part) => self.fail = part,
            Fault::FailClass(class, part) => self.fail_class = Some((class, part)),
            Fault::Hang(part) => self.hang = part,
            Fault::Reset(part) => self.reset = part,
            Fault::Answer(answer) => self.answer = answer,
            Fault::Send(sending) => self.sending = sending,
            Fault::Close(says_so) => self.close = Some(says_so),
            Fault::Keep => self.close = None,
            Fault::Cleared => *self = Behaviour::default(),
            Fault::Slow(_) | Fault::Refuse | Fault::Accept => {}
        }
    }

    /// The part of the requests of a class that fail.
    pub fn failing(&self, class: &str) -> f64 {
        let of_class = self.fail_class.as_ref().filter(|(name, _)| name == class);
        self.fail.max(of_class.map_or(0.0, |(_, part)| *part))
    }
}

#[cfg(test)]
mod tests;
