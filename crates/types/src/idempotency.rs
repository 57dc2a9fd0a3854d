//! What repeating a request does, and which backends discard each other's repeats.

use crate::Micros;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Nothing: it may be repeated and refused at will.
    Free,
    /// The backends of one scope discard repeats for a time after the first send.
    Keyed(KeyScope, Micros),
    /// A second run does harm.
    Unsafe,
}

/// Which backends discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}
