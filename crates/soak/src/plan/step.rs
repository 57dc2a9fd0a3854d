//! The steps of a run.

use crate::call_faults::CallFault;
use std::time::Duration;

/// A single step of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The process of a proxy ends, and its next one starts.
    Restart(usize, Restart),
    /// Discovery moves to another address in a proxy's configuration, and the proxy gets SIGHUP.
    Reload(usize),
    /// A proxy is paused with SIGSTOP for so many milliseconds.
    Freeze(usize, u64),
    /// Discovery does not answer.
    DiscoverySilent,
    /// Discovery closes all its connections.
    DiscoveryBroken,
    /// Discovery works again.
    DiscoveryUp,
    /// A proxy cannot reach discovery.
    DiscoveryCut(usize),
    /// It can again.
    DiscoveryHealed(usize),
    /// A backend drains, and is listed so.
    DrainBackend(usize),
    /// A draining backend ends, and is removed from the list.
    RemoveBackend(usize),
    /// A backend that has ended starts again and is listed.
    StartBackend(usize),
    /// A backend dies and stays listed.
    KillBackend(usize),
    /// A backend has a fault.
    BackendFault(usize, BackendFault),
    /// A backend has none of these faults any more.
    BackendHealed(usize),
    /// The connections from a proxy to a backend are reset and refused.
    LinkReset(usize, usize),
    /// Nothing gets through on them.
    LinkSilent(usize, usize),
    /// Bytes on them are delayed.
    LinkSlow(usize, usize),
    /// They work again.
    LinkHealed(usize, usize),
    /// System calls of all proxies fail with that probability.
    CallFault(CallFault, f64),
    /// The proxies' wall clocks are so many seconds ahead.
    WallClock(i64),
    /// Clients of a proxy misbehave.
    MisbehavingClients(usize),
    /// Idle clients fill the slots of a proxy.
    IdleCrowd(usize),
}

/// A step and when it is taken, from the beginning of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedStep {
    /// When it is due.
    pub at: Duration,
    /// What is done.
    pub step: Step,
}

/// How a proxy's process ends, and how the next one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// How it ends.
    pub end: ProcessEnd,
    /// How the next one starts.
    pub start: ProcessStart,
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// By SIGKILL.
    Kill,
    /// By these signals.
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
    /// Another socket listens at its address for so long.
    HeldAddress(u64),
    /// Another socket listens at its address, and it is stopped after so long.
    StopWhileHeld(u64),
    /// Its configuration is truncated, and complete after so long.
    HalfConfiguration(u64),
    /// It is stopped after so long.
    EarlyStop(u64),
}

/// A fault of a backend. Parts are fractions of its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// A part of its requests is never answered.
    Hangs(f64),
    /// A part gets 500.
    Fails(f64),
    /// A part ends in a reset.
    Resets(f64),
    /// Requests take so many times as long.
    Slow(f64),
    /// Each connection is closed after its answer.
    Closes,
    /// Answers come byte by byte, over so many milliseconds.
    Drips(u64),
    /// Answers are not HTTP, and the connection stays open.
    Garbage,
    /// Answers are truncated within their bodies, and the connection stays open.
    Truncates,
    /// Head and body are sent in two segments, without TCP_NODELAY.
    TwoSegments,
}
