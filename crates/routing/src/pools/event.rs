//! The inputs and outputs of [`Pools`](super::Pools).

use shaletide_balancer::{Arrival, AttemptEnd, GiveUpReason};
use shaletide_types::*;
use std::rc::Rc;

/// An event that the engine reports.
#[derive(Clone, Debug)]
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
    /// A backend moved to another pool; an update of that pool's endpoint list follows.
    BackendMoved {
        /// The backend.
        backend: BackendId,
        /// The previous pool.
        from: PoolId,
        /// The new pool.
        to: PoolId,
    },
    /// A request was accepted: it receives exactly one final answer.
    Request {
        /// The request.
        arrival: Arrival,
        /// The pools of its route, in order of preference. Those that do not exist or are closed are skipped.
        pools: Rc<[PoolId]>,
    },
    /// The response started to stream to the client.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A backend reported its load.
    LoadReported {
        /// The backend's pool.
        pool: PoolId,
        /// The backend.
        backend: BackendId,
        /// The report.
        report: LoadReport,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A pool was closed: queued requests fail over or are given up at once, and attempts in flight continue to their
    /// end.
    PoolClosed {
        /// The pool.
        pool: PoolId,
    },
    /// A timer is due.
    Timer {
        /// The token of the [`Action::SetTimer`].
        token: TimerToken,
    },
}

/// An action that the engine carries out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: AttemptNumber,
        /// The backend that the attempt is sent to.
        backend: BackendId,
        /// The time before which the attempt has to start. The engine sets the deadline for its last byte itself.
        start_by: Option<Time>,
    },
    /// Give the request up. The engine answers `Rejected` or `Failed`, depending on whether an attempt may have been
    /// executed. Unlike with [`Action::Fail`], the balancer expects that a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The value for `Retry-After`, from now.
        retry_after: Micros,
        /// The reason, for logs only.
        reason: GiveUpReason,
    },
    /// Give the request up. The engine answers `Rejected` or `Failed`, depending on whether an attempt may have been
    /// executed. Unlike with [`Action::Reject`], the balancer expects that the request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
        /// The value for `Retry-After`, in case nothing was executed.
        retry_after: Micros,
        /// The reason, for logs only.
        reason: GiveUpReason,
    },
    /// Cancel an attempt whose result is not needed.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Set a timer for an [`Event::Timer`].
    SetTimer {
        /// The token that the event carries.
        token: TimerToken,
        /// The time until the event, from now.
        after: Micros,
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
