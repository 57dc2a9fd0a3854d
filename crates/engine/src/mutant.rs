//! Faults that tests switch on to show that the checks find them.

/// One fault. Without the feature `mutants` there is none and every check of it is constant, so that nothing of it is in a
/// program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Mutant {
    /// A successful response that comes after the timeout is answered too.
    #[cfg(feature = "mutants")]
    LateSuccess,
    /// A connection that ends after the last byte is taken to mean that the request was not executed.
    #[cfg(feature = "mutants")]
    NotExecutedAfterLastByte,
    /// A key's deduplication window is measured from the end of the first attempt.
    #[cfg(feature = "mutants")]
    WindowStartsAtEnd,
    /// Whether a backend is draining is checked at dispatch, and not again before the first byte.
    #[cfg(feature = "mutants")]
    StaleDrainState,
    /// When a request is answered its other attempts are not cancelled.
    #[cfg(feature = "mutants")]
    HedgeNotCancelled,
    /// A client that disconnects is answered all the same, when its attempt ends.
    #[cfg(feature = "mutants")]
    AnswerAfterDisconnect,
    /// The policy's rejection is answered though an attempt may have been executed.
    #[cfg(feature = "mutants")]
    RejectedAfterExecution,
    /// A connection is kept though bytes came after the response.
    #[cfg(feature = "mutants")]
    ReusedWithExcessBytes,
    /// A request's deadline is awaited when the request has ended.
    #[cfg(feature = "mutants")]
    TimerOutlivesRequest,
    /// A backend that a snapshot lacks keeps the state that it had.
    #[cfg(feature = "mutants")]
    DrainMissedInSnapshot,
}

/// The fault that is switched on, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ActiveMutant(#[cfg(feature = "mutants")] pub Option<Mutant>);

/// Whether a fault is switched on; constant without the feature.
macro_rules! mutant {
    ($active:expr, $mutant:ident) => {{
        #[cfg(feature = "mutants")]
        {
            $active.0 == Some($crate::Mutant::$mutant)
        }
        #[cfg(not(feature = "mutants"))]
        {
            let _ = &$active;
            false
        }
    }};
}
pub(crate) use mutant;
