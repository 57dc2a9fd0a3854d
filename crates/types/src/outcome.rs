//! The outcome of an attempt.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error response; it may have been executed.
    Error,
    /// Rejected by the backend without being executed.
    Rejected,
    /// No response in time; it may have been executed or still be.
    TimedOut,
    /// No connection was made, or it ended before the last byte of the request was written; not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Its last byte was not written, and the backend is not at fault; not executed.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
