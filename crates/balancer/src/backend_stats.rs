//! The state that this proxy keeps for each backend.

use crate::outlier::OutlierState;
use crate::reported_load::ReportedLoad;
use crate::slow_start::SentWork;
use shaletide_types::*;

/// The state of one backend as this proxy knows it, and the weights derived from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendStats {
    /// The backend's entry in the endpoint list; `cores` may have been raised to the number that its weight implies.
    pub entry: BackendEntry,
    /// (1 - error rate) x warm-up x load factor, 0 to 1.2; 0 where the backend is not ready, ejected or in an
    /// unreachable zone. Where too many backends are ejected, they are used anyway, with an error rate of 0.
    pub capacity_factor: f64,
    /// Share of this proxy's traffic that the backend should receive.
    pub selection_weight: f64,
    /// Weight for the random draw among the backends of its server type: the part of the backend's length that lies in
    /// this proxy's subset, times its selection weight where backends report their load.
    pub subset_weight: f64,
    /// Maximum number of this proxy's attempts in flight at the backend.
    pub concurrency_limit: f64,
    /// This proxy's attempts in flight at the backend.
    pub in_flight: u32,
    /// Number of those attempts that are so much older than expected that they no longer count against capacity.
    pub suspected_lost: u32,
    /// Error rates, unanswered attempts and ejections.
    pub outlier: OutlierState,
    /// Work sent recently, for the slow start budget.
    pub sent_work: SentWork,
    /// The load that the backend reports.
    pub reported_load: ReportedLoad,
}

impl BackendStats {
    /// Discards what was learned of the backend's process before its restart. The attempts in flight and the work sent
    /// are this proxy's own and stay.
    pub fn reset_after_restart(&mut self) {
        *self = BackendStats {
            in_flight: self.in_flight,
            sent_work: std::mem::take(&mut self.sent_work),
            ..BackendStats::default()
        };
    }

    /// Returns whether the endpoint list allows new requests at the backend.
    pub fn is_ready(&self) -> bool {
        self.entry.state == BackendState::Ready
    }

    /// Returns whether the backend is ready and not ejected.
    pub fn is_in_use(&self) -> bool {
        self.is_ready() && !self.outlier.is_ejected()
    }

    /// Returns whether the attempts in flight that count against capacity are fewer than `limit`.
    pub fn has_capacity(&self, limit: f64) -> bool {
        f64::from(self.in_flight.saturating_sub(self.suspected_lost)) < limit
    }
}
