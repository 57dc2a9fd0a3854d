//! Bounds on client connections beyond the configured limit; they use reserved file descriptors.

/// Maximum number of connections accepted beyond the limit. Each is closed after its response.
pub(crate) const EXTRA_CONNECTIONS: usize = 24;
/// Maximum number of connections that linger after their last response because their clients may still be sending.
pub(crate) const MAX_LINGERING: usize = 16;

/// Maximum number of file descriptors that client connections use beyond the limit.
pub const MAX_EXTRA_CLIENT_DESCRIPTORS: usize = EXTRA_CONNECTIONS + MAX_LINGERING;
