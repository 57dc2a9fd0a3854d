//! What repeating a request does, and which backends discard each other's repeats.

use crate::Micros;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// Nothing: it may be repeated and refused at will.
    Safe,
    /// The backends of one scope discard repeats for a time after the first send.
    Keyed(DeduplicationScope, Micros),
    /// A second run does harm.
    NonIdempotent,
}

/// Which backends discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Group,
}
