//! When backends started, by this process's own clock. Pure: the time is an argument.
//!
//! A list says when a backend last started by the wall clock of another machine. The wall clock of this one may have
//! been wrong as the process started, by seconds or by an hour, so the two are never compared directly. What is certain:
//!
//! - A start lies before the moment at which this process first learns of it. So the local clock is ahead of the lists'
//!   clock by no more than the difference between the two, for each start ever listed. The smallest such bound gives the
//!   least age of a start.
//! - A backend's own start time may be wrong too. The smallest bound of all but one backend is used: one backend with a
//!   start time in the future makes none of the others look older than it is.
//! - From then on age is a span of the monotonic clock.
//!
//! So a backend is never taken for older than it is, and none for younger than the time since it was first listed,
//! whatever the wall clocks say: none is in slow start for longer than its window from then on. The price: after a
//! restart of this process the backends that started last are taken for new ones for a window, unless they started so
//! long ago that no plausible clock error makes them new.

use crate::list::Endpoint;
use shaletide_types::{BackendState, EndpointUpdate, Micros, PoolId, Time, MAX_WALL_CLOCK_ERROR};
use std::collections::{BTreeMap, BTreeSet};

/// A backend in the list of a pool.
type BackendName = (PoolId, String);

/// A start as it was listed, and by the local clock; `None` means long ago.
#[derive(Clone, Copy, Debug)]
struct Start {
    listed: Time,
    local: Option<Time>,
}

/// An upper bound on how far the local clock is ahead of the lists' clock, µs.
#[derive(Clone, Debug)]
struct LeadBound {
    backend: BackendName,
    lead: i64,
}

/// The smallest bound, and the smallest of any other backend.
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

/// The starts of all listed backends.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<BackendName, Start>,
    lead: ClockLead,
    /// The longest of all pools.
    slow_start_window: Micros,
}

impl StartTimes {
    /// The longest slow start window of any pool. A backend that surely started before it has no start time.
    pub fn set_slow_start_window(&mut self, slow_start_window: Micros) {
        self.slow_start_window = slow_start_window;
    }

    /// Replaces the listed start times by the local clock's. Cost: a look-up for each entry.
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
        let is_surely_warm = lead > (self.slow_start_window.0.saturating_add(MAX_WALL_CLOCK_ERROR.0)) as i64;
        let least_age = self.lead.second.as_ref().map_or(0, |second| lead.saturating_sub(second.lead));
        let local = (!is_surely_warm).then(|| now - Micros(least_age.max(0) as u64));
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

/// The local time less a listed one, µs.
fn clock_lead(now: Time, listed: Time) -> i64 {
    (now.0 as i64).saturating_sub(listed.0 as i64)
}
