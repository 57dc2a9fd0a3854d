//! The transitions of a model.

/// The state in which a response leaves its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AfterResponse {
    /// The connection may be reused.
    Keep,
    /// The response allows reuse, but excess bytes follow it.
    ExcessBytes,
    /// The connection must not be reused.
    Close,
}

/// One step of a model. Requests, backends and pools are identified by number, connections and pending intents by their
/// position in [`Shell`](crate::Shell).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Transition {
    /// A request arrives.
    Arrive(u8),
    /// The client of a request disconnects.
    Leave(u8),
    /// The chooser dispatches an attempt of a request to a backend.
    Dispatch(u8, u8),
    /// The chooser dispatches an attempt whose first byte may be written in this tick only.
    DispatchWithinTick(u8, u8),
    /// The chooser dispatches an attempt under a number that is not the next one.
    DispatchOutOfOrder(u8, u8),
    /// The chooser rejects a request.
    Refuse(u8),
    /// The chooser fails a request.
    Fail(u8),
    /// The chooser cancels an attempt of a request.
    Cancel(u8, u8),
    /// The store reports whether it persisted an intent.
    Permit(u8, bool),
    /// A connection is established.
    Up(u8),
    /// A connection could not be established; the flag tells whether the backend is at fault.
    ConnectFailed(u8, bool),
    /// The last byte of a request is written.
    Written(u8),
    /// A response arrives: 0 is served, 1 not executed, 2 an error.
    Answered(u8, u8, AfterResponse),
    /// An invalid response arrives.
    InvalidResponse(u8),
    /// The backend closes a connection.
    Ended(u8),
    /// A connection proves unusable.
    Unfit(u8),
    /// A connection that the engine closes is closed; the flag tells whether the last byte was written.
    Closed(u8, bool),
    /// A backend starts to drain.
    Drain(u8),
    /// A backend is removed from the endpoint list.
    Gone(u8),
    /// A backend becomes ready again.
    Return(u8),
    /// A snapshot of a pool arrives that lacks this backend.
    SnapshotWithout(u8),
    /// A complete snapshot of a pool arrives.
    FullSnapshot(u8),
    /// The subscription to a pool is lost.
    LoseSubscription(u8),
    /// A backend changes its address.
    ChangeAddress(u8),
    /// A backend changes its deduplication group.
    ChangeGroup(u8),
    /// A backend moves to another pool.
    ChangePool(u8, u8),
    /// A pool is closed.
    ClosePool(u8),
    /// SIGTERM arrives.
    Stop,
    /// The engine is woken.
    Wake,
    /// A tick passes.
    Tick,
}
