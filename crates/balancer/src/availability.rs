//! Whether a pool can take a request at all.

use crate::backend_stats::BackendStats;
use crate::interface::PoolHealth;
use shaletide_types::*;

/// The backends that requests can be sent to, counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Availability {
    /// Backends that are ready and not ejected.
    in_use: u32,
    /// When the first ejected backend is due for a probe; `None` where none is ejected.
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

    /// Counts one more backend.
    pub fn add(&mut self, backend: &BackendStats) {
        if !backend.is_ready() {
            return;
        }
        match backend.outlier.ejected_until {
            None => self.in_use += 1,
            Some(until) => {
                // The next probe is due when the one in flight has ended.
                let probe_at = if backend.in_flight > 0 { Time(u64::MAX) } else { until };
                self.next_probe_at = Some(self.next_probe_at.map_or(probe_at, |first| first.min(probe_at)));
            }
        }
    }

    /// Counts a backend that was in use no more.
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
