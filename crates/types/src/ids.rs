//! Identifiers. Each has its own type, so that the compiler rejects one in place of another.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies a client request; never reused.
    RequestId(u64);
    /// Identifies a backend, numbered by the directory; never reused.
    BackendId(u32);
    /// Identifies a zone of the network.
    ZoneId(u32);
    /// Identifies a deduplication group: backends that share the keys they have seen.
    DeduplicationGroupId(u64);
    /// Identifies a pool: a named set of backends with a balancer of its own.
    PoolId(u32);
    /// Identifies a server type, whose backends are assumed to be equally fast.
    ServerTypeId(u32);
    /// Index into the configured classes.
    ClassId(usize);
    /// Index into the configured tenants.
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNumber(u32);
    /// Identifies a connection to a backend; never reused.
    ConnectionId(u64);
    /// Identifies a timer to its owner.
    TimerToken(u64);
}
