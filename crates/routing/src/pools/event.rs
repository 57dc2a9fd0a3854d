//! What [`Pools`](super::Pools) is told and what it asks for.

use shaletide_balancer::{Arrival, AttemptEnd};
use shaletide_types::*;
use std::rc::Rc;

/// What the shell tells.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of a pool's list.
    EndpointsUpdated {
        /// Whose.
        pool: PoolId,
        /// What sort of news.
        update: EndpointUpdate,
        /// The entries.
        backends: Vec<BackendEntry>,
    },
    /// A backend belongs to another pool from now on; the news of that pool's list follows.
    BackendMoved {
        /// Which.
        backend: BackendId,
        /// The pool that it leaves.
        from: PoolId,
        /// The one that it joins.
        to: PoolId,
    },
    /// A request and the pools that its route names, the first of them preferred. It is owed one final answer.
    Request {
        /// The request.
        arrival: Arrival,
        /// Where to; pools that there are not (any more) are passed over.
        pools: Rc<[PoolId]>,
    },
    /// The answer has begun to stream.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// What a backend says of its own load.
    LoadReported {
        /// The pool that it belongs to.
        pool: PoolId,
        /// Which.
        backend: BackendId,
        /// What it says.
        report: LoadReport,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A pool is no more: what it holds is handed on or given up at once, and what is out at its backends ends
    /// as ever.
    PoolClosed {
        /// Which.
        pool: PoolId,
    },
    /// A timer fell due.
    Timer {
        /// Which.
        token: TimerToken,
    },
}

/// What the shell is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Its number within the request.
        attempt: AttemptNumber,
        /// Where to.
        backend: BackendId,
        /// The first byte may go out only before then.
        send_by: Option<Time>,
    },
    /// Final answer: refused, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client had better come again, from now.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
        /// When the client had better come again, should it turn out that nothing has run.
        retry_after: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Ask a pool's discovery for changes from now on.
    Subscribe {
        /// Whose.
        pool: PoolId,
    },
    /// A line for the operators.
    Log {
        /// The pool that it is about.
        pool: PoolId,
        /// The line.
        text: String,
    },
}
