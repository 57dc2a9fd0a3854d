//! The reasons for which requests are given up, and their counts for operators.

/// Why a request is given up. Whether it is rejected or failed depends only on its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[non_exhaustive]
pub enum GiveUpReason {
    /// Admission control rejected the request.
    Overloaded,
    /// The request waited in the queue for half of its time, or can no longer meet its latency objective or deadline.
    OutOfTime,
    /// No backend is eligible: all were tried, none is listed, or none of the remaining ones shares idempotency keys
    /// with the earlier attempts' backends.
    NoEligibleBackend,
    /// The pool was closed while the request waited for capacity. (In an open pool without capacity a request stays
    /// queued and ends as `OutOfTime`.)
    PoolClosed,
    /// A further attempt could cause a second execution, or would exceed the maximum number of attempts.
    NotRepeatable,
    /// A further attempt would exceed the retry budget.
    RetryBudget,
}

impl GiveUpReason {
    /// All reasons, in the order of [`GiveUpCounts`].
    pub const ALL: [GiveUpReason; 6] = [
        GiveUpReason::Overloaded,
        GiveUpReason::OutOfTime,
        GiveUpReason::NoEligibleBackend,
        GiveUpReason::PoolClosed,
        GiveUpReason::NotRepeatable,
        GiveUpReason::RetryBudget,
    ];

    /// Returns the reason as it appears in log lines.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpReason::Overloaded => "overloaded",
            GiveUpReason::OutOfTime => "out of time",
            GiveUpReason::NoEligibleBackend => "no eligible backend",
            GiveUpReason::PoolClosed => "pool closed",
            GiveUpReason::NotRepeatable => "not repeatable",
            GiveUpReason::RetryBudget => "retry budget",
        }
    }
}

/// Requests given up, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GiveUpCounts([u64; GiveUpReason::ALL.len()]);

impl GiveUpCounts {
    /// Returns the number of requests given up for the reason.
    pub fn of(&self, reason: GiveUpReason) -> u64 {
        self.0[reason as usize]
    }

    /// Counts one more request for the reason.
    pub fn add(&mut self, reason: GiveUpReason) {
        self.0[reason as usize] += 1;
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: GiveUpCounts) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own += other;
        }
    }
}

impl std::fmt::Display for GiveUpCounts {
    /// Writes the reasons with a count above 0, such as `overloaded 3, retry budget 1`, or `none`.
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
