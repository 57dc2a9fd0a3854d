//! The steps of a run, and what is said with each.

use crate::call_faults::CallFault;
use std::time::Duration;

/// A single step of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A proxy's process ends, and another one starts.
    Restart(usize, Restart),
    /// SIGHUP to a proxy, to whose configuration discovery has moved.
    Reload(usize),
    /// SIGSTOP for so many milliseconds.
    Freeze(usize, u64),
    /// Discovery is silent.
    DiscoverySilent,
    /// Discovery ends all its calls.
    DiscoveryBroken,
    /// Discovery is as usual.
    DiscoveryUp,
    /// A proxy hears nothing of discovery.
    DiscoveryCut(usize),
    /// It does again.
    DiscoveryHealed(usize),
    /// A backend drains, in the list and by itself.
    DrainBackend(usize),
    /// A backend that drains ends, and is taken out of the list.
    RemoveBackend(usize),
    /// A backend that has ended starts anew and is listed.
    StartBackend(usize),
    /// A backend dies, and nobody says so.
    KillBackend(usize),
    /// A backend falls ill.
    BackendFault(usize, BackendFault),
    /// It is well.
    BackendHealed(usize),
    /// The connections from a proxy to a backend are reset and refused.
    LinkReset(usize, usize),
    /// They are silent.
    LinkSilent(usize, usize),
    /// Bytes on them are late.
    LinkSlow(usize, usize),
    /// They are as usual.
    LinkHealed(usize, usize),
    /// Calls fail with that chance.
    CallFault(CallFault, f64),
    /// All wall clocks are so many seconds ahead.
    WallClock(i64),
    /// Clients of a proxy that misbehave.
    MisbehavingClients(usize),
    /// Idle clients fill the slots of a proxy.
    IdleCrowd(usize),
}

/// A step and when it is taken, from the beginning of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedStep {
    /// When.
    pub at: Duration,
    /// What.
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
    /// By signals, as the platform sends them or in series.
    Stop(StopSignals),
    /// By SIGTERM, and the next one is started at once.
    Overlap,
}

/// The signals of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignals {
    /// SIGTERM.
    Single,
    /// SIGTERM twice.
    Twice,
    /// SIGHUP three times, SIGTERM, and SIGHUP before and behind a second one.
    WithHangups,
}

/// How a process starts. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStart {
    /// As usual.
    Normal,
    /// Its address is held for so long.
    HeldAddress(u64),
    /// Its address is held, and it is told to end after so long.
    StopWhileHeld(u64),
    /// Its configuration is whole after so long.
    HalfConfiguration(u64),
    /// It is told to end after so long.
    EarlyStop(u64),
}

/// A backend's illness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// A part of its requests is never answered.
    Hangs(f64),
    /// A part gets 500.
    Fails(f64),
    /// A part ends in a reset.
    Resets(f64),
    /// Work takes so many times as long.
    Slow(f64),
    /// Each connection ends after its answer.
    Closes,
    /// Answers come byte by byte, over so many milliseconds.
    Drips(u64),
    /// Answers are no HTTP, and the connection stays open.
    Garbage,
    /// Answers break off within their bodies, and the connection stays open.
    Truncates,
    /// Head and body come in two segments, on a socket that holds small ones back.
    TwoSegments,
}
