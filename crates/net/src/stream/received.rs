//! The input that was read since [`ReceivedMessage::begin`]: the end of the head, and the number of bytes after it.

use super::head::{Head, InterimLine};
use std::cell::Cell;
use tokio::sync::Notify;

/// The message that is being read: a response, or on a client's connection a request.
pub(super) struct ReceivedMessage {
    head: Cell<Head>,
    /// The number of bytes after the head, of the body and beyond it.
    pub bytes_after_head: Cell<usize>,
    /// The match of the head's first line with the status line of a response of status 1xx.
    interim_line: Cell<InterimLine>,
    /// The number of responses of status 1xx on the connection so far.
    interim_responses: Cell<u64>,
    /// Whether bytes were received after the last response of status 1xx.
    final_response_begun: Cell<bool>,
    /// Whether bytes were received.
    received: Cell<bool>,
    /// Whether bytes were received before the last byte of the current request was written.
    before_request_end: Cell<bool>,
    /// Whether the last read filled its buffer, so that more bytes may be unread. Otherwise, hardly any bytes can have been
    /// unread at that moment.
    last_read_was_full: Cell<bool>,
    /// The number of reads that returned bytes, on the connection so far.
    reads: Cell<u64>,
    /// Signalled by each read that returned bytes.
    bytes_read: Notify,
}

impl Default for ReceivedMessage {
    fn default() -> ReceivedMessage {
        ReceivedMessage {
            head: Cell::new(Head::NotBegun),
            bytes_after_head: Cell::default(),
            interim_line: Cell::default(),
            interim_responses: Cell::default(),
            final_response_begun: Cell::default(),
            received: Cell::default(),
            before_request_end: Cell::default(),
            last_read_was_full: Cell::default(),
            reads: Cell::default(),
            bytes_read: Notify::new(),
        }
    }
}

impl ReceivedMessage {
    /// Begins another message.
    pub fn begin(&self) {
        self.received.set(false);
        self.head.set(Head::NotBegun);
        self.bytes_after_head.set(0);
        self.interim_line.take();
        self.final_response_begun.set(false);
    }

    /// Begins another request, which later input may answer.
    pub fn begin_request(&self) {
        self.before_request_end.set(false);
    }

    /// Counts bytes that were read, and wakes the tasks that wait for them.
    pub fn advance(&self, bytes: &[u8], request_is_written: bool) {
        self.advance_head(bytes);
        if bytes.is_empty() {
            return;
        }
        self.received.set(true);
        if !request_is_written {
            self.before_request_end.set(true);
        }
        self.reads.set(self.reads.get() + 1);
        self.bytes_read.notify_waiters();
    }

    fn advance_head(&self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if self.head.get() == Head::Complete {
                self.bytes_after_head.set(self.bytes_after_head.get() + bytes.len() - at);
                return;
            }
            self.advance_head_by(*byte);
        }
    }

    /// Advances the head by one byte. After a response of status 1xx, which is not final, another head begins.
    fn advance_head_by(&self, byte: u8) {
        let head = self.head.get().then(byte);
        if head != Head::NotBegun {
            self.interim_line.set(self.interim_line.get().then(byte));
        }
        let ends_interim_response = head == Head::Complete && self.interim_line.get().is_interim();
        if ends_interim_response {
            self.interim_line.take();
            self.interim_responses.set(self.interim_responses.get() + 1);
            self.head.set(Head::NotBegun);
        } else {
            self.head.set(head);
        }
        self.final_response_begun.set(!ends_interim_response);
    }

    pub fn set_last_read_was_full(&self, was_full: bool) {
        self.last_read_was_full.set(was_full);
    }

    pub fn last_read_was_full(&self) -> bool {
        self.last_read_was_full.get()
    }

    pub fn is_received(&self) -> bool {
        self.received.get()
    }

    pub fn began_before_request_end(&self) -> bool {
        self.before_request_end.get()
    }

    pub fn interim_responses(&self) -> u64 {
        self.interim_responses.get()
    }

    pub fn final_response_begun(&self) -> bool {
        self.final_response_begun.get()
    }

    /// Waits for the next read that returns bytes.
    pub async fn next_bytes(&self) {
        let seen = self.reads.get();
        while self.reads.get() == seen {
            self.bytes_read.notified().await;
        }
    }

    /// Waits until more than `body` bytes were received after the head.
    pub async fn excess_bytes(&self, body: usize) {
        while self.bytes_after_head.get() <= body {
            self.bytes_read.notified().await;
        }
    }
}
