//! Converts the start times of backends to this process's own clock. Reads no clock: the time is an argument.
//!
//! A list gives the last start of a backend by the wall clock of another machine. The wall clock of this machine may have
//! been wrong when the process started, by seconds or by an hour, so the two are never compared directly. Instead:
//!
//! - A start is earlier than the moment at which this process first learns of it. So for each listed start the difference
//!   between the two is an upper bound on how far the local clock is ahead of the lists' clock. The smallest bound gives the
//!   least age of a start.
//! - A backend's own start time may be wrong too. Therefore the smallest bound of all but one backend is used: a single
//!   backend with a start time in the future makes no other backend look older than it is.
//! - After that the age advances with the monotonic clock.
//!
//! So whatever the wall clocks show, no backend is taken for older than it is, or for younger than the time since it was
//! first listed, and none is in slow start for longer than its window from then on. The drawback: after a restart of this
//! process the backends that started last are taken for new ones for one window, unless they started so long ago that no
//! plausible clock error makes them new.

use crate::list::Endpoint;
use shaletide_types::{BackendState, EndpointUpdate, Micros, PoolId, Time, MAX_WALL_CLOCK_ERROR};
use std::collections::{BTreeMap, BTreeSet};

/// A backend in the list of a pool.
type BackendName = (PoolId, String);

/// A start time by the lists' clock and by the local clock; a local time of `None` means long ago.
#[derive(Clone, Copy, Debug)]
struct Start {
    listed: Time,
    local: Option<Time>,
}

/// An upper bound on how far the local clock is ahead of the lists' clock, in µs.
#[derive(Clone, Debug)]
struct LeadBound {
    backend: BackendName,
    lead: i64,
}

/// The smallest bound, and the smallest bound of any other backend.
#[derive(Clone, Debug, Default)]
struct ClockLead {
    least: Option<LeadBound>,
    second: Option<LeadBound>,
}

impl ClockLead {
    fn observe(&mut self, backend: &BackendName, lead: i64) {
        let bound = || LeadBound { backend: backend.clone(), lead };
        match &mut self.least {
            Some(least) if least.backend == *backend => least.lead = least.lead.min(lead),
            Some(least) if least.lead <= lead => {
                if self.second.as_ref().is_none_or(|second| lead < second.lead) {
                    self.second = Some(bound());
                }
            }
            least => self.second = least.replace(bound()),
        }
    }
}

/// The start times of all listed backends.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<BackendName, Start>,
    lead: ClockLead,
    /// The longest slow start window of any pool.
    slow_start_window: Micros,
}

impl StartTimes {
    /// Sets the longest slow start window of any pool. A backend that certainly started longer ago has no start time.
    pub fn set_slow_start_window(&mut self, slow_start_window: Micros) {
        self.slow_start_window = slow_start_window;
    }

    /// Replaces the listed start times by those of the local clock. The cost is one look-up per entry.
    pub fn to_local_clock(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, entries: &mut [Endpoint],
    ) {
        for entry in entries.iter().filter(|entry| entry.state != BackendState::Gone) {
            if let Some(listed) = entry.started_at {
                self.lead.observe(&(pool, entry.name.clone()), clock_lead(now, listed));
            }
        }
        for entry in entries.iter_mut() {
            if let Some(listed) = entry.started_at {
                entry.started_at = self.local(now, (pool, entry.name.clone()), listed);
            }
        }
        self.retain_listed(pool, update, entries);
    }

    fn local(&mut self, now: Time, backend: BackendName, listed: Time) -> Option<Time> {
        if let Some(start) = self.starts.get(&backend).filter(|start| start.listed == listed) {
            return start.local;
        }
        let lead = clock_lead(now, listed);
        let is_certainly_warm =
            lead > (self.slow_start_window.0.saturating_add(MAX_WALL_CLOCK_ERROR.0)) as i64;
        let least_age = self.lead.second.as_ref().map_or(0, |second| lead.saturating_sub(second.lead));
        let local = (!is_certainly_warm).then(|| now - Micros(least_age.max(0) as u64));
        self.starts.insert(backend, Start { listed, local });
        local
    }

    fn retain_listed(&mut self, pool: PoolId, update: EndpointUpdate, entries: &[Endpoint]) {
        match update {
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => {
                let listed = entries.iter().filter(|entry| entry.state != BackendState::Gone);
                let names: BTreeSet<&str> = listed.map(|entry| &*entry.name).collect();
                self.starts.retain(|(of, name), _| *of != pool || names.contains(name.as_str()));
            }
            EndpointUpdate::Delta => {
                for entry in entries.iter().filter(|entry| entry.state == BackendState::Gone) {
                    self.starts.remove(&(pool, entry.name.clone()));
                }
            }
            EndpointUpdate::SubscriptionLost => {}
        }
    }
}

/// Returns the local time minus a listed time, in µs.
fn clock_lead(now: Time, listed: Time) -> i64 {
    (now.0 as i64).saturating_sub(listed.0 as i64)
}
