//! The moves of a model: what may happen next, by number.

/// How an answer leaves its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AfterResponse {
    /// It may be used again.
    Keep,
    /// It may, but for what has come behind the answer.
    ExcessBytes,
    /// It may not.
    Close,
}

/// One step of the world. Requests, backends and pools go by number, connections and permits by their place among
/// those that there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Transition {
    /// A request comes.
    Arrive(u8),
    /// Its client leaves.
    Leave(u8),
    /// The chooser asks for an attempt.
    Dispatch(u8, u8),
    /// The same, with a first byte that may go out in this tick only.
    DispatchWithinTick(u8, u8),
    /// The same, under a number that is not the next.
    DispatchOutOfOrder(u8, u8),
    /// The chooser refuses.
    Refuse(u8),
    /// The chooser gives up.
    Fail(u8),
    /// The chooser calls an attempt back.
    Cancel(u8, u8),
    /// The store decides.
    Permit(u8, bool),
    /// A connection is up.
    Up(u8),
    /// It did not come up; whether the backend is to blame.
    ConnectFailed(u8, bool),
    /// The last byte has gone.
    Written(u8),
    /// An answer: 0 served, 1 was not executed, 2 error.
    Answered(u8, u8, AfterResponse),
    /// What came is no answer.
    InvalidResponse(u8),
    /// The connection ended.
    Ended(u8),
    /// It cannot be written to.
    Unfit(u8),
    /// It is closed as asked; whether the last byte had gone.
    Closed(u8, bool),
    /// A backend drains.
    Drain(u8),
    /// A backend is off the list.
    Gone(u8),
    /// It is ready again.
    Return(u8),
    /// The whole list of a pool, without that backend.
    SnapshotWithout(u8),
    /// The whole list of a pool.
    FullSnapshot(u8),
    /// The list of a pool is lost.
    LoseSubscription(u8),
    /// A backend listens elsewhere.
    ChangeAddress(u8),
    /// A backend is in another cell.
    ChangeGroup(u8),
    /// A backend goes to another pool.
    ChangePool(u8, u8),
    /// A pool is closed.
    ClosePool(u8),
    /// SIGTERM.
    Stop,
    /// The engine is woken.
    Wake,
    /// A tick passes.
    Tick,
}
