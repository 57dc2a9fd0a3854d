//! When backends started, by this process's own clock. Pure: the time is an argument.
//!
//! A list says when a backend last started by the wall clock of another machine. The wall clock of this one may have
//! been wrong as the process started, by seconds or by an hour, so the two are never set against each other. What is
//! known for certain:
//!
//! - A start lies before the moment at which this process first hears of it. So the local clock is ahead of the lists'
//!   clock by no more than the difference between the two, for each start that was ever heard of. The smallest such
//!   bound tells how old a start is at least.
//! - A backend's own stamp may be wrong too. The smallest bound of all but one backend is used: one backend with a stamp
//!   in the future makes none of the others look older than it is.
//! - From then on age is a span of the monotonic clock.
//!
//! So a backend is never taken for older than it is, and none for younger than the time since it was first heard of,
//! whatever the wall clocks say: none is held cold for longer than its ramp from then on. The price: after a restart of
//! this process the backends that started last are taken for new ones for a ramp, unless they started so long ago that
//! no plausible error of a clock makes them cold.

use crate::list::Endpoint;
use shaletide_types::{BackendState, EndpointUpdate, Micros, PoolId, Time, MAX_WALL_CLOCK_ERROR};
use std::collections::{BTreeMap, BTreeSet};

/// A backend in the list of a pool.
type BackendName = (PoolId, String);

/// A start as it was listed, and as this process has it.
#[derive(Clone, Copy, Debug)]
struct Start {
    listed: Time,
    local: Option<Time>,
}

/// By how much the local clock is ahead of the lists' clock at most, by the two backends that say least.
#[derive(Clone, Debug, Default)]
struct ClockLead {
    least: Option<(BackendName, i64)>,
    /// Of another backend.
    second: Option<(BackendName, i64)>,
}

impl ClockLead {
    fn observe(&mut self, name: &BackendName, lead: i64) {
        match &mut self.least {
            Some((least, bound)) if least == name => *bound = lead.min(*bound),
            Some((_, bound)) if lead >= *bound => match &mut self.second {
                Some((_, bound)) if lead >= *bound => {}
                second => *second = Some((name.clone(), lead)),
            },
            least => self.second = least.replace((name.clone(), lead)),
        }
    }
}

/// The starts of all listed backends.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<BackendName, Start>,
    lead: ClockLead,
    /// The longest ramp of all pools.
    slow_start_window: Micros,
}

impl StartTimes {
    /// The longest time that a backend of any pool takes to be warm.
    pub fn set_slow_start_window(&mut self, slow_start_window: Micros) {
        self.slow_start_window = slow_start_window;
    }

    /// Puts the local clock's times in the place of the listed ones. Cost: a look-up for each entry.
    pub fn to_local_clock(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, entries: &mut [Endpoint],
    ) {
        for entry in entries.iter() {
            if let (Some(listed), true) = (entry.started_at, entry.state != BackendState::Gone) {
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

    fn local(&mut self, now: Time, name: BackendName, listed: Time) -> Option<Time> {
        if let Some(start) = self.starts.get(&name).filter(|start| start.listed == listed) {
            return start.local;
        }
        let ahead = clock_lead(now, listed);
        let is_surely_warm = ahead > (self.slow_start_window.0.saturating_add(MAX_WALL_CLOCK_ERROR.0)) as i64;
        let least_age = self.lead.second.as_ref().map_or(0, |(_, bound)| ahead.saturating_sub(*bound));
        let local = (!is_surely_warm).then(|| now - Micros(least_age.max(0) as u64));
        self.starts.insert(name, Start { listed, local });
        local
    }

    /// Keeps what is listed only.
    fn retain_listed(&mut self, pool: PoolId, update: EndpointUpdate, entries: &[Endpoint]) {
        let is_gone = |entry: &&Endpoint| entry.state == BackendState::Gone;
        match update {
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => {
                let names: BTreeSet<&str> =
                    entries.iter().filter(|entry| !is_gone(entry)).map(|entry| &*entry.name).collect();
                self.starts.retain(|(of, name), _| *of != pool || names.contains(name.as_str()));
            }
            EndpointUpdate::Delta => entries.iter().filter(is_gone).for_each(|entry| {
                self.starts.remove(&(pool, entry.name.clone()));
            }),
            EndpointUpdate::SubscriptionLost => {}
        }
    }
}

/// The local time less a listed one, µs.
fn clock_lead(now: Time, listed: Time) -> i64 {
    (now.0 as i64).saturating_sub(listed.0 as i64)
}
