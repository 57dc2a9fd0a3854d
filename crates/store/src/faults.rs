//! A store for tests that is slow, fails or hangs on command, and records the order of events.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use shaletide_record::{ClaimRejection, KeyId, Row, StoredKey, Write};
use shaletide_types::Time;

use crate::{
    Anchor, CommitError, CommitOutcome, Head, NoteEncoder, Pruned, Query, Store, StoreError, StoreReader,
    Sums,
};

/// The way in which a commit fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The commit does not fail.
    None,
    /// The commit fails before anything is written, with the outcome `Nothing`.
    Before,
    /// Nothing is durable, and the outcome is `Unknown`.
    Lost,
    /// The whole batch is durable, and the outcome is `Unknown`.
    Landed,
}

/// A recorded event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A commit of this many rows began.
    Began(usize),
    /// A commit succeeded; this many rows are durable.
    Durable(usize),
    /// A commit failed.
    Failed,
    /// An event that the test noted, such as a reply.
    Noted(String),
}

#[derive(Debug, Default)]
struct FaultState {
    delay: Duration,
    hanging: bool,
    script: VecDeque<Fault>,
    steps: Vec<Step>,
}

/// Controls the faults of the stores that a test creates.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    state: Arc<(Mutex<FaultState>, Condvar)>,
}

impl Faults {
    /// Creates a control without faults.
    pub fn new() -> Faults {
        Faults::default()
    }

    fn state(&self) -> MutexGuard<'_, FaultState> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays each commit from now on by this time.
    pub fn delay_commits(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Sets the faults of the next commits, in this order.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().script.extend(faults);
    }

    /// Makes commits hang from now on.
    pub fn hang_commits(&self) {
        self.state().hanging = true;
    }

    /// Lets commits that hang continue.
    pub fn resume_commits(&self) {
        self.state().hanging = false;
        self.state.1.notify_all();
    }

    /// Records an event of the test.
    pub fn note(&self, event: impl Into<String>) {
        self.state().steps.push(Step::Noted(event.into()));
    }

    /// Returns the events recorded so far.
    pub fn steps(&self) -> Vec<Step> {
        self.state().steps.clone()
    }

    /// Wraps a store in a layer with these faults.
    pub fn wrap(&self, inner: Box<dyn Store>) -> Box<dyn Store> {
        Box::new(FaultyStore { faults: self.clone(), inner })
    }

    /// Waits while commits hang, then for the delay. Returns how the commit ends.
    fn begin(&self, rows: usize) -> Fault {
        let mut state = self.state();
        state.steps.push(Step::Began(rows));
        while state.hanging {
            state = self.state.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let delay = state.delay;
        let fault = state.script.pop_front().unwrap_or(Fault::None);
        drop(state);
        std::thread::sleep(delay);
        fault
    }

    fn end(&self, step: Step) {
        self.state().steps.push(step);
    }
}

struct FaultyStore {
    faults: Faults,
    inner: Box<dyn Store>,
}

impl StoreReader for FaultyStore {
    fn head(&self) -> Result<Head, StoreError> {
        self.inner.head()
    }
    fn anchor(&self) -> Result<Option<Anchor>, StoreError> {
        self.inner.anchor()
    }
    fn keys(&self, after: Option<&KeyId>, limit: usize) -> Result<Vec<StoredKey>, StoreError> {
        self.inner.keys(after, limit)
    }
    fn key(&self, key: &KeyId) -> Result<Option<StoredKey>, StoreError> {
        self.inner.key(key)
    }
    fn rows(&self, query: &Query) -> Result<Vec<Row>, StoreError> {
        self.inner.rows(query)
    }
    fn check(&self) -> Result<(), StoreError> {
        self.inner.check()
    }
    fn backup(&self, to: &Path) -> Result<(), StoreError> {
        self.inner.backup(to)
    }
}

impl Store for FaultyStore {
    fn commit(
        &mut self, batch: &[Write], sums: &dyn Sums,
    ) -> Result<Vec<Result<u64, ClaimRejection>>, CommitError> {
        let fault = self.faults.begin(batch.len());
        let outcome = if fault == Fault::Before { CommitOutcome::Nothing } else { CommitOutcome::Unknown };
        let failed = || CommitError { error: StoreError::Io("planted".into()), outcome };
        let done = match fault {
            Fault::None => self.inner.commit(batch, sums),
            Fault::Before | Fault::Lost => Err(failed()),
            Fault::Landed => self.inner.commit(batch, sums).and_then(|_| Err(failed())),
        };
        let durable = |rows: &Vec<Result<u64, ClaimRejection>>| rows.iter().filter(|row| row.is_ok()).count();
        self.faults.end(done.as_ref().map_or(Step::Failed, |rows| Step::Durable(durable(rows))));
        done
    }

    fn forget_served(&mut self, before: Time, limit: usize) -> Result<usize, StoreError> {
        self.inner.forget_served(before, limit)
    }

    fn prune(
        &mut self, before: Time, limit: usize, note: NoteEncoder<'_>, sums: &dyn Sums,
    ) -> Result<Pruned, StoreError> {
        self.inner.prune(before, limit, note, sums)
    }
}
