//! Identifiers. Each is a type of its own, so that none is taken for another.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client request; never used again.
    RequestId(u64);
    /// One server process's address, numbered by the host.
    BackendId(u32);
    /// A place in the network.
    ZoneId(u32);
    /// A handful of backends that share which keys they have seen.
    DeduplicationGroupId(u64);
    /// A named set of backends with a decision module of its own.
    PoolId(u32);
    /// A sort of machine: backends of one kind are taken as equally fast.
    ServerTypeId(u32);
    /// Index into the configured classes.
    ClassId(usize);
    /// Index into the configured tenants.
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNumber(u32);
    /// A connection to a backend; never used again.
    ConnectionId(u64);
    /// Names a timer to its owner.
    TimerToken(u64);
}
