//! How much of the current request was written, and until when it may be written. This determines whether a request may
//! have been executed: from its last byte on, it may have.

use super::head::{count_after_head, Head};
use super::peer_watch::PeerWatch;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// The request that is being written. Before the first request on the connection, the state is that of a written request.
pub(super) struct WrittenRequest {
    head: Cell<Head>,
    /// The number of bytes of the body that are still to be written.
    body_left: Cell<usize>,
    /// Whether no byte of the request was written.
    is_unwritten: Cell<bool>,
    /// The number of requests begun on the connection.
    request_count: Cell<u64>,
    write_deadline: Cell<Option<Instant>>,
    /// The time until which the first byte may be written.
    start_deadline: Cell<Option<Instant>>,
    /// The connection of the request's client.
    client: RefCell<Option<PeerWatch>>,
    path: Cell<PathRequirement>,
}

/// What is required of the path to the peer when the request is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathRequirement {
    /// The request may wait on the path.
    None,
    /// The request is written only while the path is live.
    Live,
    /// A write has failed, as the path was not live.
    Expired,
}

/// The progress of a request by one write.
pub(super) struct WriteProgress {
    /// Whether the write contained the request's first byte.
    pub has_first_byte: bool,
    /// Whether the write contained the request's last byte.
    pub has_last_byte: bool,
}

impl Default for WrittenRequest {
    fn default() -> WrittenRequest {
        WrittenRequest {
            head: Cell::new(Head::Complete),
            body_left: Cell::new(0),
            is_unwritten: Cell::new(false),
            request_count: Cell::new(0),
            write_deadline: Cell::new(None),
            start_deadline: Cell::new(None),
            client: RefCell::new(None),
            path: Cell::new(PathRequirement::None),
        }
    }
}

impl WrittenRequest {
    /// Prepares for another request whose length is not known yet.
    pub fn prepare(&self) {
        self.head.set(Head::NotBegun);
        self.body_left.set(usize::MAX);
        self.is_unwritten.set(true);
    }

    /// Begins a request with a body of `body` bytes.
    pub fn begin(&self, body: usize) {
        self.prepare();
        self.body_left.set(body);
        self.request_count.set(self.request_count.get() + 1);
    }

    /// Counts bytes of the request that were passed to the kernel.
    pub fn advance(&self, bytes: &[u8]) -> WriteProgress {
        let was_unwritten = self.is_unwritten();
        let was_written = self.is_written();
        self.is_unwritten.set(was_unwritten && bytes.is_empty());
        let body_bytes = count_after_head(&self.head, bytes);
        self.body_left.set(self.body_left.get().saturating_sub(body_bytes));
        WriteProgress {
            has_first_byte: was_unwritten && !self.is_unwritten(),
            has_last_byte: !was_written && self.is_written(),
        }
    }

    /// Whether no byte of the request was written.
    pub fn is_unwritten(&self) -> bool {
        self.is_unwritten.get()
    }

    /// Whether the request's last byte was written.
    pub fn is_written(&self) -> bool {
        self.head.get() == Head::Complete && self.body_left.get() == 0
    }

    /// Whether other requests were begun on the connection before this one.
    pub fn has_predecessor(&self) -> bool {
        self.request_count.get() > 1
    }

    pub fn set_write_deadline(&self, until: Option<Instant>) {
        self.write_deadline.set(until);
    }

    /// Whether the write deadline has passed, or the start deadline has passed before the first byte was written.
    pub fn write_deadline_passed(&self) -> bool {
        let start_deadline = self.start_deadline.get().filter(|_| self.is_unwritten());
        let deadlines = [self.write_deadline.get(), start_deadline];
        deadlines.into_iter().flatten().min().is_some_and(|until| Instant::now() >= until)
    }

    pub fn set_start_deadline(&self, until: Option<Instant>) {
        self.start_deadline.set(until);
    }

    pub fn require_live_path(&self, required: bool) {
        self.path.set(if required { PathRequirement::Live } else { PathRequirement::None });
    }

    /// Whether a write fails because the path has to be live and, by `is_silent`, is not.
    pub fn expire_path(&self, is_silent: impl FnOnce() -> bool) -> bool {
        if self.path.get() != PathRequirement::None && is_silent() {
            self.path.set(PathRequirement::Expired);
        }
        self.path_expired()
    }

    /// Whether a write has failed because the path was not live.
    pub fn path_expired(&self) -> bool {
        self.path.get() == PathRequirement::Expired
    }

    pub fn set_client(&self, client: Option<PeerWatch>) {
        self.client.replace(client);
    }

    /// Whether the request's client has closed its connection, by the kernel's current state.
    pub fn client_closed(&self) -> bool {
        self.client.borrow().as_ref().is_some_and(PeerWatch::closed)
    }
}
