//! The rules, and what is said of one that was broken.

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Invariant {
    /// Each request has its final answer in time.
    Answered,
    /// A sound request is not rejected as malformed.
    NotRejected,
    /// An unsafe request runs once.
    UnsafeOnce,
    /// A keyed one is repeated only in its group and window.
    KeyedInside,
    /// What was refused has not run.
    HarmlessRefusal,
    /// Nothing new to a backend later than the grace after its drain was told.
    Drain,
    /// A cold backend is not pushed over.
    Cold,
    /// What is answered as served was served by a backend.
    TrueAnswer,
    /// The time told to a backend is the client's.
    TimeLeft,
    /// Nothing begins for a client that has gone.
    ClientGone,
    /// No process ends by itself.
    NoCrash,
    /// A process is ready soon, and at once where its address was held.
    Ready,
    /// A process stays within its memory.
    Memory,
    /// A process ends in time after SIGTERM.
    Stop,
    /// No client is evicted while there are slots for all.
    NoNeedlessEviction,
    /// The program's own check finds nothing.
    SelfCheck,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// By what, and how.
    pub text: String,
}
