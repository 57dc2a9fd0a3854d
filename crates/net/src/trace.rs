//! Trace events that follow a single request from the accept of its connection to the response.
//!
//! All events have the target [`REQUEST_TARGET`] and level TRACE. A [`RequestTrace`] exists only if these events are logged;
//! otherwise a request costs one check of the level.

use crate::clock::Clock;
use shaletide_balancer::GiveUpReason;
use shaletide_routing::ResponseClass;
use shaletide_types::{AttemptNumber, BackendId, Micros, RequestId, Time};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The target of the trace events.
pub const REQUEST_TARGET: &str = "shaletide::request";

/// The number of bytes after which a logged id is cut off.
const MAX_ID_BYTES: usize = 128;

/// Whether trace events are logged.
pub fn request_trace_enabled() -> bool {
    tracing::enabled!(target: REQUEST_TARGET, tracing::Level::TRACE)
}

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request's head was read.
    HeadRead,
    /// The request's body was read completely.
    BodyRead,
    /// The client closed its connection before the request was answered.
    ClientClosed,
}

impl RequestEvent {
    fn name(self) -> &'static str {
        match self {
            RequestEvent::HeadRead => "head_read",
            RequestEvent::BodyRead => "body_read",
            RequestEvent::ClientClosed => "client_closed",
        }
    }
}

/// Emits the events of one request.
pub struct RequestTrace {
    clock: Clock,
    id: RefCell<String>,
    connection: u64,
    accepted_at: Time,
    head_read_at: Time,
    request: Cell<Option<u64>>,
}

/// Fields that only some events have.
#[derive(Default)]
struct Details<'a> {
    attempt: Option<u32>,
    backend: Option<u32>,
    outcome: Option<&'a str>,
    status: Option<u16>,
    fault: Option<&'a str>,
    reason: Option<&'a str>,
    time_left_us: Option<u64>,
    reused: Option<bool>,
    peer_silent_ms: Option<u64>,
}

impl RequestTrace {
    /// Returns the trace of a request whose head has just been read from a connection. `id` is empty if the request has
    /// none.
    pub fn new(clock: Clock, id: &[u8], connection: u64, accepted_at: Time) -> RequestTrace {
        RequestTrace {
            clock,
            id: RefCell::new(text(id)),
            connection,
            accepted_at,
            head_read_at: clock.now(),
            request: Cell::new(None),
        }
    }

    /// Sets the id that was generated for a request without one. Later events have this id.
    pub fn set_id(&self, id: &[u8]) {
        self.id.replace(text(id));
    }

    /// Emits an event.
    pub fn event(&self, event: RequestEvent) {
        self.emit(event.name(), Details::default());
    }

    /// Emits the event that the request was rejected before the driver accepted it.
    pub fn rejected(&self, fault: impl std::fmt::Debug) {
        self.emit("rejected", Details { fault: Some(&format!("{fault:?}")), ..Details::default() });
    }

    /// Emits the event that the response was passed to the client's connection.
    pub fn answered(&self, status: u16) {
        self.emit("answered", Details { status: Some(status), ..Details::default() });
    }

    /// Emits the event that the driver accepted the request, with the time left until its deadline. Later events have the
    /// request's number.
    pub(crate) fn taken(&self, request: RequestId, time_left: Micros) {
        self.request.set(Some(request.0));
        self.emit("taken", Details { time_left_us: Some(time_left.0), ..Details::default() });
    }

    /// Emits the event that the balancer gave up the request, with the reason. The response follows.
    pub(crate) fn given_up(&self, reason: GiveUpReason) {
        self.emit("given_up", Details { reason: Some(reason.name()), ..Details::default() });
    }

    fn emit(&self, event: &str, details: Details<'_>) {
        let now = self.clock.now();
        let Details {
            attempt,
            backend,
            outcome,
            status,
            fault,
            reason,
            time_left_us,
            reused,
            peer_silent_ms,
        } = details;
        tracing::trace!(
            target: REQUEST_TARGET,
            event,
            id = self.id.borrow().as_str(),
            connection = self.connection,
            request = self.request.get(),
            attempt,
            backend,
            outcome,
            status,
            fault,
            reason,
            time_left_us,
            reused,
            peer_silent_ms,
            since_accept_us = (now - self.accepted_at).0,
            since_head_us = (now - self.head_read_at).0,
        );
    }
}

/// Returns an id as text, cut off after [`MAX_ID_BYTES`] bytes.
fn text(id: &[u8]) -> String {
    String::from_utf8_lossy(&id[..id.len().min(MAX_ID_BYTES)]).into_owned()
}

/// An event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEvent {
    /// The attempt waits for a new connection to its backend.
    Connecting,
    /// The new connection could not be established.
    ConnectFailed,
    /// The attempt was dispatched on an established connection.
    Dispatched,
    /// The request's first byte was passed to the kernel.
    FirstByteWritten {
        /// Whether the connection carried another request before.
        reused: bool,
        /// The time for which the kernel had received nothing from the backend's machine on this connection.
        peer_silent_for: Duration,
    },
    /// The request's last byte was passed to the kernel.
    Written,
    /// The connection turned out to be unusable before the first byte: the attempt needs another connection.
    ConnectionUnusable,
    /// The attempt ended with this outcome.
    Ended(AttemptOutcome),
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// A response of this class.
    Answered(ResponseClass),
    /// An invalid response, or one that took too long.
    InvalidResponse,
    /// The connection was closed before a complete response.
    ConnectionClosed,
    /// No byte of the request was written.
    NotWritten,
    /// The proxy cancelled the attempt.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns the outcome's name in the log, which the documentation lists.
    fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Answered(ResponseClass::Served) => "served",
            AttemptOutcome::Answered(ResponseClass::NotExecuted) => "never_ran",
            AttemptOutcome::Answered(ResponseClass::Error) => "error",
            AttemptOutcome::InvalidResponse => "invalid_response",
            AttemptOutcome::ConnectionClosed => "connection_closed",
            AttemptOutcome::NotWritten => "not_written",
            AttemptOutcome::Cancelled => "cancelled",
        }
    }
}

/// Emits the events of one attempt.
pub(crate) struct AttemptTrace {
    pub request: Rc<RequestTrace>,
    pub attempt: AttemptNumber,
    pub backend: BackendId,
}

impl AttemptTrace {
    /// Emits an event.
    pub fn event(&self, event: AttemptEvent) {
        let mut details =
            Details { attempt: Some(self.attempt.0), backend: Some(self.backend.0), ..Details::default() };
        let name = match event {
            AttemptEvent::Connecting => "connecting",
            AttemptEvent::ConnectFailed => "connect_failed",
            AttemptEvent::Dispatched => "dispatched",
            AttemptEvent::FirstByteWritten { reused, peer_silent_for } => {
                details.reused = Some(reused);
                details.peer_silent_ms = Some(peer_silent_for.as_millis() as u64);
                "first_byte_written"
            }
            AttemptEvent::Written => "written",
            AttemptEvent::ConnectionUnusable => "connection_unusable",
            AttemptEvent::Ended(outcome) => {
                details.outcome = Some(outcome.name());
                "attempt_ended"
            }
        };
        self.request.emit(name, details);
    }
}
