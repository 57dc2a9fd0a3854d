//! Numbers for the names in lists.

use crate::hash::fnv1a;
use std::collections::BTreeMap;

/// Maximum number of names of zones, and likewise of server types, that get a number of their own. Each name has at most
/// [`crate::MAX_NAME`] bytes.
pub const MAX_NUMBERED: usize = 10_000;

/// Numbers in the order in which names were first seen; a name keeps its number for the life of the process.
#[derive(Clone, Debug, Default)]
pub struct Interner {
    by_name: BTreeMap<String, u32>,
}

impl Interner {
    pub fn new(names: &[String]) -> Interner {
        let mut interner = Interner::default();
        for name in names {
            interner.intern(name);
        }
        interner
    }

    /// Returns the name's number. Beyond [`MAX_NUMBERED`] names it is a hash of the name in the upper half of all numbers,
    /// which is the same each time and collides with another name very rarely.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        if self.by_name.len() == MAX_NUMBERED {
            return 1 << 31 | (fnv1a(name) >> 33) as u32;
        }
        let number = self.by_name.len() as u32;
        self.by_name.insert(name.to_string(), number);
        number
    }
}

#[cfg(test)]
mod tests;
