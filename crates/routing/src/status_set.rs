//! A set of HTTP statuses.

/// Statuses from 100 to 599.
#[derive(Clone, PartialEq, Eq)]
pub struct StatusSet([u64; 8]);

const FIRST: u16 = 100;
const LAST: u16 = 599;

impl StatusSet {
    /// The empty set.
    pub fn empty() -> StatusSet {
        StatusSet([0; 8])
    }

    /// Adds those from `first` to `last`; what lies outside 100 to 599 is ignored.
    pub fn add(&mut self, first: u16, last: u16) {
        for status in first.max(FIRST)..=last.min(LAST) {
            let bit = usize::from(status - FIRST);
            self.0[bit / 64] |= 1 << (bit % 64);
        }
    }

    /// Takes out one.
    pub fn remove(&mut self, status: u16) {
        if (FIRST..=LAST).contains(&status) {
            let bit = usize::from(status - FIRST);
            self.0[bit / 64] &= !(1 << (bit % 64));
        }
    }

    /// Whether the status is one of them.
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
