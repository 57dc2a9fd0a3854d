//! What the engine is told and what it asks for.

use shaletide_balancer::Arrival;
use shaletide_routing::ResponseClass;
use shaletide_types::*;
use std::rc::Rc;

/// A request of any front.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// What the decision module is told; its `request` is the payload's id at the front.
    pub arrival: Arrival,
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// The pools of its route, the preferred first.
    pub pools: Rc<[PoolId]>,
    /// No byte of it may go out before [`Event::Permit`] says so.
    pub requires_intent: bool,
    /// Each end of an attempt of it is told: [`Action::Ended`].
    pub recorded: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
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
    /// A backend belongs to another pool from now on.
    BackendMoved {
        /// Which.
        backend: BackendId,
        /// The pool that it leaves.
        from: PoolId,
        /// The one that it joins.
        to: PoolId,
    },
    /// A backend listens elsewhere now: what is open leads to the old address.
    AddressChanged {
        /// Which.
        backend: BackendId,
    },
    /// A pool is no more.
    PoolClosed {
        /// Which.
        pool: PoolId,
    },
    /// A request was taken: it is owed one final answer.
    Request(RequestSpec),
    /// Its client left; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// It is to be given up, by somebody who knows that it cannot be served: nothing of it goes out any more.
    GiveUp {
        /// The request.
        request: RequestId,
        /// When its client had better come again.
        retry_after: Micros,
    },
    /// The store's word on an attempt for which [`Action::PersistIntent`] asked.
    IntentPersisted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// It may be sent.
        persisted: bool,
    },
    /// A connection is up.
    Connected {
        /// Which.
        connection: ConnectionId,
    },
    /// A connection did not come up.
    ConnectFailed {
        /// Which.
        connection: ConnectionId,
        /// The backend is to blame, and not this machine.
        backend_at_fault: bool,
    },
    /// The last byte of the request on it has gone to the kernel: from here on it may run.
    RequestWritten {
        /// The connection.
        connection: ConnectionId,
    },
    /// What the backend at the other end of a connection says of its own load, in an answer that is about to be told.
    LoadReported {
        /// The connection.
        connection: ConnectionId,
        /// What it says.
        report: LoadReport,
    },
    /// A whole answer came.
    ResponseReceived {
        /// The connection.
        connection: ConnectionId,
        /// What it means by the request's route.
        verdict: ResponseClass,
        /// The answer lets the connection be used again.
        reusable: bool,
        /// More has come than the answer.
        has_excess_bytes: bool,
    },
    /// What came can never become an answer.
    InvalidResponse {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection ended.
    ConnectionClosed {
        /// Which.
        connection: ConnectionId,
    },
    /// An idle connection turned out to be closed or to have something on it, at the latest when it was to be
    /// written to: not a byte of a request went out on it.
    ConnectionUnusable {
        /// Which.
        connection: ConnectionId,
    },
    /// A connection with a request on it is closed, as asked.
    CloseCompleted {
        /// Which.
        connection: ConnectionId,
        /// The last byte of the request had gone to the kernel by then.
        written: bool,
    },
    /// The time for which [`crate::Engine::wake_at`] asked has come.
    Wake,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalOutcome {
    /// By the answer to this attempt.
    Served(AttemptNumber),
    /// A retry is harmless; the client had better come again after this time.
    Rejected(Micros),
    /// Nothing is promised.
    Failed,
    /// Its time was up.
    TimedOut,
}

/// What the shell is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// Its name from now on.
        connection: ConnectionId,
        /// Where to.
        backend: BackendId,
    },
    /// Write a request on a connection that is up, if that is quiet at this moment; else [`Event::Unfit`].
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
        /// Which attempt this is.
        attempt: AttemptNumber,
        /// When the request's time is up.
        deadline: Time,
        /// Its last byte may go out only before then: no further byte is written from then on, and the connection is told
        /// as [`Event::Ended`], or as [`Event::Unfit`] where not a byte had gone out.
        write_deadline: Option<Time>,
    },
    /// Close a connection at once. Where a request is on it, [`Event::Closed`] says how far that had got.
    Close {
        /// Which.
        connection: ConnectionId,
    },
    /// The final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// How it ends.
        answer: FinalOutcome,
        /// The attempt whose answer, though not served, ended the request.
        last_attempt: Option<AttemptNumber>,
    },
    /// Ask the store whether an attempt may be sent; [`Event::Permit`] tells.
    PersistIntent {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt for which a permit was asked was not sent and never will be.
    WithdrawIntent {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt of a recorded request is over.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: Outcome,
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
