//! What this proxy knows of a backend.

use crate::outlier::OutlierState;
use crate::reported_load::ReportedLoad;
use crate::slow_start::SentWork;
use shaletide_types::*;

/// What this proxy knows of a backend, and the part of the traffic that follows from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendStats {
    /// The backend by the endpoint list; `cores` may have been raised by its weight.
    pub entry: BackendEntry,
    /// (1 - error rate) x warm-up x load factor, 0 to 1.2; 0 where the backend is not ready, ejected or in an
    /// unreachable zone. (Where too many are ejected they are used after all, with an error rate of 0.)
    pub capacity_factor: f64,
    /// Part of this proxy's traffic that the backend should have.
    pub selection_weight: f64,
    /// Weight within the server type for the draw: the backend's length inside this proxy's arc, times its selection
    /// weight where backends report.
    pub subset_weight: f64,
    /// Attempts of this proxy that may be in flight at the backend.
    pub concurrency_limit: f64,
    /// Attempts of this proxy that are in flight at the backend.
    pub in_flight: u32,
    /// Of these, how many are so much older than expected that they take up no capacity.
    pub suspected_lost: u32,
    /// Errors, silence and ejections.
    pub outlier: OutlierState,
    /// Work sent lately, for the slow start budget.
    pub sent_work: SentWork,
    /// Load that the backend reports.
    pub reported_load: ReportedLoad,
}

impl BackendStats {
    /// Forgets all that was known of the process before a restart. What is in flight and what was sent stay: they are
    /// this proxy's own.
    pub fn reset_after_restart(&mut self) {
        *self = BackendStats {
            in_flight: self.in_flight,
            sent_work: std::mem::take(&mut self.sent_work),
            ..BackendStats::default()
        };
    }

    /// Whether the endpoint list lets the backend take new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == BackendState::Ready
    }

    /// Whether the backend is ready and not ejected.
    pub fn is_in_use(&self) -> bool {
        self.is_ready() && !self.outlier.is_ejected()
    }

    /// Whether one more attempt may be in flight, within the given part of the concurrency limit.
    pub fn has_capacity(&self, limit: f64) -> bool {
        f64::from(self.in_flight.saturating_sub(self.suspected_lost)) < limit
    }
}
