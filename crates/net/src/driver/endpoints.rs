//! Endpoint lists: the directory's changes are passed on to the engine, recorded and logged.

use super::{Driver, State};
use shaletide_engine::Event;
use shaletide_membership::{Conflict, DirectoryUpdate, Endpoint, StartTimes};
use shaletide_record::Fact;
use shaletide_types::{BackendEntry, BackendId, BackendState, EndpointUpdate, Micros, PoolId};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// The length in bytes at which the text of a recorded list is cut off. A list of 1,024 backends with names of 248 bytes
/// fits.
const MAX_RECORDED_LIST_BYTES: usize = 256 << 10;
/// The number of conflicts between lists that are logged for one update.
const MAX_LOGGED_CONFLICTS: usize = 5;

/// State of the endpoint lists that the directory does not have.
#[derive(Default)]
pub(super) struct EndpointLists {
    start_times: StartTimes,
    /// The version of each pool's list.
    versions: HashMap<PoolId, u64>,
    /// Signalled when a pool's balancer requests a poll of its discovery.
    polls: HashMap<PoolId, Rc<Notify>>,
    /// All backends with lower numbers have been logged.
    first_unlogged: u32,
}

impl EndpointLists {
    /// Sets the longest slow-start window of all pools.
    pub fn set_slow_start_window(&mut self, window: Micros) {
        self.start_times.set_slow_start_window(window);
    }

    /// Returns the version of a pool's list, or 0 if none is known.
    pub fn version(&self, pool: PoolId) -> u64 {
        self.versions.get(&pool).copied().unwrap_or_default()
    }

    /// Requests a poll of a pool's discovery.
    pub fn request_poll(&mut self, pool: PoolId) {
        self.polls.entry(pool).or_default().notify_one();
    }

    /// Removes the state of a pool that is no longer configured.
    pub fn close_pool(&mut self, pool: PoolId) {
        self.polls.remove(&pool);
    }

    /// Marks a backend as logged. Returns whether it had not been logged before.
    fn is_new(&mut self, backend: BackendId) -> bool {
        let is_new = backend.0 >= self.first_unlogged;
        self.first_unlogged = self.first_unlogged.max(backend.0 + 1);
        is_new
    }
}

/// The backends of one update, counted for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListCounts {
    /// Backends that were not seen before, in any state.
    new: usize,
    ready: usize,
    draining: usize,
    gone: usize,
}

impl ListCounts {
    fn add(&mut self, state: BackendState, is_new: bool) {
        if is_new {
            self.new += 1;
        }
        match state {
            BackendState::Ready => self.ready += 1,
            BackendState::Draining => self.draining += 1,
            BackendState::Gone => self.gone += 1,
        }
    }

    /// Whether any backend of the update is new, draining or gone.
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
    /// Sets the version of a pool's list. Called before the update that has this version is applied.
    pub fn set_list_version(&self, pool: PoolId, version: u64) {
        self.state.borrow_mut().endpoint_lists.versions.insert(pool, version);
    }

    /// Applies an update of a pool's endpoint list. Called by the pool's subscription.
    pub fn update_endpoints(
        self: &Rc<Self>, pool: PoolId, update: EndpointUpdate, mut entries: Vec<Endpoint>,
    ) {
        let changes = {
            let mut state = self.state.borrow_mut();
            let now = self.clock.now();
            state.endpoint_lists.start_times.to_local_clock(now, pool, update, &mut entries);
            state.directory.apply_update(pool, update, entries)
        };
        self.apply_endpoint_changes(changes);
    }

    /// Waits until a pool's balancer requests a poll of its discovery. Cancel safe: if the future is dropped, the next call
    /// returns the request.
    pub async fn poll_requested(&self, pool: PoolId) {
        let poll = self.state.borrow_mut().endpoint_lists.polls.entry(pool).or_default().clone();
        poll.notified().await;
    }

