//! Interner for names that are met in lists.

use crate::hash::fnv1a;
use std::collections::BTreeMap;

/// So many names of zones, and as many of server_types, keep their numbers. Each has [`crate::MAX_NAME`] bytes at
/// most.
pub const MAX_NUMBERED: usize = 10_000;

/// Names in the order in which they were met; a name keeps its number for the life of the program.
#[derive(Clone, Debug, Default)]
pub struct Interner {
    by_name: BTreeMap<String, u32>,
}

impl Interner {
    pub fn new(names: &[String]) -> Interner {
        let mut numbers = Interner::default();
        names.iter().for_each(|name| {
            numbers.intern(name);
        });
        numbers
    }

    /// The name's number. Past the bound it is drawn from the name, from the upper half of all numbers: still
    /// the same each time, and hardly ever that of another name.
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
