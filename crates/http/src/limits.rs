//! How many connections of clients there may be beyond the limit, on descriptors of the reserve.

/// Connections accepted beyond the limit: each is closed after its response.
pub(crate) const EXTRA_CONNECTIONS: usize = 24;
/// Connections that have had their last response and whose clients may still be sending.
pub(crate) const MAX_LINGERING: usize = 16;

/// Descriptors that connections of clients may use beyond the limit.
pub const CLIENT_OVERFLOW: usize = EXTRA_CONNECTIONS + MAX_LINGERING;