    /// Passes the directory's changes on to the engine, and removes backends that are gone and have no connection.
    pub(super) fn apply_endpoint_changes(self: &Rc<Self>, changes: DirectoryUpdate) {
        if changes.skipped > 0 {
            warn!("directory skipped {} backends: a pool's list is too long", changes.skipped);
        }
        for conflict in changes.conflicts.iter().take(MAX_LOGGED_CONFLICTS) {
            warn!("{}", self.describe_conflict(conflict));
        }
        for moved in &changes.moved {
            self.handle_event(Event::BackendMoved { backend: moved.id, from: moved.from, to: moved.to });
        }
        for (pool, update, backends) in changes.notifications {
            self.record_list(pool, update, &backends);
            let address_changed = self.state.borrow_mut().log_list(pool, update, &backends);
            for backend in address_changed {
                self.handle_event(Event::AddressChanged { backend });
            }
            self.handle_event(Event::EndpointsUpdated { pool, update, backends });
        }
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let connected: HashSet<BackendId> =
            state.engine.connections().map(|(_, backend, _)| backend).collect();
        state.directory.retain(|backend| connected.contains(&backend));
    }

    /// Records an update, so that the record shows which state of the backends was known at each attempt.
    fn record_list(&self, pool: PoolId, update: EndpointUpdate, backends: &[BackendEntry]) {
        let fact = {
            let state = self.state.borrow();
            if state.recorder.is_none() {
                return;
            }
            let mut text = format!("{update:?}:");
            for backend in backends {
                if text.len() > MAX_RECORDED_LIST_BYTES {
                    text += " and more";
                    break;
                }
                let name = state.directory.name(backend.id).unwrap_or_default();
                text += &format!(" {name}={}", format!("{:?}", backend.state).to_lowercase());
            }
            let pool_name = state.directory.pool_name(pool).unwrap_or_default().into();
            Fact::List { pool: pool_name, version: state.endpoint_lists.version(pool), news: text }
        };
        self.record_event(shaletide_record::Event::RecordFact(fact));
    }

    /// Returns a pool's name for log lines.
    pub fn pool_name(&self, pool: PoolId) -> String {
        self.state.borrow().pool_name(pool).to_string()
    }

    /// Returns a description of a conflict: the pool that has the address, and the pool that waits for it.
    pub(super) fn describe_conflict(&self, conflict: &Conflict) -> String {
        let state = self.state.borrow();
        let owner = state.pool_name(conflict.owner);
        let waiting = state.pool_name(conflict.waiting);
        format!("{} is in the lists of pools {owner} and {waiting}, and stays with {owner}", conflict.address)
    }
}

impl State {
    fn pool_name(&self, pool: PoolId) -> &str {
        self.directory.pool_name(pool).unwrap_or("(removed)")
    }

    /// Logs an update. Returns the backends that have connections to an earlier address, each of them once: a second event
    /// for the same backend would close the connections that the first one has opened to the new address.
    fn log_list(
        &mut self, pool: PoolId, update: EndpointUpdate, backends: &[BackendEntry],
    ) -> HashSet<BackendId> {
        if backends.is_empty() {
            return HashSet::new();
        }
        let mut counts = ListCounts::default();
        for backend in backends {
            counts.add(backend.state, self.endpoint_lists.is_new(backend.id));
            self.log_backend(backend);
        }
        if counts.has_changes() {
            let pool_name = self.directory.pool_name(pool).unwrap_or_default();
            let version = self.endpoint_lists.version(pool);
            let others = if update == EndpointUpdate::Snapshot { ", all others gone" } else { "" };
            info!("pool {pool_name}: list {version} ({update:?}): {counts}{others}");
        }
        self.with_changed_address(backends)
    }

    /// Logs a backend's number, name and address at level DEBUG. Other log lines have only the number.
    fn log_backend(&self, backend: &BackendEntry) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        if let Some(address) = self.directory.address(backend.id) {
            let name = self.directory.name(backend.id).unwrap_or_default();
            debug!("backend {} is {name} at {address}, {:?}", backend.id.0, backend.state);
        }
    }

    /// Returns those of the backends that have connections to an address other than their current one.
    fn with_changed_address(&self, backends: &[BackendEntry]) -> HashSet<BackendId> {
        let updated: HashSet<BackendId> = backends.iter().map(|backend| backend.id).collect();
        let is_changed = |connection, backend| {
            let connected_to = self.connections.by_id.get(&connection).map(|upstream| upstream.to);
            let address = self.directory.address(backend);
            connected_to.is_some() && address.is_some() && connected_to != address
        };
        let connections = self.engine.connections().filter(|(_, backend, _)| updated.contains(backend));
        let changed = connections.filter(|(connection, backend, _)| is_changed(*connection, *backend));
        changed.map(|(_, backend, _)| backend).collect()
    }
}
