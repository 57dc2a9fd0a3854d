//! A store in memory, for tests: the shortest implementation that passes the conformance suite. It is not durable.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shaletide_record::{Claim, ClaimRejection, KeyId, KeyState, Row, StoredKey, Write};
use shaletide_types::Time;

use crate::{
    storable, Anchor, CommitError, CommitOutcome, Head, NoteEncoder, Pruned, Query, Store, StoreError,
    StoreReader, Sums,
};

#[derive(Clone, Debug, Default)]
struct State {
    rows: BTreeMap<u64, Row>,
    keys: BTreeMap<KeyId, StoredKey>,
    anchor: Option<Anchor>,
}

/// A store in memory. A clone shares the contents, as if the same store were opened again.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new() -> MemoryStore {
        MemoryStore::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn head(&self) -> Head {
        let anchored = self.anchor.map_or(Head::default(), |anchor| anchor.through);
        let last = self.rows.values().next_back();
        last.map_or(anchored, |row| Head { seq: row.seq, sum: row.sum, run: row.run })
    }

    fn matches(&self, row: &Row, query: &Query) -> bool {
        let key = row.key.as_ref();
        let key_is_in_doubt = || {
            let stored = key.and_then(|key| self.keys.get(key));
            stored.is_some_and(|stored| stored.state == KeyState::InDoubt)
        };
        let equals = |wanted: &Option<String>, found: Option<&String>| {
            wanted.as_ref().is_none_or(|wanted| Some(wanted) == found)
        };
        query.key.as_ref().is_none_or(|wanted| key.is_some_and(|key| key.key == *wanted))
            && equals(&query.tenant, key.map(|key| &key.tenant))
            && equals(&query.class, key.map(|key| &key.class))
            && query.request.is_none_or(|(run, request)| row.run == run && row.request == Some(request))
            && query.since.is_none_or(|since| row.at >= since)
            && query.until.is_none_or(|until| row.at < until)
            && equals(&query.backend, row.backend.as_ref())
            && equals(&query.kind, Some(&row.kind))
            && (!query.in_doubt || key_is_in_doubt())
            && row.seq > query.after_seq
    }

    fn claim(&mut self, write: &Write, seq: u64) -> Result<(), ClaimRejection> {
        let stored = |key: &KeyId, state| StoredKey { key: key.clone(), state, since: write.row.at, seq };
        match &write.claim {
            Claim::None => {}
            Claim::Take(key) => {
                if let Some(taken) = self.keys.get(key) {
                    return Err(ClaimRejection::Taken(taken.state));
                }
                self.keys.insert(key.clone(), stored(key, KeyState::InFlight));
            }
            Claim::Set(key, state) => {
                self.keys.insert(key.clone(), stored(key, *state));
            }
            Claim::Free(key) => {
                self.keys.remove(key);
            }
            Claim::FreeOwn(key) => {
                let last = self.keys.get(key).and_then(|stored| self.rows.get(&stored.seq));
                let (run, request) = (write.row.run, write.row.request);
                if last.is_some_and(|last| (last.run, last.request) == (run, request)) {
                    self.keys.remove(key);
                }
            }
            Claim::FreeServed { through } => {
                self.keys.retain(|_, stored| stored.state != KeyState::Served || stored.seq > *through);
            }
        }
        Ok(())
    }

    fn append(&mut self, row: &Row, sums: &dyn Sums) {
        let last = self.head();
        let mut row = Row { seq: last.seq + 1, ..row.clone() };
        row.sum = sums.sum(&last.sum, &row);
        self.rows.insert(row.seq, row);
    }

    fn is_unsettled(&self, row: &Row) -> bool {
        let stored = row.key.as_ref().and_then(|key| self.keys.get(key));
        stored.is_some_and(|stored| stored.state != KeyState::Served)
    }
}

impl StoreReader for MemoryStore {
    fn head(&self) -> Result<Head, StoreError> {
        Ok(self.state().head())
    }
    fn anchor(&self) -> Result<Option<Anchor>, StoreError> {
        Ok(self.state().anchor)
    }
    fn keys(&self, after: Option<&KeyId>, limit: usize) -> Result<Vec<StoredKey>, StoreError> {
        let state = self.state();
        let following = state.keys.values().filter(|stored| after.is_none_or(|after| stored.key > *after));
        Ok(following.take(limit).cloned().collect())
    }
    fn key(&self, key: &KeyId) -> Result<Option<StoredKey>, StoreError> {
        Ok(self.state().keys.get(key).cloned())
    }
    fn rows(&self, query: &Query) -> Result<Vec<Row>, StoreError> {
        let state = self.state();
        Ok(state.rows.values().filter(|row| state.matches(row, query)).take(query.limit).cloned().collect())
    }
    fn check(&self) -> Result<(), StoreError> {
        Ok(())
    }
    fn backup(&self, to: &Path) -> Result<(), StoreError> {
        let copy = format!("{:?}", self.state());
        let file = std::fs::OpenOptions::new().write(true).create_new(true).open(to);
        file.and_then(|mut file| std::io::Write::write_all(&mut file, copy.as_bytes()))
            .map_err(|error| StoreError::Io(error.into()))
    }
}

impl Store for MemoryStore {
    fn commit(
        &mut self, batch: &[Write], sums: &dyn Sums,
    ) -> Result<Vec<Result<u64, ClaimRejection>>, CommitError> {
        if !batch.iter().all(storable) {
            return Err(CommitError { error: StoreError::Unstorable, outcome: CommitOutcome::Nothing });
        }
        let mut state = self.state();
        let mut taken = Vec::new();
        for write in batch {
            let seq = state.head().seq + 1;
            if let Err(refused) = state.claim(write, seq) {
                taken.push(Err(refused));
                continue;
            }
            state.append(&write.row, sums);
            taken.push(Ok(seq));
        }
        Ok(taken)
    }

    fn forget_served(&mut self, before: Time, limit: usize) -> Result<usize, StoreError> {
        let mut state = self.state();
        let old =
            state.keys.values().filter(|stored| stored.state == KeyState::Served && stored.since < before);
        let old: Vec<KeyId> = old.take(limit).map(|stored| stored.key.clone()).collect();
        for key in &old {
            state.keys.remove(key);
        }
        Ok(old.len())
    }

    fn prune(
        &mut self, before: Time, limit: usize, note: NoteEncoder<'_>, sums: &dyn Sums,
    ) -> Result<Pruned, StoreError> {
        let mut state = self.state();
        let old = state.rows.values().take_while(|row| row.at < before && !state.is_unsettled(row));
        let mut old: Vec<Head> = old
            .take(limit.saturating_add(1))
            .map(|row| Head { seq: row.seq, sum: row.sum, run: row.run })
            .collect();
        let more = old.len() > limit;
        old.truncate(limit);
        if let Some(through) = old.last().copied() {
            let before = state.anchor.map_or(0, |anchor| anchor.rows);
            let anchor = Anchor { through, rows: before + old.len() as u64 };
            state.anchor = Some(anchor);
            state.append(&note(&anchor), sums);
            state.rows = state.rows.split_off(&(through.seq + 1));
        }
        Ok(Pruned { rows: old.len() as u64, anchor: state.anchor, more })
    }
}
