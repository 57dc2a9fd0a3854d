//! Bugs that tests switch on to see them found.

/// One mutant bug. Without the feature `mutants` there is none to choose and every question is answered no, so
/// that nothing of it is in a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Mutant {
    /// A success that comes after the time-out's answer is answered too.
    #[cfg(feature = "mutants")]
    LateSuccess,
    /// A connection that ends after the last byte is taken to mean that the request was not executed.
    #[cfg(feature = "mutants")]
    NotExecutedAfterLastByte,
    /// A key's window is measured from the end of the first attempt.
    #[cfg(feature = "mutants")]
    WindowStartsAtEnd,
    /// Whether a backend drains is asked when an attempt is asked for, and no more at its first byte.
    #[cfg(feature = "mutants")]
    StaleDrainState,
    /// When a request is answered its other attempts go on.
    #[cfg(feature = "mutants")]
    HedgeNotCancelled,
    /// A client that leaves is answered all the same, when its attempt ends.
    #[cfg(feature = "mutants")]
    AnswerAfterDisconnect,
    /// A refusal is given out as the policy words it.
    #[cfg(feature = "mutants")]
    RejectedAfterExecution,
    /// A connection is kept though more came than the answer.
    #[cfg(feature = "mutants")]
    ReusedWithExcessBytes,
    /// A request's deadline goes on when the request is over.
    #[cfg(feature = "mutants")]
    TimerOutlivesRequest,
    /// What is absent from a whole list keeps the state that it had.
    #[cfg(feature = "mutants")]
    DrainMissedInSnapshot,
}

/// Which bug is mutant, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ActiveMutant(#[cfg(feature = "mutants")] pub Option<Mutant>);

/// Whether a bug is mutant; a constant where the feature is off.
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
