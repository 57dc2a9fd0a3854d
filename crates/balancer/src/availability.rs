//! Whether a pool can take any request: counts its backends in use and knows when the next probe is due.

use crate::backend_stats::BackendStats;
use crate::interface::PoolHealth;
use shaletide_types::*;

/// Counts of the backends that requests can be sent to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Availability {
    /// Backends that are ready and not ejected.
    in_use: u32,
    /// When the next probe of an ejected backend is due; `None` where no backend is ejected.
    next_probe_at: Option<Time>,
}

impl Availability {
    pub fn of<'a>(backends: impl Iterator<Item = &'a BackendStats>) -> Availability {
        let mut availability = Availability::default();
        for backend in backends {
            availability.add(backend);
        }
        availability
    }

    /// Adds a backend to the counts.
    pub fn add(&mut self, backend: &BackendStats) {
        if !backend.is_ready() {
            return;
        }
        match backend.outlier.ejected_until {
            None => self.in_use += 1,
            Some(until) => {
                // A backend has one probe at a time: the next one is due only after the one in flight has ended.
                let probe_at = if backend.in_flight > 0 { Time(u64::MAX) } else { until };
                self.next_probe_at = Some(self.next_probe_at.map_or(probe_at, |first| first.min(probe_at)));
            }
        }
    }

    /// Removes a backend that was in use from the counts.
    pub fn remove_in_use(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    pub fn has_backend_in_use(&self) -> bool {
        self.in_use > 0
    }

    pub fn health(&self, now: Time) -> PoolHealth {
        if self.has_backend_in_use() {
            return PoolHealth::Available;
        }
        match self.next_probe_at {
            Some(at) if now >= at => PoolHealth::Available,
            Some(_) => PoolHealth::AllEjected,
            None => PoolHealth::Empty,
        }
    }
}
