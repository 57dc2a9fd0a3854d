//! Lists of backends as the directory has them: passed on to the engine, put on record and logged.

use super::{Driver, MAX_LOGGED_CONFLICTS, MAX_RECORDED_LIST_BYTES};
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
    pub(super) fn apply_endpoint_changes(self: &Rc<Self>, changes: DirectoryUpdate) {
        if changes.skipped > 0 {
            warn!("{} backends skipped: a pool's list is too long", changes.skipped);
        }
        for conflict in changes.conflicts.iter().take(MAX_LOGGED_CONFLICTS) {
            warn!("{}", self.describe_conflict(conflict));
        }
        for moved in &changes.moved {
            self.handle_event(Event::BackendMoved { backend: moved.id, from: moved.from, to: moved.to });
        }
        for (pool, update, backends) in changes.notifications {
            self.record_list(pool, update, &backends);
            let address_changed = self.log_list(pool, update, &backends);
            address_changed
                .into_iter()
                .for_each(|backend| self.handle_event(Event::AddressChanged { backend }));
            self.handle_event(Event::EndpointsUpdated { pool, update, backends });
        }
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let holds: HashSet<BackendId> = s.engine.connections().map(|(_, backend, _)| backend).collect();
        s.directory.retain(|id| holds.contains(&id));
    }

    /// A pool's news on record, so that what was known of a backend can be read in its setting.
    fn record_list(&self, pool: PoolId, update: EndpointUpdate, backends: &[BackendEntry]) {
        let fact = {
            let s = self.state.borrow();
            if s.record.is_none() {
                return;
            }
            let mut text = format!("{update:?}:");
            for b in backends {
                if text.len() > MAX_RECORDED_LIST_BYTES {
                    text += " and more";
                    break;
                }
                let name = s.directory.name(b.id).unwrap_or_default();
                text += &format!(" {name}={}", format!("{:?}", b.state).to_lowercase());
            }
            let pool_name = s.directory.pool_name(pool).unwrap_or_default().into();
            let version = s.list_versions.get(&pool).copied().unwrap_or_default();
            Fact::List { pool: pool_name, version, news: text }
        };
        self.record_event(shaletide_record::Event::RecordFact(fact));
    }

    /// Which list has the address, and which has to wait for it.
    pub(super) fn describe_conflict(&self, conflict: &Conflict) -> String {
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
            counts.add(b.state, b.id.0 >= s.backends_logged);
            s.backends_logged = s.backends_logged.max(b.id.0 + 1);
            let address = s.directory.address(b.id).filter(|_| tracing::enabled!(tracing::Level::DEBUG));
            if let Some(address) = address {
                let name = s.directory.name(b.id).unwrap_or_default();
                debug!("backend {} is {name} at {address}, {:?}", b.id.0, b.state);
            }
        }
        if counts.has_changes() {
            let pool_name = s.directory.pool_name(pool).unwrap_or_default();
            let version = s.list_versions.get(&pool).copied().unwrap_or_default();
            let others = if update == EndpointUpdate::Snapshot { ", all others gone" } else { "" };
            info!("pool {pool_name}: list {version} ({update:?}): {counts}{others}");
        }
        let ids: HashSet<BackendId> = backends.iter().map(|b| b.id).collect();
        let connected_to = s.engine.connections().filter(|(_, backend, _)| ids.contains(backend));
        let connected_to = connected_to
            .filter_map(|(connection, backend, _)| Some((backend, s.connections.by_id.get(&connection)?.to)));
        let moved =
            connected_to.filter(|(backend, to)| s.directory.address(*backend).is_some_and(|at| at != *to));
        moved.map(|(backend, _)| backend).collect()
    }
}
