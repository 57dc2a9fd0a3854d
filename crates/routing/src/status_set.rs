//! A set of HTTP statuses.

/// A set of statuses from 100 to 599.
#[derive(Clone, PartialEq, Eq)]
pub struct StatusSet([u64; 8]);

const FIRST: u16 = 100;
const LAST: u16 = 599;

impl StatusSet {
    /// The empty set.
    pub fn empty() -> StatusSet {
        StatusSet([0; 8])
    }

    /// Adds the statuses from `first` to `last`; statuses outside 100 to 599 are ignored.
    pub fn add(&mut self, first: u16, last: u16) {
        for status in first.max(FIRST)..=last.min(LAST) {
            let bit = usize::from(status - FIRST);
            self.0[bit / 64] |= 1 << (bit % 64);
        }
    }

    /// Removes a status.
    pub fn remove(&mut self, status: u16) {
        if (FIRST..=LAST).contains(&status) {
            let bit = usize::from(status - FIRST);
            self.0[bit / 64] &= !(1 << (bit % 64));
        }
    }

    /// Whether the set has the status.
    pub fn contains(&self, status: u16) -> bool {
        if !(FIRST..=LAST).contains(&status) {
            return false;
        }
        let bit = usize::from(status - FIRST);
        self.0[bit / 64] & (1 << (bit % 64)) != 0
    }
}

impl std::fmt::Debug for StatusSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_set().entries((FIRST..=LAST).filter(|status| self.contains(*status))).finish()
    }
}
