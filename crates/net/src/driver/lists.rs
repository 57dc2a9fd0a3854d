//! Lists of backends as the directory has them: passed on to the engine, put on record and logged.

use super::{Driver, LIST_BYTES, NAMED};
use shaletide_balancer::*;
use shaletide_engine::Event;
use shaletide_membership::{Conflict, DirectoryUpdate};
use shaletide_record::Fact;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// The backends of one list, for its line in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListCounts {
    /// Not seen before, in whatever state.
    new: usize,
    ready: usize,
    draining: usize,
    gone: usize,
}

impl ListCounts {
    fn add(&mut self, state: BackendState, is_new: bool) {
        self.new += usize::from(is_new);
        match state {
            BackendState::Ready => self.ready += 1,
            BackendState::Draining => self.draining += 1,
            BackendState::Gone => self.gone += 1,
        }
    }

    /// Whether it says more than that known backends are ready.
    fn has_changes(self) -> bool {
        self.new + self.draining + self.gone > 0
    }
}

impl fmt::Display for ListCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListCounts { new, ready, draining, gone } = self;
        write!(f, "{new} new, {ready} ready, {draining} draining, {gone} gone")
    }
}

impl Driver {
    /// Passes on what the directory says.
    pub(super) fn take_in(self: &Rc<Self>, told: DirectoryUpdate) {
        if told.skipped > 0 {
            warn!("{} backends skipped: a pool's list is too long", told.skipped);
        }
        for conflict in told.conflicts.iter().take(NAMED) {
            warn!("{}", self.described(conflict));
        }
        for moved in &told.moved {
            self.tell(Event::BackendMoved { backend: moved.id, from: moved.from, to: moved.to });
        }
        for (pool, update, backends) in told.notifications {
            self.note_list(pool, update, &backends);
            let readdressed = self.log_list(pool, update, &backends);
            readdressed.into_iter().for_each(|backend| self.tell(Event::AddressChanged { backend }));
            self.tell(Event::EndpointsUpdated { pool, update, backends });
        }
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let holds: HashSet<BackendId> = s.engine.connections().map(|(_, backend, _)| backend).collect();
        s.directory.retain(|id| holds.contains(&id));
    }

    /// A pool's news on record, so that what was known of a backend can be read in its setting.
    fn note_list(&self, pool: PoolId, update: EndpointUpdate, backends: &[BackendEntry]) {
        let fact = {
            let s = self.state.borrow();
            if s.record.is_none() {
                return;
            }
            let mut news = format!("{update:?}:");
            for b in backends {
                if news.len() > LIST_BYTES {
                    news += " and more";
                    break;
                }
                let name = s.directory.name(b.id).unwrap_or_default();
                news += &format!(" {name}={}", format!("{:?}", b.state).to_lowercase());
            }
            let pool_name = s.directory.pool_name(pool).unwrap_or_default().into();
            let version = s.versions.get(&pool).copied().unwrap_or_default();
            Fact::List { pool: pool_name, version, news }
        };
        self.note(shaletide_record::Event::RecordFact(fact));
    }

    /// Which list has the address, and which has to wait for it.
    pub(super) fn described(&self, conflict: &Conflict) -> String {
        let s = self.state.borrow();
        let name = |pool| s.directory.pool_name(pool).unwrap_or("one that is gone").to_string();
        let (owner, waiting) = (name(conflict.owner), name(conflict.waiting));
        format!("{} is in the lists of pools {owner} and {waiting}, and stays with {owner}", conflict.address)
    }

    /// Logs what a list brings; returns the backends that are at another address than their connections lead to, each
    /// once: what is opened to the new address as the first update is heard would be closed by a second.
    fn log_list(
        &self, pool: PoolId, update: EndpointUpdate, backends: &[BackendEntry],
    ) -> HashSet<BackendId> {
        if backends.is_empty() {
            return HashSet::new();
        }
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let mut counts = ListCounts::default();
        for b in backends {
            counts.add(b.state, b.id.0 >= s.named);
            s.named = s.named.max(b.id.0 + 1);
            let address = s.directory.address(b.id).filter(|_| tracing::enabled!(tracing::Level::DEBUG));
            if let Some(address) = address {
                let name = s.directory.name(b.id).unwrap_or_default();
                debug!("backend {} is {name} at {address}, {:?}", b.id.0, b.state);
            }
        }
        if counts.has_changes() {
            let pool_name = s.directory.pool_name(pool).unwrap_or_default();
            let version = s.versions.get(&pool).copied().unwrap_or_default();
            let others = if update == EndpointUpdate::Snapshot { ", all others gone" } else { "" };
            info!("pool {pool_name}: list {version} ({update:?}): {counts}{others}");
        }
        let ids: HashSet<BackendId> = backends.iter().map(|b| b.id).collect();
        let led = s.engine.connections().filter(|(_, backend, _)| ids.contains(backend));
        let led =
            led.filter_map(|(connection, backend, _)| Some((backend, s.lines.all.get(&connection)?.to)));
        let moved = led.filter(|(backend, to)| s.directory.address(*backend).is_some_and(|at| at != *to));
        moved.map(|(backend, _)| backend).collect()
    }
}
