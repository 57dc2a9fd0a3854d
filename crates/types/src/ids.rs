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
    /// One backend, numbered by the directory; never used again.
    BackendId(u32);
    /// A place in the network.
    ZoneId(u32);
    /// Backends that share the keys they have seen.
    DeduplicationGroupId(u64);
    /// A named set of backends with a balancer of its own.
    PoolId(u32);
    /// Backends of one server type are taken as equally fast.
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
