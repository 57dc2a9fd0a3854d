//! A store that is slow, fails or hangs on command, and logs in which order things happened. For tests.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use shaletide_record::{ClaimRejection, KeyId, Row, StoredKey, Write};
use shaletide_types::Time;

use crate::{
    Anchor, CommitError, CommitOutcome, Head, Note, Pruned, Query, Store, StoreError, StoreReader, Sums,
};

/// How a commit fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    None,
    /// Before anything is written, and it says so.
    Before,
    /// Nothing is durable, and the outcome is unknown.
    Lost,
    /// All of it is durable, and the outcome is unknown.
    Landed,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A commit of so many rows began.
    Began(usize),
    /// It was done, and the rows are durable.
    Durable(usize),
    /// It failed.
    Failed,
    /// Whatever the test noted, such as a reply.
    Noted(String),
}

#[derive(Debug, Default)]
struct Plan {
    delay: Duration,
    frozen: bool,
    script: VecDeque<Fault>,
    steps: Vec<Step>,
}

/// Commands the stores that a test made.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<(Mutex<Plan>, Condvar)>,
}

impl Faults {
    /// No faults yet.
    pub fn new() -> Faults {
        Faults::default()
    }

    fn plan(&self) -> MutexGuard<'_, Plan> {
        self.plan.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Each commit takes this much longer from now on.
    pub fn slow(&self, delay: Duration) {
        self.plan().delay = delay;
    }

    /// The next commits end so, in this order.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.plan().script.extend(faults);
    }

    /// Commits hang from now on.
    pub fn freeze(&self) {
        self.plan().frozen = true;
    }

    /// Those that hang go on.
    pub fn thaw(&self) {
        self.plan().frozen = false;
        self.plan.1.notify_all();
    }

    /// Writes down something else that happened now.
    pub fn note(&self, what: impl Into<String>) {
        self.plan().steps.push(Step::Noted(what.into()));
    }

    /// What happened until now.
    pub fn steps(&self) -> Vec<Step> {
        self.plan().steps.clone()
    }

    /// A store with these faults around another.
    pub fn around(&self, inner: Box<dyn Store>) -> Box<dyn Store> {
        Box::new(FaultyStore { faults: self.clone(), inner })
    }

    /// Waits while frozen, then for the delay; says how the commit ends.
    fn begin(&self, rows: usize) -> Fault {
        let mut plan = self.plan();
        plan.steps.push(Step::Began(rows));
        while plan.frozen {
            plan = self.plan.1.wait(plan).unwrap_or_else(PoisonError::into_inner);
        }
        let delay = plan.delay;
        let fault = plan.script.pop_front().unwrap_or(Fault::None);
        drop(plan);
        std::thread::sleep(delay);
        fault
    }

    fn end(&self, step: Step) {
        self.plan().steps.push(step);
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
        &mut self, before: Time, limit: usize, note: Note<'_>, sums: &dyn Sums,
    ) -> Result<Pruned, StoreError> {
        self.inner.prune(before, limit, note, sums)
    }
}
