//! What the endpoint lists say of each backend: its pool, its place in the deduplication scopes and its state.
//!
//! Owned by [`crate::Engine`]. Bound: an entry for each backend that any list has.

use shaletide_types::*;
use std::collections::{BTreeMap, BTreeSet};

/// What a list says of a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct KnownBackend {
    pub pool: PoolId,
    pub placement: DeduplicationPlacement,
    pub state: BackendState,
}

/// A backend that an update of its list leaves not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotReadyBackend {
    pub backend: BackendId,
    /// No list has it any more.
    pub removed: bool,
}

/// All backends of all lists.
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

    /// Gone where no list has it.
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

    /// Applies the entries of one update of `pool`'s list; `is_complete`: a backend of the pool that they lack
    /// is gone. Returns those that are not ready after it, in the order of their ids.
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

    /// A pool cannot take away a backend that has moved to another pool since.
    fn apply_entry(&mut self, pool: PoolId, entry: &BackendEntry) {
        let is_of_other_pool = self.get(entry.id).is_some_and(|known| known.pool != pool);
        if entry.state == BackendState::Gone && is_of_other_pool {
            return;
        }
        let known = KnownBackend { pool, placement: entry.deduplication_placement(), state: entry.state };
        self.backends.insert(entry.id, known);
    }
}
