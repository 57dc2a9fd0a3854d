//! Bugs that tests switch on to see them found.

/// One planted bug. Without the feature `plants` there is none to choose and every question is answered no, so
/// that nothing of it is in a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum Plant {
    /// A success that comes after the time-out's answer is answered too.
    #[cfg(feature = "mutants")]
    LateSuccess,
    /// A connection that ends after the last byte is taken to mean that the request never ran.
    #[cfg(feature = "mutants")]
    NeverRanAfterLastByte,
    /// A key's window is measured from the end of the first attempt.
    #[cfg(feature = "mutants")]
    WindowFromEnd,
    /// Whether a box drains is asked when an attempt is asked for, and no more at its first byte.
    #[cfg(feature = "mutants")]
    DrainOfTheNewsBefore,
    /// When a request is answered its other attempts go on.
    #[cfg(feature = "mutants")]
    HedgeLeftRunning,
    /// A client that leaves is answered all the same, when its attempt ends.
    #[cfg(feature = "mutants")]
    AnswerAfterLeaving,
    /// A refusal is given out as the policy words it.
    #[cfg(feature = "mutants")]
    RefusedAfterRunning,
    /// A connection is kept though more came than the answer.
    #[cfg(feature = "mutants")]
    ReusedWithBytesBehind,
    /// A request's deadline goes on when the request is over.
    #[cfg(feature = "mutants")]
    TimerOutlivesRequest,
    /// What is absent from a whole list keeps the state that it had.
    #[cfg(feature = "mutants")]
    DrainForgottenByWholeList,
}

/// Which bug is planted, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Planted(#[cfg(feature = "mutants")] pub Option<Plant>);

/// Whether a bug is planted; a constant where the feature is off.
macro_rules! planted {
    ($planted:expr, $plant:ident) => {{
        #[cfg(feature = "mutants")]
        {
            $planted.0 == Some($crate::Plant::$plant)
        }
        #[cfg(not(feature = "mutants"))]
        {
            let _ = &$planted;
            false
        }
    }};
}
pub(crate) use planted;
