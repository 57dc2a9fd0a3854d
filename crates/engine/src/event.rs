//! The engine's inputs ([`Event`]) and outputs ([`Action`]).

use shaletide_balancer::{Arrival, GiveUpReason};
use shaletide_routing::ResponseClass;
use shaletide_types::*;
use std::rc::Rc;

/// A request that a front accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// The request's data for the policy; `request` is the id under which the front keeps the payload.
    pub arrival: Arrival,
    /// The effect of a second execution.
    pub idempotency: Idempotency,
    /// The pools of the request's route, in order of preference.
    pub pools: Rc<[PoolId]>,
    /// Whether [`Event::IntentPersisted`] must precede the first byte of an attempt.
    pub requires_intent: bool,
    /// Whether the end of each attempt is reported by [`Action::AttemptEnded`].
    pub recorded: bool,
}

/// An event that the driver reports to the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of a pool's endpoint list.
    EndpointsUpdated {
        /// The pool.
        pool: PoolId,
        /// The kind of update, such as a snapshot or a delta.
        update: EndpointUpdate,
        /// The entries.
        backends: Vec<BackendEntry>,
    },
    /// A backend moved to another pool; updates of both endpoint lists follow.
    BackendMoved {
        /// The backend.
        backend: BackendId,
        /// The previous pool.
        from: PoolId,
        /// The new pool.
        to: PoolId,
    },
    /// A backend's address changed: open connections lead to the previous one.
    AddressChanged {
        /// The backend.
        backend: BackendId,
    },
    /// A pool was closed: its backends take no new requests.
    PoolClosed {
        /// The pool.
        pool: PoolId,
    },
    /// A request was accepted: it receives exactly one final answer.
    Request(RequestSpec),
    /// The client of a request disconnected: no answer is due any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The driver gives a request up because it cannot be served: no further attempt is made.
    GiveUp {
        /// The request.
        request: RequestId,
        /// The value for the client's `Retry-After`.
        retry_after: Micros,
    },
    /// The store's result for an [`Action::PersistIntent`].
    IntentPersisted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether the intent is durable, so that the attempt may be sent.
        persisted: bool,
    },
    /// A connection is open.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened.
    ConnectFailed {
        /// The connection.
        connection: ConnectionId,
        /// Whether the cause is the backend rather than this machine.
        backend_at_fault: bool,
    },
    /// The last byte of the request on a connection was handed to the kernel: from now on it may be executed.
    RequestWritten {
        /// The connection.
        connection: ConnectionId,
    },
    /// A backend reported its load in a response, whose event follows.
    LoadReported {
        /// The connection.
        connection: ConnectionId,
        /// The report.
        report: LoadReport,
    },
    /// A complete response was received.
    ResponseReceived {
        /// The connection.
        connection: ConnectionId,
        /// The response's class by the rules of the request's route.
        class: ResponseClass,
        /// Whether the response allows the connection to be used again.
        reusable: bool,
        /// Whether further bytes came after the response.
        has_excess_bytes: bool,
    },
    /// The received bytes are not a valid response.
    InvalidResponse {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection ended before a complete response was received.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// An idle connection was found closed or with unexpected bytes on it, at the latest before a request was written:
    /// no byte of a request was written on it.
    ConnectionUnusable {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection with a request on it was closed by [`Action::Close`].
    CloseCompleted {
        /// The connection.
        connection: ConnectionId,
        /// Whether the last byte of the request had been handed to the kernel before.
        written: bool,
    },
    /// The time of [`crate::Engine::wake_at`] was reached.
    Wake,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalOutcome {
    /// Answered with the response to this attempt.
    Served(AttemptNumber),
    /// Rejected, as a retry is harmless; with the time for `Retry-After`.
    Rejected(Micros),
    /// Failed: an attempt may have been executed.
    Failed,
    /// The deadline has passed.
    TimedOut,
}

/// An action that the driver carries out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The backend to connect to.
        backend: BackendId,
        /// The request, if the connection is for a repeat of its key: another attempt may have been executed or still may be. The
        /// repeat is discarded only by a process that was at the backend's address before.
        repeat_of: Option<RequestId>,
    },
    /// Write a request on an open connection. If the connection has received bytes, the driver writes nothing and reports
    /// [`Event::ConnectionUnusable`].
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The request's deadline.
        deadline: Time,
        /// The deadline for the request's last byte. The driver writes no byte from then on. It reports
        /// [`Event::ConnectionClosed`], or [`Event::ConnectionUnusable`] if no byte was written.
        write_deadline: Option<Time>,
        /// Whether the attempt may repeat the execution of a keyed request. Bytes that wait in a partitioned network arrive
        /// when it is healed, possibly after the deduplication window: the driver writes the attempt only if something was
        /// received from the backend's machine on this connection a moment ago. It reports
        /// [`Event::ConnectionUnusable`] if no byte was written.
        requires_live_path: bool,
        /// Whether what the backend's machine has not acknowledged is discarded when the connection is closed with the
        /// request on it. The kernel would otherwise go on sending it, and a keyed request could arrive after its
        /// deduplication window.
        discard_on_close: bool,
    },
    /// Close a connection at once. If a request is on it, [`Event::CloseCompleted`] reports whether the request had been
    /// written completely.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// The policy gave a request up; the answer follows in this step or a later one. For logs only.
    GivenUp {
        /// The request.
        request: RequestId,
        /// The reason.
        reason: GiveUpReason,
    },
    /// Send a request's final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The final outcome.
        answer: FinalOutcome,
        /// The attempt whose response ended the request although it does not count as served.
        last_attempt: Option<AttemptNumber>,
    },
    /// Make the intent of an attempt durable in the store; [`Event::IntentPersisted`] reports the result.
    PersistIntent {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Withdraw the intent of an attempt that was not sent and never will be.
    WithdrawIntent {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt of a recorded request has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The attempt's outcome.
        outcome: Outcome,
    },
    /// Subscribe to a pool's endpoint list.
    Subscribe {
        /// The pool.
        pool: PoolId,
    },
    /// Write a line to the operators' log.
    Log {
        /// The pool that the line is about.
        pool: PoolId,
        /// The line.
        text: String,
    },
}
