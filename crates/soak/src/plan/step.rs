//! The steps of a run.

use crate::call_faults::CallFault;
use std::time::Duration;

/// A single step of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The process of a proxy ends, and the next one starts.
    Restart(usize, Restart),
    /// Discovery moves to another address in a proxy's configuration, and the proxy receives SIGHUP.
    Reload(usize),
    /// Discovery moves to another address in a proxy's configuration, at which it does not answer, and the proxy receives
    /// SIGHUP.
    ReloadToSilent(usize),
    /// The open calls at discovery fall silent; new ones are answered.
    OpenCallsSilent,
    /// A proxy is paused with SIGSTOP for this time, in ms.
    Freeze(usize, u64),
    /// Discovery does not answer.
    DiscoverySilent,
    /// Discovery closes all its connections.
    DiscoveryBroken,
    /// Discovery works again.
    DiscoveryUp,
    /// A proxy cannot reach discovery.
    DiscoveryCut(usize),
    /// A proxy can reach discovery again.
    DiscoveryHealed(usize),
    /// A backend drains and is listed as draining.
    DrainBackend(usize),
    /// A draining backend ends, and is removed from the list.
    RemoveBackend(usize),
    /// A backend that has ended starts again and is listed.
    StartBackend(usize),
    /// A backend dies and stays listed.
    KillBackend(usize),
    /// A backend has a fault.
    BackendFault(usize, BackendFault),
    /// A backend has no fault any more.
    BackendHealed(usize),
    /// The connections from a proxy to a backend are reset and refused.
    LinkReset(usize, usize),
    /// The connections from a proxy to a backend carry nothing.
    LinkSilent(usize, usize),
    /// Bytes from a proxy to a backend and back are delayed.
    LinkSlow(usize, usize),
    /// The connections from a proxy to a backend work again.
    LinkHealed(usize, usize),
    /// A system call of all proxies fails with this probability.
    CallFault(CallFault, f64),
    /// The proxies' wall clocks have this offset from the true time, in seconds.
    WallClock(i64),
    /// Clients of a proxy misbehave.
    MisbehavingClients(usize),
    /// Idle clients fill the slots of a proxy.
    IdleCrowd(usize),
}

/// A step and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedStep {
    /// Time from the start of the run.
    pub at: Duration,
    /// The step to apply.
    pub step: Step,
}

/// How a proxy's process ends, and how the next one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// How the current process ends.
    pub end: ProcessEnd,
    /// How the next process starts.
    pub start: ProcessStart,
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// By SIGKILL.
    Kill,
    /// By the signals of a stop.
    Stop(StopSignals),
    /// By SIGTERM, and the next process starts at once.
    Overlap,
}

/// The signals of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignals {
    /// SIGTERM.
    Single,
    /// SIGTERM twice.
    Twice,
    /// SIGHUP three times, SIGTERM, SIGHUP, SIGTERM, SIGHUP.
    WithHangups,
}

/// How a process starts. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// Without a fault.
    Normal,
    /// Another socket listens at the process's address for this time.
    HeldAddress(u64),
    /// Another socket listens at the process's address, and the process is stopped after this time.
    StopWhileHeld(u64),
    /// The configuration is truncated, and completed after this time.
    HalfConfiguration(u64),
    /// The process is stopped after this time.
    EarlyStop(u64),
}

/// A fault of a backend. An `f64` is a fraction of its requests unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// A fraction of the requests is never answered.
    Hangs(f64),
    /// A fraction of the requests is answered with 500.
    Fails(f64),
    /// A fraction of the requests ends in a reset.
    Resets(f64),
    /// Requests take longer by this factor.
    Slow(f64),
    /// Each connection is closed after one answer.
    Closes,
    /// Answers are sent byte by byte over this time, in ms.
    Drips(u64),
    /// Answers have no length, and end with their connection, which is closed in order.
    Lengthless,
    /// Answers have no length, and end in the middle of their body with a reset.
    LengthlessReset,
    /// Answers are not valid HTTP, and the connection stays open.
    Garbage,
    /// Answers are truncated in the body, and the connection stays open.
    Truncates,
    /// Head and body are sent in two segments, without TCP_NODELAY.
    TwoSegments,
}
