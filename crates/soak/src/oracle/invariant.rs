//! The invariants and their violations.

/// An invariant of routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Invariant {
    /// Each request receives its final answer in time.
    Answered,
    /// A valid request is not answered with a 4xx other than 429.
    NotRejected,
    /// A non-idempotent request runs once.
    UnsafeOnce,
    /// A keyed request is repeated only in its deduplication group and window.
    KeyedInside,
    /// A rejected request has not run.
    HarmlessRefusal,
    /// No new request arrives at a backend later than the drain grace after the proxy knew of its drain.
    Drain,
    /// A warming backend is not overloaded.
    Cold,
    /// An answer with status 200 is from a backend that served that request.
    TrueAnswer,
    /// Of the answers without a length that came whole, at least half are forwarded.
    LengthlessForwarded,
    /// The time left that a backend receives does not exceed its client's.
    TimeLeft,
    /// No request arrives at a backend after its client disconnected.
    ClientGone,
    /// No process exits by itself or panics.
    NoCrash,
    /// A process is ready soon after its start, or after its address is free or its configuration complete.
    Ready,
    /// A process stays within its memory limit.
    Memory,
    /// A process exits in time after SIGTERM.
    Stop,
    /// No client is evicted while slots are free.
    NoNeedlessEviction,
    /// The program's self-check reports nothing.
    SelfCheck,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Description of the violation.
    pub text: String,
}
