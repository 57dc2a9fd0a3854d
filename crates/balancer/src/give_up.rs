//! Why requests are given up, counted for the operators.

/// Why a request will not be served. Whether its client is told that a retry is harmless depends on its attempts alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum GiveUpReason {
    /// The backends hold too much for it to be let in.
    Overloaded,
    /// Its time is up, or too little is left for an attempt.
    OutOfTime,
    /// No backend is left that it may go to: it was at all of them, or none is listed.
    NoBackendLeft,
    /// All that it may go to are ejected, or have no room, and nothing waits any more.
    NoRoom,
    /// A further attempt might run a second time, or is over its number.
    NotRepeatable,
    /// A further attempt is over the budget of retries.
    RetryBudget,
}

impl GiveUpReason {
    /// All of them, in the order of [`GiveUpCounts`].
    pub const ALL: [GiveUpReason; 6] = [
        GiveUpReason::Overloaded,
        GiveUpReason::OutOfTime,
        GiveUpReason::NoBackendLeft,
        GiveUpReason::NoRoom,
        GiveUpReason::NotRepeatable,
        GiveUpReason::RetryBudget,
    ];

    /// In a log line.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpReason::Overloaded => "overloaded",
            GiveUpReason::OutOfTime => "out of time",
            GiveUpReason::NoBackendLeft => "no backend left",
            GiveUpReason::NoRoom => "no room",
            GiveUpReason::NotRepeatable => "not repeatable",
            GiveUpReason::RetryBudget => "retry budget",
        }
    }
}

/// Requests given up, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GiveUpCounts([u64; GiveUpReason::ALL.len()]);

impl GiveUpCounts {
    /// How many for that reason.
    pub fn of(&self, reason: GiveUpReason) -> u64 {
        self.0[reason as usize]
    }

    /// One more.
    pub fn add(&mut self, reason: GiveUpReason) {
        self.0[reason as usize] += 1;
    }

    /// Those of another count as well.
    pub fn merge(&mut self, other: GiveUpCounts) {
        self.0.iter_mut().zip(other.0).for_each(|(own, other)| *own += other);
    }
}

impl std::fmt::Display for GiveUpCounts {
    /// The reasons that there were, such as `overloaded 3, retry budget 1`; `none` where there were none.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut separator = "";
        for reason in GiveUpReason::ALL.into_iter().filter(|reason| self.of(*reason) > 0) {
            write!(f, "{separator}{} {}", reason.name(), self.of(reason))?;
            separator = ", ";
        }
        if separator.is_empty() {
            f.write_str("none")?;
        }
        Ok(())
    }
}
