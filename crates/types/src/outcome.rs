//! The outcome of an attempt.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The attempt was served.
    Ok,
    /// The backend sent an error response; the attempt may have been executed.
    Error,
    /// The backend rejected the attempt without executing it.
    Rejected,
    /// No response arrived in time; the attempt may have been executed or may still be.
    TimedOut,
    /// No connection was made, or it ended before the last byte of the request was written; the attempt was not
    /// executed.
    ConnectFailed,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// The attempt was cancelled; it may have been executed.
    Cancelled,
    /// The last byte of the request was not written, and the backend is not at fault; the attempt was not executed.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
