//! Faults that tests switch on to show that the checks find them.

/// A fault that can be switched on. Without the feature `mutants` the type has no variants and every check for one is the
/// constant `false`, so that programs contain none of this code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Mutant {
    /// A successful response that comes after the timeout is sent as a second answer.
    #[cfg(feature = "mutants")]
    LateSuccess,
    /// A request counts as not executed if its connection ends after the last byte was written.
    #[cfg(feature = "mutants")]
    NotExecutedAfterLastByte,
    /// A key's deduplication window is measured from the end of the first attempt.
    #[cfg(feature = "mutants")]
    WindowStartsAtEnd,
    /// The backend's state is checked at dispatch, but not again before the first byte.
    #[cfg(feature = "mutants")]
    StaleDrainState,
    /// The other attempts of an answered request are not cancelled.
    #[cfg(feature = "mutants")]
    HedgeNotCancelled,
    /// A request whose client has disconnected is still answered when its attempt ends.
    #[cfg(feature = "mutants")]
    AnswerAfterDisconnect,
    /// A rejection by the policy is sent although an attempt may have been executed.
    #[cfg(feature = "mutants")]
    RejectedAfterExecution,
    /// A connection is kept although further bytes came after the response.
    #[cfg(feature = "mutants")]
    ReusedWithExcessBytes,
    /// A request's deadline stays pending after the request has ended.
    #[cfg(feature = "mutants")]
    TimerOutlivesRequest,
    /// A keyed request is repeated on an idle connection, whose path may no longer carry bytes.
    #[cfg(feature = "mutants")]
    RepeatOnIdleConnection,
    /// An attempt of a keyed request stays in flight after the deduplication window of another one.
    #[cfg(feature = "mutants")]
    AttemptOutlivesWindow,
    /// A backend that is missing from a snapshot keeps its state.
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
