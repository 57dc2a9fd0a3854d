//! The kinds of fault that a run may have.

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// Proxies are told to end with SIGTERM and started anew.
    Stop,
    /// Proxies are killed and started anew.
    Kill,
    /// Proxies are told with SIGHUP that discovery has moved, some several times in a row.
    Reload,
    /// Discovery is silent, or ends its calls.
    Discovery,
    /// Single proxies are cut off from discovery.
    DiscoveryLink,
    /// Backends drain, are taken out of the list, and come back cold.
    Drain,
    /// Backends die without a word and come back cold.
    Death,
    /// Backends hang, fail, reset connections, are slow or close each connection.
    Illness,
    /// Links between single proxies and backends are cut or slow.
    BackendLink,
    /// System calls of all proxies fail.
    Calls,
    /// The proxies' wall clocks are stepped by up to an hour while they run.
    WallClock,
    /// Processes stand still for up to 0.15 s.
    Freeze,
    /// Clients send half of a request, or several at once, or rest in large numbers.
    Clients,
    /// Idle clients fill all slots of single proxies.
    Crowd,
    /// Proxies are killed and started anew while the system lacks sockets.
    ShortStart,
    /// Another socket listens at a proxy's address as it is started anew; some are told to end meanwhile.
    HeldAddress,
    /// Proxies are started anew while the earlier process is still ending.
    Overlap,
    /// Proxies are started anew with a configuration that breaks off, and is whole a little later.
    HalfConfiguration,
    /// Proxies are told to end in the first milliseconds of a start.
    EarlyStop,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [FaultKind; 19] = [
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

    /// Those of starts, ends and crowds: most runs have two of them.
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
