//! The kinds of fault that a run may have.

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// Proxies are stopped with SIGTERM and restarted.
    Stop,
    /// Proxies are killed and restarted.
    Kill,
    /// Proxies receive SIGHUP after discovery has moved, some of them several times in a row.
    Reload,
    /// Discovery does not answer, or closes its connections.
    Discovery,
    /// Single proxies cannot reach discovery.
    DiscoveryLink,
    /// Backends drain, are removed from the list, and start again with slow start.
    Drain,
    /// Backends die while they are listed, and start again with slow start.
    Death,
    /// Backends hang, fail, reset connections, are slow or close each connection.
    Illness,
    /// Links between single proxies and backends are cut or slow.
    BackendLink,
    /// System calls of all proxies fail.
    Calls,
    /// The proxies' wall clocks are stepped by up to an hour while they run.
    WallClock,
    /// Processes are paused with SIGSTOP for up to 0.15 s.
    Freeze,
    /// Clients send incomplete requests, several requests at once, or hold many idle connections.
    Clients,
    /// Idle clients fill all slots of single proxies.
    Crowd,
    /// Proxies are killed and restarted while sockets cannot be created.
    ShortStart,
    /// Another socket listens at a proxy's address as it restarts; some proxies are stopped meanwhile.
    HeldAddress,
    /// The next process starts while the earlier one still drains.
    Overlap,
    /// Proxies restart with a truncated configuration, which is completed a little later.
    HalfConfiguration,
    /// Proxies are stopped in the first milliseconds of a start.
    EarlyStop,
    /// The open calls at discovery fall silent, backends drain, and discovery moves to addresses at which it does not answer.
    SilentMove,
    /// The open calls at discovery fall silent, backends drain, and discovery goes down: each a free time after the one before.
    SilentOutage,
    /// Answers have no length: those of most backends end in order, those of others in a reset.
    Lengthless,
    /// Proxies are cut off from every other backend for longer than the usual deduplication window: what was sent waits.
    Partition,
}

impl FaultKind {
    /// The kinds that seeds draw from, in the order that the draws use.
    pub const DRAWN: [FaultKind; 19] = [
        FaultKind::Stop,
        FaultKind::Kill,
        FaultKind::Reload,
        FaultKind::Discovery,
        FaultKind::DiscoveryLink,
        FaultKind::Drain,
        FaultKind::Death,
        FaultKind::Illness,
        FaultKind::BackendLink,
        FaultKind::Calls,
        FaultKind::WallClock,
        FaultKind::Freeze,
        FaultKind::Clients,
        FaultKind::Crowd,
        FaultKind::ShortStart,
        FaultKind::HeldAddress,
        FaultKind::Overlap,
        FaultKind::HalfConfiguration,
        FaultKind::EarlyStop,
    ];

    /// Kinds that are played only by name. They are not drawn, so that the plans of earlier seeds stay the same.
    pub const NAMED: [FaultKind; 4] =
        [FaultKind::SilentMove, FaultKind::SilentOutage, FaultKind::Lengthless, FaultKind::Partition];

    /// Whether faults of this kind are in links between proxies and backends.
    pub(crate) fn is_in_backend_links(self) -> bool {
        matches!(self, FaultKind::BackendLink | FaultKind::Partition)
    }

    /// Returns the kind of that name, whatever its case.
    pub fn named(name: &str) -> Option<FaultKind> {
        let mut kinds = FaultKind::DRAWN.into_iter().chain(FaultKind::NAMED);
        kinds.find(|kind| format!("{kind:?}").eq_ignore_ascii_case(name))
    }

    /// Kinds that concern starts, stops and full slots. Most runs have two of them.
    pub(super) const STARTS_AND_ENDS: [FaultKind; 8] = [
        FaultKind::Stop,
        FaultKind::Kill,
        FaultKind::Reload,
        FaultKind::Crowd,
        FaultKind::HeldAddress,
        FaultKind::Overlap,
        FaultKind::HalfConfiguration,
        FaultKind::EarlyStop,
    ];
}
