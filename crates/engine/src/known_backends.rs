//! The pool, deduplication scopes and state of each backend in the endpoint lists.
//!
//! Owned by [`crate::Engine`]. Bound: an entry for each backend in any endpoint list.

use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// A backend in an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KnownBackend {
    pub pool: PoolId,
    pub placement: DeduplicationPlacement,
    pub state: BackendState,
}

/// A backend that is not ready after an update of its endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotReadyBackend {
    pub backend: BackendId,
    /// Whether no endpoint list has the backend any more.
    pub removed: bool,
}

/// The backends of all endpoint lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownBackends {
    backends: BTreeMap<BackendId, KnownBackend>,
}

impl KnownBackends {
    pub fn get(&self, backend: BackendId) -> Option<&KnownBackend> {
        self.backends.get(&backend)
    }

    pub fn contains(&self, backend: BackendId) -> bool {
        self.backends.contains_key(&backend)
    }

    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// The state of a backend; `Gone` if no endpoint list has it.
    pub fn state(&self, backend: BackendId) -> BackendState {
        self.get(backend).map_or(BackendState::Gone, |known| known.state)
    }

    pub fn is_ready(&self, backend: BackendId) -> bool {
        self.state(backend) == BackendState::Ready
    }

    pub fn move_to_pool(&mut self, backend: BackendId, pool: PoolId) {
        if let Some(known) = self.backends.get_mut(&backend) {
            known.pool = pool;
        }
    }

    /// Applies the entries of one update of `pool`'s endpoint list. `is_complete`: a backend of the pool without an entry
    /// is gone. Returns the backends that are not ready afterwards, in the order of their ids.
    pub fn apply_update(
        &mut self, pool: PoolId, entries: &[BackendEntry], is_complete: bool,
    ) -> Vec<NotReadyBackend> {
        let mut not_ready: BTreeSet<BackendId> = BTreeSet::new();
        if is_complete {
            let of_pool = self.backends.iter().filter(|(_, known)| known.pool == pool);
            not_ready.extend(of_pool.map(|(backend, _)| *backend));
        }
        for entry in entries {
            if entry.state == BackendState::Ready {
                not_ready.remove(&entry.id);
            } else {
                not_ready.insert(entry.id);
            }
            self.apply_entry(pool, entry);
        }
        let listed: BTreeSet<BackendId> = entries.iter().map(|entry| entry.id).collect();
        let mut changed = Vec::new();
        for backend in not_ready {
            if self.get(backend).is_some_and(|known| known.pool != pool) {
                continue;
            }
            let removed = !listed.contains(&backend) || self.state(backend) == BackendState::Gone;
            if removed {
                self.backends.remove(&backend);
            }
            changed.push(NotReadyBackend { backend, removed });
        }
        changed
    }

    /// Ignores the removal of a backend that has since moved to another pool.
    fn apply_entry(&mut self, pool: PoolId, entry: &BackendEntry) {
        let is_of_other_pool = self.get(entry.id).is_some_and(|known| known.pool != pool);
        if entry.state == BackendState::Gone && is_of_other_pool {
            return;
        }
        let known = KnownBackend { pool, placement: entry.deduplication_placement(), state: entry.state };
        self.backends.insert(entry.id, known);
    }
}
